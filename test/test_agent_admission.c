#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agent/admission.h"

#define GRANTED_AT (100 * HS_SEC)
#define PERMIT (3 * HS_SEC)

static hsx_refusal check (hsx_start start, HsTime now);

static void *ctx;
static HsStartLog *start_log;
static HsSlots *slots;
static HsAdmission *admission;
static HsAdmissionTarget target;
static hsx_start valid_start;

static int
setup (void **state)
{
  static hsx_credit credits[HS_SLOTS_MAX];
  uint32_t n;

  (void) state;
  ctx = talloc_new (NULL);
  start_log = hs_start_log_new (ctx, 600 * HS_SEC, 1000);
  slots = hs_slots_new (ctx, 7);
  admission = hs_admission_new (ctx, start_log, slots);
  target = (HsAdmissionTarget){ .capacity = { .memory_mb = 64 } };
  hs_slots_set_count (slots, 2);
  hs_slots_add_entry (slots, 1);
  hs_slots_distribute (slots, GRANTED_AT);
  hs_slots_next_grant (slots, credits, &n);
  valid_start = (hsx_start){
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
a_valid_start_passes_until_its_permit_ends (void **state)
{
  (void) state;
  assert_int_equal (check (valid_start, GRANTED_AT), HSX_REFUSAL_NONE);
  assert_int_equal (check (valid_start, GRANTED_AT + PERMIT - 1),
                    HSX_REFUSAL_NONE);
  assert_int_equal (check (valid_start, GRANTED_AT + PERMIT),
                    HSX_REFUSAL_PERMIT);
}

static void
a_stamp_from_the_future_or_a_huge_permit_is_harmless (void **state)
{
  hsx_start start = valid_start;

  (void) state;
  start.permit_us = INT64_MAX;
  start.credit.stamp_us = GRANTED_AT + HS_SEC;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_PERMIT);
  start.credit.stamp_us = INT64_MIN;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_PERMIT);
  start = valid_start;
  start.permit_us = INT64_MAX;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_NONE);
}

static void
an_older_epoch_is_refused_in_its_partition_only (void **state)
{
  hsx_start start = valid_start;

  (void) state;
  assert_true (hs_admission_raise_epoch (admission, 5, 11));
  assert_false (hs_admission_raise_epoch (admission, 5, 10));
  assert_int_equal (check (valid_start, GRANTED_AT), HSX_REFUSAL_EPOCH);
  start.key.part = 6;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_NONE);
  start.key.part = HSX_PARTS_MAX;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_EPOCH);
}

static void
a_newer_epoch_is_learned_even_from_a_refused_start (void **state)
{
  hsx_start start = valid_start;

  (void) state;
  start.epoch = 12;
  start.credit.generation++;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_CREDIT);
  assert_int_equal (hs_admission_epoch (admission, 5), 12);
  assert_int_equal (check (valid_start, GRANTED_AT), HSX_REFUSAL_EPOCH);
}

static void
a_used_credit_is_refused (void **state)
{
  (void) state;
  hs_slots_occupy (slots, &valid_start.credit, 1, GRANTED_AT);
  assert_int_equal (check (valid_start, GRANTED_AT), HSX_REFUSAL_CREDIT);
}

static void
a_known_task_never_starts_again (void **state)
{
  hsx_task_key fenced = valid_start.key;
  hsx_start start = valid_start;

  (void) state;
  hs_start_log_add_start (start_log, &valid_start.key, GRANTED_AT);
  assert_int_equal (check (valid_start, GRANTED_AT), HSX_REFUSAL_DUPLICATE);
  fenced.index = 3;
  hs_start_log_add_fence (start_log, &fenced, GRANTED_AT);
  start.key = fenced;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_FENCED);
}

static void
an_unavailable_or_too_small_target_starts_nothing (void **state)
{
  hsx_start start = valid_start;

  (void) state;
  start.needs.accelerators = 1;
  assert_int_equal (check (start, GRANTED_AT), HSX_REFUSAL_NEEDS);
  target.unavailable = true;
  hs_slots_set_count (slots, 0);
  assert_int_equal (check (valid_start, GRANTED_AT), HSX_REFUSAL_LEAVING);
}

static hsx_refusal
check (hsx_start start, HsTime now)
{
  return hs_admission_check (admission, &target, &start, now);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_valid_start_passes_until_its_permit_ends,
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
    cmocka_unit_test_setup_teardown (
        an_unavailable_or_too_small_target_starts_nothing, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
