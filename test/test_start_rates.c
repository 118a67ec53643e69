/* The rate at which a customer's jobs start on a target. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "policy/start_rates.h"

#define T0 (1000 * HS_SEC)

static void *ctx;
static HsStartRates *rates;

static int
setup (void **state)
{
  (void) state;
  ctx = talloc_new (NULL);
  rates = hs_start_rates_new (ctx);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  return 0;
}

/* Starts a job of @n_tasks each @interval for 20 s. */
static void
start_jobs (const char *customer, uint32_t n_tasks, HsTime interval)
{
  char job[16];
  HsTime at;
  uint32_t i;

  for (at = 0; at < 20 * HS_SEC; at += interval)
    {
      snprintf (job, sizeof job, "%u", (unsigned int) (at / interval));
      for (i = 0; i < n_tasks; i++)
        hs_start_rates_add (rates, customer, job, T0 + at);
    }
}

static void
tasks_of_one_job_count_once (void **state)
{
  double per_s;

  (void) state;
  start_jobs ("c", 5, 100 * HS_MSEC);
  per_s = hs_start_rates_per_s (rates, "c", T0 + 20 * HS_SEC);
  assert_true (per_s > 9 && per_s < 11);
  assert_true (hs_start_rates_per_s (rates, "d", T0) <= 0);
}

static void
a_rate_is_known_after_a_short_time (void **state)
{
  double per_s;

  (void) state;
  hs_start_rates_add (rates, "c", "1", T0);
  per_s = hs_start_rates_per_s (rates, "c", T0);
  assert_true (per_s > 1 && per_s < 3);
  hs_start_rates_add (rates, "c", "2", T0 + 500 * HS_MSEC);
  hs_start_rates_add (rates, "c", "3", T0 + HS_SEC);
  per_s = hs_start_rates_per_s (rates, "c", T0 + HS_SEC);
  assert_true (per_s > 2 && per_s < 4);
}

static void
the_customer_idle_for_longest_is_forgotten (void **state)
{
  char name[16];
  uint32_t i;

  (void) state;
  for (i = 0; i < 300; i++)
    {
      snprintf (name, sizeof name, "c%u", i);
      hs_start_rates_add (rates, name, "j", T0 + i * HS_MSEC);
    }
  assert_true (hs_start_rates_per_s (rates, "c0", T0 + HS_SEC) <= 0);
  assert_true (hs_start_rates_per_s (rates, "c299", T0 + HS_SEC) > 0);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (tasks_of_one_job_count_once),
    TEST (a_rate_is_known_after_a_short_time),
    TEST (the_customer_idle_for_longest_is_forgotten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
