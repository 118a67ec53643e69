/**
 * @file
 * The credits that an entry holds: the rights to start one task each in a
 * free slot of an agent. Chooses the credit for a task and those to lend.
 *
 * Agents are small handles of the caller's table. A credit's age is judged by
 * the agent's clock, whose offset is learnt from the freshest stamps that
 * arrived: a credit that came by way of another entry is as old as it is, not
 * as old as its last hop.
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

/** @param seed of the generator that spreads tasks over agents */
HsCredits *hs_credits_new (TALLOC_CTX *ctx, uint64_t seed);

/** Adds an agent or changes what it can run. Starts as HS_HEALTH_OK. */
void hs_credits_set_agent (HsCredits *pool,
                           uint32_t agent,
                           const hsx_needs *capacity);

/** Forgets an agent and its credits. Unknown ones are ignored. */
void hs_credits_remove_agent (HsCredits *pool, uint32_t agent);

void
hs_credits_set_health (HsCredits *pool, uint32_t agent, HsHealthState state);

/**
 * Replaces the idle credits of an agent, as GRANT does. Credits that were
 * taken or lent already (the message crossed) are left out.
 */
void hs_credits_grant (HsCredits *pool,
                       uint32_t agent,
                       uint32_t n,
                       const hsx_credit *credits,
                       HsTime now);

/**
 * Adds one credit. False if it was used already or the agent isn't known.
 */
bool hs_credits_add (HsCredits *pool,
                     uint32_t agent,
                     const hsx_credit *credit,
                     HsCreditSource source,
                     HsTime now);

/**
 * Takes the best credit for a task. Counts it as in use until
 * hs_credits_task_ended().
 * @param lease_left how long the owner's lease is still certain; credits
 *        that would reach the agent too late under it are skipped
 */
bool hs_credits_take (HsCredits *pool,
                      const hsx_needs *needs,
                      HsTime now,
                      HsTime lease_left,
                      uint32_t *agent,
                      hsx_credit *credit);

/**
 * Like hs_credits_take(), but from none of the agents in @p avoided.
 */
bool hs_credits_take_avoiding (HsCredits *pool,
                               const hsx_needs *needs,
                               const uint32_t *avoided,
                               uint32_t n_avoided,
                               HsTime now,
                               HsTime lease_left,
                               uint32_t *agent,
                               hsx_credit *credit);

/**
 * When the stamp that starts to this agent echo was received. The permit of a
 * start ends by the agent's clock as long after the stamp as the lease ends
 * after this: the stamp was made before, so the permit ends no later than the
 * lease, however old the credit is.
 */
HsTime hs_credits_stamp_received_at (const HsCredits *pool, uint32_t agent);

/** The task that took a credit of this agent has ended. */
void hs_credits_task_ended (HsCredits *pool, uint32_t agent);

/**
 * Takes up to @p n idle credits out of the pool, to be lent: from healthy
 * agents, those with the most idle ones first.
 * @return the number written to @p credits
 */
uint32_t hs_credits_lend (HsCredits *pool,
                          uint32_t n,
                          HsTime now,
                          HsTime lease_left,
                          hsx_credit *credits);

/**
 * Takes back the loans that were not used; to be called often enough that
 * HS_LOAN_RECLAIM_AFTER is kept.
 */
void hs_credits_reclaim_loans (HsCredits *pool, HsTime now);

/** Whether hs_credits_take() may find a credit for a task of small needs. */
bool hs_credits_may_take (const HsCredits *pool, HsTime now);

/**
 * Idle credits that tasks may use: of healthy agents, and while fewer than
 * half are healthy one of each on probation. Then: all idle ones of one
 * agent; those in use, of all and of one agent.
 */
uint32_t hs_credits_idle (const HsCredits *pool);
uint32_t hs_credits_idle_of_agent (const HsCredits *pool, uint32_t agent);
uint32_t hs_credits_in_use (const HsCredits *pool);
uint32_t hs_credits_in_use_of_agent (const HsCredits *pool, uint32_t agent);

#endif
