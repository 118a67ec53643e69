/* Tasks that crash their targets: how often one is started, and on which
   targets a customer whose tasks do so is served. */
#include <string.h>

#include <glib.h>

#include "direct/jobs_private.h"

/** The time of a crash that broke no connection is known to this accuracy: the
 *  time-out of a poll. */
#define SILENT_CRASH_ERROR (50 * HS_MSEC)

/** The crashes under one of a job's tasks, each the most of them. */
typedef struct
{
  uint32_t all;
  uint32_t certain;
  uint32_t suspected; /**< Certain ones included. */
} MostCrashes;

static MostCrashes most_crashes (const HsJobs *jobs, const HsJob *job);
static void count_crashes (HsJobs *jobs,
                           const hsx_crash *crash,
                           HsCrashStage before,
                           HsTime now);
static void weigh_crashes (HsJobs *jobs, HsJob *job, HsTime now);
static void add_evidence (HsJobs *jobs, const hsx_crash *crash, HsTime now);
static void report_changes (HsJobs *jobs);

bool
hs_jobs_target_crashed (HsJobs *jobs, const hsx_crash *crash, HsTime now)
{
  HsCrashStage before;

  if (crash->stage < HSX_CRASH_SUSPECTED || crash->stage > HSX_CRASH_WITHDRAWN
      || !hs_crash_counts_is_new (jobs->crash_counts, crash->agent,
                                  crash->number, (HsCrashStage) crash->stage,
                                  &before, now))
    return false;
  count_crashes (jobs, crash, before, now);
  if (before == HS_CRASH_UNKNOWN && crash->stage != HSX_CRASH_WITHDRAWN)
    add_evidence (jobs, crash, now);
  report_changes (jobs);
  return true;
}

HsTime
hs_jobs_tick_crashes (HsJobs *jobs, HsTime now)
{
  HsTime due = hs_crash_counts_tick (jobs->crash_counts, now);

  due = MIN (due, hs_containment_tick (jobs->containment, now));
  report_changes (jobs);
  return due;
}

bool
hs_job_check_crashes (HsJobs *jobs, HsJob *job, HsTime now)
{
  MostCrashes most = most_crashes (jobs, job);

  job->n_crashes = most.all;
  if (most.certain >= HS_CRASHES_MAX)
    hs_job_finish (jobs, job, HS_ANSWER_FAILED, HS_REASON_CRASHES, now);
  else if (most.all >= HS_CRASHES_MAX)
    hs_job_finish (jobs, job, HS_ANSWER_REFUSED, HS_REASON_CRASHES, now);
  else
    return true;
  return false;
}

bool
hs_job_is_held (const HsJob *job)
{
  return job->n_crashes >= HS_CRASHES_MAX;
}

bool
hs_job_is_contained (const HsJobs *jobs, const HsJob *job)
{
  return hs_containment_is_contained (jobs->containment, job->containment);
}

HsTargetGroup
hs_job_target_group (const HsJobs *jobs, const HsJob *job)
{
  if (hs_job_is_contained (jobs, job))
    return HS_TARGETS_RESERVE;
  if (hs_containment_is_active (jobs->containment, job->service)
      && hs_targets_any_ready (jobs->targets, job->service, HS_TARGETS_COMMON))
    return HS_TARGETS_COMMON;
  return HS_TARGETS_ALL;
}

bool
hs_job_is_shut_out (const HsJobs *jobs, const HsJob *job)
{
  return hs_job_is_contained (jobs, job)
         && !hs_targets_reserve_is_open (jobs->targets, job->service);
}

static MostCrashes
most_crashes (const HsJobs *jobs, const HsJob *job)
{
  MostCrashes most = { 0 };
  uint32_t i;

  for (i = 0; i < job->n_tasks; i++)
    {
      HsCrashCount count = hs_crash_counts_get (jobs->crash_counts,
                                                job->customer_name, job->id, i);

      most.all = MAX (most.all, count.all);
      most.certain = MAX (most.certain, count.certain);
      most.suspected = MAX (most.suspected, count.certain + count.suspected);
    }
  return most;
}

/* A job that has failed if a suspected crash turns out to be certain waits for
   that until it is too late for its caller. */
static void
weigh_crashes (HsJobs *jobs, HsJob *job, HsTime now)
{
  MostCrashes most = most_crashes (jobs, job);

  job->n_crashes = most.all;
  if (most.certain >= HS_CRASHES_MAX)
    hs_job_finish (jobs, job, HS_ANSWER_FAILED, HS_REASON_CRASHES, now);
  else if (most.all >= HS_CRASHES_MAX && most.suspected < HS_CRASHES_MAX)
    hs_job_finish (jobs, job, HS_ANSWER_LOST, HS_REASON_CRASHES, now);
}

static void
count_crashes (HsJobs *jobs,
               const hsx_crash *crash,
               HsCrashStage before,
               HsTime now)
{
  u_int i;
  uint32_t k;

  for (i = 0; i < crash->tasks.tasks_len; i++)
    {
      const hsx_crash_task *task = &crash->tasks.tasks_val[i];

      hs_crash_counts_add (jobs->crash_counts, task->customer, task->job,
                           task->index, task->certain, before,
                           (HsCrashStage) crash->stage, now);
      for (k = 0; k < jobs->table_size; k++)
        {
          HsJob *job = &jobs->table[k];

          if (job->in_use && strcmp (job->id, task->job) == 0
              && strcmp (job->customer_name, task->customer) == 0)
            weigh_crashes (jobs, job, now);
        }
    }
}

static void
add_evidence (HsJobs *jobs, const hsx_crash *crash, HsTime now)
{
  HsCrashSuspect suspects[HSX_CRASH_TASKS_MAX];
  HsCrashEvidence evidence
      = { .service = crash->service,
          .at = now - (HsTime) crash->ago_us,
          .n_targets = hs_targets_count (jobs->targets, crash->service),
          .at_error = crash->silent ? SILENT_CRASH_ERROR : 0,
          .reserved = hs_targets_host_crashed (jobs->targets, crash->service,
                                               crash->host),
          .suspects = suspects };
  uint32_t n = crash->customers.customers_len;
  uint32_t i;

  for (i = 0; i < n; i++)
    {
      const hsx_crash_customer *customer = &crash->customers.customers_val[i];

      suspects[i].customer = customer->name;
      suspects[i].age = customer->age_us;
      suspects[i].jobs_per_s = customer->jobs_milli / 1000.0;
    }
  evidence.n_suspects = n;
  hs_containment_add_crash (jobs->containment, &evidence, now);
}

static void
report_changes (HsJobs *jobs)
{
  HsContainmentChange change;

  while (hs_containment_next_change (jobs->containment, &change))
    jobs->effects->contained (jobs->arg, &change);
}
