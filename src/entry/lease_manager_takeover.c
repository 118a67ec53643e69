#include <string.h>

#include "entry/lease_manager_private.h"

/** Partitions are handed over only when no entry record has changed for so
 *  long. */
#define REBALANCE_DELAY (500 * HS_MSEC)

static bool
may_take_over (HsLeaseManager *manager, const HsPartRecord *record, HsNow now);
static void
start_takeover (HsLeaseManager *manager, const uint32_t *parts, uint32_t n);
static void on_takeover_done (void *arg, const HsStoreReply *reply);
static void remove_terminated_entries (HsLeaseManager *manager);
static void on_entry_removed (void *arg, const HsStoreReply *reply);

void
hs_lease_manager_assign_parts (HsLeaseManager *manager, HsNow now)
{
  HsCore *core = manager->core;
  uint32_t batch[HS_TAKEOVER_BATCH_MAX];
  uint32_t n = 0;
  uint32_t part;

  remove_terminated_entries (manager);
  for (part = 0; part < core->entry->partitions; part++)
    {
      const HsPartRecord *record
          = hs_ownership_part_record (manager->view, part);
      uint64_t new_owner;

      switch (hs_ownership_decide (manager->view, part, &new_owner))
        {
        case HS_PART_TAKE_OVER:
          if (!core->leaving && n < manager->takeover_batch
              && may_take_over (manager, record, now))
            batch[n++] = part;
          break;
        case HS_PART_HAND_OVER:
          /* If this entry released the partition when its lease lapsed: no
             other entry may take it over while this entry has a record, so
             it takes the partition back first and hands it over later. */
          if (!hs_owner_owns (core->owner, part))
            {
              if (n < manager->takeover_batch)
                batch[n++] = part;
            }
          else if (now.mono - manager->entries_stable_since >= REBALANCE_DELAY
                   || core->leaving)
            hs_handovers_request (core->handovers, new_owner, part, now);
          break;
        case HS_PART_NO_ACTION:
          /* If this entry released the partition when its lease lapsed, and no
             other entry has taken it over: it takes the partition back. */
          if (record->owner == core->incarnation
              && !hs_owner_owns (core->owner, part)
              && n < manager->takeover_batch)
            batch[n++] = part;
          break;
        }
    }
  if (n > 0 && !manager->takeover_in_flight)
    start_takeover (manager, batch, n);
  hs_handovers_start (core->handovers, now);
}

/* Connects to an owner whose state is unknown, to learn whether its process
 * has terminated. */
static bool
may_take_over (HsLeaseManager *manager, const HsPartRecord *record, HsNow now)
{
  if (record->owner == 0 || record->owner == manager->core->incarnation)
    return true;
  if (hs_promises_may_take_over (manager->promises, record->owner, now.mono))
    return true;
  if (record->address[0] != '\0')
    hs_links_connect (manager->core->links, HSX_ROLE_ENTRY, record->owner,
                      record->address, now.mono);
  return false;
}

/*
 * A partition is taken over only if its record is unchanged, the record of its
 * owner is gone, and this entry's own record, and so its lease, still exists.
 */
static void
start_takeover (HsLeaseManager *manager, const uint32_t *parts, uint32_t n)
{
  HsCore *core = manager->core;
  TALLOC_CTX *memory = talloc_new (manager);
  HsStoreCompare compares[2 * HS_TAKEOVER_BATCH_MAX + 1];
  HsStoreOp puts[HS_TAKEOVER_BATCH_MAX];
  HsStoreTxn txn = { 0, compares, n, puts, 0, NULL };
  uint32_t i;

  compares[txn.n_compares].key
      = hs_ownership_entry_key (memory, core->incarnation);
  compares[txn.n_compares++].mod_revision = manager->own_record_revision;
  for (i = 0; i < n; i++)
    {
      const HsPartRecord *record
          = hs_ownership_part_record (manager->view, parts[i]);
      char *key = hs_ownership_part_key (memory, parts[i]);

      compares[txn.n_compares].key = key;
      compares[txn.n_compares++].mod_revision = record->revision;
      if (record->owner != 0 && record->owner != core->incarnation)
        {
          compares[txn.n_compares].key
              = hs_ownership_entry_key (memory, record->owner);
          compares[txn.n_compares++].mod_revision = 0;
        }
      puts[i].kind = HS_STORE_PUT;
      puts[i].key = key;
      puts[i].value = hs_ownership_part_json (memory, core->incarnation,
                                              core->entry->rpc_address, 0);
      puts[i].lease = 0;
    }
  manager->takeover_in_flight = true;
  memcpy (manager->takeover_parts, parts, n * sizeof parts[0]);
  manager->n_takeover_parts = n;
  hs_store_txn (core->store, &txn, on_takeover_done, manager);
  talloc_free (memory);
}

static void
on_takeover_done (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;

  manager->takeover_in_flight = false;
  if (reply->status == HS_STORE_OK && reply->succeeded)
    {
      manager->takeover_batch = HS_TAKEOVER_BATCH_MAX;
      hs_lease_manager_apply_own_write (
          manager, manager->takeover_parts, manager->n_takeover_parts,
          manager->core->incarnation, false, reply->revision);
      return;
    }
  if (reply->status == HS_STORE_UNKNOWN)
    manager->takeover_unknown = true;
  /* One stale record fails the whole batch: continue with one partition at a
     time, from a view that is read again. */
  manager->takeover_batch = 1;
  manager->parts_read = false;
  hs_lease_manager_retry_later (manager);
}

/*
 * Deletes the record of an entry whose process has terminated without waiting
 * for its lease to lapse: the process can't start anything any more, and
 * RECOVER fences the starts that are still in flight.
 */
static void
remove_terminated_entries (HsLeaseManager *manager)
{
  uint32_t i;

  for (i = 0;
       i < hs_ownership_entry_count (manager->view) && !manager->removing_entry;
       i++)
    {
      const HsEntryRecord *entry = hs_ownership_entry_at (manager->view, i);
      HsStoreCompare compare = { NULL, entry->revision };
      HsStoreOp op = { HS_STORE_DELETE, NULL, NULL, 0 };
      HsStoreTxn txn = { 1, &compare, 1, &op, 0, NULL };
      char *key;

      if (!hs_promises_is_terminated (manager->promises, entry->incarnation))
        continue;
      key = hs_ownership_entry_key (manager, entry->incarnation);
      compare.key = key;
      op.key = key;
      manager->removing_entry = true;
      hs_store_txn (manager->core->store, &txn, on_entry_removed, manager);
      talloc_free (key);
    }
}

/* The watch reports the deletion; if it failed, the next tick tries again. */
static void
on_entry_removed (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;

  manager->removing_entry = false;
  if (reply->status != HS_STORE_OK)
    hs_lease_manager_retry_later (manager);
}
