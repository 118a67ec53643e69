#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "entry/lease_manager_private.h"

#define PART "keeper"

/** Part of the TTL by which this entry ends its lease before the store. */
#define LEASE_MARGIN_PERCENT 10

static void on_lease_granted (void *arg, const HsStoreReply *reply);
static void on_own_record_written (void *arg, const HsStoreReply *reply);
static void on_lease_renewed (void *arg, const HsStoreReply *reply);
static void extend_lease (HsLeaseManager *manager, HsTime sent, int64_t ttl_s);
static void release_parts (HsLeaseManager *manager, HsNow now);
static void on_lease_revoked (void *arg, const HsStoreReply *reply);

void
hs_lease_manager_update_lease (HsLeaseManager *manager, HsNow now)
{
  HsTime until = hs_lease_manager_lease_until (manager);

  if (now.mono >= until)
    release_parts (manager, now);
  hs_owner_set_lease (manager->core->owner, now.mono < until ? until : 0);
}

HsTime
hs_lease_manager_lease_until (const HsLeaseManager *manager)
{
  HsTime extended = hs_promises_extended_until (manager->promises);

  return manager->view_confirmed ? MAX (manager->lease_until, extended)
                                 : extended;
}

void
hs_lease_manager_announce_leaving (HsLeaseManager *manager)
{
  if (manager->state == HS_LEASE_HELD)
    hs_lease_manager_write_own_record (manager);
}

void
hs_lease_manager_revoke (HsLeaseManager *manager)
{
  if (manager->state == HS_LEASE_HELD)
    hs_store_lease_revoke (manager->core->store, manager->lease_id,
                           on_lease_revoked, manager);
  else
    manager->core->finished = true;
}

void
hs_lease_manager_request_lease (HsLeaseManager *manager, HsNow now)
{
  manager->state = HS_LEASE_GRANTING;
  manager->lease_call_sent_at = now.mono;
  hs_store_lease_grant (manager->core->store,
                        manager->core->entry->lease / HS_SEC, on_lease_granted,
                        manager);
}

void
hs_lease_manager_write_own_record (HsLeaseManager *manager)
{
  HsCore *core = manager->core;
  TALLOC_CTX *memory = talloc_new (manager);
  HsEntryRecord record = { 0 };
  HsStoreCompare compare = { NULL, manager->expected_record_revision };
  HsStoreOp put = { HS_STORE_PUT, NULL, NULL, manager->lease_id };
  HsStoreOp read = { HS_STORE_RANGE, NULL, NULL, 0 };
  HsStoreTxn txn = { 1, &compare, 1, &put, 1, &read };

  record.leaving = core->leaving;
  g_strlcpy (record.address, core->entry->rpc_address, sizeof record.address);
  g_strlcpy (record.data_centre, core->settings->data_centre,
             sizeof record.data_centre);
  compare.key = hs_ownership_entry_key (memory, core->incarnation);
  put.key = read.key = compare.key;
  put.value = hs_ownership_entry_json (memory, &record);
  manager->writing_own_record = true;
  hs_store_txn (core->store, &txn, on_own_record_written, manager);
  talloc_free (memory);
}

void
hs_lease_manager_renew_lease (HsLeaseManager *manager, HsNow now)
{
  manager->renewing = true;
  manager->lease_call_sent_at = now.mono;
  hs_store_lease_keepalive (manager->core->store, manager->lease_id,
                            on_lease_renewed, manager);
}

static void
on_lease_granted (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;

  if (reply->status != HS_STORE_OK || reply->lease == 0)
    {
      manager->state = HS_LEASE_NONE;
      hs_lease_manager_retry_later (manager);
      return;
    }
  manager->lease_id = reply->lease;
  manager->view_confirmed = false;
  extend_lease (manager, manager->lease_call_sent_at, reply->ttl_s);
  if (manager->writing_own_record)
    manager->writing_outdated_record = true;
  else
    hs_lease_manager_write_own_record (manager);
}

/* Each write replaces a known revision. An earlier one of unknown outcome,
 * which may name a lease that isn't renewed, can't be carried out after it. */
static void
on_own_record_written (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;
  HsNow now = hs_now ();

  manager->writing_own_record = false;
  if (reply->status == HS_STORE_OK && reply->succeeded)
    manager->expected_record_revision = reply->revision;
  else if (reply->status == HS_STORE_OK)
    manager->expected_record_revision
        = reply->n_kvs > 0 ? reply->kvs[0].mod_revision : 0;
  if (manager->writing_outdated_record
      || (reply->status == HS_STORE_OK && !reply->succeeded))
    {
      manager->writing_outdated_record = false;
      hs_lease_manager_write_own_record (manager);
      return;
    }
  if (reply->status != HS_STORE_OK)
    {
      /* It may have been written or not: write it again. */
      if (manager->state == HS_LEASE_GRANTING)
        manager->state = HS_LEASE_NONE;
      manager->own_record_rewrite_due = true;
      hs_lease_manager_retry_later (manager);
      return;
    }
  /* A takeover of unknown outcome compares the old revision of this record,
     so it can't take effect any more. */
  manager->own_record_revision = reply->revision;
  if (manager->takeover_unknown)
    hs_lease_manager_reread_parts (manager);
  manager->takeover_unknown = false;
  manager->own_record_rewrite_due = false;
  if (manager->state != HS_LEASE_GRANTING)
    return;
  manager->state = HS_LEASE_HELD;
  manager->renew_at = now.mono;
  hs_promises_own_record_written (manager->promises, now.mono);
  hs_peers_announce_to_all (manager->core);
  /* Takeovers by other entries must be known before any partition is owned. */
  manager->parts_read = false;
  manager->entries_read = false;
  hs_info (PART, "lease %" PRId64 " held", manager->lease_id);
  hs_lease_manager_tick (manager, now);
}

static void
on_lease_renewed (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;
  HsNow now = hs_now ();

  manager->renewing = false;
  if (manager->state != HS_LEASE_HELD)
    return;
  if (reply->status != HS_STORE_OK)
    {
      hs_lease_manager_retry_later (manager);
      return;
    }
  if (reply->ttl_s <= 0)
    {
      /* It lapsed during an outage. The partitions are kept as long as the
         promises hold, while a new lease is requested. */
      hs_warn (PART, "lease lapsed at the store; requesting a new one");
      manager->state = HS_LEASE_NONE;
      manager->view_confirmed = false;
      hs_lease_manager_update_lease (manager, now);
      hs_lease_manager_tick (manager, now);
      return;
    }
  extend_lease (manager, manager->lease_call_sent_at, reply->ttl_s);
  if (manager->view_confirmed)
    hs_lease_manager_store_answered (manager, now);
  hs_lease_manager_update_lease (manager, now);
  hs_core_schedule_tick (manager->core, now);
}

/* The lease counts from before the call was sent, less a margin for clock
 * drift. */
static void
extend_lease (HsLeaseManager *manager, HsTime sent, int64_t ttl_s)
{
  HsTime ttl = ttl_s * HS_SEC;

  manager->lease_until = sent + ttl - ttl * LEASE_MARGIN_PERCENT / 100;
  manager->renew_at = sent + ttl / 4;
}

static void
release_parts (HsLeaseManager *manager, HsNow now)
{
  uint32_t part;

  if (hs_owner_n_partitions (manager->core->owner) == 0)
    return;
  hs_warn (PART, "lease lost; partitions released until the store answers");
  for (part = 0; part < manager->core->entry->partitions; part++)
    {
      if (!hs_owner_owns (manager->core->owner, part))
        continue;
      manager->released_epochs[part]
          = hs_ownership_part_record (manager->view, part)->revision;
      hs_owner_release (manager->core->owner, part, now);
      hs_records_disowned (manager->core, part);
    }
}

/* Ignores failures: without an answer the lease lapses at its TTL. */
static void
on_lease_revoked (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;

  (void) reply;
  manager->core->finished = true;
}
