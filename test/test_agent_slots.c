#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "agent/slots.h"
#include "policy/agent_credits.h"

#define AGENT 77

/** Period of an agent's periodic work. */
#define TICK_PERIOD (100 * HS_MSEC)

static uint32_t take_list (uint64_t entry, hsx_credit *credits);

static HsSlots *slots;
static hsx_credit credits[HS_SLOTS_MAX];

static int
setup (void **state)
{
  (void) state;
  slots = hs_slots_new (NULL, AGENT);
  hs_slots_set_count (slots, 8);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (slots);
  return 0;
}

static void
free_slots_are_spread_evenly (void **state)
{
  (void) state;
  hs_slots_add_entry (slots, 1);
  hs_slots_add_entry (slots, 2);
  hs_slots_add_entry (slots, 3);
  hs_slots_distribute (slots, 10);
  assert_in_range (take_list (1, credits), 2, 3);
  assert_in_range (take_list (2, credits), 2, 3);
  assert_in_range (take_list (3, credits), 2, 3);
}

static void
a_credit_is_used_once_and_the_slot_returns_to_its_user (void **state)
{
  hsx_credit next;

  (void) state;
  hs_slots_add_entry (slots, 1);
  hs_slots_add_entry (slots, 2);
  hs_slots_distribute (slots, 10);
  take_list (1, credits);
  assert_true (hs_slots_credit_is_valid (slots, &credits[0]));
  hs_slots_occupy (slots, &credits[0], 2, 20);
  assert_false (hs_slots_credit_is_valid (slots, &credits[0]));
  assert_int_equal (hs_slots_n_busy (slots), 1);
  assert_true (hs_slots_release (slots, credits[0].slot, 2, 30, &next));
  assert_int_equal (next.slot, credits[0].slot);
  assert_int_equal (next.stamp_us, 30);
  assert_true (hs_slots_credit_is_valid (slots, &next));
  assert_false (hs_slots_credit_is_valid (slots, &credits[0]));
  hs_slots_add_entry (slots, 1);
  hs_slots_remove_entry (slots, 2);
  assert_false (hs_slots_credit_is_valid (slots, &next));
}

static void
stamps_before_the_grant_are_not_valid (void **state)
{
  (void) state;
  hs_slots_add_entry (slots, 1);
  hs_slots_distribute (slots, 10);
  take_list (1, credits);
  credits[0].stamp_us = 9;
  assert_false (hs_slots_credit_is_valid (slots, &credits[0]));
  /* May come from a later message about another slot; stamps in the future
     are refused by the admission check. */
  credits[0].stamp_us = 11;
  assert_true (hs_slots_credit_is_valid (slots, &credits[0]));
  credits[0].stamp_us = 10;
  hs_slots_distribute (slots, 10 + HS_SLOTS_REFRESH_AGE_MIN);
  assert_true (hs_slots_credit_is_valid (slots, &credits[0]));
  credits[0].agent = AGENT + 1;
  assert_false (hs_slots_credit_is_valid (slots, &credits[0]));
}

/* Runs the agent's periodic work; returns the time at which entry 1 is next
   sent a list of credits, 0 if it is not. */
static HsTime
next_list (HsTime from, HsTime until)
{
  HsTime now;

  for (now = from; now <= until; now += TICK_PERIOD)
    {
      hs_slots_distribute (slots, now);
      if (take_list (1, credits) > 0)
        return now;
    }
  return 0;
}

/* An entry that discarded a list because it did not know the agent yet is soon
 * sent it again. Later, the stamps of idle credits stay well below the age at
 * which entries stop using them, even if one list is lost. */
static void
refresh_intervals_of_idle_credits_double_up_to_a_bound (void **state)
{
  HsTime last = 0;
  HsTime span = 0;
  int i;

  (void) state;
  hs_slots_add_entry (slots, 1);
  hs_slots_distribute (slots, 0);
  assert_int_equal (take_list (1, credits), 8);
  for (i = 0; i < 8; i++)
    {
      HsTime at
          = next_list (last + TICK_PERIOD, last + HS_SLOTS_REFRESH_AGE_MAX);

      assert_true (at > last);
      assert_true (i > 0 || at <= HS_SLOTS_REFRESH_AGE_MIN);
      assert_true (at - last >= span);
      assert_int_equal (credits[0].stamp_us, at);
      span = at - last;
      last = at;
    }
  assert_true (span >= HS_SLOTS_REFRESH_AGE_MAX * 3 / 4 - TICK_PERIOD);
  assert_true (2 * HS_SLOTS_REFRESH_AGE_MAX <= HS_STAMP_AGE_MAX);
  /* A change of the list resets the interval. */
  hs_slots_add_entry (slots, 2);
  hs_slots_distribute (slots, last);
  assert_int_equal (take_list (1, credits), 4);
  assert_true (next_list (last + TICK_PERIOD, last + HS_SLOTS_REFRESH_AGE_MIN)
               > 0);
}

static void
refreshes_of_agents_started_together_have_jitter (void **state)
{
  HsTime first = HS_NEVER;
  HsTime last = 0;
  uint64_t agent;

  (void) state;
  for (agent = 1; agent <= 20; agent++)
    {
      HsTime at;

      talloc_free (slots);
      slots = hs_slots_new (NULL, agent * UINT64_C (0x1234567890abcdef));
      hs_slots_set_count (slots, 8);
      hs_slots_add_entry (slots, 1);
      hs_slots_distribute (slots, 0);
      take_list (1, credits);
      at = next_list (TICK_PERIOD, HS_SLOTS_REFRESH_AGE_MIN);
      assert_true (at >= HS_SLOTS_REFRESH_AGE_MIN * 3 / 4);
      first = MIN (first, at);
      last = MAX (last, at);
    }
  assert_true (last - first >= HS_SLOTS_REFRESH_AGE_MIN / 8);
}

/* The lender is notified of uses once per notice delay, before it would take
 * the loan back, even if it has no other credit of this agent left. */
static void
the_lender_is_notified_of_the_use_of_its_credit (void **state)
{
  const HsTime used_at = HS_LOAN_LIFETIME;
  const HsTime notified_at = used_at + HS_SLOTS_LOAN_NOTICE_DELAY;
  hsx_credit next;
  uint64_t notified;
  uint32_t n;

  (void) state;
  hs_slots_set_count (slots, 2);
  hs_slots_add_entry (slots, 1);
  hs_slots_distribute (slots, 0);
  assert_int_equal (take_list (1, credits), 2);
  hs_slots_add_entry (slots, 2);
  hs_slots_distribute (slots, used_at);
  assert_int_equal (take_list (1, credits), 1);
  hs_slots_occupy (slots, &credits[0], 2, used_at);
  hs_slots_release (slots, credits[0].slot, 2, used_at, &next);
  hs_slots_distribute (slots, notified_at - 1);
  assert_int_equal (hs_slots_next_grant (slots, credits, &n), 0);
  hs_slots_distribute (slots, notified_at);
  notified = hs_slots_next_grant (slots, credits, &n);
  assert_int_equal (notified, 1);
  assert_int_equal (n, 0);
  assert_int_equal (hs_slots_next_grant (slots, credits, &n), 0);
  assert_true (notified_at + 2 * TICK_PERIOD < HS_LOAN_RECLAIM_AFTER);
  /* The use of a credit by its holder causes no notice. */
  hs_slots_occupy (slots, &next, 2, notified_at);
  hs_slots_release (slots, next.slot, 2, notified_at, &next);
  hs_slots_distribute (slots, notified_at + HS_SLOTS_LOAN_NOTICE_DELAY);
  while ((notified = hs_slots_next_grant (slots, credits, &n)) != 0)
    assert_int_not_equal (notified, 1);
}

static void
credits_granted_with_results_need_no_refresh (void **state)
{
  hsx_credit next;
  HsTime half = HS_SLOTS_REFRESH_AGE_MIN / 2;

  (void) state;
  hs_slots_set_count (slots, 1);
  hs_slots_add_entry (slots, 1);
  hs_slots_distribute (slots, 0);
  take_list (1, credits);
  hs_slots_occupy (slots, &credits[0], 1, half);
  hs_slots_release (slots, 0, 1, half, &next);
  hs_slots_distribute (slots, HS_SLOTS_REFRESH_AGE_MIN);
  assert_int_equal (take_list (1, credits), 0);
  hs_slots_distribute (slots, half + HS_SLOTS_REFRESH_AGE_MIN);
  assert_int_equal (take_list (1, credits), 1);
}

static void
credits_of_a_lost_entry_go_to_the_others (void **state)
{
  (void) state;
  hs_slots_add_entry (slots, 1);
  hs_slots_distribute (slots, 0);
  assert_int_equal (take_list (1, credits), 8);
  hs_slots_add_entry (slots, 2);
  hs_slots_distribute (slots, 1);
  assert_int_equal (take_list (2, credits), 4);
  hs_slots_remove_entry (slots, 1);
  hs_slots_distribute (slots, 2);
  assert_int_equal (take_list (2, credits), 8);
}

static void
a_removed_slot_is_not_granted_again (void **state)
{
  hsx_credit next;

  (void) state;
  hs_slots_add_entry (slots, 1);
  hs_slots_distribute (slots, 0);
  take_list (1, credits);
  hs_slots_occupy (slots, &credits[0], 1, 1);
  hs_slots_set_count (slots, 0);
  assert_false (hs_slots_credit_is_valid (slots, &credits[1]));
  assert_false (hs_slots_release (slots, credits[0].slot, 1, 2, &next));
  hs_slots_distribute (slots, 3);
  assert_int_equal (take_list (1, credits), 0);
  hs_slots_set_count (slots, 8);
  hs_slots_distribute (slots, 4);
  assert_int_equal (take_list (1, credits), 8);
}

/* Takes all lists that are due. Copies the credits of the last list of one
   entry to @p to and returns their number; keeps the lists of the others. */
static uint32_t
take_list (uint64_t entry, hsx_credit *to)
{
  static hsx_credit held[4][HS_SLOTS_MAX];
  static uint32_t n[4];
  hsx_credit found[HS_SLOTS_MAX];
  uint32_t n_found;
  uint32_t i;
  uint64_t next;

  while ((next = hs_slots_next_grant (slots, found, &n_found)) != 0)
    {
      for (i = 0; i < n_found; i++)
        held[next][i] = found[i];
      n[next] = n_found;
    }
  for (i = 0; i < n[entry]; i++)
    to[i] = held[entry][i];
  n_found = n[entry];
  n[entry] = 0;
  return n_found;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (free_slots_are_spread_evenly, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        a_credit_is_used_once_and_the_slot_returns_to_its_user, setup,
        teardown),
    cmocka_unit_test_setup_teardown (stamps_before_the_grant_are_not_valid,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        refresh_intervals_of_idle_credits_double_up_to_a_bound, setup,
        teardown),
    cmocka_unit_test_setup_teardown (
        refreshes_of_agents_started_together_have_jitter, setup, teardown),
    cmocka_unit_test_setup_teardown (
        the_lender_is_notified_of_the_use_of_its_credit, setup, teardown),
    cmocka_unit_test_setup_teardown (
        credits_granted_with_results_need_no_refresh, setup, teardown),
    cmocka_unit_test_setup_teardown (credits_of_a_lost_entry_go_to_the_others,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (a_removed_slot_is_not_granted_again, setup,
                                     teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
