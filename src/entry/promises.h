/**
 * @file
 * Lets an owner continue while the store is unreachable: the other entries
 * promise for a short time not to take over its partitions. No sockets, no
 * clock.
 *
 * An owner needs a promise of every entry that it knows; its lease is extended
 * until the first of these promises ends. An entry that can reach the store
 * gives no promise, so a lease is extended only if all of them are cut off
 * from the store.
 *
 * An entry may take over an owner's partitions only if the owner knew this
 * entry, and so required its promise; or if the owner's process has
 * terminated; or once the longest possible extension is over.
 */
#ifndef HS_ENTRY_PROMISES_H
#define HS_ENTRY_PROMISES_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** Length of a promise for its giver, counted from receipt of the request. */
#define HS_PROMISE_DURATION (3 * HS_SEC)

/**
 * Length of a promise for the owner that holds it, counted from before the
 * request was sent. Shorter than for the giver, to allow for clock drift.
 */
#define HS_PROMISE_HOLDER_DURATION (2700 * HS_MSEC)

/** Interval between promise requests to the same entry. */
#define HS_PROMISE_REQUEST_INTERVAL (500 * HS_MSEC)

/** Longest outage of the store during which a lease is extended. */
#define HS_PROMISE_OUTAGE_MAX (600 * HS_SEC)

typedef struct HsPromises HsPromises;

HsPromises *hs_promises_new (TALLOC_CTX *ctx);

/** @name The owner that requests promises @{ */

/**
 * An entry is known, by its record or by a call: from now on its promise is
 * required for an extension, and the time for which its record has been absent
 * is reset.
 */
void hs_promises_add_peer (HsPromises *promises, uint64_t peer, HsTime now);

/**
 * Stops requiring the promise of an entry that is lost.
 * @param read_at when a read of the store began that found no record of it;
 *        HS_NEVER: its process is known to have terminated
 * @return false, and its promise stays required, if hs_promises_add_peer() was
 *         called for it since: its record may be newer than that read
 */
bool
hs_promises_remove_peer (HsPromises *promises, uint64_t peer, HsTime read_at);

/**
 * Iterates over the entries whose promise is required.
 * @param after the one returned last; 0: return the first one
 * @return 0 at the end
 */
uint64_t hs_promises_next_required (const HsPromises *promises, uint64_t after);

/** The store has answered: discards the promises, as the outage is over. */
void hs_promises_store_answered (HsPromises *promises, HsTime now);

/**
 * The next entry to request a promise from, which then counts as asked. To be
 * called until it returns 0.
 */
uint64_t hs_promises_next_request (HsPromises *promises, HsTime now);

/** Handles the reply to a request that was sent at @p sent. */
void hs_promises_handle_reply (HsPromises *promises,
                               uint64_t peer,
                               bool promised,
                               HsTime sent);

/**
 * Until when the lease is extended, at most HS_PROMISE_OUTAGE_MAX after the
 * store last answered; 0 if it isn't extended.
 */
HsTime hs_promises_extended_until (const HsPromises *promises);

/** @} */
/** @name The entry that gives promises @{ */

/**
 * Decides whether to promise @p owner not to take over its partitions.
 * @param duration of the promise; HS_PROMISE_DURATION at most
 * @param store_up the store has answered this entry recently
 * @param no_takeover_pending no takeover is in flight or has an unknown outcome
 * @return whether the promise is given
 */
bool hs_promises_give (HsPromises *promises,
                       uint64_t owner,
                       HsTime duration,
                       bool store_up,
                       bool no_takeover_pending,
                       HsTime now);

/**
 * The owner has answered a call sent at @p sent. It therefore knows this
 * entry, unless this entry has written its own record again since.
 */
void
hs_promises_set_known_to (HsPromises *promises, uint64_t owner, HsTime sent);

/** The owner's process is known to have terminated. */
void hs_promises_set_terminated (HsPromises *promises, uint64_t owner);

/** Whether hs_promises_set_terminated() was called for it. */
bool hs_promises_is_terminated (const HsPromises *promises, uint64_t owner);

/**
 * This entry's own record was written after a lease was granted. Owners may
 * not know this entry any more, and the time for which their records have been
 * absent is measured anew: an owner may have returned and continued in the
 * meantime without this entry's promise.
 */
void hs_promises_own_record_written (HsPromises *promises, HsTime now);

/**
 * Decides whether the partitions of an owner without a record may be taken
 * over now. They may not while a promise to any live entry holds: the owner
 * that the partition's record names may have taken the partition over from
 * that entry, and then died.
 */
bool
hs_promises_may_take_over (HsPromises *promises, uint64_t owner, HsTime now);

/** @} */

#endif
