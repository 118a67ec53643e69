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
  int n_connected;
  int n_disconnected;
  int n_calls;
  int n_replies;
  bool refused;
  HsRpcStatus last_status;
  uint32_t last_idle;
  bool answer_calls;
} TestNet;

static void
on_connected (void *arg, HsConn *conn)
{
  TestNet *net = arg;

  (void) conn;
  net->n_connected++;
}

static void
on_disconnected (void *arg, HsConn *conn, bool refused)
{
  TestNet *net = arg;

  (void) conn;
  net->n_disconnected++;
  net->refused = net->refused || refused;
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  TestNet *net = arg;
  hsx_borrow_args *borrow = args;
  hsx_borrow_reply reply = { 0 };

  net->n_calls++;
  if (proc != HSX_BORROW || !net->answer_calls)
    return;
  reply.idle = borrow->want + 1;
  hs_conn_reply (conn, call, proc, &reply);
}

static void
on_reply (void *arg, HsRpcStatus status, const void *result)
{
  TestNet *net = arg;
  const hsx_borrow_reply *reply = result;

  net->n_replies++;
  net->last_status = status;
  net->last_idle = reply != NULL ? reply->idle : 0;
}

static TestNet *
test_net_new (const char *server_key, const char *client_key)
{
  TestNet *net = talloc_zero (NULL, TestNet);
  HsRpcHandler handler = { on_connected, on_disconnected, on_call };
  hsx_hello hello = { 0 };
  char address[64];

  net->answer_calls = true;
  net->ev = tevent_context_init (net);
  hello.role = HSX_ROLE_ENTRY;
  hello.incarnation = 7;
  hello.address = (char *) "127.0.0.1:1";
  hello.data_centre = (char *) "a";
  net->server = hs_rpc_new (net, net->ev, &hello, server_key, &handler, net);
  hello.incarnation = 8;
  net->client = hs_rpc_new (net, net->ev, &hello, client_key, &handler, net);
  assert_true (hs_rpc_listen (net->server, "127.0.0.1:0", NULL));
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              hs_rpc_port (net->server));
  net->conn = hs_rpc_dial (net->client, address);
  return net;
}

static void
run_until (TestNet *net, const int *count, int value)
{
  while (*count < value)
    assert_int_equal (tevent_loop_once (net->ev), 0);
}

static void
a_call_is_answered (void **state)
{
  TestNet *net = test_net_new ("0123456789abcdef", "0123456789abcdef");
  hsx_borrow_args args = { 41, 0, 0 };

  (void) state;
  run_until (net, &net->n_connected, 2);
  assert_int_equal (hs_conn_peer (net->conn)->incarnation, 7);
  assert_true (
      hs_conn_call (net->conn, HSX_BORROW, &args, HS_SEC, on_reply, net));
  run_until (net, &net->n_replies, 1);
  assert_int_equal (net->last_status, HS_RPC_OK);
  assert_int_equal (net->last_idle, 42);
  talloc_free (net);
}

static void
a_peer_with_another_cluster_key_is_rejected (void **state)
{
  TestNet *net = test_net_new ("0123456789abcdef", "0123456789abcdeX");

  (void) state;
  run_until (net, &net->n_disconnected, 2);
  assert_int_equal (net->n_connected, 0);
  assert_int_equal (hs_rpc_stats (net->server)->rejected_records, 1);
  talloc_free (net);
}

static void
a_lost_connection_ends_the_call_as_disconnected (void **state)
{
  TestNet *net = test_net_new ("0123456789abcdef", "0123456789abcdef");
  hsx_borrow_args args = { 1, 0, 0 };

  (void) state;
  net->answer_calls = false;
  run_until (net, &net->n_connected, 2);
  assert_true (
      hs_conn_call (net->conn, HSX_BORROW, &args, HS_NEVER, on_reply, net));
  run_until (net, &net->n_calls, 1);
  hs_conn_close (net->conn);
  assert_int_equal (net->n_replies, 1);
  assert_int_equal (net->last_status, HS_RPC_DISCONNECTED);
  run_until (net, &net->n_disconnected, 2);
  talloc_free (net);
}

static void
a_closed_port_is_reported_as_refused (void **state)
{
  TestNet *net = test_net_new ("0123456789abcdef", "0123456789abcdef");
  char address[64];

  (void) state;
  run_until (net, &net->n_connected, 2);
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              hs_rpc_port (net->server));
  hs_rpc_stop_listening (net->server);
  hs_rpc_dial (net->client, address);
  run_until (net, &net->n_disconnected, 1);
  assert_true (net->refused);
  talloc_free (net);
}

static HsRecordChannel
test_channel (uint8_t direction)
{
  static const uint8_t key[HS_KEY_SIZE] = { 1, 2, 3 };
  HsRecordChannel channel = { .direction = direction };

  hs_record_set_key (&channel, key);
  return channel;
}

static void
replayed_altered_and_reflected_records_are_rejected (void **state)
{
  HsRecordChannel out = test_channel ('D');
  HsRecordChannel in = test_channel ('D');
  HsRecordChannel back = test_channel ('L');
  hsx_borrow_args args = { 1, 2, 3 };
  GByteArray *bytes = g_byte_array_new ();
  HsRecordHeader header;
  uint8_t copy[512];
  size_t n;
  size_t i;

  (void) state;
  assert_true (hs_record_append_call (bytes, &out, 5, HSX_BORROW, &args));
  assert_int_equal (hs_record_length (bytes->data, bytes->len, &n), 1);
  for (i = 0; i < n; i++)
    {
      memcpy (copy, bytes->data + 4, n);
      copy[i] ^= 1;
      assert_false (hs_record_verify (copy, n, &in, &header));
    }
  memcpy (copy, bytes->data + 4, n);
  assert_false (hs_record_verify (copy, n, &back, &header));
  memcpy (copy, bytes->data + 4, n);
  assert_true (hs_record_verify (copy, n, &in, &header));
  assert_int_equal (header.xid, 5);
  memcpy (copy, bytes->data + 4, n);
  assert_false (hs_record_verify (copy, n, &in, &header));
  g_byte_array_unref (bytes);
}

static void
record_marks_that_are_too_large_or_fragmented_are_rejected (void **state)
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
    cmocka_unit_test (a_peer_with_another_cluster_key_is_rejected),
    cmocka_unit_test (a_lost_connection_ends_the_call_as_disconnected),
    cmocka_unit_test (a_closed_port_is_reported_as_refused),
    cmocka_unit_test (replayed_altered_and_reflected_records_are_rejected),
    cmocka_unit_test (
        record_marks_that_are_too_large_or_fragmented_are_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
