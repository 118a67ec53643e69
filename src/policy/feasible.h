/**
 * @file
 * Checks whether a task can ever run: whether a known target is large enough,
 * and whether it can end before its deadline.
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
  HS_FEASIBLE_NO_TARGETS, /**< No target is known at present; the task waits. */
  HS_FEASIBLE_TOO_LARGE,  /**< No known target is large enough. */
  HS_FEASIBLE_TOO_LATE    /**< The deadline can no longer be met. */
} HsFeasibility;

HsFeasibleCapacities *hs_feasible_new (TALLOC_CTX *ctx);

/** Adds a target. To change its capacity, remove it and add it again. */
void hs_feasible_add_target (HsFeasibleCapacities *feasible,
                             const hsx_needs *capacity);

/** Removes a target of this capacity, which must have been added. */
void hs_feasible_remove_target (HsFeasibleCapacities *feasible,
                                const hsx_needs *capacity);

/**
 * Checks a task, at admission and again before it starts.
 * @param expected its expected run time, 0 if unknown
 * @param deadline its deadline, HS_NEVER if it has none
 */
HsFeasibility hs_feasible_check (const HsFeasibleCapacities *feasible,
                                 const hsx_needs *needs,
                                 HsTime expected,
                                 HsTime deadline,
                                 HsTime now);

#endif
