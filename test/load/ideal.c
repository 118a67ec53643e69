#include "ideal.h"

#include <glib.h>

#include "policy/fair_queue.h"

typedef struct
{
  bool is_busy;
  HsTime end;
  HsPoppedTask task;
} Slot;

/* A task's place: the job and the index in it. */
typedef struct
{
  uint32_t job;
  uint32_t index;
} Place;

typedef struct
{
  HsFairQueue *queue;
  IdealJob *jobs;
  Place *places; /* By the task's number. */
  uint32_t n_tasks;
  Slot *slots;
  uint32_t n_slots;
} Ideal;

static void add_flows (Ideal *ideal, size_t n_jobs);
static void arrive (Ideal *ideal, uint32_t job);
static void start_tasks (Ideal *ideal, HsTime now);
static HsStartDecision may_start (void *arg,
                                  uint32_t flow,
                                  uint32_t task,
                                  HsTime now,
                                  HsTime *ready_at);
static void finish_first (Ideal *ideal);
static Slot *first_end (const Ideal *ideal);
static Slot *find_free (const Ideal *ideal);
static HsTime run_time (const Ideal *ideal, uint32_t task);

void
ideal_run (IdealJob *jobs, size_t n_jobs, uint32_t slots)
{
  Ideal ideal = { .jobs = jobs, .n_slots = slots };
  size_t n_tasks = 0;
  size_t next = 0;
  size_t i;

  for (i = 0; i < n_jobs; i++)
    n_tasks += jobs[i].n_tasks;
  ideal.queue = hs_fair_queue_new (NULL, HS_JOBS_EARLIEST_END);
  ideal.places = g_new0 (Place, n_tasks);
  ideal.slots = g_new0 (Slot, slots);
  add_flows (&ideal, n_jobs);
  while (next < n_jobs || first_end (&ideal) != NULL)
    {
      const Slot *ending = first_end (&ideal);

      if (ending != NULL
          && (next == n_jobs || ending->end <= jobs[next].arrival))
        finish_first (&ideal);
      else
        arrive (&ideal, (uint32_t) next++);
    }
  g_free (ideal.slots);
  g_free (ideal.places);
  talloc_free (ideal.queue);
}

static void
add_flows (Ideal *ideal, size_t n_jobs)
{
  uint32_t n_flows = 0;
  size_t i;

  for (i = 0; i < n_jobs; i++)
    while (n_flows <= ideal->jobs[i].customer)
      n_flows = hs_fair_queue_add_flow (ideal->queue, 1) + 1;
}

static void
arrive (Ideal *ideal, uint32_t number)
{
  const IdealJob *job = &ideal->jobs[number];
  uint32_t *tasks = g_new (uint32_t, job->n_tasks);
  HsTime *declared = g_new (HsTime, job->n_tasks);
  uint32_t i;

  for (i = 0; i < job->n_tasks; i++)
    {
      tasks[i] = ideal->n_tasks++;
      ideal->places[tasks[i]] = (Place){ number, i };
      declared[i] = run_time (ideal, tasks[i]);
    }
  hs_fair_queue_push (ideal->queue, job->customer, job->arrival, job->n_tasks,
                      tasks, declared);
  g_free (declared);
  g_free (tasks);
  start_tasks (ideal, job->arrival);
}

static void
start_tasks (Ideal *ideal, HsTime now)
{
  Slot *slot;

  while ((slot = find_free (ideal)) != NULL
         && hs_fair_queue_pop (ideal->queue, now, may_start, NULL, &slot->task))
    {
      slot->is_busy = true;
      slot->end = now + run_time (ideal, slot->task.task);
    }
}

static HsStartDecision
may_start (void *arg,
           uint32_t flow,
           uint32_t task,
           HsTime now,
           HsTime *ready_at)
{
  (void) arg;
  (void) flow;
  (void) task;
  (void) now;
  (void) ready_at;
  return HS_START_TASK;
}

/* The response is that of the task which ends last. */
static void
finish_first (Ideal *ideal)
{
  Slot *slot = first_end (ideal);
  IdealJob *job = &ideal->jobs[ideal->places[slot->task.task].job];
  HsTime run = run_time (ideal, slot->task.task);

  job->response = slot->end - job->arrival;
  hs_fair_queue_task_ended (ideal->queue, slot->task.flow, run,
                            slot->task.charged, run);
  slot->is_busy = false;
  start_tasks (ideal, slot->end);
}

static Slot *
first_end (const Ideal *ideal)
{
  Slot *first = NULL;
  uint32_t i;

  for (i = 0; i < ideal->n_slots; i++)
    if (ideal->slots[i].is_busy
        && (first == NULL || ideal->slots[i].end < first->end))
      first = &ideal->slots[i];
  return first;
}

static Slot *
find_free (const Ideal *ideal)
{
  uint32_t i;

  for (i = 0; i < ideal->n_slots; i++)
    if (!ideal->slots[i].is_busy)
      return &ideal->slots[i];
  return NULL;
}

static HsTime
run_time (const Ideal *ideal, uint32_t task)
{
  const Place *place = &ideal->places[task];

  return ideal->jobs[place->job].run_ms[place->index] * HS_MSEC;
}
