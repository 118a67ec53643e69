/**
 * @file
 * How an owner goes on while the store can't be reached: on the promises of
 * all other entries not to take its partitions. Pure: no sockets, no clock.
 *
 * An owner's lease may be extended to the earliest end of the promises of
 * every entry that it knows. An entry that can reach the store promises
 * nothing, so that only an outage for all of them extends a lease. An entry
 * may take partitions of an owner only if that owner knew it, and so needed
 * its promise; or if the owner's process is gone; or after the longest
 * extension.
 */
#ifndef HS_ENTRY_PROMISES_H
#define HS_ENTRY_PROMISES_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** What one promise spans, counted at its giver from its receipt. */
#define HS_PROMISE_DURATION (3 * HS_SEC)

/** The same at its taker, from before the call was sent, less clock drift. */
#define HS_PROMISE_HOLDER_DURATION (2700 * HS_MSEC)

/** Pause between two calls to the same entry. */
#define HS_PROMISE_REQUEST_INTERVAL (500 * HS_MSEC)

/** An outage is bridged for so long at most. */
#define HS_PROMISE_OUTAGE_MAX (600 * HS_SEC)

typedef struct HsPromises HsPromises;

HsPromises *hs_promises_new (TALLOC_CTX *ctx);

/** @name As the owner @{ */

/**
 * An entry is known, by its record or by a call: nothing is extended without
 * its promise from now on, and its record is no longer counted as missed.
 */
void hs_promises_add_peer (HsPromises *promises, uint64_t peer, HsTime now);

/**
 * An entry is gone.
 * @param read_at when a read of the store began that found no record of it;
 *        HS_NEVER: its process is gone for certain
 * @return false, and it is still needed, if it was known since: its record
 *         may be newer than that read
 */
bool
hs_promises_remove_peer (HsPromises *promises, uint64_t peer, HsTime read_at);

/** The next entry needed after @p after (0 to begin); 0 at the end. */
uint64_t hs_promises_next_required (const HsPromises *promises, uint64_t after);

/**
 * The store has answered: the outage, if there was one, is over and no
 * promise is needed.
 */
void hs_promises_store_answered (HsPromises *promises, HsTime now);

/**
 * The next entry to ask; 0: none now. Call until it returns 0.
 */
uint64_t hs_promises_next_request (HsPromises *promises, HsTime now);

/** An answer to a question sent at @p sent. */
void hs_promises_handle_reply (HsPromises *promises,
                               uint64_t peer,
                               bool promised,
                               HsTime sent);

/**
 * Until when the lease is extended; 0 if it isn't. At most
 * HS_PROMISE_OUTAGE_MAX after the store last answered.
 */
HsTime hs_promises_extended_until (const HsPromises *promises);

/** @} */
/** @name As another entry @{ */

/**
 * Decides whether to promise @p owner not to take its partitions.
 * @param store_up the store has answered here lately
 * @param no_takeover_pending no attempt to take partitions is undecided
 */
bool hs_promises_give (HsPromises *promises,
                       uint64_t owner,
                       HsTime duration,
                       bool store_up,
                       bool no_takeover_pending,
                       HsTime now);

/**
 * Notes that the owner answered a call sent at @p sent, so that it knows this
 * entry, unless its record was written anew since.
 */
void
hs_promises_set_known_to (HsPromises *promises, uint64_t owner, HsTime sent);

/** Notes that the owner's process is gone for certain. */
void hs_promises_set_terminated (HsPromises *promises, uint64_t owner);

/** Whether hs_promises_set_terminated() was told of it. */
bool hs_promises_is_terminated (const HsPromises *promises, uint64_t owner);

/**
 * After this entry's own record was written anew, owners may not know it, and
 * what it missed before counts no longer: an owner may have come back and
 * have gone on since, without this entry.
 */
void hs_promises_own_record_written (HsPromises *promises, HsTime now);

/**
 * Decides whether the partitions of an owner whose record is gone may be
 * taken now. Not while a promise to any other live entry stands: the record
 * of the partition may name one who took it from that entry and died.
 */
bool
hs_promises_may_take_over (HsPromises *promises, uint64_t owner, HsTime now);

/** @} */

#endif
