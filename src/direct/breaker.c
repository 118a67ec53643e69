#include "direct/breaker.h"

#include <string.h>

#include <glib.h>

/** Consecutive failures, each of another job, that open the breaker. Where one
 *  task in a hundred fails, this happens by chance once in a million ends. */
#define FAILURE_THRESHOLD 3

/** How long the breaker stays open, at first and at most. Faults of targets
 *  last seconds. */
#define OPEN_DURATION_MIN (300 * HS_MSEC)
#define OPEN_DURATION_MAX (2400 * HS_MSEC)

/** If the breaker was last opened longer ago than this, it opens for
 *  OPEN_DURATION_MIN again. */
#define OPEN_DURATION_RESET_AFTER (10 * HS_SEC)

static void trip (HsBreaker *breaker, HsTime now);

void
hs_breaker_record (HsBreaker *breaker,
                   hsx_end_how how,
                   const char *job,
                   HsTime now)
{
  uint64_t hash = g_str_hash (job);

  switch (how)
    {
    case HSX_END_DONE:
      breaker->n_failures = 0;
      /* While the breaker is open, tasks that were started before may still
         succeed; that doesn't close it. */
      if (breaker->open_until != 0 && now >= breaker->open_until)
        breaker->open_until = 0;
      return;
    case HSX_END_FAILED:
    case HSX_END_STALLED:
    case HSX_END_SLOW:
      break;
    default:
      return;
    }
  if (breaker->open_until != 0)
    {
      if (now >= breaker->open_until)
        trip (breaker, now);
      return;
    }
  if (breaker->n_failures > 0 && breaker->last_job_hash == hash)
    return;
  breaker->last_job_hash = hash;
  if (++breaker->n_failures >= FAILURE_THRESHOLD)
    trip (breaker, now);
}

void
hs_breaker_reset (HsBreaker *breaker)
{
  memset (breaker, 0, sizeof *breaker);
}

HsBreakerState
hs_breaker_state (const HsBreaker *breaker, HsTime now)
{
  if (breaker->open_until == 0)
    return HS_BREAKER_CLOSED;
  return now < breaker->open_until ? HS_BREAKER_OPEN : HS_BREAKER_HALF_OPEN;
}

HsTime
hs_breaker_next_change (const HsBreaker *breaker, HsTime now)
{
  return breaker->open_until > now ? breaker->open_until : HS_NEVER;
}

static void
trip (HsBreaker *breaker, HsTime now)
{
  if (breaker->open_duration == 0
      || now - breaker->opened_at > OPEN_DURATION_RESET_AFTER)
    breaker->open_duration = OPEN_DURATION_MIN;
  else
    breaker->open_duration
        = MIN (breaker->open_duration * 2, OPEN_DURATION_MAX);
  breaker->opened_at = now;
  breaker->open_until = now + breaker->open_duration;
  breaker->n_failures = 0;
}
