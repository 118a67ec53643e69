/* Connections between processes: in place of rpc/conn.c. Messages go through
   the real codecs; a connection keeps their order or loses its tail. */

#include <string.h>

#include "proto/procs.h"
#include "rpc/conn.h"
#include "checks.h"
#include "mutants.h"
#include "world.h"

#define MESSAGE_MAX (16u << 20)

typedef struct
{
  HsConn *ends[2];      /* NULL: that side has closed, or is not up. */
  HsTime last_at[2];    /* Arrival of the last message to a side. */
  HsTime held_until[2]; /* Nothing arrives at a side before. */
  bool lost[2];         /* What is in flight to a side is lost. */
  HsTime host_died_at;  /* Of one side; 0: both live. */
} Pipe;

typedef struct Pending Pending;
struct Pending
{
  HsConn *conn;
  Pending *next;
  HsRpcCallId call;
  uint32_t proc;
  HsRpcDone done;
  void *arg;
  SimEvent *timeout;
};

struct HsRpc
{
  Proc *proc;
  char address[HSX_ADDRESS_MAX + 1];
  hsx_hello self;
  HsRpcHandler handler;
  void *arg;
  GPtrArray *conns;
  HsRpcStats stats;
};

struct HsConn
{
  HsRpc *rpc;
  Pipe *pipe;
  int side;
  bool up;
  bool ended;
  HsConnWatch watch;
  void *data;
  hsx_hello peer;
  Proc *peer_proc;
  Pending *pending;
  HsRpcCallId next_call;
};

typedef struct
{
  Pipe *pipe;
  int to;
  bool is_reply;
  uint32_t proc;
  HsRpcCallId call;
  char *bytes;
  u_int len;
} Message;

typedef struct
{
  Pipe *pipe;
  int side;
} PipeEnd;

typedef struct
{
  HsConn *conn;
  char address[HSX_ADDRESS_MAX + 1];
} Dial;

static int rpc_destructor (HsRpc *rpc);
static HsConn *conn_new (HsRpc *rpc);
static void on_dialled (void *arg);
static void on_dial_failed (void *arg);
static void on_up (void *arg);
static void come_up (HsConn *conn, const HsRpc *peer);
static bool send_message (HsConn *conn,
                          const Message *head,
                          xdrproc_t codec,
                          const void *body);
static void deliver (void *arg);
static void deliver_call (HsConn *conn, const Message *message);
static void deliver_reply (HsConn *conn, const Message *message);
static void on_timeout (void *arg);
static void on_end (void *arg);
static void check_work (const HsConn *conn);
static HsTime silence_of (const HsConn *conn);
static void end_later (Pipe *pipe, int side, HsTime at);
static void conn_end (HsConn *conn, bool refused);
static void fail_pending (HsConn *conn);
static bool step_of (uint32_t proc, Step *step);

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
  sim_at (sim_now () + 2 * NET_DELAY, rpc->proc, on_dialled, dial, true);
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
hs_conn_watch (HsConn *conn, HsConnWatch watch)
{
  conn->watch = watch;
}

void
hs_conn_close (HsConn *conn)
{
  if (conn->pipe != NULL)
    end_later (conn->pipe, !conn->side, sim_now () + NET_DELAY);
  conn_end (conn, false);
}

void
hs_conn_close_when_flushed (HsConn *conn)
{
  hs_conn_close (conn);
}

size_t
hs_conn_backlog (const HsConn *conn)
{
  (void) conn;
  return 0;
}

bool
hs_conn_call (HsConn *conn,
              uint32_t number,
              const void *args,
              HsTime timeout,
              HsRpcDone done,
              void *arg)
{
  const HsProc *proc = hs_proc (number);
  Message head = { .proc = number };
  Pending *pending;
  Step step = STEP_COUNT;

  if (!conn->up || !proc_acts (conn->rpc->proc))
    return false;
  if (step_of (number, &step)
      && !fault_before (step, conn->rpc->proc, conn->peer_proc, conn))
    return false;
  if (number == HSX_START)
    check_work (conn);
  if (proc->result != NULL)
    head.call = ++conn->next_call;
  if (!send_message (conn, &head, proc->args, args))
    return false;
  sim_trace ("-> %s %s", conn->peer_proc->name, proc->name);
  if (step != STEP_COUNT)
    fault_after (step, conn->rpc->proc, conn->peer_proc, conn);
  if (proc->result == NULL)
    return true;
  pending = talloc_zero (conn, Pending);
  pending->conn = conn;
  pending->call = head.call;
  pending->proc = number;
  pending->done = done;
  pending->arg = arg;
  pending->next = conn->pending;
  conn->pending = pending;
  if (timeout != HS_NEVER)
    pending->timeout = sim_at (sim_now () + timeout, conn->rpc->proc,
                               on_timeout, pending, false);
  return true;
}

bool
hs_conn_reply (HsConn *conn,
               HsRpcCallId call,
               uint32_t number,
               const void *result)
{
  Message head = { .proc = number, .call = call, .is_reply = true };

  if (!conn->up || !proc_acts (conn->rpc->proc))
    return false;
  sim_trace ("-> %s reply to %s", conn->peer_proc->name,
             hs_proc (number)->name);
  return send_message (conn, &head, hs_proc (number)->result, result);
}

void
net_proc_died (Proc *proc, bool with_host)
{
  guint i;

  for (i = 0; proc->rpc != NULL && i < proc->rpc->conns->len; i++)
    {
      HsConn *conn = proc->rpc->conns->pdata[i];
      const HsConn *other;

      if (conn->pipe == NULL)
        continue;
      other = conn->pipe->ends[!conn->side];
      conn->pipe->ends[conn->side] = NULL;
      conn->pipe->host_died_at = with_host ? sim_now () : 0;
      if (other != NULL)
        end_later (conn->pipe, !conn->side,
                   sim_now () + (with_host ? silence_of (other) : NET_DELAY));
    }
  proc->rpc = NULL;
}

void
net_break (HsConn *conn)
{
  Pipe *pipe = conn->pipe;

  if (pipe == NULL)
    return;
  pipe->lost[0] = true;
  pipe->lost[1] = true;
  end_later (pipe, conn->side, sim_now ());
  end_later (pipe, !conn->side, sim_now () + NET_DELAY);
}

void
net_cross (HsConn *conn, HsTime span)
{
  Pipe *pipe = conn->pipe;

  if (pipe == NULL)
    return;
  pipe->lost[conn->side] = true;
  end_later (pipe, conn->side, sim_now ());
  net_hold (conn, span);
  end_later (pipe, !conn->side, sim_now () + span + NET_DELAY);
}

void
net_hold (HsConn *conn, HsTime span)
{
  if (conn->pipe != NULL)
    conn->pipe->held_until[!conn->side] = sim_now () + span;
}

/* The peer dials, as either side may. */
void
net_second (HsConn *conn)
{
  Proc *peer = conn->peer_proc;

  if (peer->rpc != NULL && proc_acts (peer))
    hs_rpc_dial (peer->rpc, conn->rpc->proc->address);
}

void
net_break_between (const Proc *a, const Proc *b)
{
  guint i;

  for (i = 0; a->rpc != NULL && i < a->rpc->conns->len; i++)
    {
      HsConn *conn = a->rpc->conns->pdata[i];

      if (conn->peer_proc == b)
        net_break (conn);
    }
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
      bool silent = peer == NULL || peer->host_gone;

      if (silent)
        sim_at (sim_now () + 2 * HS_SEC, conn->rpc->proc, on_dial_failed, conn,
                false);
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
  come_up (pipe->ends[1], conn->rpc);
  come_up (conn, peer->rpc);
}

static void
on_dial_failed (void *arg)
{
  conn_end (arg, false);
}

/* The greeting is copied now, since the peer may be gone by then. */
static void
come_up (HsConn *conn, const HsRpc *peer)
{
  PipeEnd *end = talloc_zero (NULL, PipeEnd);

  conn->peer = peer->self;
  conn->peer.address = talloc_strdup (conn, peer->self.address);
  conn->peer.data_centre = talloc_strdup (conn, peer->self.data_centre);
  conn->peer_proc = peer->proc;
  end->pipe = conn->pipe;
  end->side = conn->side;
  sim_at (sim_now (), conn->rpc->proc, on_up, end, true);
}

static void
on_up (void *arg)
{
  const PipeEnd *end = arg;
  HsConn *conn = end->pipe->ends[end->side];

  if (conn == NULL)
    return;
  conn->up = true;
  conn->rpc->handler.up (conn->rpc->arg, conn);
}

static bool
send_message (HsConn *conn,
              const Message *head,
              xdrproc_t codec,
              const void *body)
{
  Pipe *pipe = conn->pipe;
  int to = !conn->side;
  Message *message = talloc_zero (NULL, Message);
  HsTime at = sim_now () + NET_DELAY + sim_between (0, NET_DELAY / 5);
  static char buffer[MESSAGE_MAX];
  XDR xdr;
  bool fits;

  *message = *head;
  message->pipe = pipe;
  message->to = to;
  xdrmem_create (&xdr, buffer, MESSAGE_MAX, XDR_ENCODE);
  fits = codec (&xdr, (void *) (uintptr_t) body);
  message->len = xdr_getpos (&xdr);
  message->bytes = talloc_memdup (message, buffer, message->len);
  xdr_destroy (&xdr);
  if (!fits)
    {
      talloc_free (message);
      return false;
    }
  pipe->last_at[to] = MAX (at, pipe->last_at[to]);
  sim_at (pipe->last_at[to], conn->peer_proc, deliver, message, true);
  /* What is written stays unacknowledged. */
  if (pipe->ends[to] == NULL)
    end_later (pipe, conn->side, sim_now () + NET_SILENCE);
  return true;
}

static void
deliver (void *arg)
{
  Message *message = arg;
  Pipe *pipe = message->pipe;
  HsConn *conn = pipe->ends[message->to];

  if (conn == NULL || pipe->lost[message->to])
    return;
  if (pipe->held_until[message->to] > sim_now ())
    {
      Message *again = talloc_memdup (NULL, message, sizeof *message);

      talloc_steal (again, message->bytes);
      sim_at (pipe->held_until[message->to], conn->rpc->proc, deliver, again,
              true);
      return;
    }
  if (message->is_reply)
    deliver_reply (conn, message);
  else
    deliver_call (conn, message);
}

static void
deliver_call (HsConn *conn, const Message *message)
{
  const HsProc *proc = hs_proc (message->proc);
  Proc *self = conn->rpc->proc;
  Proc *peer = conn->peer_proc;
  void *args = g_malloc0 (proc->args_size);
  bool gate = message->proc == HSX_START;
  XDR xdr;

  xdrmem_create (&xdr, message->bytes, message->len, XDR_DECODE);
  if (!proc->args (&xdr, args))
    g_error ("message of procedure %s can't be decoded", proc->name);
  mutant_call (self, message->proc, args);
  sim_trace ("<- %s %s", peer->name, proc->name);
  if (!gate || fault_before (STEP_START_GATED, self, peer, conn))
    conn->rpc->handler.call (conn->rpc->arg, conn, message->proc, message->call,
                             args);
  if (gate && message->pipe->ends[message->to] == conn)
    fault_after (STEP_START_GATED, self, peer, conn);
  xdr_destroy (&xdr);
  xdr_free (proc->args, args);
  g_free (args);
}

static void
deliver_reply (HsConn *conn, const Message *message)
{
  const HsProc *proc = hs_proc (message->proc);
  Pending **link = &conn->pending;
  Pending *pending;
  void *result;
  XDR xdr;

  while (*link != NULL && (*link)->call != message->call)
    link = &(*link)->next;
  pending = *link;
  if (pending == NULL)
    return;
  *link = pending->next;
  if (pending->timeout != NULL)
    sim_cancel (pending->timeout);
  result = g_malloc0 (proc->result_size);
  xdrmem_create (&xdr, message->bytes, message->len, XDR_DECODE);
  if (!proc->result (&xdr, result))
    g_error ("reply of procedure %s can't be decoded", proc->name);
  mutant_reply (message->proc, result);
  sim_trace ("<- %s reply to %s", conn->peer_proc->name, proc->name);
  pending->done (pending->arg, HS_RPC_OK, result);
  xdr_destroy (&xdr);
  xdr_free (proc->result, result);
  g_free (result);
}

static void
on_timeout (void *arg)
{
  Pending *pending = arg;
  Pending **link = &pending->conn->pending;

  while (*link != pending)
    link = &(*link)->next;
  *link = pending->next;
  pending->done (pending->arg, HS_RPC_TIMEOUT, NULL);
}

/* An entry that is paused neither notices nor tells. */
static void
check_work (const HsConn *conn)
{
  HsTime died_at = conn->pipe->host_died_at;
  uint32_t i;

  if (died_at == 0 || sim_now () - died_at <= NET_DEAD_WORK_MAX)
    return;
  for (i = 0; i < WORLD_ENTRIES; i++)
    if (world_entry (i)->paused_until > died_at)
      return;
  checks_fail ("%s sends work to %s, whose host died %d ms ago",
               conn->rpc->proc->name, conn->peer_proc->name,
               (int) ((sim_now () - died_at) / HS_MSEC));
}

static HsTime
silence_of (const HsConn *conn)
{
  return conn->watch == HS_CONN_WATCH_FAR ? NET_FAR_SILENCE : NET_SILENCE;
}

static void
end_later (Pipe *pipe, int side, HsTime at)
{
  PipeEnd *end;

  if (pipe->ends[side] == NULL)
    return;
  end = talloc_zero (NULL, PipeEnd);
  end->pipe = pipe;
  end->side = side;
  sim_at (MAX (at, pipe->last_at[side]), pipe->ends[side]->rpc->proc, on_end,
          end, true);
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
  fail_pending (conn);
  rpc->handler.down (rpc->arg, conn, refused);
}

static void
fail_pending (HsConn *conn)
{
  while (conn->pending != NULL)
    {
      Pending *pending = conn->pending;

      conn->pending = pending->next;
      if (pending->timeout != NULL)
        sim_cancel (pending->timeout);
      pending->done (pending->arg, HS_RPC_BROKEN, NULL);
    }
}

static bool
step_of (uint32_t proc, Step *step)
{
  switch (proc)
    {
    case HSX_FORWARD:
      *step = STEP_FORWARD;
      return true;
    case HSX_START:
      *step = STEP_START_SENT;
      return true;
    case HSX_RESULT:
      *step = STEP_RESULT;
      return true;
    case HSX_ANNOUNCE:
      *step = STEP_ANNOUNCE;
      return true;
    case HSX_RECOVER:
      *step = STEP_RECOVER;
      return true;
    case HSX_SETTLE:
      *step = STEP_SETTLE;
      return true;
    case HSX_BORROW:
      *step = STEP_BORROW;
      return true;
    case HSX_HANDOVER:
      *step = STEP_HANDOVER;
      return true;
    case HSX_PROMISE:
      *step = STEP_PROMISE;
      return true;
    default:
      return false;
    }
}
