#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/dispatch.h"

#define N 4

static const uint32_t outstanding[N] = { 5, 9, 1, 7 };

static void
count_choices (HsDispatchRule *rule, uint32_t n, uint32_t counts[N])
{
  const HsDispatchState view = { .n_targets = N, .outstanding = outstanding };
  hsx_credit credit;
  uint32_t target;

  for (; n > 0; n--)
    {
      assert_true (hs_dispatch_rule_choose (rule, &view, &target, &credit));
      counts[target]++;
    }
}

static void
each_rule_chooses_as_named (void **state)
{
  HsDispatchRule random = { .kind = HS_DISPATCH_RULE_RANDOM, .u.random = 1 };
  HsDispatchRule round_robin = { .kind = HS_DISPATCH_RULE_ROUND_ROBIN };
  HsDispatchRule two_choices
      = { .kind = HS_DISPATCH_RULE_TWO_CHOICES, .u.random = 1 };
  HsDispatchRule least_outstanding
      = { .kind = HS_DISPATCH_RULE_LEAST_OUTSTANDING, .u.random = 1 };
  uint32_t counts[4][N] = { 0 };
  uint32_t i;

  (void) state;
  count_choices (&random, 4000, counts[0]);
  count_choices (&round_robin, 4000, counts[1]);
  count_choices (&two_choices, 4000, counts[2]);
  count_choices (&least_outstanding, 4000, counts[3]);
  for (i = 0; i < N; i++)
    {
      assert_in_range (counts[0][i], 850, 1150);
      assert_int_equal (counts[1][i], 1000);
    }
  /* Of two draws with replacement, the least loaded target of the four is
   * chosen with probability 7/16 and the most loaded one with 1/16. */
  assert_in_range (counts[2][2], 1600, 1900);
  assert_in_range (counts[2][1], 180, 320);
  assert_int_equal (counts[3][2], 4000);
}

static void
task_waits_without_target_or_credit (void **state)
{
  HsDispatchRule rule = { .kind = HS_DISPATCH_RULE_CREDITS };
  const HsDispatchState none = { .n_targets = 0 };
  HsDispatchState view = { .n_targets = 1, .lease_left = HS_SEC };
  const hsx_needs capacity = { 0, 0 };
  hsx_credit credit = { .slot = 0, .generation = 1 };
  uint32_t target;

  (void) state;
  rule.u.credits = hs_credits_new (NULL, 1);
  assert_false (hs_dispatch_rule_choose (&rule, &none, &target, &credit));
  assert_false (hs_dispatch_rule_choose (&rule, &view, &target, &credit));
  hs_credits_set_agent (rule.u.credits, 0, &capacity);
  hs_credits_add (rule.u.credits, 0, &credit, HS_CREDIT_RETURNED, 0);
  assert_true (hs_dispatch_rule_choose (&rule, &view, &target, &credit));
  assert_int_equal (target, 0);
  talloc_free (rule.u.credits);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_rule_chooses_as_named),
    cmocka_unit_test (task_waits_without_target_or_credit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
