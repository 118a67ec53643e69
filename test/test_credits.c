#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/credits.h"

#define LEASE_LEFT (4 * HS_SEC)

static const hsx_needs no_needs = { 0, 0 };

static hsx_credit
make_credit (uint32_t slot, uint32_t generation, int64_t stamp)
{
  return (hsx_credit){
    .agent = 1, .slot = slot, .generation = generation, .stamp_us = stamp
  };
}

/* Creates a pool with idle credits of generation 1, stamped with time 0. The
 * clocks of the agents and of the entry agree. */
static HsCredits *
new_pool (uint32_t n_agents, uint32_t n_slots)
{
  const hsx_needs capacity = { 1024, 0 };
  HsCredits *pool = hs_credits_new (NULL, 7);
  uint32_t agent;
  uint32_t slot;

  for (agent = 0; agent < n_agents; agent++)
    {
      hs_credits_set_agent (pool, agent, &capacity);
      for (slot = 0; slot < n_slots; slot++)
        {
          hsx_credit credit = make_credit (slot, 1, 0);

          assert_true (
              hs_credits_add (pool, agent, &credit, HS_CREDIT_RETURNED, 0));
        }
    }
  return pool;
}

static bool
take (HsCredits *pool, HsTime now, uint32_t *agent, hsx_credit *credit)
{
  return hs_credits_take (pool, &no_needs, now, LEASE_LEFT, agent, credit);
}

static void
tasks_are_spread_over_agents (void **state)
{
  HsCredits *pool = new_pool (11, 8);
  uint32_t agent;
  hsx_credit credit;
  int i;

  (void) state;
  for (i = 0; i < 44; i++)
    assert_true (take (pool, 1, &agent, &credit));
  for (agent = 0; agent < 11; agent++)
    assert_in_range (hs_credits_in_use_of_agent (pool, agent), 3, 5);
  for (i = 0; i < 44; i++)
    assert_true (take (pool, 1, &agent, &credit));
  assert_false (take (pool, 1, &agent, &credit));
  assert_int_equal (hs_credits_in_use (pool), 88);
  assert_int_equal (hs_credits_idle (pool), 0);
  talloc_free (pool);
}

/* A list that was written before a credit was granted arrives after it, on
   another connection. */
static void
a_list_that_was_overtaken_withdraws_no_credit (void **state)
{
  HsCredits *pool = new_pool (1, 1);
  hsx_credit older[1] = { make_credit (0, 1, 5 * HS_SEC) };
  hsx_credit newer[2]
      = { make_credit (0, 1, 6 * HS_SEC), make_credit (1, 1, 6 * HS_SEC) };
  hsx_credit next = make_credit (2, 1, 7 * HS_SEC);

  (void) state;
  hs_credits_grant (pool, 0, 2, newer, 8 * HS_SEC);
  hs_credits_grant (pool, 0, 1, older, 8 * HS_SEC);
  assert_int_equal (hs_credits_idle (pool), 2);
  assert_true (hs_credits_add (pool, 0, &next, HS_CREDIT_RETURNED, 8 * HS_SEC));
  hs_credits_grant (pool, 0, 2, newer, 9 * HS_SEC);
  assert_int_equal (hs_credits_idle (pool), 3);
  /* One that was written later does. */
  newer[0].stamp_us = newer[1].stamp_us = 8 * HS_SEC;
  hs_credits_grant (pool, 0, 2, newer, 9 * HS_SEC);
  assert_int_equal (hs_credits_idle (pool), 2);
  talloc_free (pool);
}

/* A list without the slot of a loan arrives late, so the loan counted as used.
   The agent goes on to grant the credit, which nobody has used. */
static void
a_loan_that_an_overtaken_list_ended_is_granted_again (void **state)
{
  HsCredits *pool = new_pool (1, 1);
  hsx_credit listed = make_credit (0, 1, HS_SEC + 2 * HS_LOAN_LIFETIME);
  hsx_credit lent;
  uint32_t agent;

  (void) state;
  assert_int_equal (hs_credits_lend (pool, 1, HS_SEC, LEASE_LEFT, &lent), 1);
  hs_credits_grant (pool, 0, 0, NULL, 2 * HS_SEC);
  listed.stamp_us = HS_SEC;
  hs_credits_grant (pool, 0, 1, &listed, 2 * HS_SEC);
  assert_int_equal (hs_credits_idle (pool), 0);
  listed.stamp_us = HS_SEC + 2 * HS_LOAN_LIFETIME;
  hs_credits_grant (pool, 0, 1, &listed, HS_SEC + 2 * HS_LOAN_LIFETIME);
  assert_int_equal (hs_credits_idle (pool), 1);
  /* Once it is used here, a list that was written before doesn't return it. */
  assert_true (take (pool, HS_SEC + 2 * HS_LOAN_LIFETIME, &agent, &lent));
  listed.stamp_us += 2 * HS_LOAN_LIFETIME;
  hs_credits_grant (pool, 0, 1, &listed, HS_SEC + 4 * HS_LOAN_LIFETIME);
  assert_int_equal (hs_credits_idle (pool), 0);
  talloc_free (pool);
}

static void
crossing_grant_reissues_no_slot (void **state)
{
  HsCredits *pool = new_pool (1, 2);
  hsx_credit grant[2] = { make_credit (0, 1, 0), make_credit (1, 1, 0) };
  hsx_credit credit;
  uint32_t agent;

  (void) state;
  assert_true (take (pool, 1, &agent, &credit));
  hs_credits_grant (pool, 0, 2, grant, 2);
  assert_int_equal (hs_credits_idle (pool), 1);
  assert_false (hs_credits_add (pool, 0, &credit, HS_CREDIT_RETURNED, 3));
  credit.generation++;
  assert_true (hs_credits_add (pool, 0, &credit, HS_CREDIT_RETURNED, 3));
  assert_int_equal (hs_credits_idle (pool), 2);
  hs_credits_grant (pool, 0, 0, NULL, 4);
  assert_int_equal (hs_credits_idle (pool), 0);
  talloc_free (pool);
}

static void
needs_are_met_and_accelerators_spared (void **state)
{
  const hsx_needs large = { 8192, 2 };
  const hsx_needs need_accelerator = { 64, 1 };
  const hsx_needs need_too_much = { 9000, 0 };
  HsCredits *pool = new_pool (4, 2);
  hsx_credit credit = make_credit (0, 1, 0);
  uint32_t agent;
  int i;

  (void) state;
  hs_credits_set_agent (pool, 4, &large);
  hs_credits_add (pool, 4, &credit, HS_CREDIT_RETURNED, 0);
  assert_false (
      hs_credits_take (pool, &need_too_much, 1, LEASE_LEFT, &agent, &credit));
  for (i = 0; i < 7; i++)
    {
      assert_true (take (pool, 1, &agent, &credit));
      if (hs_credits_idle (pool) > 4)
        assert_int_not_equal (agent, 4);
    }
  hs_credits_set_agent (pool, 5, &large);
  credit = make_credit (0, 1, 0);
  hs_credits_add (pool, 5, &credit, HS_CREDIT_RETURNED, 1);
  assert_true (hs_credits_take (pool, &need_accelerator, 1, LEASE_LEFT, &agent,
                                &credit));
  assert_in_range (agent, 4, 5);
  talloc_free (pool);
}

static void
avoided_agents_are_skipped (void **state)
{
  const uint32_t avoided[] = { 0, 2 };
  HsCredits *pool = new_pool (3, 2);
  hsx_credit credit;
  uint32_t agent;
  int i;

  (void) state;
  for (i = 0; i < 2; i++)
    {
      assert_true (hs_credits_take_avoiding (pool, HS_CREDITS_ALL, &no_needs,
                                             avoided, 2, 1, LEASE_LEFT, &agent,
                                             &credit));
      assert_int_equal (agent, 1);
    }
  assert_false (hs_credits_take_avoiding (pool, HS_CREDITS_ALL, &no_needs,
                                          avoided, 2, 1, LEASE_LEFT, &agent,
                                          &credit));
  assert_int_equal (hs_credits_idle (pool), 4);
  talloc_free (pool);
}

static void
credits_of_the_reserve_and_of_the_others_are_taken_apart (void **state)
{
  const hsx_needs capacity = { 1024, 0 };
  HsCredits *pool = new_pool (3, 2);
  hsx_credit credit;
  uint32_t agent;
  int i;

  (void) state;
  hs_credits_set_reserve (pool, 1, true);
  hs_credits_set_agent (pool, 1, &capacity);
  for (i = 0; i < 2; i++)
    {
      assert_true (hs_credits_take_avoiding (pool, HS_CREDITS_RESERVE,
                                             &no_needs, NULL, 0, 1, LEASE_LEFT,
                                             &agent, &credit));
      assert_int_equal (agent, 1);
    }
  assert_false (hs_credits_take_avoiding (pool, HS_CREDITS_RESERVE, &no_needs,
                                          NULL, 0, 1, LEASE_LEFT, &agent,
                                          &credit));
  for (i = 0; i < 4; i++)
    {
      assert_true (hs_credits_take_avoiding (pool, HS_CREDITS_COMMON, &no_needs,
                                             NULL, 0, 1, LEASE_LEFT, &agent,
                                             &credit));
      assert_int_not_equal (agent, 1);
    }
  talloc_free (pool);
}

/* Offset of the agent's clock from the entry's. */
#define CLOCK_AHEAD (1000 * HS_SEC)

/* The permit ends as long after the stamp as the lease ends after the stamp was
 * received, so the time of receipt must be that of the latest stamp. */
static void
receipt_time_of_latest_stamp_is_returned (void **state)
{
  const hsx_needs capacity = { 0, 0 };
  HsCredits *pool = hs_credits_new (NULL, 7);
  hsx_credit first = make_credit (0, 5, CLOCK_AHEAD + 10 * HS_SEC);
  hsx_credit older = make_credit (1, 5, CLOCK_AHEAD + 7 * HS_SEC);
  hsx_credit newer = make_credit (2, 5, CLOCK_AHEAD + 12 * HS_SEC);
  hsx_credit credit;
  uint32_t agent;

  (void) state;
  hs_credits_set_agent (pool, 0, &capacity);
  hs_credits_add (pool, 0, &first, HS_CREDIT_RETURNED, 10 * HS_SEC);
  hs_credits_add (pool, 0, &older, HS_CREDIT_RETURNED, 11 * HS_SEC);
  assert_int_equal (hs_credits_stamp_received_at (pool, 0), 10 * HS_SEC);
  assert_true (take (pool, 100 * HS_SEC, &agent, &credit));
  assert_true (credit.stamp_us == CLOCK_AHEAD + 10 * HS_SEC);
  hs_credits_add (pool, 0, &newer, HS_CREDIT_RETURNED, 101 * HS_SEC);
  assert_int_equal (hs_credits_stamp_received_at (pool, 0), 101 * HS_SEC);
  assert_false (hs_credits_take (pool, &capacity, 101 * HS_SEC, 50 * HS_MSEC,
                                 &agent, &credit));
  assert_true (hs_credits_take (pool, &capacity, 101 * HS_SEC, 50 * HS_MSEC + 1,
                                &agent, &credit));
  assert_true (credit.stamp_us == CLOCK_AHEAD + 12 * HS_SEC);
  talloc_free (pool);
}

static void
expired_loan_is_reclaimed (void **state)
{
  const hsx_needs capacity = { 0, 0 };
  const HsTime lent_at = 10 * HS_SEC;
  HsCredits *lender = hs_credits_new (NULL, 7);
  HsCredits *borrower = hs_credits_new (NULL, 7);
  hsx_credit granted = make_credit (0, 5, CLOCK_AHEAD + lent_at);
  hsx_credit credit;
  uint32_t agent;

  (void) state;
  hs_credits_set_agent (lender, 0, &capacity);
  hs_credits_set_agent (borrower, 0, &capacity);
  hs_credits_add (lender, 0, &granted, HS_CREDIT_GRANTED, lent_at);
  assert_int_equal (hs_credits_lend (lender, 1, lent_at, LEASE_LEFT, &credit),
                    1);
  hs_credits_add (borrower, 0, &credit, HS_CREDIT_BORROWED, lent_at);
  granted.stamp_us += HS_LOAN_LIFETIME / 2;
  hs_credits_grant (lender, 0, 1, &granted, lent_at + HS_LOAN_LIFETIME / 2);
  assert_int_equal (hs_credits_idle (lender), 0);
  assert_false (take (borrower, lent_at + HS_LOAN_LIFETIME, &agent, &credit));
  assert_int_equal (hs_credits_idle (borrower), 0);
  assert_false (hs_credits_may_take (borrower, lent_at + HS_LOAN_LIFETIME));
  granted.stamp_us += HS_LOAN_LIFETIME;
  hs_credits_grant (lender, 0, 1, &granted, lent_at + 2 * HS_LOAN_LIFETIME);
  assert_int_equal (hs_credits_idle (lender), 1);
  talloc_free (lender);
  talloc_free (borrower);
}

/* When a credit is lent long after the agent sent its last stamp, the borrower
 * must get a stamp of the time of lending, because it counts the permit from
 * it. */
static void
loan_is_stamped_when_lent (void **state)
{
  const hsx_needs capacity = { 0, 0 };
  const HsTime granted_at = 10 * HS_SEC;
  const HsTime lent_at = granted_at + 100 * HS_SEC;
  HsCredits *lender = hs_credits_new (NULL, 7);
  HsCredits *borrower = hs_credits_new (NULL, 7);
  hsx_credit granted = make_credit (0, 5, CLOCK_AHEAD + granted_at);
  hsx_credit credit;
  uint32_t agent;

  (void) state;
  hs_credits_set_agent (lender, 0, &capacity);
  hs_credits_set_agent (borrower, 0, &capacity);
  hs_credits_add (lender, 0, &granted, HS_CREDIT_GRANTED, granted_at);
  assert_int_equal (hs_credits_lend (lender, 1, lent_at, LEASE_LEFT, &credit),
                    1);
  /* Over 100 s at 200 ppm, the agent's clock is at most 20 ms behind. */
  assert_true (credit.stamp_us == CLOCK_AHEAD + lent_at - 20 * HS_MSEC);
  hs_credits_add (borrower, 0, &credit, HS_CREDIT_BORROWED, lent_at);
  assert_true (take (borrower, lent_at + HS_SEC, &agent, &credit));
  assert_true (credit.stamp_us == CLOCK_AHEAD + lent_at - 20 * HS_MSEC);
  assert_int_equal (hs_credits_stamp_received_at (borrower, 0), lent_at);
  talloc_free (lender);
  talloc_free (borrower);
}

static void
unreported_loan_is_reclaimed (void **state)
{
  HsCredits *pool = new_pool (2, 2);
  hsx_credit loans[4];
  hsx_credit grant[2] = { make_credit (0, 1, 0), make_credit (1, 1, 0) };
  hsx_credit credit;
  uint32_t used = 0;
  uint32_t agent;

  (void) state;
  assert_int_equal (hs_credits_lend (pool, 4, 0, LEASE_LEFT, loans), 4);
  /* The first list was sent before the loan became known to the agent; the
   * second one no longer has slot 1, which the borrower has used. */
  hs_credits_grant (pool, 0, 2, grant, 1);
  assert_int_equal (hs_credits_idle (pool), 0);
  hs_credits_grant (pool, 0, 1, grant, 2);
  hs_credits_reclaim_loans (pool, HS_LOAN_RECLAIM_AFTER - 1);
  assert_int_equal (hs_credits_idle (pool), 0);
  hs_credits_reclaim_loans (pool, HS_LOAN_RECLAIM_AFTER);
  assert_int_equal (hs_credits_idle (pool), 3);
  assert_int_equal (hs_credits_idle_of_agent (pool, 0), 1);
  while (take (pool, HS_LOAN_RECLAIM_AFTER, &agent, &credit))
    {
      assert_int_equal (credit.generation, 1);
      assert_true (agent == 1 || credit.slot == 0);
      used++;
    }
  assert_int_equal (used, 3);
  hs_credits_reclaim_loans (pool, 2 * HS_LOAN_RECLAIM_AFTER);
  assert_int_equal (hs_credits_idle (pool), 0);
  talloc_free (pool);
}

/* A list that has the lent credit after the loan expired restores it; the next
 * list with the same credit must neither remove nor duplicate it. */
static void
reclaimed_loan_stays_usable (void **state)
{
  HsCredits *pool = new_pool (1, 1);
  hsx_credit grant = make_credit (0, 1, 2 * HS_LOAN_LIFETIME);
  hsx_credit credit;
  uint32_t agent;

  (void) state;
  assert_int_equal (hs_credits_lend (pool, 1, 0, LEASE_LEFT, &credit), 1);
  hs_credits_grant (pool, 0, 1, &grant, 2 * HS_LOAN_LIFETIME);
  assert_int_equal (hs_credits_idle (pool), 1);
  hs_credits_grant (pool, 0, 1, &grant, 3 * HS_LOAN_LIFETIME);
  assert_int_equal (hs_credits_idle (pool), 1);
  assert_true (take (pool, 3 * HS_LOAN_LIFETIME, &agent, &credit));
  hs_credits_grant (pool, 0, 1, &grant, 3 * HS_LOAN_LIFETIME);
  assert_int_equal (hs_credits_idle (pool), 0);
  talloc_free (pool);
}

/* A borrowed credit that was lent on belongs to the first lender, so it is not
 * reclaimed here. */
static void
relent_loan_is_not_reclaimed (void **state)
{
  const hsx_needs capacity = { 0, 0 };
  HsCredits *pool = hs_credits_new (NULL, 7);
  hsx_credit loan = make_credit (0, 1, 0);
  hsx_credit passed;

  (void) state;
  hs_credits_set_agent (pool, 0, &capacity);
  assert_true (hs_credits_add (pool, 0, &loan, HS_CREDIT_BORROWED, 0));
  assert_int_equal (hs_credits_lend (pool, 1, 1, LEASE_LEFT, &passed), 1);
  hs_credits_reclaim_loans (pool, 1 + HS_LOAN_RECLAIM_AFTER);
  assert_int_equal (hs_credits_idle (pool), 0);
  talloc_free (pool);
}

/* The drift of two clocks over the maximum age of a stamp plus the lease must
 * be less than the tenth by which the shortest lease is shortened. */
static void
stamp_is_not_used_beyond_max_age (void **state)
{
  const HsTime shortest_lease = 2 * HS_SEC;
  HsCredits *pool = new_pool (1, 2);
  hsx_credit fresh = make_credit (0, 1, HS_STAMP_AGE_MAX);
  hsx_credit credit;
  uint32_t agent;

  (void) state;
  assert_true (take (pool, HS_STAMP_AGE_MAX - 1, &agent, &credit));
  assert_false (take (pool, HS_STAMP_AGE_MAX, &agent, &credit));
  assert_int_equal (
      hs_credits_lend (pool, 1, HS_STAMP_AGE_MAX, LEASE_LEFT, &credit), 0);
  assert_false (hs_credits_may_take (pool, HS_STAMP_AGE_MAX));
  fresh.generation = 2;
  hs_credits_grant (pool, 0, 1, &fresh, HS_STAMP_AGE_MAX);
  assert_true (take (pool, HS_STAMP_AGE_MAX, &agent, &credit));
  assert_true ((HS_STAMP_AGE_MAX + shortest_lease) * HS_CLOCK_DRIFT_PPM / HS_SEC
               < shortest_lease / 10);
  talloc_free (pool);
}

static void
health_takes_precedence (void **state)
{
  HsCredits *pool = new_pool (3, 8);
  hsx_credit credit;
  uint32_t agent;
  uint32_t n_ejected = 0;
  int i;

  (void) state;
  hs_credits_set_health (pool, 0, HS_HEALTH_EJECTED);
  hs_credits_set_health (pool, 1, HS_HEALTH_PROBATION);
  assert_int_equal (hs_credits_idle (pool), 8 + 1);
  for (i = 0; i < 9; i++)
    {
      assert_true (take (pool, 1, &agent, &credit));
      n_ejected += agent == 0;
      assert_true (hs_credits_in_use_of_agent (pool, 1) <= 1);
    }
  assert_int_equal (n_ejected, 0);
  assert_false (take (pool, 1, &agent, &credit));
  hs_credits_task_ended (pool, 1);
  assert_true (take (pool, 1, &agent, &credit));
  assert_int_equal (agent, 1);
  hs_credits_set_health (pool, 0, HS_HEALTH_OK);
  assert_true (take (pool, 1, &agent, &credit));
  talloc_free (pool);
}

static void
tasks_wait_for_healthy_targets_while_most_are_healthy (void **state)
{
  const hsx_needs accelerated = { 0, 1 };
  const hsx_needs capacity = { 1024, 1 };
  HsCredits *pool = new_pool (3, 4);
  hsx_credit credit;
  uint32_t agent;
  int i;

  (void) state;
  hs_credits_set_agent (pool, 0, &capacity);
  hs_credits_set_health (pool, 0, HS_HEALTH_PROBATION);
  assert_true (take (pool, 1, &agent, &credit));
  assert_int_equal (agent, 0);
  hs_credits_task_ended (pool, 0);
  for (i = 0; i < 8; i++)
    {
      assert_true (take (pool, 2, &agent, &credit));
      assert_int_not_equal (agent, 0);
    }
  assert_false (take (pool, 2, &agent, &credit));
  assert_true (
      hs_credits_take (pool, &accelerated, 2, LEASE_LEFT, &agent, &credit));
  hs_credits_task_ended (pool, 0);
  assert_false (take (pool, 2, &agent, &credit));
  assert_int_equal (hs_credits_idle (pool), 0);
  assert_false (hs_credits_may_take (pool, 2));
  assert_true (hs_credits_may_take (pool, 60 * HS_SEC));
  hs_credits_set_health (pool, 1, HS_HEALTH_PROBATION);
  assert_true (take (pool, 2, &agent, &credit));
  talloc_free (pool);
}

static void
removed_agent_loses_its_credits (void **state)
{
  HsCredits *pool = new_pool (2, 4);
  hsx_credit loan[8];
  hsx_credit credit;
  uint32_t agent;

  (void) state;
  assert_true (take (pool, 1, &agent, &credit));
  hs_credits_remove_agent (pool, agent);
  assert_int_equal (hs_credits_in_use (pool), 0);
  assert_int_equal (hs_credits_idle (pool), 4);
  assert_int_equal (hs_credits_lend (pool, 8, 1, LEASE_LEFT, loan), 4);
  assert_int_equal (hs_credits_in_use (pool), 0);
  hs_credits_task_ended (pool, agent);
  assert_false (hs_credits_add (pool, agent, &credit, HS_CREDIT_RETURNED, 1));
  assert_false (
      hs_credits_add (pool, 1 - agent, &loan[0], HS_CREDIT_RETURNED, 1));
  talloc_free (pool);
}

static void
lent_credit_may_be_borrowed_back (void **state)
{
  HsCredits *pool = new_pool (1, 1);
  hsx_credit credit;

  (void) state;
  assert_int_equal (hs_credits_lend (pool, 1, 1, LEASE_LEFT, &credit), 1);
  assert_false (hs_credits_add (pool, 0, &credit, HS_CREDIT_RETURNED, 2));
  assert_true (hs_credits_add (pool, 0, &credit, HS_CREDIT_BORROWED, 2));
  assert_int_equal (hs_credits_idle (pool), 1);
  talloc_free (pool);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (tasks_are_spread_over_agents),
    cmocka_unit_test (a_list_that_was_overtaken_withdraws_no_credit),
    cmocka_unit_test (a_loan_that_an_overtaken_list_ended_is_granted_again),
    cmocka_unit_test (crossing_grant_reissues_no_slot),
    cmocka_unit_test (needs_are_met_and_accelerators_spared),
    cmocka_unit_test (avoided_agents_are_skipped),
    cmocka_unit_test (credits_of_the_reserve_and_of_the_others_are_taken_apart),
    cmocka_unit_test (receipt_time_of_latest_stamp_is_returned),
    cmocka_unit_test (expired_loan_is_reclaimed),
    cmocka_unit_test (loan_is_stamped_when_lent),
    cmocka_unit_test (unreported_loan_is_reclaimed),
    cmocka_unit_test (reclaimed_loan_stays_usable),
    cmocka_unit_test (relent_loan_is_not_reclaimed),
    cmocka_unit_test (stamp_is_not_used_beyond_max_age),
    cmocka_unit_test (health_takes_precedence),
    cmocka_unit_test (lent_credit_may_be_borrowed_back),
    cmocka_unit_test (tasks_wait_for_healthy_targets_while_most_are_healthy),
    cmocka_unit_test (removed_agent_loses_its_credits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
