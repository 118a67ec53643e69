/**
 * @file
 * Lending of credits between entries on demand. An entry that lacks credits
 * asks one peer after another. The peer holds the request until it can lend (a
 * long poll), so that saturated entries exchange almost no messages. While
 * tasks wait at both entries, the credits that each holds approach its share by
 * weight.
 *
 * In each iteration of the event loop, first add the credits that arrived, then
 * answer with hs_loans_next_reply(), then start the entry's own tasks, and then
 * ask with hs_loans_next_request().
 */
#ifndef HS_POLICY_LOANS_H
#define HS_POLICY_LOANS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Maximum time for which a request is held; calls need a longer time-out. */
#define HS_LOANS_HOLD_MAX (1 * HS_SEC)

typedef struct HsLoans HsLoans;

/** The demand for credits and the credits held by this entry at present. */
typedef struct
{
  uint32_t queued; /**< Tasks that lack only a credit. */
  uint32_t weight; /**< Sum of the weights of their customers. */
  uint32_t idle;   /**< Idle credits. */
  uint32_t in_use; /**< Credits in use. */
} HsCreditDemand;

/** @param seed seed of the random generator for ties and the backoff jitter */
HsLoans *hs_loans_new (TALLOC_CTX *ctx, uint64_t seed);

/**
 * Adds a peer.
 * @param peer a small integer handle, an index of the caller's table
 */
void hs_loans_add_peer (HsLoans *loans, uint32_t peer);

/** Removes a peer and its open request. */
void hs_loans_remove_peer (HsLoans *loans, uint32_t peer);

/**
 * Decides whether to ask a peer now. To be called until it returns false.
 * @param demand the demand of this entry
 * @param peer set to the peer to ask
 * @param args set to the arguments of the BORROW call
 */
bool hs_loans_next_request (HsLoans *loans,
                            const HsCreditDemand *demand,
                            HsTime now,
                            uint32_t *peer,
                            hsx_borrow_args *args);

/**
 * Handles the reply of a peer to a request.
 * @param n credits that it lent; 0 also if the call failed
 * @param idle idle credits that it has left; 0 if the call failed
 */
void hs_loans_reply_received (HsLoans *loans,
                              uint32_t peer,
                              uint32_t n,
                              uint32_t idle,
                              HsTime now);

/**
 * Returns when hs_loans_next_request() may return a request if tasks still lack
 * credits and nothing else happens before; HS_NEVER while the limit of open
 * requests is reached, or credits are expected from one.
 */
HsTime hs_loans_next_request_at (const HsLoans *loans);

/**
 * Handles a request of a peer. hs_loans_next_reply() decides when and how to
 * answer it.
 */
void hs_loans_request_received (HsLoans *loans,
                                uint32_t peer,
                                const hsx_borrow_args *args,
                                HsTime now);

/**
 * Decides whether to answer a peer now. To be called until it returns false,
 * with @p demand updated each time.
 * @param n set to the number of credits to lend; 0: the request was held for
 *        the maximum time
 */
bool hs_loans_next_reply (HsLoans *loans,
                          const HsCreditDemand *demand,
                          HsTime now,
                          uint32_t *peer,
                          uint32_t *n);

/**
 * Returns when the next held request must be checked; HS_NEVER if none is held.
 */
HsTime hs_loans_next_reply_at (const HsLoans *loans);

#endif
