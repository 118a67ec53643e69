#include "policy/retry.h"

#include "policy/random.h"

/* Maximum number of starts of one task, including the first. */
#define ATTEMPTS_MAX 6

/* In thousandths of a retry: what a start earns, the most that is kept,
 * and what one retry costs. */
#define EARNED_PER_START 100
#define EARNED_MAX 100000
#define RETRY_COST 1000

#define BASELINE_PER_S 5
#define BASELINE_BURST 20

#define DELAY_MIN (4 * HS_MSEC)
#define DELAY_MAX (500 * HS_MSEC)

static bool take_from_budget (HsRetryBudget *retry, HsTime now);
static HsTime backoff_delay (uint32_t attempt);

void
hs_retry_budget_init (HsRetryBudget *retry, HsTime now)
{
  retry->earned_thousandths = 0;
  hs_bucket_init (&retry->baseline, BASELINE_PER_S, BASELINE_BURST, now);
}

void
hs_retry_budget_add_start (HsRetryBudget *retry)
{
  if (retry->earned_thousandths + EARNED_PER_START <= EARNED_MAX)
    retry->earned_thousandths += EARNED_PER_START;
}

bool
hs_retry_budget_take (HsRetryBudget *retry,
                      uint32_t attempt,
                      HsTime now,
                      uint64_t *random,
                      HsTime *at)
{
  HsTime delay = backoff_delay (attempt);

  if (attempt >= ATTEMPTS_MAX || !take_from_budget (retry, now))
    return false;
  *at = now + (HsTime) ((double) delay * (0.5 + 0.5 * hs_random_unit (random)));
  return true;
}

static bool
take_from_budget (HsRetryBudget *retry, HsTime now)
{
  if (retry->earned_thousandths < RETRY_COST)
    return hs_bucket_take (&retry->baseline, now);
  retry->earned_thousandths -= RETRY_COST;
  return true;
}

static HsTime
backoff_delay (uint32_t attempt)
{
  HsTime delay = DELAY_MIN;

  for (; attempt > 1 && delay < DELAY_MAX; attempt--)
    delay *= 2;
  return delay < DELAY_MAX ? delay : DELAY_MAX;
}
