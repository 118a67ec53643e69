#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "rpc/conn.h"
#include "rpc/record.h"

typedef struct
{
  struct tevent_context *ev;
  HsRpc *server;
  HsRpc *client;
  HsConn *conn;
  int up;
  int down;
  int calls;
  int replies;
  bool refused;
  HsRpcStatus last_status;
  uint32_t last_idle;
  bool answer_calls;
} World;

static void
on_up (void *arg, HsConn *conn)
{
  World *w = arg;

  (void) conn;
  w->up++;
}

static void
on_down (void *arg, HsConn *conn, bool refused)
{
  World *w = arg;

  (void) conn;
  w->down++;
  w->refused = w->refused || refused;
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  World *w = arg;
  hsx_borrow_args *borrow = args;
  hsx_borrow_reply reply = { 0 };

  w->calls++;
  if (proc != HSX_BORROW || !w->answer_calls)
    return;
  reply.idle = borrow->want + 1;
  hs_conn_reply (conn, call, proc, &reply);
}

static void
on_reply (void *arg, HsRpcStatus status, const void *result)
{
  World *w = arg;
  const hsx_borrow_reply *reply = result;

  w->replies++;
  w->last_status = status;
  w->last_idle = reply != NULL ? reply->idle : 0;
}

static World *
world_new (const char *server_key, const char *client_key)
{
  World *w = talloc_zero (NULL, World);
  HsRpcHandler handler = { on_up, on_down, on_call };
  hsx_hello hello = { 0 };
  char address[64];

  w->answer_calls = true;
  w->ev = tevent_context_init (w);
  hello.role = HSX_ROLE_ENTRY;
  hello.incarnation = 7;
  hello.address = (char *) "127.0.0.1:1";
  hello.data_centre = (char *) "a";
  w->server = hs_rpc_new (w, w->ev, &hello, server_key, &handler, w);
  hello.incarnation = 8;
  w->client = hs_rpc_new (w, w->ev, &hello, client_key, &handler, w);
  assert_true (hs_rpc_listen (w->server, "127.0.0.1:0", NULL));
  g_snprintf (address, sizeof address, "127.0.0.1:%u", hs_rpc_port (w->server));
  w->conn = hs_rpc_dial (w->client, address);
  return w;
}

static void
turn_until (World *w, const int *count, int value)
{
  while (*count < value)
    assert_int_equal (tevent_loop_once (w->ev), 0);
}

static void
a_call_is_answered (void **state)
{
  World *w = world_new ("0123456789abcdef", "0123456789abcdef");
  hsx_borrow_args args = { 41, 0, 0 };

  (void) state;
  turn_until (w, &w->up, 2);
  assert_int_equal (hs_conn_peer (w->conn)->incarnation, 7);
  assert_true (hs_conn_call (w->conn, HSX_BORROW, &args, HS_SEC, on_reply, w));
  turn_until (w, &w->replies, 1);
  assert_int_equal (w->last_status, HS_RPC_OK);
  assert_int_equal (w->last_idle, 42);
  talloc_free (w);
}

static void
another_cluster_key_is_refused (void **state)
{
  World *w = world_new ("0123456789abcdef", "0123456789abcdeX");

  (void) state;
  turn_until (w, &w->down, 2);
  assert_int_equal (w->up, 0);
  assert_int_equal (hs_rpc_stats (w->server)->refused_records, 1);
  talloc_free (w);
}

static void
a_lost_connection_ends_the_call_as_broken (void **state)
{
  World *w = world_new ("0123456789abcdef", "0123456789abcdef");
  hsx_borrow_args args = { 1, 0, 0 };

  (void) state;
  w->answer_calls = false;
  turn_until (w, &w->up, 2);
  assert_true (
      hs_conn_call (w->conn, HSX_BORROW, &args, HS_NEVER, on_reply, w));
  turn_until (w, &w->calls, 1);
  hs_conn_close (w->conn);
  assert_int_equal (w->replies, 1);
  assert_int_equal (w->last_status, HS_RPC_BROKEN);
  turn_until (w, &w->down, 2);
  talloc_free (w);
}

static void
a_closed_port_is_told_as_refused (void **state)
{
  World *w = world_new ("0123456789abcdef", "0123456789abcdef");
  char address[64];

  (void) state;
  turn_until (w, &w->up, 2);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", hs_rpc_port (w->server));
  hs_rpc_stop_listening (w->server);
  hs_rpc_dial (w->client, address);
  turn_until (w, &w->down, 1);
  assert_true (w->refused);
  talloc_free (w);
}

static HsRecordChannel
test_channel (uint8_t direction)
{
  HsRecordChannel channel = { { 1, 2, 3 }, direction, 0 };

  return channel;
}

static void
replayed_altered_and_reflected_records_are_refused (void **state)
{
  HsRecordChannel out = test_channel ('D');
  HsRecordChannel in = test_channel ('D');
  HsRecordChannel back = test_channel ('L');
  hsx_borrow_args args = { 1, 2, 3 };
  GByteArray *bytes = g_byte_array_new ();
  HsRecordHead head;
  uint8_t copy[512];
  size_t n;
  size_t i;

  (void) state;
  assert_true (hs_record_put_call (bytes, &out, 5, HSX_BORROW, &args));
  assert_int_equal (hs_record_length (bytes->data, bytes->len, &n), 1);
  for (i = 0; i < n; i++)
    {
      memcpy (copy, bytes->data + 4, n);
      copy[i] ^= 1;
      assert_false (hs_record_open (copy, n, &in, &head));
    }
  memcpy (copy, bytes->data + 4, n);
  assert_false (hs_record_open (copy, n, &back, &head));
  memcpy (copy, bytes->data + 4, n);
  assert_true (hs_record_open (copy, n, &in, &head));
  assert_int_equal (head.xid, 5);
  memcpy (copy, bytes->data + 4, n);
  assert_false (hs_record_open (copy, n, &in, &head));
  g_byte_array_unref (bytes);
}

static void
marks_that_are_too_large_or_split_are_refused (void **state)
{
  uint8_t large[4] = { 0xff, 0xff, 0xff, 0xff };
  uint8_t split[4] = { 0, 0, 0, 8 };
  uint8_t partial[3] = { 0x80, 0, 0 };
  size_t n;

  (void) state;
  assert_int_equal (hs_record_length (large, 4, &n), -1);
  assert_int_equal (hs_record_length (split, 4, &n), -1);
  assert_int_equal (hs_record_length (partial, 3, &n), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_call_is_answered),
    cmocka_unit_test (another_cluster_key_is_refused),
    cmocka_unit_test (a_lost_connection_ends_the_call_as_broken),
    cmocka_unit_test (a_closed_port_is_told_as_refused),
    cmocka_unit_test (replayed_altered_and_reflected_records_are_refused),
    cmocka_unit_test (marks_that_are_too_large_or_split_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
