#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "agent/slots.h"
#include "policy/agent_credits.h"

#define AGENT 77

/** Period of an agent's ticks. */
#define TICK (100 * HS_MSEC)

static uint32_t list (uint64_t entry, hsx_credit *credits);

static HsSlots *slots;
static hsx_credit credits[HS_SLOTS_MAX];

static int
setup (void **state)
{
  (void) state;
  slots = hs_slots_new (NULL, AGENT);
  hs_slots_resize (slots, 8);
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
  hs_slots_entry_up (slots, 1);
  hs_slots_entry_up (slots, 2);
  hs_slots_entry_up (slots, 3);
  hs_slots_plan (slots, 10);
  assert_in_range (list (1, credits), 2, 3);
  assert_in_range (list (2, credits), 2, 3);
  assert_in_range (list (3, credits), 2, 3);
}

static void
a_credit_is_used_once_and_the_slot_returns_to_its_user (void **state)
{
  hsx_credit next;

  (void) state;
  hs_slots_entry_up (slots, 1);
  hs_slots_entry_up (slots, 2);
  hs_slots_plan (slots, 10);
  list (1, credits);
  assert_true (hs_slots_valid (slots, &credits[0]));
  hs_slots_take (slots, &credits[0], 2, 20);
  assert_false (hs_slots_valid (slots, &credits[0]));
  assert_int_equal (hs_slots_busy (slots), 1);
  assert_true (hs_slots_release (slots, credits[0].slot, 2, 30, &next));
  assert_int_equal (next.slot, credits[0].slot);
  assert_int_equal (next.stamp_us, 30);
  assert_true (hs_slots_valid (slots, &next));
  assert_false (hs_slots_valid (slots, &credits[0]));
  hs_slots_entry_up (slots, 1);
  hs_slots_entry_down (slots, 2);
  assert_false (hs_slots_valid (slots, &next));
}

static void
stamps_before_the_grant_are_not_valid (void **state)
{
  (void) state;
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 10);
  list (1, credits);
  credits[0].stamp_us = 9;
  assert_false (hs_slots_valid (slots, &credits[0]));
  /* Of a later message about another slot; the gate refuses future ones. */
  credits[0].stamp_us = 11;
  assert_true (hs_slots_valid (slots, &credits[0]));
  credits[0].stamp_us = 10;
  hs_slots_plan (slots, 10 + HS_SLOTS_FIRST_REFRESH);
  assert_true (hs_slots_valid (slots, &credits[0]));
  credits[0].agent = AGENT + 1;
  assert_false (hs_slots_valid (slots, &credits[0]));
}

/* Runs an agent's ticks; returns the time of the next list, 0 if none. */
static HsTime
next_list (HsTime from, HsTime until)
{
  HsTime now;

  for (now = from; now <= until; now += TICK)
    {
      hs_slots_plan (slots, now);
      if (list (1, credits) > 0)
        return now;
    }
  return 0;
}

/* An entry that dropped a list, as it didn't know the agent yet, gets it again
 * soon; in the long run the stamps of idle credits stay far below the age at
 * which entries no longer use them, also if one list is lost. */
static void
refreshes_of_idle_credits_grow_rarer_up_to_a_bound (void **state)
{
  HsTime last = 0;
  HsTime span = 0;
  int i;

  (void) state;
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 0);
  assert_int_equal (list (1, credits), 8);
  for (i = 0; i < 8; i++)
    {
      HsTime at = next_list (last + TICK, last + HS_SLOTS_LAST_REFRESH);

      assert_true (at > last);
      assert_true (i > 0 || at <= HS_SLOTS_FIRST_REFRESH);
      assert_true (at - last >= span);
      assert_int_equal (credits[0].stamp_us, at);
      span = at - last;
      last = at;
    }
  assert_true (span >= HS_SLOTS_LAST_REFRESH * 3 / 4 - TICK);
  assert_true (2 * HS_SLOTS_LAST_REFRESH <= HS_STAMP_AGE_MAX);
  /* A change of the list starts anew. */
  hs_slots_entry_up (slots, 2);
  hs_slots_plan (slots, last);
  assert_int_equal (list (1, credits), 4);
  assert_true (next_list (last + TICK, last + HS_SLOTS_FIRST_REFRESH) > 0);
}

static void
refreshes_of_agents_started_together_are_spread (void **state)
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
      hs_slots_resize (slots, 8);
      hs_slots_entry_up (slots, 1);
      hs_slots_plan (slots, 0);
      list (1, credits);
      at = next_list (TICK, HS_SLOTS_FIRST_REFRESH);
      assert_true (at >= HS_SLOTS_FIRST_REFRESH * 3 / 4);
      first = MIN (first, at);
      last = MAX (last, at);
    }
  assert_true (last - first >= HS_SLOTS_FIRST_REFRESH / 8);
}

/* The lender hears of uses once a span, before it would take the loan back,
 * also if it has no other credit left here. */
static void
the_lender_is_told_that_its_credit_was_used (void **state)
{
  const HsTime used_at = HS_LOAN_LIFETIME;
  const HsTime told_at = used_at + HS_SLOTS_LOAN_NOTICE;
  hsx_credit next;
  uint64_t told;
  uint32_t n;

  (void) state;
  hs_slots_resize (slots, 2);
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 0);
  assert_int_equal (list (1, credits), 2);
  hs_slots_entry_up (slots, 2);
  hs_slots_plan (slots, used_at);
  assert_int_equal (list (1, credits), 1);
  hs_slots_take (slots, &credits[0], 2, used_at);
  hs_slots_release (slots, credits[0].slot, 2, used_at, &next);
  hs_slots_plan (slots, told_at - 1);
  assert_int_equal (hs_slots_next_grant (slots, credits, &n), 0);
  hs_slots_plan (slots, told_at);
  told = hs_slots_next_grant (slots, credits, &n);
  assert_int_equal (told, 1);
  assert_int_equal (n, 0);
  assert_int_equal (hs_slots_next_grant (slots, credits, &n), 0);
  assert_true (told_at + 2 * TICK < HS_LOAN_RECLAIM_AFTER);
  /* Its own start is no news to the holder. */
  hs_slots_take (slots, &next, 2, told_at);
  hs_slots_release (slots, next.slot, 2, told_at, &next);
  hs_slots_plan (slots, told_at + HS_SLOTS_LOAN_NOTICE);
  while ((told = hs_slots_next_grant (slots, credits, &n)) != 0)
    assert_int_not_equal (told, 1);
}

static void
credits_that_results_brought_need_no_refresh (void **state)
{
  hsx_credit next;
  HsTime half = HS_SLOTS_FIRST_REFRESH / 2;

  (void) state;
  hs_slots_resize (slots, 1);
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 0);
  list (1, credits);
  hs_slots_take (slots, &credits[0], 1, half);
  hs_slots_release (slots, 0, 1, half, &next);
  hs_slots_plan (slots, HS_SLOTS_FIRST_REFRESH);
  assert_int_equal (list (1, credits), 0);
  hs_slots_plan (slots, half + HS_SLOTS_FIRST_REFRESH);
  assert_int_equal (list (1, credits), 1);
}

static void
credits_of_a_lost_entry_go_to_the_others (void **state)
{
  (void) state;
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 0);
  assert_int_equal (list (1, credits), 8);
  hs_slots_entry_up (slots, 2);
  hs_slots_plan (slots, 1);
  assert_int_equal (list (2, credits), 4);
  hs_slots_entry_down (slots, 1);
  hs_slots_plan (slots, 2);
  assert_int_equal (list (2, credits), 8);
}

static void
a_slot_that_was_taken_away_is_not_granted_again (void **state)
{
  hsx_credit next;

  (void) state;
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 0);
  list (1, credits);
  hs_slots_take (slots, &credits[0], 1, 1);
  hs_slots_resize (slots, 0);
  assert_false (hs_slots_valid (slots, &credits[1]));
  assert_false (hs_slots_release (slots, credits[0].slot, 1, 2, &next));
  hs_slots_plan (slots, 3);
  assert_int_equal (list (1, credits), 0);
  hs_slots_resize (slots, 8);
  hs_slots_plan (slots, 4);
  assert_int_equal (list (1, credits), 8);
}

/* Takes all lists that are due; returns the length of one entry's. */
static uint32_t
list (uint64_t entry, hsx_credit *to)
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
        refreshes_of_idle_credits_grow_rarer_up_to_a_bound, setup, teardown),
    cmocka_unit_test_setup_teardown (
        refreshes_of_agents_started_together_are_spread, setup, teardown),
    cmocka_unit_test_setup_teardown (
        the_lender_is_told_that_its_credit_was_used, setup, teardown),
    cmocka_unit_test_setup_teardown (
        credits_that_results_brought_need_no_refresh, setup, teardown),
    cmocka_unit_test_setup_teardown (credits_of_a_lost_entry_go_to_the_others,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_slot_that_was_taken_away_is_not_granted_again, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
