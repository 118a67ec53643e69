#include "queue_model.h"

#include <string.h>

#include "test/load_jobs.h"
#include "test/prng.h"

/** Time step of the simulation. */
#define STEP (1 * HS_MSEC)

/**
 * A job that has not started after this fraction of its objective is refused,
 * as by the entries.
 */
#define MAX_WAIT_FRACTION 0.25

/** A job fails with this number of failed tasks. */
#define FAILURES_MAX 3

typedef struct
{
  unsigned int job;
  unsigned int target;
  unsigned int task;
  HsTime ends_at;
  bool fails;
} Run;

/* Progress of a job. */
typedef struct
{
  unsigned int n_waiting;
  unsigned int n_running;
  unsigned int n_done;
  unsigned int n_failures;
  bool ended;
  unsigned int first_task; /* Index of its first task in `is_waiting`. */
} JobState;

typedef struct
{
  const LoadPlan *plan;
  QueueOrder order;
  GArray *jobs;         /* Of LoadJob. */
  JobState *job_states; /* By index of the job. */
  GArray *waiting_jobs; /* Indices of jobs with waiting tasks, in order of
                           arrival or as last sorted. */
  GArray *runs;         /* Of Run. */
  bool *is_waiting;     /* By task of all jobs: the task waits for its start. */
  unsigned int *free_milli; /* By target, in thousandths of a core. */
  Prng random;
  HsTime now;
  LoadResult result;
  double value_earned;
  double useful_core_s;
} QueueModel;

static void advance (QueueModel *model);
static void start_waiting_jobs (QueueModel *model);
static bool start_job (QueueModel *model, unsigned int job_index);
static void start_task (QueueModel *model,
                        unsigned int job_index,
                        unsigned int task,
                        unsigned int target);
static unsigned int
choose_target (QueueModel *model, const LoadJob *job, unsigned int task);
static double value_density (const QueueModel *model, unsigned int job_index);
static bool preempt (QueueModel *model, unsigned int job_index);
static bool all_tasks_fit (const QueueModel *model, const LoadJob *job);
static void expire_waiting_jobs (QueueModel *model);
static void complete_job (QueueModel *model, unsigned int job_index);
static void stop_runs (QueueModel *model, unsigned int job_index);
static bool is_faulty (const LoadPlan *plan, unsigned int target);

LoadResult
queue_simulate (const LoadPlan *plan, QueueOrder order)
{
  QueueModel model
      = { .plan = plan,
          .order = order,
          .jobs = load_jobs_draw (plan),
          .waiting_jobs = g_array_new (FALSE, FALSE, sizeof (unsigned int)),
          .runs = g_array_new (FALSE, FALSE, sizeof (Run)),
          .free_milli = g_new (unsigned int, plan->n_agents),
          .random = prng_seeded (plan->seed) };
  unsigned int next = 0;
  unsigned int n_tasks = 0;
  double total_value = 0;
  unsigned int i;

  model.job_states = g_new0 (JobState, model.jobs->len);
  for (i = 0; i < model.jobs->len; i++)
    {
      model.job_states[i].first_task = n_tasks;
      n_tasks += g_array_index (model.jobs, LoadJob, i).n_tasks;
    }
  model.is_waiting = g_new (bool, n_tasks);
  memset (model.is_waiting, true, n_tasks * sizeof (bool));
  for (i = 0; i < plan->n_agents; i++)
    model.free_milli[i] = load_target_capacity (plan, i);
  while (model.now < plan->arrival_span + 5 * HS_SEC)
    {
      model.now += STEP;
      for (; next < model.jobs->len; next++)
        {
          const LoadJob *job = &g_array_index (model.jobs, LoadJob, next);
          JobState *state = &model.job_states[next];

          if (job->arrives_at > model.now)
            break;
          total_value += job->value;
          load_note_arrival (&model.result, job);
          model.result.kinds[job->kind].submitted++;
          state->n_waiting = job->n_tasks;
          g_array_append_val (model.waiting_jobs, next);
        }
      advance (&model);
    }
  for (i = 0; i < LOAD_KINDS; i++)
    if (model.result.kinds[i].refused > 0)
      model.result.kinds[i].mean_refusal_ms /= model.result.kinds[i].refused;
  model.result.value_share = model.value_earned / total_value;
  model.result.capacity_core_s = load_total_core_seconds (plan);
  model.result.wasted_core_s = model.result.busy_core_s - model.useful_core_s;
  g_free (model.is_waiting);
  g_free (model.job_states);
  g_free (model.free_milli);
  g_array_unref (model.jobs);
  g_array_unref (model.waiting_jobs);
  g_array_unref (model.runs);
  return model.result;
}

static void
advance (QueueModel *model)
{
  guint i = 0;

  while (i < model->runs->len)
    {
      Run run = g_array_index (model->runs, Run, i);
      LoadJob *job = &g_array_index (model->jobs, LoadJob, run.job);
      JobState *state = &model->job_states[run.job];
      double held = (double) job->needs.cpu_milli / 1000 * STEP / HS_SEC;

      job->held_core_s += held;
      model->result.busy_core_s += held;
      if (model->now < run.ends_at)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (model->runs, i);
      model->free_milli[run.target] += job->needs.cpu_milli;
      state->n_running--;
      if (!run.fails)
        {
          if (++state->n_done == job->n_tasks)
            complete_job (model, run.job);
          continue;
        }
      model->result.bad_ends++;
      model->is_waiting[state->first_task + run.task] = true;
      if (state->n_waiting++ == 0)
        g_array_append_val (model->waiting_jobs, run.job);
      if (++state->n_failures == FAILURES_MAX)
        {
          model->result.kinds[job->kind].lost++;
          state->ended = true;
          stop_runs (model, run.job);
          i = 0;
        }
    }
  expire_waiting_jobs (model);
  start_waiting_jobs (model);
}

/* Sorts jobs by value density, the highest first. */
static int
compare_value_density (gconstpointer a, gconstpointer b, gpointer arg)
{
  const QueueModel *model = arg;
  const unsigned int indices[2]
      = { *(const unsigned int *) a, *(const unsigned int *) b };
  double densities[2];
  int i;

  for (i = 0; i < 2; i++)
    {
      const LoadJob *job = &g_array_index (model->jobs, LoadJob, indices[i]);
      const JobState *state = &model->job_states[indices[i]];

      densities[i] = value_density (model, indices[i]);
      if ((model->order == QUEUE_IDEAL_STARTED_FIRST
           || model->order == QUEUE_IDEAL_PREEMPTIVE)
          && state->n_waiting < job->n_tasks)
        densities[i] += 1;
    }
  return densities[0] < densities[1] ? 1 : densities[0] > densities[1] ? -1 : 0;
}

static void
start_waiting_jobs (QueueModel *model)
{
  guint i = 0;

  if (model->order != QUEUE_FIFO)
    g_array_sort_with_data (model->waiting_jobs, compare_value_density, model);
  while (i < model->waiting_jobs->len)
    {
      unsigned int job_index
          = g_array_index (model->waiting_jobs, unsigned int, i);

      if (start_job (model, job_index))
        g_array_remove_index (model->waiting_jobs, i);
      else if (model->order == QUEUE_FIFO)
        return;
      else
        i++;
    }
}

/* Starts the waiting tasks of a job. Returns whether all were started. */
static bool
start_job (QueueModel *model, unsigned int job_index)
{
  const LoadJob *job = &g_array_index (model->jobs, LoadJob, job_index);
  JobState *state = &model->job_states[job_index];
  unsigned int t;

  if (model->order == QUEUE_IDEAL_WHOLE_JOBS && !all_tasks_fit (model, job))
    return false;
  for (t = 0; t < job->n_tasks; t++)
    {
      unsigned int target;

      if (!model->is_waiting[state->first_task + t])
        continue;
      target = choose_target (model, job, t);
      while (target == model->plan->n_agents && preempt (model, job_index))
        target = choose_target (model, job, t);
      if (target == model->plan->n_agents)
        return false;
      start_task (model, job_index, t, target);
    }
  return true;
}

static void
start_task (QueueModel *model,
            unsigned int job_index,
            unsigned int task,
            unsigned int target)
{
  LoadJob *job = &g_array_index (model->jobs, LoadJob, job_index);
  const LoadPlan *plan = model->plan;
  JobState *state = &model->job_states[job_index];
  Run run = { job_index, target, task, 0,
              model->now >= plan->faults_from && target < plan->n_failing };

  run.ends_at
      = model->now
        + (run.fails ? 5 * HS_MSEC
                     : load_actual_run_time (plan, target, job->run_times[task],
                                             model->now));
  if (!run.fails && model->now >= plan->faults_from
      && target < plan->n_failing + plan->n_hanging)
    run.ends_at = HS_NEVER;
  g_array_append_val (model->runs, run);
  model->free_milli[target] -= job->needs.cpu_milli;
  model->result.launches++;
  load_note_start (&model->result, job, model->now);
  model->is_waiting[state->first_task + task] = false;
  state->n_waiting--;
  state->n_running++;
}

/* Returns the number of agents if no target has enough free capacity. */
static unsigned int
choose_target (QueueModel *model, const LoadJob *job, unsigned int task)
{
  const LoadPlan *plan = model->plan;
  unsigned int best = plan->n_agents;
  unsigned int n = 0;
  unsigned int a;

  for (a = 0; a < plan->n_agents; a++)
    {
      if (model->free_milli[a] < job->needs.cpu_milli)
        continue;
      if (model->order == QUEUE_FIFO)
        {
          if (prng_below (&model->random, ++n) == 0)
            best = a;
          continue;
        }
      if (is_faulty (plan, a))
        continue;
      /* Of the fastest targets, the one with the least free capacity, which
         leaves the others room for large tasks. */
      if (best == plan->n_agents
          || load_actual_run_time (plan, a, job->run_times[task], model->now)
                 < load_actual_run_time (plan, best, job->run_times[task],
                                         model->now)
          || (load_actual_run_time (plan, a, job->run_times[task], model->now)
                  == load_actual_run_time (plan, best, job->run_times[task],
                                           model->now)
              && model->free_milli[a] < model->free_milli[best]))
        best = a;
    }
  return best;
}

/* Returns the value of a job for each thousandth of a core and microsecond
   that it still needs. */
static double
value_density (const QueueModel *model, unsigned int job_index)
{
  const LoadJob *job = &g_array_index (model->jobs, LoadJob, job_index);
  const JobState *state = &model->job_states[job_index];
  double left = 0;
  unsigned int t;
  guint i;

  for (t = 0; t < job->n_tasks; t++)
    left += model->is_waiting[state->first_task + t]
                ? (double) job->run_times[t]
                : 0;
  for (i = 0; state->n_running > 0 && i < model->runs->len; i++)
    {
      const Run *run = &g_array_index (model->runs, Run, i);

      left += run->job == job_index ? (double) (run->ends_at - model->now) : 0;
    }
  return job->value / MAX (left * job->needs.cpu_milli, 1);
}

/* Ends the running job of the lowest value density, if that is less than
   half that of the given job. Returns whether a job was ended. */
static bool
preempt (QueueModel *model, unsigned int job_index)
{
  double lowest = value_density (model, job_index) / 2;
  unsigned int victim_index = job_index;
  guint i;

  if (model->order != QUEUE_IDEAL_PREEMPTIVE)
    return false;
  for (i = 0; i < model->runs->len; i++)
    {
      unsigned int other_index = g_array_index (model->runs, Run, i).job;
      double r = other_index != job_index ? value_density (model, other_index)
                                          : lowest;

      if (r >= lowest)
        continue;
      lowest = r;
      victim_index = other_index;
    }
  if (victim_index == job_index)
    return false;
  model->result.kinds[g_array_index (model->jobs, LoadJob, victim_index).kind]
      .lost++;
  model->job_states[victim_index].ended = true;
  stop_runs (model, victim_index);
  return true;
}

static bool
all_tasks_fit (const QueueModel *model, const LoadJob *job)
{
  unsigned int n = 0;
  unsigned int a;

  for (a = 0; a < model->plan->n_agents; a++)
    if (!is_faulty (model->plan, a))
      n += model->free_milli[a] / job->needs.cpu_milli;
  return n >= job->n_tasks;
}

/* Refuses jobs that have waited too long for their start, and gives up
   started ones that are too late to have any value. */
static void
expire_waiting_jobs (QueueModel *model)
{
  bool ideal = model->order != QUEUE_FIFO;
  guint i = 0;

  while (i < model->waiting_jobs->len)
    {
      unsigned int job_index
          = g_array_index (model->waiting_jobs, unsigned int, i);
      const LoadJob *job = &g_array_index (model->jobs, LoadJob, job_index);
      LoadKindResult *kind = &model->result.kinds[job->kind];
      JobState *state = &model->job_states[job_index];
      HsTime waited = model->now - job->arrives_at;
      bool started = state->n_waiting < job->n_tasks;
      HsTime longest_run = 0;
      unsigned int t;

      for (t = 0; ideal && t < job->n_tasks; t++)
        if (model->is_waiting[state->first_task + t])
          longest_run = MAX (longest_run, job->run_times[t]);
      if (!state->ended && started
          && waited + longest_run <= LOAD_LATE_FACTOR * job->objective)
        {
          i++;
          continue;
        }
      if (!state->ended && !started
          && waited <= MAX_WAIT_FRACTION * (double) job->objective)
        {
          i++;
          continue;
        }
      g_array_remove_index (model->waiting_jobs, i);
      if (state->ended)
        continue;
      state->ended = true;
      if (started)
        kind->lost++;
      else
        {
          kind->refused++;
          load_note_refusal (&model->result, job, waited);
          kind->refused_at_once += waited <= LOAD_AT_ONCE;
          kind->mean_refusal_ms += (double) waited / HS_MSEC;
        }
      stop_runs (model, job_index);
    }
}

static void
complete_job (QueueModel *model, unsigned int job_index)
{
  const LoadJob *job = &g_array_index (model->jobs, LoadJob, job_index);
  LoadKindResult *kind = &model->result.kinds[job->kind];
  HsTime took = model->now - job->arrives_at;

  model->job_states[job_index].ended = true;
  model->useful_core_s += job->held_core_s;
  load_note_completion (&model->result, job, took);
  model->value_earned += load_job_value_earned (job, took);
  if (took <= job->objective)
    kind->in_time++;
  else
    kind->late++;
}

static void
stop_runs (QueueModel *model, unsigned int job_index)
{
  const LoadJob *job = &g_array_index (model->jobs, LoadJob, job_index);
  guint i = 0;

  while (i < model->runs->len)
    {
      const Run *run = &g_array_index (model->runs, Run, i);

      if (run->job != job_index)
        {
          i++;
          continue;
        }
      model->free_milli[run->target] += job->needs.cpu_milli;
      g_array_remove_index_fast (model->runs, i);
    }
}

static bool
is_faulty (const LoadPlan *plan, unsigned int target)
{
  return target < plan->n_failing + plan->n_hanging
         || (plan->n_slow < plan->n_agents
             && target >= plan->n_agents - plan->n_slow);
}
