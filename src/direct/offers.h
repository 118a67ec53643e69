/**
 * @file
 * Shares a target's free room out among entries with waiting work.
 *
 * Load pattern: demand above the room there is, so that each piece that comes
 * free is wanted by every entry at once. The entry whose waiting work ranks
 * highest is offered it alone, for as long as an answer takes; then the next.
 * Told to all, a piece would be asked for by all, and all but one be refused.
 */
#ifndef HS_DIRECT_OFFERS_H
#define HS_DIRECT_OFFERS_H

#include <stdbool.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Entries at once; more than the largest deployment has. */
#define HS_OFFERS_PEERS_MAX 128

typedef struct
{
  hsx_want backlog;   /**< Rank 0: nothing waits. */
  hsx_room resources; /**< Offered, and not used yet. */
  HsTime offered_at;  /**< When; 0: no offer. */
} HsOffer;

/** Zeroed memory is a table without offers. */
typedef struct
{
  HsOffer offers[HS_OFFERS_PEERS_MAX];
  uint32_t n_peers; /**< One above the highest peer heard of. */
} HsOffers;

/**
 * Notes what an entry says in its orders.
 * @param report_time of which report: an offer made by then is answered
 */
void hs_offers_set_backlog (HsOffers *offers,
                            uint32_t peer,
                            const hsx_want *backlog,
                            HsTime report_time);

/** Forgets an entry. */
void hs_offers_remove_peer (HsOffers *offers, uint32_t peer);

/** Takes a launch off the entry's offer. */
void hs_offers_consume (HsOffers *offers, uint32_t peer, const hsx_room *needs);

/** What of @p free an entry may have: all but what others are offered. */
hsx_room hs_offers_available (const HsOffers *offers,
                              uint32_t peer,
                              const hsx_room *free,
                              HsTime now);

/**
 * Offers room that isn't offered yet to the entry that ranks highest among
 * those without an offer; call until it returns HS_OFFERS_PEERS_MAX.
 * @return the entry, which is to be told at once
 */
uint32_t
hs_offers_make_next (HsOffers *offers, const hsx_room *free, HsTime now);

/** When the next offer lapses, or HS_NEVER. */
HsTime hs_offers_next_expiry (const HsOffers *offers, HsTime now);

#endif
