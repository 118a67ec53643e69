/**
 * @file
 * The retry budget for starts that are known not to have taken effect. Retries
 * are limited in proportion to the starts, so that an outage isn't followed by
 * a retry storm.
 */
#ifndef HS_POLICY_RETRY_H
#define HS_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "policy/bucket.h"

typedef struct
{
  uint32_t earned_thousandths; /**< Retries earned by starts, in thousandths. */
  HsBucket baseline;           /**< Retries allowed without any starts. */
} HsRetryBudget;

void hs_retry_budget_init (HsRetryBudget *retry, HsTime now);

/** Counts the first start of a task, which earns part of a retry. */
void hs_retry_budget_add_start (HsRetryBudget *retry);

/**
 * Decides whether a task is started again, and takes the retry from the budget.
 * @param attempt number of starts tried so far, 1 after the first
 * @param random state of the random generator for the jitter
 * @param at set to the time at which to queue the task again
 * @return false if the task is to be given up; it has not run
 */
bool hs_retry_budget_take (HsRetryBudget *retry,
                           uint32_t attempt,
                           HsTime now,
                           uint64_t *random,
                           HsTime *at);

#endif
