#include "entry/keeper_private.h"

/** Pause after a failed call to the store. */
#define RETRY_PAUSE (300 * HS_MSEC)

HsKeeper *
hs_keeper_new (HsCore *core)
{
  HsKeeper *keeper = talloc_zero (core, HsKeeper);

  keeper->core = core;
  keeper->view
      = hs_ownership_new (keeper, core->incarnation, core->entry->partitions);
  keeper->dropped
      = talloc_zero_array (keeper, int64_t, core->entry->partitions);
  keeper->take_most = HS_KEEPER_TAKE_MAX;
  keeper->promises = hs_promises_new (keeper);
  return keeper;
}

void
hs_keeper_tick (HsKeeper *keeper, HsNow now)
{
  /* Only a lease that still stands is extended. */
  hs_keeper_update_lease (keeper, now);
  hs_keeper_ask_promises (keeper, now);
  if (now.mono < keeper->retry_at)
    return;
  if (keeper->state == HS_KEEPER_NO_LEASE && !keeper->core->finished)
    hs_keeper_grant (keeper, now);
  if (keeper->state == HS_KEEPER_HOLDING && !keeper->renewing
      && now.mono >= keeper->renew_at)
    hs_keeper_renew (keeper, now);
  if ((keeper->unsettled || keeper->rewrite)
      && keeper->state == HS_KEEPER_HOLDING && !keeper->recording)
    hs_keeper_write_record (keeper);
  if (!keeper->reading
      && (!keeper->entries_read || !keeper->parts_read
          || keeper->entries_doubted))
    hs_keeper_read_all (keeper);
  if (keeper->state == HS_KEEPER_HOLDING && keeper->entries_read
      && keeper->parts_read && !keeper->unsettled)
    hs_keeper_decide (keeper, now);
}

uint64_t
hs_keeper_owner_of (const HsKeeper *keeper, uint32_t part)
{
  return hs_ownership_record (keeper->view, part)->owner;
}

const HsOwnership *
hs_keeper_view (const HsKeeper *keeper)
{
  return keeper->view;
}

bool
hs_keeper_ready (const HsKeeper *keeper)
{
  return keeper->confirmed && keeper->entries_read;
}

void
hs_keeper_retry_later (HsKeeper *keeper)
{
  keeper->retry_at = hs_now ().mono + RETRY_PAUSE;
}
