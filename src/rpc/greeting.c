#include <errno.h>
#include <string.h>
#include <sys/random.h>

#include "base/log.h"
#include "rpc/conn_private.h"

#define PART "rpc"

/** Bound on connecting and on the exchange of HELLO. */
#define GREETING_TIMEOUT (2 * HS_SEC)

static void on_greeting_timeout (struct tevent_context *ev,
                                 struct tevent_timer *timer,
                                 struct timeval now,
                                 void *arg);
static void hello_done (void *arg, HsRpcStatus status, const void *result);
static void set_greeting_keys (HsConn *conn, const char *dialler_nonce);
static void set_session_keys (HsConn *conn);
static void remember_peer (HsConn *conn, const hsx_hello *hello);

void
hs_conn_begin_greeting (HsConn *conn)
{
  if (!conn->dialled)
    hs_greetings_add (conn->rpc, &conn->greeting, conn);
  if (getrandom (conn->nonce, sizeof conn->nonce, 0) != sizeof conn->nonce)
    hs_warn (PART, "no random bytes: %s", strerror (errno));
  set_greeting_keys (conn, NULL);
  conn->greeting_timer = tevent_add_timer (
      conn->rpc->ev, conn,
      tevent_timeval_current_ofs (GREETING_TIMEOUT / HS_SEC, 0),
      on_greeting_timeout, conn);
}

bool
hs_conn_send_hello (HsConn *conn)
{
  hsx_hello hello = conn->rpc->self;

  memcpy (hello.nonce, conn->nonce, sizeof hello.nonce);
  return hs_conn_send_call (conn, HSX_HELLO, &hello, HS_NEVER, hello_done,
                            conn);
}

bool
hs_conn_take_hello (HsConn *conn, uint32_t xid, const hsx_hello *hello)
{
  hsx_hello reply = conn->rpc->self;

  remember_peer (conn, hello);
  /* The reply is bound to the dialler's nonce, so that it proves fresh
     knowledge of the key. */
  set_greeting_keys (conn, conn->peer.nonce);
  conn->sending.sequence = 0;
  memcpy (reply.nonce, conn->nonce, sizeof reply.nonce);
  if (!hs_record_put_reply (conn->out, &conn->sending, xid, HSX_HELLO, &reply))
    return false;
  set_session_keys (conn);
  /* HELLO may be a copy of another connection's: only a record under the
     session's key shows that its maker is at the other end. */
  conn->state = HS_CONN_PROVING;
  hs_conn_schedule_flush (conn);
  return true;
}

void
hs_conn_become_up (HsConn *conn)
{
  conn->state = HS_CONN_UP;
  TALLOC_FREE (conn->greeting_timer);
  hs_greetings_remove (conn->rpc, &conn->greeting);
  if (conn->rpc->handler.up != NULL)
    conn->rpc->handler.up (conn->rpc->arg, conn);
}

static void
on_greeting_timeout (struct tevent_context *ev,
                     struct tevent_timer *timer,
                     struct timeval now,
                     void *arg)
{
  HsConn *conn = arg;

  (void) ev;
  (void) timer;
  (void) now;
  conn->greeting_timer = NULL;
  hs_conn_close (conn);
}

static void
hello_done (void *arg, HsRpcStatus status, const void *result)
{
  HsConn *conn = arg;

  if (status != HS_RPC_OK)
    return;
  remember_peer (conn, result);
  set_session_keys (conn);
  if (hs_conn_send_call (conn, HSX_NULL, NULL, HS_NEVER, NULL, NULL))
    hs_conn_become_up (conn);
}

/* HELLO itself is sent under the cluster key; its reply under a key bound to
   the dialler's nonce. */
static void
set_greeting_keys (HsConn *conn, const char *dialler_nonce)
{
  HsRpc *rpc = conn->rpc;
  const char *nonce = conn->dialled ? conn->nonce : dialler_nonce;
  uint8_t call_key[HS_KEY_SIZE];
  uint8_t reply_key[HS_KEY_SIZE];

  hs_record_derive_key (rpc->key, rpc->key_len, "hello-call", NULL, 0, NULL, 0,
                        call_key);
  hs_record_derive_key (rpc->key, rpc->key_len, "hello-reply", nonce,
                        nonce != NULL ? HSX_NONCE_SIZE : 0, NULL, 0, reply_key);
  memcpy (conn->sending.key, conn->dialled ? call_key : reply_key, HS_KEY_SIZE);
  memcpy (conn->receiving.key, conn->dialled ? reply_key : call_key,
          HS_KEY_SIZE);
  conn->sending.direction = conn->dialled ? 'D' : 'L';
  conn->receiving.direction = conn->dialled ? 'L' : 'D';
}

/* Both nonces make the key of this connection alone, so that no record of
   another connection is accepted here. */
static void
set_session_keys (HsConn *conn)
{
  const char *dialler = conn->dialled ? conn->nonce : conn->peer.nonce;
  const char *listener = conn->dialled ? conn->peer.nonce : conn->nonce;

  hs_record_derive_key (conn->rpc->key, conn->rpc->key_len, "session", dialler,
                        HSX_NONCE_SIZE, listener, HSX_NONCE_SIZE,
                        conn->sending.key);
  memcpy (conn->receiving.key, conn->sending.key, HS_KEY_SIZE);
  conn->sending.sequence = 1;
  conn->receiving.sequence = 1;
}

static void
remember_peer (HsConn *conn, const hsx_hello *hello)
{
  conn->peer = *hello;
  g_strlcpy (conn->peer_address, hello->address, sizeof conn->peer_address);
  g_strlcpy (conn->peer_data_centre, hello->data_centre,
             sizeof conn->peer_data_centre);
  conn->peer.address = conn->peer_address;
  conn->peer.data_centre = conn->peer_data_centre;
}
