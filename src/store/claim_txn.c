#include <string.h>

#include "store/claim_log_private.h"

/* Maximum number of partitions in a transaction, and number of operations after
   which no more deletions are added. The latter leaves room below the store's
   limit for a put of each partition. */
#define TXN_PARTS_MAX 32u
#define TXN_DELETES_MAX (HS_STORE_TXN_MAX_OPS - TXN_PARTS_MAX)

/* Maximum size of the values in a transaction, unless one value is larger. */
#define TXN_BYTES_MAX ((size_t) 512 * 1024)

static void
fill_batch (HsClaimPart *part, const HsNow *now)
{
  HsClaimRecord *records
      = g_new0 (HsClaimRecord, MAX (part->pending.length, 1));
  size_t bytes = 0;
  size_t n = 0;
  char *text;
  HsClaim *claim;

  while ((claim = g_queue_peek_head (&part->pending)) != NULL
         && (n == 0 || bytes + claim->size <= HS_CLAIM_VALUE_MAX_BYTES))
    {
      g_queue_push_tail (&part->batch, g_queue_pop_head (&part->pending));
      bytes += claim->size;
      records[n].customer = claim->customer;
      records[n].id = claim->id;
      records[n].digest = claim->digest;
      n++;
    }
  text = hs_claim_encode (NULL, part->revision, now->wall_ms, records, n);
  part->batch_text = g_strdup (text);
  part->batch_wall_ms = now->wall_ms;
  talloc_free (text);
  g_free (records);
}

static size_t
count_expired_keys (const HsClaimLog *log,
                    const HsClaimPart *part,
                    int64_t wall_ms)
{
  int64_t oldest_ms = wall_ms - log->limits.retention / HS_MSEC;
  GList *link;
  size_t n = 0;

  for (link = part->keys.head; link != NULL; link = link->next)
    {
      if (((HsClaimKey *) link->data)->wall_ms >= oldest_ms)
        break;
      n++;
    }
  return n;
}

static void
add_compare (HsStoreTxn *txn, const char *key, int64_t mod_revision)
{
  HsStoreCompare *compares = (HsStoreCompare *) txn->compares;
  HsStoreOp *failure = (HsStoreOp *) txn->failure;

  compares[txn->n_compares].key = key;
  compares[txn->n_compares].mod_revision = mod_revision;
  txn->n_compares++;
  failure[txn->n_failure].kind = HS_STORE_RANGE;
  failure[txn->n_failure].key = key;
  txn->n_failure++;
}

static void
add_op (HsStoreTxn *txn, HsStoreOpKind kind, const char *key, const char *value)
{
  HsStoreOp *op = (HsStoreOp *) &txn->success[txn->n_success];

  op->kind = kind;
  op->key = key;
  op->value = value;
  txn->n_success++;
}

/* Adds the batch of a partition, if any, and deletions of its expired keys. */
static void
add_part_to_txn (HsClaimLog *log, HsClaimPart *part, int64_t wall_ms)
{
  HsStoreTxn *txn = log->txn;
  GList *link = part->keys.head;
  size_t n_expired = count_expired_keys (log, part, wall_ms);

  add_compare (txn, talloc_strdup (txn, part->owner_key), part->revision);
  part->claim_store_key = NULL;
  if (part->batch_text != NULL)
    {
      part->claim_store_key
          = hs_claim_key (txn, part->part, part->next_key_number);
      add_compare (txn, part->claim_store_key, 0);
      add_op (txn, HS_STORE_PUT, part->claim_store_key,
              talloc_strdup (txn, part->batch_text));
      log->txn_bytes += strlen (part->batch_text);
    }
  part->n_deletes = 0;
  for (; part->n_deletes < n_expired && txn->n_success < TXN_DELETES_MAX;
       link = link->next)
    {
      add_op (
          txn, HS_STORE_DELETE,
          hs_claim_key (txn, part->part, ((HsClaimKey *) link->data)->number),
          NULL);
      part->n_deletes++;
    }
  g_ptr_array_add (log->parts_in_txn, part);
}

static void
new_txn (HsClaimLog *log)
{
  HsStoreTxn *txn = talloc_zero (log, HsStoreTxn);

  txn->compares = talloc_zero_array (txn, HsStoreCompare, 2 * TXN_PARTS_MAX);
  txn->success = talloc_zero_array (txn, HsStoreOp, HS_STORE_TXN_MAX_OPS);
  txn->failure = talloc_zero_array (txn, HsStoreOp, 2 * TXN_PARTS_MAX);
  log->txn = txn;
  log->txn_bytes = 0;
}

static bool
txn_is_full (const HsClaimLog *log)
{
  return log->parts_in_txn->len == TXN_PARTS_MAX
         || log->txn_bytes + HS_CLAIM_VALUE_MAX_BYTES > TXN_BYTES_MAX;
}

static bool
has_overdue_key (const HsClaimLog *log,
                 const HsClaimPart *part,
                 int64_t wall_ms)
{
  return count_expired_keys (log, part,
                             wall_ms - HS_CLAIM_DELETE_DELAY / HS_MSEC + 1)
         > 0;
}

/* Goes through the partitions round robin. */
void
hs_claim_log_build_txn (HsClaimLog *log, const HsNow *now)
{
  unsigned int left = log->part_queue.length;

  new_txn (log);
  while (left-- > 0 && !txn_is_full (log))
    {
      HsClaimPart *part = g_queue_pop_head (&log->part_queue);

      g_queue_push_tail (&log->part_queue, part);
      if (part->batch_text == NULL && part->pending.length > 0)
        fill_batch (part, now);
      if (part->batch_text != NULL)
        add_part_to_txn (log, part, now->wall_ms);
      else if (has_overdue_key (log, part, now->wall_ms))
        add_part_to_txn (log, part, now->wall_ms);
    }
  if (log->parts_in_txn->len == 0)
    TALLOC_FREE (log->txn);
}

static void
commit_batch (HsClaimLog *log, HsClaimPart *part)
{
  hs_claim_log_end_claims (log, &part->batch, HS_CLAIM_COMMITTED);
  hs_claim_part_clear_batch (part);
  hs_claim_part_add_key (part, part->next_key_number, part->batch_wall_ms);
  part->next_key_number++;
}

static const HsStoreKv *
find_kv (const HsStoreReply *reply, const char *key)
{
  size_t i;

  for (i = 0; i < reply->n_kvs; i++)
    if (strcmp (reply->kvs[i].key, key) == 0)
      return &reply->kvs[i];
  return NULL;
}

/* Handles failed compares, when the transaction wrote nothing. Returns whether
   a compare of this partition failed. */
static bool
handle_failed_compares (HsClaimLog *log,
                        HsClaimPart *part,
                        const HsStoreReply *reply)
{
  const HsStoreKv *owner = find_kv (reply, part->owner_key);
  const HsStoreKv *claim;

  if (owner == NULL || owner->mod_revision != part->revision)
    {
      hs_claim_log_remove_part (log, part);
      return true;
    }
  if (part->claim_store_key == NULL)
    return false;
  claim = find_kv (reply, part->claim_store_key);
  if (claim == NULL)
    return false;
  if (part->batch_text != NULL && strcmp (claim->value, part->batch_text) == 0)
    {
      commit_batch (log, part);
      return true;
    }
  /* The key holds another batch, which this owner wrote in an earlier
     transaction whose reply was lost. */
  hs_claim_part_add_key (part, part->next_key_number, part->batch_wall_ms);
  part->next_key_number++;
  return true;
}

bool
hs_claim_log_handle_part_reply (HsClaimLog *log,
                                HsClaimPart *part,
                                const HsStoreReply *reply)
{
  GList *link;

  switch (reply->status)
    {
    case HS_STORE_NOT_APPLIED:
      return false;
    case HS_STORE_UNKNOWN:
      for (link = part->batch.head; link != NULL; link = link->next)
        ((HsClaim *) link->data)->maybe_written = true;
      return false;
    case HS_STORE_OK:
      break;
    }
  if (!reply->succeeded)
    return handle_failed_compares (log, part, reply);
  for (; part->n_deletes > 0; part->n_deletes--)
    g_free (g_queue_pop_head (&part->keys));
  if (part->claim_store_key != NULL)
    commit_batch (log, part);
  return true;
}
