#include "policy/fair_queue.h"

#include "policy/fair_queue_tables.h"

/* Virtual time is run time times this factor over the weight, so that tasks
 * with short run times still differ at a weight of 1000. */
#define VIRTUAL_SCALE 16

static int64_t initial_job_key (const HsFairQueue *q,
                                const Flow *flow,
                                HsTime now,
                                HsTime expected);
static void make_flow_ready (HsFairQueue *q, uint32_t flow);
static void make_flow_idle (HsFairQueue *q, uint32_t flow);
static void defer_flow (HsFairQueue *q, uint32_t flow, HsTime ready_at);
static void defer_job (HsFairQueue *q, uint32_t job, HsTime ready_at);
static void resume_job (HsFairQueue *q, uint32_t job);
static void resume_due (HsFairQueue *q, HsTime now);
static void remove_task (HsFairQueue *q, uint32_t task);
static void update_ready_counts (HsFairQueue *q, Flow *f);
static void
pop_task (HsFairQueue *q, uint32_t flow, uint32_t job, HsPoppedTask *out);

HsFairQueue *
hs_fair_queue_new (TALLOC_CTX *ctx, HsJobOrder order)
{
  HsFairQueue *q = talloc_zero (ctx, HsFairQueue);

  q->order = order;
  q->first_free_job = HS_FQ_NONE;
  return q;
}

uint32_t
hs_fair_queue_add_flow (HsFairQueue *q, uint32_t weight)
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
                           .start_tag = q->virtual_time };
  hs_run_time_init (&q->flows[flow].run_time);
  q->flow_positions[flow] = HS_HEAP_NONE;
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
hs_fair_queue_remove_flow (HsFairQueue *q, uint32_t flow)
{
  Flow *f = &q->flows[flow];

  if (f->n_tasks > 0)
    return false;
  make_flow_idle (q, flow);
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
      expected
          += hs_fair_queue_expected_run (q, flow, q->tasks[tasks[i]].declared);
    }
  f->n_tasks += n;
  q->n_tasks += n;
  q->jobs[job].key = initial_job_key (q, f, now, expected);
  hs_heap_push (q, &f->jobs, q->job_positions, job, q->jobs[job].key);
  if (f->state == FLOW_IDLE)
    make_flow_ready (q, flow);
  update_ready_counts (q, f);
}

bool
hs_fair_queue_pop (HsFairQueue *q,
                   HsTime now,
                   HsStartDecisionFunc decide,
                   void *arg,
                   HsPoppedTask *popped)
{
  resume_due (q, now);
  while (q->ready_flows.n > 0)
    {
      uint32_t flow = q->ready_flows.items[0].handle;
      uint32_t job = q->flows[flow].jobs.items[0].handle;
      HsTime ready_at = HS_NEVER;

      switch (decide (arg, flow, q->jobs[job].first_task, now, &ready_at))
        {
        case HS_START_TASK:
          pop_task (q, flow, job, popped);
          return true;
        case HS_START_DEFER_FLOW:
          defer_flow (q, flow, ready_at);
          break;
        case HS_START_DEFER_JOB:
          defer_job (q, job, ready_at);
          break;
        case HS_START_NONE:
          return false;
        }
    }
  return false;
}

bool
hs_fair_queue_remove (HsFairQueue *q, uint32_t task)
{
  if (task >= q->tasks_size || q->tasks[task].job == HS_FQ_NONE)
    return false;
  remove_task (q, task);
  return true;
}

void
hs_fair_queue_task_ended (HsFairQueue *q,
                          uint32_t flow,
                          HsTime declared,
                          HsTime charged,
                          HsTime run)
{
  Flow *f = &q->flows[flow];

  f->start_tag += (run - charged) * VIRTUAL_SCALE / (int64_t) f->weight;
  hs_run_time_add_sample (&f->run_time, declared, run);
  if (f->state != FLOW_READY)
    return;
  if (f->start_tag < q->virtual_time)
    f->start_tag = q->virtual_time;
  hs_heap_update_key (&q->ready_flows, q->flow_positions, flow, f->start_tag);
}

void
hs_fair_queue_wake_flow (HsFairQueue *q, uint32_t flow)
{
  if (q->flows[flow].state == FLOW_DEFERRED)
    make_flow_ready (q, flow);
}

void
hs_fair_queue_wake_jobs (HsFairQueue *q)
{
  while (q->deferred_jobs.n > 0)
    resume_job (q, q->deferred_jobs.items[0].handle);
}

HsTime
hs_fair_queue_wake_at (const HsFairQueue *q)
{
  HsTime earliest = HS_NEVER;

  if (q->deferred_flows.n > 0)
    earliest = q->deferred_flows.items[0].key;
  if (q->deferred_jobs.n > 0 && q->deferred_jobs.items[0].key < earliest)
    earliest = q->deferred_jobs.items[0].key;
  return earliest;
}

HsTime
hs_fair_queue_expected_run (const HsFairQueue *q,
                            uint32_t flow,
                            HsTime declared)
{
  return hs_run_time_expected (&q->flows[flow].run_time, declared);
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
hs_fair_queue_ready_weight (const HsFairQueue *q)
{
  return q->ready_weight;
}

static int64_t
initial_job_key (const HsFairQueue *q,
                 const Flow *flow,
                 HsTime now,
                 HsTime expected)
{
  switch (q->order)
    {
    case HS_JOBS_EARLIEST_END:
      return now + expected;
    case HS_JOBS_ROUND_ROBIN:
      return flow->last_job_key;
    case HS_JOBS_FIFO:
      break;
    }
  return now;
}

static void
make_flow_ready (HsFairQueue *q, uint32_t flow)
{
  Flow *f = &q->flows[flow];

  make_flow_idle (q, flow);
  if (f->jobs.n == 0)
    return;
  if (f->start_tag < q->virtual_time)
    f->start_tag = q->virtual_time;
  f->state = FLOW_READY;
  hs_heap_push (q, &q->ready_flows, q->flow_positions, flow, f->start_tag);
  update_ready_counts (q, f);
}

static void
make_flow_idle (HsFairQueue *q, uint32_t flow)
{
  Flow *f = &q->flows[flow];

  if (f->state == FLOW_READY)
    hs_heap_remove (&q->ready_flows, q->flow_positions, flow);
  if (f->state == FLOW_DEFERRED)
    hs_heap_remove (&q->deferred_flows, q->flow_positions, flow);
  f->state = FLOW_IDLE;
  update_ready_counts (q, f);
}

static void
defer_flow (HsFairQueue *q, uint32_t flow, HsTime ready_at)
{
  make_flow_idle (q, flow);
  q->flows[flow].state = FLOW_DEFERRED;
  hs_heap_push (q, &q->deferred_flows, q->flow_positions, flow, ready_at);
}

static void
defer_job (HsFairQueue *q, uint32_t job, HsTime ready_at)
{
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  hs_heap_remove (&f->jobs, q->job_positions, job);
  j->is_deferred = true;
  f->n_deferred += j->n_tasks;
  hs_heap_push (q, &q->deferred_jobs, q->job_positions, job, ready_at);
  if (f->jobs.n == 0)
    make_flow_idle (q, j->flow);
  update_ready_counts (q, f);
}

static void
resume_job (HsFairQueue *q, uint32_t job)
{
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  hs_heap_remove (&q->deferred_jobs, q->job_positions, job);
  j->is_deferred = false;
  f->n_deferred -= j->n_tasks;
  hs_heap_push (q, &f->jobs, q->job_positions, job, j->key);
  if (f->state == FLOW_IDLE)
    make_flow_ready (q, j->flow);
  update_ready_counts (q, f);
}

static void
resume_due (HsFairQueue *q, HsTime now)
{
  while (q->deferred_flows.n > 0 && q->deferred_flows.items[0].key <= now)
    make_flow_ready (q, q->deferred_flows.items[0].handle);
  while (q->deferred_jobs.n > 0 && q->deferred_jobs.items[0].key <= now)
    resume_job (q, q->deferred_jobs.items[0].handle);
}

/* Removes a task from its job, and the job from its flow if it was the last
 * task. */
static void
remove_task (HsFairQueue *q, uint32_t task)
{
  uint32_t job = q->tasks[task].job;
  Job *j = &q->jobs[job];
  Flow *f = &q->flows[j->flow];

  hs_fq_job_unlink (q, task);
  q->n_tasks--;
  f->n_tasks--;
  if (j->is_deferred)
    f->n_deferred--;
  update_ready_counts (q, f);
  if (j->n_tasks > 0)
    return;
  hs_heap_remove (j->is_deferred ? &q->deferred_jobs : &f->jobs,
                  q->job_positions, job);
  if (f->jobs.n == 0)
    make_flow_idle (q, j->flow);
  hs_fq_job_free (q, job);
}

/* Updates the counts of tasks that could start after a change of a flow. */
static void
update_ready_counts (HsFairQueue *q, Flow *f)
{
  uint32_t n = f->state == FLOW_READY ? f->n_tasks - f->n_deferred : 0;

  if (f->n_ready == 0 && n > 0)
    q->ready_weight += f->weight;
  if (f->n_ready > 0 && n == 0)
    q->ready_weight -= f->weight;
  q->n_ready += n - f->n_ready;
  f->n_ready = n;
}

static void
pop_task (HsFairQueue *q, uint32_t flow, uint32_t job, HsPoppedTask *out)
{
  Flow *f = &q->flows[flow];
  uint32_t task = q->jobs[job].first_task;
  HsTime cost = hs_fair_queue_expected_run (q, flow, q->tasks[task].declared);

  *out = (HsPoppedTask){ .task = task, .flow = flow, .charged = cost };
  if (f->start_tag > q->virtual_time)
    q->virtual_time = f->start_tag;
  f->start_tag += cost * VIRTUAL_SCALE / (int64_t) f->weight;
  f->last_job_key = q->jobs[job].key;
  remove_task (q, task);
  if (f->state != FLOW_READY)
    return;
  hs_heap_update_key (&q->ready_flows, q->flow_positions, flow, f->start_tag);
  if (q->order != HS_JOBS_ROUND_ROBIN || q->job_positions[job] == HS_HEAP_NONE)
    return;
  q->jobs[job].key += cost;
  hs_heap_update_key (&f->jobs, q->job_positions, job, q->jobs[job].key);
}
