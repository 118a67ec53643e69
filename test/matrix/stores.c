/* The platform's store: the client's interface on the state machine of the
   stand-in, in place of store/store.c and store/watch.c. */

#include <string.h>

#include "mutants.h"
#include "operators.h"
#include "world.h"

/** One way between an entry and the store, with a synced write. */
#define STORE_DELAY (2 * HS_MSEC)
/** Bound on a call, as the entry sets it. */
#define CALL_TIMEOUT (2 * HS_SEC)
/** Pause before a cut watch is dialled again. */
#define REDIAL_PAUSE (300 * HS_MSEC)
#define MUTANT_LEASE_FACTOR 10
/** Leases that lapsed are looked for this often. */
#define CLOCK_PERIOD (50 * HS_MSEC)
/** How many revisions a stale replica is behind. */
#define STALE_REVISIONS 6

struct HsStore
{
  Proc *proc;
  GPtrArray *watches;
  HsStoreStats stats;
};

typedef enum
{
  CALL_RANGE,
  CALL_TXN,
  CALL_GRANT,
  CALL_KEEPALIVE,
  CALL_REVOKE
} CallKind;

typedef struct
{
  Proc *proc;
  uint32_t life; /* Of the process that calls. */
  CallKind kind;
  Step step;
  char *prefix;
  int64_t limit;
  int64_t lease;
  int64_t ttl_s;
  size_t n_compares;
  HsKvCompare *compares;
  size_t n_ops[2]; /* Failure, success. */
  HsKvOp *ops[2];
  HsStoreDone done;
  void *arg;
  bool ended;
  SimEvent *timeout;
  HsStoreReply reply;
} Call;

struct HsStoreWatch
{
  HsStore *store;
  char *prefix;
  char *end;
  int64_t next_revision;
  HsWatchFunc func;
  void *arg;
  SimEvent *poll;
  bool cut;
};

StoreMood store_mood;

static int store_destructor (HsStore *store);
static Call *
call_new (HsStore *store, CallKind kind, HsStoreDone done, void *arg);
static void call_send (Call *call);
static void on_refused (void *arg);
static void on_timeout (void *arg);
static void on_arrival (void *arg);
static void run (Call *call);
static void run_range (Call *call);
static void run_txn (Call *call);
static void take_kvs (Call *call, const HsKvOpResult *result);
static void raise_limit (char *json);
static void on_reply (void *arg);
static void end_call (Call *call, HsStoreStatus status);
static HsKvOp *copy_ops (Call *call, size_t n, const HsStoreOp *ops);
static char *prefix_end (TALLOC_CTX *ctx, const char *prefix);
static Step step_of_txn (const HsStoreTxn *txn);
static int watch_destructor (HsStoreWatch *watch);
static void on_poll (void *arg);
static void on_clock (void *arg);
static void tell_events (HsStoreWatch *watch, const GPtrArray *events);
static void poll_all (void);

void
store_begin (void)
{
  memset (&store_mood, 0, sizeof store_mood);
  world.kv = hs_kv_new (sim_memory ());
  sim_at (CLOCK_PERIOD, NULL, on_clock, NULL, false);
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
                HsStoreDone done,
                void *arg)
{
  Call *call = call_new (store, CALL_RANGE, done, arg);

  call->prefix = talloc_strdup (call, prefix);
  call->limit = limit;
  call_send (call);
}

void
hs_store_txn (HsStore *store,
              const HsStoreTxn *txn,
              HsStoreDone done,
              void *arg)
{
  Call *call = call_new (store, CALL_TXN, done, arg);
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
                      HsStoreDone done,
                      void *arg)
{
  Call *call = call_new (store, CALL_GRANT, done, arg);

  call->ttl_s = ttl_s;
  call_send (call);
}

void
hs_store_lease_keepalive (HsStore *store,
                          int64_t lease,
                          HsStoreDone done,
                          void *arg)
{
  Call *call = call_new (store, CALL_KEEPALIVE, done, arg);

  call->step = STEP_RENEWAL;
  call->lease = lease;
  call_send (call);
}

void
hs_store_lease_revoke (HsStore *store,
                       int64_t lease,
                       HsStoreDone done,
                       void *arg)
{
  Call *call = call_new (store, CALL_REVOKE, done, arg);

  call->lease = lease;
  call_send (call);
}

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t start_revision,
                HsWatchFunc func,
                void *arg)
{
  HsStoreWatch *watch = talloc_zero (store, HsStoreWatch);

  watch->store = store;
  watch->prefix = talloc_strdup (watch, prefix);
  watch->end = prefix_end (watch, prefix);
  watch->next_revision = start_revision;
  watch->func = func;
  watch->arg = arg;
  g_ptr_array_add (store->watches, watch);
  talloc_set_destructor (watch, watch_destructor);
  watch->poll
      = sim_at (sim_now () + STORE_DELAY, store->proc, on_poll, watch, false);
  return watch;
}

const HsStoreStats *
hs_store_stats (const HsStore *store)
{
  return &store->stats;
}

static int
store_destructor (HsStore *store)
{
  guint i;

  for (i = 0; i < store->watches->len; i++)
    {
      HsStoreWatch *watch = store->watches->pdata[i];

      talloc_set_destructor (watch, NULL);
      if (watch->poll != NULL)
        sim_cancel (watch->poll);
    }
  g_ptr_array_unref (store->watches);
  store->proc->store = NULL;
  return 0;
}

static Call *
call_new (HsStore *store, CallKind kind, HsStoreDone done, void *arg)
{
  Call *call = talloc_zero (sim_memory (), Call);

  call->proc = store->proc;
  call->life = store->proc->life;
  call->kind = kind;
  call->step = STEP_COUNT;
  call->done = done;
  call->arg = arg;
  return call;
}

/* A request may run although its caller has died or given it up. */
static void
call_send (Call *call)
{
  Proc *proc = call->proc;
  HsTime now = sim_now ();
  HsTime at = now + STORE_DELAY + sim_between (0, HS_MSEC);

  if (!proc_acts (proc))
    return;
  if (call->step != STEP_COUNT && !fault_before (call->step, proc, NULL, NULL))
    return;
  if (store_mood.down_until > now && !store_mood.silent)
    {
      sim_at (now + NET_DELAY, proc, on_refused, call, false);
      return;
    }
  call->timeout = sim_at (now + CALL_TIMEOUT, proc, on_timeout, call, false);
  if (store_mood.slow_until > now)
    at += sim_between (HS_SEC / 2, 2 * HS_SEC);
  if (store_mood.late_until > now && call->kind == CALL_TXN)
    at += sim_between (2 * HS_SEC, 6 * HS_SEC);
  if (store_mood.down_until <= now && store_mood.drop_until <= now)
    sim_at (at, NULL, on_arrival, call, false);
  if (store_mood.twice_until > now && call->kind == CALL_TXN)
    sim_at (at + sim_between (0, 2 * HS_SEC), NULL, on_arrival, call, false);
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
  Call *call = arg;

  call->timeout = NULL;
  end_call (call, HS_STORE_UNKNOWN);
}

static void
on_arrival (void *arg)
{
  Call *call = arg;
  HsTime now = sim_now ();

  if (store_mood.down_until > now)
    return;
  hs_kv_advance (world.kv, now);
  run (call);
  operators_observe ();
  poll_all ();
  if (call->ended || call->life != call->proc->life
      || (store_mood.lose_until > now && call->kind != CALL_RANGE))
    return;
  sim_at (now + STORE_DELAY, call->proc, on_reply, call, false);
}

static void
run (Call *call)
{
  memset (&call->reply, 0, sizeof call->reply);
  call->reply.lease = call->lease;
  switch (call->kind)
    {
    case CALL_RANGE:
      run_range (call);
      break;
    case CALL_TXN:
      run_txn (call);
      break;
    case CALL_GRANT:
      call->reply.ttl_s = call->ttl_s;
      call->reply.lease
          = hs_kv_lease_grant (world.kv, 0, call->ttl_s, sim_now ());
      break;
    case CALL_KEEPALIVE:
      call->reply.ttl_s
          = hs_kv_lease_keepalive (world.kv, call->lease, sim_now ());
      if (mutant_is (MUTANT_LEASE))
        call->reply.ttl_s *= MUTANT_LEASE_FACTOR;
      break;
    case CALL_REVOKE:
      hs_kv_lease_revoke (world.kv, call->lease);
      break;
    }
  if (call->reply.revision == 0)
    call->reply.revision = hs_kv_revision (world.kv);
}

static void
run_range (Call *call)
{
  HsKvSpan span = { call->prefix, prefix_end (call, call->prefix) };
  int64_t present = hs_kv_revision (world.kv);
  int64_t revision = 0;
  HsKvOpResult result = { 0 };

  if (store_mood.stale_until > sim_now ())
    revision = MAX (hs_kv_compact_revision (world.kv),
                    MAX (1, present - STALE_REVISIONS));
  hs_kv_range (world.kv, &span, revision, call->limit, &result);
  call->reply.revision = revision != 0 ? revision : present;
  call->reply.more = result.more;
  take_kvs (call, &result);
}

static void
run_txn (Call *call)
{
  bool held = mutant_is (MUTANT_COMPARE)
              || hs_kv_compare_all (world.kv, call->compares, call->n_compares);
  size_t n = call->n_ops[held];
  HsKvOpResult *results = talloc_zero_array (call, HsKvOpResult, n + 1);
  HsKvStatus status;
  size_t i;

  if (mutant_is (MUTANT_CLAIM) && call->step == STEP_CLAIM)
    {
      call->reply.succeeded = true;
      return;
    }
  status = hs_kv_apply (world.kv, call->ops[held], n, results);

  if (status != HS_KV_OK)
    {
      call->reply.status = HS_STORE_NOT_APPLIED;
      return;
    }
  call->reply.succeeded = held;
  for (i = 0; i < n; i++)
    if (call->ops[held][i].kind == HS_KV_RANGE)
      take_kvs (call, &results[i]);
  sim_trace ("store: txn %s at revision %" G_GINT64_FORMAT " (%s)",
             held ? "done" : "refused", hs_kv_revision (world.kv),
             n > 0 ? call->ops[held][0].span.key : "");
}

static void
take_kvs (Call *call, const HsKvOpResult *result)
{
  size_t n = call->reply.n_kvs;
  HsStoreKv *kvs
      = talloc_realloc (call, (HsStoreKv *) (uintptr_t) call->reply.kvs,
                        HsStoreKv, n + result->records->len + 1);
  guint i;

  for (i = 0; i < result->records->len; i++)
    {
      const HsKvRecord *record = result->records->pdata[i];

      kvs[n + i] = (HsStoreKv){ talloc_strdup (call, record->key),
                                talloc_strndup (call, record->value,
                                                record->value_len),
                                record->value_len,
                                record->create_revision,
                                record->mod_revision,
                                record->lease };
    }
  if (mutant_is (MUTANT_LIMITS))
    for (i = 0; i < result->records->len; i++)
      raise_limit ((char *) (uintptr_t) kvs[n + i].value);
  call->reply.kvs = kvs;
  call->reply.n_kvs = n + result->records->len;
  g_ptr_array_unref (result->records);
}

static void
raise_limit (char *json)
{
  char *number = strstr (json, "\"in_flight\":");

  if (number != NULL)
    number[strcspn (number, "0123456789")] = '9';
}

static void
on_reply (void *arg)
{
  Call *call = arg;

  end_call (call, call->reply.status);
}

static void
end_call (Call *call, HsStoreStatus status)
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
copy_ops (Call *call, size_t n, const HsStoreOp *ops)
{
  HsKvOp *copies = talloc_zero_array (call, HsKvOp, n + 1);
  size_t i;

  for (i = 0; i < n; i++)
    {
      copies[i].span.key = talloc_strdup (call, ops[i].key);
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

static char *
prefix_end (TALLOC_CTX *ctx, const char *prefix)
{
  char *end = talloc_strdup (ctx, prefix);

  end[strlen (end) - 1]++;
  return end;
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

static int
watch_destructor (HsStoreWatch *watch)
{
  if (watch->poll != NULL)
    sim_cancel (watch->poll);
  g_ptr_array_remove_fast (watch->store->watches, watch);
  return 0;
}

/* Every watch looks a little later at what the change has left. */
static void
poll_all (void)
{
  uint32_t i;
  guint w;

  for (i = 0; i < WORLD_ENTRIES; i++)
    {
      HsStore *store = world_entry (i)->store;

      for (w = 0; store != NULL && w < store->watches->len; w++)
        {
          HsStoreWatch *watch = store->watches->pdata[w];

          if (watch->poll == NULL)
            watch->poll = sim_at (sim_now () + STORE_DELAY, store->proc,
                                  on_poll, watch, false);
        }
    }
}

static void
on_clock (void *arg)
{
  int64_t before = hs_kv_revision (world.kv);

  (void) arg;
  hs_kv_advance (world.kv, sim_now ());
  if (hs_kv_revision (world.kv) != before)
    poll_all ();
  sim_at (sim_now () + CLOCK_PERIOD, NULL, on_clock, NULL, false);
}

static void
on_poll (void *arg)
{
  HsStoreWatch *watch = arg;
  Proc *proc = watch->store->proc;
  HsTime now = sim_now ();
  HsKvSpan span = { watch->prefix, watch->end };
  HsWatchNote note = { .kind = HS_WATCH_CUT };
  g_autoptr (GPtrArray) events = g_ptr_array_new ();

  watch->poll = NULL;
  if (store_mood.cut_until > now || store_mood.down_until > now)
    {
      watch->poll = sim_at (now + REDIAL_PAUSE, proc, on_poll, watch, false);
      if (watch->cut)
        return;
      watch->cut = true;
      watch->func (watch->arg, &note);
      return;
    }
  watch->cut = false;
  if (watch->next_revision > hs_kv_revision (world.kv))
    return;
  note.revision = hs_kv_revision (world.kv);
  note.kind = HS_WATCH_COMPACTED;
  if (hs_kv_history (world.kv, &span, watch->next_revision, events)
      == HS_KV_COMPACTED)
    watch->func (watch->arg, &note);
  else if (events->len > 0)
    tell_events (watch, events);
}

static void
tell_events (HsStoreWatch *watch, const GPtrArray *events)
{
  Proc *proc = watch->store->proc;
  uint32_t life = proc->life;
  HsStoreEvent *told;
  HsWatchNote note = { .kind = HS_WATCH_EVENTS, .n_events = events->len };
  guint i;

  if (!fault_before (STEP_WATCH, proc, NULL, NULL))
    return;
  if (store_mood.cut_until > sim_now ())
    {
      watch->poll = sim_at (sim_now (), proc, on_poll, watch, false);
      return;
    }
  told = talloc_zero_array (NULL, HsStoreEvent, events->len);
  for (i = 0; i < events->len; i++)
    {
      const HsKvEvent *event = events->pdata[i];
      const HsKvRecord *record
          = event->now != NULL ? event->now : event->before;
      HsStoreKv *kv = &told[i].kv;

      told[i].deleted = event->now == NULL;
      kv->key = talloc_strdup (told, record->key);
      kv->value = talloc_strndup (told, record->value, record->value_len);
      kv->value_len = record->value_len;
      kv->create_revision = record->create_revision;
      kv->mod_revision = event->revision;
      kv->lease = record->lease;
      note.revision = event->revision;
    }
  note.events = told;
  watch->next_revision = note.revision + 1;
  if (!mutant_is (MUTANT_STALE)
      || !g_str_has_prefix (watch->prefix, "hs/allowance/"))
    watch->func (watch->arg, &note);
  talloc_free (told);
  if (proc->life == life)
    fault_after (STEP_WATCH, proc, NULL, NULL);
}
