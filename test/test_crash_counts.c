/* How many targets have crashed under a task. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/crash_counts.h"

#define T0 (1000 * HS_SEC)

static void *ctx;
static HsCrashCounts *counts;

static int
setup (void **state)
{
  (void) state;
  ctx = talloc_new (NULL);
  counts = hs_crash_counts_new (ctx);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  return 0;
}

static bool
is_new (uint64_t agent, uint32_t number, HsTime now)
{
  HsCrashStage before;

  return hs_crash_counts_is_new (counts, agent, number, HS_CRASH_CERTAIN,
                                 &before, now);
}

static HsCrashCount
count_certain (const char *customer, uint32_t index, bool certain)
{
  return hs_crash_counts_add (counts, customer, "j", index, certain,
                              HS_CRASH_UNKNOWN, HS_CRASH_CERTAIN, T0);
}

static void
a_crash_that_is_reported_twice_is_new_once (void **state)
{
  (void) state;
  assert_true (is_new (7, 1, T0));
  assert_false (is_new (7, 1, T0 + HS_SEC));
  assert_true (is_new (7, 2, T0));
  assert_true (is_new (8, 1, T0));
}

static void
crashes_count_for_each_task (void **state)
{
  (void) state;
  assert_int_equal (hs_crash_counts_get (counts, "c", "j", 0).all, 0);
  assert_int_equal (count_certain ("c", 0, true).all, 1);
  assert_int_equal (count_certain ("c", 0, false).all, 2);
  assert_int_equal (hs_crash_counts_get (counts, "c", "j", 0).certain, 1);
  assert_int_equal (count_certain ("c", 1, true).all, 1);
  assert_int_equal (count_certain ("d", 0, true).all, 1);
  assert_int_equal (hs_crash_counts_get (counts, "c", "j", 0).all, 2);
  assert_int_equal (hs_crash_counts_get (counts, "c", "k", 0).all, 0);
}

static void
counts_outlast_resubmissions_and_are_then_forgotten (void **state)
{
  HsTime due;

  (void) state;
  assert_int_equal (hs_crash_counts_tick (counts, T0), HS_NEVER);
  count_certain ("c", 0, true);
  hs_crash_counts_tick (counts, T0 + 60 * HS_SEC);
  assert_int_equal (hs_crash_counts_get (counts, "c", "j", 0).all, 1);
  due = hs_crash_counts_tick (counts, T0 + 60 * HS_SEC);
  assert_true (due > T0 + 60 * HS_SEC);
  hs_crash_counts_tick (counts, T0 + 200 * HS_SEC);
  assert_int_equal (hs_crash_counts_get (counts, "c", "j", 0).all, 0);
  assert_int_equal (hs_crash_counts_tick (counts, T0 + 200 * HS_SEC), HS_NEVER);
}

static void
a_crash_counts_as_far_as_it_is_known (void **state)
{
  HsCrashStage before;
  HsCrashCount count;

  (void) state;
  assert_true (
      hs_crash_counts_is_new (counts, 7, 1, HS_CRASH_SUSPECTED, &before, T0));
  assert_int_equal (before, HS_CRASH_UNKNOWN);
  count = hs_crash_counts_add (counts, "c", "j", 0, true, before,
                               HS_CRASH_SUSPECTED, T0);
  assert_true (count.all == 1 && count.certain == 0 && count.suspected == 1);
  assert_true (
      hs_crash_counts_is_new (counts, 7, 1, HS_CRASH_CERTAIN, &before, T0));
  assert_int_equal (before, HS_CRASH_SUSPECTED);
  count = hs_crash_counts_add (counts, "c", "j", 0, true, before,
                               HS_CRASH_CERTAIN, T0);
  assert_true (count.all == 1 && count.certain == 1 && count.suspected == 0);
  assert_false (
      hs_crash_counts_is_new (counts, 7, 1, HS_CRASH_SUSPECTED, &before, T0));
  count = hs_crash_counts_add (counts, "c", "j", 0, true, HS_CRASH_CERTAIN,
                               HS_CRASH_WITHDRAWN, T0);
  assert_true (count.all == 0 && count.certain == 0 && count.suspected == 0);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_crash_that_is_reported_twice_is_new_once),
    TEST (crashes_count_for_each_task),
    TEST (a_crash_counts_as_far_as_it_is_known),
    TEST (counts_outlast_resubmissions_and_are_then_forgotten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
