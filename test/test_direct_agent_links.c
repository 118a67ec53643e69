/* Tests when an agent drops an entry that is unresponsive or disconnected, also
   after a pause of the agent itself. Connections are stubs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/time.h"
#include "direct/agent_private.h"
#include "direct/liveness.h"

#define AGENT 77
#define ENTRY 5

static HsDirectAgent *agent;
static HsPlatformSettings settings;
static hsx_hello hello;
static void *conn_data;
static uint32_t n_closed;
static uint32_t n_stops;
static int conn_storage;
static uint32_t polls_pending;
static uint32_t last_poll_number;
static hsx_target_state last_report_state;
static uint32_t reported_capacity_milli; /* Last one reported. */
static unsigned int reported_warmup_ms;  /* The same. */
static uint32_t n_crash_reports;
static uint32_t n_to_pass_on; /* Of these. */
static char crash_customer[16];
static uint32_t n_reports;
static uint32_t n_ends_reported;
static HsRefusal last_end_reason;
static uint32_t whole_report;  /* Number of the last one that lists all. */
static int64_t lease_until_ms; /* The target's clock is 0 in setup(). */

static HsConn *
conn (void)
{
  return (HsConn *) (void *) &conn_storage;
}

const hsx_hello *
hs_conn_peer (const HsConn *which)
{
  (void) which;
  return &hello;
}

void
hs_conn_set_data (HsConn *which, void *data)
{
  (void) which;
  conn_data = data;
}

void *
hs_conn_data (const HsConn *which)
{
  (void) which;
  return conn_data;
}

void
hs_conn_close (HsConn *which)
{
  (void) which;
  n_closed++;
}

bool
hs_conn_call (HsConn *which,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  (void) which;
  (void) timeout;
  (void) done;
  (void) arg;
  if (proc == HSX_REPORT)
    {
      const hsx_report_args *report = args;

      last_report_state = report->state;
      reported_warmup_ms = report->warmup_left_ms;
      n_reports++;
      n_ends_reported += report->ends.ends_len;
      if (report->whole)
        whole_report = n_reports;
      if (report->info != NULL)
        reported_capacity_milli = report->info->capacity.cpu_milli;
      if (report->crash != NULL)
        {
          n_crash_reports++;
          n_to_pass_on += report->crash->pass_on;
          g_strlcpy (crash_customer,
                     report->crash->customers.customers_val[0].name,
                     sizeof crash_customer);
        }
    }
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
hs_direct_agent_schedule (HsDirectAgent *which)
{
  (void) which;
}

static void
on_start (void *arg, uint32_t run, const HsTargetStart *start)
{
  (void) arg;
  (void) start;
  hs_runs_start_done (agent->runs, run, HS_TARGET_OK, hs_now ().mono);
}

static void
on_forget (void *arg, uint32_t run)
{
  (void) arg;
  (void) run;
}

static void
on_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  (void) arg;
  (void) key;
  (void) token;
  n_stops++;
}

static void
on_poll (void *arg, const HsTargetPoll *request)
{
  (void) arg;
  polls_pending++;
  last_poll_number = request->number;
  if (request->renews_lease)
    lease_until_ms = request->lease_until_ms;
}

static void
on_ended (void *arg, uint32_t entry, const HsRunKey *key, const hsx_end *end)
{
  (void) arg;
  (void) entry;
  (void) key;
  last_end_reason = (HsRefusal) end->reason;
}

static void
on_changed (void *arg)
{
  (void) arg;
}

static void
on_offered (void *arg, uint32_t entry)
{
  (void) arg;
  (void) entry;
}

static void
on_crashed (void *arg, const HsCrash *crash)
{
  (void) arg;
  (void) crash;
}

static const HsRunsEffects EFFECTS
    = { on_start,   on_forget,  on_stop,    on_poll,    on_ended,
        on_changed, on_offered, on_crashed, on_crashed, NULL };

/* Passes the target's announcement and an empty list of runs to the agent. */
static void
announce_target (HsTime now)
{
  HsAnnouncement announcement
      = { .name = "t", .service = "s", .sequence = 1, .started_ms = 5 };
  HsTargetList list = { .started_ms = 5 };

  announcement.capacity = (hsx_room){ 4000, 1000, 0 };
  hs_runs_target_announced (agent->runs, &announcement, now);
  hs_runs_tick (agent->runs, now);
  hs_runs_poll_done (agent->runs, 1, HS_TARGET_OK, &list, now);
}

/* Makes the entry launch one task. */
static void
send_launch (HsTime now)
{
  hsx_launch_task task = { .ref = 9, .attempt = 1 };
  hsx_launch launch = { .job = (char *) "ab",
                        .customer = (char *) "c",
                        .spec = { 1, (char *) "x" },
                        .needs = { 1000, 10, 0 },
                        .expected_ms = 5000,
                        .left_ms = 9000,
                        .tasks = { 1, &task } };
  hsx_orders_args orders = {
    .agent = AGENT, .number = 1, .stamp_us = now, .launches = { 1, &launch }
  };

  hs_agent_links_handle_call (agent, conn (), HSX_ORDERS, &orders);
}

static void
setup_runs (void)
{
  HsRunsOptions options
      = { .lease = HS_LEASE_MAX, .stop_timeout = 50 * HS_MSEC };

  agent->runs = hs_runs_new (agent, &options, 100, &EFFECTS, agent);
}

static int
setup (void **state)
{
  HsTime now = hs_now ().mono;

  (void) state;
  n_closed = n_stops = polls_pending = 0;
  n_crash_reports = n_to_pass_on = 0;
  n_reports = n_ends_reported = whole_report = 0;
  conn_data = NULL;
  agent = talloc_zero (NULL, HsDirectAgent);
  agent->settings = &settings;
  settings.host = (char *) "h";
  agent->incarnation = AGENT;
  agent->dialer = hs_dialer_new (agent, NULL, NULL);
  setup_runs ();
  hello = (hsx_hello){ .role = HSX_ROLE_ENTRY,
                       .incarnation = ENTRY,
                       .address = (char *) "10.0.0.1:7000",
                       .data_centre = (char *) "dc" };
  announce_target (now);
  hs_agent_links_connected (agent, conn ());
  send_launch (now);
  assert_int_equal (hs_runs_count (agent->runs), 1);
  return 0;
}

static int
teardown (void **state)
{
  uint32_t i;

  (void) state;
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    if (agent->entries[i].used)
      {
        g_array_unref (agent->entries[i].unsent_ends);
        g_array_unref (agent->entries[i].recent_ends);
      }
  talloc_free (agent);
  return 0;
}

static void
the_tasks_of_an_unresponsive_entry_are_stopped (void **state)
{
  HsTime now = hs_now ().mono;

  (void) state;
  hs_agent_links_drop_expired (agent, now + HS_PEER_TIMEOUT - 50 * HS_MSEC);
  assert_int_equal (n_stops, 0);
  hs_agent_links_drop_expired (agent, now + HS_PEER_TIMEOUT);
  assert_int_equal (n_stops, 1);
}

/* The entry crashes without closing its connection, and the agent crashes at
   the moment it drops the entry. The target, whose clock is 2% slow, has to end
   the run at the end of its lease before the entry's caller sends the job
   again. */
static void
the_last_lease_expires_before_the_caller_resends (void **state)
{
  HsTime began = hs_now ().mono;
  HsTime now;
  HsListedRun run = { .percent = 1 };

  (void) state;
  g_strlcpy (run.key.job, "ab", sizeof run.key.job);
  run.key.attempt = 1;
  for (now = began; n_stops == 0; now += 10 * HS_MSEC)
    {
      HsTargetList list = { .started_ms = 5, .running = &run, .n_running = 1 };

      list.clock_ms = (now - began) / HS_MSEC;
      run.percent = (int) list.clock_ms / 20;
      hs_agent_links_drop_expired (agent, now);
      hs_runs_tick (agent->runs, now);
      while (polls_pending > 0)
        {
          polls_pending--;
          hs_runs_poll_done (agent->runs, last_poll_number, HS_TARGET_OK, &list,
                             now);
        }
      assert_true (now < began + HS_SEC);
    }
  assert_in_range (lease_until_ms, 1000,
                   HS_CALLER_RETRY_DELAY / HS_MSEC * 98 / 100);
}

/* Guards against a task that runs twice: each new connection breaks before the
   entry has stopped what its earlier job left here. */
static void
connections_that_break_before_the_first_orders_do_not_keep_tasks (void **state)
{
  HsTime began = hs_now ().mono;
  HsAgentEntry *entry;

  (void) state;
  entry = conn_data;
  hs_agent_links_disconnected (agent, conn (), false);
  hs_agent_links_connected (agent, conn ());
  hs_agent_links_send_reports (agent, began);
  entry->last_message_at = began + 400 * HS_MSEC;
  hs_agent_links_disconnected (agent, conn (), false);
  hs_agent_links_connected (agent, conn ());
  hs_agent_links_send_reports (agent, began + 400 * HS_MSEC);
  entry->last_message_at = began + 550 * HS_MSEC;
  hs_agent_links_drop_expired (agent, began + 550 * HS_MSEC);
  assert_int_equal (n_stops, 0);
  hs_agent_links_drop_expired (agent, began + HS_PEER_TIMEOUT + 20 * HS_MSEC);
  assert_int_equal (n_stops, 1);
}

/* Guards against "not run" said of jobs that have run: ends that don't fit into
   the first message after a reconnection were taken as starts that never
   happened. */
static void
the_list_of_held_starts_follows_all_recent_ends (void **state)
{
  const uint32_t n_ends = 2 * HSX_BATCH_MAX + 10;
  HsTime now = hs_now ().mono;
  hsx_end end = { .how = HSX_END_DONE };
  uint32_t i;

  (void) state;
  hs_agent_links_send_reports (agent, now);
  for (i = 0; i < n_ends; i++)
    {
      end.ref = 100 + i;
      hs_agent_links_add_end (agent, 0, &end);
    }
  hs_agent_links_disconnected (agent, conn (), false);
  hs_agent_links_connected (agent, conn ());
  n_reports = n_ends_reported = whole_report = 0;
  hs_agent_links_send_reports (agent, now);
  assert_int_equal (n_ends_reported, n_ends);
  assert_int_equal (n_reports, 3);
  assert_int_equal (whole_report, 3);
}

/* Guards against a task that is started after its job was cancelled: an entry
   read both at once, and put them into one message. */
static void
a_stop_in_the_message_of_its_launch_stops_it (void **state)
{
  hsx_launch_task task = { .ref = 10, .attempt = 1 };
  hsx_launch launch = { .job = (char *) "cd",
                        .customer = (char *) "c",
                        .spec = { 1, (char *) "x" },
                        .needs = { 1000, 10, 0 },
                        .expected_ms = 5000,
                        .left_ms = 9000,
                        .tasks = { 1, &task } };
  uint64_t ref = 10;
  hsx_orders_args orders = { .agent = AGENT,
                             .number = 2,
                             .stamp_us = hs_now ().mono,
                             .launches = { 1, &launch },
                             .stops = { 1, &ref } };

  (void) state;
  hs_agent_links_handle_call (agent, conn (), HSX_ORDERS, &orders);
  assert_int_equal (hs_runs_count (agent->runs), 2);
  assert_int_equal (n_stops, 1);
}

/* Guards against a task that runs twice: the entry stood still while the caller
   left, and sent the stop late. No poll renews the lease so late that the run
   would still go on when the caller sends the job again. */
static void
a_stop_sent_late_ends_the_lease_before_the_caller_resends (void **state)
{
  HsTime began = hs_now ().mono;
  HsTime left_at = began - HS_PAUSE_MIN;
  uint64_t ref = 9;
  hsx_orders_args orders = { .agent = AGENT,
                             .number = 2,
                             .stamp_us = began,
                             .stops = { 1, &ref },
                             .stops_since_us = left_at };
  HsListedRun run = { .percent = 1 };
  HsTargetList list = { .started_ms = 5, .running = &run, .n_running = 1 };
  HsTime at;

  (void) state;
  g_strlcpy (run.key.job, "ab", sizeof run.key.job);
  run.key.attempt = 1;
  hs_agent_links_handle_call (agent, conn (), HSX_ORDERS, &orders);
  for (at = began; at < left_at + 2 * HS_SEC; at += 10 * HS_MSEC)
    {
      hs_runs_tick (agent->runs, at);
      if (polls_pending == 0)
        continue;
      polls_pending = 0;
      list.clock_ms = (at - began) / HS_MSEC;
      run.percent = (int) list.clock_ms / 30;
      hs_runs_poll_done (agent->runs, last_poll_number, HS_TARGET_OK, &list,
                         at);
    }
  assert_true (began + lease_until_ms * HS_MSEC * 102 / 100
               < left_at + HS_CALLER_RETRY_DELAY);
}

static void
orders_that_answer_the_first_report_keep_the_tasks (void **state)
{
  HsTime began = hs_now ().mono;
  hsx_orders_args orders = { .agent = AGENT, .number = 1 };
  HsAgentEntry *entry;

  (void) state;
  entry = conn_data;
  hs_agent_links_disconnected (agent, conn (), false);
  hs_agent_links_connected (agent, conn ());
  hs_agent_links_send_reports (agent, began);
  orders.stamp_us = began;
  hs_agent_links_handle_call (agent, conn (), HSX_ORDERS, &orders);
  entry->last_message_at = began + 550 * HS_MSEC;
  hs_agent_links_drop_expired (agent, began + HS_PEER_TIMEOUT + 20 * HS_MSEC);
  assert_int_equal (n_stops, 0);
}

/* The agent was paused for almost a lease, so that the task is still running.
   The entry crashed during the pause without closing its connection; its caller
   sends the job again 1.3 s after the crash. */
static void
after_a_pause_a_dead_entry_is_dropped_soon (void **state)
{
  HsTime resumed_at = hs_now ().mono + 950 * HS_MSEC;

  (void) state;
  hs_agent_links_resume (agent, resumed_at);
  hs_agent_links_drop_expired (agent, resumed_at);
  assert_int_equal (n_stops, 0);
  hs_agent_links_drop_expired (agent, resumed_at + 150 * HS_MSEC);
  assert_int_equal (n_stops, 1);
}

static void
after_a_pause_a_broken_connection_is_dropped_soon (void **state)
{
  HsTime resumed_at = hs_now ().mono + 950 * HS_MSEC;

  (void) state;
  hs_agent_links_resume (agent, resumed_at);
  hs_agent_links_disconnected (agent, conn (), false);
  hs_agent_links_drop_expired (agent, resumed_at + 150 * HS_MSEC);
  assert_int_equal (n_stops, 1);
}

/* The heartbeats of an entry that stayed alive are in the receive buffer. */
static void
after_a_pause_a_live_entry_is_kept (void **state)
{
  HsTime now = hs_now ().mono;
  hsx_orders_args heartbeat = { .agent = AGENT, .number = 2, .stamp_us = now };

  (void) state;
  hs_agent_links_resume (agent, now + 300 * HS_MSEC);
  hs_agent_links_handle_call (agent, conn (), HSX_ORDERS, &heartbeat);
  hs_agent_links_drop_expired (agent, now + 500 * HS_MSEC);
  assert_int_equal (n_stops, 0);
}

/* Guards against a task that runs twice: the entry died after it had sent
   this, and its caller sends the job again 1.3 s after that, however long the
   message waited for the paused agent. */
static void
a_message_that_waited_does_not_keep_the_tasks_of_a_dead_entry (void **state)
{
  HsTime now = hs_now ().mono;
  HsTime sent = now - 500 * HS_MSEC;
  hsx_orders_args heartbeat = { .agent = AGENT, .number = 2, .stamp_us = sent };
  HsAgentEntry *entry;

  (void) state;
  entry = conn_data;
  entry->last_message_at = entry->confirmed_at = sent - 100 * HS_MSEC;
  hs_agent_links_resume (agent, now);
  hs_agent_links_handle_call (agent, conn (), HSX_ORDERS, &heartbeat);
  hs_agent_links_drop_expired (agent, now + 50 * HS_MSEC);
  assert_int_equal (n_stops, 0);
  hs_agent_links_drop_expired (agent, sent + HS_CALLER_RETRY_DELAY
                                          - HS_LEASE_MAX * 102 / 100
                                          - HS_STOP_MAX);
  assert_int_equal (n_stops, 1);
}

/* An entry that reconnects in time keeps its tasks. */
static void
a_broken_connection_may_be_replaced (void **state)
{
  HsTime now = hs_now ().mono;

  (void) state;
  hs_agent_links_disconnected (agent, conn (), false);
  hs_agent_links_drop_expired (agent, now + 300 * HS_MSEC);
  hs_agent_links_connected (agent, conn ());
  hs_agent_links_drop_expired (agent, now + 500 * HS_MSEC);
  assert_int_equal (n_stops, 0);
}

/* As above, but the pause ended just before the lease would have expired, so
   that the first poll afterwards renewed it. The stop reaches the target in
   time for the run to end before the caller sends the job again. */
static void
a_lease_renewed_after_a_pause_ends_in_time (void **state)
{
  HsTime lease_begins = HS_PEER_TIMEOUT - HS_MSEC;
  HsTime resumed_at = lease_begins + HS_LEASE_MAX * 102 / 100 - HS_MSEC;
  HsTime began = hs_now ().mono;
  HsTime at;

  (void) state;
  hs_agent_links_resume (agent, began + resumed_at);
  for (at = resumed_at; n_stops == 0; at += HS_MSEC)
    {
      hs_agent_links_drop_expired (agent, began + at);
      assert_true (at < 2 * HS_SEC);
    }
  assert_true (at + HS_STOP_MAX < HS_CALLER_RETRY_DELAY);
}

/* Guards against a task that runs twice: as above, but the entry's last message
   was retransmitted, so that its life was counted from when it was sent, and
   ended later after that. */
static void
a_lease_renewed_after_a_pause_and_a_late_message_ends_in_time (void **state)
{
  HsTime now = hs_now ().mono;
  HsTime sent = now - 200 * HS_MSEC;
  HsTime lease_begins = sent + HS_ENTRY_SILENCE_MAX - HS_MSEC;
  HsTime resumed_at = lease_begins + HS_LEASE_MAX * 102 / 100 - HS_MSEC;
  hsx_orders_args heartbeat = { .agent = AGENT, .number = 2, .stamp_us = sent };
  HsAgentEntry *entry = conn_data;
  HsTime at;

  (void) state;
  entry->last_message_at = entry->confirmed_at = sent - 100 * HS_MSEC;
  hs_agent_links_handle_call (agent, conn (), HSX_ORDERS, &heartbeat);
  hs_agent_links_drop_expired (agent, lease_begins);
  assert_int_equal (n_stops, 0);
  hs_agent_links_resume (agent, resumed_at);
  for (at = resumed_at; n_stops == 0; at += HS_MSEC)
    {
      hs_agent_links_drop_expired (agent, at);
      assert_true (at < sent + 2 * HS_SEC);
    }
  assert_true (at + HS_STOP_MAX < sent + HS_CALLER_RETRY_DELAY);
}

/* Another entry is lost after a connection was found surplus: it is kept, and
   its entry is told again what is free here. */
static void
a_connection_that_is_kept_after_all_is_not_left_unused (void **state)
{
  HsTime now = hs_now ().mono;
  HsAgentEntry *entry = hs_conn_data (conn ());

  (void) state;
  entry->surplus_since = now;
  entry->reported_at = 0;
  hs_agent_links_send_reports (agent, now);
  assert_int_equal (last_report_state, HSX_TARGET_LEAVING);
  hs_agent_links_drop_expired (agent, now + 10 * HS_MSEC);
  hs_agent_links_send_reports (agent, now + 10 * HS_MSEC);
  assert_int_equal (last_report_state, HSX_TARGET_READY);
}

static void
a_changed_capacity_is_reported_to_the_entries (void **state)
{
  HsTime now = hs_now ().mono;
  HsAnnouncement announcement = *hs_runs_target (agent->runs);

  (void) state;
  hs_agent_links_send_reports (agent, now);
  assert_int_equal (reported_capacity_milli, 4000);
  announcement.sequence++;
  announcement.capacity.cpu_milli = 1500;
  hs_runs_target_announced (agent->runs, &announcement, now);
  hs_agent_links_send_reports (agent, now + HS_HEARTBEAT_INTERVAL);
  assert_int_equal (reported_capacity_milli, 1500);
}

static void
the_time_left_of_a_warm_up_is_reported_to_the_entries (void **state)
{
  HsTime now = hs_now ().mono;
  HsAnnouncement announcement = *hs_runs_target (agent->runs);

  (void) state;
  announcement.sequence++;
  announcement.warmup_left = 500 * HS_MSEC;
  hs_runs_target_announced (agent->runs, &announcement, now);
  hs_agent_links_send_reports (agent, now + 200 * HS_MSEC);
  assert_int_equal (reported_warmup_ms, 300);
  hs_agent_links_send_reports (agent, now + 600 * HS_MSEC);
  assert_int_equal (reported_warmup_ms, 0);
}

static HsTime
crash_the_target (HsTime now)
{
  hs_runs_tick (agent->runs, now);
  hs_runs_poll_done (agent->runs, last_poll_number, HS_TARGET_NO_LISTENER, NULL,
                     now);
  now += 10 * HS_MSEC;
  hs_runs_tick (agent->runs, now);
  return now;
}

static void
a_crash_is_reported_once_on_each_connection (void **state)
{
  HsTime now = crash_the_target (hs_now ().mono);
  HsTime later = now + HS_HEARTBEAT_INTERVAL;

  (void) state;
  hs_agent_links_send_reports (agent, now);
  assert_int_equal (n_crash_reports, 1);
  assert_string_equal (crash_customer, "c");
  hs_agent_links_send_reports (agent, later);
  assert_int_equal (n_crash_reports, 1);
  /* The first report may have been lost with the connection. */
  hs_agent_links_disconnected (agent, conn (), false);
  hs_agent_links_connected (agent, conn ());
  hs_agent_links_send_reports (agent, later);
  assert_int_equal (n_crash_reports, 2);
  assert_int_equal (n_to_pass_on, 0);
}

/* Two entries pass a crash on to those that the agent isn't connected to. */
static void
a_crash_is_passed_on_where_not_all_entries_are_connected (void **state)
{
  HsTime now = crash_the_target (hs_now ().mono);
  uint32_t i;

  (void) state;
  for (i = 1; i < HS_CONNECTIONS_MAX; i++)
    {
      HsAgentEntry *entry = &agent->entries[i];

      entry->used = true;
      entry->conn = conn ();
      entry->unsent_ends = g_array_new (FALSE, FALSE, sizeof (hsx_end));
      entry->recent_ends = g_array_new (FALSE, FALSE, sizeof (HsRecentEnd));
    }
  hs_agent_links_send_reports (agent, now);
  assert_int_equal (n_crash_reports, HS_CONNECTIONS_MAX);
  assert_int_equal (n_to_pass_on, 2);
}

static void
receive_evacuations (int64_t revision, const char *data_centre)
{
  char *names[] = { (char *) data_centre };
  hsx_evacuations_args args
      = { .revision = revision,
          .data_centres = { data_centre != NULL, names } };

  hs_agent_links_handle_call (agent, conn (), HSX_EVACUATIONS, &args);
}

/* Guards against starts by an agent that has just come up, and by one that
   hears of the evacuations of slower entries later. */
static void
an_agent_starts_nothing_before_it_knows_the_newest_evacuations (void **state)
{
  HsTime now = hs_now ().mono;

  (void) state;
  hs_runs_entry_lost (agent->runs, 0, now);
  talloc_free (agent->runs);
  setup_runs ();
  settings.evacuation_limit = 5 * HS_SEC;
  settings.data_centre = (char *) "dc1";
  hs_agent_evacuations_start (agent);
  announce_target (now);
  send_launch (now);
  assert_int_equal (hs_runs_count (agent->runs), 0);
  assert_int_equal (last_end_reason, HS_REFUSAL_EVACUATED);
  assert_int_equal (hs_runs_available (agent->runs, 0, now).cpu_milli, 0);
  receive_evacuations (5, "dc1");
  receive_evacuations (4, NULL);
  send_launch (now);
  assert_int_equal (hs_runs_count (agent->runs), 0);
  receive_evacuations (6, "dc2");
  send_launch (now);
  assert_int_equal (hs_runs_count (agent->runs), 1);
  settings.evacuation_limit = 0;
}

/* Guards against connections that are closed where only the entry's settings
   have the key. */
static void
evacuations_are_ignored_where_they_are_not_in_use (void **state)
{
  (void) state;
  receive_evacuations (5, "dc1");
  assert_int_equal (n_closed, 0);
  assert_int_equal (
      hs_runs_available (agent->runs, 0, hs_now ().mono).cpu_milli, 3000);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (the_tasks_of_an_unresponsive_entry_are_stopped),
    TEST (the_last_lease_expires_before_the_caller_resends),
    TEST (a_stop_sent_late_ends_the_lease_before_the_caller_resends),
    TEST (connections_that_break_before_the_first_orders_do_not_keep_tasks),
    TEST (the_list_of_held_starts_follows_all_recent_ends),
    TEST (a_stop_in_the_message_of_its_launch_stops_it),
    TEST (orders_that_answer_the_first_report_keep_the_tasks),
    TEST (after_a_pause_a_dead_entry_is_dropped_soon),
    TEST (after_a_pause_a_broken_connection_is_dropped_soon),
    TEST (after_a_pause_a_live_entry_is_kept),
    TEST (a_message_that_waited_does_not_keep_the_tasks_of_a_dead_entry),
    TEST (a_broken_connection_may_be_replaced),
    TEST (a_lease_renewed_after_a_pause_ends_in_time),
    TEST (a_lease_renewed_after_a_pause_and_a_late_message_ends_in_time),
    TEST (a_connection_that_is_kept_after_all_is_not_left_unused),
    TEST (a_changed_capacity_is_reported_to_the_entries),
    TEST (the_time_left_of_a_warm_up_is_reported_to_the_entries),
    TEST (a_crash_is_reported_once_on_each_connection),
    TEST (a_crash_is_passed_on_where_not_all_entries_are_connected),
    TEST (an_agent_starts_nothing_before_it_knows_the_newest_evacuations),
    TEST (evacuations_are_ignored_where_they_are_not_in_use),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
