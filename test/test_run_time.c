#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/run_time.h"

static void
declared_times_are_corrected_by_observed_ratio (void **state)
{
  HsRunTimeEstimator run_time;
  int i;

  (void) state;
  hs_run_time_init (&run_time);
  assert_in_range (hs_run_time_expected (&run_time, 1000), 1000, 1001);
  for (i = 0; i < 100; i++)
    hs_run_time_add_sample (&run_time, 1000, 10000);
  assert_in_range (hs_run_time_expected (&run_time, 500), 4900, 5100);
  hs_run_time_add_sample (&run_time, 1, 3600 * HS_SEC);
  assert_in_range (hs_run_time_expected (&run_time, 500), 4900, 7000);
}

static void
undeclared_times_use_the_mean (void **state)
{
  HsRunTimeEstimator run_time;
  int i;

  (void) state;
  hs_run_time_init (&run_time);
  assert_true (hs_run_time_expected (&run_time, 0) > 0);
  for (i = 0; i < 200; i++)
    hs_run_time_add_sample (&run_time, 0, i % 2 == 0 ? 100 : 300);
  assert_in_range (hs_run_time_expected (&run_time, 0), 190, 212);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (declared_times_are_corrected_by_observed_ratio),
    cmocka_unit_test (undeclared_times_use_the_mean),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
