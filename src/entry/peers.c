#include "base/log.h"
#include "entry/core.h"
#include "entry/promises.h"

#define PART "peers"

/** Longer than a peer may leave a BORROW call unanswered. */
#define BORROW_CALL_TIMEOUT (3 * HS_SEC)

typedef struct
{
  HsCore *core;
  uint64_t peer;
} BorrowCall;

typedef struct
{
  HsCore *core;
  uint64_t peer;
  HsTime sent;
} PromiseCall;

/* A peer's BORROW call, kept until the owner answers it. */
typedef struct
{
  uint64_t peer;
  HsConn *conn;
  HsRpcCallId call;
} BorrowRequest;

static void queue_borrow_request (HsCore *core, HsConn *conn, HsRpcCallId call);
static void announce (void *arg, HsConn *conn);
static void
on_promise_reply (void *arg, HsRpcStatus status, const void *result);
static void on_borrow_reply (void *arg, HsRpcStatus status, const void *result);

void
hs_peers_conn_up (HsCore *core, HsConn *conn, HsNow now)
{
  hs_agents_send_members (core, conn);
  hs_owner_peer_connected (core->owner, hs_conn_peer (conn)->incarnation, now);
  hs_peers_request_promise (core, hs_conn_peer (conn)->incarnation, 0, now);
  hs_calls_tick (core->calls, now);
}

void
hs_peers_conn_down (HsCore *core, uint64_t peer, HsNow now)
{
  hs_owner_peer_disconnected (core->owner, peer, now);
  hs_lease_manager_peer_down (core->lease_manager, peer);
  hs_suspicions_entry_down (core, peer);
}

void
hs_peers_handle_call (HsCore *core,
                      HsConn *conn,
                      uint32_t proc,
                      HsRpcCallId call,
                      void *args,
                      HsNow now)
{
  uint64_t peer = hs_conn_peer (conn)->incarnation;

  switch (proc)
    {
    case HSX_FORWARD:
      hs_calls_remote (core->calls, conn, call, args, now);
      return;
    case HSX_MEMBERS:
      {
        hsx_members_reply reply = { TRUE };

        hs_agents_members (core, peer, args, now);
        hs_conn_reply (conn, call, HSX_MEMBERS, &reply);
        return;
      }
    case HSX_SUSPECT:
      hs_suspicions_handle_suspect (core, peer, args);
      return;
    case HSX_PROBE:
      hs_suspicions_handle_probe (core, conn, call, args);
      return;
    case HSX_BORROW:
      queue_borrow_request (core, conn, call);
      hs_owner_borrow_request (core->owner, peer, args, now);
      return;
    case HSX_PROMISE:
      {
        hsx_promise_reply reply = { 0 };
        HsTime duration = ((hsx_promise_args *) args)->span_ms * HS_MSEC;

        reply.promised = hs_lease_manager_give_promise (core->lease_manager,
                                                        peer, duration, now);
        hs_conn_reply (conn, call, HSX_PROMISE, &reply);
        return;
      }
    case HSX_HANDOVER:
      {
        hsx_handover_reply reply = { 0 };

        reply.accepted = hs_owner_import (core->owner, args, now);
        hs_conn_reply (conn, call, HSX_HANDOVER, &reply);
        return;
      }
    default:
      hs_warn (PART, "entry called unexpected procedure %u; connection closed",
               proc);
      hs_conn_close (conn);
    }
}

void
hs_peers_request_promise (HsCore *core,
                          uint64_t peer,
                          HsTime duration,
                          HsNow now)
{
  HsConn *conn = hs_links_conn (core->links, peer);
  hsx_promise_args args = { (u_int) (duration / HS_MSEC) };
  PromiseCall *call;

  if (conn == NULL)
    return;
  call = talloc_zero (core, PromiseCall);
  call->core = core;
  call->peer = peer;
  call->sent = now.mono;
  if (!hs_conn_call (conn, HSX_PROMISE, &args, HS_PROMISE_DURATION,
                     on_promise_reply, call))
    talloc_free (call);
}

void
hs_peers_announce_to_all (HsCore *core)
{
  hs_links_foreach (core->links, HSX_ROLE_ENTRY, announce, core);
}

static void
announce (void *arg, HsConn *conn)
{
  hs_peers_request_promise (arg, hs_conn_peer (conn)->incarnation, 0,
                            hs_now ());
}

static void
on_promise_reply (void *arg, HsRpcStatus status, const void *result)
{
  PromiseCall call = *(PromiseCall *) arg;
  const hsx_promise_reply *reply = result;
  HsNow now = hs_now ();

  talloc_free (arg);
  if (status != HS_RPC_OK)
    return;
  hs_lease_manager_promise_reply (call.core->lease_manager, call.peer,
                                  reply->promised, call.sent, now);
  hs_core_schedule_tick (call.core, now);
}

void
hs_peers_send_borrow (void *arg, uint64_t peer, const hsx_borrow_args *args)
{
  HsCore *core = arg;
  HsConn *conn = hs_links_conn (core->links, peer);
  BorrowCall *call = talloc_zero (core, BorrowCall);

  call->core = core;
  call->peer = peer;
  if (conn == NULL
      || !hs_conn_call (conn, HSX_BORROW, args, BORROW_CALL_TIMEOUT,
                        on_borrow_reply, call))
    talloc_free (call);
}

void
hs_peers_reply_borrow (void *arg, uint64_t peer, const hsx_borrow_reply *reply)
{
  HsCore *core = arg;
  guint i;

  for (i = 0; i < core->borrow_requests->len; i++)
    {
      BorrowRequest request
          = g_array_index (core->borrow_requests, BorrowRequest, i);

      if (request.peer != peer)
        continue;
      g_array_remove_index_fast (core->borrow_requests, i);
      hs_conn_reply (request.conn, request.call, HSX_BORROW, reply);
      return;
    }
}

void
hs_peers_drop_borrow_requests (HsCore *core, const HsConn *conn)
{
  guint i;

  for (i = core->borrow_requests->len; i > 0; i--)
    if (g_array_index (core->borrow_requests, BorrowRequest, i - 1).conn
        == conn)
      g_array_remove_index_fast (core->borrow_requests, i - 1);
}

GArray *
hs_peers_borrow_requests_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (BorrowRequest));
}

/* A peer calls BORROW again only after its last call has timed out, so an
 * earlier one is answered with no credits. */
static void
queue_borrow_request (HsCore *core, HsConn *conn, HsRpcCallId call)
{
  BorrowRequest request = { hs_conn_peer (conn)->incarnation, conn, call };
  hsx_borrow_reply empty_reply = { 0 };

  hs_peers_reply_borrow (core, request.peer, &empty_reply);
  g_array_append_val (core->borrow_requests, request);
}

static void
on_borrow_reply (void *arg, HsRpcStatus status, const void *result)
{
  BorrowCall *call = arg;
  HsCore *core = call->core;
  uint64_t peer = call->peer;
  HsNow now = hs_now ();

  talloc_free (call);
  hs_owner_borrow_reply (core->owner, peer, status == HS_RPC_OK ? result : NULL,
                         now);
  hs_core_schedule_tick (core, now);
}
