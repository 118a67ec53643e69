/**
 * @file
 * Whether a task can ever run: on any target known, and before its deadline.
 */
#ifndef HS_POLICY_FEASIBLE_H
#define HS_POLICY_FEASIBLE_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

typedef struct HsFeasibleCapacities HsFeasibleCapacities;

typedef enum
{
  HS_FEASIBLE,
  HS_FEASIBLE_NO_TARGETS, /**< None known at present: wait. */
  HS_FEASIBLE_TOO_LARGE,  /**< More than any target known has. */
  HS_FEASIBLE_TOO_LATE    /**< The deadline is lost already. */
} HsFeasibility;

HsFeasibleCapacities *hs_feasible_new (TALLOC_CTX *ctx);

/** A target came; a change of capacity is a remove and an add. */
void hs_feasible_add_target (HsFeasibleCapacities *feasible,
                             const hsx_needs *capacity);

/** A target with this capacity went; it must have been added. */
void hs_feasible_remove_target (HsFeasibleCapacities *feasible,
                                const hsx_needs *capacity);

/**
 * Judges a task, at admission and again before it starts.
 * @param expected run time, 0 if not known
 * @param deadline HS_NEVER if none
 */
HsFeasibility hs_feasible_check (const HsFeasibleCapacities *feasible,
                                 const hsx_needs *needs,
                                 HsTime expected,
                                 HsTime deadline,
                                 HsTime now);

#endif
