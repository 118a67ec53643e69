/* Which waiting job goes first, and how long one that arrives would wait. */
#include <math.h>

#include <glib.h>

#include "direct/jobs_private.h"

/** A job that can only be late is worth this part. */
#define LATE_PART 0.2

/** Work left is at least this, so that a nearly finished job has no endless
 *  rank. Core-seconds. */
#define WORK_MIN 0.02

/** Ranks are sent as whole numbers of this part. */
#define RANK_UNIT 1000.0

/** Span over which the rate of room that comes free is learnt. */
#define DRAIN_SPAN (500 * HS_MSEC)

/* Worth that can still be earned for each core-second that it still takes. */
double
hs_job_rank (const HsJobs *jobs, const HsJob *job, HsTime now)
{
  double left = job->work * job->n_waiting / job->n_tasks;
  double worth = hs_demand_worth (jobs->demand, job->customer, job->work);

  if (now + job->expected > job->arrived + job->objective)
    worth *= LATE_PART;
  worth *= hs_demand_boost (jobs->demand, job->customer, job->work);
  return worth / MAX (left, WORK_MIN);
}

hsx_want
hs_jobs_want (const HsJobs *jobs, HsTime now)
{
  hsx_want want = { 0 };
  double best = 0;
  uint32_t i;

  for (i = 0; i < jobs->n_jobs; i++)
    {
      const HsJob *job = &jobs->jobs[i];
      double rank;

      if (!job->used || job->n_waiting == 0)
        continue;
      want.tasks += job->n_waiting;
      rank = hs_job_rank (jobs, job, now);
      if (want.rank > 0 && rank <= best)
        continue;
      best = rank;
      want.rank = (uint64_t) (rank * RANK_UNIT) + 1;
      want.needs = job->needs;
    }
  return want;
}

HsTime
hs_jobs_predict_wait (const HsJobs *jobs, const HsJob *job, HsTime now)
{
  double past = (double) (now - jobs->drain_at) / (double) DRAIN_SPAN;
  double rate = jobs->drain * exp (-past) * HS_SEC / DRAIN_SPAN;
  double ahead = job->needs.cpu_milli;
  double rank = hs_job_rank (jobs, job, now);
  uint32_t i;

  for (i = 0; i < jobs->n_jobs; i++)
    {
      const HsJob *other = &jobs->jobs[i];

      if (other == job || !other->used || other->n_waiting == 0
          || hs_job_rank (jobs, other, now) < rank)
        continue;
      ahead += (double) other->needs.cpu_milli * other->n_waiting;
    }
  if (rate <= 0)
    return HS_NEVER;
  return (HsTime) MIN (ahead / rate * HS_SEC, 3600.0 * HS_SEC);
}

void
hs_jobs_note_drain (HsJobs *jobs, uint32_t cpu_milli, HsTime now)
{
  double past = (double) (now - jobs->drain_at) / (double) DRAIN_SPAN;

  jobs->drain = jobs->drain * exp (-past) + cpu_milli;
  jobs->drain_at = now;
}
