/* Which customer is contained after crashes of targets, and for how long. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "policy/containment.h"
#include "prng.h"

#define T0 (1000 * HS_SEC)
#define AGE (10 * HS_MSEC)

static void *ctx;
static HsContainment *containment;
static uint32_t guilty;
static uint32_t innocent;

/* A crash 10 ms after a task of "guilty"; one of "innocent" ran for
   @innocent_age. */
static void
add_crash (HsTime at, bool reserved, HsTime innocent_age)
{
  HsCrashSuspect suspects[]
      = { { "guilty", AGE, 15 }, { "innocent", innocent_age, 18 } };
  HsCrashEvidence crash = { .service = "s",
                            .at = at,
                            .reserved = reserved,
                            .suspects = suspects,
                            .n_suspects = innocent_age > 0 ? 2 : 1 };

  hs_containment_add_crash (containment, &crash, at);
}

/* A crash that "guilty" has no part in. */
static void
add_other_crash (HsTime at, HsTime innocent_age)
{
  HsCrashSuspect suspect = { "innocent", innocent_age, 18 };
  HsCrashEvidence crash
      = { .service = "s", .at = at, .suspects = &suspect, .n_suspects = 1 };

  hs_containment_add_crash (containment, &crash, at);
}

static void
end_jobs (uint32_t n)
{
  while (n-- > 0)
    hs_containment_job_done (containment, guilty);
}

static int
setup (void **state)
{
  (void) state;
  ctx = talloc_new (NULL);
  containment = hs_containment_new (ctx);
  guilty = hs_containment_customer (containment, "s", "guilty");
  innocent = hs_containment_customer (containment, "s", "innocent");
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  return 0;
}

static void
a_customer_whose_tasks_crash_targets_is_contained (void **state)
{
  HsContainmentChange change;

  (void) state;
  add_crash (T0, false, 90 * HS_MSEC);
  assert_false (hs_containment_is_contained (containment, guilty));
  add_crash (T0 + 100 * HS_MSEC, false, 40 * HS_MSEC);
  assert_true (hs_containment_is_contained (containment, guilty));
  assert_false (hs_containment_is_contained (containment, innocent));
  assert_true (hs_containment_is_active (containment, "s"));
  assert_false (hs_containment_is_active (containment, "other"));
  assert_true (hs_containment_next_change (containment, &change));
  assert_string_equal (change.customer, "guilty");
  assert_true (change.contained);
  assert_false (hs_containment_next_change (containment, &change));
}

static void
a_few_crashes_among_many_targets_contain_nobody (void **state)
{
  HsCrashSuspect suspect = { "guilty", AGE, 2 };
  HsCrashEvidence crash = {
    .service = "s", .n_targets = 240, .suspects = &suspect, .n_suspects = 1
  };
  uint32_t i;

  (void) state;
  for (i = 0; i < 14; i++)
    {
      crash.at = T0 + i * 20 * HS_MSEC;
      hs_containment_add_crash (containment, &crash, crash.at);
      assert_int_equal (hs_containment_is_active (containment, "s"), i >= 12);
    }
}

static void
crashes_at_the_same_moment_count_once (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 5; i++)
    add_crash (T0 + i * HS_MSEC, false, 90 * HS_MSEC);
  assert_false (hs_containment_is_active (containment, "s"));
}

static void
silent_crashes_within_a_poll_count_once (void **state)
{
  HsCrashSuspect suspect = { "guilty", 100 * HS_MSEC, 0.1 };
  HsCrashEvidence crash = { .service = "s",
                            .at_error = 50 * HS_MSEC,
                            .suspects = &suspect,
                            .n_suspects = 1 };
  uint32_t i;

  (void) state;
  for (i = 0; i < 3; i++)
    {
      crash.at = T0 + i * 20 * HS_MSEC;
      hs_containment_add_crash (containment, &crash, T0 + 3 * HS_SEC);
    }
  assert_false (hs_containment_is_active (containment, "s"));
}

static void
crashes_seconds_apart_contain_nobody (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 10; i++)
    add_crash (T0 + i * 6 * HS_SEC, false, 90 * HS_MSEC);
  assert_false (hs_containment_is_active (containment, "s"));
}

/* An entry that starts learns of the last crashes of all targets at once. */
static void
old_crashes_in_any_order_contain_nobody_either (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < 4; i++)
    add_crash (T0 - i * 5 * HS_SEC, false, 90 * HS_MSEC);
  assert_false (hs_containment_is_active (containment, "s"));
}

/* Hosts that fail in pairs within a second, under three customers with the
   rates of the users' sites. */
static void
failing_hosts_seldom_contain_anybody (void **state)
{
  static const double rates[] = { 15, 2, 18 };
  static const char *const names[] = { "a", "b", "c" };
  Prng random = prng_seeded (1);
  uint32_t n_contained = 0;
  uint32_t trial;

  (void) state;
  for (trial = 0; trial < 1000; trial++)
    {
      HsContainment *fresh = hs_containment_new (ctx);
      HsTime at = T0;
      uint32_t i;
      uint32_t k;

      for (i = 0; i < 2; i++)
        {
          HsCrashSuspect suspects[3];
          HsCrashEvidence crash
              = { .service = "s", .suspects = suspects, .n_suspects = 3 };

          for (k = 0; k < 3; k++)
            suspects[k] = (HsCrashSuspect){
              names[k],
              (HsTime) (-log ((prng_below (&random, 1000000) + 0.5) / 1000000)
                        / rates[k] * HS_SEC),
              rates[k]
            };
          crash.at = at;
          hs_containment_add_crash (fresh, &crash, at);
          at += prng_below (&random, 1000) * HS_MSEC + 10 * HS_MSEC;
        }
      n_contained += hs_containment_is_active (fresh, "s");
      talloc_free (fresh);
    }
  printf ("%u of 1000 pairs of crashes contained a customer\n", n_contained);
  assert_true (n_contained < 100);
}

static void
contain_guilty (void)
{
  add_crash (T0, false, 90 * HS_MSEC);
  add_crash (T0 + 100 * HS_MSEC, false, 40 * HS_MSEC);
  assert_true (hs_containment_is_contained (containment, guilty));
}

static void
a_customer_is_released_after_enough_good_jobs (void **state)
{
  HsTime now = T0 + 1200 * HS_MSEC;

  (void) state;
  contain_guilty ();
  hs_containment_tick (containment, now);
  assert_true (hs_containment_is_contained (containment, guilty));
  end_jobs (10);
  hs_containment_tick (containment, T0 + 900 * HS_MSEC);
  assert_true (hs_containment_is_contained (containment, guilty));
  hs_containment_tick (containment, now);
  assert_false (hs_containment_is_contained (containment, guilty));
}

static void
a_customer_without_jobs_is_released_at_last (void **state)
{
  HsTime due;

  (void) state;
  contain_guilty ();
  due = hs_containment_tick (containment, T0 + 2 * HS_SEC);
  assert_true (due > T0 + 2 * HS_SEC && due < T0 + 30 * HS_SEC);
  hs_containment_tick (containment, due);
  assert_false (hs_containment_is_contained (containment, guilty));
}

static void
a_crash_while_contained_starts_the_wait_anew (void **state)
{
  (void) state;
  contain_guilty ();
  end_jobs (10);
  add_crash (T0 + 900 * HS_MSEC, true, 0);
  hs_containment_tick (containment, T0 + 5 * HS_SEC);
  assert_true (hs_containment_is_contained (containment, guilty));
  end_jobs (10);
  hs_containment_tick (containment, T0 + 5 * HS_SEC);
  assert_false (hs_containment_is_contained (containment, guilty));
}

static void
a_customer_that_crashes_targets_again_is_contained_longer (void **state)
{
  HsTime again = T0 + 3 * HS_SEC;

  (void) state;
  contain_guilty ();
  end_jobs (10);
  hs_containment_tick (containment, again - 1500 * HS_MSEC);
  assert_false (hs_containment_is_contained (containment, guilty));
  add_crash (again - HS_SEC, false, 90 * HS_MSEC);
  assert_false (hs_containment_is_contained (containment, guilty));
  add_crash (again, false, 90 * HS_MSEC);
  assert_true (hs_containment_is_contained (containment, guilty));
  assert_int_equal (hs_containment_time_left (containment, guilty, again),
                    2 * HS_SEC);
  end_jobs (10);
  hs_containment_tick (containment, again + 3 * HS_SEC);
  assert_true (hs_containment_is_contained (containment, guilty));
  end_jobs (10);
  hs_containment_tick (containment, again + 3 * HS_SEC);
  assert_false (hs_containment_is_contained (containment, guilty));
}

static void
a_customer_that_has_no_part_in_later_crashes_is_released (void **state)
{
  uint32_t i;

  (void) state;
  contain_guilty ();
  for (i = 1; i < 8; i++)
    add_other_crash (T0 + i * 200 * HS_MSEC, 300 * HS_MSEC);
  assert_false (hs_containment_is_contained (containment, guilty));
}

static void
a_crash_explained_by_a_contained_customer_is_no_evidence (void **state)
{
  uint32_t i;

  (void) state;
  contain_guilty ();
  for (i = 1; i < 8; i++)
    add_crash (T0 + i * 200 * HS_MSEC, true, HS_MSEC);
  assert_false (hs_containment_is_contained (containment, innocent));
}

static void
two_customers_are_contained_one_after_the_other (void **state)
{
  (void) state;
  contain_guilty ();
  add_other_crash (T0 + 400 * HS_MSEC, AGE);
  add_other_crash (T0 + 500 * HS_MSEC, AGE);
  add_other_crash (T0 + 600 * HS_MSEC, AGE);
  assert_true (hs_containment_is_contained (containment, innocent));
}

/* A crash on a reserved target that ran tasks of both. */
static void
add_crash_of_both (HsTime at, HsTime guilty_age, HsTime innocent_age)
{
  HsCrashSuspect suspects[]
      = { { "guilty", guilty_age, 15 }, { "innocent", innocent_age, 18 } };
  HsCrashEvidence crash = { .service = "s",
                            .at = at,
                            .reserved = true,
                            .suspects = suspects,
                            .n_suspects = 2 };

  hs_containment_add_crash (containment, &crash, at);
}

static void
two_customers_that_crash_targets_both_stay_contained (void **state)
{
  uint32_t i;

  (void) state;
  contain_guilty ();
  for (i = 1; i < 12; i++)
    add_crash_of_both (T0 + i * 300 * HS_MSEC, AGE, 400 * HS_MSEC);
  for (i = 0; i < 3; i++)
    add_other_crash (T0 + (40 + i) * 100 * HS_MSEC, AGE);
  assert_true (hs_containment_is_contained (containment, innocent));
  add_crash_of_both (T0 + 4500 * HS_MSEC, AGE, 200 * HS_MSEC);
  add_crash_of_both (T0 + 4800 * HS_MSEC, 300 * HS_MSEC, AGE);
  assert_true (hs_containment_is_contained (containment, guilty));
  assert_true (hs_containment_is_contained (containment, innocent));
}

static void
one_contained_by_mistake_beside_another_is_released (void **state)
{
  uint32_t i;

  (void) state;
  contain_guilty ();
  for (i = 0; i < 3; i++)
    add_other_crash (T0 + (4 + i) * 100 * HS_MSEC, AGE);
  assert_true (hs_containment_is_contained (containment, innocent));
  for (i = 1; i < 12; i++)
    add_crash_of_both (T0 + (10 + i * 3) * 100 * HS_MSEC, AGE,
                       (100 + i * 67 % 300) * HS_MSEC);
  assert_true (hs_containment_is_contained (containment, guilty));
  assert_false (hs_containment_is_contained (containment, innocent));
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_customer_whose_tasks_crash_targets_is_contained),
    TEST (a_few_crashes_among_many_targets_contain_nobody),
    TEST (crashes_at_the_same_moment_count_once),
    TEST (silent_crashes_within_a_poll_count_once),
    TEST (crashes_seconds_apart_contain_nobody),
    TEST (old_crashes_in_any_order_contain_nobody_either),
    TEST (failing_hosts_seldom_contain_anybody),
    TEST (a_customer_is_released_after_enough_good_jobs),
    TEST (a_customer_without_jobs_is_released_at_last),
    TEST (a_crash_while_contained_starts_the_wait_anew),
    TEST (a_customer_that_crashes_targets_again_is_contained_longer),
    TEST (a_customer_that_has_no_part_in_later_crashes_is_released),
    TEST (a_crash_explained_by_a_contained_customer_is_no_evidence),
    TEST (two_customers_are_contained_one_after_the_other),
    TEST (two_customers_that_crash_targets_both_stay_contained),
    TEST (one_contained_by_mistake_beside_another_is_released),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
