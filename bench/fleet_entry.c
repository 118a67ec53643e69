#include "fleet_state.h"

#define FAULT_GRACE (2 * HS_SEC)
#define CREDITS_MAX (BENCH_TARGETS * BENCH_SLOTS)

/* Argument of may_start(). */
typedef struct
{
  Fleet *fleet;
  Entry *entry;
  uint32_t target;
  hsx_credit credit;
} Starting;

static HsStartDecision may_start (void *arg,
                                  uint32_t flow,
                                  uint32_t task,
                                  HsTime now,
                                  HsTime *ready_at);
static void lend (Fleet *f, uint32_t entry);
static void ask (Fleet *f, uint32_t entry);
static void apply_health (Fleet *f, uint32_t entry);
static void schedule_tick (Fleet *f, uint32_t entry);
static HsCreditDemand demand_of (const Entry *e);
static void note_end (Fleet *f, uint32_t task, uint32_t target);

void
bench_entry_job (Fleet *f, uint32_t job)
{
  const BenchJob *j = &f->load->jobs[job];
  Entry *e = &f->entries[j->customer % f->n_entries];
  uint32_t tasks[512];
  HsTime declared[512];
  uint32_t i;

  f->left[job] = j->n;
  if (job + 1 < f->load->n_jobs)
    bench_post (f, f->load->jobs[job + 1].at - f->now,
                &(BenchEvent){ .kind = EVENT_JOB, .a = job + 1 });
  for (i = 0; i < j->n; i++)
    {
      tasks[i] = j->first + i;
      declared[i] = f->load->tasks[tasks[i]].declared;
    }
  hs_fair_queue_push (e->queue, j->customer, f->now, j->n, tasks, declared);
  bench_entry_turn (f, j->customer % f->n_entries);
}

void
bench_entry_turn (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  Starting s = { .fleet = f, .entry = e };
  HsPoppedTask popped;

  apply_health (f, entry);
  hs_credits_reclaim_loans (e->credits, f->now);
  lend (f, entry);
  while (hs_fair_queue_pop (e->queue, f->now, may_start, &s, &popped))
    {
      f->charged[popped.task] = popped.charged;
      f->granted[popped.task] = s.credit;
      e->outstanding[s.target]++;
      bench_post (f, f->run->delay,
                  &(BenchEvent){ .kind = EVENT_START,
                                 .a = popped.task,
                                 .b = s.target,
                                 .credit = s.credit });
    }
  ask (f, entry);
  schedule_tick (f, entry);
}

void
bench_entry_result (Fleet *f, const BenchEvent *event)
{
  uint32_t entry = bench_entry_of (f, event->a);
  Entry *e = &f->entries[entry];
  const BenchTask *task = &f->load->tasks[event->a];
  uint32_t flow = f->load->jobs[task->job].customer;

  e->outstanding[event->b]--;
  hs_credits_task_ended (e->credits, event->b);
  if (event->c == 0)
    {
      hs_fair_queue_push (e->queue, flow, f->now, 1, &event->a,
                          &task->declared);
      bench_entry_turn (f, entry);
      return;
    }
  if (e->rule.kind == HS_DISPATCH_RULE_CREDITS)
    {
      HsTime run = event->idle;

      hs_credits_add (e->credits, event->b, &event->credit, HS_CREDIT_RETURNED,
                      f->now);
      hs_health_record_result (
          e->health, event->b, flow, bench_target_fails (f, event->a, event->b),
          run, hs_fair_queue_expected_run (e->queue, flow, task->declared),
          f->now);
      hs_fair_queue_task_ended (e->queue, flow, task->declared,
                                f->charged[event->a], run);
    }
  note_end (f, event->a, event->b);
  bench_entry_turn (f, entry);
}

void
bench_entry_answer (Fleet *f, BenchEvent *event)
{
  Entry *e = &f->entries[event->b];
  uint32_t i;

  for (i = 0; i < event->c; i++)
    hs_credits_add (e->credits, (uint32_t) event->credits[i].agent,
                    &event->credits[i], HS_CREDIT_BORROWED, f->now);
  hs_loans_reply_received (e->loans, event->a, event->c, event->idle, f->now);
  talloc_free (event->credits);
  bench_entry_turn (f, event->b);
}

uint32_t
bench_entry_of (const Fleet *f, uint32_t task)
{
  return f->load->jobs[f->load->tasks[task].job].customer % f->n_entries;
}

static HsStartDecision
may_start (void *arg,
           uint32_t flow,
           uint32_t task,
           HsTime now,
           HsTime *ready_at)
{
  Starting *s = arg;
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
lend (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  HsCreditDemand demand = demand_of (e);
  uint32_t peer;
  uint32_t n;

  while (hs_loans_next_reply (e->loans, &demand, f->now, &peer, &n))
    {
      hsx_credit *credits = talloc_array (f, hsx_credit, CREDITS_MAX);

      n = hs_credits_lend (e->credits, n, f->now, BENCH_LEASE_LEFT, credits);
      demand = demand_of (e);
      f->result->borrows++;
      bench_post (f, f->run->delay,
                  &(BenchEvent){ .kind = EVENT_ANSWER,
                                 .a = entry,
                                 .b = peer,
                                 .c = n,
                                 .idle = demand.idle,
                                 .credits = credits });
    }
}

static void
ask (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  HsCreditDemand demand = demand_of (e);
  BenchEvent event = { .kind = EVENT_ASK, .a = entry };

  if (e->rule.kind != HS_DISPATCH_RULE_CREDITS)
    return;
  while (hs_loans_next_request (e->loans, &demand, f->now, &event.b,
                                &event.borrow))
    {
      f->result->borrows++;
      bench_post (f, f->run->delay, &event);
    }
}

static void
apply_health (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  uint32_t target;
  HsHealthState state;

  while (hs_health_next_change (e->health, f->now, &target, &state))
    {
      hs_credits_set_health (e->credits, target, state);
      if (state == HS_HEALTH_EJECTED
          && (f->run->fault == BENCH_FAULT_NONE
              || target != BENCH_FAULTY_TARGET))
        f->result->ejected_healthy++;
    }
}

static void
schedule_tick (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  HsTime at = hs_loans_next_reply_at (e->loans);

  if (e->rule.kind != HS_DISPATCH_RULE_CREDITS)
    return;
  if (hs_health_wake_at (e->health) < at)
    at = hs_health_wake_at (e->health);
  if (hs_fair_queue_length (e->queue) > 0
      && hs_loans_next_request_at (e->loans) < at)
    at = hs_loans_next_request_at (e->loans);
  if (at <= f->now)
    at = f->now + HS_MSEC;
  if (at == HS_NEVER || at >= e->tick_at)
    return;
  e->tick_at = at;
  bench_post (f, at - f->now, &(BenchEvent){ .kind = EVENT_TICK, .a = entry });
}

static HsCreditDemand
demand_of (const Entry *e)
{
  return (HsCreditDemand){ .queued = hs_fair_queue_ready_length (e->queue),
                           .weight = hs_fair_queue_ready_weight (e->queue),
                           .idle = hs_credits_idle (e->credits),
                           .in_use = hs_credits_in_use (e->credits) };
}

static void
note_end (Fleet *f, uint32_t task, uint32_t target)
{
  uint32_t job = f->load->tasks[task].job;

  f->n_left--;
  if (--f->left[job] == 0)
    f->result->response[job] = f->now - f->load->jobs[job].at;
  if (f->now < f->run->fault_at + FAULT_GRACE)
    return;
  f->result->n_late++;
  if (bench_target_fails (f, task, target))
    f->result->failed++;
}
