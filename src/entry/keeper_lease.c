#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "entry/keeper_private.h"

#define PART "keeper"

/** The lease is taken for lapsed this much before the store may. */
#define LEASE_MARGIN_PERCENT 10

static void on_granted (void *arg, const HsStoreReply *reply);
static void on_recorded (void *arg, const HsStoreReply *reply);
static void on_renewed (void *arg, const HsStoreReply *reply);
static void extend (HsKeeper *keeper, HsTime sent, int64_t ttl_s);
static void lose_lease (HsKeeper *keeper, HsNow now);
static void on_revoked (void *arg, const HsStoreReply *reply);

void
hs_keeper_update_lease (HsKeeper *keeper, HsNow now)
{
  HsTime until = hs_keeper_lease_until (keeper);

  if (now.mono >= until)
    lose_lease (keeper, now);
  hs_owner_set_lease (keeper->core->owner, now.mono < until ? until : 0);
}

HsTime
hs_keeper_lease_until (const HsKeeper *keeper)
{
  HsTime extended = hs_promises_extended (keeper->promises);

  return keeper->confirmed ? MAX (keeper->lease_until, extended) : extended;
}

void
hs_keeper_leave (HsKeeper *keeper)
{
  if (keeper->state == HS_KEEPER_HOLDING)
    hs_keeper_write_record (keeper);
}

void
hs_keeper_revoke (HsKeeper *keeper)
{
  if (keeper->state == HS_KEEPER_HOLDING)
    hs_store_lease_revoke (keeper->core->store, keeper->lease, on_revoked,
                           keeper);
  else
    keeper->core->finished = true;
}

void
hs_keeper_grant (HsKeeper *keeper, HsNow now)
{
  keeper->state = HS_KEEPER_GRANTING;
  keeper->call_sent = now.mono;
  hs_store_lease_grant (keeper->core->store,
                        keeper->core->entry->lease / HS_SEC, on_granted,
                        keeper);
}

void
hs_keeper_write_record (HsKeeper *keeper)
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

void
hs_keeper_renew (HsKeeper *keeper, HsNow now)
{
  keeper->renewing = true;
  keeper->call_sent = now.mono;
  hs_store_lease_keepalive (keeper->core->store, keeper->lease, on_renewed,
                            keeper);
}

static void
on_granted (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;

  if (reply->status != HS_STORE_OK || reply->lease == 0)
    {
      keeper->state = HS_KEEPER_NO_LEASE;
      hs_keeper_retry_later (keeper);
      return;
    }
  keeper->lease = reply->lease;
  keeper->confirmed = false;
  extend (keeper, keeper->call_sent, reply->ttl_s);
  hs_keeper_write_record (keeper);
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
      if (keeper->state == HS_KEEPER_GRANTING)
        keeper->state = HS_KEEPER_NO_LEASE;
      keeper->rewrite = true;
      hs_keeper_retry_later (keeper);
      return;
    }
  /* A transaction of before compares the record's old revision. */
  keeper->record_revision = reply->revision;
  if (keeper->unsettled)
    hs_keeper_reread (keeper);
  keeper->unsettled = false;
  keeper->rewrite = false;
  if (keeper->state != HS_KEEPER_GRANTING)
    return;
  keeper->state = HS_KEEPER_HOLDING;
  keeper->renew_at = now.mono;
  hs_promises_unknown_to_all (keeper->promises, now.mono);
  hs_peers_greet_all (keeper->core);
  /* What others took meanwhile must be known before anything is owned. */
  keeper->parts_read = false;
  keeper->entries_read = false;
  hs_info (PART, "lease %" PRId64 " held", keeper->lease);
  hs_keeper_tick (keeper, now);
}

static void
on_renewed (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;
  HsNow now = hs_now ();

  keeper->renewing = false;
  if (keeper->state != HS_KEEPER_HOLDING)
    return;
  if (reply->status != HS_STORE_OK)
    {
      hs_keeper_retry_later (keeper);
      return;
    }
  if (reply->ttl_s <= 0)
    {
      /* It lapsed in an outage: a new one is due while promises hold. */
      hs_warn (PART, "lease lapsed at the store; asking for a new one");
      keeper->state = HS_KEEPER_NO_LEASE;
      keeper->confirmed = false;
      hs_keeper_update_lease (keeper, now);
      hs_keeper_tick (keeper, now);
      return;
    }
  extend (keeper, keeper->call_sent, reply->ttl_s);
  if (keeper->confirmed)
    hs_keeper_store_answered (keeper, now);
  hs_keeper_update_lease (keeper, now);
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

  if (hs_owner_n_partitions (keeper->core->owner) == 0)
    return;
  hs_warn (PART, "lease lost; partitions given up until the store answers");
  for (part = 0; part < keeper->core->entry->partitions; part++)
    {
      if (!hs_owner_owns (keeper->core->owner, part))
        continue;
      keeper->dropped[part]
          = hs_ownership_record (keeper->view, part)->revision;
      hs_owner_release (keeper->core->owner, part, now);
      hs_records_disowned (keeper->core, part);
    }
}

/* If the store didn't answer, the lease lapses by itself. */
static void
on_revoked (void *arg, const HsStoreReply *reply)
{
  HsKeeper *keeper = arg;

  (void) reply;
  keeper->core->finished = true;
}
