/**
 * @file
 * The pool of credits that an entry holds. A credit is the right to start one
 * task in a free slot of an agent. The pool chooses the credit for a task and
 * the credits to lend to other entries.
 *
 * Agents are identified by small integer handles, indices of the caller's
 * table. The age of a credit is measured by the agent's clock, whose offset is
 * estimated from the latest stamps received. A credit that was forwarded by
 * another entry is therefore aged from the time at which the agent issued it,
 * not from the last hop.
 */
#ifndef HS_POLICY_CREDITS_H
#define HS_POLICY_CREDITS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "policy/agent_credits.h"
#include "policy/health.h"
#include "proto/hspoke.h"

typedef struct HsCredits HsCredits;

/** The agents whose credits may be taken. While a customer is contained (see
 *  policy/containment.h), its tasks use those of the reserve, others the common
 *  ones. */
typedef enum
{
  HS_CREDITS_ALL,
  HS_CREDITS_RESERVE,
  HS_CREDITS_COMMON
} HsCreditGroup;

/** @param seed seed of the random generator that spreads tasks over agents */
HsCredits *hs_credits_new (TALLOC_CTX *ctx, uint64_t seed);

/** Adds an agent, as HS_HEALTH_OK, or changes its capacity. */
void hs_credits_set_agent (HsCredits *pool,
                           uint32_t agent,
                           const hsx_needs *capacity);

/** Removes an agent and its credits. Unknown agents are ignored. */
void hs_credits_remove_agent (HsCredits *pool, uint32_t agent);

/** Sets the health of an agent's target. Unknown agents are ignored. */
void
hs_credits_set_health (HsCredits *pool, uint32_t agent, HsHealthState state);

/**
 * Replaces the idle credits of an agent by those of a GRANT message. Credits
 * that were taken or lent while the message was under way are left out.
 */
void hs_credits_grant (HsCredits *pool,
                       uint32_t agent,
                       uint32_t n,
                       const hsx_credit *credits,
                       HsTime now);

/**
 * Adds one credit.
 * @return false if the credit was used already or the agent is unknown
 */
bool hs_credits_add (HsCredits *pool,
                     uint32_t agent,
                     const hsx_credit *credit,
                     HsCreditSource source,
                     HsTime now);

/**
 * Takes the best credit for a task. It counts as in use until
 * hs_credits_task_ended().
 * @param lease_left how long this entry's lease is certain to last; a credit is
 *        skipped if a start with it might reach the agent after the lease has
 *        expired
 * @return false if no credit matches
 */
bool hs_credits_take (HsCredits *pool,
                      const hsx_needs *needs,
                      HsTime now,
                      HsTime lease_left,
                      uint32_t *agent,
                      hsx_credit *credit);

/** Puts an agent into the reserve, or takes it out. Unknown agents are
 *  ignored. */
void hs_credits_set_reserve (HsCredits *pool, uint32_t agent, bool reserve);

/** Like hs_credits_take(), but only of agents in @p group, and skips those in
 *  @p avoided. */
bool hs_credits_take_avoiding (HsCredits *pool,
                               HsCreditGroup group,
                               const hsx_needs *needs,
                               const uint32_t *avoided,
                               uint32_t n_avoided,
                               HsTime now,
                               HsTime lease_left,
                               uint32_t *agent,
                               hsx_credit *credit);

/**
 * Returns the time at which the stamp carried by starts to this agent was
 * received; HS_NEVER if the agent is unknown.
 *
 * The permit of a start ends, on the agent's clock, as long after the stamp as
 * the lease ends after this time. The stamp was made before it was received, so
 * the permit ends no later than the lease, however old the credit is.
 */
HsTime hs_credits_stamp_received_at (const HsCredits *pool, uint32_t agent);

/** Ends the use of a credit of this agent: its task has ended. */
void hs_credits_task_ended (HsCredits *pool, uint32_t agent);

/**
 * Takes up to @p n idle credits out of the pool to lend them. Only credits
 * of healthy agents are lent, chosen in the same order as for tasks.
 * @return the number of credits written to @p credits
 */
uint32_t hs_credits_lend (HsCredits *pool,
                          uint32_t n,
                          HsTime now,
                          HsTime lease_left,
                          hsx_credit *credits);

/**
 * Reclaims the loans that were not used. Must be called often enough to meet
 * HS_LOAN_RECLAIM_AFTER.
 */
void hs_credits_reclaim_loans (HsCredits *pool, HsTime now);

/**
 * Returns whether hs_credits_take() may find a credit for a task with small
 * needs.
 */
bool hs_credits_may_take (const HsCredits *pool, HsTime now);

/**
 * Returns the number of idle credits that tasks may use: all of healthy agents
 * and, while fewer than half of the agents are healthy, one for each agent on
 * probation.
 */
uint32_t hs_credits_idle (const HsCredits *pool);

/** Returns the number of all idle credits of one agent. */
uint32_t hs_credits_idle_of_agent (const HsCredits *pool, uint32_t agent);

/** Returns the number of credits in use. */
uint32_t hs_credits_in_use (const HsCredits *pool);

/** Returns the number of credits of one agent that are in use. */
uint32_t hs_credits_in_use_of_agent (const HsCredits *pool, uint32_t agent);

#endif
