#include "fleet_state.h"

#define FAIL_RUN (5 * HS_MSEC)
#define SLOW_FACTOR 5

static void
note_loan (Fleet *f, uint32_t target, uint32_t holder, uint32_t user);
static void run_task (Fleet *f, uint32_t task, uint32_t at, uint32_t slot);

void
bench_target_start (Fleet *f, const BenchEvent *event)
{
  Target *t = &f->targets[event->b];
  uint32_t s;

  if (f->run->rule == HS_DISPATCH_RULE_CREDITS)
    {
      Slot *slot = &t->slots[event->credit.slot];

      if (!slot->busy && slot->generation == event->credit.generation)
        {
          note_loan (f, event->b, slot->holder, bench_entry_of (f, event->a));
          run_task (f, event->a, event->b, event->credit.slot);
          return;
        }
      f->result->refused++;
      bench_post (
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

void
bench_target_end (Fleet *f, const BenchEvent *event)
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
  bench_post (f, f->run->delay, &result);
  if (t->first == t->last)
    return;
  run_task (f, t->queue[t->first++ % f->load->n_tasks], event->b, event->c);
}

void
bench_target_refresh (Fleet *f, uint32_t target)
{
  Target *t = &f->targets[target];
  uint32_t e;
  uint32_t s;

  bench_post (f, BENCH_REFRESH_PERIOD,
              &(BenchEvent){ .kind = EVENT_REFRESH, .a = target });
  for (e = 0; e < f->n_entries; e++)
    for (s = 0; s < BENCH_SLOTS; s++)
      {
        HsTime idle = f->now - t->slots[s].idle_since;

        if (t->slots[s].busy || t->slots[s].holder != e)
          continue;
        if (idle >= BENCH_REFRESH_PERIOD
            && f->now - t->granted[e] >= BENCH_REFRESH_PERIOD)
          {
            bench_target_grant (f, target, e);
            f->result->grants++;
            break;
          }
      }
}

void
bench_target_notice (Fleet *f, uint32_t target, uint32_t entry)
{
  f->targets[target].notice[entry] = false;
  f->result->grants++;
  bench_target_grant (f, target, entry);
}

void
bench_target_grant (Fleet *f, uint32_t target, uint32_t entry)
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
  bench_post (f, f->run->delay,
              &(BenchEvent){ .kind = EVENT_GRANT,
                             .a = target,
                             .b = entry,
                             .c = n,
                             .credits = credits });
}

bool
bench_target_fails (const Fleet *f, uint32_t task, uint32_t target)
{
  if (f->load->jobs[f->load->tasks[task].job].customer == f->run->bad_customer)
    return true;
  return f->run->fault == BENCH_FAULT_FAILS && target == BENCH_FAULTY_TARGET
         && f->now >= f->run->fault_at;
}

/* Who lent the credit is told soon that it was used. */
static void
note_loan (Fleet *f, uint32_t target, uint32_t holder, uint32_t user)
{
  Target *t = &f->targets[target];

  if (holder == user || t->notice[holder])
    return;
  t->notice[holder] = true;
  bench_post (f, HS_SLOTS_LOAN_NOTICE_DELAY,
              &(BenchEvent){ .kind = EVENT_NOTICE, .a = target, .b = holder });
}

static void
run_task (Fleet *f, uint32_t task, uint32_t at, uint32_t slot)
{
  HsTime run = f->load->tasks[task].run;

  if (at == BENCH_FAULTY_TARGET && f->now >= f->run->fault_at)
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
  f->targets[at].slots[slot].holder = bench_entry_of (f, task);
  f->targets[at].slots[slot].idle_since = f->now;
  bench_post (
      f, run,
      &(BenchEvent){ .kind = EVENT_END, .a = task, .b = at, .c = slot });
}
