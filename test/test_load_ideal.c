#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "load/ideal.h"

static void
free_slots_run_all_tasks_at_once (void **state)
{
  static const uint32_t run_ms[] = { 50, 70, 30 };
  IdealJob job = { .arrival = 5 * HS_SEC, .run_ms = run_ms, .n_tasks = 3 };

  (void) state;
  ideal_run (&job, 1, 3);
  assert_int_equal (job.response, 70 * HS_MSEC);
}

static void
short_jobs_go_first (void **state)
{
  static const uint32_t first[] = { 100, 40, 30 };
  static const uint32_t second[] = { 10 };
  IdealJob jobs[] = {
    { .arrival = 0, .run_ms = first, .n_tasks = 3 },
    { .arrival = 5 * HS_MSEC, .run_ms = second, .n_tasks = 1 },
    { .arrival = 500 * HS_MSEC, .run_ms = second, .n_tasks = 1 },
  };

  (void) state;
  /* Slot 1 runs the task of 100 until 100. Slot 2 runs 40 until 40, then the
     second job until 50, and then 30 until 80. */
  ideal_run (jobs, 3, 2);
  assert_int_equal (jobs[0].response, 100 * HS_MSEC);
  assert_int_equal (jobs[1].response, 45 * HS_MSEC);
  assert_int_equal (jobs[2].response, 10 * HS_MSEC);
}

static void
customers_share_the_slots (void **state)
{
  static const uint32_t many[] = { 10, 10, 10, 10 };
  static const uint32_t one[] = { 60 };
  IdealJob jobs[] = {
    { .arrival = 0, .customer = 0, .run_ms = many, .n_tasks = 4 },
    { .arrival = 1 * HS_MSEC, .customer = 1, .run_ms = one, .n_tasks = 1 },
  };

  (void) state;
  /* The second customer is next, although its job is longer. */
  ideal_run (jobs, 2, 1);
  assert_int_equal (jobs[1].response, 69 * HS_MSEC);
  assert_int_equal (jobs[0].response, 100 * HS_MSEC);
}

static void
many_slots_free_in_order (void **state)
{
  /* Seven slots, 14 tasks: the last seven start as slots become free. */
  static const uint32_t run_ms[]
      = { 70, 10, 60, 20, 50, 30, 40, 1, 2, 3, 4, 5, 6, 7 };
  IdealJob job = { .arrival = 0, .run_ms = run_ms, .n_tasks = 14 };
  IdealJob alone = { .arrival = 0, .run_ms = run_ms, .n_tasks = 14 };

  (void) state;
  ideal_run (&job, 1, 7);
  /* The tasks of 1 to 4 ms run one after another in the slot that is free
     from 10 ms on. */
  assert_int_equal (job.response, 70 * HS_MSEC);
  ideal_run (&alone, 1, 1);
  assert_int_equal (alone.response, 309 * HS_MSEC - HS_MSEC);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (free_slots_run_all_tasks_at_once),
    cmocka_unit_test (short_jobs_go_first),
    cmocka_unit_test (customers_share_the_slots),
    cmocka_unit_test (many_slots_free_in_order),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
