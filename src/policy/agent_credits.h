/**
 * @file
 * The credits that an entry holds of one agent.
 *
 * A start echoes the freshest time of the agent's clock that the entry had
 * received when it checked its lease, be it from this credit or a later
 * message; agents compare slot and generation only.
 *
 * A lent credit may be used by the borrower until its stamp is HS_LOAN_LIFE
 * old. If a later GRANT of the agent still has it, it wasn't used, and the
 * lender takes it back.
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
  int64_t lent_stamp; /**< The stamp it was lent with. */
} HsCreditSlot;

/** Zero-initialised: none. Arrays are talloc; see hs_agent_credits_free(). */
typedef struct
{
  uint32_t n_idle;
  HsHeldCredit *idle; /**< Newest last. */
  HsCreditSlot *slots;
  int64_t stamp;          /**< Freshest time of the agent's clock seen, */
  HsTime stamp_received;  /**< and when it arrived here. */
  int64_t offset;         /**< Agent's clock less ours: highest seen in */
  int64_t earlier_offset; /**< this window, and in the one before. */
  HsTime window_end;
} HsAgentCredits;

void hs_agent_credits_free (HsAgentCredits *a);

/** Drops all idle credits but loans, before a GRANT replaces them. */
void hs_agent_credits_clear (HsAgentCredits *a);

/** Keeps a credit, in place of an older one of its slot; false: used up. */
bool hs_agent_credits_keep (TALLOC_CTX *ctx,
                            HsAgentCredits *a,
                            const hsx_credit *credit,
                            HsCreditSource source,
                            HsTime now);

/**
 * Whether the newest credit can be used: the agent would still accept it
 * under a lease that is certain for @p lease_left. Drops loans that expired.
 */
bool hs_agent_credits_usable (HsAgentCredits *a, HsTime now, HsTime lease_left);

/** Whether the newest is a loan. */
bool hs_agent_credits_has_loan (const HsAgentCredits *a);

/** Takes the newest out, for a start or (@p to_lend) for another entry. */
hsx_credit hs_agent_credits_pop (HsAgentCredits *a, bool to_lend);

#endif
