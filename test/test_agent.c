/* A complete agent between a fake entry and the stand-in target, on one event
   loop. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "agent/agent.h"
#include "base/error.h"
#include "standin/fake_entry.h"
#include "standin/target_server.h"

#define KEY "a key of the test's cluster"
#define SLOTS 4
#define TIMEOUT_MS 30000
/* Ends a test that makes no progress; no test waits for it otherwise. */
#define WATCHDOG_S 60

static char *unused_address (void);
static void start_target (TargetFault fault);
static void start (uint64_t epoch, uint32_t index, const char *body);
static void on_watchdog (struct tevent_context *loop,
                         struct tevent_timer *te,
                         struct timeval now,
                         void *arg);
static void wait_once (void);

#define WAIT_UNTIL(condition)                                                  \
  while (!(condition))                                                         \
  wait_once ()

static struct tevent_context *ev;
static FakeEntry *entry;
static HsAgent *agent;
static Target *target;
static HsSettings settings;
static char *entries[3];
static uint32_t ttl_ms;
static bool timed_out;

static int
setup (void **state)
{
  GError *error = NULL;

  (void) state;
  timed_out = false;
  ttl_ms = 3000;
  ev = tevent_context_init (NULL);
  tevent_add_timer (ev, ev, tevent_timeval_current_ofs (WATCHDOG_S, 0),
                    on_watchdog, NULL);
  entry = fake_entry_new (ev, KEY, 100);
  entries[0] = unused_address ();
  entries[1] = talloc_asprintf (ev, "127.0.0.1:%u", hs_rpc_port (entry->rpc));
  settings = (HsSettings){
    .role = HS_ROLE_AGENT,
    .data_centre = "dc1",
    .cluster_key = KEY,
    .u.agent = { .name = "a1",
                 .target_listen = "127.0.0.1:0",
                 .rpc_listen = "127.0.0.1:0",
                 .rpc_address = "127.0.0.1:0",
                 .rack = "r1",
                 .entries = entries,
                 .retention = 600 * HS_SEC,
                 .memory_bytes = 16 * 1024 * 1024 },
  };
  agent = hs_agent_new (ev, ev, &settings, &error);
  assert_non_null (agent);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  TALLOC_FREE (target);
  TALLOC_FREE (agent);
  TALLOC_FREE (ev);
  return 0;
}

static void
a_task_runs_and_its_slot_returns (void **state)
{
  const FakeResult *result;

  (void) state;
  start_target (FAULT_NONE);
  assert_int_equal (entry->member_state, HSX_MEMBER_UP);
  start (1, 0, "sleep=5;nonce=n1");
  WAIT_UNTIL (entry->n_results == 1);
  result = fake_entry_result (entry, 0);
  assert_int_equal (result->outcome, HSX_DONE);
  assert_int_equal (result->http_status, 200);
  assert_string_equal (result->body, "nonce=n1 task=c1/j%20b/0\n");
  assert_true (result->has_next);
  start (1, 1, "fail=1");
  WAIT_UNTIL (entry->n_results == 2);
  assert_int_equal (fake_entry_result (entry, 1)->outcome, HSX_FAILED);
  assert_int_equal (target_starts (target), 2);
}

static void
a_task_never_starts_twice (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "sleep=20");
  start (1, 0, "sleep=20");
  WAIT_UNTIL (entry->n_results == 2);
  assert_int_equal (entry->results[0].outcome, HSX_RUNNING);
  assert_int_equal (entry->results[0].refusal, HSX_REFUSAL_DUPLICATE);
  assert_int_equal (entry->results[1].outcome, HSX_DONE);
  assert_int_equal (target_starts (target), 1);
}

static void
an_incomplete_answer_is_reported_as_maybe (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "fault=foreign");
  start (1, 1, "fault=cut");
  assert_true (fake_entry_start (entry, 1, 2, "sleep=10000", 500));
  WAIT_UNTIL (entry->n_results == 3);
  assert_int_equal (fake_entry_result (entry, 0)->outcome, HSX_MAYBE);
  assert_int_equal (fake_entry_result (entry, 1)->outcome, HSX_MAYBE);
  assert_int_equal (fake_entry_result (entry, 2)->outcome, HSX_MAYBE);
  assert_int_equal (
      hs_agent_stats (agent)->call_ends[HS_TARGET_CALL_WRONG_TASK], 1);
  assert_int_equal (hs_agent_stats (agent)->call_ends[HS_TARGET_CALL_BROKEN],
                    1);
  assert_int_equal (hs_agent_stats (agent)->call_ends[HS_TARGET_CALL_TIMEOUT],
                    1);
}

static void
a_duplicate_answer_is_not_taken_for_another_task (void **state)
{
  uint32_t i;

  (void) state;
  start_target (FAULT_TWICE);
  for (i = 0; i < 8; i++)
    {
      g_autofree char *body = g_strdup_printf ("nonce=%u", i);
      g_autofree char *wanted
          = g_strdup_printf ("nonce=%u task=c1/j%%20b/%u\n", i, i);

      start (1, i, body);
      WAIT_UNTIL (entry->n_results == i + 1);
      if (fake_entry_result (entry, i)->outcome == HSX_DONE)
        assert_string_equal (fake_entry_result (entry, i)->body, wanted);
      else
        assert_int_equal (fake_entry_result (entry, i)->outcome, HSX_MAYBE);
    }
  assert_int_equal (target_starts (target), 8);
}

static void
a_new_owner_gets_all_records_and_later_results (void **state)
{
  FakeEntry *new_owner;

  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "nonce=first");
  WAIT_UNTIL (entry->n_results == 1);
  start (1, 1, "sleep=50");
  WAIT_UNTIL (target_running (target) == 1);
  new_owner = fake_entry_new (ev, KEY, 200);
  hs_rpc_dial (new_owner->rpc,
               talloc_asprintf (ev, "127.0.0.1:%u", hs_agent_rpc_port (agent)));
  WAIT_UNTIL (new_owner->conn != NULL);
  assert_true (fake_entry_recover (new_owner, 2));
  WAIT_UNTIL (new_owner->n_replies == 1);
  assert_int_equal (new_owner->n_reply_results, 2);
  assert_int_equal (new_owner->cursor, 0);
  assert_int_equal (new_owner->reply_results[0].outcome, HSX_DONE);
  assert_memory_equal (new_owner->reply_results[0].body, "nonce=first", 11);
  assert_int_equal (new_owner->reply_results[1].outcome, HSX_RUNNING);
  start (1, 2, "");
  WAIT_UNTIL (entry->n_results == 2);
  assert_int_equal (fake_entry_result (entry, 2)->refusal, HSX_REFUSAL_EPOCH);
  assert_int_equal (fake_entry_result (entry, 2)->epoch, 1);
  WAIT_UNTIL (new_owner->n_results == 1);
  assert_int_equal (fake_entry_result (new_owner, 1)->outcome, HSX_DONE);
  assert_true (fake_entry_recover (entry, 1));
  WAIT_UNTIL (entry->n_replies == 1);
  assert_int_equal (entry->n_reply_results, 0);
  assert_int_equal (entry->remembers_s, 0);
  assert_int_equal (new_owner->remembers_s, 600);
}

static void
an_undelivered_result_is_retained_for_settle (void **state)
{
  static const uint32_t indexes[] = { 0, 9 };

  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "sleep=20");
  WAIT_UNTIL (target_running (target) == 1);
  hs_conn_close (entry->conn);
  WAIT_UNTIL (entry->conn != NULL);
  WAIT_UNTIL (hs_agent_stats (agent)->call_ends[HS_TARGET_CALL_ANSWERED] == 1);
  assert_true (fake_entry_settle (entry, indexes, 2));
  WAIT_UNTIL (entry->n_replies == 1);
  assert_int_equal (entry->reply_results[0].outcome, HSX_DONE);
  assert_int_equal (entry->reply_results[1].outcome, HSX_REFUSED);
  assert_int_equal (entry->reply_results[1].refusal, HSX_REFUSAL_FENCED);
  WAIT_UNTIL (entry->n_credits > 0);
  start (1, 9, "");
  WAIT_UNTIL (fake_entry_result (entry, 9) != NULL);
  assert_int_equal (fake_entry_result (entry, 9)->refusal, HSX_REFUSAL_FENCED);
  assert_int_equal (target_starts (target), 1);
}

static void
recover_replies_are_paged_by_bytes (void **state)
{
  uint32_t pages = 0;
  uint32_t i;

  (void) state;
  start_target (FAULT_NONE);
  for (i = 0; i < 20; i++)
    {
      start (1, i, "size=262144");
      WAIT_UNTIL (entry->n_results == i + 1);
    }
  do
    {
      assert_true (fake_entry_recover (entry, 2));
      pages++;
      WAIT_UNTIL (entry->n_replies == pages);
    }
  while (entry->cursor != 0);
  assert_int_equal (pages, 2);
  assert_int_equal (entry->n_reply_results, 20);
  for (i = 0; i < 20; i++)
    assert_int_equal (entry->reply_results[i].index, i);
}

static void
on_probed (void *arg, HsRpcStatus status, const void *result)
{
  (void) result;
  *(bool *) arg = status == HS_RPC_OK;
}

/* The member record names the registrar, so another registrar needs a newer
   revision of the record. */
static void
an_unresponsive_registrar_is_replaced (void **state)
{
  hsx_suspect_args suspect = { 200 };
  hsx_probe_args probe = { 0 };
  FakeEntry *first = fake_entry_new (ev, KEY, 200);
  uint32_t revision;
  bool alive = false;

  (void) state;
  TALLOC_FREE (agent);
  entries[0] = talloc_asprintf (ev, "127.0.0.1:%u", hs_rpc_port (first->rpc));
  agent = hs_agent_new (ev, ev, &settings, NULL);
  assert_non_null (agent);
  WAIT_UNTIL (first->revision > 0);
  hs_rpc_dial (entry->rpc,
               talloc_asprintf (ev, "127.0.0.1:%u", hs_agent_rpc_port (agent)));
  WAIT_UNTIL (entry->conn != NULL);
  assert_true (hs_conn_call (entry->conn, HSX_PROBE, &probe, HS_NEVER,
                             on_probed, &alive));
  WAIT_UNTIL (alive);
  assert_int_equal (first->n_probes, 0);
  assert_int_equal (entry->revision, 0);
  revision = first->revision;
  hs_rpc_stop_listening (first->rpc);
  assert_true (
      hs_conn_call (entry->conn, HSX_SUSPECT, &suspect, HS_NEVER, NULL, NULL));
  WAIT_UNTIL (entry->revision > 0);
  assert_int_equal (first->n_probes, 1);
  assert_true (entry->revision > revision);
}

static void
a_leave_waits_for_running_tasks (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "sleep=50");
  WAIT_UNTIL (target_running (target) == 1);
  target_leave (target);
  WAIT_UNTIL (entry->member_state == HSX_MEMBER_LEAVING);
  assert_int_equal (entry->announced_slots, 0);
  WAIT_UNTIL (target_has_left (target));
  assert_int_equal (target_running (target), 0);
  WAIT_UNTIL (entry->n_results == 1);
  assert_int_equal (fake_entry_result (entry, 0)->outcome, HSX_DONE);
}

static void
an_agent_leaves_after_its_last_result (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "sleep=50");
  WAIT_UNTIL (target_running (target) == 1);
  hs_agent_leave (agent);
  start (1, 1, "");
  WAIT_UNTIL (entry->member_state == HSX_MEMBER_LEFT);
  assert_int_equal (fake_entry_result (entry, 0)->outcome, HSX_DONE);
  assert_int_equal (fake_entry_result (entry, 1)->refusal, HSX_REFUSAL_LEAVING);
  WAIT_UNTIL (hs_agent_has_left (agent));
  assert_int_equal (target_starts (target), 1);
}

static void
a_refused_connection_starts_no_task (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  TALLOC_FREE (target);
  start (1, 0, "");
  WAIT_UNTIL (entry->n_results == 1);
  assert_int_equal (fake_entry_result (entry, 0)->outcome, HSX_REFUSED);
  assert_int_equal (fake_entry_result (entry, 0)->refusal, HSX_REFUSAL_TARGET);
  assert_int_equal (fake_entry_result (entry, 0)->epoch, 1);
  assert_false (fake_entry_result (entry, 0)->has_next);
  start_target (FAULT_NONE);
  start (1, 0, "");
  WAIT_UNTIL (entry->n_results == 2);
  assert_int_equal (entry->results[1].outcome, HSX_DONE);
}

static void
an_expired_target_gets_no_tasks (void **state)
{
  (void) state;
  ttl_ms = 300;
  start_target (FAULT_NONE);
  TALLOC_FREE (target);
  WAIT_UNTIL (entry->member_state == HSX_MEMBER_LEAVING
              && entry->n_credits == 0);
  assert_int_equal (entry->announced_slots, 0);
  start_target (FAULT_NONE);
  assert_int_equal (entry->member_state, HSX_MEMBER_UP);
}

static void
tasks_of_a_crashed_target_are_maybe (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "sleep=10000");
  WAIT_UNTIL (target_running (target) == 1);
  TALLOC_FREE (target);
  WAIT_UNTIL (entry->n_results == 1);
  assert_int_equal (fake_entry_result (entry, 0)->outcome, HSX_MAYBE);
}

static void
a_crash_of_the_target_is_reported_to_the_entries (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (1, 0, "sleep=10000");
  WAIT_UNTIL (target_running (target) == 1);
  TALLOC_FREE (target);
  WAIT_UNTIL (entry->n_results == 1);
  assert_int_equal (entry->n_crashes, 0);
  start (1, 1, "sleep=10");
  WAIT_UNTIL (entry->n_crashes == 1);
  assert_int_equal (entry->crash_customers, 1);
}

static void
a_lost_connection_closes_the_others_of_its_entry (void **state)
{
  static const uint32_t indexes[] = { 0 };
  HsConn *first;
  HsConn *second;

  (void) state;
  start_target (FAULT_NONE);
  first = entry->conn;
  second
      = hs_rpc_dial (entry->rpc, talloc_asprintf (ev, "127.0.0.1:%u",
                                                  hs_agent_rpc_port (agent)));
  WAIT_UNTIL (entry->conn == second);
  start (1, 0, "sleep=20");
  WAIT_UNTIL (target_running (target) == 1);
  hs_conn_close (first);
  WAIT_UNTIL (entry->conn == NULL);
  WAIT_UNTIL (entry->conn != NULL && target_running (target) == 0);
  WAIT_UNTIL (hs_agent_stats (agent)->call_ends[HS_TARGET_CALL_ANSWERED] == 1);
  assert_true (fake_entry_settle (entry, indexes, 1));
  WAIT_UNTIL (entry->n_replies == 1);
  assert_int_equal (entry->reply_results[0].outcome, HSX_DONE);
}

/* Returns an address where no process listens. */
static char *
unused_address (void)
{
  HsRpcHandler none = { 0 };
  hsx_hello self = { .address = "", .data_centre = "" };
  HsRpc *rpc = hs_rpc_new (ev, ev, &self, KEY, &none, NULL);
  char *address;

  assert_true (hs_rpc_listen (rpc, "127.0.0.1:0", NULL));
  address = talloc_asprintf (ev, "127.0.0.1:%u", hs_rpc_port (rpc));
  talloc_free (rpc);
  return address;
}

static void
start_target (TargetFault fault)
{
  TargetOptions options = { .listen = "127.0.0.1:0",
                            .key = KEY,
                            .slots = SLOTS,
                            .memory_mb = 64,
                            .ttl_ms = ttl_ms,
                            .seed = 1,
                            .fault = fault };

  options.agent
      = talloc_asprintf (ev, "127.0.0.1:%u", hs_agent_target_port (agent));
  target = target_new (ev, ev, &options, NULL);
  assert_non_null (target);
  WAIT_UNTIL (entry->announced_slots == SLOTS && entry->n_credits >= SLOTS);
}

static void
start (uint64_t epoch, uint32_t index, const char *body)
{
  assert_true (fake_entry_start (entry, epoch, index, body, TIMEOUT_MS));
}

static void
on_watchdog (struct tevent_context *loop,
             struct tevent_timer *te,
             struct timeval now,
             void *arg)
{
  (void) loop;
  (void) te;
  (void) now;
  (void) arg;
  timed_out = true;
}

static void
wait_once (void)
{
  assert_int_equal (tevent_loop_once (ev), 0);
  assert_false (timed_out);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_task_runs_and_its_slot_returns, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (a_task_never_starts_twice, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (an_incomplete_answer_is_reported_as_maybe,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_duplicate_answer_is_not_taken_for_another_task, setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_new_owner_gets_all_records_and_later_results, setup, teardown),
    cmocka_unit_test_setup_teardown (
        an_undelivered_result_is_retained_for_settle, setup, teardown),
    cmocka_unit_test_setup_teardown (recover_replies_are_paged_by_bytes, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (an_unresponsive_registrar_is_replaced,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (a_leave_waits_for_running_tasks, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (an_agent_leaves_after_its_last_result,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (an_expired_target_gets_no_tasks, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        a_crash_of_the_target_is_reported_to_the_entries, setup, teardown),
    cmocka_unit_test_setup_teardown (tasks_of_a_crashed_target_are_maybe, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        a_lost_connection_closes_the_others_of_its_entry, setup, teardown),
    cmocka_unit_test_setup_teardown (a_refused_connection_starts_no_task, setup,
                                     teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
