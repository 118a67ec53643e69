#include "direct/offers.h"

#include <string.h>

#include <glib.h>

#include "direct/room.h"

/** An offer lapses after this: several times the way there and back between
 *  data centres, and short against the run of a task. */
#define OFFER_SPAN (25 * HS_MSEC)

static bool is_live (const HsOffer *offer, HsTime now);
static hsx_room unoffered (const HsOffers *offers,
                           uint32_t but,
                           const hsx_room *free,
                           HsTime now);
static unsigned int
share (unsigned int room, unsigned int each, unsigned int n);

void
hs_offers_want (HsOffers *offers,
                uint32_t peer,
                const hsx_want *want,
                HsTime answers)
{
  HsOffer *offer = &offers->offers[peer];

  offers->n = MAX (offers->n, peer + 1);
  offer->want = *want;
  if (offer->offered != 0 && answers >= offer->offered)
    offer->offered = 0;
}

void
hs_offers_drop (HsOffers *offers, uint32_t peer)
{
  memset (&offers->offers[peer], 0, sizeof offers->offers[peer]);
}

void
hs_offers_use (HsOffers *offers, uint32_t peer, const hsx_room *needs)
{
  hs_room_take (&offers->offers[peer].room, needs);
}

hsx_room
hs_offers_room (const HsOffers *offers,
                uint32_t peer,
                const hsx_room *free,
                HsTime now)
{
  const HsOffer *offer = &offers->offers[peer];

  /* An entry that counts on its offer isn't refused. */
  if (is_live (offer, now))
    return offer->room;
  return unoffered (offers, peer, free, now);
}

uint32_t
hs_offers_next (HsOffers *offers, const hsx_room *free, HsTime now)
{
  hsx_room rest = unoffered (offers, HS_OFFERS_PEERS, free, now);
  uint32_t best = HS_OFFERS_PEERS;
  HsOffer *offer;
  uint32_t i;

  for (i = 0; i < offers->n; i++)
    {
      const HsOffer *o = &offers->offers[i];

      if (o->want.rank > 0 && !is_live (o, now)
          && hs_room_fits (&rest, &o->want.needs)
          && (best == HS_OFFERS_PEERS
              || o->want.rank > offers->offers[best].want.rank))
        best = i;
    }
  if (best == HS_OFFERS_PEERS)
    return best;
  offer = &offers->offers[best];
  offer->offered = now;
  offer->room.cpu_milli
      = share (rest.cpu_milli, offer->want.needs.cpu_milli, offer->want.tasks);
  offer->room.memory_mb
      = share (rest.memory_mb, offer->want.needs.memory_mb, offer->want.tasks);
  offer->room.accelerators = share (
      rest.accelerators, offer->want.needs.accelerators, offer->want.tasks);
  return best;
}

HsTime
hs_offers_due (const HsOffers *offers, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i;

  for (i = 0; i < offers->n; i++)
    if (is_live (&offers->offers[i], now))
      due = MIN (due, offers->offers[i].offered + OFFER_SPAN);
  return due;
}

static bool
is_live (const HsOffer *offer, HsTime now)
{
  return offer->offered != 0 && now < offer->offered + OFFER_SPAN;
}

static hsx_room
unoffered (const HsOffers *offers,
           uint32_t but,
           const hsx_room *free,
           HsTime now)
{
  hsx_room rest = *free;
  uint32_t i;

  for (i = 0; i < offers->n; i++)
    if (i != but && is_live (&offers->offers[i], now))
      hs_room_take (&rest, &offers->offers[i].room);
  return rest;
}

static unsigned int
share (unsigned int room, unsigned int each, unsigned int n)
{
  return (unsigned int) MIN ((uint64_t) room, (uint64_t) each * MAX (n, 1));
}
