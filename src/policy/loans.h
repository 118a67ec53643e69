/**
 * @file
 * Credits move between entries on demand. An entry that runs short asks one
 * peer after the other; the asked one keeps the question until it can lend
 * (a long poll), so that saturated entries exchange almost nothing. While
 * both have tasks waiting, holdings tend to shares by weight.
 *
 * In a turn of the loop: add what came in, answer by hs_loans_next_reply(),
 * start own tasks, then ask by hs_loans_next_request().
 */
#ifndef HS_POLICY_LOANS_H
#define HS_POLICY_LOANS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Bound on how long a question is kept; calls need a longer time-out. */
#define HS_LOANS_HOLD_MAX (1 * HS_SEC)

typedef struct HsLoans HsLoans;

/** What this entry has and needs at present. */
typedef struct
{
  uint32_t queued; /**< Tasks that lack nothing but a credit. */
  uint32_t weight; /**< Sum of the weights of their customers. */
  uint32_t idle;   /**< Credits. */
  uint32_t in_use; /**< Credits. */
} HsCreditDemand;

/** @param seed of the jitter on asking again */
HsLoans *hs_loans_new (TALLOC_CTX *ctx, uint64_t seed);

/** Adds a peer, by a small handle of the caller's table. */
void hs_loans_add_peer (HsLoans *loans, uint32_t peer);

/** Forgets a peer and what it asked. */
void hs_loans_remove_peer (HsLoans *loans, uint32_t peer);

/**
 * Decides whether to ask a peer now. Call again until it returns false.
 * @param args what to send it by BORROW
 */
bool hs_loans_next_request (HsLoans *loans,
                            const HsCreditDemand *mine,
                            HsTime now,
                            uint32_t *peer,
                            hsx_borrow_args *args);

/** The peer has lent @p n and keeps @p idle; or failed to answer: 0, 0. */
void hs_loans_reply_received (HsLoans *loans,
                              uint32_t peer,
                              uint32_t n,
                              uint32_t idle,
                              HsTime now);

/**
 * When hs_loans_next_request() may ask, if tasks still lack credits and nothing
 * else happens before; HS_NEVER while an answer is awaited that may be enough.
 */
HsTime hs_loans_next_request_at (const HsLoans *loans);

/** A peer asks; hs_loans_next_reply() tells when and how to answer. */
void hs_loans_request_received (HsLoans *loans,
                                uint32_t peer,
                                const hsx_borrow_args *args,
                                HsTime now);

/**
 * Decides whether to answer a peer now. Call again until it returns false,
 * with @p mine brought up to date.
 * @param n credits to lend; 0: the question has been kept long enough
 */
bool hs_loans_next_reply (HsLoans *loans,
                          const HsCreditDemand *mine,
                          HsTime now,
                          uint32_t *peer,
                          uint32_t *n);

/** When the next kept question must be answered; HS_NEVER if none. */
HsTime hs_loans_next_reply_at (const HsLoans *loans);

#endif
