#include "policy/fair_queue.h"

#include "policy/heap.h"
#include "policy/run_time.h"

#define NONE UINT32_MAX

/* Virtual time is run time times this over the weight, so that a weight of
 * 1000 still tells short tasks apart. */
#define VIRTUAL_SCALE 16

typedef enum
{
  FLOW_FREE,
  FLOW_IDLE,   /* No job that could be asked. */
  FLOW_READY,  /* In the ready heap, keyed by start tag. */
  FLOW_WAITING /* In the waiting heap, keyed by ready_at. */
} FlowState;

typedef struct
{
  FlowState state;
  uint32_t weight;
  uint32_t n_tasks;
  int64_t tag;     /* Start tag of the next task, in virtual time. */
  int64_t job_tag; /* Round robin: tag of the job last served. */
  HsRunTime run_time;
  HsHeap jobs;
} Flow;

typedef struct
{
  uint32_t flow; /* The next free job while free. */
  uint32_t first;
  uint32_t last;
  bool waits;
  int64_t key;
} Job;

typedef struct
{
  uint32_t job; /* NONE: not waiting. */
  uint32_t prev;
  uint32_t next;
  HsTime declared;
} Task;

struct HsFairQueue
{
  HsJobOrder order;
  int64_t virtual_now;
  uint32_t n_tasks;
  uint32_t active_weight;
  uint32_t free_job;
  uint32_t n_flows;
  uint32_t n_jobs;
  uint32_t n_nodes;
  Flow *flows;
  Job *jobs;
  Task *tasks; /* Indexed by the caller's handle. */
  uint32_t *flow_positions;
  uint32_t *job_positions;
  HsHeap ready;
  HsHeap waiting;
  HsHeap waiting_jobs;
};

static uint32_t grow (uint32_t size, uint32_t least);
static void flows_reserve (HsFairQueue *q, uint32_t flow);
static uint32_t job_new (HsFairQueue *q, uint32_t flow);
static void job_free (HsFairQueue *q, uint32_t job);
static void job_append (HsFairQueue *q, uint32_t job, uint32_t task);
static void tasks_reserve (HsFairQueue *q, uint32_t task);
static int64_t
first_key (const HsFairQueue *q, const Flow *flow, HsTime now, HsTime expected);
static void flow_ready (HsFairQueue *q, uint32_t flow);
static void flow_stop (HsFairQueue *q, uint32_t flow);
static void flow_wait (HsFairQueue *q, uint32_t flow, HsTime ready_at);
static void job_wait (HsFairQueue *q, uint32_t job, HsTime ready_at);
static void job_wake (HsFairQueue *q, uint32_t job);
static void wake_due (HsFairQueue *q, HsTime now);
static void unlink_task (HsFairQueue *q, uint32_t task);
static void serve (HsFairQueue *q, uint32_t flow, uint32_t job, HsPopped *out);

HsFairQueue *
hs_fair_queue_new (TALLOC_CTX *ctx, HsJobOrder order)
{
  HsFairQueue *q = talloc_zero (ctx, HsFairQueue);

  q->order = order;
  q->free_job = NONE;
  return q;
}

uint32_t
hs_fair_queue_flow (HsFairQueue *q, uint32_t weight)
{
  uint32_t flow = 0;

  while (flow < q->n_flows && q->flows[flow].state != FLOW_FREE)
    flow++;
  if (flow == q->n_flows)
    {
      flows_reserve (q, flow);
      q->n_flows++;
    }
  q->flows[flow] = (Flow){ .state = FLOW_IDLE,
                           .weight = weight > 0 ? weight : 1,
                           .tag = q->virtual_now };
  hs_run_time_init (&q->flows[flow].run_time);
  q->flow_positions[flow] = HS_HEAP_NOWHERE;
  return flow;
}

void
hs_fair_queue_set_weight (HsFairQueue *q, uint32_t flow, uint32_t weight)
{
  Flow *f = &q->flows[flow];

  if (weight == 0)
    weight = 1;
  if (f->n_tasks > 0)
    q->active_weight += weight - f->weight;
  f->weight = weight;
}

bool
hs_fair_queue_drop_flow (HsFairQueue *q, uint32_t flow)
{
  Flow *f = &q->flows[flow];

  if (f->n_tasks > 0)
    return false;
  flow_stop (q, flow);
  talloc_free (f->jobs.items);
  f->state = FLOW_FREE;
  return true;
}

void
hs_fair_queue_push (HsFairQueue *q,
                    uint32_t flow,
                    HsTime now,
                    uint32_t n,
                    const uint32_t *tasks,
                    const HsTime *declared)
{
  uint32_t job;
  uint32_t i;
  HsTime expected = 0;
  Flow *f = &q->flows[flow];

  if (n == 0)
    return;
  job = job_new (q, flow);
  for (i = 0; i < n; i++)
    {
      tasks_reserve (q, tasks[i]);
      q->tasks[tasks[i]].declared = declared != NULL ? declared[i] : 0;
      job_append (q, job, tasks[i]);
      expected += hs_fair_queue_expect (q, flow, q->tasks[tasks[i]].declared);
    }
  if (f->n_tasks == 0)
    q->active_weight += f->weight;
  f->n_tasks += n;
  q->n_tasks += n;
  q->jobs[job].key = first_key (q, f, now, expected);
  hs_heap_push (q, &f->jobs, q->job_positions, job, q->jobs[job].key);
  if (f->state == FLOW_IDLE)
    flow_ready (q, flow);
}

bool
hs_fair_queue_pop (HsFairQueue *q,
                   HsTime now,
                   HsMayStartFunc may_start,
                   void *arg,
                   HsPopped *popped)
{
  wake_due (q, now);
  while (q->ready.n > 0)
    {
      uint32_t flow = q->ready.items[0].handle;
      uint32_t job = q->flows[flow].jobs.items[0].handle;
      HsTime ready_at = HS_NEVER;

      switch (may_start (arg, flow, q->jobs[job].first, now, &ready_at))
        {
        case HS_MAY_START:
          serve (q, flow, job, popped);
          return true;
        case HS_FLOW_WAITS:
          flow_wait (q, flow, ready_at);
          break;
        case HS_JOB_WAITS:
          job_wait (q, job, ready_at);
          break;
        case HS_NONE_STARTS:
          return false;
        }
    }
  return false;
}

bool
hs_fair_queue_remove (HsFairQueue *q, uint32_t task)
{
  if (task >= q->n_nodes || q->tasks[task].job == NONE)
    return false;
  unlink_task (q, task);
  return true;
}

void
hs_fair_queue_finished (HsFairQueue *q,
                        uint32_t flow,
                        HsTime declared,
                        HsTime charged,
                        HsTime run)
{
  Flow *f = &q->flows[flow];

  f->tag += (run - charged) * VIRTUAL_SCALE / (int64_t) f->weight;
  hs_run_time_add (&f->run_time, declared, run);
  if (f->state != FLOW_READY)
    return;
  if (f->tag < q->virtual_now)
    f->tag = q->virtual_now;
  hs_heap_rekey (&q->ready, q->flow_positions, flow, f->tag);
}

void
hs_fair_queue_wake (HsFairQueue *q, uint32_t flow)
{
  if (q->flows[flow].state == FLOW_WAITING)
    flow_ready (q, flow);
}

void
hs_fair_queue_wake_jobs (HsFairQueue *q)
{
  while (q->waiting_jobs.n > 0)
    job_wake (q, q->waiting_jobs.items[0].handle);
}

HsTime
hs_fair_queue_ready_at (const HsFairQueue *q)
{
  HsTime at = HS_NEVER;

  if (q->waiting.n > 0)
    at = q->waiting.items[0].key;
  if (q->waiting_jobs.n > 0 && q->waiting_jobs.items[0].key < at)
    at = q->waiting_jobs.items[0].key;
  return at;
}

HsTime
hs_fair_queue_expect (const HsFairQueue *q, uint32_t flow, HsTime declared)
{
  return hs_run_time_expect (&q->flows[flow].run_time, declared);
}

uint32_t
hs_fair_queue_length (const HsFairQueue *q)
{
  return q->n_tasks;
}

uint32_t
hs_fair_queue_flow_length (const HsFairQueue *q, uint32_t flow)
{
  return q->flows[flow].n_tasks;
}

uint32_t
hs_fair_queue_weight (const HsFairQueue *q)
{
  return q->active_weight;
}

static uint32_t
grow (uint32_t size, uint32_t least)
{
  size = size > 0 ? size * 2 : 64;
  return size > least ? size : least;
}

static void
flows_reserve (HsFairQueue *q, uint32_t flow)
{
  uint32_t size;

  if (flow < talloc_array_length (q->flows))
    return;
  size = grow (q->n_flows, flow + 1);
  q->flows = talloc_realloc (q, q->flows, Flow, size);
  q->flow_positions = talloc_realloc (q, q->flow_positions, uint32_t, size);
}

static uint32_t
job_new (HsFairQueue *q, uint32_t flow)
{
  uint32_t job = q->free_job;
  uint32_t i;

  if (job == NONE)
    {
      uint32_t size = grow (q->n_jobs, 0);

      q->jobs = talloc_realloc (q, q->jobs, Job, size);
      q->job_positions = talloc_realloc (q, q->job_positions, uint32_t, size);
      for (i = size; i-- > q->n_jobs;)
        {
          q->jobs[i].flow = q->free_job;
          q->free_job = i;
        }
      job = q->n_jobs;
      q->n_jobs = size;
    }
  q->free_job = q->jobs[job].flow;
  q->jobs[job] = (Job){ .flow = flow, .first = NONE, .last = NONE };
  return job;
}

static void
job_free (HsFairQueue *q, uint32_t job)
{
  q->jobs[job].flow = q->free_job;
  q->free_job = job;
}

static void
job_append (HsFairQueue *q, uint32_t job, uint32_t task)
{
  Job *j = &q->jobs[job];
  Task *t = &q->tasks[task];

  t->job = job;
  t->prev = j->last;
  t->next = NONE;
  if (j->last == NONE)
    j->first = task;
  else
    q->tasks[j->last].next = task;
  j->last = task;
}

static void
tasks_reserve (HsFairQueue *q, uint32_t task)
{
  uint32_t size;

  if (task < q->n_nodes)
    return;
  size = grow (q->n_nodes, task + 1);
  q->tasks = talloc_realloc (q, q->tasks, Task, size);
  for (; q->n_nodes < size; q->n_nodes++)
    q->tasks[q->n_nodes].job = NONE;
}

static int64_t
first_key (const HsFairQueue *q, const Flow *flow, HsTime now, HsTime expected)
{
  switch (q->order)
    {
    case HS_JOBS_SHORTEST:
      return now + expected;
    case HS_JOBS_ROUND_ROBIN:
      return flow->job_tag;
    case HS_JOBS_FIFO:
      break;
    }
  return now;
}

static void
flow_ready (HsFairQueue *q, uint32_t flow)
{
  Flow *f = &q->flows[flow];

  flow_stop (q, flow);
  if (f->jobs.n == 0)
    return;
  if (f->tag < q->virtual_now)
    f->tag = q->virtual_now;
  f->state = FLOW_READY;
  hs_heap_push (q, &q->ready, q->flow_positions, flow, f->tag);
}

static void
flow_stop (HsFairQueue *q, uint32_t flow)
{
  Flow *f = &q->flows[flow];

  if (f->state == FLOW_READY)
    hs_heap_remove (&q->ready, q->flow_positions, flow);
  if (f->state == FLOW_WAITING)
    hs_heap_remove (&q->waiting, q->flow_positions, flow);
  f->state = FLOW_IDLE;
}

static void
flow_wait (HsFairQueue *q, uint32_t flow, HsTime ready_at)
{
  flow_stop (q, flow);
  q->flows[flow].state = FLOW_WAITING;
  hs_heap_push (q, &q->waiting, q->flow_positions, flow, ready_at);
}

static void
job_wait (HsFairQueue *q, uint32_t job, HsTime ready_at)
{
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  hs_heap_remove (&f->jobs, q->job_positions, job);
  j->waits = true;
  hs_heap_push (q, &q->waiting_jobs, q->job_positions, job, ready_at);
  if (f->jobs.n == 0)
    flow_stop (q, j->flow);
}

static void
job_wake (HsFairQueue *q, uint32_t job)
{
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  hs_heap_remove (&q->waiting_jobs, q->job_positions, job);
  j->waits = false;
  hs_heap_push (q, &f->jobs, q->job_positions, job, j->key);
  if (f->state == FLOW_IDLE)
    flow_ready (q, j->flow);
}

static void
wake_due (HsFairQueue *q, HsTime now)
{
  while (q->waiting.n > 0 && q->waiting.items[0].key <= now)
    flow_ready (q, q->waiting.items[0].handle);
  while (q->waiting_jobs.n > 0 && q->waiting_jobs.items[0].key <= now)
    job_wake (q, q->waiting_jobs.items[0].handle);
}

/* Takes a task out of its job, and the job out of its flow if it was the
 * last. */
static void
unlink_task (HsFairQueue *q, uint32_t task)
{
  Task *t = &q->tasks[task];
  uint32_t job = t->job;
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  if (t->prev != NONE)
    q->tasks[t->prev].next = t->next;
  else
    j->first = t->next;
  if (t->next != NONE)
    q->tasks[t->next].prev = t->prev;
  else
    j->last = t->prev;
  t->job = NONE;
  q->n_tasks--;
  if (--f->n_tasks == 0)
    q->active_weight -= f->weight;
  if (j->first != NONE)
    return;
  hs_heap_remove (j->waits ? &q->waiting_jobs : &f->jobs, q->job_positions,
                  job);
  if (f->jobs.n == 0)
    flow_stop (q, j->flow);
  job_free (q, job);
}

static void
serve (HsFairQueue *q, uint32_t flow, uint32_t job, HsPopped *out)
{
  Flow *f = &q->flows[flow];
  uint32_t task = q->jobs[job].first;
  HsTime cost = hs_fair_queue_expect (q, flow, q->tasks[task].declared);

  *out = (HsPopped){ .task = task, .flow = flow, .charged = cost };
  if (f->tag > q->virtual_now)
    q->virtual_now = f->tag;
  f->tag += cost * VIRTUAL_SCALE / (int64_t) f->weight;
  f->job_tag = q->jobs[job].key;
  unlink_task (q, task);
  if (f->state != FLOW_READY)
    return;
  hs_heap_rekey (&q->ready, q->flow_positions, flow, f->tag);
  if (q->order != HS_JOBS_ROUND_ROBIN
      || q->job_positions[job] == HS_HEAP_NOWHERE)
    return;
  q->jobs[job].key += cost;
  hs_heap_rekey (&f->jobs, q->job_positions, job, q->jobs[job].key);
}
