/**
 * @file
 * When a start that is known not to have happened is tried again. A budget
 * in proportion to the starts keeps an outage from being followed by a storm.
 */
#ifndef HS_POLICY_RETRY_H
#define HS_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "policy/bucket.h"

typedef struct
{
  uint32_t earned_thousandths; /**< Thousandths of a retry. */
  HsBucket baseline;           /**< Retries that need no starts to earn them. */
} HsRetryBudget;

void hs_retry_budget_init (HsRetryBudget *retry, HsTime now);

/** Counts a task's first start, which earns a part of a retry. */
void hs_retry_budget_add_start (HsRetryBudget *retry);

/**
 * Decides on one more start of a task.
 * @param attempt starts that were tried so far, 1 after the first
 * @param random state of the generator for the jitter
 * @param at when to queue it again
 * @return false: give up; the task has not run
 */
bool hs_retry_budget_take (HsRetryBudget *retry,
                           uint32_t attempt,
                           HsTime now,
                           uint64_t *random,
                           HsTime *at);

#endif
