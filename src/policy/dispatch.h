/**
 * @file
 * Rules that choose the target of a task; the dispatch benchmark compares them.
 * All except HS_DISPATCH_RULE_CREDITS send the task at once and let it wait at
 * the target.
 */
#ifndef HS_POLICY_DISPATCH_H
#define HS_POLICY_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "policy/credits.h"

typedef enum
{
  HS_DISPATCH_RULE_RANDOM,
  HS_DISPATCH_RULE_ROUND_ROBIN,
  HS_DISPATCH_RULE_TWO_CHOICES,
  HS_DISPATCH_RULE_LEAST_OUTSTANDING,
  HS_DISPATCH_RULE_CREDITS
} HsDispatchRuleKind;

typedef struct
{
  HsDispatchRuleKind kind;
  union
  {
    uint64_t random;    /**< State of the random generator (RANDOM, TWO_CHOICES,
                           LEAST_OUTSTANDING). */
    uint32_t next;      /**< Next target (ROUND_ROBIN). */
    HsCredits *credits; /**< Credit pool, not owned (CREDITS). */
  } u;
} HsDispatchRule;

/** The input of a rule. */
typedef struct
{
  uint32_t n_targets;
  const uint32_t *outstanding; /**< By target: tasks that this entry has sent
                                  and that have not ended. */
  hsx_needs needs;
  HsTime now;
  HsTime lease_left;
} HsDispatchState;

/**
 * Chooses the target of a task.
 * @param credit set only by HS_DISPATCH_RULE_CREDITS
 * @return false if the task must wait
 */
bool hs_dispatch_rule_choose (HsDispatchRule *rule,
                              const HsDispatchState *state,
                              uint32_t *target,
                              hsx_credit *credit);

#endif
