/* The rate at which waiting tasks get processors, at the start of a load, after
   quiet seconds, and while all targets are stuck. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "direct/service_rate.h"

#define T0 (1000 * HS_SEC)

/** Thousandths of a core that each sample adds, one a millisecond. */
#define SAMPLE 3800

/* Adds samples for a time. Returns when the last one was added. */
static HsTime
add_samples (HsServiceRate *rate, HsTime from, HsTime span)
{
  HsTime now;

  for (now = from; now < from + span; now += HS_MSEC)
    hs_service_rate_add (rate, SAMPLE, now);
  return now;
}

static void
assert_about (double value, double expected)
{
  assert_true (value > expected * 0.9 && value < expected * 1.1);
}

/* All targets have just come back: a tenth of a second must do. */
static void
the_rate_is_right_soon_after_the_first_start (void **state)
{
  HsServiceRate rate = { 0 };
  HsTime now = add_samples (&rate, T0, 100 * HS_MSEC);

  (void) state;
  assert_about (hs_service_rate_per_s (&rate, now), SAMPLE * 1000.0);
  now = add_samples (&rate, now, 3 * HS_SEC);
  assert_about (hs_service_rate_per_s (&rate, now), SAMPLE * 1000.0);
}

static void
the_first_starts_tell_nothing (void **state)
{
  HsServiceRate rate = { 0 };

  (void) state;
  assert_true (hs_service_rate_per_s (&rate, T0) <= 0);
  hs_service_rate_add (&rate, SAMPLE, T0);
  assert_true (hs_service_rate_per_s (&rate, T0 + HS_MSEC) <= 0);
}

static void
quiet_seconds_are_not_a_low_rate (void **state)
{
  HsServiceRate rate = { 0 };
  HsTime now = add_samples (&rate, T0, 2 * HS_SEC) + 5 * HS_SEC;

  (void) state;
  hs_service_rate_idle (&rate, now);
  assert_true (hs_service_rate_per_s (&rate, now) <= 0);
  now = add_samples (&rate, now, 100 * HS_MSEC);
  assert_about (hs_service_rate_per_s (&rate, now), SAMPLE * 1000.0);
}

/* Tasks wait and none is started: what arrives then would wait as well. */
static void
stuck_targets_are_a_low_rate (void **state)
{
  HsServiceRate rate = { 0 };
  HsTime now = add_samples (&rate, T0, 2 * HS_SEC) + 2 * HS_SEC;
  double per_s = hs_service_rate_per_s (&rate, now);

  (void) state;
  assert_true (per_s > 0 && per_s < SAMPLE * 1000.0 / 20);
}

/* Guards against refusals right after all targets were away: nothing is placed
   meanwhile, which isn't a low rate of those that come back. */
static void
a_rate_without_targets_is_unknown (void **state)
{
  HsServiceRate rate = { 0 };
  HsTime now = add_samples (&rate, T0, 2 * HS_SEC);

  (void) state;
  hs_service_rate_scale (&rate, 0);
  assert_true (hs_service_rate_per_s (&rate, now) <= 0);
  now = add_samples (&rate, now + 300 * HS_MSEC, 100 * HS_MSEC);
  assert_about (hs_service_rate_per_s (&rate, now), SAMPLE * 1000.0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_rate_is_right_soon_after_the_first_start),
    cmocka_unit_test (the_first_starts_tell_nothing),
    cmocka_unit_test (quiet_seconds_are_not_a_low_rate),
    cmocka_unit_test (stuck_targets_are_a_low_rate),
    cmocka_unit_test (a_rate_without_targets_is_unknown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
