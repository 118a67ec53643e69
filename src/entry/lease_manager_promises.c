#include "entry/lease_manager_private.h"

static HsTime store_timeout (const HsLeaseManager *manager);

void
hs_lease_manager_request_promises (HsLeaseManager *manager, HsNow now)
{
  uint64_t peer;

  if (hs_owner_n_partitions (manager->core->owner) == 0
      || now.mono - manager->store_answered_at < store_timeout (manager))
    return;
  while ((peer = hs_promises_next_request (manager->promises, now.mono)) != 0)
    hs_peers_request_promise (manager->core, peer, HS_PROMISE_DURATION, now);
}

void
hs_lease_manager_store_answered (HsLeaseManager *manager, HsNow now)
{
  manager->store_answered_at = now.mono;
  hs_promises_store_answered (manager->promises, now.mono);
}

bool
hs_lease_manager_give_promise (HsLeaseManager *manager,
                               uint64_t owner,
                               HsTime duration,
                               HsNow now)
{
  bool store_up
      = now.mono - manager->store_answered_at < store_timeout (manager);
  bool no_takeover_pending = !manager->takeover_in_flight
                             && !manager->takeover_unknown
                             && manager->parts_read;

  /* An entry that requests promises is known, so its promise is required. */
  hs_promises_add_peer (manager->promises, owner, now.mono);
  return hs_promises_give (manager->promises, owner, duration, store_up,
                           no_takeover_pending, now.mono);
}

void
hs_lease_manager_promise_reply (HsLeaseManager *manager,
                                uint64_t peer,
                                bool promised,
                                HsTime sent,
                                HsNow now)
{
  hs_promises_set_known_to (manager->promises, peer, sent);
  /* A lease that lapsed before this reply arrived stays lapsed. */
  hs_lease_manager_update_lease (manager, now);
  if (hs_owner_n_partitions (manager->core->owner) == 0)
    return;
  hs_promises_handle_reply (manager->promises, peer, promised, sent);
  hs_lease_manager_update_lease (manager, now);
}

void
hs_lease_manager_peer_terminated (HsLeaseManager *manager, uint64_t peer)
{
  /* If the lease has lapsed for lack of that peer's promise it must not be
     extended now that the promise is no longer required. */
  hs_lease_manager_update_lease (manager, hs_now ());
  hs_promises_set_terminated (manager->promises, peer);
  hs_promises_remove_peer (manager->promises, peer, HS_NEVER);
}

/*
 * An entry's promise is required while it is connected or has a record. An
 * entry that became known after the records were read may have a newer record
 * whose watch event is delayed or lost. It knows that its promise is required
 * and may take over when its promise ends, so it is released only after the
 * records were read again.
 */
void
hs_lease_manager_peer_down (HsLeaseManager *manager, uint64_t peer)
{
  if (hs_links_conn (manager->core->links, peer) != NULL
      || hs_ownership_find_entry (manager->view, peer) != NULL)
    return;
  /* If the lease has lapsed for lack of that peer's promise it must not be
     extended now that the promise is no longer required. */
  hs_lease_manager_update_lease (manager, hs_now ());
  if (!hs_promises_remove_peer (manager->promises, peer,
                                manager->entries_read_started_at))
    {
      manager->entries_reread_due = true;
      return;
    }
  hs_links_release (manager->core->links, peer);
}

/* The store counts as unreachable if it hasn't answered for so long. */
static HsTime
store_timeout (const HsLeaseManager *manager)
{
  return manager->core->entry->lease / 3;
}
