/* Runs store calls on the stand-in's state machine. */

#include <string.h>

#include "mutants.h"
#include "stores_private.h"

#define MUTANT_LEASE_FACTOR 10
/** Revisions by which a stale replica is behind. */
#define STALE_REVISIONS 6

static void run_range (StoreCall *call);
static void run_txn (StoreCall *call);
static void append_kvs (StoreCall *call, const HsKvOpResult *result);
static void raise_limit (char *json);

void
store_run (StoreCall *call)
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
      if (mutant_is_active (MUTANT_LEASE))
        call->reply.ttl_s *= MUTANT_LEASE_FACTOR;
      break;
    case CALL_REVOKE:
      hs_kv_lease_revoke (world.kv, call->lease);
      break;
    }
  if (call->reply.revision == 0)
    call->reply.revision = hs_kv_revision (world.kv);
}

char *
store_prefix_end (TALLOC_CTX *ctx, const char *prefix)
{
  char *end = talloc_strdup (ctx, prefix);

  end[strlen (end) - 1]++;
  return end;
}

static void
run_range (StoreCall *call)
{
  HsKvRange span = { call->prefix, store_prefix_end (call, call->prefix) };
  int64_t present = hs_kv_revision (world.kv);
  int64_t revision = 0;
  HsKvOpResult result = { 0 };

  if (store_faults.stale_until > sim_now ())
    revision = MAX (hs_kv_compact_revision (world.kv),
                    MAX (1, present - STALE_REVISIONS));
  hs_kv_range (world.kv, &span, revision, call->limit, &result);
  call->reply.revision = revision != 0 ? revision : present;
  call->reply.more = result.more;
  append_kvs (call, &result);
}

static void
run_txn (StoreCall *call)
{
  bool matched
      = mutant_is_active (MUTANT_COMPARE)
        || hs_kv_compare_all (world.kv, call->compares, call->n_compares);
  size_t n = call->n_ops[matched];
  HsKvOpResult *results = talloc_zero_array (call, HsKvOpResult, n + 1);
  HsKvStatus status;
  size_t i;

  if (mutant_is_active (MUTANT_CLAIM) && call->step == STEP_CLAIM)
    {
      call->reply.succeeded = true;
      return;
    }
  status = hs_kv_apply (world.kv, call->ops[matched], n, results);

  if (status != HS_KV_OK)
    {
      call->reply.status = HS_STORE_NOT_APPLIED;
      return;
    }
  call->reply.succeeded = matched;
  for (i = 0; i < n; i++)
    if (call->ops[matched][i].kind == HS_KV_RANGE)
      append_kvs (call, &results[i]);
  sim_trace ("store: txn %s, revision %" G_GINT64_FORMAT " (%s)",
             matched ? "succeeded" : "failed", hs_kv_revision (world.kv),
             n > 0 ? call->ops[matched][0].range.key : "");
}

static void
append_kvs (StoreCall *call, const HsKvOpResult *result)
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
  if (mutant_is_active (MUTANT_LIMITS))
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
