#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/bucket.h"

static uint32_t
take_all (HsBucket *bucket, HsTime now)
{
  uint32_t n = 0;

  while (hs_bucket_take (bucket, now))
    n++;
  return n;
}

static void
burst_is_followed_by_rate (void **state)
{
  HsBucket bucket;
  uint32_t n = 0;
  HsTime now;

  (void) state;
  hs_bucket_init (&bucket, 3, 10, 0);
  assert_int_equal (take_all (&bucket, 0), 10);
  assert_int_equal (hs_bucket_ready_at (&bucket, 0), 333334);
  assert_false (hs_bucket_take (&bucket, 333333));
  for (now = 0; now <= 1000 * HS_SEC; now += 777)
    n += take_all (&bucket, now);
  assert_in_range (n, 2999, 3000);
}

static void
idle_time_fills_up_to_burst_only (void **state)
{
  HsBucket bucket;

  (void) state;
  hs_bucket_init (&bucket, 4000000000U, 5, 0);
  take_all (&bucket, 0);
  assert_int_equal (take_all (&bucket, HS_NEVER / 2), 5);
}

static void
zero_rate_gives_no_token (void **state)
{
  HsBucket bucket;

  (void) state;
  hs_bucket_init (&bucket, 0, 5, 0);
  assert_false (hs_bucket_take (&bucket, HS_SEC));
  assert_true (hs_bucket_ready_at (&bucket, HS_SEC) == HS_NEVER);
}

static void
changed_limits_add_no_tokens (void **state)
{
  HsBucket bucket;

  (void) state;
  hs_bucket_init (&bucket, 10, 10, 0);
  take_all (&bucket, 0);
  hs_bucket_set_limits (&bucket, 20, 50, 0);
  assert_int_equal (take_all (&bucket, 0), 0);
  assert_int_equal (take_all (&bucket, HS_SEC), 20);
  hs_bucket_set_limits (&bucket, 20, 2, 10 * HS_SEC);
  assert_int_equal (take_all (&bucket, 10 * HS_SEC), 2);
}

static void
backward_clock_step_adds_no_tokens (void **state)
{
  HsBucket bucket;

  (void) state;
  hs_bucket_init (&bucket, 10, 1, HS_SEC);
  assert_int_equal (take_all (&bucket, HS_SEC), 1);
  assert_int_equal (take_all (&bucket, 0), 0);
  assert_int_equal (take_all (&bucket, HS_SEC), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (burst_is_followed_by_rate),
    cmocka_unit_test (idle_time_fills_up_to_burst_only),
    cmocka_unit_test (zero_rate_gives_no_token),
    cmocka_unit_test (changed_limits_add_no_tokens),
    cmocka_unit_test (backward_clock_step_adds_no_tokens),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
