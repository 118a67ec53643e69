/**
 * @file
 * Admission of starts: the only place that decides whether a start message
 * may start its task. Pure: no I/O, time is an argument. docs/design/agent.md
 * gives the reasons for the order of the checks.
 */
#ifndef HS_AGENT_ADMISSION_H
#define HS_AGENT_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "agent/slots.h"
#include "agent/start_log.h"
#include "base/time.h"
#include "proto/hspoke.h"

typedef struct HsAdmission HsAdmission;

/** State of the target that decides on starts. */
typedef struct
{
  bool unavailable;   /**< Target not announced, expired or unreachable, or
                           target or agent leaving. */
  hsx_needs capacity; /**< The most that one task may require. */
} HsAdmissionTarget;

/** Both @p start_log and @p slots must outlive the admission. */
HsAdmission *hs_admission_new (TALLOC_CTX *ctx,
                               const HsStartLog *start_log,
                               const HsSlots *slots);

/**
 * Raises the highest known epoch of a partition; starts from owners of a
 * lower epoch are refused afterwards.
 * @param part partition; one of HSX_PARTS_MAX or above is ignored
 * @return false if a higher epoch is known or @p part is out of range
 */
bool hs_admission_raise_epoch (HsAdmission *admission,
                               uint32_t part,
                               uint64_t epoch);

/** The highest epoch seen for a partition; 0 if none. */
uint64_t hs_admission_epoch (const HsAdmission *admission, uint32_t part);

/**
 * Decides on one start and raises the epoch of its partition.
 * @param now the agent's monotonic clock, which also stamps credits
 * @return HSX_REFUSAL_NONE if the caller must start the task now. A refusal
 *         is final for this message. The entry may send the task again with a
 *         new credit, unless the refusal is DUPLICATE or FENCED.
 */
hsx_refusal hs_admission_check (HsAdmission *admission,
                                const HsAdmissionTarget *target,
                                const hsx_start *start,
                                HsTime now);

#endif
