/* Calls and replies between processes. Messages go through the real codecs. A
   connection keeps their order and can lose only the last ones, as TCP does. */

#include "proto/procs.h"
#include "mutants.h"
#include "net_private.h"

#define MESSAGE_MAX (16u << 20)

struct PendingCall
{
  HsConn *conn;
  PendingCall *next;
  HsRpcCallId call;
  uint32_t proc;
  HsRpcReplyFunc done;
  void *arg;
  SimEvent *timeout;
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

static bool send_message (HsConn *conn,
                          const Message *head,
                          xdrproc_t codec,
                          const void *body);
static void deliver (void *arg);
static void deliver_call (HsConn *conn, const Message *message);
static void deliver_reply (HsConn *conn, const Message *message);
static void on_timeout (void *arg);
static bool step_of_procedure (uint32_t proc, Step *step);

bool
hs_conn_call (HsConn *conn,
              uint32_t number,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  const HsProc *proc = hs_proc (number);
  Message head = { .proc = number };
  PendingCall *pending;
  Step step = STEP_COUNT;

  if (!conn->up || !proc_is_running (conn->rpc->proc))
    return false;
  if (step_of_procedure (number, &step)
      && !fault_before (step, conn->rpc->proc, conn->peer_proc, conn))
    return false;
  if (number == HSX_START)
    net_check_peer_host (conn);
  if (proc->result != NULL)
    head.call = ++conn->next_call;
  if (!send_message (conn, &head, proc->args, args))
    return false;
  sim_trace ("-> %s %s", conn->peer_proc->name, proc->name);
  if (step != STEP_COUNT)
    fault_after (step, conn->rpc->proc, conn->peer_proc, conn);
  if (proc->result == NULL)
    return true;
  pending = talloc_zero (conn, PendingCall);
  pending->conn = conn;
  pending->call = head.call;
  pending->proc = number;
  pending->done = done;
  pending->arg = arg;
  pending->next = conn->pending;
  conn->pending = pending;
  if (timeout != HS_NEVER)
    pending->timeout = sim_schedule (sim_now () + timeout, conn->rpc->proc,
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

  if (!conn->up || !proc_is_running (conn->rpc->proc))
    return false;
  sim_trace ("-> %s reply to %s", conn->peer_proc->name,
             hs_proc (number)->name);
  return send_message (conn, &head, hs_proc (number)->result, result);
}

void
net_fail_pending (HsConn *conn)
{
  while (conn->pending != NULL)
    {
      PendingCall *pending = conn->pending;

      conn->pending = pending->next;
      if (pending->timeout != NULL)
        sim_cancel (pending->timeout);
      pending->done (pending->arg, HS_RPC_DISCONNECTED, NULL);
    }
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
  HsTime at = sim_now () + NET_DELAY + sim_random_time (0, NET_DELAY / 5);
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
  sim_schedule (pipe->last_at[to], conn->peer_proc, deliver, message, true);
  /* If the peer's end is gone, nothing acknowledges the message, so this side
     times out. */
  if (pipe->ends[to] == NULL)
    net_close_end_later (pipe, conn->side, sim_now () + NET_TIMEOUT);
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
  if (pipe->delayed_until[message->to] > sim_now ())
    {
      Message *copy = talloc_memdup (NULL, message, sizeof *message);

      talloc_steal (copy, message->bytes);
      sim_schedule (pipe->delayed_until[message->to], conn->rpc->proc, deliver,
                    copy, true);
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
  bool is_start = message->proc == HSX_START;
  XDR xdr;

  xdrmem_create (&xdr, message->bytes, message->len, XDR_DECODE);
  if (!proc->args (&xdr, args))
    g_error ("can't decode the call of procedure %s", proc->name);
  mutant_alter_call (self, message->proc, args);
  sim_trace ("<- %s %s", peer->name, proc->name);
  if (!is_start || fault_before (STEP_START_GATED, self, peer, conn))
    conn->rpc->handler.call (conn->rpc->arg, conn, message->proc, message->call,
                             args);
  if (is_start && message->pipe->ends[message->to] == conn)
    fault_after (STEP_START_GATED, self, peer, conn);
  xdr_destroy (&xdr);
  xdr_free (proc->args, args);
  g_free (args);
}

static void
deliver_reply (HsConn *conn, const Message *message)
{
  const HsProc *proc = hs_proc (message->proc);
  PendingCall **link = &conn->pending;
  PendingCall *pending;
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
    g_error ("can't decode the reply of procedure %s", proc->name);
  mutant_alter_reply (message->proc, result);
  sim_trace ("<- %s reply to %s", conn->peer_proc->name, proc->name);
  pending->done (pending->arg, HS_RPC_OK, result);
  xdr_destroy (&xdr);
  xdr_free (proc->result, result);
  g_free (result);
}

static void
on_timeout (void *arg)
{
  PendingCall *pending = arg;
  PendingCall **link = &pending->conn->pending;

  while (*link != pending)
    link = &(*link)->next;
  *link = pending->next;
  pending->done (pending->arg, HS_RPC_TIMEOUT, NULL);
}

static bool
step_of_procedure (uint32_t proc, Step *step)
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
