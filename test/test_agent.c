/* A whole agent between a fake entry and the stand-in target, on one loop. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "agent/agent.h"
#include "base/error.h"
#include "rpc/conn.h"
#include "standin/target_server.h"

#define KEY "a key of the test's cluster"
#define SLOTS 4
#define RESULTS_MAX 32
#define PART 5
/* Only stops a test that hangs; no test waits for it. */
#define GUARD_S 60

typedef struct
{
  hsx_outcome outcome;
  hsx_refusal refusal;
  uint32_t index;
  uint32_t http_status;
  bool has_next;
  char body[64];
} Seen;

typedef struct
{
  HsRpc *rpc;
  HsConn *conn;
  uint64_t incarnation;
  hsx_credit credits[SLOTS * 8];
  uint32_t n_credits;
  Seen seen[RESULTS_MAX];
  uint32_t n_seen;
  Seen replied[RESULTS_MAX];
  uint32_t n_replied;
  uint32_t replies;
  uint32_t remembers_s;
  uint32_t next;
  hsx_member_state member;
  uint32_t announced_slots;
} Entry;

static Entry *new_entry (uint64_t incarnation);
static void up (void *arg, HsConn *conn);
static void down (void *arg, HsConn *conn, bool refused);
static void
call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId id, void *args);
static void see (Entry *entry, Seen *seen, const hsx_result *result);
static void recovered (void *arg, HsRpcStatus status, const void *result);
static void settled (void *arg, HsRpcStatus status, const void *result);
static void start_target (TargetFault fault);
static void
start (Entry *from, uint64_t epoch, uint32_t index, const char *body);
static void start_for (Entry *from,
                       uint64_t epoch,
                       uint32_t index,
                       const char *body,
                       uint32_t timeout_ms);
static const Seen *result_of (const Entry *of, uint32_t index);
static void recover (Entry *from, uint64_t epoch);
static void on_guard (struct tevent_context *loop,
                      struct tevent_timer *te,
                      struct timeval now,
                      void *arg);
static void wait_once (void);

#define WAIT_UNTIL(condition)                                                  \
  while (!(condition))                                                         \
  wait_once ()

static struct tevent_context *ev;
static Entry *entry;
static HsAgent *agent;
static Target *target;
static HsSettings settings;
static char *entries[2];
static bool hangs;

static int
setup (void **state)
{
  GError *error = NULL;

  (void) state;
  hangs = false;
  ev = tevent_context_init (NULL);
  tevent_add_timer (ev, ev, tevent_timeval_current_ofs (GUARD_S, 0), on_guard,
                    NULL);
  entry = new_entry (100);
  entries[0] = talloc_asprintf (ev, "127.0.0.1:%u", hs_rpc_port (entry->rpc));
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
  const Seen *seen;

  (void) state;
  start_target (FAULT_NONE);
  assert_int_equal (entry->member, HSX_MEMBER_UP);
  start (entry, 1, 0, "sleep=5;nonce=n1");
  WAIT_UNTIL (entry->n_seen == 1);
  seen = result_of (entry, 0);
  assert_int_equal (seen->outcome, HSX_DONE);
  assert_int_equal (seen->http_status, 200);
  assert_string_equal (seen->body, "nonce=n1 task=c1/j%20b/0\n");
  assert_true (seen->has_next);
  start (entry, 1, 1, "fail=1");
  WAIT_UNTIL (entry->n_seen == 2);
  assert_int_equal (result_of (entry, 1)->outcome, HSX_FAILED);
  assert_int_equal (target_starts (target), 2);
}

static void
a_task_never_starts_twice (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (entry, 1, 0, "sleep=20");
  start (entry, 1, 0, "sleep=20");
  WAIT_UNTIL (entry->n_seen == 2);
  assert_int_equal (entry->seen[0].outcome, HSX_RUNNING);
  assert_int_equal (entry->seen[0].refusal, HSX_REFUSAL_DUPLICATE);
  assert_int_equal (entry->seen[1].outcome, HSX_DONE);
  assert_int_equal (target_starts (target), 1);
}

static void
an_answer_that_is_not_whole_is_maybe (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (entry, 1, 0, "fault=foreign");
  start (entry, 1, 1, "fault=cut");
  start_for (entry, 1, 2, "sleep=10000", 20);
  WAIT_UNTIL (entry->n_seen == 3);
  assert_int_equal (result_of (entry, 0)->outcome, HSX_MAYBE);
  assert_int_equal (result_of (entry, 1)->outcome, HSX_MAYBE);
  assert_int_equal (result_of (entry, 2)->outcome, HSX_MAYBE);
  assert_int_equal (hs_agent_stats (agent)->ends[HS_TARGET_FOREIGN], 1);
  assert_int_equal (hs_agent_stats (agent)->ends[HS_TARGET_BROKEN], 1);
  assert_int_equal (hs_agent_stats (agent)->ends[HS_TARGET_TIMEOUT], 1);
}

static void
a_second_answer_is_no_other_tasks_answer (void **state)
{
  uint32_t i;

  (void) state;
  start_target (FAULT_TWICE);
  for (i = 0; i < 8; i++)
    {
      g_autofree char *body = g_strdup_printf ("nonce=%u", i);
      g_autofree char *wanted
          = g_strdup_printf ("nonce=%u task=c1/j%%20b/%u\n", i, i);

      start (entry, 1, i, body);
      WAIT_UNTIL (entry->n_seen == i + 1);
      if (result_of (entry, i)->outcome == HSX_DONE)
        assert_string_equal (result_of (entry, i)->body, wanted);
      else
        assert_int_equal (result_of (entry, i)->outcome, HSX_MAYBE);
    }
  assert_int_equal (target_starts (target), 8);
}

static void
a_new_owner_gets_all_records_and_later_results (void **state)
{
  Entry *heir;

  (void) state;
  start_target (FAULT_NONE);
  start (entry, 1, 0, "nonce=first");
  WAIT_UNTIL (entry->n_seen == 1);
  start (entry, 1, 1, "sleep=50");
  WAIT_UNTIL (target_running (target) == 1);
  heir = new_entry (200);
  hs_rpc_dial (heir->rpc,
               talloc_asprintf (ev, "127.0.0.1:%u", hs_agent_rpc_port (agent)));
  WAIT_UNTIL (heir->conn != NULL);
  recover (heir, 2);
  WAIT_UNTIL (heir->replies == 1);
  assert_int_equal (heir->n_replied, 2);
  assert_int_equal (heir->next, 0);
  assert_int_equal (heir->replied[0].outcome, HSX_DONE);
  assert_memory_equal (heir->replied[0].body, "nonce=first", 11);
  assert_int_equal (heir->replied[1].outcome, HSX_RUNNING);
  start (entry, 1, 2, "");
  WAIT_UNTIL (entry->n_seen == 2);
  assert_int_equal (result_of (entry, 2)->refusal, HSX_REFUSAL_EPOCH);
  WAIT_UNTIL (heir->n_seen == 1);
  assert_int_equal (result_of (heir, 1)->outcome, HSX_DONE);
  recover (entry, 1);
  WAIT_UNTIL (entry->replies == 1);
  assert_int_equal (entry->n_replied, 0);
  assert_int_equal (entry->remembers_s, 0);
  assert_int_equal (heir->remembers_s, 600);
}

static void
a_result_without_a_connection_is_kept (void **state)
{
  hsx_task_key keys[2] = {
    { .part = PART, .customer = "c1", .id = "j b", .index = 0 },
    { .part = PART, .customer = "c1", .id = "j b", .index = 9 },
  };
  hsx_settle_args args = { .keys = { .keys_len = 2, .keys_val = keys } };

  (void) state;
  start_target (FAULT_NONE);
  start (entry, 1, 0, "sleep=20");
  WAIT_UNTIL (target_running (target) == 1);
  hs_conn_close (entry->conn);
  WAIT_UNTIL (entry->conn != NULL);
  WAIT_UNTIL (hs_agent_stats (agent)->ends[HS_TARGET_ANSWERED] == 1);
  assert_true (
      hs_conn_call (entry->conn, HSX_SETTLE, &args, HS_NEVER, settled, entry));
  WAIT_UNTIL (entry->replies == 1);
  assert_int_equal (entry->replied[0].outcome, HSX_DONE);
  assert_int_equal (entry->replied[1].outcome, HSX_REFUSED);
  assert_int_equal (entry->replied[1].refusal, HSX_REFUSAL_FENCED);
  WAIT_UNTIL (entry->n_credits > 0);
  start (entry, 1, 9, "");
  WAIT_UNTIL (result_of (entry, 9) != NULL);
  assert_int_equal (result_of (entry, 9)->refusal, HSX_REFUSAL_FENCED);
  assert_int_equal (target_starts (target), 1);
}

static void
records_come_in_pages_bounded_in_bytes (void **state)
{
  uint32_t pages = 0;
  uint32_t i;

  (void) state;
  start_target (FAULT_NONE);
  for (i = 0; i < 20; i++)
    {
      start (entry, 1, i, "size=262144");
      WAIT_UNTIL (entry->n_seen == i + 1);
    }
  do
    {
      recover (entry, 2);
      pages++;
      WAIT_UNTIL (entry->replies == pages);
    }
  while (entry->next != 0);
  assert_int_equal (pages, 2);
  assert_int_equal (entry->n_replied, 20);
  for (i = 0; i < 20; i++)
    assert_int_equal (entry->replied[i].index, i);
}

static void
a_leave_waits_for_what_runs (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (entry, 1, 0, "sleep=50");
  WAIT_UNTIL (target_running (target) == 1);
  target_leave (target);
  WAIT_UNTIL (entry->member == HSX_MEMBER_LEAVING);
  assert_int_equal (entry->announced_slots, 0);
  WAIT_UNTIL (target_has_left (target));
  assert_int_equal (target_running (target), 0);
  WAIT_UNTIL (entry->n_seen == 1);
  assert_int_equal (result_of (entry, 0)->outcome, HSX_DONE);
}

static void
an_agent_leaves_after_its_last_result (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  start (entry, 1, 0, "sleep=50");
  WAIT_UNTIL (target_running (target) == 1);
  hs_agent_leave (agent);
  start (entry, 1, 1, "");
  WAIT_UNTIL (entry->member == HSX_MEMBER_LEFT);
  assert_int_equal (result_of (entry, 0)->outcome, HSX_DONE);
  assert_int_equal (result_of (entry, 1)->refusal, HSX_REFUSAL_LEAVING);
  WAIT_UNTIL (hs_agent_has_left (agent));
  assert_int_equal (target_starts (target), 1);
}

static void
a_closed_target_started_nothing (void **state)
{
  (void) state;
  start_target (FAULT_NONE);
  TALLOC_FREE (target);
  start (entry, 1, 0, "");
  WAIT_UNTIL (entry->n_seen == 1);
  assert_int_equal (result_of (entry, 0)->outcome, HSX_REFUSED);
  assert_int_equal (result_of (entry, 0)->refusal, HSX_REFUSAL_TARGET);
  assert_false (result_of (entry, 0)->has_next);
  start_target (FAULT_NONE);
  start (entry, 1, 0, "");
  WAIT_UNTIL (entry->n_seen == 2);
  assert_int_equal (entry->seen[1].outcome, HSX_DONE);
}

static Entry *
new_entry (uint64_t incarnation)
{
  Entry *made = talloc_zero (ev, Entry);
  HsRpcHandler handler = { .up = up, .down = down, .call = call };
  hsx_hello self = { .role = HSX_ROLE_ENTRY,
                     .incarnation = incarnation,
                     .address = "127.0.0.1:1",
                     .data_centre = "dc1" };

  made->incarnation = incarnation;
  made->rpc = hs_rpc_new (made, ev, &self, KEY, &handler, made);
  assert_true (hs_rpc_listen (made->rpc, "127.0.0.1:0", NULL));
  return made;
}

static void
up (void *arg, HsConn *conn)
{
  ((Entry *) arg)->conn = conn;
}

static void
down (void *arg, HsConn *conn, bool refused)
{
  Entry *own = arg;

  (void) refused;
  if (own->conn == conn)
    own->conn = NULL;
  own->n_credits = 0;
}

static void
call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId id, void *args)
{
  Entry *own = arg;
  const hsx_result_args *results = args;
  const hsx_grant_args *grant = args;
  const hsx_announce_args *announce = args;
  hsx_announce_reply reply = { .accepted = TRUE };
  uint32_t i;

  switch (proc)
    {
    case HSX_ANNOUNCE:
      own->member = announce->self.state;
      own->announced_slots = announce->self.slots;
      hs_conn_reply (conn, id, proc, &reply);
      return;
    case HSX_GRANT:
      own->n_credits = grant->credits.credits_len;
      for (i = 0; i < own->n_credits; i++)
        own->credits[i] = grant->credits.credits_val[i];
      return;
    case HSX_RESULT:
      for (i = 0; i < results->results.results_len; i++)
        see (own, &own->seen[own->n_seen++], &results->results.results_val[i]);
      return;
    default:
      fail ();
    }
}

static void
see (Entry *own, Seen *seen, const hsx_result *result)
{
  *seen = (Seen){ .outcome = result->outcome,
                  .refusal = result->refusal,
                  .index = result->key.index,
                  .http_status = result->http_status,
                  .has_next = result->next != NULL };
  if (result->body.body_len > 0)
    memcpy (seen->body, result->body.body_val,
            MIN (result->body.body_len, sizeof seen->body - 1));
  if (result->next != NULL)
    own->credits[own->n_credits++] = *result->next;
}

static void
recovered (void *arg, HsRpcStatus status, const void *result)
{
  Entry *own = arg;
  const hsx_recover_reply *reply = result;
  uint32_t i;

  assert_int_equal (status, HS_RPC_OK);
  own->next = reply->next;
  own->remembers_s = reply->remembers_s;
  for (i = 0; i < reply->records.records_len; i++)
    see (own, &own->replied[own->n_replied++], &reply->records.records_val[i]);
  own->replies++;
}

static void
settled (void *arg, HsRpcStatus status, const void *result)
{
  Entry *own = arg;
  const hsx_settle_reply *reply = result;
  uint32_t i;

  assert_int_equal (status, HS_RPC_OK);
  for (i = 0; i < reply->results.results_len; i++)
    see (own, &own->replied[own->n_replied++], &reply->results.results_val[i]);
  own->replies++;
}

static void
start_target (TargetFault fault)
{
  TargetOptions options = { .listen = "127.0.0.1:0",
                            .key = KEY,
                            .slots = SLOTS,
                            .memory_mb = 64,
                            .ttl_ms = 3000,
                            .seed = 1,
                            .fault = fault };

  options.agent
      = talloc_asprintf (ev, "127.0.0.1:%u", hs_agent_target_port (agent));
  target = target_new (ev, ev, &options, NULL);
  assert_non_null (target);
  WAIT_UNTIL (entry->announced_slots == SLOTS && entry->n_credits >= SLOTS);
}

static void
start (Entry *from, uint64_t epoch, uint32_t index, const char *body)
{
  start_for (from, epoch, index, body, 30000);
}

static void
start_for (Entry *from,
           uint64_t epoch,
           uint32_t index,
           const char *body,
           uint32_t timeout_ms)
{
  hsx_start one = {
    .key = { .part = PART, .customer = "c1", .id = "j b", .index = index },
    .epoch = epoch,
    .permit_us = 60 * HS_SEC,
    .timeout_ms = timeout_ms,
    .body = { .body_len = (u_int) strlen (body), .body_val = (char *) body },
  };
  hsx_start_args args = { .starts = { .starts_len = 1, .starts_val = &one } };

  assert_true (from->n_credits > 0);
  one.credit = from->credits[--from->n_credits];
  assert_true (
      hs_conn_call (from->conn, HSX_START, &args, HS_NEVER, NULL, NULL));
}

static const Seen *
result_of (const Entry *of, uint32_t index)
{
  uint32_t i;

  for (i = 0; i < of->n_seen; i++)
    if (of->seen[i].index == index)
      return &of->seen[i];
  return NULL;
}

static void
recover (Entry *from, uint64_t epoch)
{
  hsx_part_epoch part = { .part = PART, .epoch = epoch };
  hsx_recover_args args = { .parts = { .parts_len = 1, .parts_val = &part },
                            .cursor = from->next };

  assert_true (
      hs_conn_call (from->conn, HSX_RECOVER, &args, HS_NEVER, recovered, from));
}

static void
on_guard (struct tevent_context *loop,
          struct tevent_timer *te,
          struct timeval now,
          void *arg)
{
  (void) loop;
  (void) te;
  (void) now;
  (void) arg;
  hangs = true;
}

static void
wait_once (void)
{
  assert_int_equal (tevent_loop_once (ev), 0);
  assert_false (hangs);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_task_runs_and_its_slot_returns, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (a_task_never_starts_twice, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (an_answer_that_is_not_whole_is_maybe,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (a_second_answer_is_no_other_tasks_answer,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_new_owner_gets_all_records_and_later_results, setup, teardown),
    cmocka_unit_test_setup_teardown (a_result_without_a_connection_is_kept,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (records_come_in_pages_bounded_in_bytes,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (a_leave_waits_for_what_runs, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (an_agent_leaves_after_its_last_result,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (a_closed_target_started_nothing, setup,
                                     teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
