/* Extreme loads, simulated with the real scheduling modules of entries and
   agents. The bounds are the users' requirements: under a light load all jobs
   are in time; a refusal takes at most a quarter of the objective; under a
   fault, at most a tenth of a message per task is wasted; every kind of jobs is
   served at least half as often as all jobs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "bench/queue_model.h"
#include "load_world.h"

#define SEEDS 3

static double
in_time_share (const LoadKindResult *kind)
{
  return (double) kind->in_time / kind->submitted;
}

static void
a_light_load_is_served_in_time (void **state)
{
  uint32_t seed;
  int k;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 95;
      result = load_simulate (&plan);
      for (k = 0; k < LOAD_KINDS; k++)
        assert_true (in_time_share (&result.kinds[k]) > 0.99);
      assert_int_equal (result.overcommitted, 0);
    }
}

static void
in_a_burst_refusals_are_quick_and_no_kind_of_job_starves (void **state)
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
      result = load_simulate (&plan);
      assert_int_equal (result.overcommitted, 0);
      for (k = 0; k < LOAD_KINDS; k++)
        {
          const LoadKindResult *kind = &result.kinds[k];

          assert_true (kind->mean_refusal_ms <= wait_ms[k]);
          assert_true (in_time_share (kind) > 0.5);
        }
    }
}

static void
few_launches_are_refused_when_entries_compete (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 180;
      result = load_simulate (&plan);
      /* A tenth of a message per task; a refused launch takes two messages. */
      printf ("seed %u: %u of %u launches refused\n", seed,
              result.refused_no_capacity, result.launches);
      assert_true (result.refused_no_capacity < result.launches / 5);
    }
}

static void
lost_answers_make_few_jobs_late (void **state)
{
  uint32_t seed;
  int k;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;
      unsigned int submitted = 0;
      unsigned int in_time = 0;

      plan.jobs_per_s = 95;
      plan.lost_answer_percent = 5;
      result = load_simulate (&plan);
      for (k = 0; k < LOAD_KINDS; k++)
        {
          submitted += result.kinds[k].submitted;
          in_time += result.kinds[k].in_time;
        }
      printf ("seed %u: %u of %u in time\n", seed, in_time, submitted);
      assert_true (in_time > submitted * 9 / 10);
      assert_int_equal (result.overcommitted, 0);
    }
}

static void
a_target_that_fails_at_once_gets_little_work (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 95;
      plan.n_failing = 1;
      result = load_simulate (&plan);
      printf ("seed %u: %u bad ends of %u launches\n", seed, result.bad_ends,
              result.launches);
      /* The target, one of eleven, gets at most a tenth of its share. */
      assert_true (result.bad_ends < result.launches / 110);
      assert_true (in_time_share (&result.kinds[2]) > 0.98);
    }
}

static void
a_hanging_target_gets_few_tasks (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.jobs_per_s = 95;
      plan.n_hanging = 1;
      result = load_simulate (&plan);
      printf ("seed %u: %u bad ends of %u launches\n", seed, result.bad_ends,
              result.launches);
      assert_true (result.bad_ends < result.launches / 110);
    }
}

static unsigned int
count_too_late (const LoadResult *result)
{
  unsigned int n = 0;
  int k;

  for (k = 0; k < LOAD_KINDS; k++)
    n += result->kinds[k].late + result->kinds[k].lost;
  return n;
}

/* Two targets become six times slower for 8 s. Three late jobs on each reveal
   it; after that each target gets a probing task after 0.3, 0.9, 2.1 and
   4.5 s. */
static void
targets_that_become_slow_make_few_jobs_late (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.faults_from = 4 * HS_SEC;
      plan.n_slow = 2;
      result = load_simulate (&plan);
      printf ("seed %u: %u too late\n", seed, count_too_late (&result));
      assert_true (count_too_late (&result) <= 2 * (3 + 4));
    }
}

/* All tasks on one target hang. They are started elsewhere while they can still
   be in time, and so are the tasks that probe the target later. */
static void
a_hanging_target_makes_few_jobs_late (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.faults_from = 4 * HS_SEC;
      plan.n_hanging = 1;
      result = load_simulate (&plan);
      printf ("seed %u: %u too late\n", seed, count_too_late (&result));
      assert_true (count_too_late (&result) <= 3);
    }
}

/* If the first runs end much earlier than expected, as on a faster target, the
   other targets must not count as slow. */
static void
a_fast_first_run_makes_no_target_count_as_slow (void **state)
{
  uint32_t seed;
  int k;

  (void) state;
  for (seed = 0; seed < 5; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;

      plan.fast_factor = 1.5;
      plan.central = true;
      result = load_simulate (&plan);
      for (k = 0; k < LOAD_KINDS; k++)
        assert_int_equal (result.kinds[k].refused, 0);
    }
}

/* At most one job in 200 more than a single queue that knows all run times. */
static void
a_burst_refuses_little_more_than_an_ideal_queue (void **state)
{
  uint32_t seed;
  int k;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = load_plan_default (seed);
      LoadResult result;
      LoadResult ideal;
      unsigned int submitted = 0;
      unsigned int refused = 0;
      unsigned int ideal_refused = 0;

      plan.burst = 1.8;
      plan.burst_from = 4 * HS_SEC;
      plan.burst_to = 8 * HS_SEC;
      result = load_simulate (&plan);
      ideal = queue_simulate (&plan, QUEUE_IDEAL);
      for (k = 0; k < LOAD_KINDS; k++)
        {
          submitted += result.kinds[k].submitted;
          refused += result.kinds[k].refused;
          ideal_refused += ideal.kinds[k].refused;
        }
      printf ("seed %u: %u refused of %u, the ideal %u\n", seed, refused,
              submitted, ideal_refused);
      assert_true (refused <= ideal_refused + submitted / 200);
    }
}

/* The users' day of tasks that crash their targets: a tenth of one customer's
   jobs for 7 s; targets are back after 3 s. */
static LoadPlan
plan_of_crashes (uint32_t seed, unsigned int kind)
{
  LoadPlan plan = load_plan_default (seed);

  plan.jobs_per_s = 120;
  plan.crash_kind = kind;
  plan.crash_percent = 10;
  plan.crash_from = 3 * HS_SEC;
  plan.crash_to = 10 * HS_SEC;
  plan.crash_delay = 10 * HS_MSEC;
  plan.down_time = 3 * HS_SEC;
  return plan;
}

/* A customer may take down a fifth of the targets at once, and two more until
   it is found out; the others hardly notice. */
static void
one_customer_cannot_take_down_all_targets (void **state)
{
  uint32_t seed;
  unsigned int kind;
  unsigned int k;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    for (kind = 0; kind < LOAD_KINDS; kind++)
      {
        LoadPlan plan = plan_of_crashes (seed, kind);
        LoadResult result = load_simulate (&plan);

        printf ("seed %u, %s: %u jobs crashed targets %u times, %u at once\n",
                seed, LOAD_KIND_NAMES[kind], result.crashing_jobs,
                result.crashes, result.down_max);
        for (k = 0; k < LOAD_KINDS; k++)
          printf ("  %s: %.3f in time\n", LOAD_KIND_NAMES[k],
                  in_time_share (&result.kinds[k]));
        assert_true (result.down_max <= plan.n_agents / 5 + 2);
        for (k = 0; k < LOAD_KINDS; k++)
          assert_true (k == kind || in_time_share (&result.kinds[k]) > 0.9);
      }
}

static void
a_task_crashes_at_most_two_targets (void **state)
{
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      LoadPlan plan = plan_of_crashes (seed, 1);
      LoadResult result;

      result = load_simulate (&plan);
      printf ("seed %u: %u jobs, at most %u crashes under one\n", seed,
              result.crashing_jobs, result.task_crashes_max);
      assert_true (result.crashing_jobs > 0);
      assert_true (result.task_crashes_max <= 2);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_light_load_is_served_in_time),
    cmocka_unit_test (in_a_burst_refusals_are_quick_and_no_kind_of_job_starves),
    cmocka_unit_test (few_launches_are_refused_when_entries_compete),
    cmocka_unit_test (lost_answers_make_few_jobs_late),
    cmocka_unit_test (a_target_that_fails_at_once_gets_little_work),
    cmocka_unit_test (a_hanging_target_gets_few_tasks),
    cmocka_unit_test (targets_that_become_slow_make_few_jobs_late),
    cmocka_unit_test (a_hanging_target_makes_few_jobs_late),
    cmocka_unit_test (a_fast_first_run_makes_no_target_count_as_slow),
    cmocka_unit_test (a_burst_refuses_little_more_than_an_ideal_queue),
    cmocka_unit_test (one_customer_cannot_take_down_all_targets),
    cmocka_unit_test (a_task_crashes_at_most_two_targets),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
