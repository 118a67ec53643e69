#include "entry/lease_manager_private.h"

/** Delay after a failed call to the store. */
#define RETRY_DELAY (300 * HS_MSEC)

HsLeaseManager *
hs_lease_manager_new (HsCore *core)
{
  HsLeaseManager *manager = talloc_zero (core, HsLeaseManager);

  manager->core = core;
  manager->view
      = hs_ownership_new (manager, core->incarnation, core->entry->partitions);
  manager->released_epochs
      = talloc_zero_array (manager, int64_t, core->entry->partitions);
  manager->takeover_batch = HS_TAKEOVER_BATCH_MAX;
  manager->promises = hs_promises_new (manager);
  return manager;
}

void
hs_lease_manager_tick (HsLeaseManager *manager, HsNow now)
{
  /* A lease that has lapsed must not be extended any more. */
  hs_lease_manager_update_lease (manager, now);
  hs_lease_manager_request_promises (manager, now);
  if (now.mono < manager->retry_at)
    return;
  if (manager->state == HS_LEASE_NONE && !manager->core->finished)
    hs_lease_manager_request_lease (manager, now);
  if (manager->state == HS_LEASE_HELD && !manager->renewing
      && now.mono >= manager->renew_at)
    hs_lease_manager_renew_lease (manager, now);
  if ((manager->takeover_unknown || manager->own_record_rewrite_due)
      && manager->state == HS_LEASE_HELD && !manager->writing_own_record)
    hs_lease_manager_write_own_record (manager);
  if (!manager->reading
      && (!manager->entries_read || !manager->parts_read
          || manager->entries_reread_due))
    hs_lease_manager_read_all (manager);
  if (manager->state == HS_LEASE_HELD && manager->entries_read
      && manager->parts_read && !manager->takeover_unknown)
    hs_lease_manager_assign_parts (manager, now);
}

uint64_t
hs_lease_manager_owner_of (const HsLeaseManager *manager, uint32_t part)
{
  return hs_ownership_part_record (manager->view, part)->owner;
}

const HsOwnership *
hs_lease_manager_view (const HsLeaseManager *manager)
{
  return manager->view;
}

bool
hs_lease_manager_ready (const HsLeaseManager *manager)
{
  return manager->view_confirmed && manager->entries_read;
}

void
hs_lease_manager_retry_later (HsLeaseManager *manager)
{
  manager->retry_at = hs_now ().mono + RETRY_DELAY;
}
