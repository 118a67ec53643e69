/* Failure detection with fake links and connections: the functions defined here
   take precedence over those of the library. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "entry/core.h"
#include "rpc/probe.h"

#define SELF 1
#define OTHER_ENTRY 2
#define THIRD_ENTRY 3
#define REGISTERED_AGENT 11
#define FOREIGN_AGENT 12
#define UNKNOWN_AGENT 13

#define CALLS_MAX 16

struct HsConn
{
  hsx_hello peer;
  bool closed;
};

typedef struct
{
  uint64_t to;
  uint32_t proc;
  uint64_t subject; /* Of SUSPECT: the lost process; of PROBE: suspected_by. */
  HsTime timeout;
  HsRpcReplyFunc done;
  void *arg;
} Call;

static HsConn conns[] = {
  { .peer = { .role = HSX_ROLE_ENTRY,
              .incarnation = OTHER_ENTRY,
              .address = (char *) "a" } },
  { .peer = { .role = HSX_ROLE_ENTRY,
              .incarnation = THIRD_ENTRY,
              .address = (char *) "a" } },
  { .peer = { .role = HSX_ROLE_AGENT,
              .incarnation = REGISTERED_AGENT,
              .address = (char *) "a" } },
  { .peer = { .role = HSX_ROLE_AGENT,
              .incarnation = FOREIGN_AGENT,
              .address = (char *) "a" } },
};
static Call calls[CALLS_MAX];
static uint32_t n_calls;
static uint32_t n_replies;
static HsCore *core;

static HsConn *conn_of (uint64_t incarnation);
static uint32_t count_calls (uint64_t to, uint32_t proc, uint64_t subject);

static int
setup (void **state)
{
  hsx_member own = { .incarnation = REGISTERED_AGENT, .home = SELF };
  hsx_member others = { .incarnation = FOREIGN_AGENT, .home = OTHER_ENTRY };
  uint32_t i;

  (void) state;
  core = talloc_zero (NULL, HsCore);
  core->incarnation = SELF;
  core->members = hs_members_new (core);
  own.address = own.data_centre = own.rack = (char *) "a";
  others.address = others.data_centre = others.rack = (char *) "a";
  hs_members_merge (core->members, &own, 0);
  hs_members_merge (core->members, &others, 0);
  n_calls = 0;
  n_replies = 0;
  for (i = 0; i < G_N_ELEMENTS (conns); i++)
    conns[i].closed = false;
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (core);
  return 0;
}

static void
only_the_registrar_has_a_short_keepalive (void **state)
{
  (void) state;
  assert_int_equal (hs_suspicions_keepalive (core, REGISTERED_AGENT),
                    HS_CONN_KEEPALIVE_SHORT);
  assert_int_equal (hs_suspicions_keepalive (core, FOREIGN_AGENT),
                    HS_CONN_KEEPALIVE_LONG);
  assert_int_equal (hs_suspicions_keepalive (core, UNKNOWN_AGENT),
                    HS_CONN_KEEPALIVE_LONG);
}

static void
registrar_reports_lost_agent_to_all_entries (void **state)
{
  (void) state;
  hs_suspicions_agent_down (core, REGISTERED_AGENT);
  assert_int_equal (n_calls, 2);
  assert_int_equal (count_calls (OTHER_ENTRY, HSX_SUSPECT, REGISTERED_AGENT),
                    1);
  assert_int_equal (count_calls (THIRD_ENTRY, HSX_SUSPECT, REGISTERED_AGENT),
                    1);
  hs_suspicions_agent_down (core, FOREIGN_AGENT);
  assert_int_equal (n_calls, 2);
}

/* All agents check their connection to the lost entry; this entry probes the
   agents that were registered with it. */
static void
lost_entry_is_reported_to_all_agents (void **state)
{
  (void) state;
  hs_suspicions_entry_down (core, OTHER_ENTRY);
  assert_int_equal (n_calls, 3);
  assert_int_equal (count_calls (REGISTERED_AGENT, HSX_SUSPECT, OTHER_ENTRY),
                    1);
  assert_int_equal (count_calls (FOREIGN_AGENT, HSX_SUSPECT, OTHER_ENTRY), 1);
  assert_int_equal (count_calls (FOREIGN_AGENT, HSX_PROBE, OTHER_ENTRY), 1);
}

static void
suspicion_only_probes_the_suspect (void **state)
{
  hsx_suspect_args suspect = { FOREIGN_AGENT };
  hsx_suspect_args unknown = { UNKNOWN_AGENT };

  (void) state;
  hs_suspicions_handle_suspect (core, OTHER_ENTRY, &suspect);
  hs_suspicions_handle_suspect (core, OTHER_ENTRY, &unknown);
  assert_int_equal (n_calls, 1);
  assert_int_equal (count_calls (FOREIGN_AGENT, HSX_PROBE, OTHER_ENTRY), 1);
  assert_int_equal (calls[0].timeout, HS_PROBE_TIMEOUT);
  calls[0].done (calls[0].arg, HS_RPC_OK, NULL);
  assert_false (conn_of (FOREIGN_AGENT)->closed);
  calls[0].done (calls[0].arg, HS_RPC_DISCONNECTED, NULL);
  assert_false (conn_of (FOREIGN_AGENT)->closed);
  calls[0].done (calls[0].arg, HS_RPC_TIMEOUT, NULL);
  assert_true (conn_of (FOREIGN_AGENT)->closed);
  assert_false (conn_of (REGISTERED_AGENT)->closed);
}

/* A suspected process probes the process that suspects it. It does so without
   a suspicion of its own, so the probes end there. */
static void
probe_is_answered_and_returned_once (void **state)
{
  hsx_probe_args suspected = { OTHER_ENTRY };
  hsx_probe_args plain = { 0 };

  (void) state;
  hs_suspicions_handle_probe (core, conn_of (REGISTERED_AGENT), 1, &suspected);
  assert_int_equal (n_replies, 1);
  assert_int_equal (n_calls, 1);
  assert_int_equal (count_calls (OTHER_ENTRY, HSX_PROBE, 0), 1);
  hs_suspicions_handle_probe (core, conn_of (OTHER_ENTRY), 2, &plain);
  assert_int_equal (n_replies, 2);
  assert_int_equal (n_calls, 1);
}

void
hs_links_foreach (HsLinks *links,
                  hsx_role role,
                  void (*func) (void *arg, HsConn *conn),
                  void *arg)
{
  uint32_t i;

  (void) links;
  for (i = 0; i < G_N_ELEMENTS (conns); i++)
    if (conns[i].peer.role == role)
      func (arg, &conns[i]);
}

void
hs_links_probe (HsLinks *links, uint64_t incarnation, uint64_t suspected_by)
{
  HsConn *conn = conn_of (incarnation);

  (void) links;
  if (conn != NULL)
    hs_probe (conn, suspected_by);
}

const hsx_hello *
hs_conn_peer (const HsConn *conn)
{
  return &conn->peer;
}

void
hs_conn_close (HsConn *conn)
{
  conn->closed = true;
}

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  Call *call = &calls[n_calls++];

  *call = (Call){ .to = conn->peer.incarnation,
                  .proc = proc,
                  .timeout = timeout,
                  .done = done,
                  .arg = arg };
  call->subject = proc == HSX_PROBE
                      ? ((const hsx_probe_args *) args)->suspected_by
                      : ((const hsx_suspect_args *) args)->incarnation;
  return true;
}

bool
hs_conn_reply (HsConn *conn,
               HsRpcCallId call,
               uint32_t proc,
               const void *result)
{
  (void) conn;
  (void) call;
  assert_int_equal (proc, HSX_PROBE);
  assert_true (((const hsx_probe_reply *) result)->alive);
  n_replies++;
  return true;
}

static HsConn *
conn_of (uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < G_N_ELEMENTS (conns); i++)
    if (conns[i].peer.incarnation == incarnation)
      return &conns[i];
  return NULL;
}

static uint32_t
count_calls (uint64_t to, uint32_t proc, uint64_t subject)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < n_calls; i++)
    n += calls[i].to == to && calls[i].proc == proc
         && calls[i].subject == subject;
  return n;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (only_the_registrar_has_a_short_keepalive,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        registrar_reports_lost_agent_to_all_entries, setup, teardown),
    cmocka_unit_test_setup_teardown (lost_entry_is_reported_to_all_agents,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (suspicion_only_probes_the_suspect, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (probe_is_answered_and_returned_once, setup,
                                     teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
