/* Where and in which order the waiting tasks are started. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "direct/jobs_private.h"
#include "direct/resources.h"

/** Number of needs that are remembered as fitting nowhere; further needs are
 *  searched for each time. */
#define UNPLACEABLE_MAX 16

/** Needs for which no target of a service and group has room. Free resources
 *  only shrink during a dispatch, so larger needs don't fit either. */
typedef struct
{
  const char *service;
  HsTargetGroup group;
  hsx_room needs;
} Unplaceable;

typedef struct
{
  Unplaceable rows[UNPLACEABLE_MAX];
  uint32_t n;
} UnplaceableList;

static uint32_t sort_waiting (HsJobs *jobs, HsTime now);
static void place_tasks (HsJobs *jobs,
                         HsJob *job,
                         UnplaceableList *unplaceable,
                         HsTime now);
static bool is_unplaceable (const UnplaceableList *list,
                            const HsJob *job,
                            HsTargetGroup group);
static void
add_unplaceable (UnplaceableList *list, const HsJob *job, HsTargetGroup group);
static bool start_task (HsJobs *jobs,
                        HsJob *job,
                        HsTask *task,
                        uint32_t target,
                        HsTime now);
static uint32_t
slow_threshold_ms (const HsJobs *jobs, const HsJob *job, const HsTask *task);

void
hs_jobs_dispatch (HsJobs *jobs, HsTime now)
{
  uint32_t n = sort_waiting (jobs, now);
  UnplaceableList unplaceable = { .n = 0 };
  uint32_t i;

  for (i = 0; i < n; i++)
    place_tasks (jobs, &jobs->table[jobs->by_rank[i]], &unplaceable, now);
}

static int
compare_ranks (const void *a, const void *b, void *arg)
{
  const HsJobs *jobs = arg;
  double x = jobs->ranks[*(const uint32_t *) a];
  double y = jobs->ranks[*(const uint32_t *) b];

  return x < y ? 1 : x > y ? -1 : 0;
}

static uint32_t
sort_waiting (HsJobs *jobs, HsTime now)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    {
      if (!jobs->table[i].in_use || jobs->table[i].n_waiting == 0)
        continue;
      jobs->ranks[i] = hs_job_rank (jobs, &jobs->table[i], now);
      jobs->by_rank[n++] = i;
    }
  if (n > 1)
    qsort_r (jobs->by_rank, n, sizeof *jobs->by_rank, compare_ranks, jobs);
  return n;
}

static void
place_tasks (HsJobs *jobs, HsJob *job, UnplaceableList *unplaceable, HsTime now)
{
  HsTargetGroup group = hs_job_target_group (jobs, job);
  bool fits_nowhere = is_unplaceable (unplaceable, job, group);
  uint32_t i;

  if (hs_job_is_shut_out (jobs, job) || hs_job_is_held (job))
    return;
  for (i = 0; i < job->n_tasks && job->n_waiting > 0; i++)
    {
      HsTask *task = &job->tasks[i];
      uint32_t target;

      if (task->state != HS_TASK_WAITING || now < task->start_after)
        continue;
      if (task->only_target != HS_TARGET_NONE
          && !hs_targets_has_room (jobs->targets, task->only_target,
                                   &job->needs, now))
        continue;
      target = task->only_target;
      if (target == HS_TARGET_NONE && !fits_nowhere)
        {
          target = hs_targets_choose (jobs->targets, job->service, group,
                                      &job->needs, jobs->data_centre,
                                      task->avoid_target, now);
          if (target == HS_TARGET_NONE)
            add_unplaceable (unplaceable, job, group);
        }
      if (target == HS_TARGET_NONE
          || !start_task (jobs, job, task, target, now))
        return;
    }
}

static bool
is_unplaceable (const UnplaceableList *list,
                const HsJob *job,
                HsTargetGroup group)
{
  uint32_t i;

  for (i = 0; i < list->n; i++)
    if (list->rows[i].group == group
        && hs_resources_fit (&job->needs, &list->rows[i].needs)
        && strcmp (list->rows[i].service, job->service) == 0)
      return true;
  return false;
}

static void
add_unplaceable (UnplaceableList *list, const HsJob *job, HsTargetGroup group)
{
  if (list->n < UNPLACEABLE_MAX)
    list->rows[list->n++] = (Unplaceable){ job->service, group, job->needs };
}

static bool
start_task (HsJobs *jobs, HsJob *job, HsTask *task, uint32_t target, HsTime now)
{
  uint32_t index = (uint32_t) (task - job->tasks);
  uint64_t ref
      = ((uint64_t) jobs->next_generation++ << (REF_JOB_BITS + REF_TASK_BITS))
        | ((uint64_t) (job - jobs->table) << REF_TASK_BITS) | index;
  hsx_launch launch
      = { .job = job->id,
          .customer = job->customer_name,
          .spec = { (u_int) job->spec_len, job->spec },
          .needs = job->needs,
          .expected_ms = (unsigned int) (job->expected_run_time / HS_MSEC),
          .left_ms = (unsigned int) ((job->deadline - now) / HS_MSEC) };
  hsx_launch_task launch_task = { .ref = ref, .index = index };
  HsTarget *row = hs_targets_get (jobs->targets, target);
  uint32_t number;

  launch_task.attempt = ++task->attempt;
  if (now >= row->warm_at)
    launch_task.slow_ms = slow_threshold_ms (jobs, job, task);
  number = jobs->effects->launch (jobs->arg, target, &launch, &launch_task);
  if (number == 0)
    return false;
  hs_targets_launch_sent (jobs->targets, target, &job->needs, number);
  row->n_tasks++;
  hs_service_rate_add (hs_job_is_contained (jobs, job) ? &jobs->reserve_rate
                                                       : &jobs->rate,
                       job->needs.cpu_milli, now);
  task->state = HS_TASK_SENT;
  task->ref = ref;
  task->target = target;
  task->sent_at = now;
  task->used_offer = now < row->offer_until;
  task->report_age = now - row->last_message_at;
  job->n_waiting--;
  job->n_sent++;
  job->n_starts++;
  if (job->first_sent_at == 0)
    job->first_sent_at = now;
  return true;
}

/* The run time in ms after which an agent stops the task as slow; 0 for no
   limit. A task that was stopped as slow once has none: it may simply take
   longer than expected. */
static uint32_t
slow_threshold_ms (const HsJobs *jobs, const HsJob *job, const HsTask *task)
{
  if (task->stopped_as_slow
      || !hs_demand_run_time_is_known (jobs->demand, job->customer))
    return 0;
  return (uint32_t) (hs_targets_slow_threshold (jobs->targets,
                                                job->expected_run_time)
                     / HS_MSEC);
}
