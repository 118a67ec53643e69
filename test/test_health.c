#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/health.h"
#include "policy/random.h"

#define N_TARGETS 11
#define N_FLOWS 4
#define RUN_TIME (200 * HS_MSEC)

static HsHealth *
new_health (uint32_t n)
{
  HsHealth *health = hs_health_new (NULL);
  uint32_t i;

  for (i = 0; i < n; i++)
    hs_health_add (health, i);
  return health;
}

/* Applies all state changes that are due and returns the number of ejected
 * targets. */
static uint32_t
apply_changes (HsHealth *health, uint32_t n_targets, HsTime now)
{
  uint32_t n = 0;
  uint32_t target;
  HsHealthState state;

  while (hs_health_next_change (health, now, &target, &state))
    assert_int_equal (hs_health_state (health, target), state);
  for (target = 0; target < n_targets; target++)
    n += hs_health_state (health, target) == HS_HEALTH_EJECTED;
  return n;
}

static void
record_result (HsHealth *health, uint32_t target, bool failed, HsTime now)
{
  hs_health_record_result (health, target, 0, failed, RUN_TIME, RUN_TIME, now);
}

static void
failing_target_is_ejected_soon (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  int i;

  (void) state;
  for (i = 0; i < 2; i++)
    record_result (health, 3, true, 0);
  apply_changes (health, N_TARGETS, 0);
  assert_int_equal (hs_health_state (health, 3), HS_HEALTH_OK);
  for (i = 0; i < 4; i++)
    record_result (health, 3, true, 0);
  assert_int_equal (apply_changes (health, N_TARGETS, 0), 1);
  assert_int_equal (hs_health_state (health, 3), HS_HEALTH_EJECTED);
  talloc_free (health);
}

static void
ejections_grow_and_end_in_probation (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  HsTime now = 0;
  HsTime span = 0;
  int i;

  (void) state;
  for (i = 0; i < 6; i++)
    record_result (health, 3, true, now);
  apply_changes (health, N_TARGETS, now);
  for (i = 0; i < 4; i++)
    {
      HsTime wake = hs_health_wake_at (health);

      assert_true (wake - now >= 2 * span);
      span = wake - now;
      now = wake;
      assert_int_equal (apply_changes (health, N_TARGETS, now), 0);
      assert_int_equal (hs_health_state (health, 3), HS_HEALTH_PROBATION);
      record_result (health, 3, true, now);
      assert_int_equal (apply_changes (health, N_TARGETS, now), 1);
    }
  now = hs_health_wake_at (health);
  apply_changes (health, N_TARGETS, now);
  for (i = 0; i < 3; i++)
    record_result (health, 3, false, now);
  apply_changes (health, N_TARGETS, now);
  assert_int_equal (hs_health_state (health, 3), HS_HEALTH_OK);
  assert_true (hs_health_wake_at (health) == HS_NEVER);
  talloc_free (health);
}

/* All tasks of one of four customers fail, on any target. */
static void
failing_customer_ejects_no_target (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  uint64_t random = 5;
  HsTime now;

  (void) state;
  for (now = 0; now < 100 * HS_SEC; now += 4 * HS_MSEC)
    {
      uint32_t flow = hs_random_below (&random, N_FLOWS);

      hs_health_record_result (health, hs_random_below (&random, N_TARGETS),
                               flow, flow == 0, RUN_TIME, RUN_TIME, now);
      assert_int_equal (apply_changes (health, N_TARGETS, now), 0);
    }
  talloc_free (health);
}

static void
failing_target_is_found_despite_failing_customer (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  uint64_t random = 5;
  uint32_t n_ejected = 0;
  HsTime now;

  (void) state;
  for (now = 0; now < 20 * HS_SEC && n_ejected == 0; now += 4 * HS_MSEC)
    {
      uint32_t flow = hs_random_below (&random, N_FLOWS);
      uint32_t target = hs_random_below (&random, N_TARGETS);

      hs_health_record_result (health, target, flow, flow == 0 || target == 7,
                               RUN_TIME, RUN_TIME, now);
      n_ejected = apply_changes (health, N_TARGETS, now);
    }
  assert_int_equal (n_ejected, 1);
  assert_int_equal (hs_health_state (health, 7), HS_HEALTH_EJECTED);
  assert_true (now < 5 * HS_SEC);
  talloc_free (health);
}

static void
ejected_share_is_capped (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  HsTime later = 150 * HS_MSEC;
  uint32_t target;
  int i;

  (void) state;
  for (i = 0; i < 6 * 8 * 30; i++)
    if (i % 30 == 0)
      record_result (health, (uint32_t) (i / 30 % 6), true, 0);
    else
      record_result (health, (uint32_t) (6 + i % 5), false, 0);
  apply_changes (health, N_TARGETS, 0);
  /* Targets over the cap are ejected only for a short pause. */
  assert_int_equal (apply_changes (health, N_TARGETS, later), 3);
  for (target = 0; target < 6; target++)
    assert_int_not_equal (hs_health_state (health, target), HS_HEALTH_OK);
  hs_health_remove (health, 0);
  hs_health_remove (health, 1);
  hs_health_remove (health, 2);
  assert_int_equal (apply_changes (health, N_TARGETS, 100 * HS_SEC), 0);
  talloc_free (health);
}

static void
slow_target_is_on_probation_until_it_recovers (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  uint32_t target;
  HsTime now;

  (void) state;
  for (now = 0; now < 10 * HS_SEC; now += 100 * HS_MSEC)
    for (target = 0; target < N_TARGETS; target++)
      hs_health_record_result (health, target, 0, false,
                               target == 2 ? 5 * RUN_TIME : RUN_TIME, RUN_TIME,
                               now);
  assert_int_equal (apply_changes (health, N_TARGETS, now), 0);
  for (target = 0; target < N_TARGETS; target++)
    assert_int_equal (hs_health_state (health, target),
                      target == 2 ? HS_HEALTH_PROBATION : HS_HEALTH_OK);
  for (; now < 20 * HS_SEC; now += 100 * HS_MSEC)
    record_result (health, 2, false, now);
  apply_changes (health, N_TARGETS, now);
  assert_int_equal (hs_health_state (health, 2), HS_HEALTH_OK);
  talloc_free (health);
}

/* Runs take ten times longer than expected on all targets, so no target is slow
 * compared with the others. */
static void
uniform_slowdown_makes_no_target_slow (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  uint32_t target;
  HsTime now;

  (void) state;
  for (now = 0; now < 10 * HS_SEC; now += 100 * HS_MSEC)
    for (target = 0; target < N_TARGETS; target++)
      hs_health_record_result (health, target, 0, false, 10 * RUN_TIME,
                               RUN_TIME, now);
  apply_changes (health, N_TARGETS, now);
  for (target = 0; target < N_TARGETS; target++)
    assert_int_equal (hs_health_state (health, target), HS_HEALTH_OK);
  talloc_free (health);
}

/* The very first run is five times shorter than expected. A median taken from
 * so few samples must not make the other targets look slow. */
static void
one_quick_run_makes_no_target_slow (void **state)
{
  HsHealth *health = new_health (N_TARGETS);
  uint32_t target;
  int i;

  (void) state;
  hs_health_record_result (health, 0, 0, false, RUN_TIME / 5, RUN_TIME, 0);
  for (i = 0; i < 40; i++)
    for (target = 0; target < N_TARGETS; target++)
      hs_health_record_result (health, target, 0, false, RUN_TIME, RUN_TIME,
                               (1 + i) * 10 * HS_MSEC);
  apply_changes (health, N_TARGETS, 500 * HS_MSEC);
  for (target = 0; target < N_TARGETS; target++)
    assert_int_equal (hs_health_state (health, target), HS_HEALTH_OK);
  talloc_free (health);
}

/* A target that was slow compared with an early median is compared with each
 * later one, even if none of its tasks end in the meantime. */
static void
new_median_reassesses_all_targets (void **state)
{
  HsHealth *health = new_health (3);
  HsTime now = 0;
  int i;

  (void) state;
  for (i = 0; i < 20; i++, now += 10 * HS_MSEC)
    {
      hs_health_record_result (health, 0, 0, false, RUN_TIME, RUN_TIME, now);
      hs_health_record_result (health, 1, 0, false, RUN_TIME, RUN_TIME, now);
      hs_health_record_result (health, 2, 0, false, 4 * RUN_TIME, RUN_TIME,
                               now);
    }
  for (i = 0; i < 200; i++, now += 10 * HS_MSEC)
    {
      hs_health_record_result (health, 2, 0, false, 4 * RUN_TIME, RUN_TIME,
                               now);
      if (i >= 100)
        continue;
      apply_changes (health, 3, now);
      assert_int_equal (hs_health_state (health, 2), HS_HEALTH_PROBATION);
    }
  /* The other targets become as slow as the third. */
  for (i = 0; i < 200; i++, now += 10 * HS_MSEC)
    {
      hs_health_record_result (health, 0, 0, false, 4 * RUN_TIME, RUN_TIME,
                               now);
      hs_health_record_result (health, 1, 0, false, 4 * RUN_TIME, RUN_TIME,
                               now);
    }
  apply_changes (health, 3, now);
  assert_int_equal (hs_health_state (health, 2), HS_HEALTH_OK);
  talloc_free (health);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (failing_target_is_ejected_soon),
    cmocka_unit_test (ejections_grow_and_end_in_probation),
    cmocka_unit_test (failing_customer_ejects_no_target),
    cmocka_unit_test (failing_target_is_found_despite_failing_customer),
    cmocka_unit_test (ejected_share_is_capped),
    cmocka_unit_test (slow_target_is_on_probation_until_it_recovers),
    cmocka_unit_test (uniform_slowdown_makes_no_target_slow),
    cmocka_unit_test (one_quick_run_makes_no_target_slow),
    cmocka_unit_test (new_median_reassesses_all_targets),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
