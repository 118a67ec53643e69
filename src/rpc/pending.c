#include "rpc/conn_private.h"

/* A call that was sent and waits for its reply. */
typedef struct
{
  HsConn *conn;
  uint32_t xid;
  uint32_t proc;
  HsRpcReplyFunc done;
  void *arg;
  struct tevent_timer *timer;
} PendingCall;

static void on_call_timeout (struct tevent_context *ev,
                             struct tevent_timer *timer,
                             struct timeval now,
                             void *arg);

bool
hs_conn_send_call (HsConn *conn,
                   uint32_t proc,
                   const void *args,
                   HsTime timeout,
                   HsRpcReplyFunc done,
                   void *arg)
{
  uint32_t xid = conn->next_xid;
  guint before = conn->out_buffer->len;
  PendingCall *pending;

  if (!hs_record_append_call (conn->out_buffer, &conn->send_channel, xid, proc,
                              args))
    return false;
  conn->next_xid = conn->next_xid == UINT32_MAX ? 1 : conn->next_xid + 1;
  conn->rpc->stats.sent_by_proc[proc]++;
  conn->rpc->stats.bytes_sent += conn->out_buffer->len - before;
  hs_conn_schedule_flush (conn);
  if (hs_proc (proc)->result == NULL)
    return true;
  pending = talloc_zero (conn, PendingCall);
  pending->conn = conn;
  pending->xid = xid;
  pending->proc = proc;
  pending->done = done;
  pending->arg = arg;
  g_hash_table_insert (conn->pending_calls, GUINT_TO_POINTER (xid), pending);
  if (timeout != HS_NEVER)
    pending->timer = tevent_add_timer (
        conn->rpc->ev, pending,
        tevent_timeval_current_ofs ((uint32_t) (timeout / HS_SEC),
                                    (uint32_t) (timeout % HS_SEC)),
        on_call_timeout, pending);
  return true;
}

bool
hs_conn_handle_reply (HsConn *conn,
                      const HsRecordHeader *header,
                      const uint8_t *body,
                      size_t n)
{
  PendingCall *pending = g_hash_table_lookup (conn->pending_calls,
                                              GUINT_TO_POINTER (header->xid));
  const HsProc *proc;
  void *result;

  /* A reply to a call that has timed out is legitimate; xid 0 is never used. */
  if (pending == NULL)
    return header->xid != 0 && header->xid < conn->next_xid;
  g_hash_table_remove (conn->pending_calls, GUINT_TO_POINTER (header->xid));
  TALLOC_FREE (pending->timer);
  if (header->rejected)
    {
      pending->done (pending->arg, HS_RPC_REJECTED, NULL);
      talloc_free (pending);
      return true;
    }
  proc = hs_proc (pending->proc);
  result = talloc_zero_size (pending, proc->result_size);
  if (!hs_record_decode (body, n, proc->result, result))
    {
      pending->done (pending->arg, HS_RPC_DISCONNECTED, NULL);
      talloc_free (pending);
      return false;
    }
  pending->done (pending->arg, HS_RPC_OK, result);
  xdr_free (proc->result, result);
  talloc_free (pending);
  return true;
}

void
hs_conn_fail_pending (HsConn *conn)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, conn->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PendingCall *pending = value;

      g_hash_table_iter_remove (&iter);
      TALLOC_FREE (pending->timer);
      pending->done (pending->arg, HS_RPC_DISCONNECTED, NULL);
      talloc_free (pending);
      /* Start over, as the callback may have changed the table. It can't have
         added a call, since the connection is closed. */
      g_hash_table_iter_init (&iter, conn->pending_calls);
    }
}

static void
on_call_timeout (struct tevent_context *ev,
                 struct tevent_timer *timer,
                 struct timeval now,
                 void *arg)
{
  PendingCall *pending = arg;

  (void) ev;
  (void) timer;
  (void) now;
  g_hash_table_remove (pending->conn->pending_calls,
                       GUINT_TO_POINTER (pending->xid));
  pending->done (pending->arg, HS_RPC_TIMEOUT, NULL);
  talloc_free (pending);
}
