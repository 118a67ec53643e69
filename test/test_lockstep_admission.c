/* Runs start admission and the start log in lockstep with a random walk of the
   agent's steps in model/start.pml, with fake time and fixed seeds. After each
   step they are compared with a small reference implementation of the rules of
   the model, and the safety property of the model is asserted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "agent/admission.h"
#include "prng.h"

#define KEYS 4
#define PARTS 2
#define SLOTS 2
#define WALKS 3000
#define STEPS 600
#define T0 (100 * HS_SEC)

/* State of a task on an agent in the model. */
typedef enum
{
  TASK_UNKNOWN,
  TASK_RUNNING,
  TASK_ENDED,
  TASK_FENCED
} TaskState;

typedef struct
{
  HsTime now;
  HsStartLog *start_log;
  HsSlots *slots;
  HsAdmission *admission;
  hsx_task_key keys[KEYS];
  TaskState states[KEYS];
  HsRecordHandle handles[KEYS];
  uint32_t slot_of[KEYS];
  uint32_t starts[KEYS];
  uint64_t highest[PARTS];
  hsx_credit credit[SLOTS]; /* Latest credit of each slot. */
  bool busy[SLOTS];
  bool leaving;
} Agent;

static Prng walk;
static uint32_t refusals[HSX_REFUSAL_FENCED + 1];

static void start_agent (Agent *a, TALLOC_CTX *ctx);
static void agent_step (Agent *a);
static void send_start (Agent *a);
static hsx_refusal expected (const Agent *a, const hsx_start *start);
static void end_task (Agent *a, uint32_t k);

static void
no_task_starts_twice_or_past_its_permit (void **state)
{
  uint32_t seed;
  uint32_t i;

  (void) state;
  for (seed = 0; seed < WALKS; seed++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      Agent a;

      walk = prng_seeded (seed);
      start_agent (&a, ctx);
      for (i = 0; i < STEPS; i++)
        agent_step (&a);
      talloc_free (ctx);
    }
  for (i = 0; i <= HSX_REFUSAL_FENCED; i++)
    if (i != HSX_REFUSAL_TARGET && i != HSX_REFUSAL_NEEDS)
      assert_true (refusals[i] > 0);
}

static void
start_agent (Agent *a, TALLOC_CTX *ctx)
{
  static char *const ids[KEYS] = { "a", "b", "c", "d" };
  static hsx_credit credits[HS_SLOTS_MAX];
  uint32_t n;
  uint32_t k;

  memset (a, 0, sizeof *a);
  a->now = T0;
  a->start_log = hs_start_log_new (ctx, HS_SEC * 86400, 1000);
  a->slots = hs_slots_new (ctx, 7);
  a->admission = hs_admission_new (ctx, a->start_log, a->slots);
  hs_slots_set_count (a->slots, SLOTS);
  hs_slots_add_entry (a->slots, 1);
  hs_slots_distribute (a->slots, a->now);
  assert_int_equal (hs_slots_next_grant (a->slots, credits, &n), 1);
  assert_int_equal (n, SLOTS);
  for (k = 0; k < SLOTS; k++)
    a->credit[credits[k].slot] = credits[k];
  for (k = 0; k < KEYS; k++)
    a->keys[k]
        = (hsx_task_key){ .part = k % PARTS, .customer = "c", .id = ids[k] };
}

static void
agent_step (Agent *a)
{
  uint32_t k = prng_below (&walk, KEYS);
  uint32_t part = prng_below (&walk, PARTS);
  uint64_t epoch = a->highest[part] + prng_below (&walk, 4);

  switch (prng_below (&walk, 12))
    {
    case 0:
      a->now += (HsTime) prng_below (&walk, 2000) * HS_MSEC;
      hs_start_log_expire (a->start_log, a->now);
      return;
    case 1:
      /* RECOVER, sometimes of an older epoch. */
      epoch = epoch > 2 ? epoch - 2 : epoch;
      assert_int_equal (hs_admission_raise_epoch (a->admission, part, epoch),
                        epoch >= a->highest[part]);
      if (epoch > a->highest[part])
        a->highest[part] = epoch;
      assert_int_equal (hs_admission_epoch (a->admission, part),
                        a->highest[part]);
      return;
    case 2:
      /* SETTLE. */
      if (prng_below (&walk, 8) != 0 || a->states[k] != TASK_UNKNOWN)
        return;
      a->handles[k]
          = hs_start_log_add_fence (a->start_log, &a->keys[k], a->now);
      a->states[k] = TASK_FENCED;
      return;
    case 3:
    case 4:
      if (a->states[k] == TASK_RUNNING)
        end_task (a, k);
      return;
    case 5:
      if (prng_below (&walk, 10) == 0)
        a->leaving = !a->leaving;
      return;
    default:
      send_start (a);
      return;
    }
}

/* Sends a START of an owner of any epoch; it may be late or a duplicate. */
static void
send_start (Agent *a)
{
  uint32_t k = prng_below (&walk, KEYS);
  uint32_t s = prng_below (&walk, SLOTS);
  HsAdmissionTarget target = { .unavailable = a->leaving };
  hsx_start start = { .key = a->keys[k], .credit = a->credit[s] };
  uint64_t highest = a->highest[start.key.part];
  hsx_refusal refusal;

  start.epoch = highest + prng_below (&walk, 3);
  if (prng_below (&walk, 3) == 0 && start.epoch > 0)
    start.epoch--;
  start.permit_us = (HsTime) (1 + prng_below (&walk, 9)) * HS_SEC;
  if (prng_below (&walk, 6) == 0)
    start.credit.generation--;
  refusal = expected (a, &start);
  assert_int_equal (hs_admission_check (a->admission, &target, &start, a->now),
                    refusal);
  refusals[refusal]++;
  if (start.epoch > highest)
    a->highest[start.key.part] = start.epoch;
  if (refusal == HSX_REFUSAL_NONE)
    {
      assert_true (start.epoch >= highest);
      assert_true (a->now < start.credit.stamp_us + start.permit_us);
      assert_int_equal (++a->starts[k], 1);
      a->handles[k]
          = hs_start_log_add_start (a->start_log, &a->keys[k], a->now);
      a->states[k] = TASK_RUNNING;
      a->slot_of[k] = s;
      a->busy[s] = true;
      hs_slots_occupy (a->slots, &start.credit, 1, a->now);
    }
  else if (!a->busy[s])
    assert_true (hs_slots_regrant (a->slots, s, 1, a->now, &a->credit[s]));
}

/* Decides on a start by the rules of the agent in model/start.pml. */
static hsx_refusal
expected (const Agent *a, const hsx_start *start)
{
  uint32_t k = (uint32_t) (start->key.id[0] - 'a');
  const hsx_credit *newest = &a->credit[start->credit.slot];

  if (start->epoch < a->highest[start->key.part])
    return HSX_REFUSAL_EPOCH;
  if (a->now >= start->credit.stamp_us + start->permit_us)
    return HSX_REFUSAL_PERMIT;
  if (!a->leaving
      && (a->busy[start->credit.slot]
          || start->credit.generation != newest->generation))
    return HSX_REFUSAL_CREDIT;
  if (a->states[k] == TASK_FENCED)
    return HSX_REFUSAL_FENCED;
  if (a->states[k] != TASK_UNKNOWN)
    return HSX_REFUSAL_DUPLICATE;
  return a->leaving ? HSX_REFUSAL_LEAVING : HSX_REFUSAL_NONE;
}

/* Ends a task, or removes its record as if the request was never sent to the
   target; such a task may be started again. */
static void
end_task (Agent *a, uint32_t k)
{
  HsTaskCompletion completion = { .outcome = HSX_DONE, .http_status = 200 };
  uint32_t s = a->slot_of[k];

  if (prng_below (&walk, 3) == 0)
    {
      hs_start_log_remove (a->start_log, a->handles[k]);
      a->states[k] = TASK_UNKNOWN;
      a->starts[k] = 0;
    }
  else
    {
      hs_start_log_finish (a->start_log, a->handles[k], &completion);
      a->states[k] = TASK_ENDED;
    }
  a->busy[s] = false;
  assert_true (hs_slots_release (a->slots, s, 1, a->now, &a->credit[s]));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_task_starts_twice_or_past_its_permit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
