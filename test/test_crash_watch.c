/* Crashes of a target, as its agent sees them by the calls that break. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agent/crash_watch.h"

#define T0 (1000 * HS_SEC)

static void *ctx;
static HsCrashWatch *watch;
static HsCrashReport report;

static int
setup (void **state)
{
  (void) state;
  ctx = talloc_new (NULL);
  watch = hs_crash_watch_new (ctx);
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
calls_that_break_before_a_refusal_are_a_crash (void **state)
{
  (void) state;
  hs_crash_watch_started (watch, "c", "j", T0);
  hs_crash_watch_broken (watch, "c", T0, T0 + 10 * HS_MSEC);
  hs_crash_watch_broken (watch, "d", T0 - HS_SEC, T0 + 10 * HS_MSEC);
  hs_crash_watch_broken (watch, "c", T0 - HS_SEC, T0 + 11 * HS_MSEC);
  assert_true (hs_crash_watch_refused (watch, &report, T0 + 60 * HS_MSEC));
  assert_int_equal (report.crash.ago_us, 50 * HS_MSEC);
  assert_int_equal (report.crash.number, 1);
  assert_int_equal (report.crash.customers.customers_len, 2);
  assert_string_equal (report.customers[0].name, "c");
  assert_int_equal (report.customers[0].age_us, 10 * HS_MSEC);
  assert_true (report.customers[0].jobs_milli > 0);
  assert_string_equal (report.customers[1].name, "d");
  assert_int_equal (report.customers[1].age_us, HS_SEC + 10 * HS_MSEC);
}

static void
a_refusal_alone_is_no_crash (void **state)
{
  (void) state;
  assert_false (hs_crash_watch_refused (watch, &report, T0));
}

static void
a_call_that_broke_long_ago_does_not_belong_to_the_crash (void **state)
{
  (void) state;
  hs_crash_watch_broken (watch, "c", T0, T0);
  assert_false (hs_crash_watch_refused (watch, &report, T0 + 2 * HS_SEC));
}

static void
each_crash_is_reported_once (void **state)
{
  (void) state;
  hs_crash_watch_broken (watch, "c", T0, T0);
  assert_true (hs_crash_watch_refused (watch, &report, T0));
  assert_false (hs_crash_watch_refused (watch, &report, T0));
  hs_crash_watch_broken (watch, "c", T0, T0);
  assert_true (hs_crash_watch_refused (watch, &report, T0));
  assert_int_equal (report.crash.number, 2);
}

static void
more_broken_calls_than_are_kept_do_no_harm (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 3 * HSX_CRASH_TASKS_MAX; i++)
    hs_crash_watch_broken (watch, i % 2 == 0 ? "c" : "d", T0, T0 + HS_MSEC);
  assert_true (hs_crash_watch_refused (watch, &report, T0 + HS_MSEC));
  assert_int_equal (report.crash.customers.customers_len, 2);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (calls_that_break_before_a_refusal_are_a_crash),
    TEST (a_refusal_alone_is_no_crash),
    TEST (a_call_that_broke_long_ago_does_not_belong_to_the_crash),
    TEST (each_crash_is_reported_once),
    TEST (more_broken_calls_than_are_kept_do_no_harm),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
