#include "ideal.h"

#include <glib.h>

#include "policy/fair_queue.h"

typedef struct
{
  bool is_busy;
  HsTime end;
  HsPoppedTask task;
} Slot;

/* A job, and the index of a task in it. */
typedef struct
{
  uint32_t job;
  uint32_t index;
} TaskRef;

typedef struct
{
  HsFairQueue *queue;
  IdealJob *jobs;
  TaskRef *task_refs; /* By handle of the task in the queue. */
  uint32_t n_tasks;
  Slot *slots;
  uint32_t n_slots;
} IdealSchedule;

static void add_flows (IdealSchedule *schedule, size_t n_jobs);
static void add_job (IdealSchedule *schedule, uint32_t job);
static void start_tasks (IdealSchedule *schedule, HsTime now);
static HsStartDecision decide_start (void *arg,
                                     uint32_t flow,
                                     uint32_t task,
                                     HsTime now,
                                     HsTime *ready_at);
static void end_earliest_task (IdealSchedule *schedule);
static Slot *earliest_slot (const IdealSchedule *schedule);
static Slot *find_free_slot (const IdealSchedule *schedule);
static HsTime run_time (const IdealSchedule *schedule, uint32_t task);

void
ideal_run (IdealJob *jobs, size_t n_jobs, uint32_t slots)
{
  IdealSchedule schedule = { .jobs = jobs, .n_slots = slots };
  size_t n_tasks = 0;
  size_t next = 0;
  size_t i;

  for (i = 0; i < n_jobs; i++)
    n_tasks += jobs[i].n_tasks;
  schedule.queue = hs_fair_queue_new (NULL, HS_JOBS_EARLIEST_END);
  schedule.task_refs = g_new0 (TaskRef, n_tasks);
  schedule.slots = g_new0 (Slot, slots);
  add_flows (&schedule, n_jobs);
  while (next < n_jobs || earliest_slot (&schedule) != NULL)
    {
      const Slot *ending = earliest_slot (&schedule);

      if (ending != NULL
          && (next == n_jobs || ending->end <= jobs[next].arrival))
        end_earliest_task (&schedule);
      else
        add_job (&schedule, (uint32_t) next++);
    }
  g_free (schedule.slots);
  g_free (schedule.task_refs);
  talloc_free (schedule.queue);
}

static void
add_flows (IdealSchedule *schedule, size_t n_jobs)
{
  uint32_t n_flows = 0;
  size_t i;

  for (i = 0; i < n_jobs; i++)
    while (n_flows <= schedule->jobs[i].customer)
      n_flows = hs_fair_queue_add_flow (schedule->queue, 1) + 1;
}

static void
add_job (IdealSchedule *schedule, uint32_t number)
{
  const IdealJob *job = &schedule->jobs[number];
  uint32_t *tasks = g_new (uint32_t, job->n_tasks);
  HsTime *declared = g_new (HsTime, job->n_tasks);
  uint32_t i;

  for (i = 0; i < job->n_tasks; i++)
    {
      tasks[i] = schedule->n_tasks++;
      schedule->task_refs[tasks[i]] = (TaskRef){ number, i };
      declared[i] = run_time (schedule, tasks[i]);
    }
  hs_fair_queue_push (schedule->queue, job->customer, job->arrival,
                      job->n_tasks, tasks, declared);
  g_free (declared);
  g_free (tasks);
  start_tasks (schedule, job->arrival);
}

static void
start_tasks (IdealSchedule *schedule, HsTime now)
{
  Slot *slot;

  while ((slot = find_free_slot (schedule)) != NULL
         && hs_fair_queue_pop (schedule->queue, now, decide_start, NULL,
                               &slot->task))
    {
      slot->is_busy = true;
      slot->end = now + run_time (schedule, slot->task.task);
    }
}

static HsStartDecision
decide_start (void *arg,
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

/* Ends the task that ends first. Called for all tasks of a job, it leaves
   the response time of the last one. */
static void
end_earliest_task (IdealSchedule *schedule)
{
  Slot *slot = earliest_slot (schedule);
  IdealJob *job = &schedule->jobs[schedule->task_refs[slot->task.task].job];
  HsTime run = run_time (schedule, slot->task.task);

  job->response = slot->end - job->arrival;
  hs_fair_queue_task_ended (schedule->queue, slot->task.flow, run,
                            slot->task.charged, run);
  slot->is_busy = false;
  start_tasks (schedule, slot->end);
}

static Slot *
earliest_slot (const IdealSchedule *schedule)
{
  Slot *first = NULL;
  uint32_t i;

  for (i = 0; i < schedule->n_slots; i++)
    if (schedule->slots[i].is_busy
        && (first == NULL || schedule->slots[i].end < first->end))
      first = &schedule->slots[i];
  return first;
}

static Slot *
find_free_slot (const IdealSchedule *schedule)
{
  uint32_t i;

  for (i = 0; i < schedule->n_slots; i++)
    if (!schedule->slots[i].is_busy)
      return &schedule->slots[i];
  return NULL;
}

static HsTime
run_time (const IdealSchedule *schedule, uint32_t task)
{
  const TaskRef *ref = &schedule->task_refs[task];

  return schedule->jobs[ref->job].run_ms[ref->index] * HS_MSEC;
}
