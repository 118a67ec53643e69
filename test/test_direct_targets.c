/* An entry's view of the targets, and the choice of a target for a task. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/targets.h"

#define T0 (100 * HS_SEC)
#define CAPACITY 16000

static void *ctx;
static HsTargets *targets;
static const hsx_room NEEDS = { 1600, 64, 0 };

static void
report (uint32_t target, uint32_t free_milli, uint32_t seen, bool offer)
{
  hsx_target_info info = { (char *) "t",
                           (char *) "s",
                           (char *) "r",
                           (char *) "h",
                           { CAPACITY, 100000, 0 } };
  hsx_report_args args = { .state = HSX_TARGET_READY,
                           .orders_seen = seen,
                           .free = { free_milli, 100000, 0 },
                           .offer = offer,
                           .info = &info };

  hs_targets_apply_report (targets, target, &args, T0);
}

static uint32_t
place (HsTime now)
{
  return hs_targets_choose (targets, "s", HS_TARGETS_ALL, &NEEDS, "dc1",
                            HS_TARGET_NONE, now);
}

static int
setup (void **state)
{
  (void) state;
  ctx = talloc_new (NULL);
  targets = hs_targets_new (ctx);
  hs_targets_connect (targets, 1, "dc1", T0);
  hs_targets_connect (targets, 2, "dc1", T0);
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
a_launch_counts_until_a_report_includes_it (void **state)
{
  (void) state;
  report (0, 4000, 0, false);
  hs_targets_launch_sent (targets, 0, &NEEDS, 1);
  hs_targets_launch_sent (targets, 0, &NEEDS, 2);
  assert_int_equal (hs_targets_free_resources (targets, 0, T0).cpu_milli, 800);
  report (0, 2400, 1, false);
  assert_int_equal (hs_targets_free_resources (targets, 0, T0).cpu_milli, 800);
  report (0, 800, 2, false);
  assert_int_equal (hs_targets_free_resources (targets, 0, T0).cpu_milli, 800);
}

static void
only_targets_of_the_service_with_free_resources_are_chosen (void **state)
{
  (void) state;
  report (0, 1000, 0, false);
  report (1, 5000, 0, false);
  assert_int_equal (place (T0), 1);
  assert_int_equal (hs_targets_choose (targets, "other", HS_TARGETS_ALL, &NEEDS,
                                       "dc1", HS_TARGET_NONE, T0),
                    HS_TARGET_NONE);
}

static void
a_faster_target_is_preferred_to_a_slow_one (void **state)
{
  int i;

  (void) state;
  report (0, CAPACITY, 0, false);
  report (1, CAPACITY / 2, 0, false);
  for (i = 0; i < 30; i++)
    {
      hs_targets_task_ended (targets, 0, 0, false, 600 * HS_MSEC, 200 * HS_MSEC,
                             T0);
      hs_targets_task_ended (targets, 1, 0, false, 200 * HS_MSEC, 200 * HS_MSEC,
                             T0);
    }
  assert_int_equal (place (T0), 1);
}

static void
the_target_where_a_task_failed_is_the_last_choice (void **state)
{
  (void) state;
  report (0, CAPACITY, 0, false);
  report (1, 2000, 0, false);
  assert_int_equal (
      hs_targets_choose (targets, "s", HS_TARGETS_ALL, &NEEDS, "dc1", 0, T0),
      1);
  report (1, 0, 0, false);
  assert_int_equal (
      hs_targets_choose (targets, "s", HS_TARGETS_ALL, &NEEDS, "dc1", 0, T0),
      0);
}

static void
after_refusals_old_reports_are_discounted_but_offers_are_not (void **state)
{
  HsTime later = T0 + 40 * HS_MSEC;
  int i;

  (void) state;
  report (0, 4000, 0, false);
  for (i = 0; i < 40; i++)
    hs_targets_record_contention (targets, T0);
  assert_int_equal (place (T0), 0);
  assert_int_equal (place (later), HS_TARGET_NONE);
  report (0, 4000, 0, true);
  assert_int_equal (place (T0 + 10 * HS_MSEC), 0);
  /* Refusals are forgotten after some seconds. */
  assert_int_equal (place (T0 + 5 * HS_SEC), 0);
}

static void
a_report_of_an_earlier_connection_is_outdated (void **state)
{
  hsx_report_args args = { .state = HSX_TARGET_READY, .stamp_us = 5000 };

  (void) state;
  assert_true (hs_targets_report_is_newer (targets, 1, 1));
  hs_targets_apply_report (targets, 0, &args, T0);
  assert_false (hs_targets_report_is_newer (targets, 1, 4000));
  assert_true (hs_targets_report_is_newer (targets, 1, 6000));
  hs_targets_disconnect (targets, 0);
  assert_false (hs_targets_report_is_newer (targets, 1, 4000));
  assert_true (hs_targets_report_is_newer (targets, 77, 1));
}

static void
a_target_that_leaves_or_is_disconnected_is_not_chosen (void **state)
{
  hsx_report_args leaving
      = { .state = HSX_TARGET_LEAVING, .free = { CAPACITY, 100000, 0 } };

  (void) state;
  report (0, CAPACITY, 0, false);
  assert_int_equal (place (T0), 0);
  hs_targets_apply_report (targets, 0, &leaving, T0);
  assert_int_equal (place (T0), HS_TARGET_NONE);
  report (0, CAPACITY, 0, false);
  hs_targets_disconnect (targets, 0);
  assert_int_equal (place (T0), HS_TARGET_NONE);
}

static void
report_warmup (uint32_t target, unsigned int left_ms, HsTime now)
{
  hsx_report_args args = { .state = HSX_TARGET_READY,
                           .free = { CAPACITY, 100000, 0 },
                           .warmup_left_ms = left_ms };

  hs_targets_apply_report (targets, target, &args, now);
}

/* Guards against a data centre that comes back cold and gets all tasks, as its
   targets are idle. */
static void
a_target_that_warms_up_is_used_after_warm_ones (void **state)
{
  (void) state;
  report (0, CAPACITY, 0, false);
  report (1, 2000, 0, false);
  report_warmup (0, 400, T0);
  assert_int_equal (place (T0), 1);
  report_warmup (0, 300, T0 + 100 * HS_MSEC);
  assert_int_equal (place (T0 + 399 * HS_MSEC), 1);
  assert_int_equal (place (T0 + 400 * HS_MSEC), 0);
  report_warmup (0, 400, T0 + HS_SEC);
  assert_int_equal (place (T0 + HS_SEC), 1);
  report_warmup (0, 0, T0 + HS_SEC);
  assert_int_equal (place (T0 + HS_SEC), 0);
  report_warmup (0, 400, T0 + 2 * HS_SEC);
  hs_targets_launch_sent (targets, 1, &(hsx_room){ 2000, 0, 0 }, 1);
  assert_int_equal (place (T0 + 2 * HS_SEC), 0);
}

/* Guards against a target that is taken for slow once it is warm. */
static void
runs_that_began_in_a_warm_up_tell_nothing_of_the_speed (void **state)
{
  const HsTarget *target = hs_targets_get (targets, 0);
  HsTime run = 200 * HS_MSEC;
  int i;

  (void) state;
  report (0, CAPACITY, 0, false);
  report_warmup (0, 100, T0);
  report_warmup (0, 0, T0 + 150 * HS_MSEC);
  for (i = 0; i < 20; i++)
    hs_targets_task_ended (targets, 0, 0, false, run, run / 4,
                           T0 + 250 * HS_MSEC);
  assert_float_equal (target->slowdown, 1, 0.001);
  for (i = 0; i < 20; i++)
    hs_targets_task_ended (targets, 0, 0, false, run, run / 4,
                           T0 + 350 * HS_MSEC);
  assert_true (target->slowdown > 2);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_launch_counts_until_a_report_includes_it),
    TEST (only_targets_of_the_service_with_free_resources_are_chosen),
    TEST (a_faster_target_is_preferred_to_a_slow_one),
    TEST (the_target_where_a_task_failed_is_the_last_choice),
    TEST (after_refusals_old_reports_are_discounted_but_offers_are_not),
    TEST (a_report_of_an_earlier_connection_is_outdated),
    TEST (a_target_that_leaves_or_is_disconnected_is_not_chosen),
    TEST (a_target_that_warms_up_is_used_after_warm_ones),
    TEST (runs_that_began_in_a_warm_up_tell_nothing_of_the_speed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
