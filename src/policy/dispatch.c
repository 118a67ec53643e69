#include "policy/dispatch.h"

#include "policy/random.h"

static uint32_t two_choices (uint64_t *random, const HsDispatchState *view);
static uint32_t least_outstanding (uint64_t *random,
                                   const HsDispatchState *view);

bool
hs_dispatch_rule_choose (HsDispatchRule *rule,
                         const HsDispatchState *view,
                         uint32_t *target,
                         hsx_credit *credit)
{
  if (view->n_targets == 0)
    return false;
  switch (rule->kind)
    {
    case HS_DISPATCH_RULE_RANDOM:
      *target = hs_random_below (&rule->u.random, view->n_targets);
      return true;
    case HS_DISPATCH_RULE_ROUND_ROBIN:
      *target = rule->u.next++ % view->n_targets;
      return true;
    case HS_DISPATCH_RULE_TWO_CHOICES:
      *target = two_choices (&rule->u.random, view);
      return true;
    case HS_DISPATCH_RULE_LEAST_OUTSTANDING:
      *target = least_outstanding (&rule->u.random, view);
      return true;
    case HS_DISPATCH_RULE_CREDITS:
      return hs_credits_take (rule->u.credits, &view->needs, view->now,
                              view->lease_left, target, credit);
    }
  return false;
}

static uint32_t
two_choices (uint64_t *random, const HsDispatchState *view)
{
  uint32_t a = hs_random_below (random, view->n_targets);
  uint32_t b = hs_random_below (random, view->n_targets);

  return view->outstanding[b] < view->outstanding[a] ? b : a;
}

static uint32_t
least_outstanding (uint64_t *random, const HsDispatchState *view)
{
  uint32_t start = hs_random_below (random, view->n_targets);
  uint32_t best = start;
  uint32_t i;

  for (i = 1; i < view->n_targets; i++)
    {
      uint32_t at = (start + i) % view->n_targets;

      if (view->outstanding[at] < view->outstanding[best])
        best = at;
    }
  return best;
}
