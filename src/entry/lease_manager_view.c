#include "entry/lease_manager_private.h"

static bool is_current (const HsLeaseManager *manager,
                        const HsStoreReply *reply);
static void on_entries_read (void *arg, const HsStoreReply *reply);
static void on_parts_read (void *arg, const HsStoreReply *reply);
static void on_entry_watch (void *arg, const HsStoreWatchUpdate *note);
static void on_part_watch (void *arg, const HsStoreWatchUpdate *note);
static void
apply_entry (HsLeaseManager *manager, const HsStoreKv *kv, bool deleted);
static void
apply_part (HsLeaseManager *manager, const HsStoreKv *kv, HsNow now);
static void on_part_changed (HsLeaseManager *manager, uint32_t part, HsNow now);
static void own_confirmed_parts (HsLeaseManager *manager, HsNow now);
static void drop_absent_peers (HsLeaseManager *manager);
static void connect_entries (HsLeaseManager *manager, HsNow now);

void
hs_lease_manager_read_all (HsLeaseManager *manager)
{
  manager->reading = true;
  manager->entries_reread_due = false;
  manager->read_started_at = hs_now ().mono;
  TALLOC_FREE (manager->entry_watch);
  TALLOC_FREE (manager->part_watch);
  hs_store_range (manager->core->store, "hs/entry/", 0, on_entries_read,
                  manager);
}

void
hs_lease_manager_reread_parts (HsLeaseManager *manager)
{
  manager->parts_read = false;
  hs_lease_manager_retry_later (manager);
}

void
hs_lease_manager_apply_own_write (HsLeaseManager *manager,
                                  const uint32_t *parts,
                                  uint32_t n,
                                  uint64_t owner,
                                  bool handed_over,
                                  int64_t revision)
{
  HsNow now = hs_now ();
  TALLOC_CTX *memory = talloc_new (manager);
  const HsEntryRecord *entry = hs_ownership_find_entry (manager->view, owner);
  const char *address = entry != NULL ? entry->address : "";
  uint32_t i;

  for (i = 0; i < n; i++)
    {
      int64_t before
          = hs_ownership_part_record (manager->view, parts[i])->revision;
      char *json = hs_ownership_part_json (memory, owner, address,
                                           handed_over ? before : 0);

      if (hs_ownership_apply_part (manager->view, parts[i], json, revision,
                                   before == 0 ? revision : before))
        on_part_changed (manager, parts[i], now);
    }
  talloc_free (memory);
  hs_core_schedule_tick (manager->core, now);
}

/* Whether the read shows all that was written before this entry's own record.
   Only since then no other entry can take over a partition of this one, so an
   earlier read may not show a takeover. */
static bool
is_current (const HsLeaseManager *manager, const HsStoreReply *reply)
{
  return reply->status == HS_STORE_OK
         && reply->revision >= manager->own_record_revision;
}

static void
on_entries_read (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;
  uint64_t *seen;
  size_t i;

  if (!is_current (manager, reply))
    {
      manager->reading = false;
      manager->entries_reread_due = true;
      hs_lease_manager_retry_later (manager);
      return;
    }
  seen = talloc_zero_array (manager, uint64_t, reply->n_kvs + 1);
  for (i = 0; i < reply->n_kvs; i++)
    {
      hs_ownership_parse_entry_key (reply->kvs[i].key, &seen[i]);
      apply_entry (manager, &reply->kvs[i], false);
    }
  hs_ownership_retain_entries (manager->view, seen, reply->n_kvs,
                               reply->revision);
  talloc_free (seen);
  manager->entries_read_started_at = manager->read_started_at;
  drop_absent_peers (manager);
  manager->entries_read = true;
  manager->entry_watch
      = hs_store_watch (manager->core->store, "hs/entry/", reply->revision + 1,
                        on_entry_watch, manager);
  connect_entries (manager, hs_now ());
  hs_store_range (manager->core->store, "hs/part/", 0, on_parts_read, manager);
}

static void
on_parts_read (void *arg, const HsStoreReply *reply)
{
  HsLeaseManager *manager = arg;
  HsNow now = hs_now ();
  size_t i;

  manager->reading = false;
  if (!is_current (manager, reply))
    {
      manager->entries_read = false;
      hs_lease_manager_retry_later (manager);
      return;
    }
  for (i = 0; i < reply->n_kvs; i++)
    apply_part (manager, &reply->kvs[i], now);
  manager->parts_read = true;
  if (manager->state == HS_LEASE_HELD && !manager->view_confirmed)
    {
      manager->view_confirmed = true;
      hs_lease_manager_store_answered (manager, now);
      hs_lease_manager_update_lease (manager, now);
      own_confirmed_parts (manager, now);
    }
  manager->part_watch
      = hs_store_watch (manager->core->store, "hs/part/", reply->revision + 1,
                        on_part_watch, manager);
  hs_handovers_parts_reread (manager->core->handovers, now);
  hs_lease_manager_tick (manager, now);
  hs_core_schedule_tick (manager->core, now);
}

static void
on_entry_watch (void *arg, const HsStoreWatchUpdate *note)
{
  HsLeaseManager *manager = arg;
  HsNow now = hs_now ();
  size_t i;

  switch (note->kind)
    {
    case HS_STORE_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        apply_entry (manager, &note->events[i].kv, note->events[i].deleted);
      connect_entries (manager, now);
      hs_lease_manager_tick (manager, now);
      return;
    case HS_STORE_WATCH_COMPACTED:
      manager->entries_read = false;
      return;
    case HS_STORE_WATCH_PROGRESS:
    case HS_STORE_WATCH_DISCONNECTED:
      return;
    }
}

static void
on_part_watch (void *arg, const HsStoreWatchUpdate *note)
{
  HsLeaseManager *manager = arg;
  HsNow now = hs_now ();
  size_t i;

  switch (note->kind)
    {
    case HS_STORE_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        if (!note->events[i].deleted)
          apply_part (manager, &note->events[i].kv, now);
      hs_lease_manager_tick (manager, now);
      hs_core_schedule_tick (manager->core, now);
      return;
    case HS_STORE_WATCH_COMPACTED:
      manager->parts_read = false;
      return;
    case HS_STORE_WATCH_PROGRESS:
    case HS_STORE_WATCH_DISCONNECTED:
      return;
    }
}

static void
apply_entry (HsLeaseManager *manager, const HsStoreKv *kv, bool deleted)
{
  uint64_t incarnation;

  if (!hs_ownership_parse_entry_key (kv->key, &incarnation))
    return;
  hs_ownership_apply_entry (manager->view, incarnation,
                            deleted ? NULL : kv->value, kv->mod_revision);
  manager->entries_stable_since = hs_now ().mono;
  if (incarnation == manager->core->incarnation)
    return;
  if (!deleted)
    hs_promises_add_peer (manager->promises, incarnation, hs_now ().mono);
  else
    hs_lease_manager_peer_down (manager, incarnation);
}

static void
apply_part (HsLeaseManager *manager, const HsStoreKv *kv, HsNow now)
{
  uint32_t part;

  if (hs_ownership_parse_part_key (kv->key, &part)
      && hs_ownership_apply_part (manager->view, part, kv->value,
                                  kv->mod_revision, kv->create_revision))
    on_part_changed (manager, part, now);
}

/* Owns or disowns a partition as the view says, not as the reply to a
 * transaction says, since that reply may be lost. */
static void
on_part_changed (HsLeaseManager *manager, uint32_t part, HsNow now)
{
  const HsPartRecord *record = hs_ownership_part_record (manager->view, part);
  HsOwner *owner = manager->core->owner;
  HsOwnedPartition owned_part = {
    part, (uint64_t) record->revision, (uint64_t) record->previous_revision,
    record->handed_from != 0 && record->handed_from == record->previous_revision
  };
  bool owned_here = record->owner == manager->core->incarnation;

  if (owned_here && manager->view_confirmed
      && record->revision > manager->released_epochs[part])
    {
      hs_owner_acquire (owner, 1, &owned_part, now);
      hs_records_owned (manager->core, part, record->revision);
    }
  else if (!owned_here && hs_owner_owns (owner, part))
    {
      hs_owner_release (owner, part, now);
      hs_records_disowned (manager->core, part);
    }
  hs_calls_part_moved (manager->core->calls, part, now);
}

/* Owns the partitions whose records named this entry before the view was
 * confirmed. */
static void
own_confirmed_parts (HsLeaseManager *manager, HsNow now)
{
  uint32_t part;

  for (part = 0; part < manager->core->entry->partitions; part++)
    if (hs_ownership_part_record (manager->view, part)->owner
            == manager->core->incarnation
        && !hs_owner_owns (manager->core->owner, part))
      on_part_changed (manager, part, now);
}

static void
drop_absent_peers (HsLeaseManager *manager)
{
  uint64_t peer = 0;

  while ((peer = hs_promises_next_required (manager->promises, peer)) != 0)
    if (hs_ownership_find_entry (manager->view, peer) == NULL)
      hs_lease_manager_peer_down (manager, peer);
}

static void
connect_entries (HsLeaseManager *manager, HsNow now)
{
  uint32_t i;

  for (i = 0; i < hs_ownership_entry_count (manager->view); i++)
    {
      const HsEntryRecord *entry = hs_ownership_entry_at (manager->view, i);

      if (entry->incarnation != manager->core->incarnation)
        hs_links_connect (manager->core->links, HSX_ROLE_ENTRY,
                          entry->incarnation, entry->address, now.mono);
    }
}
