/* Loads at their worst, replayed through the deciding modules. Bounds are the
   users' or the brief's: the aim for calm days is all in time, for refusals at
   most a quarter of the objective; a tenth of a message wasted a task under a
   fault; a kind is served at least half as often as all. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "load_world.h"

#define SEEDS 3

static double
share_in_time (const LoadKind *kind)
{
  return (double) kind->in_time / kind->asked;
}

static void
a_calm_load_is_served_in_time (void **state)
{
  uint32_t seed;
  int k;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 95;
      result = load_play (&plan);
      for (k = 0; k < LOAD_KINDS; k++)
        assert_true (share_in_time (&result.kinds[k]) > 0.99);
      assert_int_equal (result.overfilled, 0);
    }
}

static void
in_a_burst_refusals_are_quick_and_no_kind_starves (void **state)
{
  /* A quarter of the objective of a mean job of each kind. */
  static const double wait_ms[LOAD_KINDS] = { 55, 470, 105 };
  uint32_t seed;
  int k;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.burst = 1.8;
      plan.burst_from = 4 * HS_SEC;
      plan.burst_to = 8 * HS_SEC;
      result = load_play (&plan);
      assert_int_equal (result.overfilled, 0);
      for (k = 0; k < LOAD_KINDS; k++)
        {
          const LoadKind *kind = &result.kinds[k];

          assert_true (kind->waited_ms <= wait_ms[k]);
          assert_true (share_in_time (kind) > 0.5);
        }
    }
}

static void
entries_do_not_waste_launches_on_room_that_others_take (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 180;
      result = load_play (&plan);
      /* Twice a tenth of a message a task: there and back. */
      printf ("seed %u: %u of %u launches refused\n", seed, result.refused_room,
              result.launches);
      assert_true (result.refused_room < result.launches / 5);
    }
}

static void
answers_that_are_lost_make_few_jobs_late (void **state)
{
  uint32_t seed;
  int k;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;
      unsigned int asked = 0;
      unsigned int in_time = 0;

      plan.jobs_per_s = 95;
      plan.lost_percent = 5;
      result = load_play (&plan);
      for (k = 0; k < LOAD_KINDS; k++)
        {
          asked += result.kinds[k].asked;
          in_time += result.kinds[k].in_time;
        }
      printf ("seed %u: %u of %u in time\n", seed, in_time, asked);
      assert_true (in_time > asked * 9 / 10);
      assert_int_equal (result.overfilled, 0);
    }
}

static void
a_target_that_fails_at_once_draws_no_work (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 95;
      plan.failing = 1;
      result = load_play (&plan);
      printf ("seed %u: %u bad ends of %u launches\n", seed, result.bad_ends,
              result.launches);
      /* One in eleven targets; it gets a tenth of its share at most. */
      assert_true (result.bad_ends < result.launches / 110);
      assert_true (share_in_time (&result.kinds[2]) > 0.98);
    }
}

static void
a_target_that_hangs_holds_few_tasks (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 95;
      plan.hanging = 1;
      result = load_play (&plan);
      printf ("seed %u: %u bad ends of %u launches\n", seed, result.bad_ends,
              result.launches);
      assert_true (result.bad_ends < result.launches / 110);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_calm_load_is_served_in_time),
    cmocka_unit_test (in_a_burst_refusals_are_quick_and_no_kind_starves),
    cmocka_unit_test (entries_do_not_waste_launches_on_room_that_others_take),
    cmocka_unit_test (answers_that_are_lost_make_few_jobs_late),
    cmocka_unit_test (a_target_that_fails_at_once_draws_no_work),
    cmocka_unit_test (a_target_that_hangs_holds_few_tasks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
