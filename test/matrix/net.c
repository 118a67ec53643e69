/* Connections between processes; replaces rpc/conn.c. */

#include <string.h>

#include "net_private.h"

typedef struct
{
  HsConn *conn;
  char address[HSX_ADDRESS_MAX + 1];
} Dial;

static int rpc_destructor (HsRpc *rpc);
static HsConn *conn_new (HsRpc *rpc);
static void on_dialled (void *arg);
static void on_dial_failed (void *arg);
static void conn_establish (HsConn *conn, const HsRpc *peer);
static void on_up (void *arg);
static void on_end (void *arg);
static void conn_end (HsConn *conn, bool refused);

HsRpc *
hs_rpc_new (TALLOC_CTX *ctx,
            struct tevent_context *ev,
            const hsx_hello *self,
            const char *key,
            const HsRpcHandler *handler,
            void *arg)
{
  HsRpc *rpc = talloc_zero (ctx, HsRpc);

  (void) key;
  rpc->proc = ev->proc;
  rpc->self = *self;
  rpc->self.address = talloc_strdup (rpc, self->address);
  rpc->self.data_centre = talloc_strdup (rpc, self->data_centre);
  rpc->handler = *handler;
  rpc->arg = arg;
  rpc->conns = g_ptr_array_new ();
  ev->proc->rpc = rpc;
  talloc_set_destructor (rpc, rpc_destructor);
  return rpc;
}

bool
hs_rpc_listen (HsRpc *rpc, const char *address, GError **error)
{
  (void) error;
  g_strlcpy (rpc->address, address, sizeof rpc->address);
  return true;
}

uint16_t
hs_rpc_port (const HsRpc *rpc)
{
  return (uint16_t) g_ascii_strtoull (strrchr (rpc->address, ':') + 1, NULL,
                                      10);
}

void
hs_rpc_set_address (HsRpc *rpc, const char *address)
{
  rpc->self.address = talloc_strdup (rpc, address);
}

HsConn *
hs_rpc_dial (HsRpc *rpc, const char *address)
{
  HsConn *conn = conn_new (rpc);
  Dial *dial = talloc_zero (NULL, Dial);

  dial->conn = conn;
  g_strlcpy (dial->address, address, sizeof dial->address);
  sim_schedule (sim_now () + 2 * NET_DELAY, rpc->proc, on_dialled, dial, true);
  return conn;
}

const HsRpcStats *
hs_rpc_stats (const HsRpc *rpc)
{
  return &rpc->stats;
}

const hsx_hello *
hs_conn_peer (const HsConn *conn)
{
  return conn->peer.address != NULL ? &conn->peer : NULL;
}

void
hs_conn_set_data (HsConn *conn, void *data)
{
  conn->data = data;
}

void *
hs_conn_data (const HsConn *conn)
{
  return conn->data;
}

void
hs_conn_set_keepalive (HsConn *conn, HsConnKeepalive watch)
{
  conn->watch = watch;
}

void
hs_conn_close (HsConn *conn)
{
  if (conn->pipe != NULL)
    net_close_end_later (conn->pipe, !conn->side, sim_now () + NET_DELAY);
  conn_end (conn, false);
}

void
hs_conn_close_when_flushed (HsConn *conn)
{
  hs_conn_close (conn);
}

size_t
hs_conn_unsent_bytes (const HsConn *conn)
{
  (void) conn;
  return 0;
}

void
net_close_end_later (Pipe *pipe, int side, HsTime at)
{
  PipeEnd *end;

  if (pipe->ends[side] == NULL)
    return;
  end = talloc_zero (NULL, PipeEnd);
  end->pipe = pipe;
  end->side = side;
  sim_schedule (MAX (at, pipe->last_at[side]), pipe->ends[side]->rpc->proc,
                on_end, end, true);
}

static int
rpc_destructor (HsRpc *rpc)
{
  g_ptr_array_unref (rpc->conns);
  return 0;
}

static HsConn *
conn_new (HsRpc *rpc)
{
  HsConn *conn = talloc_zero (rpc, HsConn);

  conn->rpc = rpc;
  g_ptr_array_add (rpc->conns, conn);
  return conn;
}

static void
on_dialled (void *arg)
{
  Dial *dial = arg;
  HsConn *conn = dial->conn;
  Proc *peer = world_find (dial->address);
  Pipe *pipe;

  if (conn->ended)
    return;
  if (peer == NULL || !peer->alive || peer->rpc == NULL)
    {
      bool unreachable = peer == NULL || peer->host_dead;

      if (unreachable)
        sim_schedule (sim_now () + 2 * HS_SEC, conn->rpc->proc, on_dial_failed,
                      conn, false);
      else
        conn_end (conn, true);
      return;
    }
  pipe = talloc_zero (sim_memory (), Pipe);
  conn->pipe = pipe;
  conn->side = 0;
  pipe->ends[0] = conn;
  pipe->ends[1] = conn_new (peer->rpc);
  pipe->ends[1]->pipe = pipe;
  pipe->ends[1]->side = 1;
  conn_establish (pipe->ends[1], conn->rpc);
  conn_establish (conn, peer->rpc);
}

static void
on_dial_failed (void *arg)
{
  conn_end (arg, false);
}

/* Copies the peer's hello now, since the peer may have died before the
   connection is reported as up. */
static void
conn_establish (HsConn *conn, const HsRpc *peer)
{
  PipeEnd *end = talloc_zero (NULL, PipeEnd);

  conn->peer = peer->self;
  conn->peer.address = talloc_strdup (conn, peer->self.address);
  conn->peer.data_centre = talloc_strdup (conn, peer->self.data_centre);
  conn->peer_proc = peer->proc;
  end->pipe = conn->pipe;
  end->side = conn->side;
  sim_schedule (sim_now (), conn->rpc->proc, on_up, end, true);
}

static void
on_up (void *arg)
{
  const PipeEnd *end = arg;
  HsConn *conn = end->pipe->ends[end->side];

  if (conn == NULL)
    return;
  conn->up = true;
  conn->rpc->handler.connected (conn->rpc->arg, conn);
}

static void
on_end (void *arg)
{
  const PipeEnd *end = arg;
  HsConn *conn = end->pipe->ends[end->side];

  if (conn != NULL)
    conn_end (conn, false);
}

static void
conn_end (HsConn *conn, bool refused)
{
  HsRpc *rpc = conn->rpc;

  if (conn->ended)
    return;
  if (conn->pipe != NULL)
    conn->pipe->ends[conn->side] = NULL;
  conn->ended = true;
  conn->up = false;
  g_ptr_array_remove_fast (rpc->conns, conn);
  sim_trace ("connection to %s ended%s",
             conn->peer_proc != NULL ? conn->peer_proc->name : "?",
             refused ? " (refused)" : "");
  net_fail_pending (conn);
  rpc->handler.disconnected (rpc->arg, conn, refused);
}
