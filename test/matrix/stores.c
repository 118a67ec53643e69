/* The platform's store: the client's interface on top of the stand-in's state
   machine; replaces store/store.c. */

#include <string.h>

#include "operators.h"
#include "stores_private.h"

/** Timeout of a call, as the entry sets it. */
#define CALL_TIMEOUT (2 * HS_SEC)
/** Expired leases are removed at this interval. */
#define LEASE_CHECK_PERIOD (50 * HS_MSEC)

StoreFaults store_faults;

static int store_destructor (HsStore *store);
static StoreCall *
call_new (HsStore *store, CallKind kind, HsStoreReplyFunc done, void *arg);
static void call_send (StoreCall *call);
static void on_refused (void *arg);
static void on_timeout (void *arg);
static void on_arrival (void *arg);
static void on_reply (void *arg);
static void end_call (StoreCall *call, HsStoreStatus status);
static HsKvOp *copy_ops (StoreCall *call, size_t n, const HsStoreOp *ops);
static Step step_of_txn (const HsStoreTxn *txn);
static void on_lease_check (void *arg);

void
store_begin (void)
{
  memset (&store_faults, 0, sizeof store_faults);
  world.kv = hs_kv_new (sim_memory ());
  sim_schedule (LEASE_CHECK_PERIOD, NULL, on_lease_check, NULL, false);
}

HsStore *
hs_store_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              const char *const *endpoints,
              HsTime timeout)
{
  HsStore *store = talloc_zero (ctx, HsStore);

  (void) endpoints;
  (void) timeout;
  store->proc = ev->proc;
  store->watches = g_ptr_array_new ();
  ev->proc->store = store;
  talloc_set_destructor (store, store_destructor);
  return store;
}

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t limit,
                HsStoreReplyFunc done,
                void *arg)
{
  StoreCall *call = call_new (store, CALL_RANGE, done, arg);

  call->prefix = talloc_strdup (call, prefix);
  call->limit = limit;
  call_send (call);
}

void
hs_store_txn (HsStore *store,
              const HsStoreTxn *txn,
              HsStoreReplyFunc done,
              void *arg)
{
  StoreCall *call = call_new (store, CALL_TXN, done, arg);
  size_t i;

  call->step = step_of_txn (txn);
  call->n_compares = txn->n_compares;
  call->compares = talloc_zero_array (call, HsKvCompare, txn->n_compares + 1);
  for (i = 0; i < txn->n_compares; i++)
    {
      call->compares[i].key = talloc_strdup (call, txn->compares[i].key);
      call->compares[i].target = HS_KV_TARGET_MOD;
      call->compares[i].result = HS_KV_EQUAL;
      call->compares[i].value = txn->compares[i].mod_revision;
    }
  call->n_ops[0] = txn->n_failure;
  call->ops[0] = copy_ops (call, txn->n_failure, txn->failure);
  call->n_ops[1] = txn->n_success;
  call->ops[1] = copy_ops (call, txn->n_success, txn->success);
  call_send (call);
}

void
hs_store_lease_grant (HsStore *store,
                      int64_t ttl_s,
                      HsStoreReplyFunc done,
                      void *arg)
{
  StoreCall *call = call_new (store, CALL_GRANT, done, arg);

  call->ttl_s = ttl_s;
  call_send (call);
}

void
hs_store_lease_keepalive (HsStore *store,
                          int64_t lease,
                          HsStoreReplyFunc done,
                          void *arg)
{
  StoreCall *call = call_new (store, CALL_KEEPALIVE, done, arg);

  call->step = STEP_RENEWAL;
  call->lease = lease;
  call_send (call);
}

void
hs_store_lease_revoke (HsStore *store,
                       int64_t lease,
                       HsStoreReplyFunc done,
                       void *arg)
{
  StoreCall *call = call_new (store, CALL_REVOKE, done, arg);

  call->lease = lease;
  call_send (call);
}

const HsStoreStats *
hs_store_stats (const HsStore *store)
{
  return &store->stats;
}

static int
store_destructor (HsStore *store)
{
  store_end_watches (store);
  g_ptr_array_unref (store->watches);
  store->proc->store = NULL;
  return 0;
}

static StoreCall *
call_new (HsStore *store, CallKind kind, HsStoreReplyFunc done, void *arg)
{
  StoreCall *call = talloc_zero (sim_memory (), StoreCall);

  call->proc = store->proc;
  call->incarnation = store->proc->incarnation;
  call->kind = kind;
  call->step = STEP_COUNT;
  call->done = done;
  call->arg = arg;
  return call;
}

/* The request's arrival isn't tied to the process: a request may run although
   its caller has died or abandoned it. */
static void
call_send (StoreCall *call)
{
  Proc *proc = call->proc;
  HsTime now = sim_now ();
  HsTime at = now + STORE_DELAY + sim_random_time (0, HS_MSEC);

  if (!proc_is_running (proc))
    return;
  if (call->step != STEP_COUNT && !fault_before (call->step, proc, NULL, NULL))
    return;
  if (store_faults.down_until > now && !store_faults.hangs)
    {
      sim_schedule (now + NET_DELAY, proc, on_refused, call, false);
      return;
    }
  call->timeout
      = sim_schedule (now + CALL_TIMEOUT, proc, on_timeout, call, false);
  if (store_faults.slow_until > now)
    at += sim_random_time (HS_SEC / 2, 2 * HS_SEC);
  if (store_faults.delay_writes_until > now && call->kind == CALL_TXN)
    at += sim_random_time (2 * HS_SEC, 6 * HS_SEC);
  if (store_faults.down_until <= now && store_faults.drop_requests_until <= now)
    sim_schedule (at, NULL, on_arrival, call, false);
  if (store_faults.duplicate_until > now && call->kind == CALL_TXN)
    sim_schedule (at + sim_random_time (0, 2 * HS_SEC), NULL, on_arrival, call,
                  false);
  if (call->step != STEP_COUNT)
    fault_after (call->step, proc, NULL, NULL);
}

static void
on_refused (void *arg)
{
  end_call (arg, HS_STORE_NOT_APPLIED);
}

static void
on_timeout (void *arg)
{
  StoreCall *call = arg;

  call->timeout = NULL;
  end_call (call, HS_STORE_UNKNOWN);
}

static void
on_arrival (void *arg)
{
  StoreCall *call = arg;
  HsTime now = sim_now ();

  if (store_faults.down_until > now)
    return;
  hs_kv_expire_leases (world.kv, now);
  store_run (call);
  operators_record_revisions ();
  store_poll_all ();
  if (call->ended || call->incarnation != call->proc->incarnation
      || (store_faults.lose_answers_until > now && call->kind != CALL_RANGE))
    return;
  sim_schedule (now + STORE_DELAY, call->proc, on_reply, call, false);
}

static void
on_reply (void *arg)
{
  StoreCall *call = arg;

  end_call (call, call->reply.status);
}

static void
end_call (StoreCall *call, HsStoreStatus status)
{
  if (call->ended)
    return;
  call->ended = true;
  if (call->timeout != NULL)
    sim_cancel (call->timeout);
  if (status != HS_STORE_OK)
    memset (&call->reply, 0, sizeof call->reply);
  call->reply.status = status;
  call->done (call->arg, &call->reply);
}

static HsKvOp *
copy_ops (StoreCall *call, size_t n, const HsStoreOp *ops)
{
  HsKvOp *copies = talloc_zero_array (call, HsKvOp, n + 1);
  size_t i;

  for (i = 0; i < n; i++)
    {
      copies[i].range.key = talloc_strdup (call, ops[i].key);
      copies[i].lease = ops[i].lease;
      switch (ops[i].kind)
        {
        case HS_STORE_PUT:
          copies[i].kind = HS_KV_PUT;
          copies[i].value = talloc_strdup (call, ops[i].value);
          copies[i].value_len = strlen (ops[i].value);
          break;
        case HS_STORE_DELETE:
          copies[i].kind = HS_KV_DELETE;
          break;
        case HS_STORE_RANGE:
          copies[i].kind = HS_KV_RANGE;
          break;
        }
    }
  return copies;
}

static Step
step_of_txn (const HsStoreTxn *txn)
{
  const char *key = txn->n_success > 0 ? txn->success[0].key : "";

  if (g_str_has_prefix (key, "hs/claim/"))
    return STEP_CLAIM;
  if (g_str_has_prefix (key, "hs/plan/")
      || g_str_has_prefix (key, "hs/allowance/"))
    return STEP_EDIT;
  if (!g_str_has_prefix (key, "hs/part/"))
    return STEP_COUNT;
  return g_str_has_prefix (txn->compares[0].key, "hs/part/") ? STEP_HANDOVER
                                                             : STEP_TAKEOVER;
}

static void
on_lease_check (void *arg)
{
  int64_t before = hs_kv_revision (world.kv);

  (void) arg;
  hs_kv_expire_leases (world.kv, sim_now ());
  if (hs_kv_revision (world.kv) != before)
    store_poll_all ();
  sim_schedule (sim_now () + LEASE_CHECK_PERIOD, NULL, on_lease_check, NULL,
                false);
}
