/**
 * @file
 * The credits that an entry holds of one agent.
 *
 * A start echoes the freshest time of the agent's clock that the entry had
 * received when it checked its lease, be it from this credit or a later
 * message; agents compare slot and generation only. No stamp older than
 * HS_STAMP_AGE_MAX is used: clocks drift, and so does a span that is counted
 * on two of them.
 *
 * A lent credit may be used by the borrower until its stamp is HS_LOAN_LIFE
 * old; it gets the stamp of the moment of lending. The agent tells the lender
 * by a GRANT without it soon after it was used. One that a later GRANT still
 * has, or of which the agent says nothing until HS_LOAN_RETURN, wasn't used,
 * and the lender takes it back.
 */
#ifndef HS_POLICY_AGENT_CREDITS_H
#define HS_POLICY_AGENT_CREDITS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** How long a lent credit can be used, by the agent's clock. */
#define HS_LOAN_LIFE (2 * HS_SEC)

/** When the lender takes back a loan of which it has heard nothing. Agents
 *  report the use of one within HS_SLOTS_LOAN_NOTICE_DELAY and a tick. */
#define HS_LOAN_RETURN (HS_LOAN_LIFE + 2500 * HS_MSEC)

/** Age at which a stamp is no longer used. */
#define HS_STAMP_AGE_MAX (240 * HS_SEC)

/** The most that two clocks drift apart, in parts of a million. */
#define HS_CLOCK_DRIFT_PPM 200

/** By which message a credit came. */
typedef enum
{
  HS_CREDIT_GRANTED,  /**< GRANT: may repeat one that is in use or lent. */
  HS_CREDIT_RETURNED, /**< RESULT: the slot is free again. */
  HS_CREDIT_LENT      /**< BORROW: from another entry. */
} HsCreditSource;

typedef struct
{
  hsx_credit credit;
  bool is_loan;
} HsHeldCredit;

/** What became of the credit of a slot that left the pool last. */
typedef struct
{
  uint32_t next_generation; /**< Older ones are used up. */
  bool is_lent;
  bool is_ours;       /**< What was lent had come from the agent. */
  int64_t lent_stamp; /**< The stamp it was lent with, */
  HsTime lent_at;     /**< and when. */
  hsx_credit lent;    /**< As it is taken back. */
} HsCreditSlot;

/** Zero-initialised: none. Arrays are talloc; see hs_agent_credits_free(). */
typedef struct
{
  uint32_t n_idle;
  uint32_t n_lent;    /**< Slots of which the outcome isn't known. */
  HsHeldCredit *idle; /**< Newest last. */
  HsCreditSlot *slots;
  int64_t stamp;          /**< Freshest time of the agent's clock seen, */
  HsTime stamp_received;  /**< and when it arrived here. */
  int64_t offset;         /**< Agent's clock less ours: highest seen in */
  int64_t earlier_offset; /**< this window, and in the one before. */
  HsTime window_end;
} HsAgentCredits;

void hs_agent_credits_free (HsAgentCredits *a);

/** Replaces all idle credits but loans. */
void hs_agent_credits_grant (TALLOC_CTX *ctx,
                             HsAgentCredits *a,
                             uint32_t n,
                             const hsx_credit *credits,
                             HsTime now);

/** Keeps a credit, in place of an older one of its slot; false: used up. */
bool hs_agent_credits_keep (TALLOC_CTX *ctx,
                            HsAgentCredits *a,
                            const hsx_credit *credit,
                            HsCreditSource source,
                            HsTime now);

/**
 * Whether the newest credit can be used: the agent would still accept it
 * under a lease that is certain for @p lease_left. Drops loans that expired,
 * and all if the freshest stamp is too old.
 */
bool hs_agent_credits_usable (HsAgentCredits *a, HsTime now, HsTime lease_left);

/** Whether the newest is a loan. */
bool hs_agent_credits_has_loan (const HsAgentCredits *a);

/** Takes the newest out for a start. */
hsx_credit hs_agent_credits_pop (HsAgentCredits *a);

/** Takes the newest out for another entry. */
hsx_credit hs_agent_credits_lend (HsAgentCredits *a, HsTime now);

/** Takes back the loans that are out since HS_LOAN_RETURN; true if any. */
bool hs_agent_credits_reclaim (HsAgentCredits *a, HsTime now);

#endif
