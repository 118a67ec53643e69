#include "direct/jobs.h"

#include <string.h>

#include <glib.h>

#include "direct/jobs_private.h"
#include "direct/liveness.h"
#include "direct/resources.h"
#include "direct/runs.h"

/** A job waits for its first start at most this share of its objective, so that
 *  a caller that is refused then can still try elsewhere. */
#define WAIT_SHARE 0.24

/** A job is refused at once if its predicted wait is this many times longer
 *  than the wait it is allowed: the rate at which resources become free can
 *  change by this factor meanwhile. */
#define WAIT_PREDICTION_ERROR 2.0

/** Run time of the longest task of a job as a multiple of the mean. */
#define LONGEST_TASK_FACTOR 1.1

/** A task that still runs somewhere is started there again after this: several
 *  times what a stop takes. */
#define DUPLICATE_RETRY_DELAY (50 * HS_MSEC)

static int free_jobs (HsJobs *jobs);
static HsJob *allocate_job (HsJobs *jobs);
static void
init_job (HsJobs *jobs, HsJob *job, const HsSubmission *submission, HsTime now);
static HsJob *find_job (const HsJobs *jobs, const char *id);
static bool is_same_job (const HsJob *job, const HsSubmission *submission);
static void admit (HsJobs *jobs, HsJob *job, HsTime now);
static HsJob *find_task (HsJobs *jobs, uint64_t ref, HsTask **task);
static void requeue_task (HsJobs *jobs, HsJob *job, HsTask *task);
static void complete_task (HsJobs *jobs,
                           HsJob *job,
                           HsTask *task,
                           const hsx_end *end,
                           HsTime now);
static HsTime next_due (const HsJob *job);

HsJobs *
hs_jobs_new (TALLOC_CTX *ctx,
             HsTargets *targets,
             const char *data_centre,
             const HsJobsEffects *effects,
             void *arg)
{
  HsJobs *jobs = talloc_zero (ctx, HsJobs);

  jobs->targets = targets;
  jobs->demand = hs_demand_new (jobs);
  jobs->containment = hs_containment_new (jobs);
  jobs->crash_counts = hs_crash_counts_new (jobs);
  jobs->data_centre = talloc_strdup (jobs, data_centre);
  jobs->effects = effects;
  jobs->arg = arg;
  talloc_set_destructor (jobs, free_jobs);
  return jobs;
}

void
hs_jobs_submit (HsJobs *jobs, const HsSubmission *submission, HsTime now)
{
  HsJob *job = find_job (jobs, submission->id);
  bool id_in_use = job != NULL;

  if (job != NULL && is_same_job (job, submission))
    {
      hs_job_hand_over (jobs, job, submission, now);
      return;
    }
  if (!hs_jobs_has_waiting_tasks (jobs))
    {
      hs_service_rate_idle (&jobs->rate, now);
      hs_service_rate_idle (&jobs->reserve_rate, now);
    }
  job = allocate_job (jobs);
  init_job (jobs, job, submission, now);
  hs_demand_job_arrived (jobs->demand, job->customer, job->work_core_s, now);
  if (id_in_use)
    hs_job_give_up (jobs, job, HS_REASON_ID_IN_USE, now);
  else if (hs_job_check_crashes (jobs, job, now))
    admit (jobs, job, now);
}

void
hs_jobs_abandon (HsJobs *jobs, uint64_t request, HsTime now)
{
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    if (jobs->table[i].in_use && jobs->table[i].request == request)
      {
        hs_job_finish (jobs, &jobs->table[i], HS_ANSWER_LOST,
                       HS_REASON_CALLER_GONE, now);
        return;
      }
}

bool
hs_jobs_cancel (HsJobs *jobs, const char *customer, const char *id, HsTime now)
{
  HsJob *job = find_job (jobs, id);

  if (job == NULL || strncmp (job->customer_name, customer, HSX_NAME_MAX) != 0)
    return false;
  hs_job_finish (jobs, job, HS_ANSWER_CANCELLED, HS_REASON_CANCELLED, now);
  return true;
}

/* Whether the agent accepted the start, or refused it because of an evacuation,
   which it does only if no other run of the task is left on its target. */
static bool
agent_took (const hsx_end *end)
{
  return end->how != HSX_END_REFUSED || end->reason == HS_REFUSAL_TARGET
         || end->reason == HS_REFUSAL_UNANSWERED
         || end->reason == HS_REFUSAL_EVACUATED;
}

void
hs_jobs_task_ended (HsJobs *jobs,
                    uint32_t target,
                    const hsx_end *end,
                    HsTime now)
{
  HsTask *task;
  HsJob *job = find_task (jobs, end->ref, &task);

  if (job == NULL || task->target != target)
    return;
  /* Refused as a duplicate: a run of an earlier request for the job is left. */
  if (end->how != HSX_END_REFUSED || end->reason == HS_REFUSAL_DUPLICATE)
    job->may_have_run = true;
  if (agent_took (end))
    task->only_target = HS_TARGET_NONE;
  if (end->how != HSX_END_DONE)
    jobs->effects->task_ended (jobs->arg, job->id, target, task, end);
  switch (end->how)
    {
    case HSX_END_DONE:
      complete_task (jobs, job, task, end, now);
      return;
    case HSX_END_FAILED:
    case HSX_END_STALLED:
    case HSX_END_SLOW:
    case HSX_END_LAPSED:
      hs_targets_task_ended (jobs->targets, target, job->customer, true,
                             end->run_us, 0, now);
      task->avoid_target = target;
      task->stopped_as_slow
          |= end->how == HSX_END_STALLED || end->how == HSX_END_SLOW;
      if (end->how == HSX_END_FAILED && ++task->failures >= job->max_failures)
        {
          hs_job_finish (jobs, job, HS_ANSWER_FAILED, HS_REASON_TASK_FAILED,
                         now);
          return;
        }
      break;
    case HSX_END_STOPPED:
      break;
    case HSX_END_REFUSED:
      if (end->reason == HS_REFUSAL_RESOURCES)
        hs_targets_record_contention (jobs->targets, now);
      if (end->reason == HS_REFUSAL_TARGET)
        {
          hs_targets_task_ended (jobs->targets, target, job->customer, true, 0,
                                 0, now);
          task->avoid_target = target;
        }
      if (end->reason == HS_REFUSAL_UNANSWERED
          || end->reason == HS_REFUSAL_EVACUATED)
        task->avoid_target = target;
      if (end->reason == HS_REFUSAL_DUPLICATE)
        {
          task->only_target = target;
          task->start_after = now + DUPLICATE_RETRY_DELAY;
        }
      break;
    }
  requeue_task (jobs, job, task);
}

uint32_t
hs_jobs_reconcile (HsJobs *jobs,
                   uint32_t target,
                   const uint64_t *refs,
                   uint32_t n)
{
  uint32_t n_stopped = 0;
  uint32_t i;
  uint32_t k;
  uint32_t r;

  for (i = 0; i < jobs->table_size; i++)
    for (k = 0; jobs->table[i].in_use && k < jobs->table[i].n_tasks; k++)
      {
        HsTask *task = &jobs->table[i].tasks[k];

        if (task->state != HS_TASK_SENT || task->target != target)
          continue;
        for (r = 0; r < n && refs[r] != task->ref; r++)
          ;
        if (r < n)
          continue;
        jobs->effects->task_not_held (jobs->arg, jobs->table[i].id, target,
                                      task);
        requeue_task (jobs, &jobs->table[i], task);
      }
  for (r = 0; r < n; r++)
    {
      HsTask *task;

      if (find_task (jobs, refs[r], &task) != NULL && task->target == target)
        continue;
      jobs->effects->stop (jobs->arg, target, refs[r]);
      n_stopped++;
    }
  return n_stopped;
}

void
hs_jobs_target_lost (HsJobs *jobs,
                     uint32_t target,
                     bool tasks_ended,
                     HsTime now)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < jobs->table_size; i++)
    for (k = 0; jobs->table[i].in_use && k < jobs->table[i].n_tasks; k++)
      {
        HsJob *job = &jobs->table[i];
        HsTask *task = &job->tasks[k];

        if (task->only_target == target)
          {
            task->only_target = HS_TARGET_NONE;
            task->start_after = tasks_ended ? 0 : now + HS_CALLER_RETRY_DELAY;
          }
        if (task->state != HS_TASK_SENT || task->target != target)
          continue;
        if (tasks_ended)
          {
            job->may_have_run = true;
            requeue_task (jobs, job, task);
            continue;
          }
        hs_job_give_up (jobs, job, HS_REASON_TARGET_LOST, now);
        break;
      }
}

HsTime
hs_jobs_tick (HsJobs *jobs, HsTime now)
{
  HsTime due = hs_jobs_tick_crashes (jobs, now);
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    {
      HsJob *job = &jobs->table[i];

      if (!job->in_use)
        continue;
      if (hs_job_is_evacuated (jobs, job))
        hs_job_give_up (jobs, job, HS_REASON_EVACUATED, now);
      else if (job->n_starts == 0 && hs_job_is_shut_out (jobs, job))
        hs_job_give_up (jobs, job, HS_REASON_CONTAINED, now);
      else if (next_due (job) > now)
        due = MIN (due, next_due (job));
      else if (now >= job->deadline)
        hs_job_give_up (jobs, job, HS_REASON_DEADLINE, now);
      else if (job->n_starts == 0)
        {
          if (!hs_job_is_contained (jobs, job))
            hs_wait_forecast_waited (&jobs->forecast,
                                     hs_job_rank (jobs, job, now), now);
          hs_job_give_up (jobs, job, HS_REASON_WAITED, now);
        }
      else
        hs_job_give_up (jobs, job, HS_REASON_TOO_LATE, now);
    }
  return due;
}

bool
hs_jobs_has_waiting_tasks (const HsJobs *jobs)
{
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    if (jobs->table[i].in_use && jobs->table[i].n_waiting > 0)
      return true;
  return false;
}

uint32_t
hs_jobs_count (const HsJobs *jobs)
{
  return jobs->n_active;
}

bool
hs_jobs_has_job (const HsJobs *jobs, const char *id)
{
  return find_job (jobs, id) != NULL;
}

static int
free_jobs (HsJobs *jobs)
{
  jobs->table = NULL;
  return 0;
}

static HsJob *
find_job (const HsJobs *jobs, const char *id)
{
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    if (jobs->table[i].in_use && strcmp (jobs->table[i].id, id) == 0)
      return &jobs->table[i];
  return NULL;
}

static bool
is_same_job (const HsJob *job, const HsSubmission *submission)
{
  return strcmp (job->customer_name, submission->customer) == 0
         && strcmp (job->service, submission->service) == 0
         && job->n_tasks == submission->n_tasks
         && hs_resources_equal (&job->needs, &submission->needs)
         && job->spec_len == submission->spec_len
         && memcmp (job->spec, submission->spec, job->spec_len) == 0;
}

static HsJob *
allocate_job (HsJobs *jobs)
{
  uint32_t i;

  for (i = 0; i < jobs->table_size; i++)
    if (!jobs->table[i].in_use)
      break;
  if (i == jobs->table_size)
    {
      g_assert (i < (1u << REF_JOB_BITS));
      jobs->table_size++;
      jobs->table = talloc_realloc (jobs, jobs->table, HsJob, jobs->table_size);
      jobs->by_rank
          = talloc_realloc (jobs, jobs->by_rank, uint32_t, jobs->table_size);
      jobs->ranks
          = talloc_realloc (jobs, jobs->ranks, double, jobs->table_size);
    }
  memset (&jobs->table[i], 0, sizeof jobs->table[i]);
  jobs->table[i].in_use = true;
  jobs->n_active++;
  return &jobs->table[i];
}

static void
init_job (HsJobs *jobs, HsJob *job, const HsSubmission *submission, HsTime now)
{
  double longest;
  uint32_t i;

  job->request = submission->request;
  job->id = talloc_strdup (jobs, submission->id);
  job->customer_name
      = talloc_strndup (job->id, submission->customer, HSX_NAME_MAX);
  job->service = talloc_strdup (job->id, submission->service);
  job->spec = talloc_memdup (job->id, submission->spec, submission->spec_len);
  job->spec_len = submission->spec_len;
  job->customer
      = hs_demand_customer_handle (jobs->demand, submission->customer);
  job->containment = hs_containment_customer (
      jobs->containment, submission->service, submission->customer);
  job->needs = submission->needs;
  job->declared_run_time = submission->declared_run_time;
  job->expected_run_time = hs_demand_expected_run_time (
      jobs->demand, job->customer, submission->declared_run_time);
  longest = (double) job->expected_run_time
            * (submission->n_tasks > 1 ? LONGEST_TASK_FACTOR : 1);
  job->objective
      = (HsTime) (submission->slack_factor * longest) + submission->slack;
  job->arrived_at = now;
  job->deadline = now + submission->time_left;
  job->useless_after
      = MIN (job->deadline, now + HS_USELESS_FACTOR * job->objective);
  job->wait_until = MIN (job->deadline,
                         now + (HsTime) (WAIT_SHARE * (double) job->objective));
  job->work_core_s = (double) submission->n_tasks * submission->needs.cpu_milli
                     / 1000 * (double) job->expected_run_time / HS_SEC;
  job->max_failures = submission->max_failures;
  job->n_tasks = submission->n_tasks;
  job->n_waiting = submission->n_tasks;
  job->tasks = talloc_zero_array (job->id, HsTask, submission->n_tasks);
  for (i = 0; i < job->n_tasks; i++)
    {
      job->tasks[i].index = i;
      job->tasks[i].avoid_target = HS_TARGET_NONE;
      job->tasks[i].only_target = HS_TARGET_NONE;
    }
}

/* Counts a job that is let in; its rank was @p rank before any task of it was
   started. */
static void
count_admitted (HsJobs *jobs, const HsJob *job, double rank, HsTime now)
{
  if (!hs_job_is_contained (jobs, job))
    hs_wait_forecast_add (&jobs->forecast, rank,
                          (double) job->needs.cpu_milli * job->n_tasks, now);
}

static void
admit (HsJobs *jobs, HsJob *job, HsTime now)
{
  uint32_t handle = (uint32_t) (job - jobs->table);
  uint64_t capacity_milli;
  uint64_t free_milli;
  HsTime predicted_wait;
  HsForecast forecast;
  double rank = hs_job_rank (jobs, job, now);

  hs_targets_sum_capacity (jobs->targets, job->service, &capacity_milli,
                           &free_milli, now);
  if (hs_job_is_evacuated (jobs, job))
    {
      hs_job_give_up (jobs, job, HS_REASON_EVACUATED, now);
      return;
    }
  if (capacity_milli > 0
      && !hs_targets_can_hold (jobs->targets, job->service, &job->needs))
    {
      hs_job_give_up (jobs, job, HS_REASON_NO_TARGET, now);
      return;
    }
  if (hs_job_is_shut_out (jobs, job))
    {
      hs_job_give_up (jobs, job, HS_REASON_CONTAINED, now);
      return;
    }
  /* While no target is ready, as after a restart of all of them, the job waits
     as long as it could still meet its objective. */
  if (capacity_milli == 0)
    job->wait_until = MAX (job->wait_until, job->arrived_at + job->objective
                                                - job->expected_run_time);
  hs_jobs_dispatch (jobs, now);
  job = &jobs->table[handle];
  if (!job->in_use)
    return;
  if (job->n_starts > 0 || capacity_milli == 0)
    {
      count_admitted (jobs, job, rank, now);
      return;
    }
  predicted_wait = hs_jobs_predict_wait (jobs, job, now);
  forecast = hs_jobs_forecast (jobs, job, now);
  job->trial = forecast == HS_FORECAST_TRIAL;
  if (forecast == HS_FORECAST_MISS
      || (predicted_wait != HS_NEVER
          && (double) predicted_wait
                 > WAIT_PREDICTION_ERROR * (double) (job->wait_until - now)))
    hs_job_give_up (jobs, job, HS_REASON_QUEUE, now);
  else
    count_admitted (jobs, job, rank, now);
}

static HsJob *
find_task (HsJobs *jobs, uint64_t ref, HsTask **task)
{
  uint32_t index = ref & ((1u << REF_TASK_BITS) - 1);
  uint32_t handle = (ref >> REF_TASK_BITS) & ((1u << REF_JOB_BITS) - 1);
  HsJob *job;

  if (handle >= jobs->table_size)
    return NULL;
  job = &jobs->table[handle];
  if (!job->in_use || index >= job->n_tasks)
    return NULL;
  *task = &job->tasks[index];
  if ((*task)->state != HS_TASK_SENT || (*task)->ref != ref)
    return NULL;
  return job;
}

static void
requeue_task (HsJobs *jobs, HsJob *job, HsTask *task)
{
  hs_targets_get (jobs->targets, task->target)->n_tasks--;
  task->state = HS_TASK_WAITING;
  job->n_sent--;
  job->n_waiting++;
}

static void
complete_task (HsJobs *jobs,
               HsJob *job,
               HsTask *task,
               const hsx_end *end,
               HsTime now)
{
  hs_targets_get (jobs->targets, task->target)->n_tasks--;
  hs_targets_task_ended (jobs->targets, task->target, job->customer, false,
                         end->run_us, job->expected_run_time, now);
  hs_demand_add_run_time (jobs->demand, job->customer, job->declared_run_time,
                          end->run_us);
  task->state = HS_TASK_DONE;
  job->n_sent--;
  job->n_done++;
  if (job->n_done == job->n_tasks)
    hs_job_finish (jobs, job, HS_ANSWER_COMPLETED, HS_REASON_DONE, now);
}

static HsTime
next_due (const HsJob *job)
{
  HsTime due = job->deadline;

  if (job->n_starts == 0)
    due = MIN (due, job->wait_until);
  else if (job->n_waiting > 0)
    due = MIN (due, MAX (job->useless_after - job->expected_run_time,
                         job->wait_until));
  return due;
}
