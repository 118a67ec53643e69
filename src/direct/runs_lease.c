/* The lease of what runs on the target: when calls may renew it, and when it
   has expired. */
#include <glib.h>

#include "direct/liveness.h"
#include "direct/runs_private.h"

/** Added to the lease and the drift before the runs of an unresponsive target
 *  are considered lapsed. */
#define LEASE_EXPIRY_SLACK (50 * HS_MSEC)

static HsTime last_renewal (const HsRuns *runs);
static HsTime lease_bound (HsTime lease);

bool
hs_runs_may_renew_lease (const HsRuns *runs, HsTime now)
{
  uint32_t left = runs->n_runs;
  uint32_t i;

  if (runs->target_clock_at == 0 || runs->unresponsive)
    return false;
  for (i = 0; i < HS_RUNS_MAX && left > 0; i++)
    {
      const HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_FREE)
        continue;
      left--;
      if (run->renew_until != 0 && now >= run->renew_until)
        return false;
    }
  return true;
}

int64_t
hs_runs_next_lease_end (HsRuns *runs, HsTime now)
{
  int64_t clock_ms
      = runs->target_clock_ms + (now - runs->target_clock_at) / HS_MSEC;

  if (runs->lease_until_ms == 0 || hs_runs_may_renew_lease (runs, now))
    runs->lease_until_ms = clock_ms + runs->options.lease / HS_MSEC;
  return runs->lease_until_ms;
}

/* A lease that was asked for on the clock of another incarnation may lie far
   ahead on this one's, which shortens it to the longest that it grants, from
   when it carried out that call. */
void
hs_runs_note_token (HsRuns *runs, uint64_t token, HsTime now)
{
  if (runs->lease_token_seen || token < runs->lease_token)
    return;
  runs->lease_token_seen = true;
  runs->other_lease_end = now + lease_bound (runs->options.max_lease);
}

void
hs_runs_distrust_sent_leases (HsRuns *runs)
{
  runs->lease_token = runs->token;
  runs->lease_token_seen = false;
}

void
hs_runs_check_lease (HsRuns *runs, HsTime now)
{
  HsTime expired_at;
  uint32_t i;

  if (!runs->unresponsive || now < runs->other_lease_end)
    return;
  expired_at = last_renewal (runs) + lease_bound (runs->options.lease);
  if (now < expired_at)
    return;
  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_RUNNING || run->state == HS_RUN_STOPPING)
        hs_run_end (runs, run, HSX_END_LAPSED, HS_REFUSAL_NONE,
                    HS_EVIDENCE_LEASE, now);
    }
}

void
hs_runs_resume (HsRuns *runs, HsTime length, HsTime now)
{
  if (runs->other_lease_end > now - length)
    runs->other_lease_end += length;
  runs->renewed_at = MAX (runs->renewed_at, now);
  runs->target_clock_at = 0;
  runs->poll_not_before = 0;
  runs->effects->changed (runs->arg);
}

/* When the last call was made that may have renewed the lease. */
static HsTime
last_renewal (const HsRuns *runs)
{
  HsTime last = runs->renewed_at;
  uint32_t i;

  for (i = 0; i < HS_POLL_TOKENS_MAX; i++)
    last = MAX (last, runs->poll_renewed_at[i]);
  for (i = 0; i < HS_RUNS_MAX; i++)
    if (hs_run_is_starting (&runs->runs[i]))
      last = MAX (last, runs->runs[i].called_at);
  return last;
}

/* How long a lease holds at most, on a clock that is slow. */
static HsTime
lease_bound (HsTime lease)
{
  return lease + lease * HS_CLOCK_DRIFT_PERCENT / 100 + LEASE_EXPIRY_SLACK;
}
