#include "fleet_state.h"

static void set_up (Fleet *f);
static void set_up_entry (Fleet *f, uint32_t entry);
static void set_up_target (Fleet *f, uint32_t target);
static void handle (Fleet *f, BenchEvent *event);

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
  uint32_t i;

  f->n_entries = f->run->is_ideal ? 1 : BENCH_ENTRIES;
  f->left = talloc_zero_array (f, uint32_t, f->load->n_jobs);
  f->charged = talloc_zero_array (f, HsTime, f->load->n_tasks);
  f->granted = talloc_zero_array (f, hsx_credit, f->load->n_tasks);
  for (i = 0; i < f->n_entries; i++)
    set_up_entry (f, i);
  for (i = 0; i < BENCH_TARGETS; i++)
    set_up_target (f, i);
  bench_post (f, f->load->jobs[0].at,
              &(BenchEvent){ .kind = EVENT_JOB, .a = 0 });
}

static void
set_up_entry (Fleet *f, uint32_t entry)
{
  const hsx_needs capacity = { 32768, 0 };
  Entry *e = &f->entries[entry];
  uint32_t i;

  e->queue = hs_fair_queue_new (f, f->run->order);
  e->credits = hs_credits_new (f, f->run->seed * 7 + entry);
  e->loans = hs_loans_new (f, f->run->seed * 11 + entry);
  e->health = hs_health_new (f);
  e->tick_at = HS_NEVER;
  e->rule.kind = f->run->rule;
  e->rule.u.random = f->run->seed * 13 + entry;
  if (e->rule.kind == HS_DISPATCH_RULE_ROUND_ROBIN)
    e->rule.u.next = entry * BENCH_TARGETS / BENCH_ENTRIES;
  if (e->rule.kind == HS_DISPATCH_RULE_CREDITS)
    e->rule.u.credits = e->credits;
  for (i = 0; i < BENCH_CUSTOMERS; i++)
    hs_fair_queue_add_flow (e->queue, 1);
  for (i = 0; i < f->n_entries; i++)
    if (i != entry)
      hs_loans_add_peer (e->loans, i);
  for (i = 0; i < BENCH_TARGETS; i++)
    {
      hs_credits_set_agent (e->credits, i, &capacity);
      hs_health_add (e->health, i);
    }
}

static void
set_up_target (Fleet *f, uint32_t target)
{
  Target *t = &f->targets[target];
  uint32_t i;

  t->queue = talloc_array (f, uint32_t, f->load->n_tasks);
  for (i = 0; i < BENCH_SLOTS; i++)
    t->slots[i] = (Slot){ .holder = (target * BENCH_SLOTS + i) % f->n_entries,
                          .generation = 1 };
  for (i = 0; i < f->n_entries; i++)
    bench_target_grant (f, target, i);
  bench_post (f, BENCH_REFRESH_PERIOD + target * HS_MSEC,
              &(BenchEvent){ .kind = EVENT_REFRESH, .a = target });
}

static void
handle (Fleet *f, BenchEvent *event)
{
  switch (event->kind)
    {
    case EVENT_JOB:
      bench_entry_job (f, event->a);
      break;
    case EVENT_START:
      bench_target_start (f, event);
      break;
    case EVENT_END:
      bench_target_end (f, event);
      break;
    case EVENT_RESULT:
      bench_entry_result (f, event);
      break;
    case EVENT_ASK:
      hs_loans_request_received (f->entries[event->b].loans, event->a,
                                 &event->borrow, f->now);
      bench_entry_turn (f, event->b);
      break;
    case EVENT_ANSWER:
      bench_entry_answer (f, event);
      break;
    case EVENT_GRANT:
      hs_credits_grant (f->entries[event->b].credits, event->a, event->c,
                        event->credits, f->now);
      talloc_free (event->credits);
      bench_entry_turn (f, event->b);
      break;
    case EVENT_REFRESH:
      bench_target_refresh (f, event->a);
      break;
    case EVENT_NOTICE:
      bench_target_notice (f, event->a, event->b);
      break;
    case EVENT_TICK:
      f->entries[event->a].tick_at = HS_NEVER;
      bench_entry_turn (f, event->a);
      break;
    }
}

void
bench_post (Fleet *f, HsTime delay, const BenchEvent *event)
{
  bench_events_add (f, &f->events, f->now + delay, event);
}
