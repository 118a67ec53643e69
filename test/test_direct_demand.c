/* What is learnt of the customers' jobs. */
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
run_times_are_learnt_from_estimates_that_are_off (void **state)
{
  uint32_t c = hs_demand_customer (demand, "c");
  int i;

  (void) state;
  assert_int_equal (hs_demand_expect (demand, c, 900 * HS_MSEC), 900 * HS_MSEC);
  for (i = 0; i < 200; i++)
    hs_demand_ran (demand, c, 300 * HS_MSEC, 200 * HS_MSEC);
  assert_in_range (hs_demand_expect (demand, c, 300 * HS_MSEC), 190 * HS_MSEC,
                   210 * HS_MSEC);
  /* A larger estimate counts half. */
  assert_in_range (hs_demand_expect (demand, c, 600 * HS_MSEC), 260 * HS_MSEC,
                   300 * HS_MSEC);
  assert_in_range (hs_demand_expect (demand, c, 0), 190 * HS_MSEC,
                   210 * HS_MSEC);
}

static void
one_job_of_a_rare_customer_is_worth_more (void **state)
{
  uint32_t often = hs_demand_customer (demand, "often");
  uint32_t rare = hs_demand_customer (demand, "rare");
  int i;

  (void) state;
  for (i = 0; i < 100; i++)
    {
      hs_demand_arrived (demand, often, 1, T0 + i * 10 * HS_MSEC);
      if (i % 10 == 0)
        hs_demand_arrived (demand, rare, 1, T0 + i * 10 * HS_MSEC);
    }
  assert_true (hs_demand_worth (demand, rare, 1)
               > 5 * hs_demand_worth (demand, often, 1));
}

static void
a_customer_served_too_little_goes_first (void **state)
{
  uint32_t c = hs_demand_customer (demand, "c");
  int i;

  (void) state;
  hs_demand_arrived (demand, c, 1, T0);
  assert_true (hs_demand_boost (demand, c, 1) < 1.01);
  for (i = 0; i < 60; i++)
    hs_demand_ended (demand, c, 1, false);
  assert_true (hs_demand_boost (demand, c, 1) > 1.5);
}

static void
large_jobs_served_too_little_go_first (void **state)
{
  uint32_t c = hs_demand_customer (demand, "c");
  int i;

  (void) state;
  for (i = 0; i < 100; i++)
    {
      hs_demand_arrived (demand, c, i % 10 == 0 ? 4 : 1, T0);
      hs_demand_ended (demand, c, i % 10 == 0 ? 4 : 1, i % 10 != 0);
    }
  assert_true (hs_demand_boost (demand, c, 4)
               > 1.5 * hs_demand_boost (demand, c, 1));
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (run_times_are_learnt_from_estimates_that_are_off),
    TEST (one_job_of_a_rare_customer_is_worth_more),
    TEST (a_customer_served_too_little_goes_first),
    TEST (large_jobs_served_too_little_go_first),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
