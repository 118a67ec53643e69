/* What befalls connections between processes. */

#include "checks.h"
#include "net_private.h"

static HsTime silence_of (const HsConn *conn);

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
        net_end_later (conn->pipe, !conn->side,
                       sim_now ()
                           + (with_host ? silence_of (other) : NET_DELAY));
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

/* An entry that is paused neither notices nor tells. */
void
net_check_work (const HsConn *conn)
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
  return conn->watch == HS_CONN_KEEPALIVE_LONG ? NET_FAR_SILENCE : NET_SILENCE;
}
