#include "rpc/conn_private.h"

/* A call of ours that waits for its reply. */
typedef struct
{
  HsConn *conn;
  uint32_t xid;
  uint32_t proc;
  HsRpcDone done;
  void *arg;
  struct tevent_timer *timer;
} Pending;

static void on_call_timeout (struct tevent_context *ev,
                             struct tevent_timer *timer,
                             struct timeval now,
                             void *arg);

bool
hs_conn_send_call (HsConn *conn,
                   uint32_t proc,
                   const void *args,
                   HsTime timeout,
                   HsRpcDone done,
                   void *arg)
{
  uint32_t xid = conn->next_xid;
  guint before = conn->out->len;
  Pending *pending;

  if (!hs_record_put_call (conn->out, &conn->sending, xid, proc, args))
    return false;
  conn->next_xid = conn->next_xid == UINT32_MAX ? 1 : conn->next_xid + 1;
  conn->rpc->stats.sent_by_proc[proc]++;
  conn->rpc->stats.bytes_sent += conn->out->len - before;
  hs_conn_schedule_flush (conn);
  if (hs_proc (proc)->result == NULL)
    return true;
  pending = talloc_zero (conn, Pending);
  pending->conn = conn;
  pending->xid = xid;
  pending->proc = proc;
  pending->done = done;
  pending->arg = arg;
  g_hash_table_insert (conn->pending, GUINT_TO_POINTER (xid), pending);
  if (timeout != HS_NEVER)
    pending->timer = tevent_add_timer (
        conn->rpc->ev, pending,
        tevent_timeval_current_ofs ((uint32_t) (timeout / HS_SEC),
                                    (uint32_t) (timeout % HS_SEC)),
        on_call_timeout, pending);
  return true;
}

bool
hs_conn_take_reply (HsConn *conn,
                    const HsRecordHead *head,
                    const uint8_t *body,
                    size_t n)
{
  Pending *pending
      = g_hash_table_lookup (conn->pending, GUINT_TO_POINTER (head->xid));
  const HsProc *proc;
  void *result;

  /* A reply after the timeout is late, not wrong; no call has number 0. */
  if (pending == NULL)
    return head->xid != 0 && head->xid < conn->next_xid;
  g_hash_table_remove (conn->pending, GUINT_TO_POINTER (head->xid));
  TALLOC_FREE (pending->timer);
  if (head->rejected)
    {
      pending->done (pending->arg, HS_RPC_REJECTED, NULL);
      talloc_free (pending);
      return true;
    }
  proc = hs_proc (pending->proc);
  result = talloc_zero_size (pending, proc->result_size);
  if (!hs_record_decode (body, n, proc->result, result))
    {
      pending->done (pending->arg, HS_RPC_BROKEN, NULL);
      talloc_free (pending);
      return false;
    }
  pending->done (pending->arg, HS_RPC_OK, result);
  xdr_free (proc->result, result);
  talloc_free (pending);
  return true;
}

void
hs_conn_end_pending (HsConn *conn)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, conn->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Pending *pending = value;

      g_hash_table_iter_remove (&iter);
      TALLOC_FREE (pending->timer);
      pending->done (pending->arg, HS_RPC_BROKEN, NULL);
      talloc_free (pending);
      /* The callback may have added nothing: calls need a live state. */
      g_hash_table_iter_init (&iter, conn->pending);
    }
}

static void
on_call_timeout (struct tevent_context *ev,
                 struct tevent_timer *timer,
                 struct timeval now,
                 void *arg)
{
  Pending *pending = arg;

  (void) ev;
  (void) timer;
  (void) now;
  g_hash_table_remove (pending->conn->pending, GUINT_TO_POINTER (pending->xid));
  pending->done (pending->arg, HS_RPC_TIMEOUT, NULL);
  talloc_free (pending);
}
