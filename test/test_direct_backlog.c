/* To how many agents an entry reports its backlog. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "direct/backlog.h"

/* Guards against an entry with a long queue that competes for the resources of
   a third of the agents only. */
static void
a_long_queue_asks_as_many_agents_as_tasks_wait (void **state)
{
  (void) state;
  assert_true (hs_backlog_should_report (false, HS_BACKLOG_AGENTS_MIN, 50));
  assert_true (hs_backlog_should_report (false, 49, 50));
  assert_false (hs_backlog_should_report (false, 50, 50));
}

/* Guards against a single waiting task that waits for one busy agent. */
static void
one_task_asks_several_agents (void **state)
{
  (void) state;
  assert_true (hs_backlog_should_report (false, HS_BACKLOG_AGENTS_MIN - 1, 1));
  assert_false (hs_backlog_should_report (false, HS_BACKLOG_AGENTS_MIN, 1));
  assert_false (hs_backlog_should_report (false, 0, 0));
}

/* Guards against an entry whose queue has shrunk and that withholds offers of
   all agents from the others. */
static void
a_shrunk_queue_asks_fewer_agents (void **state)
{
  (void) state;
  assert_true (hs_backlog_should_report (true, 50, 50));
  assert_false (hs_backlog_should_report (true, 50, 37));
  assert_true (hs_backlog_should_report (true, HS_BACKLOG_AGENTS_MIN, 1));
  assert_false (hs_backlog_should_report (true, 1, 0));
}

/* Guards against orders to ask and dismiss agents with each small change of the
   queue. */
static void
a_slightly_shorter_queue_asks_as_many_agents (void **state)
{
  (void) state;
  assert_true (hs_backlog_should_report (true, 50, 38));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_long_queue_asks_as_many_agents_as_tasks_wait),
    cmocka_unit_test (one_task_asks_several_agents),
    cmocka_unit_test (a_slightly_shorter_queue_asks_as_many_agents),
    cmocka_unit_test (a_shrunk_queue_asks_fewer_agents),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
