/* What befalls connections between processes. */

#include "net_private.h"

void
net_proc_died (Proc *proc, bool with_host)
{
  HsTime at = sim_now () + (with_host ? NET_SILENCE : NET_DELAY);
  guint i;

  for (i = 0; proc->rpc != NULL && i < proc->rpc->conns->len; i++)
    {
      HsConn *conn = proc->rpc->conns->pdata[i];

      if (conn->pipe == NULL)
        continue;
      conn->pipe->ends[conn->side] = NULL;
      net_end_later (conn->pipe, !conn->side, at);
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
  net_end_later (pipe, conn->side, sim_now ());
  net_end_later (pipe, !conn->side, sim_now () + NET_DELAY);
}

void
net_cross (HsConn *conn, HsTime span)
{
  Pipe *pipe = conn->pipe;

  if (pipe == NULL)
    return;
  pipe->lost[conn->side] = true;
  net_end_later (pipe, conn->side, sim_now ());
  net_hold (conn, span);
  net_end_later (pipe, !conn->side, sim_now () + span + NET_DELAY);
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
