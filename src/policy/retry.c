#include "policy/retry.h"

#include "policy/random.h"

/* Starts of one task, the first one included. */
#define ATTEMPTS_MAX 6

/* Thousandths of a retry: earned by a start, kept at most, spent on one. */
#define EARN 100
#define EARNED_MAX 100000
#define SPEND 1000

#define FLOOR_PER_S 5
#define FLOOR_BURST 20

#define DELAY_MIN (4 * HS_MSEC)
#define DELAY_MAX (500 * HS_MSEC)

static bool spend (HsRetry *retry, HsTime now);
static HsTime delay_of (uint32_t attempt);

void
hs_retry_init (HsRetry *retry, HsTime now)
{
  retry->earned = 0;
  hs_bucket_init (&retry->floor, FLOOR_PER_S, FLOOR_BURST, now);
}

void
hs_retry_started (HsRetry *retry)
{
  if (retry->earned + EARN <= EARNED_MAX)
    retry->earned += EARN;
}

bool
hs_retry_allow (HsRetry *retry,
                uint32_t attempt,
                HsTime now,
                uint64_t *random,
                HsTime *at)
{
  HsTime delay = delay_of (attempt);

  if (attempt >= ATTEMPTS_MAX || !spend (retry, now))
    return false;
  *at = now + (HsTime) ((double) delay * (0.5 + 0.5 * hs_random_unit (random)));
  return true;
}

static bool
spend (HsRetry *retry, HsTime now)
{
  if (retry->earned < SPEND)
    return hs_bucket_take (&retry->floor, now);
  retry->earned -= SPEND;
  return true;
}

static HsTime
delay_of (uint32_t attempt)
{
  HsTime delay = DELAY_MIN;

  for (; attempt > 1 && delay < DELAY_MAX; attempt--)
    delay *= 2;
  return delay < DELAY_MAX ? delay : DELAY_MAX;
}
