/* A demand that is uneven between entries, simulated with the real scheduling
   modules of entries and agents: callers of a busy entry wait like others, and
   it can't starve calm ones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "load_world.h"

static double
entry_share (const LoadResult *result, unsigned int entry)
{
  return (double) result->entries[entry].in_time
         / result->entries[entry].submitted;
}

/* Compares the share served in time of one entry with the mean of the calm
   ones, which are all but the first. */
static void
compare_entry (const LoadPlan *plan,
               unsigned int entry,
               double least,
               double least_calm)
{
  LoadResult result = load_simulate (plan);
  double share = entry_share (&result, entry);
  double calm = 0;
  unsigned int e;

  for (e = 1; e < plan->n_entries; e++)
    calm += entry_share (&result, e) / (plan->n_entries - 1);
  printf ("seed %u: %.3f in time at entry %u, %.3f at the calm ones\n",
          plan->seed, share, entry, calm);
  assert_true (share > calm + least);
  assert_true (calm > least_calm);
  assert_int_equal (result.overcommitted, 0);
}

/* One of eight entries has 28% of a demand above the capacity. Its callers are
   served nearly as often as those of the others. */
static void
a_busy_entry_is_served_as_often_as_calm_ones (void **state)
{
  LoadPlan plan;
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < 2; seed++)
    {
      plan = load_plan_uneven (seed, 1.1);
      compare_entry (&plan, 0, -0.06, 0.8);
    }
  plan = load_plan_uneven (0, 1.4);
  compare_entry (&plan, 0, -0.06, 0.65);
}

/* Guards against an entry with two thirds of a demand above the capacity that
   takes the resources from those with a twentieth each. */
static void
a_busy_entry_cannot_starve_calm_ones (void **state)
{
  LoadPlan plan = load_plan_uneven (0, 1.4);
  unsigned int e;

  (void) state;
  plan.entry_permille[0] = 650;
  for (e = 1; e < plan.n_entries; e++)
    plan.entry_permille[e] = 50;
  compare_entry (&plan, 0, -0.15, 0.65);
}

/* Guards against an entry that is served less because it knows neither the
   targets nor its customers yet: it starts 2 s after the others. */
static void
a_new_entry_is_not_starved (void **state)
{
  LoadPlan plan = load_plan_uneven (0, 1.1);

  (void) state;
  plan.last_entry_from = 2 * HS_SEC;
  compare_entry (&plan, plan.n_entries - 1, -0.06, 0.8);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_busy_entry_is_served_as_often_as_calm_ones),
    cmocka_unit_test (a_busy_entry_cannot_starve_calm_ones),
    cmocka_unit_test (a_new_entry_is_not_starved),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
