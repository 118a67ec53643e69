/* A key under a lease tells processes whose seeds are stale where this entry
   is. */
#include <inttypes.h>

#include "base/event.h"
#include "direct/entry_private.h"

/** A dead entry's key goes after this. */
#define KEY_TTL_S 10

/** The lease is renewed so often: twice within its span. */
#define RENEW_SPAN (4 * HS_SEC)

/** After a failure. Lapsed keys have to be back within two seconds of the
 *  store's return. */
#define RETRY_SPAN (700 * HS_MSEC)

static void on_granted (void *arg, const HsStoreReply *reply);
static void on_put (void *arg, const HsStoreReply *reply);
static void on_renewed (void *arg, const HsStoreReply *reply);
static void on_entries (void *arg, const HsStoreReply *reply);
static void next (HsDirectEntry *entry, HsTime span);

HsTime
hs_entry_key_tick (HsDirectEntry *entry, HsTime now)
{
  if (entry->key_busy || entry->stage != HS_ENTRY_SERVING)
    return HS_NEVER;
  if (now < entry->key_due)
    return entry->key_due;
  entry->key_busy = true;
  if (entry->lease != 0 && entry->key_there)
    hs_store_lease_keepalive (entry->store, entry->lease, on_renewed, entry);
  else if (entry->lease != 0)
    on_granted (entry, &(HsStoreReply){ .lease = entry->lease });
  else
    hs_store_lease_grant (entry->store, KEY_TTL_S, on_granted, entry);
  return HS_NEVER;
}

void
hs_entry_key_end (HsDirectEntry *entry)
{
  if (entry->lease != 0)
    hs_store_lease_revoke (entry->store, entry->lease, on_renewed, entry);
}

static void
on_granted (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;
  g_autofree char *key
      = g_strconcat (HS_ENTRY_KEY_PREFIX, entry->settings->host, NULL);
  HsStoreOp put = { .kind = HS_STORE_PUT,
                    .key = key,
                    .value = entry->settings->control_listen };
  HsStoreTxn txn = { .n_success = 1, .success = &put };

  if (reply->status != HS_STORE_OK)
    {
      hs_event ("entry_key", "outcome=no_lease status=%d", (int) reply->status);
      next (entry, RETRY_SPAN);
      return;
    }
  entry->lease = reply->lease;
  put.lease = entry->lease;
  hs_store_txn (entry->store, &txn, on_put, entry);
}

static void
on_put (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;

  if (reply->status != HS_STORE_OK || !reply->succeeded)
    {
      hs_event ("entry_key", "outcome=not_written status=%d",
                (int) reply->status);
      entry->lease = 0;
      next (entry, RETRY_SPAN);
      return;
    }
  hs_event ("entry_key", "outcome=written lease=%" PRId64, entry->lease);
  entry->key_there = true;
  next (entry, RENEW_SPAN);
  /* Entries that wrote theirs before are found by this; later ones dial. */
  hs_store_range (entry->store, HS_ENTRY_KEY_PREFIX, 0, on_entries, entry);
}

static void
on_renewed (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;

  if (reply->status == HS_STORE_OK && reply->ttl_s > 0)
    {
      next (entry, RENEW_SPAN);
      return;
    }
  if (reply->status == HS_STORE_OK)
    {
      hs_event ("entry_key", "outcome=lapsed lease=%" PRId64, entry->lease);
      entry->lease = 0;
      entry->key_there = false;
      next (entry, 0);
      return;
    }
  next (entry, RETRY_SPAN);
}

static void
on_entries (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;
  size_t i;

  if (reply->status != HS_STORE_OK)
    return;
  for (i = 0; i < reply->n_kvs; i++)
    hs_dialer_add (entry->dialer, reply->kvs[i].value, false, hs_now ().mono);
  hs_entry_schedule (entry, false);
}

static void
next (HsDirectEntry *entry, HsTime span)
{
  entry->key_busy = false;
  entry->key_due = hs_now ().mono + span;
  hs_entry_schedule (entry, false);
}
