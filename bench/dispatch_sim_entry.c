#include "dispatch_sim_private.h"

/** Time after a fault in which its failed tasks are not counted. */
#define FAULT_DETECTION_TIME (2 * HS_SEC)
#define CREDITS_MAX (BENCH_TARGETS * BENCH_SLOTS)

/* Argument of decide_start(). */
typedef struct
{
  Sim *sim;
  SimEntry *entry;
  uint32_t target;
  hsx_credit credit;
} StartContext;

static HsStartDecision decide_start (void *arg,
                                     uint32_t flow,
                                     uint32_t task,
                                     HsTime now,
                                     HsTime *ready_at);
static void answer_borrow_requests (Sim *sim, uint32_t entry);
static void send_borrow_requests (Sim *sim, uint32_t entry);
static void apply_health (Sim *sim, uint32_t entry);
static void schedule_wake_up (Sim *sim, uint32_t entry);
static HsCreditDemand credit_demand (const SimEntry *e);
static void record_task_end (Sim *sim, uint32_t task, uint32_t target);

void
bench_sim_entry_submit (Sim *sim, uint32_t job)
{
  const BenchJob *j = &sim->workload->jobs[job];
  SimEntry *e = &sim->entries[j->customer % sim->n_entries];
  uint32_t tasks[512];
  HsTime declared[512];
  uint32_t i;

  sim->tasks_left[job] = j->n_tasks;
  if (job + 1 < sim->workload->n_jobs)
    bench_sim_schedule (
        sim, sim->workload->jobs[job + 1].arrival - sim->now,
        &(BenchEvent){ .kind = EVENT_JOB_ARRIVAL, .a = job + 1 });
  for (i = 0; i < j->n_tasks; i++)
    {
      tasks[i] = j->first_task + i;
      declared[i] = sim->workload->tasks[tasks[i]].declared_run_time;
    }
  hs_fair_queue_push (e->queue, j->customer, sim->now, j->n_tasks, tasks,
                      declared);
  bench_sim_entry_dispatch (sim, j->customer % sim->n_entries);
}

void
bench_sim_entry_dispatch (Sim *sim, uint32_t entry)
{
  SimEntry *e = &sim->entries[entry];
  StartContext s = { .sim = sim, .entry = e };
  HsPoppedTask popped;

  apply_health (sim, entry);
  hs_credits_reclaim_loans (e->credits, sim->now);
  answer_borrow_requests (sim, entry);
  while (hs_fair_queue_pop (e->queue, sim->now, decide_start, &s, &popped))
    {
      sim->charged_run_times[popped.task] = popped.charged;
      sim->credits[popped.task] = s.credit;
      e->outstanding[s.target]++;
      bench_sim_schedule (sim, sim->config->message_delay,
                          &(BenchEvent){ .kind = EVENT_START,
                                         .a = popped.task,
                                         .b = s.target,
                                         .credit = s.credit });
    }
  send_borrow_requests (sim, entry);
  schedule_wake_up (sim, entry);
}

void
bench_sim_entry_result (Sim *sim, const BenchEvent *event)
{
  uint32_t entry = bench_sim_owner (sim, event->a);
  SimEntry *e = &sim->entries[entry];
  const BenchTask *task = &sim->workload->tasks[event->a];
  uint32_t flow = sim->workload->jobs[task->job].customer;

  e->outstanding[event->b]--;
  hs_credits_task_ended (e->credits, event->b);
  if (event->c == 0)
    {
      hs_fair_queue_push (e->queue, flow, sim->now, 1, &event->a,
                          &task->declared_run_time);
      bench_sim_entry_dispatch (sim, entry);
      return;
    }
  if (e->rule.kind == HS_DISPATCH_RULE_CREDITS)
    {
      HsTime run = event->run_us;

      hs_credits_add (e->credits, event->b, &event->credit, HS_CREDIT_RETURNED,
                      sim->now);
      hs_health_record_result (
          e->health, event->b, flow,
          bench_sim_task_fails (sim, event->a, event->b), run,
          hs_fair_queue_expected_run (e->queue, flow, task->declared_run_time),
          sim->now);
      hs_fair_queue_task_ended (e->queue, flow, task->declared_run_time,
                                sim->charged_run_times[event->a], run);
    }
  record_task_end (sim, event->a, event->b);
  bench_sim_entry_dispatch (sim, entry);
}

void
bench_sim_entry_borrow_reply (Sim *sim, BenchEvent *event)
{
  SimEntry *e = &sim->entries[event->b];
  uint32_t i;

  for (i = 0; i < event->c; i++)
    hs_credits_add (e->credits, (uint32_t) event->credits[i].agent,
                    &event->credits[i], HS_CREDIT_BORROWED, sim->now);
  hs_loans_reply_received (e->loans, event->a, event->c, event->idle, sim->now);
  talloc_free (event->credits);
  bench_sim_entry_dispatch (sim, event->b);
}

uint32_t
bench_sim_owner (const Sim *sim, uint32_t task)
{
  return sim->workload->jobs[sim->workload->tasks[task].job].customer
         % sim->n_entries;
}

static HsStartDecision
decide_start (void *arg,
              uint32_t flow,
              uint32_t task,
              HsTime now,
              HsTime *ready_at)
{
  StartContext *s = arg;
  HsDispatchState view = { .n_targets = BENCH_TARGETS,
                           .outstanding = s->entry->outstanding,
                           .now = now,
                           .lease_left = BENCH_LEASE_LEFT };

  (void) flow;
  (void) task;
  (void) ready_at;
  if (!hs_dispatch_rule_choose (&s->entry->rule, &view, &s->target, &s->credit))
    return HS_START_NONE;
  return HS_START_TASK;
}

static void
answer_borrow_requests (Sim *sim, uint32_t entry)
{
  SimEntry *e = &sim->entries[entry];
  HsCreditDemand demand = credit_demand (e);
  uint32_t peer;
  uint32_t n;

  while (hs_loans_next_reply (e->loans, &demand, sim->now, &peer, &n))
    {
      hsx_credit *credits = talloc_array (sim, hsx_credit, CREDITS_MAX);

      n = hs_credits_lend (e->credits, n, sim->now, BENCH_LEASE_LEFT, credits);
      demand = credit_demand (e);
      sim->result->borrow_messages++;
      bench_sim_schedule (sim, sim->config->message_delay,
                          &(BenchEvent){ .kind = EVENT_BORROW_REPLY,
                                         .a = entry,
                                         .b = peer,
                                         .c = n,
                                         .idle = demand.idle,
                                         .credits = credits });
    }
}

static void
send_borrow_requests (Sim *sim, uint32_t entry)
{
  SimEntry *e = &sim->entries[entry];
  HsCreditDemand demand = credit_demand (e);
  BenchEvent event = { .kind = EVENT_BORROW_REQUEST, .a = entry };

  if (e->rule.kind != HS_DISPATCH_RULE_CREDITS)
    return;
  while (hs_loans_next_request (e->loans, &demand, sim->now, &event.b,
                                &event.borrow))
    {
      sim->result->borrow_messages++;
      bench_sim_schedule (sim, sim->config->message_delay, &event);
    }
}

static void
apply_health (Sim *sim, uint32_t entry)
{
  SimEntry *e = &sim->entries[entry];
  uint32_t target;
  HsHealthState state;

  while (hs_health_next_change (e->health, sim->now, &target, &state))
    {
      hs_credits_set_health (e->credits, target, state);
      if (state == HS_HEALTH_EJECTED
          && (sim->config->fault == BENCH_FAULT_NONE
              || target != BENCH_FAULTY_TARGET))
        sim->result->ejected_healthy++;
    }
}

static void
schedule_wake_up (Sim *sim, uint32_t entry)
{
  SimEntry *e = &sim->entries[entry];
  HsTime at = hs_loans_next_reply_at (e->loans);

  if (e->rule.kind != HS_DISPATCH_RULE_CREDITS)
    return;
  if (hs_health_wake_at (e->health) < at)
    at = hs_health_wake_at (e->health);
  if (hs_fair_queue_length (e->queue) > 0
      && hs_loans_next_request_at (e->loans) < at)
    at = hs_loans_next_request_at (e->loans);
  if (at <= sim->now)
    at = sim->now + HS_MSEC;
  if (at == HS_NEVER || at >= e->wake_up_at)
    return;
  e->wake_up_at = at;
  bench_sim_schedule (sim, at - sim->now,
                      &(BenchEvent){ .kind = EVENT_WAKE_UP, .a = entry });
}

static HsCreditDemand
credit_demand (const SimEntry *e)
{
  return (HsCreditDemand){ .queued = hs_fair_queue_ready_length (e->queue),
                           .weight = hs_fair_queue_ready_weight (e->queue),
                           .idle = hs_credits_idle (e->credits),
                           .in_use = hs_credits_in_use (e->credits) };
}

static void
record_task_end (Sim *sim, uint32_t task, uint32_t target)
{
  uint32_t job = sim->workload->tasks[task].job;

  sim->n_tasks_left--;
  if (--sim->tasks_left[job] == 0)
    sim->result->response_times[job]
        = sim->now - sim->workload->jobs[job].arrival;
  if (sim->now < sim->config->fault_at + FAULT_DETECTION_TIME)
    return;
  sim->result->ended_after_fault++;
  if (bench_sim_task_fails (sim, task, target))
    sim->result->failed_after_fault++;
}
