/**
 * @file
 * The credits that an entry holds for one agent.
 *
 * A start carries the latest stamp, a time of the agent's clock, that the entry
 * had received when it checked its lease. The stamp may have come with this
 * credit or with a later message; agents compare only the slot and generation.
 * Stamps older than HS_STAMP_AGE_MAX are not used, because the clocks drift
 * apart, and so does an interval that is measured on both of them.
 *
 * A lent credit is stamped with the time of lending, and the borrower may use
 * it until that stamp is HS_LOAN_LIFETIME old. Soon after it is used, the agent
 * sends the lender a GRANT that no longer lists it. If a later GRANT still
 * lists the credit, or the agent reports nothing within HS_LOAN_RECLAIM_AFTER,
 * the credit was not used and the lender reclaims it.
 */
#ifndef HS_POLICY_AGENT_CREDITS_H
#define HS_POLICY_AGENT_CREDITS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** How long a borrower may use a lent credit, by the agent's clock. */
#define HS_LOAN_LIFETIME (2 * HS_SEC)

/**
 * How long after lending a credit the lender reclaims it if the agent has not
 * reported its use. Agents report it within HS_SLOTS_LOAN_NOTICE_DELAY plus one
 * tick.
 */
#define HS_LOAN_RECLAIM_AFTER (HS_LOAN_LIFETIME + 2500 * HS_MSEC)

/** Age from which a stamp is no longer used. */
#define HS_STAMP_AGE_MAX (240 * HS_SEC)

/** The maximum drift between two clocks, in parts per million. */
#define HS_CLOCK_DRIFT_PPM 200

/** The message that delivered a credit. */
typedef enum
{
  HS_CREDIT_GRANTED,  /**< GRANT; may repeat a credit that is in use or lent. */
  HS_CREDIT_RETURNED, /**< RESULT; the slot has become free again. */
  HS_CREDIT_BORROWED  /**< BORROW reply; lent by another entry. */
} HsCreditSource;

typedef struct
{
  hsx_credit credit;
  bool is_loan;
} HsIdleCredit;

/** State of the credit that last left the pool for one slot. */
typedef struct
{
  uint32_t next_generation; /**< Earlier generations are used up. */
  bool was_lent;            /**< It left by a loan, not for a task. */
  bool is_lent;             /**< Not known to be used or reclaimed. */
  bool was_granted;         /**< The lent credit was not itself a loan. */
  int64_t lent_stamp;       /**< Stamp with which it was lent. */
  HsTime lent_at;           /**< When it was lent. */
  hsx_credit lent_credit;   /**< The credit to restore on reclaim. */
} HsCreditSlot;

/**
 * Zero-initialised when empty. The arrays are allocated with talloc; release
 * them with hs_agent_credits_free().
 */
typedef struct
{
  uint32_t n_idle;
  uint32_t n_lent;    /**< Slots whose loan has an unknown outcome. */
  HsIdleCredit *idle; /**< Newest last. */
  HsCreditSlot *slots;
  int64_t written_stamp;    /**< Latest one in a message of the agent. */
  int64_t latest_stamp;     /**< Latest time of the agent's clock received. */
  HsTime stamp_received_at; /**< Local time at which the stamp arrived. */
  int64_t clock_offset; /**< Highest agent minus local clock, this window. */
  int64_t previous_clock_offset; /**< The same, previous window. */
  HsTime clock_window_end;
} HsAgentCredits;

/** Frees the arrays and empties @p a. */
void hs_agent_credits_free (HsAgentCredits *a);

/**
 * Replaces all idle credits except borrowed ones. If a message that the agent
 * has written later arrived before, the credits are only added.
 * @param ctx owner of the arrays of @p a
 */
void hs_agent_credits_grant (TALLOC_CTX *ctx,
                             HsAgentCredits *a,
                             uint32_t n,
                             const hsx_credit *credits,
                             HsTime now);

/**
 * Adds an idle credit, in place of an older one of the same slot.
 * @return false if the credit is invalid or used up, or a newer one is held
 */
bool hs_agent_credits_add (TALLOC_CTX *ctx,
                           HsAgentCredits *a,
                           const hsx_credit *credit,
                           HsCreditSource source,
                           HsTime now);

/**
 * Returns whether the newest credit can be used, that is, whether the agent
 * would still accept it. Drops expired loans, and all idle credits if the
 * latest stamp is too old.
 * @param lease_left how long the entry's lease is certain to last
 */
bool
hs_agent_credits_has_usable (HsAgentCredits *a, HsTime now, HsTime lease_left);

/** Returns whether the newest idle credit is borrowed. */
bool hs_agent_credits_newest_is_loan (const HsAgentCredits *a);

/** Removes the newest idle credit, to be used for a start. */
hsx_credit hs_agent_credits_pop (HsAgentCredits *a);

/** Removes the newest idle credit, to be lent to another entry. */
hsx_credit hs_agent_credits_lend (HsAgentCredits *a, HsTime now);

/**
 * Reclaims the loans that were lent at least HS_LOAN_RECLAIM_AFTER ago.
 * @return whether any credit became idle again
 */
bool hs_agent_credits_reclaim_loans (HsAgentCredits *a, HsTime now);

#endif
