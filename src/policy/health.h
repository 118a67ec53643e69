/**
 * @file
 * Outlier detection: decides from the results of its tasks, compared with other
 * targets, whether a target is healthy, on probation or ejected.
 *
 * Failures: each target has a cumulative sum of log likelihood ratios of two
 * hypotheses, "tasks fail more often here than elsewhere" and "tasks fail as
 * often as this customer's tasks do elsewhere". A customer whose tasks fail
 * everywhere thus hardly affects the score of any one target. Slowness: the
 * moving average of the ratio of actual to expected run time, compared with the
 * median of all targets.
 */
#ifndef HS_POLICY_HEALTH_H
#define HS_POLICY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** Health of a target, which bounds the tasks that it is given. */
typedef enum
{
  HS_HEALTH_OK,
  HS_HEALTH_PROBATION, /**< One task at a time. */
  HS_HEALTH_EJECTED    /**< No tasks. */
} HsHealthState;

typedef struct HsHealth HsHealth;

HsHealth *hs_health_new (TALLOC_CTX *ctx);

/**
 * Adds a target, as HS_HEALTH_OK.
 * @param target a small integer handle, an index of the caller's table
 */
void hs_health_add (HsHealth *health, uint32_t target);

/** Removes a target. Unknown ones are ignored. */
void hs_health_remove (HsHealth *health, uint32_t target);

/**
 * Records the result of a task.
 * @param customer a small integer handle of the customer
 * @param failed whether the task failed or timed out, or the target refused it
 *        or was lost
 * @param run the actual run time
 * @param expected the expected run time; 0: not to be compared with @p run
 */
void hs_health_record_result (HsHealth *health,
                              uint32_t target,
                              uint32_t customer,
                              bool failed,
                              HsTime run,
                              HsTime expected,
                              HsTime now);

/**
 * Returns the next target whose state has changed. To be called after results
 * and at hs_health_wake_at() until it returns false.
 */
bool hs_health_next_change (HsHealth *health,
                            HsTime now,
                            uint32_t *target,
                            HsHealthState *state);

/**
 * Returns the factor by which runs take longer than expected: the median of the
 * targets with enough results, or 1 if there are too few of these.
 */
double hs_health_median_slowdown (const HsHealth *health);

/**
 * Returns when the next state change by time alone is due; HS_NEVER if none is.
 */
HsTime hs_health_wake_at (const HsHealth *health);

/** Returns the state that hs_health_next_change() returned last. */
HsHealthState hs_health_state (const HsHealth *health, uint32_t target);

#endif
