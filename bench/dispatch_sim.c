#include "dispatch_sim_private.h"

static void set_up_sim (Sim *sim);
static void set_up_entry (Sim *sim, uint32_t entry);
static void set_up_target (Sim *sim, uint32_t target);
static void handle_event (Sim *sim, BenchEvent *event);

BenchSimResult *
bench_sim_run (TALLOC_CTX *ctx,
               const BenchWorkload *workload,
               const BenchSimConfig *config)
{
  Sim *sim = talloc_zero (ctx, Sim);
  BenchSimResult *result = talloc_zero (ctx, BenchSimResult);
  BenchEvent event;

  sim->workload = workload;
  sim->config = config;
  sim->result = result;
  sim->n_tasks_left = workload->n_tasks;
  result->response_times = talloc_zero_array (result, HsTime, workload->n_jobs);
  set_up_sim (sim);
  while (sim->n_tasks_left > 0
         && bench_event_queue_pop (&sim->events, &sim->now, &event))
    handle_event (sim, &event);
  talloc_free (sim);
  return result;
}

static void
set_up_sim (Sim *sim)
{
  uint32_t i;

  sim->n_entries = sim->config->is_ideal ? 1 : BENCH_ENTRIES;
  sim->tasks_left = talloc_zero_array (sim, uint32_t, sim->workload->n_jobs);
  sim->charged_run_times
      = talloc_zero_array (sim, HsTime, sim->workload->n_tasks);
  sim->credits = talloc_zero_array (sim, hsx_credit, sim->workload->n_tasks);
  for (i = 0; i < sim->n_entries; i++)
    set_up_entry (sim, i);
  for (i = 0; i < BENCH_TARGETS; i++)
    set_up_target (sim, i);
  bench_sim_schedule (sim, sim->workload->jobs[0].arrival,
                      &(BenchEvent){ .kind = EVENT_JOB_ARRIVAL, .a = 0 });
}

static void
set_up_entry (Sim *sim, uint32_t entry)
{
  const hsx_needs capacity = { 32768, 0 };
  SimEntry *e = &sim->entries[entry];
  uint32_t i;

  e->queue = hs_fair_queue_new (sim, sim->config->order);
  e->credits = hs_credits_new (sim, sim->config->seed * 7 + entry);
  e->loans = hs_loans_new (sim, sim->config->seed * 11 + entry);
  e->health = hs_health_new (sim);
  e->wake_up_at = HS_NEVER;
  e->rule.kind = sim->config->rule;
  e->rule.u.random = sim->config->seed * 13 + entry;
  if (e->rule.kind == HS_DISPATCH_RULE_ROUND_ROBIN)
    e->rule.u.next = entry * BENCH_TARGETS / BENCH_ENTRIES;
  if (e->rule.kind == HS_DISPATCH_RULE_CREDITS)
    e->rule.u.credits = e->credits;
  for (i = 0; i < BENCH_CUSTOMERS; i++)
    hs_fair_queue_add_flow (e->queue, 1);
  for (i = 0; i < sim->n_entries; i++)
    if (i != entry)
      hs_loans_add_peer (e->loans, i);
  for (i = 0; i < BENCH_TARGETS; i++)
    {
      hs_credits_set_agent (e->credits, i, &capacity);
      hs_health_add (e->health, i);
    }
}

static void
set_up_target (Sim *sim, uint32_t target)
{
  SimTarget *t = &sim->targets[target];
  uint32_t i;

  t->queue = talloc_array (sim, uint32_t, sim->workload->n_tasks);
  for (i = 0; i < BENCH_SLOTS; i++)
    t->slots[i]
        = (SimSlot){ .holder = (target * BENCH_SLOTS + i) % sim->n_entries,
                     .generation = 1 };
  for (i = 0; i < sim->n_entries; i++)
    bench_sim_target_grant (sim, target, i);
  bench_sim_schedule (
      sim, BENCH_REFRESH_PERIOD + target * HS_MSEC,
      &(BenchEvent){ .kind = EVENT_GRANT_REFRESH, .a = target });
}

static void
handle_event (Sim *sim, BenchEvent *event)
{
  switch (event->kind)
    {
    case EVENT_JOB_ARRIVAL:
      bench_sim_entry_submit (sim, event->a);
      break;
    case EVENT_START:
      bench_sim_target_start (sim, event);
      break;
    case EVENT_TASK_END:
      bench_sim_target_task_end (sim, event);
      break;
    case EVENT_RESULT:
      bench_sim_entry_result (sim, event);
      break;
    case EVENT_BORROW_REQUEST:
      hs_loans_request_received (sim->entries[event->b].loans, event->a,
                                 &event->borrow, sim->now);
      bench_sim_entry_dispatch (sim, event->b);
      break;
    case EVENT_BORROW_REPLY:
      bench_sim_entry_borrow_reply (sim, event);
      break;
    case EVENT_GRANT:
      hs_credits_grant (sim->entries[event->b].credits, event->a, event->c,
                        event->credits, sim->now);
      talloc_free (event->credits);
      bench_sim_entry_dispatch (sim, event->b);
      break;
    case EVENT_GRANT_REFRESH:
      bench_sim_target_refresh (sim, event->a);
      break;
    case EVENT_LOAN_NOTICE:
      bench_sim_target_loan_notice (sim, event->a, event->b);
      break;
    case EVENT_WAKE_UP:
      sim->entries[event->a].wake_up_at = HS_NEVER;
      bench_sim_entry_dispatch (sim, event->a);
      break;
    }
}

void
bench_sim_schedule (Sim *sim, HsTime delay, const BenchEvent *event)
{
  bench_event_queue_add (sim, &sim->events, sim->now + delay, event);
}
