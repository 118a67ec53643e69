/**
 * @file
 * How far each target is trusted, judged by outcomes against its peers.
 *
 * Failures: a cumulative sum of log likelihood ratios for each target, of
 * "fails more than elsewhere" against "fails as often as this customer's
 * tasks do elsewhere". A customer whose tasks fail everywhere thus weighs
 * little against any one target. Slowness: the run time over the expected
 * one, smoothed, against the median of all targets.
 */
#ifndef HS_POLICY_HEALTH_H
#define HS_POLICY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** How far a target is trusted. */
typedef enum
{
  HS_HEALTH_OK,
  HS_HEALTH_PROBATION, /**< One task at a time. */
  HS_HEALTH_EJECTED    /**< None. */
} HsHealthState;

typedef struct HsHealth HsHealth;

HsHealth *hs_health_new (TALLOC_CTX *ctx);

/** Adds a target, by a small handle of the caller's table; trusted. */
void hs_health_add (HsHealth *health, uint32_t target);

/** Forgets a target. */
void hs_health_remove (HsHealth *health, uint32_t target);

/**
 * Notes a task that ended.
 * @param flow the customer, a small handle
 * @param failed it failed, timed out, or the target refused or was gone
 * @param run and @param expected run times; expected 0: says nothing of speed
 */
void hs_health_record_result (HsHealth *health,
                              uint32_t target,
                              uint32_t flow,
                              bool failed,
                              HsTime run,
                              HsTime expected,
                              HsTime now);

/**
 * Tells the next target whose state has changed. Call after results and at
 * hs_health_wake_at(), until it returns false.
 */
bool hs_health_next_change (HsHealth *health,
                            HsTime now,
                            uint32_t *target,
                            HsHealthState *state);

/** How many times longer than expected runs take, by the median of the targets
 *  that have run enough; 1 if too few have. */
double hs_health_median_slowdown (const HsHealth *health);

/** When a state changes by time alone; HS_NEVER if none does. */
HsTime hs_health_wake_at (const HsHealth *health);

/** The state as last told by hs_health_next_change(). */
HsHealthState hs_health_state (const HsHealth *health, uint32_t target);

#endif
