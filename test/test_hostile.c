/**
 * @file
 * Hostile peers against a real endpoint, and hostile agents against an owner.
 * A well-behaved client is served all the while.
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

#include "owner_world.h"
#include "rpc/conn.h"
#include "rpc/record.h"

#define KEY "0123456789abcdef"
#define LAST_FRAGMENT 0x80000000u
/** More than an endpoint may take in before HELLO. */
#define EARLY_BYTES_MAX 2048
/** Places of the procedure's last byte and of the code in a call. */
#define PROC_AT 23
#define MAC_AT 48
#define MAC_SIZE 16
#define SURPLUS 20
#define WANT 41

typedef struct
{
  struct tevent_context *ev;
  HsRpc *server;
  HsRpc *client;
  HsConn *conn; /**< Of the well-behaved client. */
  int up;
  int down;
  int calls;
  int client_up;
  int replies;
} Net;

/** A peer that writes what it likes. */
typedef struct
{
  int fd;
  HsRecordChannel out;
  uint8_t hello[512];
  size_t hello_len;
} Peer;

static void
on_up (void *arg, HsConn *conn)
{
  (void) conn;
  ((Net *) arg)->up++;
}

static void
on_down (void *arg, HsConn *conn, bool refused)
{
  (void) conn;
  (void) refused;
  ((Net *) arg)->down++;
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  const hsx_borrow_args *borrow = args;
  hsx_borrow_reply reply = { { 0, NULL }, borrow->want + 1 };

  ((Net *) arg)->calls++;
  assert_int_equal (proc, HSX_BORROW);
  hs_conn_reply (conn, call, proc, &reply);
}

static void
on_client_up (void *arg, HsConn *conn)
{
  (void) conn;
  ((Net *) arg)->client_up++;
}

static void
on_reply (void *arg, HsRpcStatus status, const void *result)
{
  assert_int_equal (status, HS_RPC_OK);
  assert_int_equal (((const hsx_borrow_reply *) result)->idle, WANT + 1);
  ((Net *) arg)->replies++;
}

static void
turn_until (Net *net, const int *count, int value)
{
  while (*count < value)
    assert_int_equal (tevent_loop_once (net->ev), 0);
}

/** The well-behaved client's call is answered. */
static void
serve (Net *net)
{
  hsx_borrow_args args = { WANT, 0, 0 };

  assert_true (
      hs_conn_call (net->conn, HSX_BORROW, &args, HS_NEVER, on_reply, net));
  turn_until (net, &net->replies, net->replies + 1);
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
  turn_until (net, &net->client_up, 1);
  turn_until (net, &net->up, 1);
  serve (net);
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
                        0, NULL, 0, peer.out.key);
  return peer;
}

static void
send_call (Peer *peer, uint32_t proc, const void *args)
{
  GByteArray *bytes = g_byte_array_new ();

  assert_true (hs_record_put_call (bytes, &peer->out, 1, proc, args));
  send_bytes (peer, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

static void
send_reply (Peer *peer, uint32_t xid)
{
  hsx_borrow_reply reply = { { 0, NULL }, 0 };
  GByteArray *bytes = g_byte_array_new ();

  assert_true (
      hs_record_put_reply (bytes, &peer->out, xid, HSX_BORROW, &reply));
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

/** Makes the record of HELLO, and keeps a copy for replays. */
static void
make_hello (Peer *peer)
{
  hsx_hello hello = peer_hello ();
  GByteArray *bytes = g_byte_array_new ();

  assert_true (hs_record_put_call (bytes, &peer->out, 1, HSX_HELLO, &hello));
  assert_true (bytes->len <= sizeof peer->hello);
  memcpy (peer->hello, bytes->data, bytes->len);
  peer->hello_len = bytes->len;
  g_byte_array_unref (bytes);
}

/** Reads the answer to HELLO and takes on the session's key. */
static void
take_session (Net *net, Peer *peer)
{
  hsx_hello mine = peer_hello ();
  HsRecordChannel in = { .direction = 'L' };
  HsRecordHead head;
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
                        mine.nonce, sizeof mine.nonce, NULL, 0, in.key);
  assert_true (
      hs_record_open (bytes + HS_RECORD_MARK_SIZE, length, &in, &head));
  assert_true (hs_record_decode (bytes + HS_RECORD_MARK_SIZE + head.body_at,
                                 length - head.body_at,
                                 (xdrproc_t) xdr_hsx_hello, &theirs));
  hs_record_derive_key ((const uint8_t *) KEY, strlen (KEY), "session",
                        mine.nonce, sizeof mine.nonce, theirs.nonce,
                        sizeof theirs.nonce, peer->out.key);
  peer->out.sequence = 1;
  xdr_free ((xdrproc_t) xdr_hsx_hello, (char *) &theirs);
}

/** A peer that knows the key and is up. */
static Peer
insider_new (Net *net)
{
  Peer peer = peer_new (net);

  make_hello (&peer);
  send_bytes (&peer, peer.hello, peer.hello_len);
  take_session (net, &peer);
  send_call (&peer, HSX_NULL, NULL);
  turn_until (net, &net->up, 2);
  net->up = 1;
  return peer;
}

/** The server ends the connection and counts one refused record. */
static void
expect_refused (Net *net, Peer *peer, uint64_t refused)
{
  int calls = net->calls;

  turn_until (net, &net->down, net->down + 1);
  assert_int_equal (hs_rpc_stats (net->server)->refused_records, refused);
  assert_int_equal (net->calls, calls);
  assert_int_equal (net->up, 1);
  close (peer->fd);
  serve (net);
}

static void
malformed_starts_are_refused (void **state)
{
  static const struct
  {
    const char *bytes;
    size_t n;
  } STARTS[] = {
    { "GET / HTTP/1.1\r\n\r\n", 18 },
    { "\x00\x00\x00\x0cxxxxxxxxxxxx", 16 }, /* Not the last fragment. */
    { "\x80\x00\x00\x00", 4 },              /* Empty. */
    { "\xff\xff\xff\xff", 4 },              /* Larger than any. */
    { "\x80\x00\x00\x08xxxxxxxx", 12 },     /* Shorter than a header. */
  };
  Net *net = *state;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (STARTS); i++)
    {
      Peer peer = peer_new (net);

      send_bytes (&peer, STARTS[i].bytes, STARTS[i].n);
      expect_refused (net, &peer, i + 1);
    }
}

static void
little_is_taken_in_before_hello (void **state)
{
  Net *net = *state;
  uint64_t before = hs_rpc_stats (net->server)->bytes_received;
  uint32_t mark = htonl (LAST_FRAGMENT | HS_RECORD_MAX);
  g_autofree char *flood = g_strnfill (65536, 'x');
  Peer peer = peer_new (net);

  send_bytes (&peer, &mark, sizeof mark);
  send_bytes (&peer, flood, 65536);
  turn_until (net, &net->down, 1);
  assert_int_equal (hs_rpc_stats (net->server)->refused_records, 1);
  assert_true (hs_rpc_stats (net->server)->bytes_received - before
               <= EARLY_BYTES_MAX);
  close (peer.fd);
  serve (net);
}

static void
another_key_is_refused (void **state)
{
  Net *net = *state;
  Peer peer = peer_new (net);

  peer.out.key[0] ^= 1;
  make_hello (&peer);
  send_bytes (&peer, peer.hello, peer.hello_len);
  expect_refused (net, &peer, 1);
}

static void
a_call_before_hello_is_refused (void **state)
{
  hsx_borrow_args args = { WANT, 0, 0 };
  Net *net = *state;
  Peer peer = peer_new (net);

  send_call (&peer, HSX_BORROW, &args);
  expect_refused (net, &peer, 1);
}

static void
a_replayed_hello_is_not_up (void **state)
{
  hsx_borrow_args args = { WANT, 0, 0 };
  Net *net = *state;
  Peer honest = insider_new (net);
  Peer replay = peer_new (net);

  send_bytes (&replay, honest.hello, honest.hello_len);
  take_session (net, &replay);
  assert_int_equal (net->up, 1);
  /* Who only copied HELLO doesn't have this session's key. */
  replay.out = honest.out;
  replay.out.sequence = 1;
  send_call (&replay, HSX_BORROW, &args);
  expect_refused (net, &replay, 1);
  close (honest.fd);
}

static void
a_replayed_call_is_refused (void **state)
{
  hsx_borrow_args args = { WANT, 0, 0 };
  Net *net = *state;
  Peer peer = insider_new (net);
  HsRecordChannel before = peer.out;
  int calls = net->calls;

  send_call (&peer, HSX_BORROW, &args);
  turn_until (net, &net->calls, calls + 1);
  peer.out = before;
  send_call (&peer, HSX_BORROW, &args);
  expect_refused (net, &peer, 1);
}

static void
hello_twice_is_refused (void **state)
{
  hsx_hello hello = peer_hello ();
  Net *net = *state;
  Peer peer = insider_new (net);

  send_call (&peer, HSX_HELLO, &hello);
  expect_refused (net, &peer, 1);
}

static void
replies_to_no_call_are_refused (void **state)
{
  Net *net = *state;
  Peer peer = insider_new (net);

  send_reply (&peer, 0);
  expect_refused (net, &peer, 1);
  peer = insider_new (net);
  send_reply (&peer, 99);
  expect_refused (net, &peer, 2);
}

static void
a_huge_record_of_an_insider_is_refused (void **state)
{
  uint32_t mark = htonl (LAST_FRAGMENT | (HS_RECORD_MAX + 1));
  Net *net = *state;
  Peer peer = insider_new (net);

  send_bytes (&peer, &mark, sizeof mark);
  expect_refused (net, &peer, 1);
}

/** Makes a record's code fit again after it was changed. */
static void
seal (const HsRecordChannel *channel, uint8_t *record, size_t n)
{
  GHmac *hmac
      = g_hmac_new (G_CHECKSUM_SHA256, channel->key, sizeof channel->key);
  uint8_t digest[HS_KEY_SIZE];
  gsize size = sizeof digest;

  memset (record + MAC_AT, 0, MAC_SIZE);
  g_hmac_update (hmac, &channel->direction, 1);
  g_hmac_update (hmac, record + MAC_AT - 8, 8);
  g_hmac_update (hmac, record, (gssize) n);
  g_hmac_get_digest (hmac, digest, &size);
  g_hmac_unref (hmac);
  memcpy (record + MAC_AT, digest, MAC_SIZE);
}

/** A call of BORROW with the arguments of RECOVER, which are shorter. */
static void
arguments_that_do_not_decode_are_refused (void **state)
{
  hsx_recover_args args = { { 0, NULL }, 0 };
  Net *net = *state;
  Peer peer = insider_new (net);
  HsRecordChannel channel = peer.out;
  GByteArray *bytes = g_byte_array_new ();
  uint8_t *record;

  assert_true (hs_record_put_call (bytes, &peer.out, 1, HSX_RECOVER, &args));
  record = bytes->data + HS_RECORD_MARK_SIZE;
  assert_int_equal (record[PROC_AT], HSX_RECOVER);
  record[PROC_AT] = HSX_BORROW;
  seal (&channel, record, bytes->len - HS_RECORD_MARK_SIZE);
  send_bytes (&peer, bytes->data, bytes->len);
  turn_until (net, &net->down, 1);
  /* It was authentic: what was refused are its arguments. */
  assert_int_equal (hs_rpc_stats (net->server)->received_by_proc[HSX_BORROW],
                    2);
  assert_int_equal (hs_rpc_stats (net->server)->refused_records, 1);
  assert_int_equal (net->calls, 1);
  close (peer.fd);
  g_byte_array_unref (bytes);
  serve (net);
}

static void
a_trickled_hello_holds_nobody_up (void **state)
{
  Net *net = *state;
  Peer peer = peer_new (net);
  size_t i;

  make_hello (&peer);
  for (i = 0; i < peer.hello_len; i++)
    {
      send_bytes (&peer, peer.hello + i, 1);
      if (i % 16 == 0)
        serve (net);
    }
  take_session (net, &peer);
  send_call (&peer, HSX_NULL, NULL);
  turn_until (net, &net->up, 2);
  assert_int_equal (hs_rpc_stats (net->server)->refused_records, 0);
  close (peer.fd);
  turn_until (net, &net->down, 1);
}

static void
a_half_closed_connection_ends (void **state)
{
  Net *net = *state;
  Peer peer = peer_new (net);

  make_hello (&peer);
  send_bytes (&peer, peer.hello, peer.hello_len / 2);
  shutdown (peer.fd, SHUT_WR);
  expect_refused (net, &peer, 0);
  peer = insider_new (net);
  shutdown (peer.fd, SHUT_WR);
  expect_refused (net, &peer, 0);
}

static void
silent_connections_push_out_the_oldest (void **state)
{
  Net *net = *state;
  int fds[HS_RPC_GREETINGS_MAX + SURPLUS];
  char byte;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = connect_to (net);
      serve (net);
    }
  turn_until (net, &net->down, SURPLUS);
  assert_int_equal (hs_rpc_stats (net->server)->dropped_greetings, SURPLUS);
  for (i = 0; i < SURPLUS; i++)
    assert_int_equal (recv (fds[i], &byte, 1, 0), 0);
  assert_int_equal (net->up, 1);
  serve (net);
  for (i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}

/** Another agent's word about a task counts for nothing. */
static void
results_of_another_agents_task_are_not_taken (void **state)
{
  World *w = world_new ();
  HsWaiter waiter;
  SentStart lie;

  (void) state;
  world_own (w, EPOCH, 0);
  world_agent (w, AGENT);
  world_recovered (w, AGENT, NULL, 0);
  waiter = world_submit (w, world_id (w, 0, 1), 1, 'x');
  world_agent (w, OTHER_AGENT);
  world_recovered (w, OTHER_AGENT, NULL, 0);
  assert_int_equal (world_start (w, 0)->agent, AGENT);
  lie = *world_start (w, 0);
  lie.agent = OTHER_AGENT;
  world_result (w, &lie, HSX_DONE, HSX_REFUSAL_NONE, "lie");
  assert_null (world_answer (w, waiter));
  assert_int_equal (hs_owner_stats (w->owner)->late_results, 1);
  world_result (w, world_start (w, 0), HSX_DONE, HSX_REFUSAL_NONE, "true");
  assert_string_equal (world_answer (w, waiter)->first_body, "true");
  world_free (w);
}

#define NET_TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    NET_TEST (malformed_starts_are_refused),
    NET_TEST (little_is_taken_in_before_hello),
    NET_TEST (another_key_is_refused),
    NET_TEST (a_call_before_hello_is_refused),
    NET_TEST (a_replayed_hello_is_not_up),
    NET_TEST (a_replayed_call_is_refused),
    NET_TEST (hello_twice_is_refused),
    NET_TEST (replies_to_no_call_are_refused),
    NET_TEST (a_huge_record_of_an_insider_is_refused),
    NET_TEST (arguments_that_do_not_decode_are_refused),
    NET_TEST (a_trickled_hello_holds_nobody_up),
    NET_TEST (a_half_closed_connection_ends),
    NET_TEST (silent_connections_push_out_the_oldest),
    cmocka_unit_test (results_of_another_agents_task_are_not_taken),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
