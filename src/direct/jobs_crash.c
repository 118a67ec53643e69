/* Tasks that crash their targets: how often one is started, and on which
   targets a customer whose tasks do so is served. */
#include <string.h>

#include <glib.h>

#include "direct/jobs_private.h"

/** The time of a crash that broke no connection is known to this accuracy: the
 *  time-out of a poll. */
#define SILENT_CRASH_ERROR (50 * HS_MSEC)

static void count_crashes (HsJobs *jobs, const hsx_crash *crash, HsTime now);
static void add_evidence (HsJobs *jobs, const hsx_crash *crash, HsTime now);
static void report_changes (HsJobs *jobs);

bool
hs_jobs_target_crashed (HsJobs *jobs, const hsx_crash *crash, HsTime now)
{
  if (!hs_crash_counts_is_new (jobs->crash_counts, crash->agent, crash->number,
                               now))
    return false;
  count_crashes (jobs, crash, now);
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
  uint32_t n_certain = 0;
  uint32_t i;

  for (i = 0; i < job->n_tasks; i++)
    {
      HsCrashCount count = hs_crash_counts_get (jobs->crash_counts,
                                                job->customer_name, job->id, i);

      job->n_crashes = MAX (job->n_crashes, count.all);
      n_certain = MAX (n_certain, count.certain);
    }
  if (n_certain >= HS_CRASHES_MAX)
    hs_job_finish (jobs, job, HS_ANSWER_FAILED, HS_REASON_CRASHES, now);
  else if (job->n_crashes >= HS_CRASHES_MAX)
    hs_job_finish (jobs, job, HS_ANSWER_REFUSED, HS_REASON_CRASHES, now);
  else
    return true;
  return false;
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

static void
count_crashes (HsJobs *jobs, const hsx_crash *crash, HsTime now)
{
  u_int i;
  uint32_t k;

  for (i = 0; i < crash->tasks.tasks_len; i++)
    {
      const hsx_crash_task *task = &crash->tasks.tasks_val[i];
      HsCrashCount count
          = hs_crash_counts_add (jobs->crash_counts, task->customer, task->job,
                                 task->index, task->certain, now);

      for (k = 0; k < jobs->table_size; k++)
        {
          HsJob *job = &jobs->table[k];

          if (!job->in_use || strcmp (job->id, task->job) != 0
              || strcmp (job->customer_name, task->customer) != 0)
            continue;
          job->n_crashes = MAX (job->n_crashes, count.all);
          if (count.all >= HS_CRASHES_MAX)
            hs_job_finish (jobs, job,
                           count.certain >= HS_CRASHES_MAX ? HS_ANSWER_FAILED
                                                           : HS_ANSWER_LOST,
                           HS_REASON_CRASHES, now);
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
