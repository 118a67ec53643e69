#include "store/claim_log_private.h"

#include <inttypes.h>
#include <string.h>

/* Transactions that may follow each other without the rate limit's delay after
   an idle period. */
#define BURST_WRITES 4

/* Delay after a transaction without a reply; it doubles each time. */
#define RETRY_DELAY_MIN (50 * HS_MSEC)
#define RETRY_DELAY_MAX (1 * HS_SEC)

/* Size of the JSON around the strings of a claim. */
#define CLAIM_JSON_OVERHEAD_BYTES ((size_t) 48)

static int free_log (HsClaimLog *log);
static void free_claim (HsClaim *claim);
static void free_part (HsClaimPart *part);
static void notify_ended (HsClaimLog *log);
static void expire_claims (HsClaimLog *log, HsTime now);
static void delay_retry (HsClaimLog *log, HsTime now);

HsClaimLog *
hs_claim_log_new (TALLOC_CTX *ctx, const HsClaimLimits *limits)
{
  HsClaimLog *log = talloc_zero (ctx, HsClaimLog);

  g_assert (limits->writes_per_s > 0);
  log->limits = *limits;
  log->parts = g_hash_table_new (g_int_hash, g_int_equal);
  g_queue_init (&log->part_queue);
  g_queue_init (&log->ended);
  log->parts_in_txn = g_ptr_array_new ();
  log->retry_delay = RETRY_DELAY_MIN;
  talloc_set_destructor (log, free_log);
  return log;
}

static HsClaimPart *
find_part (const HsClaimLog *log, uint32_t part)
{
  return g_hash_table_lookup (log->parts, &part);
}

void
hs_claim_log_open_part (HsClaimLog *log,
                        uint32_t part_number,
                        int64_t revision,
                        uint64_t next_key_number)
{
  HsClaimPart *part = find_part (log, part_number);

  if (part != NULL)
    hs_claim_log_remove_part (log, part);
  part = g_new0 (HsClaimPart, 1);
  part->part = part_number;
  part->revision = revision;
  part->next_key_number = next_key_number;
  part->owner_key = g_strdup_printf ("hs/part/%" PRIu32, part_number);
  g_hash_table_insert (log->parts, &part->part, part);
  g_queue_push_tail (&log->part_queue, part);
  notify_ended (log);
}

void
hs_claim_part_add_key (HsClaimPart *part, uint64_t number, int64_t wall_ms)
{
  HsClaimKey *key = g_new0 (HsClaimKey, 1);

  key->number = number;
  key->wall_ms = wall_ms;
  g_queue_push_tail (&part->keys, key);
}

void
hs_claim_log_add_key (HsClaimLog *log,
                      uint32_t part_number,
                      uint64_t key_number,
                      int64_t wall_ms)
{
  HsClaimPart *part = find_part (log, part_number);

  if (part != NULL)
    hs_claim_part_add_key (part, key_number, wall_ms);
}

void
hs_claim_log_close_part (HsClaimLog *log, uint32_t part_number)
{
  HsClaimPart *part = find_part (log, part_number);

  if (part == NULL)
    return;
  hs_claim_log_remove_part (log, part);
  notify_ended (log);
}

void
hs_claim_log_add (HsClaimLog *log,
                  uint32_t part_number,
                  int64_t revision,
                  const char *customer,
                  const char *id,
                  const char *digest,
                  const HsNow *now,
                  HsClaimDoneFunc done,
                  void *arg)
{
  HsClaimPart *part = find_part (log, part_number);
  HsClaim *claim;

  if (part == NULL || part->revision != revision)
    {
      done (arg, part == NULL ? HS_CLAIM_UNAVAILABLE : HS_CLAIM_NOT_OWNER);
      return;
    }
  claim = g_new0 (HsClaim, 1);
  claim->customer = g_strdup (customer);
  claim->id = g_strdup (id);
  claim->digest = g_strdup (digest);
  claim->size = strlen (customer) + strlen (id) + strlen (digest)
                + CLAIM_JSON_OVERHEAD_BYTES;
  claim->deadline = now->mono + log->limits.timeout;
  claim->done = done;
  claim->arg = arg;
  g_queue_push_tail (&part->pending, claim);
}

const HsStoreTxn *
hs_claim_log_next_txn (HsClaimLog *log, const HsNow *now)
{
  HsTime interval = HS_SEC / log->limits.writes_per_s;
  const HsStoreTxn *txn;

  if (log->txn != NULL)
    return NULL;
  expire_claims (log, now->mono);
  if (now->mono >= log->retry_time
      && log->rate_limit_time <= now->mono + (BURST_WRITES - 1) * interval)
    hs_claim_log_build_txn (log, now);
  txn = log->txn;
  if (txn != NULL)
    log->rate_limit_time = MAX (log->rate_limit_time, now->mono) + interval;
  /* A callback may call this function itself; a transaction that this builds is
     returned to the callback. */
  notify_ended (log);
  return txn;
}

void
hs_claim_log_handle_reply (HsClaimLog *log,
                           const HsStoreReply *reply,
                           const HsNow *now)
{
  bool any_settled = log->parts_in_txn->len == 0;
  unsigned int i;

  g_assert (log->txn != NULL);
  /* Backwards, because a partition may be removed from the array. */
  for (i = log->parts_in_txn->len; i > 0; i--)
    any_settled = hs_claim_log_handle_part_reply (
                      log, log->parts_in_txn->pdata[i - 1], reply)
                  || any_settled;
  g_ptr_array_set_size (log->parts_in_txn, 0);
  TALLOC_FREE (log->txn);
  if (any_settled)
    log->retry_delay = RETRY_DELAY_MIN;
  else
    delay_retry (log, now->mono);
  notify_ended (log);
}

/* Returns when a partition next needs a transaction, rate limit aside. */
static HsTime
part_wakeup (const HsClaimLog *log, const HsClaimPart *part, const HsNow *now)
{
  const HsClaimKey *key = g_queue_peek_head ((GQueue *) &part->keys);
  int64_t left_ms;

  if (part->pending.length > 0 || part->batch.length > 0)
    return now->mono;
  if (key == NULL)
    return HS_NEVER;
  left_ms = key->wall_ms
            + (log->limits.retention + HS_CLAIM_DELETE_DELAY) / HS_MSEC
            - now->wall_ms;
  return now->mono + MAX (left_ms, 0) * HS_MSEC;
}

static HsTime
first_deadline (const HsClaimPart *part)
{
  const HsClaim *claim = g_queue_peek_head ((GQueue *) &part->batch);

  if (claim == NULL)
    claim = g_queue_peek_head ((GQueue *) &part->pending);
  return claim == NULL ? HS_NEVER : claim->deadline;
}

HsTime
hs_claim_log_next_wakeup (const HsClaimLog *log, const HsNow *now)
{
  HsTime interval = HS_SEC / log->limits.writes_per_s;
  HsTime write_time = HS_NEVER;
  HsTime deadline = HS_NEVER;
  GList *link;

  if (log->txn != NULL)
    return HS_NEVER;
  for (link = log->part_queue.head; link != NULL; link = link->next)
    {
      write_time = MIN (write_time, part_wakeup (log, link->data, now));
      deadline = MIN (deadline, first_deadline (link->data));
    }
  if (write_time == HS_NEVER)
    return HS_NEVER;
  write_time = MAX (write_time, log->retry_time);
  write_time
      = MAX (write_time, log->rate_limit_time - (BURST_WRITES - 1) * interval);
  return MIN (write_time, deadline);
}

size_t
hs_claim_log_n_pending (const HsClaimLog *log, uint32_t part_number)
{
  const HsClaimPart *part = find_part (log, part_number);

  return part == NULL ? 0 : part->pending.length + part->batch.length;
}

static int
free_log (HsClaimLog *log)
{
  g_assert (!log->notifying);
  while (log->part_queue.head != NULL)
    hs_claim_log_remove_part (log, log->part_queue.head->data);
  g_queue_clear_full (&log->ended, (GDestroyNotify) free_claim);
  g_hash_table_destroy (log->parts);
  g_ptr_array_unref (log->parts_in_txn);
  return 0;
}

static void
free_claim (HsClaim *claim)
{
  g_free (claim->customer);
  g_free (claim->id);
  g_free (claim->digest);
  g_free (claim);
}

static void
free_part (HsClaimPart *part)
{
  hs_claim_part_clear_batch (part);
  g_free (part->owner_key);
  g_queue_clear_full (&part->keys, g_free);
  g_free (part);
}

void
hs_claim_log_end_claims (HsClaimLog *log,
                         GQueue *claims,
                         HsClaimOutcome outcome)
{
  HsClaim *claim;

  while ((claim = g_queue_pop_head (claims)) != NULL)
    {
      claim->outcome = outcome;
      g_queue_push_tail (&log->ended, claim);
    }
}

/* Calls the callbacks of ended claims. It is called last, when the state of the
   log is consistent again, and does not nest. */
static void
notify_ended (HsClaimLog *log)
{
  HsClaim *claim;

  if (log->notifying)
    return;
  log->notifying = true;
  while ((claim = g_queue_pop_head (&log->ended)) != NULL)
    {
      claim->done (claim->arg, claim->outcome);
      free_claim (claim);
    }
  log->notifying = false;
}

/* This entry starts no submission of a removed partition, so that its claims
   end as HS_CLAIM_NOT_OWNER whether or not a sent transaction takes effect. */
void
hs_claim_log_remove_part (HsClaimLog *log, HsClaimPart *part)
{
  hs_claim_log_end_claims (log, &part->batch, HS_CLAIM_NOT_OWNER);
  hs_claim_log_end_claims (log, &part->pending, HS_CLAIM_NOT_OWNER);
  g_hash_table_remove (log->parts, &part->part);
  g_queue_remove (&log->part_queue, part);
  g_ptr_array_remove (log->parts_in_txn, part);
  free_part (part);
}

void
hs_claim_part_clear_batch (HsClaimPart *part)
{
  g_assert (part->batch.length == 0);
  g_clear_pointer (&part->batch_text, g_free);
}

/* Ends the claims whose deadline has passed. The text of their batch changes
   then, but not its key number, so that at most one of the texts is ever
   written. */
static void
expire_part (HsClaimLog *log, HsClaimPart *part, HsTime now)
{
  HsClaim *claim;

  if (first_deadline (part) > now)
    return;
  while ((claim = g_queue_pop_tail (&part->batch)) != NULL)
    g_queue_push_head (&part->pending, claim);
  hs_claim_part_clear_batch (part);
  while (part->pending.length > 0 && first_deadline (part) <= now)
    {
      claim = g_queue_pop_head (&part->pending);
      claim->outcome
          = claim->maybe_written ? HS_CLAIM_UNKNOWN : HS_CLAIM_UNAVAILABLE;
      g_queue_push_tail (&log->ended, claim);
    }
}

static void
expire_claims (HsClaimLog *log, HsTime now)
{
  GList *link;

  for (link = log->part_queue.head; link != NULL; link = link->next)
    expire_part (log, link->data, now);
}

static void
delay_retry (HsClaimLog *log, HsTime now)
{
  log->retry_time = now + log->retry_delay;
  log->retry_delay = MIN (log->retry_delay * 2, RETRY_DELAY_MAX);
}
