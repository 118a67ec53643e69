/* Agents of one host that connect to an entry; connections are stubs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"

typedef struct
{
  hsx_hello hello;
  void *data;
} Link;

static HsDirectEntry *entry;
static HsPlatformSettings settings;
static Link earlier;
static Link later;
static HsTime stops_since; /* Of the last orders with stops. */

static HsConn *
conn (Link *link)
{
  return (HsConn *) (void *) link;
}

const hsx_hello *
hs_conn_peer (const HsConn *which)
{
  return &((const Link *) (const void *) which)->hello;
}

void
hs_conn_set_data (HsConn *which, void *data)
{
  ((Link *) (void *) which)->data = data;
}

void *
hs_conn_data (const HsConn *which)
{
  return ((const Link *) (const void *) which)->data;
}

void
hs_conn_close (HsConn *which)
{
  (void) which;
}

bool
hs_conn_call (HsConn *which,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  const hsx_orders_args *orders = args;

  if (proc == HSX_ORDERS && orders->stops.stops_len > 0)
    stops_since = orders->stops_since_us;
  (void) which;
  (void) timeout;
  (void) done;
  (void) arg;
  return true;
}

bool
hs_conn_reply (HsConn *which,
               HsRpcCallId call,
               uint32_t proc,
               const void *result)
{
  (void) which;
  (void) call;
  (void) proc;
  (void) result;
  return true;
}

HsConn *
hs_rpc_dial (HsRpc *rpc, const char *address)
{
  (void) rpc;
  (void) address;
  return NULL;
}

void
hs_entry_schedule (HsDirectEntry *which, bool dispatch)
{
  (void) which;
  (void) dispatch;
}

static void
effect_stop (void *arg, uint32_t target, uint64_t ref)
{
  hs_entry_orders_stop (arg, target, ref);
}

static const HsJobsEffects EFFECTS = { .stop = effect_stop };

static void
connect_agent (Link *link, uint64_t incarnation)
{
  *link = (Link){ .hello = { .role = HSX_ROLE_AGENT,
                             .incarnation = incarnation,
                             .address = (char *) "10.0.0.2:7000",
                             .data_centre = (char *) "dc" } };
  hs_entry_links_connected (entry, conn (link));
}

static void
report (Link *link, hsx_target_state state)
{
  static int64_t stamp_us;
  hsx_target_info info = { .name = (char *) "t",
                           .service = (char *) "s",
                           .rack = (char *) "r",
                           .host = (char *) "h" };
  hsx_report_args args = { .agent = link->hello.incarnation,
                           .stamp_us = ++stamp_us,
                           .state = state,
                           .info = &info,
                           .whole = TRUE };

  hs_entry_links_handle_call (entry, conn (link), HSX_REPORT, 0, &args);
}

static bool
is_known (const Link *link)
{
  uint32_t i;

  for (i = 0; i < hs_targets_table_size (entry->targets); i++)
    if (hs_targets_get (entry->targets, i)->in_use
        && hs_targets_get (entry->targets, i)->agent_incarnation
               == link->hello.incarnation)
      return true;
  return false;
}

static int
set_up (void **state)
{
  (void) state;
  entry = talloc_zero (NULL, HsDirectEntry);
  entry->settings = &settings;
  settings.control_listen = (char *) "10.0.0.1:7000";
  entry->incarnation = 99;
  entry->targets = hs_targets_new (entry);
  entry->jobs = hs_jobs_new (entry, entry->targets, "dc", &EFFECTS, entry);
  entry->dialer = hs_dialer_new (entry, NULL, NULL);
  connect_agent (&earlier, 1);
  report (&earlier, HSX_TARGET_MUTE);
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
a_restarted_agent_replaces_its_predecessor (void **state)
{
  (void) state;
  hs_entry_links_disconnected (entry, conn (&earlier));
  connect_agent (&later, 2);
  report (&later, HSX_TARGET_UNKNOWN);
  assert_true (is_known (&earlier));
  report (&later, HSX_TARGET_READY);
  assert_false (is_known (&earlier));
}

/* Guards against a task that runs twice: the last reports of an agent that has
   ended arrive late, when the connection to its successor is broken. Its tasks
   go on. */
static void
a_late_report_of_an_earlier_agent_ends_no_tasks (void **state)
{
  (void) state;
  connect_agent (&later, 2);
  report (&later, HSX_TARGET_READY);
  hs_entry_links_disconnected (entry, conn (&later));
  report (&earlier, HSX_TARGET_READY);
  assert_true (is_known (&later));
}

/* Reads a report that is sent now, by a clock like the entry's.
   @orders_seen: number of the last orders that the agent has read
   @held: a start that the agent holds; 0: not the first report */
static void
report_now (uint32_t orders_seen, uint64_t held)
{
  hsx_report_args args = { .agent = 1,
                           .stamp_us = hs_now ().mono,
                           .orders_seen = orders_seen,
                           .state = HSX_TARGET_READY,
                           .whole = held != 0,
                           .held = { held != 0, &held } };

  hs_entry_links_handle_call (entry, conn (&earlier), HSX_REPORT, 0, &args);
}

/* Guards against a task that runs twice: a stop was lost with its connection.
   The agent renewed the lease as if the caller had left when the connection
   was there again. */
static void
a_stop_sent_again_tells_since_when_it_may_have_been_lost (void **state)
{
  HsTime began = hs_now ().mono;

  (void) state;
  report_now (0, 0);
  entry->callers_check.checked_until = began;
  hs_entry_orders_flush (entry, began);
  entry->callers_check.checked_until = began + 200 * HS_MSEC;
  hs_entry_orders_flush (entry, began + 200 * HS_MSEC);
  report_now (1, 0);
  hs_entry_links_disconnected (entry, conn (&earlier));
  connect_agent (&earlier, 1);
  entry->callers_check.checked_until = began + 500 * HS_MSEC;
  report_now (0, 9);
  hs_entry_orders_flush (entry, began + 500 * HS_MSEC);
  assert_in_range (stops_since, began - 20 * HS_MSEC, began + 20 * HS_MSEC);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_restarted_agent_replaces_its_predecessor,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        a_late_report_of_an_earlier_agent_ends_no_tasks, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        a_stop_sent_again_tells_since_when_it_may_have_been_lost, set_up,
        tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
