#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/fair_queue.h"
#include "policy/random.h"

#define N_TASKS 2000

/* The decisions returned by the callback. */
typedef struct
{
  HsStartDecision by_flow[4];
  HsTime ready_at;
  uint32_t deferred_task; /* HS_START_DEFER_JOB is returned for this task. */
  uint32_t n_calls;
} Decisions;

static HsStartDecision
decide (void *arg, uint32_t flow, uint32_t task, HsTime now, HsTime *ready_at)
{
  Decisions *decisions = arg;

  (void) now;
  decisions->n_calls++;
  *ready_at = decisions->ready_at;
  if (task == decisions->deferred_task)
    return HS_START_DEFER_JOB;
  return decisions->by_flow[flow];
}

static void
push_range (HsFairQueue *q,
            uint32_t flow,
            HsTime now,
            uint32_t first,
            uint32_t n)
{
  uint32_t tasks[N_TASKS];
  uint32_t i;

  for (i = 0; i < n; i++)
    tasks[i] = first + i;
  hs_fair_queue_push (q, flow, now, n, tasks, NULL);
}

static int
setup (void **state)
{
  Decisions *decisions = talloc_zero (NULL, Decisions);

  decisions->ready_at = HS_NEVER;
  decisions->deferred_task = UINT32_MAX;
  *state = decisions;
  return 0;
}

static int
teardown (void **state)
{
  talloc_free (*state);
  return 0;
}

static void
shares_follow_weights (void **state)
{
  HsFairQueue *q = hs_fair_queue_new (*state, HS_JOBS_EARLIEST_END);
  uint32_t light = hs_fair_queue_add_flow (q, 1);
  uint32_t heavy = hs_fair_queue_add_flow (q, 3);
  uint32_t counts[2] = { 0 };
  HsPoppedTask popped;
  int i;

  push_range (q, light, 0, 0, 390);
  push_range (q, heavy, 0, 390, 390);
  assert_int_equal (hs_fair_queue_ready_weight (q), 4);
  for (i = 0; i < 400; i++)
    {
      assert_true (hs_fair_queue_pop (q, 0, decide, *state, &popped));
      counts[popped.flow]++;
    }
  assert_in_range (counts[light], 99, 101);
  assert_in_range (counts[heavy], 299, 301);
}

static void
actual_run_times_are_charged (void **state)
{
  HsFairQueue *q = hs_fair_queue_new (*state, HS_JOBS_FIFO);
  uint32_t slow = hs_fair_queue_add_flow (q, 1);
  uint32_t quick = hs_fair_queue_add_flow (q, 1);
  HsTime used[2] = { 0 };
  HsPoppedTask popped;
  int i;

  push_range (q, slow, 0, 0, 1000);
  push_range (q, quick, 0, 1000, 1000);
  for (i = 0; i < 800; i++)
    {
      HsTime run;

      assert_true (hs_fair_queue_pop (q, 0, decide, *state, &popped));
      run = popped.flow == slow ? 900 * HS_MSEC : 100 * HS_MSEC;
      used[popped.flow] += run;
      hs_fair_queue_task_ended (q, popped.flow, 0, popped.charged, run);
    }
  assert_in_range (used[slow] * 100 / used[quick], 90, 110);
}

static void
new_flow_is_served_next (void **state)
{
  HsFairQueue *q = hs_fair_queue_new (*state, HS_JOBS_EARLIEST_END);
  uint32_t burst = hs_fair_queue_add_flow (q, 1);
  uint32_t other = hs_fair_queue_add_flow (q, 1);
  HsPoppedTask popped;
  int i;

  push_range (q, burst, 0, 0, 390);
  for (i = 0; i < 100; i++)
    assert_true (hs_fair_queue_pop (q, 0, decide, *state, &popped));
  push_range (q, other, 0, 1000, 1);
  assert_true (hs_fair_queue_pop (q, 0, decide, *state, &popped));
  assert_true (hs_fair_queue_pop (q, 0, decide, *state, &popped)
               && hs_fair_queue_flow_length (q, other) == 0);
}

static void
limited_flow_blocks_no_other (void **state)
{
  Decisions *decisions = *state;
  HsFairQueue *q = hs_fair_queue_new (decisions, HS_JOBS_EARLIEST_END);
  uint32_t limited = hs_fair_queue_add_flow (q, 1);
  uint32_t free_flow = hs_fair_queue_add_flow (q, 1);
  HsPoppedTask popped;
  int i;

  decisions->by_flow[limited] = HS_START_DEFER_FLOW;
  decisions->ready_at = 5 * HS_SEC;
  push_range (q, limited, 0, 0, 10);
  push_range (q, free_flow, 0, 10, 100);
  for (i = 0; i < 100; i++)
    {
      assert_true (hs_fair_queue_pop (q, i, decide, decisions, &popped));
      assert_int_equal (popped.flow, free_flow);
    }
  assert_int_equal (decisions->n_calls, 101);
  assert_int_equal (hs_fair_queue_ready_length (q), 0);
  assert_int_equal (hs_fair_queue_length (q), 10);
  assert_int_equal (hs_fair_queue_ready_weight (q), 0);
  assert_false (hs_fair_queue_pop (q, HS_SEC, decide, decisions, &popped));
  assert_true (hs_fair_queue_wake_at (q) == 5 * HS_SEC);
  decisions->by_flow[limited] = HS_START_TASK;
  assert_true (hs_fair_queue_pop (q, 5 * HS_SEC, decide, decisions, &popped));
  decisions->by_flow[limited] = HS_START_DEFER_FLOW;
  decisions->ready_at = HS_NEVER;
  assert_false (hs_fair_queue_pop (q, 5 * HS_SEC, decide, decisions, &popped));
  decisions->by_flow[limited] = HS_START_TASK;
  assert_false (hs_fair_queue_pop (q, 6 * HS_SEC, decide, decisions, &popped));
  hs_fair_queue_wake_flow (q, limited);
  assert_true (hs_fair_queue_pop (q, 6 * HS_SEC, decide, decisions, &popped));
}

static void
job_without_credit_blocks_no_other (void **state)
{
  Decisions *decisions = *state;
  HsFairQueue *q = hs_fair_queue_new (decisions, HS_JOBS_FIFO);
  uint32_t flow = hs_fair_queue_add_flow (q, 1);
  HsPoppedTask popped;

  decisions->deferred_task = 7;
  push_range (q, flow, 0, 7, 1);
  push_range (q, flow, 1, 8, 1);
  assert_true (hs_fair_queue_pop (q, 2, decide, decisions, &popped));
  assert_int_equal (popped.task, 8);
  assert_false (hs_fair_queue_pop (q, 2, decide, decisions, &popped));
  assert_int_equal (hs_fair_queue_ready_length (q), 0);
  decisions->deferred_task = UINT32_MAX;
  hs_fair_queue_wake_jobs (q);
  assert_int_equal (hs_fair_queue_ready_length (q), 1);
  assert_true (hs_fair_queue_pop (q, 2, decide, decisions, &popped));
  assert_int_equal (popped.task, 7);
}

static void
small_jobs_overtake_large_ones_for_a_while (void **state)
{
  HsFairQueue *q = hs_fair_queue_new (*state, HS_JOBS_EARLIEST_END);
  uint32_t flow = hs_fair_queue_add_flow (q, 1);
  HsPoppedTask popped;

  push_range (q, flow, 0, 0, 390);
  push_range (q, flow, HS_SEC, 500, 1);
  push_range (q, flow, 100 * HS_SEC, 600, 1);
  assert_true (hs_fair_queue_pop (q, 100 * HS_SEC, decide, *state, &popped));
  assert_int_equal (popped.task, 500);
  assert_true (hs_fair_queue_pop (q, 100 * HS_SEC, decide, *state, &popped));
  assert_int_equal (popped.task, 0);
}

static void
round_robin_serves_jobs_in_turn (void **state)
{
  HsFairQueue *q = hs_fair_queue_new (*state, HS_JOBS_ROUND_ROBIN);
  uint32_t flow = hs_fair_queue_add_flow (q, 1);
  uint32_t counts[2] = { 0 };
  HsPoppedTask popped;
  int i;

  push_range (q, flow, 0, 0, 100);
  push_range (q, flow, 0, 100, 100);
  for (i = 0; i < 100; i++)
    {
      assert_true (hs_fair_queue_pop (q, 0, decide, *state, &popped));
      counts[popped.task / 100]++;
    }
  assert_in_range (counts[0], 49, 51);
}

/* Compares random pushes, pops and removals with a plain table of the waiting
 * tasks. */
static void
no_task_is_lost_or_popped_twice (void **state)
{
  Decisions *decisions = *state;
  HsFairQueue *q = hs_fair_queue_new (decisions, HS_JOBS_EARLIEST_END);
  bool waits[N_TASKS] = { false };
  uint64_t random = 42;
  uint32_t n = 0;
  HsPoppedTask popped;
  HsTime now;

  hs_fair_queue_add_flow (q, 1);
  hs_fair_queue_add_flow (q, 5);
  hs_fair_queue_add_flow (q, 9);
  for (now = 0; now < 50000; now++)
    {
      uint32_t task = hs_random_below (&random, N_TASKS);
      uint32_t flow = hs_random_below (&random, 3);

      decisions->by_flow[flow] = hs_random_below (&random, HS_START_NONE + 1);
      decisions->ready_at = now + 20;
      if (!waits[task])
        {
          push_range (q, flow, now, task, 1);
          n++;
          waits[task] = true;
        }
      else if (flow == 0)
        {
          assert_true (hs_fair_queue_remove (q, task));
          n--;
          waits[task] = false;
        }
      if (hs_fair_queue_pop (q, now, decide, decisions, &popped))
        {
          assert_true (waits[popped.task]);
          waits[popped.task] = false;
          n--;
        }
      assert_int_equal (hs_fair_queue_length (q), n);
      assert_true (hs_fair_queue_ready_length (q) <= n);
    }
  decisions->by_flow[0] = decisions->by_flow[1] = decisions->by_flow[2]
      = HS_START_TASK;
  while (hs_fair_queue_pop (q, now + HS_SEC, decide, decisions, &popped))
    n--;
  assert_int_equal (n, 0);
  assert_int_equal (hs_fair_queue_ready_weight (q), 0);
  assert_int_equal (hs_fair_queue_ready_length (q), 0);
  assert_false (hs_fair_queue_remove (q, 0));
  assert_true (hs_fair_queue_remove_flow (q, 1));
  assert_int_equal (hs_fair_queue_add_flow (q, 2), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (shares_follow_weights),
    cmocka_unit_test (actual_run_times_are_charged),
    cmocka_unit_test (new_flow_is_served_next),
    cmocka_unit_test (limited_flow_blocks_no_other),
    cmocka_unit_test (job_without_credit_blocks_no_other),
    cmocka_unit_test (small_jobs_overtake_large_ones_for_a_while),
    cmocka_unit_test (round_robin_serves_jobs_in_turn),
    cmocka_unit_test (no_task_is_lost_or_popped_twice),
  };
  struct CMUnitTest with_state[sizeof tests / sizeof tests[0]];
  size_t i;

  for (i = 0; i < sizeof tests / sizeof tests[0]; i++)
    {
      with_state[i] = tests[i];
      with_state[i].setup_func = setup;
      with_state[i].teardown_func = teardown;
    }
  return cmocka_run_group_tests (with_state, NULL, NULL);
}
