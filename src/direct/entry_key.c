/* The entry publishes its address in the store, as a key under a lease. Other
   processes find it there if the seed addresses in their settings are out of
   date. */
#include <inttypes.h>

#include "base/event.h"
#include "direct/entry_private.h"

/** Time after which the store removes the key of an entry that has died. */
#define KEY_LEASE_TTL_S 10

/** Interval of lease renewals: twice within KEY_LEASE_TTL_S. */
#define RENEW_INTERVAL (4 * HS_SEC)

/** Interval of writes of the key: one that was written under an earlier lease
 * may have been carried out late and end with that lease, or another writer may
 * have taken the key away. */
#define WRITE_INTERVAL (60 * HS_SEC)

/** Delay before a failed call is retried. Expired keys have to be written again
 *  within two seconds after the store has recovered. */
#define RETRY_DELAY (700 * HS_MSEC)

static void on_lease_granted (void *arg, const HsStoreReply *reply);
static void on_key_written (void *arg, const HsStoreReply *reply);
static void on_lease_renewed (void *arg, const HsStoreReply *reply);
static void on_entries_read (void *arg, const HsStoreReply *reply);
static void finish_call (HsDirectEntry *entry, HsTime delay);

HsTime
hs_entry_key_tick (HsDirectEntry *entry, HsTime now)
{
  if (entry->key_call_pending || entry->stage != HS_ENTRY_SERVING)
    return HS_NEVER;
  if (now < entry->key_call_at)
    return entry->key_call_at;
  entry->key_call_pending = true;
  if (entry->key_lease != 0 && entry->key_written && now < entry->key_write_at)
    hs_store_lease_keepalive (entry->store, entry->key_lease, on_lease_renewed,
                              entry);
  else if (entry->key_lease != 0)
    on_lease_granted (entry, &(HsStoreReply){ .lease = entry->key_lease });
  else
    hs_store_lease_grant (entry->store, KEY_LEASE_TTL_S, on_lease_granted,
                          entry);
  return HS_NEVER;
}

void
hs_entry_key_remove (HsDirectEntry *entry)
{
  if (entry->key_lease != 0)
    hs_store_lease_revoke (entry->store, entry->key_lease, on_lease_renewed,
                           entry);
}

static void
on_lease_granted (void *arg, const HsStoreReply *reply)
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
      finish_call (entry, RETRY_DELAY);
      return;
    }
  entry->key_lease = reply->lease;
  put.lease = entry->key_lease;
  hs_store_txn (entry->store, &txn, on_key_written, entry);
}

static void
on_key_written (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;

  if (reply->status != HS_STORE_OK || !reply->succeeded)
    {
      hs_event ("entry_key", "outcome=not_written status=%d",
                (int) reply->status);
      entry->key_lease = 0;
      finish_call (entry, RETRY_DELAY);
      return;
    }
  hs_event ("entry_key", "outcome=written lease=%" PRId64, entry->key_lease);
  entry->key_written = true;
  entry->key_write_at = hs_now ().mono + WRITE_INTERVAL;
  finish_call (entry, RENEW_INTERVAL);
  /* Finds the entries that published their keys before this one did; those that
     publish later read this key and dial. */
  hs_store_range (entry->store, HS_ENTRY_KEY_PREFIX, 0, on_entries_read, entry);
}

static void
on_lease_renewed (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;

  if (reply->status == HS_STORE_OK && reply->ttl_s > 0)
    {
      finish_call (entry, RENEW_INTERVAL);
      return;
    }
  if (reply->status == HS_STORE_OK)
    {
      hs_event ("entry_key", "outcome=lapsed lease=%" PRId64, entry->key_lease);
      entry->key_lease = 0;
      entry->key_written = false;
      finish_call (entry, 0);
      return;
    }
  finish_call (entry, RETRY_DELAY);
}

static void
on_entries_read (void *arg, const HsStoreReply *reply)
{
  HsDirectEntry *entry = arg;
  size_t n_bad = 0;
  size_t i;

  if (reply->status != HS_STORE_OK)
    return;
  for (i = 0; i < reply->n_kvs; i++)
    n_bad += !hs_dialer_add (entry->dialer, reply->kvs[i].value, false,
                             hs_now ().mono);
  hs_event ("entries_read", "entries=%zu bad=%zu revision=%" PRId64,
            reply->n_kvs, n_bad + reply->n_unreadable, reply->revision);
  hs_entry_schedule (entry, false);
}

static void
finish_call (HsDirectEntry *entry, HsTime delay)
{
  entry->key_call_pending = false;
  entry->key_call_at = hs_now ().mono + delay;
  hs_entry_schedule (entry, false);
}
