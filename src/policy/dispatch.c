#include "policy/dispatch.h"

#include "policy/random.h"

static uint32_t two_choices (uint64_t *random, const HsDispatchState *state);
static uint32_t least_outstanding (uint64_t *random,
                                   const HsDispatchState *state);

bool
hs_dispatch_rule_choose (HsDispatchRule *rule,
                         const HsDispatchState *state,
                         uint32_t *target,
                         hsx_credit *credit)
{
  if (state->n_targets == 0)
    return false;
  switch (rule->kind)
    {
    case HS_DISPATCH_RULE_RANDOM:
      *target = hs_random_below (&rule->u.random, state->n_targets);
      return true;
    case HS_DISPATCH_RULE_ROUND_ROBIN:
      *target = rule->u.next++ % state->n_targets;
      return true;
    case HS_DISPATCH_RULE_TWO_CHOICES:
      *target = two_choices (&rule->u.random, state);
      return true;
    case HS_DISPATCH_RULE_LEAST_OUTSTANDING:
      *target = least_outstanding (&rule->u.random, state);
      return true;
    case HS_DISPATCH_RULE_CREDITS:
      return hs_credits_take (rule->u.credits, &state->needs, state->now,
                              state->lease_left, target, credit);
    }
  return false;
}

static uint32_t
two_choices (uint64_t *random, const HsDispatchState *state)
{
  uint32_t a = hs_random_below (random, state->n_targets);
  uint32_t b = hs_random_below (random, state->n_targets);

  return state->outstanding[b] < state->outstanding[a] ? b : a;
}

static uint32_t
least_outstanding (uint64_t *random, const HsDispatchState *state)
{
  uint32_t start = hs_random_below (random, state->n_targets);
  uint32_t best = start;
  uint32_t i;

  for (i = 1; i < state->n_targets; i++)
    {
      uint32_t candidate = (start + i) % state->n_targets;

      if (state->outstanding[candidate] < state->outstanding[best])
        best = candidate;
    }
  return best;
}
