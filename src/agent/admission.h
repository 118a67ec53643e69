/**
 * @file
 * The start gate: the one place that decides whether a start message may
 * start its task. Pure: no I/O, time is an argument. docs/design/agent.md
 * says why the checks have this order.
 */
#ifndef HS_AGENT_ADMISSION_H
#define HS_AGENT_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "agent/start_log.h"
#include "agent/slots.h"
#include "base/time.h"
#include "proto/hspoke.h"

typedef struct HsAdmission HsAdmission;

/** What the gate knows of the target. */
typedef struct
{
  bool unavailable;   /**< Target or agent is leaving, or target is down. */
  hsx_needs capacity; /**< The most that one task may need. */
} HsAdmissionTarget;

/** Both @p memory and @p slots must outlive the gate. */
HsAdmission *hs_admission_new (TALLOC_CTX *ctx,
                               const HsStartLog *start_log,
                               const HsSlots *slots);

/**
 * Raises the epoch of a partition; older owners are refused from here on.
 * @param part below HSX_PARTS_MAX; others are ignored
 * @return false if a higher epoch is known already
 */
bool hs_admission_raise_epoch (HsAdmission *admission,
                               uint32_t part,
                               uint64_t epoch);

/** The highest epoch seen for a partition; 0 if none. */
uint64_t hs_admission_epoch (const HsAdmission *admission, uint32_t part);

/**
 * Decides on one start; raises the partition's epoch.
 * @param now the agent's monotonic clock, the one of the credits' stamps
 * @return HSX_REFUSAL_NONE if the task must start now. A refusal is final
 *         for this message. The task may be sent again with a fresh credit,
 *         unless the refusal is DUPLICATE or FENCED.
 */
hsx_refusal hs_admission_check (HsAdmission *admission,
                                const HsAdmissionTarget *target,
                                const hsx_start *start,
                                HsTime now);

#endif
