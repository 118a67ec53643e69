#include <string.h>

#include "base/error.h"
#include "entry/core.h"

/** A request without a reachable owner for this long is refused. */
#define ROUTE_TIMEOUT (15 * HS_SEC)

/** Delay before a request is routed again. */
#define ROUTE_RETRY_DELAY (20 * HS_MSEC)

typedef enum
{
  REQUEST_ROUTING,  /* Waits for a reachable owner. */
  REQUEST_OWNED,    /* Passed to the owner in this process. */
  REQUEST_FORWARDED /* Passed to the owner in another entry. */
} RequestState;

typedef struct
{
  HsCalls *calls;
  HsWaiter waiter;
  RequestState state;
  uint32_t part;
  uint32_t routing_attempt; /* Counts routings, to detect late replies. */
  uint64_t owner;           /* REQUEST_FORWARDED: its incarnation. */
  HsTime next_routing_at;
  HsTime routing_deadline;
  HsJobRequest
      *job_request; /* From the HTTP frontend; NULL: from another entry. */
  HsConn *conn;     /* To the entry that forwarded it; NULL: local. */
  HsRpcCallId rpc_call;
  hsx_forward_args *args;
} Request;

/* One attempt to forward a request; outlives the request if the reply is
   late. */
typedef struct
{
  HsCalls *calls;
  HsWaiter waiter;
  uint32_t routing_attempt;
} ForwardAttempt;

struct HsCalls
{
  HsCore *core;
  GHashTable *by_waiter;
  HsWaiter next_waiter;
};

static int calls_destructor (HsCalls *calls);
static Request *request_new (HsCalls *calls, HsNow now);
static void request_free (HsCalls *calls, Request *request);
static bool accepts_requests (const HsCore *core);
static void refuse_shutting_down (HsCalls *calls, Request *request);
static void route (HsCalls *calls, Request *request, HsNow now);
static void forward (HsCalls *calls, Request *request, HsConn *conn);
static void
on_forward_reply (void *arg, HsRpcStatus status, const void *result);
static void retry_routing_later (Request *request, HsNow now);
static void refuse_unroutable (HsCalls *calls, Request *request);
static void
answer_request (HsCalls *calls, Request *request, const hsx_answer *answer);
static hsx_answer *copy_answer (TALLOC_CTX *ctx, const hsx_answer *answer);
static hsx_forward_args *copy_args (TALLOC_CTX *ctx,
                                    const hsx_forward_args *args);

HsCalls *
hs_calls_new (HsCore *core)
{
  HsCalls *calls = talloc_zero (core, HsCalls);

  calls->core = core;
  calls->next_waiter = 1;
  calls->by_waiter = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (calls, calls_destructor);
  return calls;
}

void
hs_calls_local (HsCalls *calls, HsJobRequest *job_request, HsNow now)
{
  Request *request = request_new (calls, now);

  request->job_request = job_request;
  request->args = job_request->args;
  request->part = hs_partition_of (request->args->customer,
                                   calls->core->entry->partitions);
  if (accepts_requests (calls->core))
    route (calls, request, now);
  else
    refuse_shutting_down (calls, request);
}

void
hs_calls_remote (HsCalls *calls,
                 HsConn *conn,
                 HsRpcCallId rpc_call,
                 const hsx_forward_args *args,
                 HsNow now)
{
  Request *request = request_new (calls, now);

  request->conn = conn;
  request->rpc_call = rpc_call;
  request->args = copy_args (request, args);
  request->part
      = hs_partition_of (args->customer, calls->core->entry->partitions);
  request->state = REQUEST_OWNED;
  hs_owner_request (calls->core->owner, request->waiter, request->args, now);
}

void
hs_calls_conn_down (HsCalls *calls, HsConn *conn)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, calls->by_waiter);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;

      if (request->conn != conn || request->job_request != NULL)
        continue;
      hs_owner_remove_waiter (calls->core->owner, request->waiter);
      g_hash_table_iter_remove (&iter);
      talloc_free (request);
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

  g_hash_table_iter_init (&iter, calls->by_waiter);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Request *request = value;

      if (request->part == part
          && (request->state == REQUEST_ROUTING
              || (request->state == REQUEST_FORWARDED
                  && request->owner != owner)))
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

  g_hash_table_iter_init (&iter, calls->by_waiter);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Request *request = value;

      if (request->state == REQUEST_ROUTING
          && request->next_routing_at <= now.mono)
        g_ptr_array_add (due, value);
    }
  for (i = 0; i < due->len; i++)
    {
      Request *request = due->pdata[i];

      if (request->routing_deadline <= now.mono)
        refuse_unroutable (calls, request);
      else
        route (calls, request, now);
    }
}

void
hs_calls_answer (void *arg, HsWaiter waiter, const hsx_answer *answer)
{
  HsCore *core = arg;
  Request *request = g_hash_table_lookup (core->calls->by_waiter, &waiter);

  if (request != NULL)
    answer_request (core->calls, request, answer);
}

void
hs_calls_reroute (void *arg, HsWaiter waiter)
{
  HsCore *core = arg;
  Request *request = g_hash_table_lookup (core->calls->by_waiter, &waiter);
  hsx_answer moved = { 0 };

  if (request == NULL)
    return;
  if (request->job_request != NULL)
    {
      retry_routing_later (request, hs_now ());
      return;
    }
  /* The entry that the caller is connected to routes it again. */
  moved.state = HSX_JOB_REFUSED;
  moved.kind = HS_ERROR_UNAVAILABLE;
  moved.reason = (char *) HS_MOVED_REASON;
  answer_request (core->calls, request, &moved);
}

uint32_t
hs_calls_waiting (const HsCalls *calls)
{
  return g_hash_table_size (calls->by_waiter);
}

static int
calls_destructor (HsCalls *calls)
{
  g_hash_table_destroy (calls->by_waiter);
  return 0;
}

static Request *
request_new (HsCalls *calls, HsNow now)
{
  Request *request = talloc_zero (calls, Request);

  request->calls = calls;
  request->waiter = calls->next_waiter++;
  request->routing_deadline = now.mono + ROUTE_TIMEOUT;
  g_hash_table_insert (calls->by_waiter, &request->waiter, request);
  return request;
}

static void
request_free (HsCalls *calls, Request *request)
{
  g_hash_table_remove (calls->by_waiter, &request->waiter);
  talloc_free (request);
}

/* While this entry is leaving, other entries take over its partitions, and
   requests on its open connections are forwarded to them. If there is no other
   entry, it only finishes its jobs. */
static bool
accepts_requests (const HsCore *core)
{
  if (!core->leaving)
    return true;
  return !core->drained && hs_core_other_entry_active (core);
}

/* Leaves `not_run` false, as the id may have been accepted before. */
static void
refuse_shutting_down (HsCalls *calls, Request *request)
{
  hsx_answer answer = { 0 };

  answer.state = HSX_JOB_REFUSED;
  answer.kind = HS_ERROR_SHUTTING_DOWN;
  answer.reason = (char *) "this entry is shutting down; submit the same id to "
                           "another entry";
  answer_request (calls, request, &answer);
}

static void
route (HsCalls *calls, Request *request, HsNow now)
{
  HsCore *core = calls->core;
  uint64_t owner
      = hs_lease_manager_owner_of (core->lease_manager, request->part);
  HsConn *conn;

  request->routing_attempt++;
  if (hs_owner_owns (core->owner, request->part))
    {
      request->state = REQUEST_OWNED;
      hs_owner_request (core->owner, request->waiter, request->args, now);
      return;
    }
  conn = owner != 0 && owner != core->incarnation
             ? hs_links_conn (core->links, owner)
             : NULL;
  if (conn == NULL)
    {
      retry_routing_later (request, now);
      return;
    }
  request->state = REQUEST_FORWARDED;
  request->owner = owner;
  forward (calls, request, conn);
}

static void
forward (HsCalls *calls, Request *request, HsConn *conn)
{
  ForwardAttempt *attempt = talloc_zero (calls, ForwardAttempt);

  attempt->calls = calls;
  attempt->waiter = request->waiter;
  attempt->routing_attempt = request->routing_attempt;
  if (hs_conn_call (conn, HSX_FORWARD, request->args, HS_NEVER,
                    on_forward_reply, attempt))
    return;
  talloc_free (attempt);
  retry_routing_later (request, hs_now ());
}

static void
on_forward_reply (void *arg, HsRpcStatus status, const void *result)
{
  ForwardAttempt *attempt = arg;
  HsCalls *calls = attempt->calls;
  Request *request = g_hash_table_lookup (calls->by_waiter, &attempt->waiter);
  const hsx_answer *answer = result;
  bool current
      = request != NULL && request->routing_attempt == attempt->routing_attempt;

  talloc_free (attempt);
  if (!current)
    return;
  if (status != HS_RPC_OK
      || (answer->state == HSX_JOB_REFUSED
          && strcmp (answer->reason, HS_MOVED_REASON) == 0))
    {
      retry_routing_later (request, hs_now ());
      return;
    }
  answer_request (calls, request, answer);
}

static void
retry_routing_later (Request *request, HsNow now)
{
  if (request->state != REQUEST_ROUTING)
    request->routing_deadline = now.mono + ROUTE_TIMEOUT;
  request->state = REQUEST_ROUTING;
  request->next_routing_at = now.mono + ROUTE_RETRY_DELAY;
}

/* Leaves `not_run` false: an owner may have accepted the request before, or the
   id may have been submitted to another entry. */
static void
refuse_unroutable (HsCalls *calls, Request *request)
{
  hsx_answer answer = { 0 };

  answer.state = HSX_JOB_REFUSED;
  answer.kind = HS_ERROR_UNKNOWN;
  answer.retry_after_ms = 1000;
  answer.reason = (char *) "the entry that owns the customer is unreachable; "
                           "resubmit the same id";
  answer_request (calls, request, &answer);
}

static void
answer_request (HsCalls *calls, Request *request, const hsx_answer *answer)
{
  if (request->job_request != NULL)
    {
      request->job_request->answer = copy_answer (request->job_request, answer);
      hs_frontend_post_answer (request->job_request);
    }
  else if (request->conn != NULL)
    hs_conn_reply (request->conn, request->rpc_call, HSX_FORWARD, answer);
  request_free (calls, request);
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
