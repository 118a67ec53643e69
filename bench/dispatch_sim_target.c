#include "dispatch_sim_private.h"

/** Run time of a task that fails because of BENCH_FAULT_FAILS. */
#define FAIL_TIME (5 * HS_MSEC)
#define SLOW_FACTOR 5

static void schedule_loan_notice (Sim *sim,
                                  uint32_t target,
                                  uint32_t holder,
                                  uint32_t user);
static void run_task (Sim *sim, uint32_t task, uint32_t target, uint32_t slot);

void
bench_sim_target_start (Sim *sim, const BenchEvent *event)
{
  SimTarget *t = &sim->targets[event->b];
  uint32_t s;

  if (sim->config->rule == HS_DISPATCH_RULE_CREDITS)
    {
      SimSlot *slot = &t->slots[event->credit.slot];

      if (!slot->busy && slot->generation == event->credit.generation)
        {
          schedule_loan_notice (sim, event->b, slot->holder,
                                bench_sim_owner (sim, event->a));
          run_task (sim, event->a, event->b, event->credit.slot);
          return;
        }
      sim->result->refused_starts++;
      bench_sim_schedule (
          sim, sim->config->message_delay,
          &(BenchEvent){ .kind = EVENT_RESULT, .a = event->a, .b = event->b });
      return;
    }
  for (s = 0; s < BENCH_SLOTS; s++)
    if (!t->slots[s].busy)
      {
        run_task (sim, event->a, event->b, s);
        return;
      }
  t->queue[t->queue_tail++ % sim->workload->n_tasks] = event->a;
}

void
bench_sim_target_task_end (Sim *sim, const BenchEvent *event)
{
  SimTarget *t = &sim->targets[event->b];
  SimSlot *slot = &t->slots[event->c];
  BenchEvent result = { .kind = EVENT_RESULT,
                        .a = event->a,
                        .b = event->b,
                        .c = 1,
                        .run_us = (uint32_t) (sim->now - slot->last_change) };

  slot->busy = false;
  slot->generation++;
  slot->last_change = sim->now;
  result.credit = (hsx_credit){ .agent = event->b,
                                .slot = event->c,
                                .generation = slot->generation,
                                .stamp_us = sim->now };
  bench_sim_schedule (sim, sim->config->message_delay, &result);
  if (t->queue_head == t->queue_tail)
    return;
  run_task (sim, t->queue[t->queue_head++ % sim->workload->n_tasks], event->b,
            event->c);
}

void
bench_sim_target_refresh (Sim *sim, uint32_t target)
{
  SimTarget *t = &sim->targets[target];
  uint32_t e;
  uint32_t s;

  bench_sim_schedule (
      sim, BENCH_REFRESH_PERIOD,
      &(BenchEvent){ .kind = EVENT_GRANT_REFRESH, .a = target });
  for (e = 0; e < sim->n_entries; e++)
    for (s = 0; s < BENCH_SLOTS; s++)
      {
        HsTime idle = sim->now - t->slots[s].last_change;

        if (t->slots[s].busy || t->slots[s].holder != e)
          continue;
        if (idle >= BENCH_REFRESH_PERIOD
            && sim->now - t->last_grants[e] >= BENCH_REFRESH_PERIOD)
          {
            bench_sim_target_grant (sim, target, e);
            sim->result->grant_messages++;
            break;
          }
      }
}

void
bench_sim_target_loan_notice (Sim *sim, uint32_t target, uint32_t entry)
{
  sim->targets[target].loan_notice_scheduled[entry] = false;
  sim->result->grant_messages++;
  bench_sim_target_grant (sim, target, entry);
}

void
bench_sim_target_grant (Sim *sim, uint32_t target, uint32_t entry)
{
  SimTarget *t = &sim->targets[target];
  hsx_credit *credits = talloc_array (sim, hsx_credit, BENCH_SLOTS);
  uint32_t n = 0;
  uint32_t s;

  for (s = 0; s < BENCH_SLOTS; s++)
    if (!t->slots[s].busy && t->slots[s].holder == entry)
      credits[n++] = (hsx_credit){ .agent = target,
                                   .slot = s,
                                   .generation = t->slots[s].generation,
                                   .stamp_us = sim->now };
  t->last_grants[entry] = sim->now;
  bench_sim_schedule (sim, sim->config->message_delay,
                      &(BenchEvent){ .kind = EVENT_GRANT,
                                     .a = target,
                                     .b = entry,
                                     .c = n,
                                     .credits = credits });
}

bool
bench_sim_task_fails (const Sim *sim, uint32_t task, uint32_t target)
{
  if (sim->workload->jobs[sim->workload->tasks[task].job].customer
      == sim->config->bad_customer)
    return true;
  return sim->config->fault == BENCH_FAULT_FAILS
         && target == BENCH_FAULTY_TARGET && sim->now >= sim->config->fault_at;
}

/* Soon notifies the entry that lent the credit that it was used. */
static void
schedule_loan_notice (Sim *sim, uint32_t target, uint32_t holder, uint32_t user)
{
  SimTarget *t = &sim->targets[target];

  if (holder == user || t->loan_notice_scheduled[holder])
    return;
  t->loan_notice_scheduled[holder] = true;
  bench_sim_schedule (
      sim, HS_SLOTS_LOAN_NOTICE_DELAY,
      &(BenchEvent){ .kind = EVENT_LOAN_NOTICE, .a = target, .b = holder });
}

static void
run_task (Sim *sim, uint32_t task, uint32_t target, uint32_t slot)
{
  HsTime run = sim->workload->tasks[task].run_time;

  if (target == BENCH_FAULTY_TARGET && sim->now >= sim->config->fault_at)
    switch (sim->config->fault)
      {
      case BENCH_FAULT_FAILS:
        run = FAIL_TIME;
        break;
      case BENCH_FAULT_SLOW:
        run *= SLOW_FACTOR;
        break;
      case BENCH_FAULT_NONE:
        break;
      }
  sim->targets[target].slots[slot].busy = true;
  sim->targets[target].slots[slot].holder = bench_sim_owner (sim, task);
  sim->targets[target].slots[slot].last_change = sim->now;
  bench_sim_schedule (
      sim, run,
      &(BenchEvent){
          .kind = EVENT_TASK_END, .a = task, .b = target, .c = slot });
}
