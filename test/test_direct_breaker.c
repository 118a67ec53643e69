/* The circuit breaker of an agent's target. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/breaker.h"

#define T0 (100 * HS_SEC)

static HsBreaker breaker;

static int
setup (void **state)
{
  (void) state;
  memset (&breaker, 0, sizeof breaker);
  return 0;
}

static void
consecutive_failures_of_different_jobs_open_it (void **state)
{
  (void) state;
  hs_breaker_record (&breaker, HSX_END_FAILED, "a", T0);
  hs_breaker_record (&breaker, HSX_END_STALLED, "b", T0);
  assert_int_equal (hs_breaker_state (&breaker, T0), HS_BREAKER_CLOSED);
  hs_breaker_record (&breaker, HSX_END_FAILED, "c", T0);
  assert_int_equal (hs_breaker_state (&breaker, T0), HS_BREAKER_OPEN);
  assert_int_equal (
      hs_breaker_state (&breaker, hs_breaker_next_change (&breaker, T0)),
      HS_BREAKER_HALF_OPEN);
}

static void
a_repeatedly_failing_job_counts_once (void **state)
{
  int i;

  (void) state;
  for (i = 0; i < 20; i++)
    hs_breaker_record (&breaker, HSX_END_FAILED, "poison", T0);
  assert_int_equal (hs_breaker_state (&breaker, T0), HS_BREAKER_CLOSED);
}

static void
a_success_resets_the_count (void **state)
{
  (void) state;
  hs_breaker_record (&breaker, HSX_END_FAILED, "a", T0);
  hs_breaker_record (&breaker, HSX_END_FAILED, "b", T0);
  hs_breaker_record (&breaker, HSX_END_DONE, "c", T0);
  hs_breaker_record (&breaker, HSX_END_FAILED, "d", T0);
  assert_int_equal (hs_breaker_state (&breaker, T0), HS_BREAKER_CLOSED);
}

static void
stopped_lapsed_and_refused_runs_do_not_count (void **state)
{
  static const char *const jobs[] = { "a", "b", "c", "d" };
  int i;

  (void) state;
  for (i = 0; i < 4; i++)
    {
      hs_breaker_record (&breaker, HSX_END_STOPPED, jobs[i], T0);
      hs_breaker_record (&breaker, HSX_END_LAPSED, jobs[i], T0);
      hs_breaker_record (&breaker, HSX_END_REFUSED, jobs[i], T0);
    }
  assert_int_equal (hs_breaker_state (&breaker, T0), HS_BREAKER_CLOSED);
}

static void
a_failed_trial_lengthens_the_open_time_and_a_success_closes_it (void **state)
{
  HsTime first;
  HsTime at;

  (void) state;
  hs_breaker_record (&breaker, HSX_END_FAILED, "a", T0);
  hs_breaker_record (&breaker, HSX_END_FAILED, "b", T0);
  hs_breaker_record (&breaker, HSX_END_FAILED, "c", T0);
  first = hs_breaker_next_change (&breaker, T0) - T0;
  /* Started before the breaker opened. */
  hs_breaker_record (&breaker, HSX_END_DONE, "d", T0 + 1);
  assert_int_equal (hs_breaker_state (&breaker, T0 + 1), HS_BREAKER_OPEN);
  at = T0 + first;
  hs_breaker_record (&breaker, HSX_END_FAILED, "e", at);
  assert_true (hs_breaker_next_change (&breaker, at) - at > first);
  at = hs_breaker_next_change (&breaker, at);
  hs_breaker_record (&breaker, HSX_END_DONE, "f", at);
  assert_int_equal (hs_breaker_state (&breaker, at), HS_BREAKER_CLOSED);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup (f, setup)
  const struct CMUnitTest tests[] = {
    TEST (consecutive_failures_of_different_jobs_open_it),
    TEST (a_repeatedly_failing_job_counts_once),
    TEST (a_success_resets_the_count),
    TEST (stopped_lapsed_and_refused_runs_do_not_count),
    TEST (a_failed_trial_lengthens_the_open_time_and_a_success_closes_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
