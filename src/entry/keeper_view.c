#include "entry/keeper_private.h"

static void on_entries (void *arg, const HsStoreReply *reply);
static void on_parts (void *arg, const HsStoreReply *reply);
static void on_entry_note (void *arg, const HsStoreWatchUpdate *note);
static void on_part_note (void *arg, const HsStoreWatchUpdate *note);
static void take_entry (HsKeeper *keeper, const HsStoreKv *kv, bool deleted);
static void take_part (HsKeeper *keeper, const HsStoreKv *kv, HsNow now);
static void part_changed (HsKeeper *keeper, uint32_t part, HsNow now);
static void own_all (HsKeeper *keeper, HsNow now);
static void forget_absent (HsKeeper *keeper);
static void want_entries (HsKeeper *keeper, HsNow now);

void
hs_keeper_read_all (HsKeeper *keeper)
{
  keeper->reading = true;
  keeper->entries_doubted = false;
  keeper->read_sent = hs_now ().mono;
  TALLOC_FREE (keeper->entry_watch);
  TALLOC_FREE (keeper->part_watch);
  hs_store_range (keeper->core->store, "hs/entry/", 0, on_entries, keeper);
}

void
hs_keeper_reread (HsKeeper *keeper)
{
  keeper->parts_read = false;
  hs_keeper_retry_later (keeper);
}

void
hs_keeper_wrote (HsKeeper *keeper,
                 const uint32_t *parts,
                 uint32_t n,
                 uint64_t owner,
                 bool handed_over,
                 int64_t revision)
{
  HsNow now = hs_now ();
  TALLOC_CTX *memory = talloc_new (keeper);
  const HsEntryRecord *entry = hs_ownership_find_entry (keeper->view, owner);
  const char *address = entry != NULL ? entry->address : "";
  uint32_t i;

  for (i = 0; i < n; i++)
    {
      int64_t before = hs_ownership_record (keeper->view, parts[i])->revision;
      char *json = hs_ownership_part_json (memory, owner, address,
                                           handed_over ? before : 0);

      if (hs_ownership_part (keeper->view, parts[i], json, revision,
                             before == 0 ? revision : before))
        part_changed (keeper, parts[i], now);
    }
  talloc_free (memory);
  hs_core_rearm (keeper->core, now);
}

static void
on_entries (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;
  uint64_t *seen;
  size_t i;

  if (reply->status != HS_STORE_OK)
    {
      keeper->reading = false;
      keeper->entries_doubted = true;
      hs_keeper_retry_later (keeper);
      return;
    }
  seen = talloc_zero_array (keeper, uint64_t, reply->n_kvs + 1);
  for (i = 0; i < reply->n_kvs; i++)
    {
      hs_ownership_parse_entry_key (reply->kvs[i].key, &seen[i]);
      take_entry (keeper, &reply->kvs[i], false);
    }
  hs_ownership_entries_seen (keeper->view, seen, reply->n_kvs, reply->revision);
  talloc_free (seen);
  keeper->entries_sent = keeper->read_sent;
  forget_absent (keeper);
  keeper->entries_read = true;
  keeper->entry_watch
      = hs_store_watch (keeper->core->store, "hs/entry/", reply->revision + 1,
                        on_entry_note, keeper);
  want_entries (keeper, hs_now ());
  hs_store_range (keeper->core->store, "hs/part/", 0, on_parts, keeper);
}

static void
on_parts (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();
  size_t i;

  keeper->reading = false;
  if (reply->status != HS_STORE_OK)
    {
      keeper->entries_read = false;
      hs_keeper_retry_later (keeper);
      return;
    }
  for (i = 0; i < reply->n_kvs; i++)
    take_part (keeper, &reply->kvs[i], now);
  keeper->parts_read = true;
  if (keeper->state == HS_KEEPER_HOLDING && !keeper->confirmed)
    {
      keeper->confirmed = true;
      hs_keeper_store_answered (keeper, now);
      hs_keeper_update_lease (keeper, now);
      own_all (keeper, now);
    }
  keeper->part_watch
      = hs_store_watch (keeper->core->store, "hs/part/", reply->revision + 1,
                        on_part_note, keeper);
  hs_handovers_reread (keeper->core->handovers, now);
  hs_keeper_tick (keeper, now);
  hs_core_rearm (keeper->core, now);
}

static void
on_entry_note (void *arg, const HsStoreWatchUpdate *note)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();
  size_t i;

  switch (note->kind)
    {
    case HS_STORE_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        take_entry (keeper, &note->events[i].kv, note->events[i].deleted);
      want_entries (keeper, now);
      hs_keeper_tick (keeper, now);
      return;
    case HS_STORE_WATCH_COMPACTED:
      keeper->entries_read = false;
      return;
    case HS_STORE_WATCH_PROGRESS:
    case HS_STORE_WATCH_DISCONNECTED:
      return;
    }
}

static void
on_part_note (void *arg, const HsStoreWatchUpdate *note)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();
  size_t i;

  switch (note->kind)
    {
    case HS_STORE_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        if (!note->events[i].deleted)
          take_part (keeper, &note->events[i].kv, now);
      hs_keeper_tick (keeper, now);
      hs_core_rearm (keeper->core, now);
      return;
    case HS_STORE_WATCH_COMPACTED:
      keeper->parts_read = false;
      return;
    case HS_STORE_WATCH_PROGRESS:
    case HS_STORE_WATCH_DISCONNECTED:
      return;
    }
}

static void
take_entry (HsKeeper *keeper, const HsStoreKv *kv, bool deleted)
{
  uint64_t incarnation;

  if (!hs_ownership_parse_entry_key (kv->key, &incarnation))
    return;
  hs_ownership_entry (keeper->view, incarnation, deleted ? NULL : kv->value,
                      kv->mod_revision);
  keeper->stable_since = hs_now ().mono;
  if (incarnation == keeper->core->incarnation)
    return;
  if (!deleted)
    hs_promises_peer (keeper->promises, incarnation, hs_now ().mono);
  else
    hs_keeper_peer_down (keeper, incarnation);
}

static void
take_part (HsKeeper *keeper, const HsStoreKv *kv, HsNow now)
{
  uint32_t part;

  if (hs_ownership_parse_part_key (kv->key, &part)
      && hs_ownership_part (keeper->view, part, kv->value, kv->mod_revision,
                            kv->create_revision))
    part_changed (keeper, part, now);
}

/* The view decides who owns: the answer to a transaction may be lost. */
static void
part_changed (HsKeeper *keeper, uint32_t part, HsNow now)
{
  const HsPartRecord *record = hs_ownership_record (keeper->view, part);
  HsOwner *owner = keeper->core->owner;
  HsOwnedPart owned
      = { part, (uint64_t) record->revision, (uint64_t) record->previous,
          record->handed_from != 0 && record->handed_from == record->previous };
  bool mine = record->owner == keeper->core->incarnation;

  if (mine && keeper->confirmed && record->revision > keeper->dropped[part])
    {
      hs_owner_own (owner, 1, &owned, now);
      hs_records_owned (keeper->core, part, record->revision);
    }
  else if (!mine && hs_owner_owns (owner, part))
    {
      hs_owner_disown (owner, part, now);
      hs_records_disowned (keeper->core, part);
    }
  hs_calls_part_moved (keeper->core->calls, part, now);
}

/* Records that named this entry before the lease was confirmed. */
static void
own_all (HsKeeper *keeper, HsNow now)
{
  uint32_t part;

  for (part = 0; part < keeper->core->entry->partitions; part++)
    if (hs_ownership_record (keeper->view, part)->owner
            == keeper->core->incarnation
        && !hs_owner_owns (keeper->core->owner, part))
      part_changed (keeper, part, now);
}

static void
forget_absent (HsKeeper *keeper)
{
  uint64_t peer = 0;

  while ((peer = hs_promises_needed (keeper->promises, peer)) != 0)
    if (hs_ownership_find_entry (keeper->view, peer) == NULL)
      hs_keeper_peer_down (keeper, peer);
}

static void
want_entries (HsKeeper *keeper, HsNow now)
{
  uint32_t i;

  for (i = 0; i < hs_ownership_entries (keeper->view); i++)
    {
      const HsEntryRecord *entry = hs_ownership_entry_at (keeper->view, i);

      if (entry->incarnation != keeper->core->incarnation)
        hs_links_want (keeper->core->links, HSX_ROLE_ENTRY, entry->incarnation,
                       entry->address, now.mono);
    }
}
