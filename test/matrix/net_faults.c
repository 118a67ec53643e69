/* Faults of connections between processes. */

#include "checks.h"
#include "net_private.h"

static HsTime peer_timeout (const HsConn *conn);

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
        net_close_end_later (
            conn->pipe, !conn->side,
            sim_now () + (with_host ? peer_timeout (other) : NET_DELAY));
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
  net_close_end_later (pipe, conn->side, sim_now ());
  net_close_end_later (pipe, !conn->side, sim_now () + NET_DELAY);
}

void
net_break_one_side (HsConn *conn, HsTime span)
{
  Pipe *pipe = conn->pipe;

  if (pipe == NULL)
    return;
  pipe->lost[conn->side] = true;
  net_close_end_later (pipe, conn->side, sim_now ());
  net_delay (conn, span);
  net_close_end_later (pipe, !conn->side, sim_now () + span + NET_DELAY);
}

void
net_delay (HsConn *conn, HsTime span)
{
  if (conn->pipe != NULL)
    conn->pipe->delayed_until[!conn->side] = sim_now () + span;
}

/* Here the peer dials; in the system either side may. */
void
net_open_second (HsConn *conn)
{
  Proc *peer = conn->peer_proc;

  if (peer->rpc != NULL && proc_is_running (peer))
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

/* Not checked if an entry was paused after the host died: it could neither
   notice the death nor report it. */
void
net_check_peer_host (const HsConn *conn)
{
  HsTime died_at = conn->pipe->host_died_at;
  uint32_t i;

  if (died_at == 0 || sim_now () - died_at <= NET_DEAD_HOST_NOTICE_MAX)
    return;
  for (i = 0; i < WORLD_ENTRIES; i++)
    if (world_entry (i)->paused_until > died_at)
      return;
  checks_report_violation ("%s sends a START to %s, whose host died %d ms ago",
                           conn->rpc->proc->name, conn->peer_proc->name,
                           (int) ((sim_now () - died_at) / HS_MSEC));
}

static HsTime
peer_timeout (const HsConn *conn)
{
  return conn->watch == HS_CONN_KEEPALIVE_LONG ? NET_FAR_TIMEOUT : NET_TIMEOUT;
}
