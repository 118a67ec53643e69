/**
 * @file
 * Rules for choosing the target of a task, to be measured against each other.
 * All but HS_DISPATCH_RULE_CREDITS send at once and let the task wait at the
 * target.
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
    uint64_t random;    /**< RANDOM, TWO_CHOICES, LEAST_OUTSTANDING. */
    uint32_t next;      /**< ROUND_ROBIN. */
    HsCredits *credits; /**< CREDITS; not owned. */
  } u;
} HsDispatchRule;

/** What a rule may look at. */
typedef struct
{
  uint32_t n_targets;
  const uint32_t *outstanding; /**< Sent by this entry and not ended. */
  hsx_needs needs;
  HsTime now;
  HsTime lease_left;
} HsDispatchState;

/**
 * Chooses a target.
 * @param credit set by HS_DISPATCH_RULE_CREDITS only
 * @return false if the task has to wait
 */
bool hs_dispatch_rule_choose (HsDispatchRule *rule,
                              const HsDispatchState *view,
                              uint32_t *target,
                              hsx_credit *credit);

#endif
