#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agent/gate.h"

#define GRANTED_AT (100 * HS_SEC)
#define PERMIT (3 * HS_SEC)

static hsx_refusal check (hsx_start start, HsTime now);

static void *ctx;
static HsMemory *memory;
static HsSlots *slots;
static HsGate *gate;
static HsGateTarget target;
static hsx_start good;

static int
setup (void **state)
{
  static hsx_credit credits[HS_SLOTS_MAX];
  uint32_t n;

  (void) state;
  ctx = talloc_new (NULL);
  memory = hs_memory_new (ctx, 600 * HS_SEC, 1000);
  slots = hs_slots_new (ctx, 7);
  gate = hs_gate_new (ctx, memory, slots);
  target = (HsGateTarget){ .capacity = { .memory_mb = 64 } };
  hs_slots_resize (slots, 2);
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, GRANTED_AT);
  hs_slots_next_grant (slots, credits, &n);
  good = (hsx_start){
    .key = { .part = 5, .customer = "c1", .id = "job", .index = 2 },
    .epoch = 10,
    .credit = credits[0],
    .permit_us = PERMIT,
    .needs = { .memory_mb = 64 },
  };
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  return 0;
}

static void
a_good_start_passes_until_its_permit_ends (void **state)
{
  (void) state;
  assert_int_equal (check (good, GRANTED_AT), HSX_REFUSAL_NONE);
  assert_int_equal (check (good, GRANTED_AT + PERMIT - 1), HSX_REFUSAL_NONE);
  assert_int_equal (check (good, GRANTED_AT + PERMIT), HSX_REFUSAL_PERMIT);
}

static void
a_stamp_from_the_future_or_a_huge_permit_is_harmless (void **state)
{
  hsx_start start = good;

  (void) state;
  start.permit_us = INT64_MAX;
  start.credit.stamp_us = GRANTED_AT + HS_SEC;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_PERMIT);
  start.credit.stamp_us = INT64_MIN;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_PERMIT);
  start = good;
  start.permit_us = INT64_MAX;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_NONE);
}

static void
an_older_epoch_is_refused_in_its_partition_only (void **state)
{
  hsx_start start = good;

  (void) state;
  assert_true (hs_gate_raise (gate, 5, 11));
  assert_false (hs_gate_raise (gate, 5, 10));
  assert_int_equal (check (good, GRANTED_AT), HSX_REFUSAL_EPOCH);
  start.key.part = 6;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_NONE);
  start.key.part = HSX_PARTS_MAX;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_EPOCH);
}

static void
a_newer_epoch_is_learned_even_from_a_refused_start (void **state)
{
  hsx_start start = good;

  (void) state;
  start.epoch = 12;
  start.credit.generation++;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_CREDIT);
  assert_int_equal (hs_gate_epoch (gate, 5), 12);
  assert_int_equal (check (good, GRANTED_AT), HSX_REFUSAL_EPOCH);
}

static void
a_used_credit_is_refused (void **state)
{
  (void) state;
  hs_slots_take (slots, &good.credit, 1, GRANTED_AT);
  assert_int_equal (check (good, GRANTED_AT), HSX_REFUSAL_CREDIT);
}

static void
a_known_task_never_starts_again (void **state)
{
  hsx_task_key fenced = good.key;
  hsx_start start = good;

  (void) state;
  hs_memory_start (memory, &good.key, GRANTED_AT);
  assert_int_equal (check (good, GRANTED_AT), HSX_REFUSAL_DUPLICATE);
  fenced.index = 3;
  hs_memory_fence (memory, &fenced, GRANTED_AT);
  start.key = fenced;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_FENCED);
}

static void
a_leaving_or_small_target_takes_nothing (void **state)
{
  hsx_start start = good;

  (void) state;
  start.needs.accelerators = 1;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_NEEDS);
  target.leaving = true;
  hs_slots_resize (slots, 0);
  assert_int_equal (check (good, GRANTED_AT), HSX_REFUSAL_LEAVING);
}

static hsx_refusal
check (hsx_start start, HsTime now)
{
  return hs_gate_check (gate, &target, &start, now);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_good_start_passes_until_its_permit_ends,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_stamp_from_the_future_or_a_huge_permit_is_harmless, setup, teardown),
    cmocka_unit_test_setup_teardown (
        an_older_epoch_is_refused_in_its_partition_only, setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_newer_epoch_is_learned_even_from_a_refused_start, setup, teardown),
    cmocka_unit_test_setup_teardown (a_used_credit_is_refused, setup, teardown),
    cmocka_unit_test_setup_teardown (a_known_task_never_starts_again, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (a_leaving_or_small_target_takes_nothing,
                                     setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
