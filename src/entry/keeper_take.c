#include <string.h>

#include "entry/keeper_private.h"

/** New entries settle for so long before partitions move to them. */
#define SETTLE_SPAN (500 * HS_MSEC)

static bool may_take (HsKeeper *keeper, const HsPartRecord *record, HsNow now);
static void take (HsKeeper *keeper, const uint32_t *parts, uint32_t n);
static void on_taken (void *arg, const HsStoreReply *reply);
static void remove_gone (HsKeeper *keeper);
static void on_removed (void *arg, const HsStoreReply *reply);

void
hs_keeper_decide (HsKeeper *keeper, HsNow now)
{
  HsCore *core = keeper->core;
  uint32_t wanted[HS_KEEPER_TAKE_MAX];
  uint32_t n = 0;
  uint32_t part;

  remove_gone (keeper);
  for (part = 0; part < core->entry->partitions; part++)
    {
      const HsPartRecord *record = hs_ownership_record (keeper->view, part);
      uint64_t target;

      switch (hs_ownership_decide (keeper->view, part, &target))
        {
        case HS_PART_TAKE:
          if (!core->leaving && n < keeper->take_most
              && may_take (keeper, record, now))
            wanted[n++] = part;
          break;
        case HS_PART_HAND_TO:
          /* Given up with an earlier lease: nobody else may take it while
             this entry lives, so it is taken back before it is handed on. */
          if (!hs_owner_owns (core->owner, part))
            {
              if (n < keeper->take_most)
                wanted[n++] = part;
            }
          else if (now.mono - keeper->stable_since >= SETTLE_SPAN
                   || core->leaving)
            hs_handovers_want (core->handovers, target, part, now);
          break;
        case HS_PART_KEEP:
          /* Given up with an earlier lease and not taken by others. */
          if (record->owner == core->incarnation
              && !hs_owner_owns (core->owner, part) && n < keeper->take_most)
            wanted[n++] = part;
          break;
        }
    }
  if (n > 0 && !keeper->taking)
    take (keeper, wanted, n);
  hs_handovers_start (core->handovers, now);
}

/* Probes an owner of which nothing is known, to learn whether it is gone. */
static bool
may_take (HsKeeper *keeper, const HsPartRecord *record, HsNow now)
{
  if (record->owner == 0 || record->owner == keeper->core->incarnation)
    return true;
  if (hs_promises_may_take (keeper->promises, record->owner, now.mono))
    return true;
  if (record->address[0] != '\0')
    hs_links_want (keeper->core->links, HSX_ROLE_ENTRY, record->owner,
                   record->address, now.mono);
  return false;
}

/*
 * A partition is taken only if its record is as seen, its owner's own record
 * is gone, and this entry's lease still stands.
 */
static void
take (HsKeeper *keeper, const uint32_t *parts, uint32_t n)
{
  HsCore *core = keeper->core;
  TALLOC_CTX *memory = talloc_new (keeper);
  HsStoreCompare compares[2 * HS_KEEPER_TAKE_MAX + 1];
  HsStoreOp puts[HS_KEEPER_TAKE_MAX];
  HsStoreTxn txn = { 0, compares, n, puts, 0, NULL };
  uint32_t i;

  compares[txn.n_compares].key
      = hs_ownership_entry_key (memory, core->incarnation);
  compares[txn.n_compares++].mod_revision = keeper->record_revision;
  for (i = 0; i < n; i++)
    {
      const HsPartRecord *record = hs_ownership_record (keeper->view, parts[i]);
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
  keeper->taking = true;
  memcpy (keeper->taken, parts, n * sizeof parts[0]);
  keeper->n_taken = n;
  hs_store_txn (core->store, &txn, on_taken, keeper);
  talloc_free (memory);
}

static void
on_taken (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;

  keeper->taking = false;
  if (reply->status == HS_STORE_OK && reply->succeeded)
    {
      keeper->take_most = HS_KEEPER_TAKE_MAX;
      hs_keeper_wrote (keeper, keeper->taken, keeper->n_taken,
                       keeper->core->incarnation, false, reply->revision);
      return;
    }
  if (reply->status == HS_STORE_UNKNOWN)
    keeper->unsettled = true;
  /* One stale compare fails all: go on one by one, from a fresh view. */
  keeper->take_most = 1;
  keeper->parts_read = false;
  hs_keeper_retry_later (keeper);
}

/*
 * The record of an entry whose process is gone need not wait for its lease:
 * without the process nothing is started, and RECOVER fences what is on its
 * way.
 */
static void
remove_gone (HsKeeper *keeper)
{
  uint32_t i;

  for (i = 0; i < hs_ownership_entries (keeper->view) && !keeper->removing; i++)
    {
      const HsEntryRecord *entry = hs_ownership_entry_at (keeper->view, i);
      HsStoreCompare compare = { NULL, entry->revision };
      HsStoreOp op = { HS_STORE_DELETE, NULL, NULL, 0 };
      HsStoreTxn txn = { 1, &compare, 1, &op, 0, NULL };
      char *key;

      if (!hs_promises_is_gone (keeper->promises, entry->incarnation))
        continue;
      key = hs_ownership_entry_key (keeper, entry->incarnation);
      compare.key = key;
      op.key = key;
      keeper->removing = true;
      hs_store_txn (keeper->core->store, &txn, on_removed, keeper);
      talloc_free (key);
    }
}

/* The watch tells whether it is gone; else it is tried again. */
static void
on_removed (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;

  keeper->removing = false;
  if (reply->status != HS_STORE_OK)
    hs_keeper_retry_later (keeper);
}
