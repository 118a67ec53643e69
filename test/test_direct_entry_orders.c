/* Orders of an entry to agents; the connection is a stub. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"
#include "direct/liveness.h"

static HsDirectEntry *entry;
static HsAgentLink link_to_agent;
static uint32_t target;
static uint32_t n_sent;
static uint64_t refs[8];
static HsTime stops_since; /* Of the last orders with stops. */
static char specs[8][8];

HsAgentLink *
hs_entry_links_at (HsDirectEntry *which, uint32_t handle)
{
  assert_int_equal (handle, target);
  return &which->links[0];
}

void
hs_entry_schedule (HsDirectEntry *which, bool dispatch)
{
  (void) which;
  (void) dispatch;
}

/* Notes each start and the spec that the agent will read with it. */
bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  const hsx_orders_args *orders = args;
  u_int i;
  u_int k;

  (void) conn;
  (void) timeout;
  (void) done;
  (void) arg;
  assert_int_equal (proc, HSX_ORDERS);
  if (orders->stops.stops_len > 0)
    stops_since = orders->stops_since_us;
  for (i = 0; i < orders->launches.launches_len; i++)
    {
      const hsx_launch *launch = &orders->launches.launches_val[i];

      for (k = 0; k < launch->tasks.tasks_len; k++)
        {
          refs[n_sent] = launch->tasks.tasks_val[k].ref;
          g_strlcpy (specs[n_sent++], launch->spec.spec_val, sizeof specs[0]);
        }
    }
  return true;
}

static int
set_up (void **state)
{
  (void) state;
  n_sent = 0;
  entry = talloc_zero (NULL, HsDirectEntry);
  entry->targets = hs_targets_new (entry);
  entry->jobs = hs_jobs_new (entry, entry->targets, "dc1", NULL, NULL);
  target = hs_targets_connect (entry->targets, 1, "dc1", HS_SEC);
  memset (&link_to_agent, 0, sizeof link_to_agent);
  link_to_agent.conn = (HsConn *) &link_to_agent;
  link_to_agent.reconciled = true;
  entry->links = &link_to_agent;
  entry->n_links = 1;
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  talloc_free (entry);
  return 0;
}

static void
launch (const char *id, const char *customer, const char *spec, uint64_t ref)
{
  hsx_launch_task task = { .ref = ref, .attempt = 1 };
  hsx_launch job = { .job = (char *) id,
                     .customer = (char *) customer,
                     .spec = { (u_int) strlen (spec) + 1, (char *) spec } };

  assert_int_equal (hs_entry_orders_launch (entry, target, &job, &task), 1);
}

/* Guards against a task that runs with the spec of another job: two jobs with
   one id are launched in one message. */
static void
each_start_has_the_spec_of_its_own_job (void **state)
{
  (void) state;
  launch ("aa", "c", "one", 1);
  launch ("aa", "c", "one", 2);
  launch ("aa", "c", "two", 3);
  launch ("aa", "d", "two", 4);
  hs_entry_orders_flush (entry, 2 * HS_SEC);
  assert_int_equal (n_sent, 4);
  assert_string_equal (specs[1], "one");
  assert_string_equal (specs[2], "two");
  assert_string_equal (specs[3], "two");
}

/* As above; the first job was cancelled before its launch was sent. */
static void
a_launch_that_was_taken_back_leaves_no_spec_behind (void **state)
{
  (void) state;
  launch ("aa", "c", "one", 1);
  hs_entry_orders_stop (entry, target, 1);
  launch ("aa", "c", "two", 2);
  hs_entry_orders_flush (entry, 2 * HS_SEC);
  assert_int_equal (n_sent, 1);
  assert_int_equal (refs[0], 2);
  assert_string_equal (specs[0], "two");
}

/** The agent's clock is this far ahead of the entry's. */
#define CLOCK_DIFFERENCE (77 * HS_SEC)

/** The entry stands still for just under a pause. */
#define STALL (HS_PAUSE_MIN - HS_MSEC)

/* Reads a report that the agent sent at @sent, on the entry's clock. */
static void
read_report (HsTime sent, HsTime now)
{
  hsx_report_args report = { .stamp_us = sent + CLOCK_DIFFERENCE };

  hs_entry_orders_note_report (&link_to_agent, &report, now);
  hs_targets_apply_report (entry->targets, target, &report, now);
}

/* Guards against a task that runs twice: the caller left while the entry stood
   still, and the agent renewed the lease as if it had left with the stop. A
   report that was sent in that time is read before the stop is sent. */
static void
a_stop_tells_since_when_its_caller_may_have_left (void **state)
{
  HsTime stalled_at = 2 * HS_SEC;
  HsTime now = stalled_at + STALL;

  (void) state;
  read_report (stalled_at - 5 * HS_MSEC, stalled_at);
  entry->callers_check.checked_until = stalled_at;
  read_report (stalled_at + STALL / 2, now);
  hs_entry_orders_stop (entry, target, 1);
  hs_entry_orders_flush (entry, now);
  assert_in_range (stops_since - CLOCK_DIFFERENCE, stalled_at - 20 * HS_MSEC,
                   stalled_at);
}

/* As above; the loop has caught up between two stops in one message. */
static void
the_earliest_stop_of_a_message_counts (void **state)
{
  HsTime stalled_at = 2 * HS_SEC;
  HsTime now = stalled_at + STALL;

  (void) state;
  read_report (stalled_at, stalled_at);
  entry->callers_check.checked_until = stalled_at;
  hs_entry_orders_stop (entry, target, 1);
  entry->callers_check.checked_until = now;
  hs_entry_orders_stop (entry, target, 2);
  hs_entry_orders_flush (entry, now);
  assert_in_range (stops_since - CLOCK_DIFFERENCE, stalled_at - 20 * HS_MSEC,
                   stalled_at);
}

#define TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (each_start_has_the_spec_of_its_own_job),
    TEST (a_launch_that_was_taken_back_leaves_no_spec_behind),
    TEST (a_stop_tells_since_when_its_caller_may_have_left),
    TEST (the_earliest_stop_of_a_message_counts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
