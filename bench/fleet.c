#include "fleet.h"

#include "events.h"
#include "policy/credits.h"
#include "policy/health.h"
#include "policy/loans.h"

#define LEASE_LEFT (3 * HS_SEC)
#define FAIL_RUN (5 * HS_MSEC)
#define SLOW_FACTOR 5
#define REFRESH_PERIOD (2 * HS_SEC)
#define FAULTY_TARGET 0
#define FAULT_GRACE (2 * HS_SEC)
#define CREDITS_MAX (BENCH_TARGETS * BENCH_SLOTS)

typedef struct
{
  bool busy;
  uint32_t holder;
  uint32_t generation;
  HsTime idle_since;
} Slot;

typedef struct
{
  Slot slots[BENCH_SLOTS];
  HsTime granted[BENCH_ENTRIES]; /* Last GRANT to each entry. */
  uint32_t *queue;               /* Tasks that wait here; rules but credits. */
  uint32_t first;
  uint32_t last;
} Target;

typedef struct
{
  HsRule rule;
  HsFairQueue *queue;
  HsCredits *credits;
  HsLoans *loans;
  HsHealth *health;
  uint32_t outstanding[BENCH_TARGETS];
  HsTime tick_at;
} Entry;

typedef struct
{
  const BenchWorkload *load;
  const BenchRun *run;
  BenchResult *result;
  BenchEvents events;
  HsTime now;
  uint32_t n_entries;
  uint32_t n_left; /* Tasks that have not ended. */
  Entry entries[BENCH_ENTRIES];
  Target targets[BENCH_TARGETS];
  uint32_t *left;      /* By job: tasks that have not ended. */
  HsTime *charged;     /* By task. */
  hsx_credit *granted; /* By task: the credit it was started with. */
} Fleet;

/* Argument of may_start(). */
typedef struct
{
  Fleet *fleet;
  Entry *entry;
  uint32_t target;
  hsx_credit credit;
} Starting;

static void set_up (Fleet *f);
static void handle (Fleet *f, BenchEvent *event);
static uint32_t entry_of (const Fleet *f, uint32_t task);
static void post (Fleet *f, HsTime delay, const BenchEvent *event);
static void job_arrives (Fleet *f, uint32_t job);
static HsMayStart may_start (void *arg,
                             uint32_t flow,
                             uint32_t task,
                             HsTime now,
                             HsTime *ready_at);
static void turn (Fleet *f, uint32_t entry);
static void lend (Fleet *f, uint32_t entry);
static void ask (Fleet *f, uint32_t entry);
static void apply_health (Fleet *f, uint32_t entry);
static void schedule_tick (Fleet *f, uint32_t entry);
static HsDemand demand_of (const Entry *e);
static void start_arrives (Fleet *f, const BenchEvent *event);
static void run_task (Fleet *f, uint32_t task, uint32_t at, uint32_t slot);
static bool fails (const Fleet *f, uint32_t task, uint32_t target);
static void task_ends (Fleet *f, const BenchEvent *event);
static void result_arrives (Fleet *f, const BenchEvent *event);
static void note_end (Fleet *f, uint32_t task, uint32_t target);
static void answer_arrives (Fleet *f, BenchEvent *event);
static void refresh (Fleet *f, uint32_t target);
static void refresh_entry (Fleet *f, uint32_t target, uint32_t entry);

BenchResult *
bench_fleet_run (TALLOC_CTX *ctx,
                 const BenchWorkload *load,
                 const BenchRun *run)
{
  Fleet *f = talloc_zero (ctx, Fleet);
  BenchResult *result = talloc_zero (ctx, BenchResult);
  BenchEvent event;

  f->load = load;
  f->run = run;
  f->result = result;
  f->n_left = load->n_tasks;
  result->response = talloc_zero_array (result, HsTime, load->n_jobs);
  set_up (f);
  while (f->n_left > 0 && bench_events_next (&f->events, &f->now, &event))
    handle (f, &event);
  talloc_free (f);
  return result;
}

static void
set_up (Fleet *f)
{
  const hsx_needs capacity = { 32768, 0 };
  uint32_t e;
  uint32_t i;

  f->n_entries = f->run->is_ideal ? 1 : BENCH_ENTRIES;
  f->left = talloc_zero_array (f, uint32_t, f->load->n_jobs);
  f->charged = talloc_zero_array (f, HsTime, f->load->n_tasks);
  f->granted = talloc_zero_array (f, hsx_credit, f->load->n_tasks);
  for (e = 0; e < f->n_entries; e++)
    {
      Entry *entry = &f->entries[e];

      entry->rule.kind = f->run->rule;
      entry->queue = hs_fair_queue_new (f, f->run->order);
      entry->credits = hs_credits_new (f, f->run->seed * 7 + e);
      entry->loans = hs_loans_new (f, f->run->seed * 11 + e);
      entry->health = hs_health_new (f);
      entry->tick_at = HS_NEVER;
      entry->rule.u.random = f->run->seed * 13 + e;
      if (entry->rule.kind == HS_RULE_ROUND_ROBIN)
        entry->rule.u.next = e * 4;
      if (entry->rule.kind == HS_RULE_CREDITS)
        entry->rule.u.credits = entry->credits;
      for (i = 0; i < BENCH_CUSTOMERS; i++)
        hs_fair_queue_flow (entry->queue, 1);
      for (i = 0; i < f->n_entries; i++)
        if (i != e)
          hs_loans_add_peer (entry->loans, i);
      for (i = 0; i < BENCH_TARGETS; i++)
        {
          hs_credits_agent (entry->credits, i, &capacity);
          hs_health_add (entry->health, i);
        }
    }
  for (i = 0; i < BENCH_TARGETS; i++)
    {
      uint32_t s;

      f->targets[i].queue = talloc_array (f, uint32_t, f->load->n_tasks);
      for (s = 0; s < BENCH_SLOTS; s++)
        f->targets[i].slots[s]
            = (Slot){ .holder = (i * BENCH_SLOTS + s) % f->n_entries,
                      .generation = 1 };
      for (e = 0; e < f->n_entries; e++)
        refresh_entry (f, i, e);
      post (f, REFRESH_PERIOD + i * HS_MSEC,
            &(BenchEvent){ .kind = EVENT_REFRESH, .a = i });
    }
  post (f, f->load->jobs[0].at, &(BenchEvent){ .kind = EVENT_JOB, .a = 0 });
}

static void
handle (Fleet *f, BenchEvent *event)
{
  switch (event->kind)
    {
    case EVENT_JOB:
      job_arrives (f, event->a);
      break;
    case EVENT_START:
      start_arrives (f, event);
      break;
    case EVENT_END:
      task_ends (f, event);
      break;
    case EVENT_RESULT:
      result_arrives (f, event);
      break;
    case EVENT_ASK:
      hs_loans_asked (f->entries[event->b].loans, event->a, &event->borrow,
                      f->now);
      turn (f, event->b);
      break;
    case EVENT_ANSWER:
      answer_arrives (f, event);
      break;
    case EVENT_GRANT:
      hs_credits_grant (f->entries[event->b].credits, event->a, event->c,
                        event->credits, f->now);
      talloc_free (event->credits);
      turn (f, event->b);
      break;
    case EVENT_REFRESH:
      refresh (f, event->a);
      break;
    case EVENT_TICK:
      f->entries[event->a].tick_at = HS_NEVER;
      turn (f, event->a);
      break;
    }
}

static uint32_t
entry_of (const Fleet *f, uint32_t task)
{
  return f->load->jobs[f->load->tasks[task].job].customer % f->n_entries;
}

static void
post (Fleet *f, HsTime delay, const BenchEvent *event)
{
  bench_events_add (f, &f->events, f->now + delay, event);
}

static void
job_arrives (Fleet *f, uint32_t job)
{
  const BenchJob *j = &f->load->jobs[job];
  Entry *e = &f->entries[j->customer % f->n_entries];
  uint32_t tasks[512];
  HsTime declared[512];
  uint32_t i;

  f->left[job] = j->n;
  if (job + 1 < f->load->n_jobs)
    post (f, f->load->jobs[job + 1].at - f->now,
          &(BenchEvent){ .kind = EVENT_JOB, .a = job + 1 });
  for (i = 0; i < j->n; i++)
    {
      tasks[i] = j->first + i;
      declared[i] = f->load->tasks[tasks[i]].declared;
    }
  hs_fair_queue_push (e->queue, j->customer, f->now, j->n, tasks, declared);
  turn (f, j->customer % f->n_entries);
}

static HsMayStart
may_start (void *arg,
           uint32_t flow,
           uint32_t task,
           HsTime now,
           HsTime *ready_at)
{
  Starting *s = arg;
  HsRuleView view = { .n_targets = BENCH_TARGETS,
                      .outstanding = s->entry->outstanding,
                      .now = now,
                      .lease_left = LEASE_LEFT };

  (void) flow;
  (void) task;
  (void) ready_at;
  if (!hs_rule_choose (&s->entry->rule, &view, &s->target, &s->credit))
    return HS_NONE_STARTS;
  return HS_MAY_START;
}

/* One turn of an entry's loop. */
static void
turn (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  Starting s = { .fleet = f, .entry = e };
  HsPopped popped;

  apply_health (f, entry);
  lend (f, entry);
  while (hs_fair_queue_pop (e->queue, f->now, may_start, &s, &popped))
    {
      f->charged[popped.task] = popped.charged;
      f->granted[popped.task] = s.credit;
      e->outstanding[s.target]++;
      post (f, f->run->delay,
            &(BenchEvent){ .kind = EVENT_START,
                           .a = popped.task,
                           .b = s.target,
                           .credit = s.credit });
    }
  ask (f, entry);
  schedule_tick (f, entry);
}

static void
lend (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  HsDemand demand = demand_of (e);
  uint32_t peer;
  uint32_t n;

  while (hs_loans_due (e->loans, &demand, f->now, &peer, &n))
    {
      hsx_credit *credits = talloc_array (f, hsx_credit, CREDITS_MAX);

      n = hs_credits_take_loan (e->credits, n, f->now, LEASE_LEFT, credits);
      demand = demand_of (e);
      f->result->borrows++;
      post (f, f->run->delay,
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
  HsDemand demand = demand_of (e);
  BenchEvent event = { .kind = EVENT_ASK, .a = entry };

  if (e->rule.kind != HS_RULE_CREDITS)
    return;
  while (hs_loans_ask (e->loans, &demand, f->now, &event.b, &event.borrow))
    {
      f->result->borrows++;
      post (f, f->run->delay, &event);
    }
}

static void
apply_health (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  uint32_t target;
  HsHealthState state;

  while (hs_health_changed (e->health, f->now, &target, &state))
    {
      hs_credits_set_health (e->credits, target, state);
      if (state == HS_HEALTH_EJECTED
          && (f->run->fault == BENCH_FAULT_NONE || target != FAULTY_TARGET))
        f->result->ejected_healthy++;
    }
}

static void
schedule_tick (Fleet *f, uint32_t entry)
{
  Entry *e = &f->entries[entry];
  HsTime at = hs_loans_due_at (e->loans);

  if (e->rule.kind != HS_RULE_CREDITS)
    return;
  if (hs_health_wake_at (e->health) < at)
    at = hs_health_wake_at (e->health);
  if (hs_fair_queue_length (e->queue) > 0 && hs_loans_ask_at (e->loans) < at)
    at = hs_loans_ask_at (e->loans);
  if (at <= f->now)
    at = f->now + HS_MSEC;
  if (at == HS_NEVER || at >= e->tick_at)
    return;
  e->tick_at = at;
  post (f, at - f->now, &(BenchEvent){ .kind = EVENT_TICK, .a = entry });
}

static HsDemand
demand_of (const Entry *e)
{
  return (HsDemand){ .queued = hs_fair_queue_length (e->queue),
                     .weight = hs_fair_queue_weight (e->queue),
                     .idle = hs_credits_idle (e->credits),
                     .in_use = hs_credits_in_use (e->credits) };
}

static void
start_arrives (Fleet *f, const BenchEvent *event)
{
  Target *t = &f->targets[event->b];
  uint32_t s;

  if (f->run->rule == HS_RULE_CREDITS)
    {
      Slot *slot = &t->slots[event->credit.slot];

      if (!slot->busy && slot->generation == event->credit.generation)
        {
          run_task (f, event->a, event->b, event->credit.slot);
          return;
        }
      f->result->refused++;
      post (
          f, f->run->delay,
          &(BenchEvent){ .kind = EVENT_RESULT, .a = event->a, .b = event->b });
      return;
    }
  for (s = 0; s < BENCH_SLOTS; s++)
    if (!t->slots[s].busy)
      {
        run_task (f, event->a, event->b, s);
        return;
      }
  t->queue[t->last++ % f->load->n_tasks] = event->a;
}

static void
run_task (Fleet *f, uint32_t task, uint32_t at, uint32_t slot)
{
  HsTime run = f->load->tasks[task].run;

  if (at == FAULTY_TARGET && f->now >= f->run->fault_at)
    switch (f->run->fault)
      {
      case BENCH_FAULT_FAILS:
        run = FAIL_RUN;
        break;
      case BENCH_FAULT_SLOW:
        run *= SLOW_FACTOR;
        break;
      case BENCH_FAULT_NONE:
        break;
      }
  f->targets[at].slots[slot].busy = true;
  f->targets[at].slots[slot].holder = entry_of (f, task);
  f->targets[at].slots[slot].idle_since = f->now;
  post (f, run,
        &(BenchEvent){ .kind = EVENT_END, .a = task, .b = at, .c = slot });
}

static bool
fails (const Fleet *f, uint32_t task, uint32_t target)
{
  if (f->load->jobs[f->load->tasks[task].job].customer == f->run->bad_customer)
    return true;
  return f->run->fault == BENCH_FAULT_FAILS && target == FAULTY_TARGET
         && f->now >= f->run->fault_at;
}

static void
task_ends (Fleet *f, const BenchEvent *event)
{
  Target *t = &f->targets[event->b];
  Slot *slot = &t->slots[event->c];
  BenchEvent result = { .kind = EVENT_RESULT,
                        .a = event->a,
                        .b = event->b,
                        .c = 1,
                        .idle = (uint32_t) (f->now - slot->idle_since) };

  slot->busy = false;
  slot->generation++;
  slot->idle_since = f->now;
  result.credit = (hsx_credit){ .agent = event->b,
                                .slot = event->c,
                                .generation = slot->generation,
                                .stamp_us = f->now };
  post (f, f->run->delay, &result);
  if (t->first == t->last)
    return;
  run_task (f, t->queue[t->first++ % f->load->n_tasks], event->b, event->c);
}

static void
result_arrives (Fleet *f, const BenchEvent *event)
{
  uint32_t entry = entry_of (f, event->a);
  Entry *e = &f->entries[entry];
  const BenchTask *task = &f->load->tasks[event->a];
  uint32_t flow = f->load->jobs[task->job].customer;

  e->outstanding[event->b]--;
  hs_credits_finished (e->credits, event->b);
  if (event->c == 0)
    {
      hs_fair_queue_push (e->queue, flow, f->now, 1, &event->a,
                          &task->declared);
      turn (f, entry);
      return;
    }
  if (e->rule.kind == HS_RULE_CREDITS)
    {
      HsTime run = event->idle;

      hs_credits_add (e->credits, event->b, &event->credit, HS_CREDIT_RETURNED,
                      f->now);
      hs_health_result (
          e->health, event->b, flow, fails (f, event->a, event->b), run,
          hs_fair_queue_expect (e->queue, flow, task->declared), f->now);
      hs_fair_queue_finished (e->queue, flow, task->declared,
                              f->charged[event->a], run);
    }
  note_end (f, event->a, event->b);
  turn (f, entry);
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
  if (fails (f, task, target))
    f->result->failed++;
}

static void
answer_arrives (Fleet *f, BenchEvent *event)
{
  Entry *e = &f->entries[event->b];
  uint32_t i;

  for (i = 0; i < event->c; i++)
    hs_credits_add (e->credits, (uint32_t) event->credits[i].agent,
                    &event->credits[i], HS_CREDIT_LENT, f->now);
  hs_loans_answered (e->loans, event->a, event->c, event->idle, f->now);
  talloc_free (event->credits);
  turn (f, event->b);
}

static void
refresh (Fleet *f, uint32_t target)
{
  Target *t = &f->targets[target];
  uint32_t e;
  uint32_t s;

  post (f, REFRESH_PERIOD, &(BenchEvent){ .kind = EVENT_REFRESH, .a = target });
  for (e = 0; e < f->n_entries; e++)
    for (s = 0; s < BENCH_SLOTS; s++)
      {
        HsTime idle = f->now - t->slots[s].idle_since;

        if (t->slots[s].busy || t->slots[s].holder != e)
          continue;
        if (idle >= REFRESH_PERIOD && f->now - t->granted[e] >= REFRESH_PERIOD)
          {
            refresh_entry (f, target, e);
            f->result->grants++;
            break;
          }
      }
}

static void
refresh_entry (Fleet *f, uint32_t target, uint32_t entry)
{
  Target *t = &f->targets[target];
  hsx_credit *credits = talloc_array (f, hsx_credit, BENCH_SLOTS);
  uint32_t n = 0;
  uint32_t s;

  for (s = 0; s < BENCH_SLOTS; s++)
    if (!t->slots[s].busy && t->slots[s].holder == entry)
      credits[n++] = (hsx_credit){ .agent = target,
                                   .slot = s,
                                   .generation = t->slots[s].generation,
                                   .stamp_us = f->now };
  t->granted[entry] = f->now;
  post (f, f->run->delay,
        &(BenchEvent){ .kind = EVENT_GRANT,
                       .a = target,
                       .b = entry,
                       .c = n,
                       .credits = credits });
}
