#include "direct/jobs.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "direct/jobs_private.h"
#include "direct/resources.h"
#include "direct/runs.h"

/** A job waits for its first start at most this part of its objective; a
 *  caller who is refused then can still try elsewhere. */
#define WAIT_PART 0.24

/** A job is refused at once if it would have to wait this many times longer:
 *  the rate at which room comes free changes by as much within its wait. */
#define WAIT_DOUBT 2.0

/** The longest task of a job takes about so many times the mean one. */
#define LONGEST_FACTOR 1.1

/** A job this many times over its objective is of no use to its caller. */
#define LATE_FACTOR 3

/** Retry-After where nothing is known of how soon room comes free. */
#define RETRY_UNKNOWN_MS 1000
#define RETRY_MAX_MS 10000

/** Bits of a ref that hold the task and the job. */
#define REF_TASK_BITS 12
#define REF_JOB_BITS 20

static int free_jobs (HsJobs *jobs);
static HsJob *job_new (HsJobs *jobs);
static void
job_fill (HsJobs *jobs, HsJob *job, const HsSubmission *from, HsTime now);
static void admit (HsJobs *jobs, HsJob *job, HsTime now);
static void job_finish (HsJobs *jobs,
                        HsJob *job,
                        HsAnswerKind kind,
                        HsAnswerWhy why,
                        HsTime now);
static void give_up (HsJobs *jobs, HsJob *job, HsAnswerWhy why, HsTime now);
static HsJob *find_ref (HsJobs *jobs, uint64_t ref, HsTask **task);
static void task_back (HsJobs *jobs, HsJob *job, HsTask *task);
static void task_done (HsJobs *jobs,
                       HsJob *job,
                       HsTask *task,
                       const hsx_end *end,
                       HsTime now);
static uint32_t sort_waiting (HsJobs *jobs, HsTime now);
static void place (HsJobs *jobs, HsJob *job, HsTime now);
static bool
launch (HsJobs *jobs, HsJob *job, HsTask *task, uint32_t target, HsTime now);
static uint32_t
slow_after (const HsJobs *jobs, const HsJob *job, const HsTask *task);
static HsTime due_at (const HsJob *job);
static uint32_t retry_after (const HsJobs *jobs, const HsJob *job, HsTime now);

const char *
hs_answer_why_word (HsAnswerWhy why)
{
  static const char *const words[] = {
    [HS_WHY_DONE] = "done",
    [HS_WHY_TASK_FAILED] = "task_failed",
    [HS_WHY_NO_TARGET] = "no_target",
    [HS_WHY_QUEUE] = "queue",
    [HS_WHY_WAITED] = "waited",
    [HS_WHY_DEADLINE] = "deadline",
    [HS_WHY_TOO_LATE] = "too_late",
    [HS_WHY_TARGET_LOST] = "target_lost",
    [HS_WHY_CALLER_GONE] = "caller_gone",
    [HS_WHY_CANCELLED] = "cancelled",
  };

  return words[why];
}

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
  jobs->data_centre = talloc_strdup (jobs, data_centre);
  jobs->effects = effects;
  jobs->arg = arg;
  talloc_set_destructor (jobs, free_jobs);
  return jobs;
}

void
hs_jobs_submit (HsJobs *jobs, const HsSubmission *from, HsTime now)
{
  HsJob *job = job_new (jobs);

  job_fill (jobs, job, from, now);
  hs_demand_arrived (jobs->demand, job->customer, job->work, now);
  admit (jobs, job, now);
}

void
hs_jobs_abandon (HsJobs *jobs, uint64_t request, HsTime now)
{
  uint32_t i;

  for (i = 0; i < jobs->n_jobs; i++)
    if (jobs->jobs[i].used && jobs->jobs[i].request == request)
      {
        job_finish (jobs, &jobs->jobs[i], HS_ANSWER_LOST, HS_WHY_CALLER_GONE,
                    now);
        return;
      }
}

bool
hs_jobs_cancel (HsJobs *jobs, const char *id, HsTime now)
{
  uint32_t i;

  for (i = 0; i < jobs->n_jobs; i++)
    if (jobs->jobs[i].used && strcmp (jobs->jobs[i].id, id) == 0)
      {
        job_finish (jobs, &jobs->jobs[i], HS_ANSWER_CANCELLED, HS_WHY_CANCELLED,
                    now);
        return true;
      }
  return false;
}

void
hs_jobs_ended (HsJobs *jobs, uint32_t target, const hsx_end *end, HsTime now)
{
  HsTask *task;
  HsJob *job = find_ref (jobs, end->ref, &task);

  if (job == NULL || task->target != target)
    return;
  if (end->how != HSX_END_REFUSED)
    job->may_have_run = true;
  if (end->how != HSX_END_DONE)
    jobs->effects->task_ended (jobs->arg, job->id, target, task, end);
  switch (end->how)
    {
    case HSX_END_DONE:
      task_done (jobs, job, task, end, now);
      return;
    case HSX_END_FAILED:
    case HSX_END_STALLED:
    case HSX_END_SLOW:
    case HSX_END_LAPSED:
      hs_targets_ended (jobs->targets, target, job->customer, true, end->run_us,
                        0, now);
      task->avoid = target;
      task->stalled |= end->how == HSX_END_STALLED || end->how == HSX_END_SLOW;
      if (end->how == HSX_END_FAILED && ++task->failures >= job->max_failures)
        {
          job_finish (jobs, job, HS_ANSWER_FAILED, HS_WHY_TASK_FAILED, now);
          return;
        }
      break;
    case HSX_END_STOPPED:
      break;
    case HSX_END_REFUSED:
      if (end->reason == HS_REFUSAL_RESOURCES)
        hs_targets_refused (jobs->targets, now);
      if (end->reason == HS_REFUSAL_TARGET)
        {
          hs_targets_ended (jobs->targets, target, job->customer, true, 0, 0,
                            now);
          task->avoid = target;
        }
      if (end->reason == HS_REFUSAL_UNANSWERED)
        task->avoid = target;
      break;
    }
  task_back (jobs, job, task);
}

void
hs_jobs_held (HsJobs *jobs,
              uint32_t target,
              const uint64_t *refs,
              uint32_t n,
              HsTime now)
{
  uint32_t i;
  uint32_t k;
  uint32_t r;

  (void) now;
  for (i = 0; i < jobs->n_jobs; i++)
    for (k = 0; jobs->jobs[i].used && k < jobs->jobs[i].n_tasks; k++)
      {
        HsTask *task = &jobs->jobs[i].tasks[k];

        if (task->state != HS_TASK_SENT || task->target != target)
          continue;
        for (r = 0; r < n && refs[r] != task->ref; r++)
          ;
        if (r < n)
          continue;
        jobs->effects->not_held (jobs->arg, jobs->jobs[i].id, target, task);
        task_back (jobs, &jobs->jobs[i], task);
      }
}

void
hs_jobs_target_lost (HsJobs *jobs, uint32_t target, bool over, HsTime now)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < jobs->n_jobs; i++)
    for (k = 0; jobs->jobs[i].used && k < jobs->jobs[i].n_tasks; k++)
      {
        HsJob *job = &jobs->jobs[i];
        HsTask *task = &job->tasks[k];

        if (task->state != HS_TASK_SENT || task->target != target)
          continue;
        if (over)
          {
            job->may_have_run = true;
            task_back (jobs, job, task);
            continue;
          }
        give_up (jobs, job, HS_WHY_TARGET_LOST, now);
        break;
      }
}

void
hs_jobs_pump (HsJobs *jobs, HsTime now)
{
  uint32_t n = sort_waiting (jobs, now);
  uint32_t i;

  for (i = 0; i < n; i++)
    place (jobs, &jobs->jobs[jobs->order[i]], now);
}

HsTime
hs_jobs_tick (HsJobs *jobs, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i;

  for (i = 0; i < jobs->n_jobs; i++)
    {
      HsJob *job = &jobs->jobs[i];

      if (!job->used)
        continue;
      if (due_at (job) > now)
        due = MIN (due, due_at (job));
      else if (now >= job->deadline)
        give_up (jobs, job, HS_WHY_DEADLINE, now);
      else if (job->n_starts == 0)
        give_up (jobs, job, HS_WHY_WAITED, now);
      else
        give_up (jobs, job, HS_WHY_TOO_LATE, now);
    }
  return due;
}

bool
hs_jobs_hungry (const HsJobs *jobs)
{
  uint32_t i;

  for (i = 0; i < jobs->n_jobs; i++)
    if (jobs->jobs[i].used && jobs->jobs[i].n_waiting > 0)
      return true;
  return false;
}

uint32_t
hs_jobs_count (const HsJobs *jobs)
{
  return jobs->n_used;
}

static int
free_jobs (HsJobs *jobs)
{
  jobs->jobs = NULL;
  return 0;
}

static HsJob *
job_new (HsJobs *jobs)
{
  uint32_t i;

  for (i = 0; i < jobs->n_jobs; i++)
    if (!jobs->jobs[i].used)
      break;
  if (i == jobs->n_jobs)
    {
      g_assert (i < (1u << REF_JOB_BITS));
      jobs->n_jobs++;
      jobs->jobs = talloc_realloc (jobs, jobs->jobs, HsJob, jobs->n_jobs);
      jobs->order = talloc_realloc (jobs, jobs->order, uint32_t, jobs->n_jobs);
      jobs->ranks = talloc_realloc (jobs, jobs->ranks, double, jobs->n_jobs);
    }
  memset (&jobs->jobs[i], 0, sizeof jobs->jobs[i]);
  jobs->jobs[i].used = true;
  jobs->n_used++;
  return &jobs->jobs[i];
}

static void
job_fill (HsJobs *jobs, HsJob *job, const HsSubmission *from, HsTime now)
{
  double longest;
  uint32_t i;

  job->request = from->request;
  job->id = talloc_strdup (jobs, from->id);
  job->customer_name = talloc_strdup (job->id, from->customer);
  job->service = talloc_strdup (job->id, from->service);
  job->spec = talloc_memdup (job->id, from->spec, from->spec_len);
  job->spec_len = from->spec_len;
  job->customer = hs_demand_customer (jobs->demand, from->customer);
  job->needs = from->needs;
  job->estimate = from->estimate;
  job->expected
      = hs_demand_expect (jobs->demand, job->customer, from->estimate);
  longest = (double) job->expected * (from->n_tasks > 1 ? LONGEST_FACTOR : 1);
  job->objective = (HsTime) (from->slack_factor * longest) + from->slack;
  job->arrived = now;
  job->deadline = now + from->left;
  job->late_at = MIN (job->deadline, now + LATE_FACTOR * job->objective);
  job->wait_until = MIN (job->deadline,
                         now + (HsTime) (WAIT_PART * (double) job->objective));
  job->work = (double) from->n_tasks * from->needs.cpu_milli / 1000
              * (double) job->expected / HS_SEC;
  job->max_failures = from->max_failures;
  job->n_tasks = from->n_tasks;
  job->n_waiting = from->n_tasks;
  job->tasks = talloc_zero_array (job->id, HsTask, from->n_tasks);
  for (i = 0; i < job->n_tasks; i++)
    {
      job->tasks[i].index = i;
      job->tasks[i].avoid = HS_TARGET_NONE;
    }
}

static void
admit (HsJobs *jobs, HsJob *job, HsTime now)
{
  uint32_t handle = (uint32_t) (job - jobs->jobs);
  uint64_t capacity;
  uint64_t free_milli;
  HsTime wait;

  hs_targets_sum (jobs->targets, job->service, &capacity, &free_milli, now);
  if (capacity > 0
      && !hs_targets_can_hold (jobs->targets, job->service, &job->needs))
    {
      give_up (jobs, job, HS_WHY_NO_TARGET, now);
      return;
    }
  /* Without a target in reach, as after all have restarted, it waits while
     it could still be in time. */
  if (capacity == 0)
    job->wait_until
        = MAX (job->wait_until, job->arrived + job->objective - job->expected);
  hs_jobs_pump (jobs, now);
  job = &jobs->jobs[handle];
  if (!job->used || job->n_starts > 0 || capacity == 0)
    return;
  wait = hs_jobs_predict_wait (jobs, job, now);
  if (wait != HS_NEVER
      && (double) wait > WAIT_DOUBT * (double) (job->wait_until - now))
    give_up (jobs, job, HS_WHY_QUEUE, now);
}

/* Tasks still out are stopped; what comes of them is nobody's any more. */
static void
job_finish (HsJobs *jobs,
            HsJob *job,
            HsAnswerKind kind,
            HsAnswerWhy why,
            HsTime now)
{
  HsJobAnswer answer = { .request = job->request,
                         .kind = kind,
                         .why = why,
                         .id = job->id,
                         .customer = job->customer_name,
                         .n_tasks = job->n_tasks,
                         .n_done = job->n_done,
                         .n_starts = job->n_starts,
                         .took = now - job->arrived,
                         .objective = job->objective,
                         .expected = job->expected };
  char *memory = job->id;
  uint64_t capacity;
  uint32_t i;

  hs_targets_sum (jobs->targets, job->service, &capacity, &answer.free_milli,
                  now);
  for (i = 0; i < jobs->n_jobs; i++)
    answer.n_ahead += jobs->jobs[i].used && jobs->jobs[i].n_waiting > 0;
  answer.waited = (job->first_sent != 0 ? job->first_sent : now) - job->arrived;
  if (kind == HS_ANSWER_REFUSED)
    answer.retry_after_ms = retry_after (jobs, job, now);
  for (i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == HS_TASK_SENT)
      {
        hs_targets_get (jobs->targets, job->tasks[i].target)->n_held--;
        jobs->effects->stop (jobs->arg, job->tasks[i].target,
                             job->tasks[i].ref);
      }
  if (why != HS_WHY_CALLER_GONE)
    hs_demand_ended (jobs->demand, job->customer, job->work,
                     kind == HS_ANSWER_COMPLETED
                         && answer.took <= job->objective);
  job->used = false;
  jobs->n_used--;
  jobs->effects->answer (jobs->arg, &answer);
  talloc_free (memory);
}

static void
give_up (HsJobs *jobs, HsJob *job, HsAnswerWhy why, HsTime now)
{
  bool ran = job->n_sent > 0 || job->n_done > 0 || job->may_have_run;

  job_finish (jobs, job, ran ? HS_ANSWER_LOST : HS_ANSWER_REFUSED, why, now);
}

static HsJob *
find_ref (HsJobs *jobs, uint64_t ref, HsTask **task)
{
  uint32_t index = ref & ((1u << REF_TASK_BITS) - 1);
  uint32_t handle = (ref >> REF_TASK_BITS) & ((1u << REF_JOB_BITS) - 1);
  HsJob *job;

  if (handle >= jobs->n_jobs)
    return NULL;
  job = &jobs->jobs[handle];
  if (!job->used || index >= job->n_tasks)
    return NULL;
  *task = &job->tasks[index];
  if ((*task)->state != HS_TASK_SENT || (*task)->ref != ref)
    return NULL;
  return job;
}

static void
task_back (HsJobs *jobs, HsJob *job, HsTask *task)
{
  hs_targets_get (jobs->targets, task->target)->n_held--;
  task->state = HS_TASK_WAITING;
  job->n_sent--;
  job->n_waiting++;
}

static void
task_done (HsJobs *jobs,
           HsJob *job,
           HsTask *task,
           const hsx_end *end,
           HsTime now)
{
  hs_targets_get (jobs->targets, task->target)->n_held--;
  hs_targets_ended (jobs->targets, task->target, job->customer, false,
                    end->run_us, job->expected, now);
  hs_demand_ran (jobs->demand, job->customer, job->estimate, end->run_us);
  task->state = HS_TASK_DONE;
  job->n_sent--;
  job->n_done++;
  if (job->n_done == job->n_tasks)
    job_finish (jobs, job, HS_ANSWER_COMPLETED, HS_WHY_DONE, now);
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

  for (i = 0; i < jobs->n_jobs; i++)
    {
      if (!jobs->jobs[i].used || jobs->jobs[i].n_waiting == 0)
        continue;
      jobs->ranks[i] = hs_job_rank (jobs, &jobs->jobs[i], now);
      jobs->order[n++] = i;
    }
  if (n > 1)
    qsort_r (jobs->order, n, sizeof *jobs->order, compare_ranks, jobs);
  return n;
}

static void
place (HsJobs *jobs, HsJob *job, HsTime now)
{
  uint32_t i;

  for (i = 0; i < job->n_tasks && job->n_waiting > 0; i++)
    {
      HsTask *task = &job->tasks[i];
      uint32_t target;

      if (task->state != HS_TASK_WAITING)
        continue;
      target = hs_targets_place (jobs->targets, job->service, &job->needs,
                                 jobs->data_centre, task->avoid, now);
      if (target == HS_TARGET_NONE || !launch (jobs, job, task, target, now))
        return;
    }
}

static bool
launch (HsJobs *jobs, HsJob *job, HsTask *task, uint32_t target, HsTime now)
{
  uint32_t index = (uint32_t) (task - job->tasks);
  uint64_t ref
      = ((uint64_t) jobs->next_generation++ << (REF_JOB_BITS + REF_TASK_BITS))
        | ((uint64_t) (job - jobs->jobs) << REF_TASK_BITS) | index;
  hsx_launch order
      = { .job = job->id,
          .spec = { (u_int) job->spec_len, job->spec },
          .needs = job->needs,
          .expected_ms = (unsigned int) (job->expected / HS_MSEC),
          .left_ms = (unsigned int) ((job->deadline - now) / HS_MSEC) };
  hsx_launch_task sent = { .ref = ref, .index = index };
  HsTarget *row = hs_targets_get (jobs->targets, target);
  uint32_t number;

  sent.attempt = ++task->attempt;
  sent.slow_ms = slow_after (jobs, job, task);
  number = jobs->effects->launch (jobs->arg, target, &order, &sent);
  if (number == 0)
    return false;
  hs_targets_sent (jobs->targets, target, &job->needs, number);
  row->n_held++;
  hs_jobs_note_drain (jobs, job->needs.cpu_milli, now);
  task->state = HS_TASK_SENT;
  task->ref = ref;
  task->target = target;
  task->offered = now < row->offer_until;
  task->view_age = now - row->heard_at;
  job->n_waiting--;
  job->n_sent++;
  job->n_starts++;
  if (job->first_sent == 0)
    job->first_sent = now;
  return true;
}

/* A task that was stopped as slow once runs on elsewhere whatever its pace: it
   may be longer than expected. */
static uint32_t
slow_after (const HsJobs *jobs, const HsJob *job, const HsTask *task)
{
  if (task->stalled || !hs_demand_is_learnt (jobs->demand, job->customer))
    return 0;
  return (uint32_t) (hs_targets_slow_after (jobs->targets, job->expected)
                     / HS_MSEC);
}

static HsTime
due_at (const HsJob *job)
{
  HsTime due = job->deadline;

  if (job->n_starts == 0)
    due = MIN (due, job->wait_until);
  else if (job->n_waiting > 0)
    due = MIN (due, MAX (job->late_at - job->expected, job->wait_until));
  return due;
}

static uint32_t
retry_after (const HsJobs *jobs, const HsJob *job, HsTime now)
{
  HsTime wait = hs_jobs_predict_wait (jobs, job, now);

  if (wait == HS_NEVER)
    return RETRY_UNKNOWN_MS;
  return (uint32_t) MIN (wait / HS_MSEC + 1, RETRY_MAX_MS);
}
