/* The order of waiting jobs, and the predicted wait of a job that arrives. */
#include <glib.h>

#include "direct/jobs_private.h"

/** Factor on the value of a job that can no longer meet its objective. */
#define LATE_VALUE_FACTOR 0.2

/** Factor on the value of a contained customer's job under which a target has
 *  crashed: others that wait for the few targets are less likely to crash them.
 */
#define CRASHED_VALUE_FACTOR 0.1

/** Lower bound on the work left, so that the rank of a nearly finished job
 *  stays finite. */
#define WORK_MIN_CORE_S 0.02

/** Golden ratio of 32 bits: spreads values that differ in the lowest bits. */
#define HASH_MULTIPLIER 2654435769u

/** Ranks are sent as integers, multiplied by this. */
#define RANK_SCALE 1000.0

double
hs_job_rank (const HsJobs *jobs, const HsJob *job, HsTime now)
{
  double work_left = job->work_core_s * job->n_waiting / job->n_tasks;
  double value
      = hs_demand_job_value (jobs->demand, job->customer, job->work_core_s);

  if (now + job->expected_run_time > job->arrived_at + job->objective)
    value *= LATE_VALUE_FACTOR;
  if (job->n_crashes > 0 && hs_job_is_contained (jobs, job))
    value *= CRASHED_VALUE_FACTOR;
  value *= hs_demand_priority_boost (jobs->demand, job->customer,
                                     job->work_core_s);
  return value / MAX (work_left, WORK_MIN_CORE_S);
}

hsx_want
hs_jobs_backlog (const HsJobs *jobs, bool reserve, HsTime now)
{
  HsTargetGroup other = reserve ? HS_TARGETS_COMMON : HS_TARGETS_RESERVE;
  hsx_want backlog = { 0 };
  double best = 0;
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    {
      const HsJob *job = &jobs->table[i];
      double rank;

      if (!job->in_use || job->n_waiting == 0 || hs_job_is_held (job)
          || hs_job_target_group (jobs, job) == other)
        continue;
      backlog.tasks += job->n_waiting;
      rank = hs_job_rank (jobs, job, now);
      if (backlog.rank > 0 && rank <= best)
        continue;
      best = rank;
      backlog.rank = (uint64_t) (rank * RANK_SCALE) + 1;
      backlog.needs = job->needs;
    }
  return backlog;
}

/* The time in which the waiting tasks of jobs of @p rank_min and above get
   resources, after @p milli for others. */
static HsTime
time_to_serve (const HsJobs *jobs,
               const HsJob *except,
               double milli,
               double rank_min,
               HsTime now)
{
  bool contained = hs_job_is_contained (jobs, except);
  double milli_per_s = hs_service_rate_per_s (
      contained ? &jobs->reserve_rate : &jobs->rate, now);
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    {
      const HsJob *other = &jobs->table[i];

      if (other == except || !other->in_use || other->n_waiting == 0
          || hs_job_is_held (other)
          || hs_job_is_contained (jobs, other) != contained
          || hs_job_rank (jobs, other, now) < rank_min)
        continue;
      milli += (double) other->needs.cpu_milli * other->n_waiting;
    }
  if (milli_per_s <= 0)
    return HS_NEVER;
  return (HsTime) MIN (milli / milli_per_s * HS_SEC, 3600.0 * HS_SEC);
}

HsTime
hs_jobs_predict_wait (const HsJobs *jobs, const HsJob *job, HsTime now)
{
  return time_to_serve (jobs, job, job->needs.cpu_milli,
                        hs_job_rank (jobs, job, now), now);
}

HsTime
hs_jobs_predict_return (const HsJobs *jobs, const HsJob *job, HsTime now)
{
  HsTime drained = time_to_serve (jobs, job, job->needs.cpu_milli, 0, now);
  /* Ids that differ in the last character have nearly the same hash. */
  uint32_t hash = g_str_hash (job->id) * HASH_MULTIPLIER;
  double part = (double) hash / G_MAXUINT32;

  if (drained == HS_NEVER)
    return HS_NEVER;
  return drained + (HsTime) (part * (double) drained);
}

/* Adds what the job's running tasks release within a span. */
static void
add_releases (const HsJobs *jobs,
              const HsJob *job,
              HsTime span,
              HsReleases *releases,
              HsTime now)
{
  double spread = hs_demand_run_time_spread (jobs->demand, job->customer);
  uint32_t n = job->n_sent;
  uint32_t i;

  for (i = 0; i < job->n_tasks && n > 0; i++)
    {
      const HsTask *task = &job->tasks[i];

      if (task->state != HS_TASK_SENT)
        continue;
      n--;
      hs_releases_add (releases, job->needs.cpu_milli, now - task->sent_at,
                       job->expected_run_time, spread, span);
    }
}

HsForecast
hs_jobs_forecast (HsJobs *jobs, const HsJob *job, HsTime now)
{
  HsWaitQuery query
      = { .rank = hs_job_rank (jobs, job, now),
          .wait = job->wait_until - now,
          .ahead_milli = job->needs.cpu_milli,
          .milli_per_s = hs_service_rate_per_s (&jobs->rate, now) };
  uint32_t i;

  if (hs_job_is_contained (jobs, job) || query.milli_per_s <= 0)
    return HS_FORECAST_MAY_START;
  for (i = 0; i < jobs->table_size; i++)
    {
      const HsJob *other = &jobs->table[i];

      if (other == job || !other->in_use || hs_job_is_contained (jobs, other))
        continue;
      if (other->n_sent > 0)
        add_releases (jobs, other, query.wait, &query.due, now);
      if (other->n_waiting > 0 && !hs_job_is_held (other)
          && hs_job_rank (jobs, other, now) >= query.rank)
        query.ahead_milli += (double) other->needs.cpu_milli * other->n_waiting;
    }
  return hs_wait_forecast_check (&jobs->forecast, &query, now);
}
