#include <string.h>

#include "base/error.h"
#include "entry/core.h"

/** A request that finds no reachable owner for so long is answered. */
#define ROUTE_TIMEOUT (15 * HS_SEC)

/** Pause before a request is routed again. */
#define ROUTE_PAUSE (20 * HS_MSEC)

typedef enum
{
  CALL_ROUTING,  /* No reachable owner at present. */
  CALL_OWNED,    /* With the owner in this process. */
  CALL_FORWARDED /* With another entry. */
} CallState;

typedef struct
{
  HsCalls *calls;
  HsWaiter id;
  CallState state;
  uint32_t part;
  uint32_t round; /* Rises with each routing; tells late answers. */
  uint64_t owner; /* CALL_FORWARDED: its incarnation. */
  HsTime route_at;
  HsTime give_up_at;
  HsFrontCall *local; /* NULL for one that came from another entry. */
  HsConn *conn;       /* Of a remote one; NULL once it is gone. */
  HsRpcCallId rpc_call;
  hsx_forward_args *args;
} Call;

/* One forwarding of a call: outlives it if the answer is late. */
typedef struct
{
  HsCalls *calls;
  HsWaiter id;
  uint32_t round;
} Forward;

struct HsCalls
{
  HsCore *core;
  GHashTable *by_id;
  HsWaiter next_id;
};

static int calls_destructor (HsCalls *calls);
static Call *call_new (HsCalls *calls, HsNow now);
static void call_free (HsCalls *calls, Call *call);
static bool takes_requests (const HsCore *core);
static void refuse_leaving (HsCalls *calls, Call *call);
static void route (HsCalls *calls, Call *call, HsNow now);
static void forward (HsCalls *calls, Call *call, HsConn *conn);
static void on_forwarded (void *arg, HsRpcStatus status, const void *result);
static void route_later (Call *call, HsNow now);
static void give_up (HsCalls *calls, Call *call);
static void answer_call (HsCalls *calls, Call *call, const hsx_answer *answer);
static hsx_answer *copy_answer (TALLOC_CTX *ctx, const hsx_answer *answer);
static hsx_forward_args *copy_args (TALLOC_CTX *ctx,
                                    const hsx_forward_args *args);

HsCalls *
hs_calls_new (HsCore *core)
{
  HsCalls *calls = talloc_zero (core, HsCalls);

  calls->core = core;
  calls->next_id = 1;
  calls->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (calls, calls_destructor);
  return calls;
}

void
hs_calls_local (HsCalls *calls, HsFrontCall *front_call, HsNow now)
{
  Call *call = call_new (calls, now);

  call->local = front_call;
  call->args = front_call->args;
  call->part
      = hs_partition_of (call->args->customer, calls->core->entry->partitions);
  if (takes_requests (calls->core))
    route (calls, call, now);
  else
    refuse_leaving (calls, call);
}

void
hs_calls_remote (HsCalls *calls,
                 HsConn *conn,
                 HsRpcCallId rpc_call,
                 const hsx_forward_args *args,
                 HsNow now)
{
  Call *call = call_new (calls, now);

  call->conn = conn;
  call->rpc_call = rpc_call;
  call->args = copy_args (call, args);
  call->part = hs_partition_of (args->customer, calls->core->entry->partitions);
  call->state = CALL_OWNED;
  hs_owner_request (calls->core->owner, call->id, call->args, now);
}

void
hs_calls_conn_down (HsCalls *calls, HsConn *conn)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, calls->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Call *call = value;

      if (call->conn != conn || call->local != NULL)
        continue;
      hs_owner_remove_waiter (calls->core->owner, call->id);
      g_hash_table_iter_remove (&iter);
      talloc_free (call);
    }
}

void
hs_calls_part_moved (HsCalls *calls, uint32_t part, HsNow now)
{
  uint64_t owner = hs_lease_manager_owner_of (calls->core->lease_manager, part);
  g_autoptr (GPtrArray) moved = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, calls->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Call *call = value;

      if (call->part == part
          && (call->state == CALL_ROUTING
              || (call->state == CALL_FORWARDED && call->owner != owner)))
        g_ptr_array_add (moved, value);
    }
  for (i = 0; i < moved->len; i++)
    route (calls, moved->pdata[i], now);
}

void
hs_calls_tick (HsCalls *calls, HsNow now)
{
  g_autoptr (GPtrArray) due = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, calls->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Call *call = value;

      if (call->state == CALL_ROUTING && call->route_at <= now.mono)
        g_ptr_array_add (due, value);
    }
  for (i = 0; i < due->len; i++)
    {
      Call *call = due->pdata[i];

      if (call->give_up_at <= now.mono)
        give_up (calls, call);
      else
        route (calls, call, now);
    }
}

void
hs_calls_answer (void *arg, HsWaiter waiter, const hsx_answer *answer)
{
  HsCore *core = arg;
  Call *call = g_hash_table_lookup (core->calls->by_id, &waiter);

  if (call != NULL)
    answer_call (core->calls, call, answer);
}

void
hs_calls_reroute (void *arg, HsWaiter waiter)
{
  HsCore *core = arg;
  Call *call = g_hash_table_lookup (core->calls->by_id, &waiter);
  hsx_answer moved = { 0 };

  if (call == NULL)
    return;
  if (call->local != NULL)
    {
      route_later (call, hs_now ());
      return;
    }
  /* The entry that the caller is connected to routes it anew. */
  moved.state = HSX_JOB_REFUSED;
  moved.kind = HS_ERROR_UNAVAILABLE;
  moved.reason = (char *) HS_MOVED_REASON;
  answer_call (core->calls, call, &moved);
}

uint32_t
hs_calls_waiting (const HsCalls *calls)
{
  return g_hash_table_size (calls->by_id);
}

static int
calls_destructor (HsCalls *calls)
{
  g_hash_table_destroy (calls->by_id);
  return 0;
}

static Call *
call_new (HsCalls *calls, HsNow now)
{
  Call *call = talloc_zero (calls, Call);

  call->calls = calls;
  call->id = calls->next_id++;
  call->give_up_at = now.mono + ROUTE_TIMEOUT;
  g_hash_table_insert (calls->by_id, &call->id, call);
  return call;
}

static void
call_free (HsCalls *calls, Call *call)
{
  g_hash_table_remove (calls->by_id, &call->id);
  talloc_free (call);
}

/* While an entry leaves, others take over its partitions and the requests on
   its open connections are forwarded to them. Alone it only ends its jobs. */
static bool
takes_requests (const HsCore *core)
{
  if (!core->leaving)
    return true;
  return !core->drained && hs_core_other_entry_active (core);
}

/* The id may have been accepted before: "not run" would be a guess. */
static void
refuse_leaving (HsCalls *calls, Call *call)
{
  hsx_answer answer = { 0 };

  answer.state = HSX_JOB_REFUSED;
  answer.kind = HS_ERROR_SHUTTING_DOWN;
  answer.reason
      = (char *) "this entry is leaving; send the same id to another entry";
  answer_call (calls, call, &answer);
}

static void
route (HsCalls *calls, Call *call, HsNow now)
{
  HsCore *core = calls->core;
  uint64_t owner = hs_lease_manager_owner_of (core->lease_manager, call->part);
  HsConn *conn;

  call->round++;
  if (hs_owner_owns (core->owner, call->part))
    {
      call->state = CALL_OWNED;
      hs_owner_request (core->owner, call->id, call->args, now);
      return;
    }
  conn = owner != 0 && owner != core->incarnation
             ? hs_links_conn (core->links, owner)
             : NULL;
  if (conn == NULL)
    {
      route_later (call, now);
      return;
    }
  call->state = CALL_FORWARDED;
  call->owner = owner;
  forward (calls, call, conn);
}

static void
forward (HsCalls *calls, Call *call, HsConn *conn)
{
  Forward *f = talloc_zero (calls, Forward);

  f->calls = calls;
  f->id = call->id;
  f->round = call->round;
  if (hs_conn_call (conn, HSX_FORWARD, call->args, HS_NEVER, on_forwarded, f))
    return;
  talloc_free (f);
  route_later (call, hs_now ());
}

static void
on_forwarded (void *arg, HsRpcStatus status, const void *result)
{
  Forward *f = arg;
  HsCalls *calls = f->calls;
  Call *call = g_hash_table_lookup (calls->by_id, &f->id);
  const hsx_answer *answer = result;
  bool current = call != NULL && call->round == f->round;

  talloc_free (f);
  if (!current)
    return;
  if (status != HS_RPC_OK
      || (answer->state == HSX_JOB_REFUSED
          && strcmp (answer->reason, HS_MOVED_REASON) == 0))
    {
      route_later (call, hs_now ());
      return;
    }
  answer_call (calls, call, answer);
}

static void
route_later (Call *call, HsNow now)
{
  if (call->state != CALL_ROUTING)
    call->give_up_at = now.mono + ROUTE_TIMEOUT;
  call->state = CALL_ROUTING;
  call->route_at = now.mono + ROUTE_PAUSE;
}

/* Whether an owner took the request before is not known here, and the id may
   have been submitted elsewhere: "not run" would be a guess. */
static void
give_up (HsCalls *calls, Call *call)
{
  hsx_answer answer = { 0 };

  answer.state = HSX_JOB_REFUSED;
  answer.kind = HS_ERROR_UNKNOWN;
  answer.retry_after_ms = 1000;
  answer.reason = (char *) "the customer's owner can't be reached; "
                           "resubmit the same id";
  answer_call (calls, call, &answer);
}

static void
answer_call (HsCalls *calls, Call *call, const hsx_answer *answer)
{
  if (call->local != NULL)
    {
      call->local->answer = copy_answer (call->local, answer);
      hs_front_answer (call->local);
    }
  else if (call->conn != NULL)
    hs_conn_reply (call->conn, call->rpc_call, HSX_FORWARD, answer);
  call_free (calls, call);
}

static hsx_answer *
copy_answer (TALLOC_CTX *ctx, const hsx_answer *answer)
{
  hsx_answer *copy = talloc_memdup (ctx, answer, sizeof *answer);
  u_int i;

  copy->reason
      = talloc_strdup (copy, answer->reason != NULL ? answer->reason : "");
  copy->tasks.tasks_val
      = talloc_array (copy, hsx_task_answer, answer->tasks.tasks_len);
  for (i = 0; i < answer->tasks.tasks_len; i++)
    {
      const hsx_task_answer *from = &answer->tasks.tasks_val[i];
      hsx_task_answer *to = &copy->tasks.tasks_val[i];

      *to = *from;
      to->body.body_val
          = talloc_memdup (copy, from->body.body_val, from->body.body_len);
    }
  return copy;
}

static hsx_forward_args *
copy_args (TALLOC_CTX *ctx, const hsx_forward_args *args)
{
  hsx_forward_args *copy = talloc_memdup (ctx, args, sizeof *args);
  u_int i;

  copy->customer = talloc_strdup (copy, args->customer);
  copy->id = talloc_strdup (copy, args->id);
  copy->tasks.tasks_val = talloc_array (copy, hsx_task, args->tasks.tasks_len);
  for (i = 0; i < args->tasks.tasks_len; i++)
    {
      const hsx_task *from = &args->tasks.tasks_val[i];
      hsx_task *to = &copy->tasks.tasks_val[i];

      *to = *from;
      to->body.body_val
          = talloc_memdup (copy, from->body.body_val, from->body.body_len);
    }
  return copy;
}
