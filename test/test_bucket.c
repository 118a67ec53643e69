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
burst_then_rate (void **state)
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
idle_time_fills_no_more_than_the_burst (void **state)
{
  HsBucket bucket;

  (void) state;
  hs_bucket_init (&bucket, 4000000000U, 5, 0);
  take_all (&bucket, 0);
  assert_int_equal (take_all (&bucket, HS_NEVER / 2), 5);
}

static void
no_rate_means_no_start (void **state)
{
  HsBucket bucket;

  (void) state;
  hs_bucket_init (&bucket, 0, 5, 0);
  assert_false (hs_bucket_take (&bucket, HS_SEC));
  assert_true (hs_bucket_ready_at (&bucket, HS_SEC) == HS_NEVER);
}

static void
an_edit_keeps_what_is_used (void **state)
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
time_that_steps_back_gives_nothing (void **state)
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
    cmocka_unit_test (burst_then_rate),
    cmocka_unit_test (idle_time_fills_no_more_than_the_burst),
    cmocka_unit_test (no_rate_means_no_start),
    cmocka_unit_test (an_edit_keeps_what_is_used),
    cmocka_unit_test (time_that_steps_back_gives_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
