#include <string.h>

#include "store/claim_log_private.h"

/* Partitions in one write, and operations in it before deletions are left
   out; below the store's bound, with room for each partition's put. */
#define WRITE_PARTS_MAX 32u
#define WRITE_DELETES_MAX (HS_STORE_TXN_MAX - WRITE_PARTS_MAX)

/* The most bytes of values in one write, unless one value is larger. */
#define WRITE_BYTES_MAX ((size_t) 512 * 1024)

static void
fill_batch (HsClaimPart *part, const HsNow *now)
{
  HsClaimRecord *records
      = g_new0 (HsClaimRecord, MAX (part->waiting.length, 1));
  size_t bytes = 0;
  size_t n = 0;
  char *text;
  HsClaim *claim;

  while ((claim = g_queue_peek_head (&part->waiting)) != NULL
         && (n == 0 || bytes + claim->size <= HS_CLAIM_VALUE_MAX))
    {
      g_queue_push_tail (&part->batch, g_queue_pop_head (&part->waiting));
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
count_old_keys (const HsClaimLog *log, const HsClaimPart *part, int64_t wall_ms)
{
  int64_t limit_ms = wall_ms - log->limits.retention / HS_MSEC;
  GList *link;
  size_t n = 0;

  for (link = part->keys.head; link != NULL; link = link->next)
    {
      if (((HsClaimKey *) link->data)->wall_ms >= limit_ms)
        break;
      n++;
    }
  return n;
}

static void
push_compare (HsStoreTxn *write, const char *key, int64_t mod_revision)
{
  HsStoreCompare *compares = (HsStoreCompare *) write->compares;
  HsStoreOp *failure = (HsStoreOp *) write->failure;

  compares[write->n_compares].key = key;
  compares[write->n_compares].mod_revision = mod_revision;
  write->n_compares++;
  failure[write->n_failure].kind = HS_STORE_RANGE;
  failure[write->n_failure].key = key;
  write->n_failure++;
}

static void
push_op (HsStoreTxn *write,
         HsStoreOpKind kind,
         const char *key,
         const char *value)
{
  HsStoreOp *op = (HsStoreOp *) &write->success[write->n_success];

  op->kind = kind;
  op->key = key;
  op->value = value;
  write->n_success++;
}

/* Adds the batch of a part, if it has one, and deletions of its old keys. */
static void
add_to_write (HsClaimLog *log, HsClaimPart *part, int64_t wall_ms)
{
  HsStoreTxn *write = log->write;
  GList *link = part->keys.head;
  size_t n_old = count_old_keys (log, part, wall_ms);

  push_compare (write, talloc_strdup (write, part->owner_key), part->revision);
  part->claim_key = NULL;
  if (part->batch_text != NULL)
    {
      part->claim_key = hs_claim_key (write, part->part, part->next_number);
      push_compare (write, part->claim_key, 0);
      push_op (write, HS_STORE_PUT, part->claim_key,
               talloc_strdup (write, part->batch_text));
      log->write_bytes += strlen (part->batch_text);
    }
  part->n_deletes = 0;
  for (; part->n_deletes < n_old && write->n_success < WRITE_DELETES_MAX;
       link = link->next)
    {
      push_op (
          write, HS_STORE_DELETE,
          hs_claim_key (write, part->part, ((HsClaimKey *) link->data)->number),
          NULL);
      part->n_deletes++;
    }
  g_ptr_array_add (log->in_write, part);
}

static void
new_write (HsClaimLog *log)
{
  HsStoreTxn *write = talloc_zero (log, HsStoreTxn);

  write->compares
      = talloc_zero_array (write, HsStoreCompare, 2 * WRITE_PARTS_MAX);
  write->success = talloc_zero_array (write, HsStoreOp, HS_STORE_TXN_MAX);
  write->failure = talloc_zero_array (write, HsStoreOp, 2 * WRITE_PARTS_MAX);
  log->write = write;
  log->write_bytes = 0;
}

static bool
write_is_full (const HsClaimLog *log)
{
  return log->in_write->len == WRITE_PARTS_MAX
         || log->write_bytes + HS_CLAIM_VALUE_MAX > WRITE_BYTES_MAX;
}

static bool
has_overdue_key (const HsClaimLog *log,
                 const HsClaimPart *part,
                 int64_t wall_ms)
{
  return count_old_keys (log, part,
                         wall_ms - HS_CLAIM_DELETE_SLACK / HS_MSEC + 1)
         > 0;
}

/* Takes parts in turn; those whose turn has come go to the end. */
void
hs_claim_log_build_write (HsClaimLog *log, const HsNow *now)
{
  unsigned int left = log->order.length;

  new_write (log);
  while (left-- > 0 && !write_is_full (log))
    {
      HsClaimPart *part = g_queue_pop_head (&log->order);

      g_queue_push_tail (&log->order, part);
      if (part->batch_text == NULL && part->waiting.length > 0)
        fill_batch (part, now);
      if (part->batch_text != NULL)
        add_to_write (log, part, now->wall_ms);
      else if (has_overdue_key (log, part, now->wall_ms))
        add_to_write (log, part, now->wall_ms);
    }
  if (log->in_write->len == 0)
    TALLOC_FREE (log->write);
}

static void
settle_batch (HsClaimLog *log, HsClaimPart *part)
{
  hs_claim_log_end (log, &part->batch, HS_CLAIM_HELD);
  hs_claim_part_clear_batch (part);
  hs_claim_part_push_key (part, part->next_number, part->batch_wall_ms);
  part->next_number++;
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

/* A compare failed, and nothing was written by this attempt. Returns whether
   it was this part's. */
static bool
judge_failure (HsClaimLog *log, HsClaimPart *part, const HsStoreReply *reply)
{
  const HsStoreKv *owner = find_kv (reply, part->owner_key);
  const HsStoreKv *claim;

  if (owner == NULL || owner->mod_revision != part->revision)
    {
      hs_claim_log_drop_part (log, part);
      return true;
    }
  if (part->claim_key == NULL)
    return false;
  claim = find_kv (reply, part->claim_key);
  if (claim == NULL)
    return false;
  if (part->batch_text != NULL && strcmp (claim->value, part->batch_text) == 0)
    {
      settle_batch (log, part);
      return true;
    }
  /* An earlier text of this owner's, whose answer was lost. */
  hs_claim_part_push_key (part, part->next_number, part->batch_wall_ms);
  part->next_number++;
  return true;
}

/* Judges the answer for one part; false if it has to be asked again. */
bool
hs_claim_log_settle_part (HsClaimLog *log,
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
    return judge_failure (log, part, reply);
  for (; part->n_deletes > 0; part->n_deletes--)
    g_free (g_queue_pop_head (&part->keys));
  if (part->claim_key != NULL)
    settle_batch (log, part);
  return true;
}
