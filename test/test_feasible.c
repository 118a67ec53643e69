#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/feasible.h"

static const hsx_needs small = { 1024, 0 };
static const hsx_needs large = { 65536, 0 };
static const hsx_needs accelerated = { 2048, 2 };

static HsFeasibility
check (const HsFeasibleCapacities *feasible,
       uint32_t memory_mb,
       uint32_t accelerators)
{
  const hsx_needs needs = { memory_mb, accelerators };

  return hs_feasible_check (feasible, &needs, 0, HS_NEVER, 0);
}

static void
one_target_must_meet_all_needs (void **state)
{
  HsFeasibleCapacities *feasible = hs_feasible_new (NULL);

  (void) state;
  assert_int_equal (check (feasible, 1, 0), HS_FEASIBLE_NO_TARGETS);
  hs_feasible_add_target (feasible, &small);
  hs_feasible_add_target (feasible, &large);
  hs_feasible_add_target (feasible, &accelerated);
  assert_int_equal (check (feasible, 65536, 0), HS_FEASIBLE);
  assert_int_equal (check (feasible, 2048, 2), HS_FEASIBLE);
  assert_int_equal (check (feasible, 4096, 1), HS_FEASIBLE_TOO_LARGE);
  assert_int_equal (check (feasible, 65537, 0), HS_FEASIBLE_TOO_LARGE);
  talloc_free (feasible);
}

static void
removing_last_target_removes_capacity (void **state)
{
  HsFeasibleCapacities *feasible = hs_feasible_new (NULL);

  (void) state;
  hs_feasible_add_target (feasible, &large);
  hs_feasible_add_target (feasible, &large);
  hs_feasible_add_target (feasible, &small);
  hs_feasible_remove_target (feasible, &large);
  assert_int_equal (check (feasible, 4096, 0), HS_FEASIBLE);
  hs_feasible_remove_target (feasible, &large);
  assert_int_equal (check (feasible, 4096, 0), HS_FEASIBLE_TOO_LARGE);
  assert_int_equal (check (feasible, 1024, 0), HS_FEASIBLE);
  hs_feasible_remove_target (feasible, &small);
  assert_int_equal (check (feasible, 1, 0), HS_FEASIBLE_NO_TARGETS);
  talloc_free (feasible);
}

static void
missed_deadline_is_refused_with_tolerance (void **state)
{
  HsFeasibleCapacities *feasible = hs_feasible_new (NULL);

  (void) state;
  hs_feasible_add_target (feasible, &small);
  assert_int_equal (hs_feasible_check (feasible, &small, 0, 100, 100),
                    HS_FEASIBLE_TOO_LATE);
  assert_int_equal (hs_feasible_check (feasible, &small, 200, 200, 100),
                    HS_FEASIBLE);
  assert_int_equal (hs_feasible_check (feasible, &small, 202, 200, 100),
                    HS_FEASIBLE_TOO_LATE);
  talloc_free (feasible);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (one_target_must_meet_all_needs),
    cmocka_unit_test (removing_last_target_removes_capacity),
    cmocka_unit_test (missed_deadline_is_refused_with_tolerance),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
