#include "direct/offers.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "direct/resources.h"

/** An offer expires after this: several round trips between data centres, and
 *  short compared with the run time of a task. */
#define OFFER_TTL (25 * HS_MSEC)

/** Number of waiting tasks above which a longer queue adds no priority: it
 *  counts at most four times as much as a single task, so that a calm entry
 *  isn't starved. */
#define PRIORITY_TASKS_MAX 256

static bool is_active (const HsOffer *offer, HsTime now);
static double priority (const hsx_want *backlog);
static hsx_room unreserved (const HsOffers *offers,
                            uint32_t except_entry,
                            const hsx_room *free,
                            HsTime now);
static unsigned int
capped (unsigned int available, unsigned int each, unsigned int n);

void
hs_offers_set_backlog (HsOffers *offers,
                       uint32_t entry,
                       const hsx_want *backlog,
                       HsTime report_time)
{
  HsOffer *offer = &offers->offers[entry];

  offers->n_entries = MAX (offers->n_entries, entry + 1);
  offer->backlog = *backlog;
  if (offer->offered_at != 0 && report_time >= offer->offered_at)
    offer->offered_at = 0;
}

void
hs_offers_remove_entry (HsOffers *offers, uint32_t entry)
{
  memset (&offers->offers[entry], 0, sizeof offers->offers[entry]);
}

void
hs_offers_consume (HsOffers *offers, uint32_t entry, const hsx_room *needs)
{
  hs_resources_subtract (&offers->offers[entry].resources, needs);
}

hsx_room
hs_offers_available (const HsOffers *offers,
                     uint32_t entry,
                     const hsx_room *free,
                     HsTime now)
{
  const HsOffer *offer = &offers->offers[entry];

  /* The launches that an entry sends in answer to its offer aren't refused,
     unless the target's capacity has shrunk since. */
  if (is_active (offer, now))
    return hs_resources_min (&offer->resources, free);
  return unreserved (offers, entry, free, now);
}

uint32_t
hs_offers_make_next (HsOffers *offers, const hsx_room *free, HsTime now)
{
  hsx_room remaining = unreserved (offers, HS_OFFERS_ENTRIES_MAX, free, now);
  uint32_t best = HS_OFFERS_ENTRIES_MAX;
  double best_priority = 0;
  HsOffer *offer;
  uint32_t i;

  for (i = 0; i < offers->n_entries; i++)
    {
      const HsOffer *o = &offers->offers[i];

      if (o->backlog.rank == 0 || is_active (o, now)
          || !hs_resources_fit (&remaining, &o->backlog.needs)
          || priority (&o->backlog) <= best_priority)
        continue;
      best = i;
      best_priority = priority (&o->backlog);
    }
  if (best == HS_OFFERS_ENTRIES_MAX)
    return best;
  offer = &offers->offers[best];
  offer->offered_at = now;
  offer->resources.cpu_milli
      = capped (remaining.cpu_milli, offer->backlog.needs.cpu_milli,
                offer->backlog.tasks);
  offer->resources.memory_mb
      = capped (remaining.memory_mb, offer->backlog.needs.memory_mb,
                offer->backlog.tasks);
  offer->resources.accelerators
      = capped (remaining.accelerators, offer->backlog.needs.accelerators,
                offer->backlog.tasks);
  return best;
}

HsTime
hs_offers_next_expiry (const HsOffers *offers, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i;

  for (i = 0; i < offers->n_entries; i++)
    if (is_active (&offers->offers[i], now))
      due = MIN (due, offers->offers[i].offered_at + OFFER_TTL);
  return due;
}

static bool
is_active (const HsOffer *offer, HsTime now)
{
  return offer->offered_at != 0 && now < offer->offered_at + OFFER_TTL;
}

/* The rank of an entry's best job, raised with the number of waiting tasks: the
   rank alone doesn't tell how much work stands behind it, and an entry has only
   one offer of an agent at a time. The fourth root serves busy and calm entries
   equally often (docs/design/sharing.md). */
static double
priority (const hsx_want *backlog)
{
  double tasks = CLAMP (backlog->tasks, 1, PRIORITY_TASKS_MAX);

  return (double) backlog->rank * sqrt (sqrt (tasks));
}

static hsx_room
unreserved (const HsOffers *offers,
            uint32_t except_entry,
            const hsx_room *free,
            HsTime now)
{
  hsx_room remaining = *free;
  uint32_t i;

  for (i = 0; i < offers->n_entries; i++)
    if (i != except_entry && is_active (&offers->offers[i], now))
      hs_resources_subtract (&remaining, &offers->offers[i].resources);
  return remaining;
}

static unsigned int
capped (unsigned int available, unsigned int each, unsigned int n)
{
  return (unsigned int) MIN ((uint64_t) available,
                             (uint64_t) each * MAX (n, 1));
}
