#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "entry/core.h"
#include "entry/promises.h"

#define PART "keeper"

/** The lease is taken for lapsed this much before the store may. */
#define LEASE_MARGIN_PERCENT 10

/** Partitions taken by one transaction. */
#define TAKE_MAX 24

/** Pause after a failed call to the store. */
#define RETRY_PAUSE (300 * HS_MSEC)

/** New entries settle for so long before partitions move to them. */
#define SETTLE_SPAN (500 * HS_MSEC)

typedef enum
{
  KEEPER_NO_LEASE, /* Grant is due. */
  KEEPER_GRANTING, /* Grant or the entry's record is under way. */
  KEEPER_HOLDING   /* The lease is held and the record is written. */
} KeeperState;

struct HsKeeper
{
  HsCore *core;
  HsOwnership *view;
  KeeperState state;
  int64_t lease;
  HsTime lease_until;
  bool confirmed;  /* The view was read under this lease. */
  HsTime answered; /* When the store last answered. */
  HsPromises *promises;
  HsTime call_sent; /* When the lease call under way was sent. */
  bool renewing;
  HsTime renew_at;
  HsTime retry_at;
  int64_t record_revision; /* Of this entry's own record. */
  bool entries_read;
  bool parts_read;
  bool reading;
  bool removing;  /* The record of an entry that is gone. */
  bool recording; /* This entry's record is being written. */
  HsStoreWatch *entry_watch;
  HsStoreWatch *part_watch;
  bool taking;
  bool unsettled;           /* A transaction may still take effect. */
  uint32_t taken[TAKE_MAX]; /* By the transaction under way. */
  uint32_t n_taken;
  uint32_t take_most; /* Falls to one after a failed transaction. */
  int64_t *dropped;   /* By partition: epochs given up with a lease. */
  HsTime stable_since;
};

static HsTime store_patience (const HsKeeper *keeper);
static void ask_promises (HsKeeper *keeper, HsNow now);
static void update_lease (HsKeeper *keeper, HsNow now);
static void store_answered (HsKeeper *keeper, HsNow now);
static void own_all (HsKeeper *keeper, HsNow now);
static bool may_take (HsKeeper *keeper, const HsPartRecord *record, HsNow now);
static void remove_gone (HsKeeper *keeper);
static void on_removed (void *arg, const HsStoreReply *reply);
static void grant (HsKeeper *keeper, HsNow now);
static void on_granted (void *arg, const HsStoreReply *reply);
static void write_record (HsKeeper *keeper);
static void on_recorded (void *arg, const HsStoreReply *reply);
static void renew (HsKeeper *keeper, HsNow now);
static void on_renewed (void *arg, const HsStoreReply *reply);
static void extend (HsKeeper *keeper, HsTime sent, int64_t ttl_s);
static void lose_lease (HsKeeper *keeper, HsNow now);
static void read_all (HsKeeper *keeper);
static void on_entries (void *arg, const HsStoreReply *reply);
static void on_parts (void *arg, const HsStoreReply *reply);
static void on_entry_note (void *arg, const HsWatchNote *note);
static void on_part_note (void *arg, const HsWatchNote *note);
static void take_entry (HsKeeper *keeper, const HsStoreKv *kv, bool deleted);
static void take_part (HsKeeper *keeper, const HsStoreKv *kv, HsNow now);
static void part_changed (HsKeeper *keeper, uint32_t part, HsNow now);
static void want_entries (HsKeeper *keeper, HsNow now);
static void decide (HsKeeper *keeper, HsNow now);
static void take (HsKeeper *keeper, const uint32_t *parts, uint32_t n);
static void on_taken (void *arg, const HsStoreReply *reply);
static void on_revoked (void *arg, const HsStoreReply *reply);
static void retry_later (HsKeeper *keeper);

HsKeeper *
hs_keeper_new (HsCore *core)
{
  HsKeeper *keeper = talloc_zero (core, HsKeeper);

  keeper->core = core;
  keeper->view
      = hs_ownership_new (keeper, core->incarnation, core->entry->partitions);
  keeper->dropped
      = talloc_zero_array (keeper, int64_t, core->entry->partitions);
  keeper->take_most = TAKE_MAX;
  keeper->promises = hs_promises_new (keeper);
  return keeper;
}

void
hs_keeper_tick (HsKeeper *keeper, HsNow now)
{
  ask_promises (keeper, now);
  update_lease (keeper, now);
  if (now.mono < keeper->retry_at)
    return;
  if (keeper->state == KEEPER_NO_LEASE && !keeper->core->finished)
    grant (keeper, now);
  if (keeper->state == KEEPER_HOLDING && !keeper->renewing
      && now.mono >= keeper->renew_at)
    renew (keeper, now);
  if (keeper->unsettled && keeper->state == KEEPER_HOLDING
      && !keeper->recording)
    write_record (keeper);
  if (!keeper->reading && (!keeper->entries_read || !keeper->parts_read))
    read_all (keeper);
  if (keeper->state == KEEPER_HOLDING && keeper->entries_read
      && keeper->parts_read && !keeper->unsettled)
    decide (keeper, now);
}

uint64_t
hs_keeper_owner_of (const HsKeeper *keeper, uint32_t part)
{
  return hs_ownership_record (keeper->view, part)->owner;
}

void
hs_keeper_leave (HsKeeper *keeper)
{
  if (keeper->state == KEEPER_HOLDING)
    write_record (keeper);
}

void
hs_keeper_revoke (HsKeeper *keeper)
{
  if (keeper->state == KEEPER_HOLDING)
    hs_store_lease_revoke (keeper->core->store, keeper->lease, on_revoked,
                           keeper);
  else
    keeper->core->finished = true;
}

const HsOwnership *
hs_keeper_view (const HsKeeper *keeper)
{
  return keeper->view;
}

HsTime
hs_keeper_lease_until (const HsKeeper *keeper)
{
  HsTime extended = hs_promises_extended (keeper->promises);

  return keeper->confirmed ? MAX (keeper->lease_until, extended) : extended;
}

void
hs_keeper_reread (HsKeeper *keeper)
{
  keeper->parts_read = false;
  retry_later (keeper);
}

void
hs_keeper_wrote (HsKeeper *keeper,
                 const uint32_t *parts,
                 uint32_t n,
                 uint64_t owner,
                 int64_t revision)
{
  HsNow now = hs_now ();
  TALLOC_CTX *memory = talloc_new (keeper);
  const HsEntryRecord *entry = hs_ownership_find_entry (keeper->view, owner);
  char *json = hs_ownership_part_json (memory, owner,
                                       entry != NULL ? entry->address : "");
  uint32_t i;

  for (i = 0; i < n; i++)
    {
      int64_t before = hs_ownership_record (keeper->view, parts[i])->revision;

      if (hs_ownership_part (keeper->view, parts[i], json, revision,
                             before == 0 ? revision : before))
        part_changed (keeper, parts[i], now);
    }
  talloc_free (memory);
  hs_core_rearm (keeper->core, now);
}

bool
hs_keeper_promise (HsKeeper *keeper, uint64_t owner, HsTime span, HsNow now)
{
  bool store_up = now.mono - keeper->answered < store_patience (keeper);
  bool settled = !keeper->taking && !keeper->unsettled && keeper->parts_read;

  /* Who asks has to be asked as well. */
  hs_promises_peer (keeper->promises, owner);
  return hs_promises_give (keeper->promises, owner, span, store_up, settled,
                           now.mono);
}

void
hs_keeper_promised (HsKeeper *keeper,
                    uint64_t peer,
                    bool promised,
                    HsTime sent,
                    HsNow now)
{
  hs_promises_met (keeper->promises, peer);
  hs_promises_answered (keeper->promises, peer, promised, sent);
  update_lease (keeper, now);
}

void
hs_keeper_peer_gone (HsKeeper *keeper, uint64_t peer)
{
  hs_promises_gone (keeper->promises, peer);
  hs_promises_forget (keeper->promises, peer);
}

/* An entry is needed while it is connected or has a record. */
void
hs_keeper_peer_down (HsKeeper *keeper, uint64_t peer)
{
  if (hs_links_conn (keeper->core->links, peer) != NULL
      || hs_ownership_find_entry (keeper->view, peer) != NULL)
    return;
  hs_promises_forget (keeper->promises, peer);
  hs_links_forget (keeper->core->links, peer);
}

/* The store is taken for out of reach after this silence. */
static HsTime
store_patience (const HsKeeper *keeper)
{
  return keeper->core->entry->lease / 3;
}

static void
ask_promises (HsKeeper *keeper, HsNow now)
{
  uint64_t peer;

  if (hs_owner_owned (keeper->core->owner) == 0
      || now.mono - keeper->answered < store_patience (keeper))
    return;
  while ((peer = hs_promises_next (keeper->promises, now.mono)) != 0)
    hs_peers_ask_promise (keeper->core, peer, HS_PROMISE_SPAN, now);
}

static void
update_lease (HsKeeper *keeper, HsNow now)
{
  HsTime until = hs_keeper_lease_until (keeper);

  if (now.mono >= until)
    lose_lease (keeper, now);
  hs_owner_set_lease (keeper->core->owner, now.mono < until ? until : 0);
}

static void
store_answered (HsKeeper *keeper, HsNow now)
{
  keeper->answered = now.mono;
  hs_promises_store_answered (keeper->promises, now.mono);
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
    retry_later (keeper);
}

static void
grant (HsKeeper *keeper, HsNow now)
{
  keeper->state = KEEPER_GRANTING;
  keeper->call_sent = now.mono;
  hs_store_lease_grant (keeper->core->store,
                        keeper->core->entry->lease / HS_SEC, on_granted,
                        keeper);
}

static void
on_granted (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;

  if (reply->status != HS_STORE_OK || reply->lease == 0)
    {
      keeper->state = KEEPER_NO_LEASE;
      retry_later (keeper);
      return;
    }
  keeper->lease = reply->lease;
  keeper->confirmed = false;
  extend (keeper, keeper->call_sent, reply->ttl_s);
  write_record (keeper);
}

/* Written again with "leaving" when a planned stop begins. */
static void
write_record (HsKeeper *keeper)
{
  HsCore *core = keeper->core;
  TALLOC_CTX *memory = talloc_new (keeper);
  HsEntryRecord record = { 0 };
  HsStoreOp put = { HS_STORE_PUT, NULL, NULL, keeper->lease };
  HsStoreTxn txn = { 0, NULL, 1, &put, 0, NULL };

  record.leaving = core->leaving;
  g_strlcpy (record.address, core->entry->rpc_address, sizeof record.address);
  g_strlcpy (record.data_centre, core->settings->data_centre,
             sizeof record.data_centre);
  put.key = hs_ownership_entry_key (memory, core->incarnation);
  put.value = hs_ownership_entry_json (memory, &record);
  keeper->recording = true;
  hs_store_txn (core->store, &txn, on_recorded, keeper);
  talloc_free (memory);
}

static void
on_recorded (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();

  keeper->recording = false;
  if (reply->status != HS_STORE_OK)
    {
      /* Whether it was written or not: write it again. */
      if (keeper->state == KEEPER_GRANTING)
        keeper->state = KEEPER_NO_LEASE;
      retry_later (keeper);
      return;
    }
  /* A transaction of before compares the record's old revision. */
  keeper->record_revision = reply->revision;
  if (keeper->unsettled)
    hs_keeper_reread (keeper);
  keeper->unsettled = false;
  if (keeper->state != KEEPER_GRANTING)
    return;
  keeper->state = KEEPER_HOLDING;
  keeper->renew_at = now.mono;
  hs_promises_unknown_to_all (keeper->promises);
  hs_peers_greet_all (keeper->core);
  /* What others took meanwhile must be known before anything is owned. */
  keeper->parts_read = false;
  keeper->entries_read = false;
  hs_info (PART, "lease %" PRId64 " held", keeper->lease);
  hs_keeper_tick (keeper, now);
}

static void
renew (HsKeeper *keeper, HsNow now)
{
  keeper->renewing = true;
  keeper->call_sent = now.mono;
  hs_store_lease_keepalive (keeper->core->store, keeper->lease, on_renewed,
                            keeper);
}

static void
on_renewed (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();

  keeper->renewing = false;
  if (keeper->state != KEEPER_HOLDING)
    return;
  if (reply->status != HS_STORE_OK)
    {
      retry_later (keeper);
      return;
    }
  if (reply->ttl_s <= 0)
    {
      /* It lapsed in an outage: a new one is due while promises hold. */
      hs_warn (PART, "lease lapsed at the store; asking for a new one");
      keeper->state = KEEPER_NO_LEASE;
      keeper->confirmed = false;
      update_lease (keeper, now);
      hs_keeper_tick (keeper, now);
      return;
    }
  extend (keeper, keeper->call_sent, reply->ttl_s);
  if (keeper->confirmed)
    store_answered (keeper, now);
  update_lease (keeper, now);
  hs_core_rearm (keeper->core, now);
}

/* Counted from before the call was sent, less a margin for clock drift. */
static void
extend (HsKeeper *keeper, HsTime sent, int64_t ttl_s)
{
  HsTime ttl = ttl_s * HS_SEC;

  keeper->lease_until = sent + ttl - ttl * LEASE_MARGIN_PERCENT / 100;
  keeper->renew_at = sent + ttl / 4;
}

static void
lose_lease (HsKeeper *keeper, HsNow now)
{
  uint32_t part;

  if (hs_owner_owned (keeper->core->owner) == 0)
    return;
  hs_warn (PART, "lease lost; partitions given up until the store answers");
  for (part = 0; part < keeper->core->entry->partitions; part++)
    {
      if (!hs_owner_owns (keeper->core->owner, part))
        continue;
      keeper->dropped[part]
          = hs_ownership_record (keeper->view, part)->revision;
      hs_owner_disown (keeper->core->owner, part, now);
      hs_records_disowned (keeper->core, part);
    }
}

static void
read_all (HsKeeper *keeper)
{
  keeper->reading = true;
  TALLOC_FREE (keeper->entry_watch);
  TALLOC_FREE (keeper->part_watch);
  hs_store_range (keeper->core->store, "hs/entry/", 0, on_entries, keeper);
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
      retry_later (keeper);
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
      retry_later (keeper);
      return;
    }
  for (i = 0; i < reply->n_kvs; i++)
    take_part (keeper, &reply->kvs[i], now);
  keeper->parts_read = true;
  if (keeper->state == KEEPER_HOLDING && !keeper->confirmed)
    {
      keeper->confirmed = true;
      store_answered (keeper, now);
      update_lease (keeper, now);
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
on_entry_note (void *arg, const HsWatchNote *note)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();
  size_t i;

  switch (note->kind)
    {
    case HS_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        take_entry (keeper, &note->events[i].kv, note->events[i].deleted);
      want_entries (keeper, now);
      hs_keeper_tick (keeper, now);
      return;
    case HS_WATCH_COMPACTED:
      keeper->entries_read = false;
      return;
    case HS_WATCH_PROGRESS:
    case HS_WATCH_CUT:
      return;
    }
}

static void
on_part_note (void *arg, const HsWatchNote *note)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();
  size_t i;

  switch (note->kind)
    {
    case HS_WATCH_EVENTS:
      for (i = 0; i < note->n_events; i++)
        if (!note->events[i].deleted)
          take_part (keeper, &note->events[i].kv, now);
      hs_keeper_tick (keeper, now);
      hs_core_rearm (keeper->core, now);
      return;
    case HS_WATCH_COMPACTED:
      keeper->parts_read = false;
      return;
    case HS_WATCH_PROGRESS:
    case HS_WATCH_CUT:
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
    hs_promises_peer (keeper->promises, incarnation);
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
  uint64_t epoch = (uint64_t) record->revision;
  uint64_t previous = (uint64_t) record->previous;
  bool mine = record->owner == keeper->core->incarnation;

  if (mine && keeper->confirmed && record->revision > keeper->dropped[part])
    {
      hs_owner_own (owner, 1, &part, &epoch, &previous, now);
      hs_records_owned (keeper->core, part, record->revision);
    }
  else if (!mine && hs_owner_owns (owner, part))
    {
      hs_owner_disown (owner, part, now);
      hs_records_disowned (keeper->core, part);
    }
  hs_calls_part_moved (keeper->core->calls, part, now);
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

static void
decide (HsKeeper *keeper, HsNow now)
{
  HsCore *core = keeper->core;
  uint32_t wanted[TAKE_MAX];
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
          if (!core->leaving && !hs_owner_owns (core->owner, part))
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

/*
 * A partition is taken only if its record is as seen, its owner's own record
 * is gone, and this entry's lease still stands.
 */
static void
take (HsKeeper *keeper, const uint32_t *parts, uint32_t n)
{
  HsCore *core = keeper->core;
  TALLOC_CTX *memory = talloc_new (keeper);
  HsStoreCompare compares[2 * TAKE_MAX + 1];
  HsStoreOp puts[TAKE_MAX];
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
                                              core->entry->rpc_address);
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
      keeper->take_most = TAKE_MAX;
      hs_keeper_wrote (keeper, keeper->taken, keeper->n_taken,
                       keeper->core->incarnation, reply->revision);
      return;
    }
  if (reply->status == HS_STORE_UNKNOWN)
    keeper->unsettled = true;
  /* One stale compare fails all: go on one by one, from a fresh view. */
  keeper->take_most = 1;
  keeper->parts_read = false;
  retry_later (keeper);
}

/* If the store didn't answer, the lease lapses by itself. */
static void
on_revoked (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;

  (void) reply;
  keeper->core->finished = true;
}

static void
retry_later (HsKeeper *keeper)
{
  keeper->retry_at = hs_now ().mono + RETRY_PAUSE;
}
