/* Tasks that crash their targets, seen by the owner of their customer. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "owner_fixture.h"

#define N_AGENTS 10

static OwnerFixture *f;
static char *id;

static int
setup (void **state)
{
  uint64_t agent;

  (void) state;
  f = fixture_new ();
  fixture_acquire (f, EPOCH, 0);
  for (agent = AGENT; agent < AGENT + N_AGENTS; agent++)
    {
      fixture_add_agent (f, agent);
      fixture_recover_reply (f, agent, NULL, 0);
    }
  id = fixture_new_id (f, 0, 1);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  fixture_free (f);
  return 0;
}

/* The target of an agent crashes 10 ms after the start of a task of
   @customer. */
static void
crash_target (uint64_t agent, const char *customer)
{
  hsx_crash_customer suspect = { (char *) customer, 10000, 1000 };
  hsx_crash crash = { .agent = agent,
                      .number = 1,
                      .service = (char *) "",
                      .host = (char *) "",
                      .customers = { 1, &suspect } };

  hs_owner_target_crashed (f->owner, &crash, f->now);
}

static guint
count_agents_used (void)
{
  bool used[N_AGENTS] = { false };
  guint n = 0;
  guint i;

  for (i = 0; i < f->starts->len; i++)
    used[fixture_sent_start (f, i)->agent - AGENT] = true;
  for (i = 0; i < N_AGENTS; i++)
    n += used[i];
  return n;
}

static void
a_customer_whose_tasks_crash_targets_is_served_on_a_fifth_of_them (void **state)
{
  (void) state;
  crash_target (AGENT, "c");
  fixture_advance (f, 100 * HS_MSEC);
  crash_target (AGENT + 1, "c");
  assert_int_equal (hs_owner_stats (f->owner)->contained, 1);
  fixture_submit (f, id, 30, 'x');
  fixture_advance (f, HS_SEC);
  assert_int_equal (f->starts->len, 2 * SLOTS);
  assert_int_equal (count_agents_used (), 2);
}

static void
others_avoid_the_targets_of_a_contained_customer (void **state)
{
  (void) state;
  crash_target (AGENT, "d");
  fixture_advance (f, 100 * HS_MSEC);
  crash_target (AGENT + 1, "d");
  fixture_submit (f, id, 50, 'x');
  fixture_advance (f, HS_SEC);
  assert_int_equal (count_agents_used (), 8);
  assert_int_equal (f->starts->len, 8 * SLOTS);
}

static void
a_single_crash_changes_nothing (void **state)
{
  (void) state;
  crash_target (AGENT, "c");
  fixture_submit (f, id, 50, 'x');
  fixture_advance (f, HS_SEC);
  assert_int_equal (count_agents_used (), N_AGENTS);
}

static void
a_customer_is_served_everywhere_again_after_good_tasks (void **state)
{
  guint i;

  (void) state;
  crash_target (AGENT, "c");
  fixture_advance (f, 100 * HS_MSEC);
  crash_target (AGENT + 1, "c");
  fixture_submit (f, id, 12, 'x');
  for (i = 0; i < 12; i++)
    {
      fixture_send_result (f, fixture_sent_start (f, i), HSX_DONE,
                           HSX_REFUSAL_NONE, "b");
      fixture_advance (f, 60 * HS_MSEC);
    }
  fixture_advance (f, 2 * HS_SEC);
  fixture_submit (f, fixture_new_id (f, 0, 2), 50, 'y');
  fixture_advance (f, HS_SEC);
  assert_int_equal (count_agents_used (), N_AGENTS);
}

static void
a_task_whose_target_crashed_is_never_started_again (void **state)
{
  HsWaiter first = fixture_submit (f, id, 1, 'x');
  HsWaiter again;

  (void) state;
  assert_int_equal (f->starts->len, 1);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_MAYBE,
                       HSX_REFUSAL_NONE, "");
  assert_int_equal (fixture_answer (f, first)->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  again = fixture_submit (f, id, 1, 'x');
  fixture_advance (f, HS_SEC);
  assert_int_equal (fixture_answer (f, again)->tasks[0], HSX_TASK_MAY_HAVE_RUN);
  assert_int_equal (f->starts->len, 1);
}

/* The entry that started it was lost; the agent reports what became of it. */
static void
a_task_whose_target_crashed_is_not_started_after_a_takeover (void **state)
{
  OwnerFixture *next = fixture_new ();
  hsx_result record;
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (next, AGENT);
  fixture_acquire (next, EPOCH + 1, EPOCH);
  record = fixture_record (id, 0, HSX_MAYBE);
  fixture_recover_reply (next, AGENT, &record, 1);
  fixture_advance (next, 3 * HS_SEC);
  waiter = fixture_submit (next, id, 1, 'x');
  fixture_advance (next, HS_SEC);
  assert_int_equal (next->starts->len, 0);
  assert_int_equal (fixture_answer (next, waiter)->tasks[0],
                    HSX_TASK_MAY_HAVE_RUN);
  fixture_free (next);
}

int
main (void)
{
#define TEST(t) cmocka_unit_test_setup_teardown (t, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (a_customer_whose_tasks_crash_targets_is_served_on_a_fifth_of_them),
    TEST (others_avoid_the_targets_of_a_contained_customer),
    TEST (a_single_crash_changes_nothing),
    TEST (a_customer_is_served_everywhere_again_after_good_tasks),
    TEST (a_task_whose_target_crashed_is_never_started_again),
    TEST (a_task_whose_target_crashed_is_not_started_after_a_takeover),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
