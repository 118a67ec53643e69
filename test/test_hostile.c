/**
 * @file
 * Hostile peers against a real RPC endpoint, and a hostile agent against an
 * owner. A well-behaved client must be served throughout.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "owner_fixture.h"
#include "rpc/conn.h"
#include "rpc/record.h"

#define KEY "0123456789abcdef"
#define LAST_FRAGMENT 0x80000000u
/** Bound on the bytes that an endpoint may read before HELLO. */
#define UNGREETED_BYTES_MAX 2048
/** Offsets of the procedure's last byte and of the authentication code in the
 *  record of a call. */
#define PROC_OFFSET 23
#define MAC_OFFSET 48
#define MAC_SIZE 16
#define EXCESS_CONNECTIONS 20
#define BORROW_WANT 41

typedef struct
{
  struct tevent_context *ev;
  HsRpc *server;
  HsRpc *client;
  HsConn *conn; /**< Connection of the well-behaved client. */
  int n_connected;
  int n_disconnected;
  int n_calls;
  int n_client_connected;
  int n_replies;
} Net;

/** A peer that writes arbitrary bytes to its socket. */
typedef struct
{
  int fd;
  HsRecordChannel out;
  uint8_t key[HS_KEY_SIZE]; /**< Of `out`. */
  uint8_t hello[512];
  size_t hello_len;
} Peer;

static void
on_up (void *arg, HsConn *conn)
{
  (void) conn;
  ((Net *) arg)->n_connected++;
}

static void
on_down (void *arg, HsConn *conn, bool refused)
{
  (void) conn;
  (void) refused;
  ((Net *) arg)->n_disconnected++;
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  const hsx_borrow_args *borrow = args;
  hsx_borrow_reply reply = { { 0, NULL }, borrow->want + 1 };

  ((Net *) arg)->n_calls++;
  assert_int_equal (proc, HSX_BORROW);
  hs_conn_reply (conn, call, proc, &reply);
}

static void
on_client_up (void *arg, HsConn *conn)
{
  (void) conn;
  ((Net *) arg)->n_client_connected++;
}

static void
on_reply (void *arg, HsRpcStatus status, const void *result)
{
  assert_int_equal (status, HS_RPC_OK);
  assert_int_equal (((const hsx_borrow_reply *) result)->idle, BORROW_WANT + 1);
  ((Net *) arg)->n_replies++;
}

static void
run_until (Net *net, const int *count, int value)
{
  while (*count < value)
    assert_int_equal (tevent_loop_once (net->ev), 0);
}

/** Calls the server as the well-behaved client and waits for the reply. */
static void
expect_answered (Net *net)
{
  hsx_borrow_args args = { BORROW_WANT, 0, 0 };

  assert_true (
      hs_conn_call (net->conn, HSX_BORROW, &args, HS_NEVER, on_reply, net));
  run_until (net, &net->n_replies, net->n_replies + 1);
}

static int
set_up (void **state)
{
  Net *net = talloc_zero (NULL, Net);
  HsRpcHandler server = { on_up, on_down, on_call };
  HsRpcHandler client = { on_client_up, NULL, NULL };
  hsx_hello hello = { .role = HSX_ROLE_ENTRY, .incarnation = 7 };
  char address[64];

  hello.address = (char *) "127.0.0.1:1";
  hello.data_centre = (char *) "a";
  net->ev = tevent_context_init (net);
  net->server = hs_rpc_new (net, net->ev, &hello, KEY, &server, net);
  net->client = hs_rpc_new (net, net->ev, &hello, KEY, &client, net);
  assert_true (hs_rpc_listen (net->server, "127.0.0.1:0", NULL));
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              hs_rpc_port (net->server));
  net->conn = hs_rpc_dial (net->client, address);
  run_until (net, &net->n_client_connected, 1);
  run_until (net, &net->n_connected, 1);
  expect_answered (net);
  *state = net;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static void
send_bytes (const Peer *peer, const void *bytes, size_t n)
{
  assert_int_equal (send (peer->fd, bytes, n, MSG_NOSIGNAL), n);
}

static int
connect_to (const Net *net)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (hs_rpc_port (net->server)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address),
                    0);
  return fd;
}

static Peer
peer_new (const Net *net)
{
  Peer peer = { .fd = connect_to (net), .out = { .direction = 'D' } };

  hs_record_derive_key ((const uint8_t *) KEY, strlen (KEY), "hello-call", NULL,
                        0, NULL, 0, peer.key);
  hs_record_set_key (&peer.out, peer.key);
  return peer;
}

static void
send_call (Peer *peer, uint32_t proc, const void *args)
{
  GByteArray *bytes = g_byte_array_new ();

  assert_true (hs_record_append_call (bytes, &peer->out, 1, proc, args));
  send_bytes (peer, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

static void
send_reply (Peer *peer, uint32_t xid)
{
  hsx_borrow_reply reply = { { 0, NULL }, 0 };
  GByteArray *bytes = g_byte_array_new ();

  assert_true (
      hs_record_append_reply (bytes, &peer->out, xid, HSX_BORROW, &reply));
  send_bytes (peer, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

static hsx_hello
peer_hello (void)
{
  hsx_hello hello = { .role = HSX_ROLE_AGENT, .incarnation = 9 };

  hello.address = (char *) "127.0.0.1:2";
  hello.data_centre = (char *) "b";
  memset (hello.nonce, 'n', sizeof hello.nonce);
  return hello;
}

/** Writes the record of HELLO to @p peer, to be sent once or replayed. */
static void
write_hello (Peer *peer)
{
  hsx_hello hello = peer_hello ();
  GByteArray *bytes = g_byte_array_new ();

  assert_true (hs_record_append_call (bytes, &peer->out, 1, HSX_HELLO, &hello));
  assert_true (bytes->len <= sizeof peer->hello);
  memcpy (peer->hello, bytes->data, bytes->len);
  peer->hello_len = bytes->len;
  g_byte_array_unref (bytes);
}

/** Reads the reply to HELLO and derives the key of the session. */
static void
derive_session_key (Net *net, Peer *peer)
{
  hsx_hello mine = peer_hello ();
  HsRecordChannel in = { .direction = 'L' };
  uint8_t key[HS_KEY_SIZE];
  HsRecordHeader head;
  hsx_hello theirs = { 0 };
  uint8_t bytes[512];
  size_t length = 0;
  ssize_t n = 0;

  while (n < HS_RECORD_MARK_SIZE || hs_record_length (bytes, n, &length) == 0)
    {
      ssize_t got = recv (peer->fd, bytes + n, sizeof bytes - n, MSG_DONTWAIT);

      n += got > 0 ? got : 0;
      if (got < 0)
        assert_int_equal (tevent_loop_once (net->ev), 0);
    }
  hs_record_derive_key ((const uint8_t *) KEY, strlen (KEY), "hello-reply",
                        mine.nonce, sizeof mine.nonce, NULL, 0, key);
  hs_record_set_key (&in, key);
  assert_true (
      hs_record_verify (bytes + HS_RECORD_MARK_SIZE, length, &in, &head));
  assert_true (hs_record_decode (bytes + HS_RECORD_MARK_SIZE + head.body_offset,
                                 length - head.body_offset,
                                 (xdrproc_t) xdr_hsx_hello, &theirs));
  hs_record_derive_key ((const uint8_t *) KEY, strlen (KEY), "session",
                        mine.nonce, sizeof mine.nonce, theirs.nonce,
                        sizeof theirs.nonce, peer->key);
  hs_record_set_key (&peer->out, peer->key);
  peer->out.sequence = 1;
  xdr_free ((xdrproc_t) xdr_hsx_hello, (char *) &theirs);
}

/** Returns a peer that knows the cluster key and has opened a session. */
static Peer
authenticated_peer_new (Net *net)
{
  Peer peer = peer_new (net);

  write_hello (&peer);
  send_bytes (&peer, peer.hello, peer.hello_len);
  derive_session_key (net, &peer);
  send_call (&peer, HSX_NULL, NULL);
  run_until (net, &net->n_connected, 2);
  net->n_connected = 1;
  return peer;
}

/** Waits until the server closes the connection of @p peer; @p refused records
 *  must have been refused by then, and no call delivered. */
static void
expect_disconnected (Net *net, Peer *peer, uint64_t refused)
{
  int calls = net->n_calls;

  run_until (net, &net->n_disconnected, net->n_disconnected + 1);
  assert_int_equal (hs_rpc_stats (net->server)->rejected_records, refused);
  assert_int_equal (net->n_calls, calls);
  assert_int_equal (net->n_connected, 1);
  close (peer->fd);
  expect_answered (net);
}

static void
malformed_first_records_are_refused (void **state)
{
  static const struct
  {
    const char *bytes;
    size_t n;
  } RECORDS[] = {
    { "GET / HTTP/1.1\r\n\r\n", 18 },
    { "\x00\x00\x00\x0cxxxxxxxxxxxx",
      16 },                             /* Not marked as the last fragment. */
    { "\x80\x00\x00\x00", 4 },          /* Length 0. */
    { "\xff\xff\xff\xff", 4 },          /* Longer than the maximum. */
    { "\x80\x00\x00\x08xxxxxxxx", 12 }, /* Shorter than the header. */
  };
  Net *net = *state;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (RECORDS); i++)
    {
      Peer peer = peer_new (net);

      send_bytes (&peer, RECORDS[i].bytes, RECORDS[i].n);
      expect_disconnected (net, &peer, i + 1);
    }
}

static void
few_bytes_are_read_before_hello (void **state)
{
  Net *net = *state;
  uint64_t before = hs_rpc_stats (net->server)->bytes_received;
  uint32_t mark = htonl (LAST_FRAGMENT | HS_RECORD_MAX_BYTES);
  g_autofree char *flood = g_strnfill (65536, 'x');
  Peer peer = peer_new (net);

  send_bytes (&peer, &mark, sizeof mark);
  send_bytes (&peer, flood, 65536);
  run_until (net, &net->n_disconnected, 1);
  assert_int_equal (hs_rpc_stats (net->server)->rejected_records, 1);
  assert_true (hs_rpc_stats (net->server)->bytes_received - before
               <= UNGREETED_BYTES_MAX);
  close (peer.fd);
  expect_answered (net);
}

static void
a_wrong_cluster_key_is_refused (void **state)
{
  Net *net = *state;
  Peer peer = peer_new (net);

  peer.key[0] ^= 1;
  hs_record_set_key (&peer.out, peer.key);
  write_hello (&peer);
  send_bytes (&peer, peer.hello, peer.hello_len);
  expect_disconnected (net, &peer, 1);
}

static void
a_call_before_hello_is_refused (void **state)
{
  hsx_borrow_args args = { BORROW_WANT, 0, 0 };
  Net *net = *state;
  Peer peer = peer_new (net);

  send_call (&peer, HSX_BORROW, &args);
  expect_disconnected (net, &peer, 1);
}

static void
a_replayed_hello_opens_no_session (void **state)
{
  hsx_borrow_args args = { BORROW_WANT, 0, 0 };
  Net *net = *state;
  Peer honest = authenticated_peer_new (net);
  Peer replay = peer_new (net);

  send_bytes (&replay, honest.hello, honest.hello_len);
  derive_session_key (net, &replay);
  assert_int_equal (net->n_connected, 1);
  /* A peer that only copied HELLO can't derive the key of this session. */
  replay.out = honest.out;
  replay.out.sequence = 1;
  send_call (&replay, HSX_BORROW, &args);
  expect_disconnected (net, &replay, 1);
  close (honest.fd);
}

static void
a_replayed_call_is_refused (void **state)
{
  hsx_borrow_args args = { BORROW_WANT, 0, 0 };
  Net *net = *state;
  Peer peer = authenticated_peer_new (net);
  HsRecordChannel before = peer.out;
  int calls = net->n_calls;

  send_call (&peer, HSX_BORROW, &args);
  run_until (net, &net->n_calls, calls + 1);
  peer.out = before;
  send_call (&peer, HSX_BORROW, &args);
  expect_disconnected (net, &peer, 1);
}

static void
a_second_hello_is_refused (void **state)
{
  hsx_hello hello = peer_hello ();
  Net *net = *state;
  Peer peer = authenticated_peer_new (net);

  send_call (&peer, HSX_HELLO, &hello);
  expect_disconnected (net, &peer, 1);
}

static void
replies_without_a_call_are_refused (void **state)
{
  Net *net = *state;
  Peer peer = authenticated_peer_new (net);

  send_reply (&peer, 0);
  expect_disconnected (net, &peer, 1);
  peer = authenticated_peer_new (net);
  send_reply (&peer, 99);
  expect_disconnected (net, &peer, 2);
}

static void
an_oversized_record_of_an_authenticated_peer_is_refused (void **state)
{
  uint32_t mark = htonl (LAST_FRAGMENT | (HS_RECORD_MAX_BYTES + 1));
  Net *net = *state;
  Peer peer = authenticated_peer_new (net);

  send_bytes (&peer, &mark, sizeof mark);
  expect_disconnected (net, &peer, 1);
}

/** Recomputes the authentication code of a changed record. */
static void
reseal_record (const Peer *peer, uint8_t *record, size_t n)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, peer->key, sizeof peer->key);
  uint8_t digest[HS_KEY_SIZE];
  gsize size = sizeof digest;

  memset (record + MAC_OFFSET, 0, MAC_SIZE);
  g_hmac_update (hmac, &peer->out.direction, 1);
  g_hmac_update (hmac, record + MAC_OFFSET - 8, 8);
  g_hmac_update (hmac, record, (gssize) n);
  g_hmac_get_digest (hmac, digest, &size);
  g_hmac_unref (hmac);
  memcpy (record + MAC_OFFSET, digest, MAC_SIZE);
}

/** The record calls BORROW with the arguments of RECOVER, which are shorter. */
static void
undecodable_arguments_are_refused (void **state)
{
  hsx_recover_args args = { { 0, NULL }, 0 };
  Net *net = *state;
  Peer peer = authenticated_peer_new (net);
  GByteArray *bytes = g_byte_array_new ();
  uint8_t *record;

  assert_true (hs_record_append_call (bytes, &peer.out, 1, HSX_RECOVER, &args));
  record = bytes->data + HS_RECORD_MARK_SIZE;
  assert_int_equal (record[PROC_OFFSET], HSX_RECOVER);
  record[PROC_OFFSET] = HSX_BORROW;
  reseal_record (&peer, record, bytes->len - HS_RECORD_MARK_SIZE);
  send_bytes (&peer, bytes->data, bytes->len);
  run_until (net, &net->n_disconnected, 1);
  /* The record passed authentication: its arguments were refused. */
  assert_int_equal (hs_rpc_stats (net->server)->received_by_proc[HSX_BORROW],
                    2);
  assert_int_equal (hs_rpc_stats (net->server)->rejected_records, 1);
  assert_int_equal (net->n_calls, 1);
  close (peer.fd);
  g_byte_array_unref (bytes);
  expect_answered (net);
}

static void
a_slow_hello_does_not_delay_other_connections (void **state)
{
  Net *net = *state;
  Peer peer = peer_new (net);
  size_t i;

  write_hello (&peer);
  for (i = 0; i < peer.hello_len; i++)
    {
      send_bytes (&peer, peer.hello + i, 1);
      if (i % 16 == 0)
        expect_answered (net);
    }
  derive_session_key (net, &peer);
  send_call (&peer, HSX_NULL, NULL);
  run_until (net, &net->n_connected, 2);
  assert_int_equal (hs_rpc_stats (net->server)->rejected_records, 0);
  close (peer.fd);
  run_until (net, &net->n_disconnected, 1);
}

static void
a_half_closed_connection_is_closed (void **state)
{
  Net *net = *state;
  Peer peer = peer_new (net);

  write_hello (&peer);
  send_bytes (&peer, peer.hello, peer.hello_len / 2);
  shutdown (peer.fd, SHUT_WR);
  expect_disconnected (net, &peer, 0);
  peer = authenticated_peer_new (net);
  shutdown (peer.fd, SHUT_WR);
  expect_disconnected (net, &peer, 0);
}

static void
excess_idle_connections_close_the_oldest (void **state)
{
  Net *net = *state;
  int fds[HS_RPC_HANDSHAKES_MAX + EXCESS_CONNECTIONS];
  char byte;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = connect_to (net);
      expect_answered (net);
    }
  run_until (net, &net->n_disconnected, EXCESS_CONNECTIONS);
  assert_int_equal (hs_rpc_stats (net->server)->dropped_handshakes,
                    EXCESS_CONNECTIONS);
  for (i = 0; i < EXCESS_CONNECTIONS; i++)
    assert_int_equal (recv (fds[i], &byte, 1, 0), 0);
  assert_int_equal (net->n_connected, 1);
  expect_answered (net);
  for (i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}

/** An agent must not be able to forge the result of another agent's task. */
static void
results_from_an_agent_without_the_task_are_ignored (void **state)
{
  OwnerFixture *f = fixture_new ();
  HsWaiter waiter;
  SentStart lie;

  (void) state;
  fixture_acquire (f, EPOCH, 0);
  fixture_add_agent (f, AGENT);
  fixture_recover_reply (f, AGENT, NULL, 0);
  waiter = fixture_submit (f, fixture_new_id (f, 0, 1), 1, 'x');
  fixture_add_agent (f, OTHER_AGENT);
  fixture_recover_reply (f, OTHER_AGENT, NULL, 0);
  assert_int_equal (fixture_sent_start (f, 0)->agent, AGENT);
  lie = *fixture_sent_start (f, 0);
  lie.agent = OTHER_AGENT;
  fixture_send_result (f, &lie, HSX_DONE, HSX_REFUSAL_NONE, "lie");
  assert_null (fixture_answer (f, waiter));
  assert_int_equal (hs_owner_stats (f->owner)->late_results, 1);
  fixture_send_result (f, fixture_sent_start (f, 0), HSX_DONE, HSX_REFUSAL_NONE,
                       "true");
  assert_string_equal (fixture_answer (f, waiter)->first_body, "true");
  fixture_free (f);
}

#define NET_TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    NET_TEST (malformed_first_records_are_refused),
    NET_TEST (few_bytes_are_read_before_hello),
    NET_TEST (a_wrong_cluster_key_is_refused),
    NET_TEST (a_call_before_hello_is_refused),
    NET_TEST (a_replayed_hello_opens_no_session),
    NET_TEST (a_replayed_call_is_refused),
    NET_TEST (a_second_hello_is_refused),
    NET_TEST (replies_without_a_call_are_refused),
    NET_TEST (an_oversized_record_of_an_authenticated_peer_is_refused),
    NET_TEST (undecodable_arguments_are_refused),
    NET_TEST (a_slow_hello_does_not_delay_other_connections),
    NET_TEST (a_half_closed_connection_is_closed),
    NET_TEST (excess_idle_connections_close_the_oldest),
    cmocka_unit_test (results_from_an_agent_without_the_task_are_ignored),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
