#include <errno.h>
#include <string.h>
#include <sys/random.h>

#include "base/log.h"
#include "base/socket.h"
#include "rpc/conn_private.h"

#define PART "rpc"

/** Limit on the time for the TCP connect and the HELLO exchange together. */
#define HANDSHAKE_TIMEOUT (2 * HS_SEC)

/** Receive buffer of a peer that has proved that it knows the key. */
#define PEER_RECEIVE_BYTES ((size_t) 1024 * 1024)

static void on_handshake_timeout (struct tevent_context *ev,
                                  struct tevent_timer *timer,
                                  struct timeval now,
                                  void *arg);
static void on_hello_reply (void *arg, HsRpcStatus status, const void *result);
static void set_handshake_keys (HsConn *conn, const char *dialler_nonce);
static void set_session_keys (HsConn *conn);
static void store_peer_hello (HsConn *conn, const hsx_hello *hello);

void
hs_conn_begin_handshake (HsConn *conn)
{
  if (!conn->dialled)
    hs_handshakes_add (conn->rpc, &conn->handshake, conn);
  if (getrandom (conn->nonce, sizeof conn->nonce, 0) != sizeof conn->nonce)
    hs_warn (PART, "can't get random bytes from the kernel: %s",
             strerror (errno));
  set_handshake_keys (conn, NULL);
  conn->handshake_timer = tevent_add_timer (
      conn->rpc->ev, conn,
      tevent_timeval_current_ofs (HANDSHAKE_TIMEOUT / HS_SEC, 0),
      on_handshake_timeout, conn);
}

bool
hs_conn_send_hello (HsConn *conn)
{
  hsx_hello hello = conn->rpc->self;

  memcpy (hello.nonce, conn->nonce, sizeof hello.nonce);
  return hs_conn_send_call (conn, HSX_HELLO, &hello, HS_NEVER, on_hello_reply,
                            conn);
}

bool
hs_conn_handle_hello (HsConn *conn, uint32_t xid, const hsx_hello *hello)
{
  hsx_hello reply = conn->rpc->self;

  store_peer_hello (conn, hello);
  /* The key of the reply depends on the dialler's nonce, so that a replayed
     reply proves nothing. */
  set_handshake_keys (conn, conn->peer.nonce);
  conn->send_channel.sequence = 0;
  memcpy (reply.nonce, conn->nonce, sizeof reply.nonce);
  if (!hs_record_append_reply (conn->out_buffer, &conn->send_channel, xid,
                               HSX_HELLO, &reply))
    return false;
  set_session_keys (conn);
  /* This HELLO may be a replay from another connection. Only a record under
     the session key proves that the peer knows the cluster key. */
  conn->state = HS_CONN_UNCONFIRMED;
  hs_conn_schedule_flush (conn);
  return true;
}

void
hs_conn_establish (HsConn *conn)
{
  conn->state = HS_CONN_ESTABLISHED;
  if (!conn->dialled)
    hs_socket_bound_receive_buffer (conn->fd, PEER_RECEIVE_BYTES);
  TALLOC_FREE (conn->handshake_timer);
  hs_handshakes_remove (conn->rpc, &conn->handshake);
  if (conn->rpc->handler.connected != NULL)
    conn->rpc->handler.connected (conn->rpc->arg, conn);
}

static void
on_handshake_timeout (struct tevent_context *ev,
                      struct tevent_timer *timer,
                      struct timeval now,
                      void *arg)
{
  HsConn *conn = arg;

  (void) ev;
  (void) timer;
  (void) now;
  conn->handshake_timer = NULL;
  hs_conn_close (conn);
}

static void
on_hello_reply (void *arg, HsRpcStatus status, const void *result)
{
  HsConn *conn = arg;

  if (status != HS_RPC_OK)
    return;
  store_peer_hello (conn, result);
  set_session_keys (conn);
  if (hs_conn_send_call (conn, HSX_NULL, NULL, HS_NEVER, NULL, NULL))
    hs_conn_establish (conn);
}

/* HELLO is authenticated by a key that is derived from the cluster key alone,
   its reply by one that also depends on the dialler's nonce. */
static void
set_handshake_keys (HsConn *conn, const char *dialler_nonce)
{
  HsRpc *rpc = conn->rpc;
  const char *nonce = conn->dialled ? conn->nonce : dialler_nonce;
  uint8_t call_key[HS_KEY_SIZE];
  uint8_t reply_key[HS_KEY_SIZE];

  hs_record_derive_key (rpc->key, rpc->key_len, "hello-call", NULL, 0, NULL, 0,
                        call_key);
  hs_record_derive_key (rpc->key, rpc->key_len, "hello-reply", nonce,
                        nonce != NULL ? HSX_NONCE_SIZE : 0, NULL, 0, reply_key);
  hs_record_set_key (&conn->send_channel, conn->dialled ? call_key : reply_key);
  hs_record_set_key (&conn->receive_channel,
                     conn->dialled ? reply_key : call_key);
  conn->send_channel.direction = conn->dialled ? 'D' : 'L';
  conn->receive_channel.direction = conn->dialled ? 'L' : 'D';
}

/* Both nonces go into the session key, so that it is unique to this connection
   and no record of another connection is accepted. */
static void
set_session_keys (HsConn *conn)
{
  const char *dialler = conn->dialled ? conn->nonce : conn->peer.nonce;
  const char *listener = conn->dialled ? conn->peer.nonce : conn->nonce;
  uint8_t key[HS_KEY_SIZE];

  hs_record_derive_key (conn->rpc->key, conn->rpc->key_len, "session", dialler,
                        HSX_NONCE_SIZE, listener, HSX_NONCE_SIZE, key);
  hs_record_set_key (&conn->send_channel, key);
  hs_record_set_key (&conn->receive_channel, key);
  conn->send_channel.sequence = 1;
  conn->receive_channel.sequence = 1;
}

static void
store_peer_hello (HsConn *conn, const hsx_hello *hello)
{
  conn->peer = *hello;
  g_strlcpy (conn->peer_address, hello->address, sizeof conn->peer_address);
  g_strlcpy (conn->peer_data_centre, hello->data_centre,
             sizeof conn->peer_data_centre);
  conn->peer.address = conn->peer_address;
  conn->peer.data_centre = conn->peer_data_centre;
}
