/* Statistics of the customers' jobs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "direct/demand.h"

#define T0 (100 * HS_SEC)

static HsDemand *demand;

static int
setup (void **state)
{
  (void) state;
  demand = hs_demand_new (NULL);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (demand);
  return 0;
}

static void
run_times_are_learnt_from_inaccurate_estimates (void **state)
{
  uint32_t c = hs_demand_customer_handle (demand, "c");
  int i;

  (void) state;
  assert_int_equal (hs_demand_expected_run_time (demand, c, 900 * HS_MSEC),
                    900 * HS_MSEC);
  for (i = 0; i < 200; i++)
    hs_demand_add_run_time (demand, c, 300 * HS_MSEC, 200 * HS_MSEC);
  assert_in_range (hs_demand_expected_run_time (demand, c, 300 * HS_MSEC),
                   190 * HS_MSEC, 210 * HS_MSEC);
  /* An estimate that differs from the mean has half of the weight. */
  assert_in_range (hs_demand_expected_run_time (demand, c, 600 * HS_MSEC),
                   260 * HS_MSEC, 300 * HS_MSEC);
  assert_in_range (hs_demand_expected_run_time (demand, c, 0), 190 * HS_MSEC,
                   210 * HS_MSEC);
}

static void
one_job_of_a_rare_customer_has_a_higher_value (void **state)
{
  uint32_t often = hs_demand_customer_handle (demand, "often");
  uint32_t rare = hs_demand_customer_handle (demand, "rare");
  int i;

  (void) state;
  for (i = 0; i < 100; i++)
    {
      hs_demand_job_arrived (demand, often, 1, T0 + i * 10 * HS_MSEC);
      if (i % 10 == 0)
        hs_demand_job_arrived (demand, rare, 1, T0 + i * 10 * HS_MSEC);
    }
  assert_true (hs_demand_job_value (demand, rare, 1)
               > 5 * hs_demand_job_value (demand, often, 1));
}

static void
an_underserved_customer_gets_priority (void **state)
{
  uint32_t c = hs_demand_customer_handle (demand, "c");
  int i;

  (void) state;
  hs_demand_job_arrived (demand, c, 1, T0);
  assert_true (hs_demand_priority_boost (demand, c, 1) < 1.01);
  for (i = 0; i < 60; i++)
    hs_demand_job_ended (demand, c, 1, false);
  assert_true (hs_demand_priority_boost (demand, c, 1) > 1.5);
}

static void
underserved_large_jobs_get_priority (void **state)
{
  uint32_t c = hs_demand_customer_handle (demand, "c");
  int i;

  (void) state;
  for (i = 0; i < 100; i++)
    {
      hs_demand_job_arrived (demand, c, i % 10 == 0 ? 4 : 1, T0);
      hs_demand_job_ended (demand, c, i % 10 == 0 ? 4 : 1, i % 10 != 0);
    }
  assert_true (hs_demand_priority_boost (demand, c, 4)
               > 1.5 * hs_demand_priority_boost (demand, c, 1));
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (run_times_are_learnt_from_inaccurate_estimates),
    TEST (one_job_of_a_rare_customer_has_a_higher_value),
    TEST (an_underserved_customer_gets_priority),
    TEST (underserved_large_jobs_get_priority),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
