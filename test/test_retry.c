#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/retry.h"

static uint32_t
count_retries (HsRetryBudget *retry, HsTime from, HsTime to)
{
  uint64_t random = 9;
  uint32_t n = 0;
  HsTime at;

  for (; from < to; from += HS_MSEC)
    n += hs_retry_budget_take (retry, 1, from, &random, &at);
  return n;
}

static void
baseline_bounds_retries_without_starts (void **state)
{
  HsRetryBudget retry;

  (void) state;
  hs_retry_budget_init (&retry, 0);
  count_retries (&retry, 0, 10 * HS_SEC);
  assert_in_range (count_retries (&retry, 10 * HS_SEC, 20 * HS_SEC), 45, 55);
}

static void
starts_earn_a_tenth_up_to_maximum (void **state)
{
  HsRetryBudget retry;
  uint32_t i;

  (void) state;
  hs_retry_budget_init (&retry, 0);
  count_retries (&retry, 0, HS_SEC);
  for (i = 0; i < 500; i++)
    hs_retry_budget_add_start (&retry);
  assert_in_range (count_retries (&retry, HS_SEC, HS_SEC + 60 * HS_MSEC), 50,
                   51);
  for (i = 0; i < 100000; i++)
    hs_retry_budget_add_start (&retry);
  assert_in_range (
      count_retries (&retry, 2 * HS_SEC, 2 * HS_SEC + 500 * HS_MSEC), 100, 110);
}

static void
retries_of_one_task_are_few_and_back_off (void **state)
{
  HsRetryBudget retry;
  uint64_t random = 9;
  uint32_t attempt = 1;
  HsTime longest = 0;
  HsTime at;

  (void) state;
  hs_retry_budget_init (&retry, 0);
  for (; hs_retry_budget_take (&retry, attempt, 0, &random, &at); attempt++)
    {
      assert_true (at >= longest);
      longest = at;
    }
  assert_int_equal (attempt, 6);
  assert_in_range (longest, 32 * HS_MSEC, 64 * HS_MSEC);
  assert_true (hs_retry_budget_take (&retry, 5, 0, &random, &at)
               && at != longest);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (baseline_bounds_retries_without_starts),
    cmocka_unit_test (starts_earn_a_tenth_up_to_maximum),
    cmocka_unit_test (retries_of_one_task_are_few_and_back_off),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
