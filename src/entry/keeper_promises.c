#include "entry/keeper_private.h"

static HsTime store_patience (const HsKeeper *keeper);

void
hs_keeper_ask_promises (HsKeeper *keeper, HsNow now)
{
  uint64_t peer;

  if (hs_owner_n_partitions (keeper->core->owner) == 0
      || now.mono - keeper->answered < store_patience (keeper))
    return;
  while ((peer = hs_promises_next (keeper->promises, now.mono)) != 0)
    hs_peers_ask_promise (keeper->core, peer, HS_PROMISE_SPAN, now);
}

void
hs_keeper_store_answered (HsKeeper *keeper, HsNow now)
{
  keeper->answered = now.mono;
  hs_promises_store_answered (keeper->promises, now.mono);
}

bool
hs_keeper_promise (HsKeeper *keeper, uint64_t owner, HsTime span, HsNow now)
{
  bool store_up = now.mono - keeper->answered < store_patience (keeper);
  bool settled = !keeper->taking && !keeper->unsettled && keeper->parts_read;

  /* Who asks has to be asked as well. */
  hs_promises_peer (keeper->promises, owner, now.mono);
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
  hs_promises_met (keeper->promises, peer, sent);
  /* A lease that lapsed while the answer was on its way stays lapsed. */
  hs_keeper_update_lease (keeper, now);
  if (hs_owner_n_partitions (keeper->core->owner) == 0)
    return;
  hs_promises_answered (keeper->promises, peer, promised, sent);
  hs_keeper_update_lease (keeper, now);
}

void
hs_keeper_peer_gone (HsKeeper *keeper, uint64_t peer)
{
  /* A lease that lapsed for want of its promise stays lapsed. */
  hs_keeper_update_lease (keeper, hs_now ());
  hs_promises_gone (keeper->promises, peer);
  hs_promises_forget (keeper->promises, peer, HS_NEVER);
}

/*
 * An entry is needed while it is connected or has a record. One that was
 * heard of since the records were read may have a newer record, whose watch
 * note is late or cut off; it knows that it is needed and may take over once
 * its promise is over, so it is forgotten only after another read.
 */
void
hs_keeper_peer_down (HsKeeper *keeper, uint64_t peer)
{
  if (hs_links_conn (keeper->core->links, peer) != NULL
      || hs_ownership_find_entry (keeper->view, peer) != NULL)
    return;
  /* A lease that lapsed for want of its promise stays lapsed. */
  hs_keeper_update_lease (keeper, hs_now ());
  if (!hs_promises_forget (keeper->promises, peer, keeper->entries_sent))
    {
      keeper->entries_doubted = true;
      return;
    }
  hs_links_forget (keeper->core->links, peer);
}

/* The store is taken for out of reach after this silence. */
static HsTime
store_patience (const HsKeeper *keeper)
{
  return keeper->core->entry->lease / 3;
}
