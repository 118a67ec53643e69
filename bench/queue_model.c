#include "queue_model.h"

#include <string.h>

#include "test/load_jobs.h"
#include "test/prng.h"

#define STEP (1 * HS_MSEC)

/** A caller is refused after this part of its objective, as by the entries. */
#define WAIT_PART 0.25

/** Failures of one task after which its job has failed. */
#define FAILURES_MAX 3

typedef struct
{
  unsigned int job;
  unsigned int target;
  unsigned int task;
  HsTime until;
  bool fails;
} Run;

/* How far a job is. */
typedef struct
{
  unsigned int n_waiting;
  unsigned int n_running;
  unsigned int n_done;
  unsigned int n_failures;
  bool over;
  unsigned int first; /* Of its tasks in `waits`. */
} Progress;

typedef struct
{
  const LoadPlan *plan;
  QueueOrder order;
  GArray *jobs;     /* LoadJob. */
  Progress *states; /* By job. */
  GArray *waiting;  /* Handles of jobs with tasks that wait, by arrival. */
  GArray *runs;     /* Run. */
  bool *waits;      /* By task of all jobs: it waits for its start. */
  unsigned int *free_milli;
  Prng random;
  HsTime now;
  LoadResult result;
  double earned;
  double useful;
} Queue;

static void step (Queue *queue);
static void start_waiting (Queue *queue);
static bool start_job (Queue *queue, unsigned int number);
static void start_task (Queue *queue,
                        unsigned int number,
                        unsigned int task,
                        unsigned int target);
static unsigned int
choose_target (Queue *queue, const LoadJob *job, unsigned int task);
static double rank (const Queue *queue, unsigned int number);
static bool preempt (Queue *queue, unsigned int number);
static bool fits_whole (const Queue *queue, const LoadJob *job);
static void give_up (Queue *queue);
static void finish (Queue *queue, unsigned int number);
static void stop_runs (Queue *queue, unsigned int number);
static bool is_bad (const LoadPlan *plan, unsigned int target);

LoadResult
queue_play (const LoadPlan *plan, QueueOrder order)
{
  Queue queue = { .plan = plan,
                  .order = order,
                  .jobs = load_jobs_draw (plan),
                  .waiting = g_array_new (FALSE, FALSE, sizeof (unsigned int)),
                  .runs = g_array_new (FALSE, FALSE, sizeof (Run)),
                  .free_milli = g_new (unsigned int, plan->n_agents),
                  .random = prng_seeded (plan->seed) };
  unsigned int next = 0;
  unsigned int n_tasks = 0;
  double owed = 0;
  unsigned int i;

  queue.states = g_new0 (Progress, queue.jobs->len);
  for (i = 0; i < queue.jobs->len; i++)
    {
      queue.states[i].first = n_tasks;
      n_tasks += g_array_index (queue.jobs, LoadJob, i).n_tasks;
    }
  queue.waits = g_new (bool, n_tasks);
  memset (queue.waits, true, n_tasks * sizeof (bool));
  for (i = 0; i < plan->n_agents; i++)
    queue.free_milli[i] = load_target_capacity (plan, i);
  while (queue.now < plan->arrival_span + 5 * HS_SEC)
    {
      queue.now += STEP;
      for (; next < queue.jobs->len; next++)
        {
          const LoadJob *job = &g_array_index (queue.jobs, LoadJob, next);
          Progress *state = &queue.states[next];

          if (job->arrives_at > queue.now)
            break;
          owed += job->value;
          queue.result.kinds[job->kind].submitted++;
          state->n_waiting = job->n_tasks;
          g_array_append_val (queue.waiting, next);
        }
      step (&queue);
    }
  for (i = 0; i < LOAD_KINDS; i++)
    if (queue.result.kinds[i].refused > 0)
      queue.result.kinds[i].mean_refusal_ms /= queue.result.kinds[i].refused;
  queue.result.value_share = queue.earned / owed;
  queue.result.capacity_core_s = load_total_core_seconds (plan);
  queue.result.wasted_core_s = queue.result.busy_core_s - queue.useful;
  g_free (queue.waits);
  g_free (queue.states);
  g_free (queue.free_milli);
  g_array_unref (queue.jobs);
  g_array_unref (queue.waiting);
  g_array_unref (queue.runs);
  return queue.result;
}

static void
step (Queue *queue)
{
  guint i = 0;

  while (i < queue->runs->len)
    {
      Run run = g_array_index (queue->runs, Run, i);
      LoadJob *job = &g_array_index (queue->jobs, LoadJob, run.job);
      Progress *state = &queue->states[run.job];
      double held = (double) job->needs.cpu_milli / 1000 * STEP / HS_SEC;

      job->held_core_s += held;
      queue->result.busy_core_s += held;
      if (queue->now < run.until)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (queue->runs, i);
      queue->free_milli[run.target] += job->needs.cpu_milli;
      state->n_running--;
      if (!run.fails)
        {
          if (++state->n_done == job->n_tasks)
            finish (queue, run.job);
          continue;
        }
      queue->result.bad_ends++;
      queue->waits[state->first + run.task] = true;
      if (state->n_waiting++ == 0)
        g_array_append_val (queue->waiting, run.job);
      if (++state->n_failures == FAILURES_MAX)
        {
          queue->result.kinds[job->kind].lost++;
          state->over = true;
          stop_runs (queue, run.job);
          i = 0;
        }
    }
  give_up (queue);
  start_waiting (queue);
}

/* Sorted by what is worth most a core-second that it still takes. */
static int
compare_worth (gconstpointer a, gconstpointer b, gpointer arg)
{
  const Queue *queue = arg;
  const unsigned int handles[2]
      = { *(const unsigned int *) a, *(const unsigned int *) b };
  double ranks[2];
  int i;

  for (i = 0; i < 2; i++)
    {
      const LoadJob *job = &g_array_index (queue->jobs, LoadJob, handles[i]);
      const Progress *state = &queue->states[handles[i]];

      ranks[i] = rank (queue, handles[i]);
      if ((queue->order == QUEUE_IDEAL_STARTED
           || queue->order == QUEUE_IDEAL_PREEMPT)
          && state->n_waiting < job->n_tasks)
        ranks[i] += 1;
    }
  return ranks[0] < ranks[1] ? 1 : ranks[0] > ranks[1] ? -1 : 0;
}

static void
start_waiting (Queue *queue)
{
  guint i = 0;

  if (queue->order != QUEUE_FIFO)
    g_array_sort_with_data (queue->waiting, compare_worth, queue);
  while (i < queue->waiting->len)
    {
      unsigned int number = g_array_index (queue->waiting, unsigned int, i);

      if (start_job (queue, number))
        g_array_remove_index (queue->waiting, i);
      else if (queue->order == QUEUE_FIFO)
        return;
      else
        i++;
    }
}

/* Returns whether all its tasks have started. */
static bool
start_job (Queue *queue, unsigned int number)
{
  const LoadJob *job = &g_array_index (queue->jobs, LoadJob, number);
  Progress *state = &queue->states[number];
  unsigned int t;

  if (queue->order == QUEUE_IDEAL_WHOLE && !fits_whole (queue, job))
    return false;
  for (t = 0; t < job->n_tasks; t++)
    {
      unsigned int target;

      if (!queue->waits[state->first + t])
        continue;
      target = choose_target (queue, job, t);
      while (target == queue->plan->n_agents && preempt (queue, number))
        target = choose_target (queue, job, t);
      if (target == queue->plan->n_agents)
        return false;
      start_task (queue, number, t, target);
    }
  return true;
}

static void
start_task (Queue *queue,
            unsigned int number,
            unsigned int task,
            unsigned int target)
{
  const LoadJob *job = &g_array_index (queue->jobs, LoadJob, number);
  const LoadPlan *plan = queue->plan;
  Progress *state = &queue->states[number];
  Run run = { number, target, task, 0,
              queue->now >= plan->faults_from && target < plan->n_failing };

  run.until = queue->now
              + (run.fails ? 5 * HS_MSEC
                           : load_actual_run_time (
                               plan, target, job->run_times[task], queue->now));
  if (!run.fails && queue->now >= plan->faults_from
      && target < plan->n_failing + plan->n_hanging)
    run.until = HS_NEVER;
  g_array_append_val (queue->runs, run);
  queue->free_milli[target] -= job->needs.cpu_milli;
  queue->result.launches++;
  queue->waits[state->first + task] = false;
  state->n_waiting--;
  state->n_running++;
}

/* The number of agents if none has room. */
static unsigned int
choose_target (Queue *queue, const LoadJob *job, unsigned int task)
{
  const LoadPlan *plan = queue->plan;
  unsigned int best = plan->n_agents;
  unsigned int n = 0;
  unsigned int a;

  for (a = 0; a < plan->n_agents; a++)
    {
      if (queue->free_milli[a] < job->needs.cpu_milli)
        continue;
      if (queue->order == QUEUE_FIFO)
        {
          if (prng_below (&queue->random, ++n) == 0)
            best = a;
          continue;
        }
      if (is_bad (plan, a))
        continue;
      /* Among the fastest, the fullest: room that is left stays whole. */
      if (best == plan->n_agents
          || load_actual_run_time (plan, a, job->run_times[task], queue->now)
                 < load_actual_run_time (plan, best, job->run_times[task],
                                         queue->now)
          || (load_actual_run_time (plan, a, job->run_times[task], queue->now)
                  == load_actual_run_time (plan, best, job->run_times[task],
                                           queue->now)
              && queue->free_milli[a] < queue->free_milli[best]))
        best = a;
    }
  return best;
}

/* What a job is still worth for each core-second that it still takes. */
static double
rank (const Queue *queue, unsigned int number)
{
  const LoadJob *job = &g_array_index (queue->jobs, LoadJob, number);
  const Progress *state = &queue->states[number];
  double left = 0;
  unsigned int t;
  guint i;

  for (t = 0; t < job->n_tasks; t++)
    left += queue->waits[state->first + t] ? (double) job->run_times[t] : 0;
  for (i = 0; state->n_running > 0 && i < queue->runs->len; i++)
    {
      const Run *run = &g_array_index (queue->runs, Run, i);

      left += run->job == number ? (double) (run->until - queue->now) : 0;
    }
  return job->value / MAX (left * job->needs.cpu_milli, 1);
}

/* Ends the running job of the lowest rank, if that is less than half. */
static bool
preempt (Queue *queue, unsigned int number)
{
  double least = rank (queue, number) / 2;
  unsigned int victim = number;
  guint i;

  if (queue->order != QUEUE_IDEAL_PREEMPT)
    return false;
  for (i = 0; i < queue->runs->len; i++)
    {
      unsigned int other = g_array_index (queue->runs, Run, i).job;
      double r = other != number ? rank (queue, other) : least;

      if (r >= least)
        continue;
      least = r;
      victim = other;
    }
  if (victim == number)
    return false;
  queue->result.kinds[g_array_index (queue->jobs, LoadJob, victim).kind].lost++;
  queue->states[victim].over = true;
  stop_runs (queue, victim);
  return true;
}

static bool
fits_whole (const Queue *queue, const LoadJob *job)
{
  unsigned int n = 0;
  unsigned int a;

  for (a = 0; a < queue->plan->n_agents; a++)
    if (!is_bad (queue->plan, a))
      n += queue->free_milli[a] / job->needs.cpu_milli;
  return n >= job->n_tasks;
}

/* Those that have waited too long, and those that are lost. */
static void
give_up (Queue *queue)
{
  bool ideal = queue->order != QUEUE_FIFO;
  guint i = 0;

  while (i < queue->waiting->len)
    {
      unsigned int number = g_array_index (queue->waiting, unsigned int, i);
      const LoadJob *job = &g_array_index (queue->jobs, LoadJob, number);
      LoadKindResult *kind = &queue->result.kinds[job->kind];
      Progress *state = &queue->states[number];
      HsTime waited = queue->now - job->arrives_at;
      bool started = state->n_waiting < job->n_tasks;
      HsTime longest = 0;
      unsigned int t;

      for (t = 0; ideal && t < job->n_tasks; t++)
        if (queue->waits[state->first + t])
          longest = MAX (longest, job->run_times[t]);
      if (!state->over && started
          && waited + longest <= LOAD_LATE_FACTOR * job->objective)
        {
          i++;
          continue;
        }
      if (!state->over && !started
          && waited <= WAIT_PART * (double) job->objective)
        {
          i++;
          continue;
        }
      g_array_remove_index (queue->waiting, i);
      if (state->over)
        continue;
      state->over = true;
      if (started)
        kind->lost++;
      else
        {
          kind->refused++;
          kind->mean_refusal_ms += (double) waited / HS_MSEC;
        }
      stop_runs (queue, number);
    }
}

static void
finish (Queue *queue, unsigned int number)
{
  const LoadJob *job = &g_array_index (queue->jobs, LoadJob, number);
  LoadKindResult *kind = &queue->result.kinds[job->kind];
  HsTime took = queue->now - job->arrives_at;

  queue->states[number].over = true;
  queue->useful += job->held_core_s;
  queue->earned += load_job_value_earned (job, took);
  if (took <= job->objective)
    kind->in_time++;
  else
    kind->late++;
}

static void
stop_runs (Queue *queue, unsigned int number)
{
  const LoadJob *job = &g_array_index (queue->jobs, LoadJob, number);
  guint i = 0;

  while (i < queue->runs->len)
    {
      const Run *run = &g_array_index (queue->runs, Run, i);

      if (run->job != number)
        {
          i++;
          continue;
        }
      queue->free_milli[run->target] += job->needs.cpu_milli;
      g_array_remove_index_fast (queue->runs, i);
    }
}

static bool
is_bad (const LoadPlan *plan, unsigned int target)
{
  return target < plan->n_failing + plan->n_hanging
         || (plan->n_slow < plan->n_agents
             && target >= plan->n_agents - plan->n_slow);
}
