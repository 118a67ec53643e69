/**
 * @file
 * Shares a target's free resources out among entries with waiting tasks.
 *
 * Load pattern: demand above capacity, so that every entry wants each piece of
 * resources as soon as it becomes free. The entry whose backlog has the highest
 * priority is offered it alone, for as long as an answer takes; then the next.
 * If it were announced to all entries, all would request it, and all but one
 * would be refused.
 */
#ifndef HS_DIRECT_OFFERS_H
#define HS_DIRECT_OFFERS_H

#include <stdbool.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Maximum number of entries known at once; more than the largest deployment
 *  has. */
#define HS_OFFERS_ENTRIES_MAX 128

typedef struct
{
  hsx_want backlog;   /**< Rank 0: no task waits; a higher rank goes first. */
  hsx_room resources; /**< Offered and not used yet. */
  HsTime offered_at;  /**< 0: no offer. */
} HsOffer;

/** Zeroed memory is a table without offers. */
typedef struct
{
  HsOffer offers[HS_OFFERS_ENTRIES_MAX];
  uint32_t n_entries; /**< One above the highest entry that sent its backlog. */
} HsOffers;

/**
 * Records an entry's backlog as its orders state it.
 * @param report_time when this agent, by its own clock, sent the newest report
 *        that the entry had received when it sent the orders. An offer made no
 *        later than this counts as answered
 */
void hs_offers_set_backlog (HsOffers *offers,
                            uint32_t entry,
                            const hsx_want *backlog,
                            HsTime report_time);

/** Removes an entry with its backlog and offer. */
void hs_offers_remove_entry (HsOffers *offers, uint32_t entry);

/** Subtracts the needs of a launch from the entry's offer. */
void
hs_offers_consume (HsOffers *offers, uint32_t entry, const hsx_room *needs);

/** The part of @p free that an entry may use: its own offer if it has one, else
 *  all that isn't offered to others. */
hsx_room hs_offers_available (const HsOffers *offers,
                              uint32_t entry,
                              const hsx_room *free,
                              HsTime now);

/**
 * Offers resources that aren't offered yet to the entry with the highest
 * priority among those without an offer: the rank of its best job, times the
 * fourth root of the number of its waiting tasks, at most 4. To be called until
 * it returns HS_OFFERS_ENTRIES_MAX.
 * @return the entry, to which the offer has to be sent at once
 */
uint32_t
hs_offers_make_next (HsOffers *offers, const hsx_room *free, HsTime now);

/** When the next offer expires, or HS_NEVER. */
HsTime hs_offers_next_expiry (const HsOffers *offers, HsTime now);

#endif
