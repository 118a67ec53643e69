#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "agent/slots.h"

#define AGENT 77

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
  hs_slots_plan (slots, 10 + HS_SLOTS_IDLE_REFRESH);
  assert_true (hs_slots_valid (slots, &credits[0]));
  credits[0].agent = AGENT + 1;
  assert_false (hs_slots_valid (slots, &credits[0]));
}

static void
idle_credits_are_refreshed_sooner_while_starts_come (void **state)
{
  (void) state;
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 0);
  list (1, credits);
  hs_slots_plan (slots, HS_SLOTS_IDLE_REFRESH - 1);
  assert_int_equal (list (1, credits + 8), 0);
  hs_slots_take (slots, &credits[0], 1, HS_SLOTS_IDLE_REFRESH - 1);
  hs_slots_plan (slots, HS_SLOTS_IDLE_REFRESH - 1);
  assert_int_equal (list (1, credits + 8), 7);
  assert_int_equal (credits[8].generation, credits[1].generation);
  assert_int_equal (credits[8].stamp_us, HS_SLOTS_IDLE_REFRESH - 1);
}

static void
credits_that_results_brought_need_no_refresh (void **state)
{
  hsx_credit next;
  HsTime half = HS_SLOTS_BUSY_REFRESH / 2;

  (void) state;
  hs_slots_resize (slots, 1);
  hs_slots_entry_up (slots, 1);
  hs_slots_plan (slots, 0);
  list (1, credits);
  hs_slots_take (slots, &credits[0], 1, half);
  hs_slots_release (slots, 0, 1, half, &next);
  hs_slots_plan (slots, HS_SLOTS_BUSY_REFRESH);
  assert_int_equal (list (1, credits), 0);
  hs_slots_plan (slots, half + HS_SLOTS_BUSY_REFRESH);
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
        idle_credits_are_refreshed_sooner_while_starts_come, setup, teardown),
    cmocka_unit_test_setup_teardown (
        credits_that_results_brought_need_no_refresh, setup, teardown),
    cmocka_unit_test_setup_teardown (credits_of_a_lost_entry_go_to_the_others,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_slot_that_was_taken_away_is_not_granted_again, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
