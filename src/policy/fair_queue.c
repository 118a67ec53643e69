#include "policy/fair_queue.h"

#include "policy/fair_queue_tables.h"

/* Virtual time is run time times this over the weight, so that a weight of
 * 1000 still tells short tasks apart. */
#define VIRTUAL_SCALE 16

static int64_t
first_key (const HsFairQueue *q, const Flow *flow, HsTime now, HsTime expected);
static void flow_ready (HsFairQueue *q, uint32_t flow);
static void flow_stop (HsFairQueue *q, uint32_t flow);
static void flow_wait (HsFairQueue *q, uint32_t flow, HsTime ready_at);
static void job_wait (HsFairQueue *q, uint32_t job, HsTime ready_at);
static void job_wake (HsFairQueue *q, uint32_t job);
static void wake_due (HsFairQueue *q, HsTime now);
static void unlink_task (HsFairQueue *q, uint32_t task);
static void recount (HsFairQueue *q, Flow *f);
static void serve (HsFairQueue *q, uint32_t flow, uint32_t job, HsPopped *out);

HsFairQueue *
hs_fair_queue_new (TALLOC_CTX *ctx, HsJobOrder order)
{
  HsFairQueue *q = talloc_zero (ctx, HsFairQueue);

  q->order = order;
  q->free_job = HS_FQ_NONE;
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
      hs_fq_reserve_flow (q, flow);
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
  if (f->n_ready > 0)
    q->ready_weight += weight - f->weight;
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
  job = hs_fq_job_new (q, flow);
  for (i = 0; i < n; i++)
    {
      hs_fq_reserve_task (q, tasks[i]);
      q->tasks[tasks[i]].declared = declared != NULL ? declared[i] : 0;
      hs_fq_job_append (q, job, tasks[i]);
      expected += hs_fair_queue_expect (q, flow, q->tasks[tasks[i]].declared);
    }
  f->n_tasks += n;
  q->n_tasks += n;
  q->jobs[job].key = first_key (q, f, now, expected);
  hs_heap_push (q, &f->jobs, q->job_positions, job, q->jobs[job].key);
  if (f->state == FLOW_IDLE)
    flow_ready (q, flow);
  recount (q, f);
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
  if (task >= q->n_nodes || q->tasks[task].job == HS_FQ_NONE)
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
hs_fair_queue_ready_length (const HsFairQueue *q)
{
  return q->n_ready;
}

uint32_t
hs_fair_queue_flow_length (const HsFairQueue *q, uint32_t flow)
{
  return q->flows[flow].n_tasks;
}

uint32_t
hs_fair_queue_weight (const HsFairQueue *q)
{
  return q->ready_weight;
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
  recount (q, f);
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
  recount (q, f);
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
  f->n_aside += j->n;
  hs_heap_push (q, &q->waiting_jobs, q->job_positions, job, ready_at);
  if (f->jobs.n == 0)
    flow_stop (q, j->flow);
  recount (q, f);
}

static void
job_wake (HsFairQueue *q, uint32_t job)
{
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  hs_heap_remove (&q->waiting_jobs, q->job_positions, job);
  j->waits = false;
  f->n_aside -= j->n;
  hs_heap_push (q, &f->jobs, q->job_positions, job, j->key);
  if (f->state == FLOW_IDLE)
    flow_ready (q, j->flow);
  recount (q, f);
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
  uint32_t job = q->tasks[task].job;
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  hs_fq_job_unlink (q, task);
  q->n_tasks--;
  f->n_tasks--;
  if (j->waits)
    f->n_aside--;
  recount (q, f);
  if (j->n > 0)
    return;
  hs_heap_remove (j->waits ? &q->waiting_jobs : &f->jobs, q->job_positions,
                  job);
  if (f->jobs.n == 0)
    flow_stop (q, j->flow);
  hs_fq_job_free (q, job);
}

/* Brings the counts of what could start up to date after a flow changed. */
static void
recount (HsFairQueue *q, Flow *f)
{
  uint32_t n = f->state == FLOW_READY ? f->n_tasks - f->n_aside : 0;

  if (f->n_ready == 0 && n > 0)
    q->ready_weight += f->weight;
  if (f->n_ready > 0 && n == 0)
    q->ready_weight -= f->weight;
  q->n_ready += n - f->n_ready;
  f->n_ready = n;
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
