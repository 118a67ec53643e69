/* Estimates of a run's time from its progress. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "direct/progress_rate.h"

#define T0 (100 * HS_SEC)
#define USUAL_TIME (300 * HS_MSEC)

static void
no_estimate_before_the_minimum_interval (void **state)
{
  HsProgressRate rate = { 0 };

  (void) state;
  assert_int_equal (hs_progress_rate_total_time (&rate, 10, T0), 0);
  hs_progress_rate_sample (&rate, -1, USUAL_TIME, T0);
  assert_int_equal (hs_progress_rate_total_time (&rate, 10, T0 + HS_SEC), 0);
  hs_progress_rate_sample (&rate, 5, USUAL_TIME, T0);
  assert_int_equal (hs_progress_rate_total_time (&rate, 5, T0 + 10 * HS_MSEC),
                    0);
}

/* Progress is rounded down, which must not raise the estimate. */
static void
the_estimate_never_exceeds_the_true_run_time (void **state)
{
  HsTime run;
  HsTime at;

  (void) state;
  for (run = 50 * HS_MSEC; run < 3 * HS_SEC; run += 37 * HS_MSEC)
    {
      HsProgressRate rate = { 0 };

      for (at = 0; at < run; at += 7 * HS_MSEC)
        {
          int percent = (int) (at * 100 / run);

          assert_true (hs_progress_rate_total_time (&rate, percent, T0 + at)
                       <= run);
          hs_progress_rate_sample (&rate, percent, USUAL_TIME, T0 + at);
        }
    }
}

/* A run that takes 600 ms where 100 ms were expected is detected within 50 ms.
 */
static void
a_slow_run_is_detected_within_50_ms (void **state)
{
  HsProgressRate rate = { 0 };

  (void) state;
  hs_progress_rate_sample (&rate, 2, USUAL_TIME, T0);
  assert_true (hs_progress_rate_total_time (&rate, 10, T0 + 50 * HS_MSEC)
               > USUAL_TIME);
  assert_true (hs_progress_rate_time_left (&rate, 10, T0 + 50 * HS_MSEC)
               > USUAL_TIME);
}

/* A run that is fast up to one half and then makes no progress. */
static void
a_dropping_rate_is_detected (void **state)
{
  HsProgressRate rate = { 0 };
  HsTime most = 0;
  HsTime at;

  (void) state;
  for (at = 0; at <= 50 * HS_MSEC; at += 10 * HS_MSEC)
    hs_progress_rate_sample (&rate, (int) (at / HS_MSEC), USUAL_TIME, T0 + at);
  for (; at <= 200 * HS_MSEC; at += 10 * HS_MSEC)
    {
      most = MAX (most, hs_progress_rate_total_time (&rate, 50, T0 + at));
      hs_progress_rate_sample (&rate, 50, USUAL_TIME, T0 + at);
    }
  assert_true (most > USUAL_TIME);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_estimate_before_the_minimum_interval),
    cmocka_unit_test (the_estimate_never_exceeds_the_true_run_time),
    cmocka_unit_test (a_slow_run_is_detected_within_50_ms),
    cmocka_unit_test (a_dropping_rate_is_detected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
