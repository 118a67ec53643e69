#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "entry/visibility.h"
#include "entry/members.h"
#include "entry/ownership.h"

static hsx_member
member (uint64_t incarnation, uint32_t revision, hsx_member_state state)
{
  hsx_member m = { 0 };

  m.incarnation = incarnation;
  m.revision = revision;
  m.state = state;
  m.address = (char *) "127.0.0.1:1";
  m.data_centre = (char *) "a";
  m.rack = (char *) "r";
  return m;
}

static void
older_agent_records_are_ignored (void **state)
{
  HsMembers *table = hs_members_new (NULL);
  hsx_member up = member (1, 2, HSX_MEMBER_UP);
  hsx_member leaving = member (1, 3, HSX_MEMBER_LEAVING);
  hsx_member again = member (1, 4, HSX_MEMBER_UP);

  (void) state;
  assert_non_null (hs_members_merge (table, &leaving, 0));
  assert_null (hs_members_merge (table, &up, 0));
  assert_null (hs_members_merge (table, &leaving, 0));
  assert_non_null (hs_members_merge (table, &again, 0));
  assert_int_equal (hs_members_find (table, 1)->state, HSX_MEMBER_UP);
  talloc_free (table);
}

static void
left_agents_stay_left_and_lost_agents_may_return (void **state)
{
  HsMembers *table = hs_members_new (NULL);
  hsx_member up = member (1, 1, HSX_MEMBER_UP);
  hsx_member newer = member (1, 2, HSX_MEMBER_UP);
  hsx_member left = member (1, 2, HSX_MEMBER_LEFT);
  hsx_member much_newer = member (1, 9, HSX_MEMBER_UP);

  (void) state;
  hs_members_merge (table, &up, 0);
  assert_non_null (hs_members_set_lost (table, 1, 0));
  assert_null (hs_members_set_lost (table, 1, 0));
  assert_null (hs_members_merge (table, &up, 0));
  assert_non_null (hs_members_merge (table, &newer, 0));
  assert_non_null (hs_members_merge (table, &left, 0));
  assert_null (hs_members_merge (table, &much_newer, 0));
  talloc_free (table);
}

static void
departed_agents_expire_after_retention (void **state)
{
  HsMembers *table = hs_members_new (NULL);
  hsx_member up = member (1, 1, HSX_MEMBER_UP);
  hsx_member other = member (2, 1, HSX_MEMBER_UP);

  (void) state;
  hs_members_merge (table, &up, 0);
  hs_members_merge (table, &other, 0);
  hs_members_set_lost (table, 1, 10);
  hs_members_expire (table, 100, 109);
  assert_int_equal (hs_members_count (table), 2);
  hs_members_expire (table, 100, 110);
  assert_int_equal (hs_members_count (table), 1);
  assert_int_equal (hs_members_at (table, 0)->incarnation, 2);
  talloc_free (table);
}

static void
add_entry (HsOwnership *view, uint64_t incarnation, bool leaving, int64_t rev)
{
  HsEntryRecord record = { 0 };
  char *json;

  record.leaving = leaving;
  json = hs_ownership_entry_json (view, &record);
  hs_ownership_apply_entry (view, incarnation, json, rev);
}

static void
each_partition_is_taken_by_one_known_entry (void **state)
{
  HsOwnership *one = hs_ownership_new (NULL, 1, 16);
  HsOwnership *two = hs_ownership_new (NULL, 2, 16);
  uint32_t part;
  uint32_t n_taken_by_first = 0;
  uint64_t new_owner;

  (void) state;
  add_entry (one, 1, false, 1);
  add_entry (one, 2, false, 2);
  add_entry (two, 1, false, 1);
  add_entry (two, 2, false, 2);
  for (part = 0; part < 16; part++)
    {
      bool first
          = hs_ownership_decide (one, part, &new_owner) == HS_PART_TAKE_OVER;
      bool second
          = hs_ownership_decide (two, part, &new_owner) == HS_PART_TAKE_OVER;

      assert_true (first != second);
      n_taken_by_first += first;
    }
  assert_in_range (n_taken_by_first, 1, 15);
  talloc_free (one);
  talloc_free (two);
}

static void
live_owner_keeps_or_hands_over (void **state)
{
  HsOwnership *view = hs_ownership_new (NULL, 1, 4);
  char *json = hs_ownership_part_json (view, 1, "127.0.0.1:1", 0);
  uint64_t new_owner = 0;
  uint32_t part;

  (void) state;
  add_entry (view, 1, false, 1);
  for (part = 0; part < 4; part++)
    {
      assert_true (hs_ownership_apply_part (view, part, json, 5, 5));
      assert_int_equal (hs_ownership_decide (view, part, &new_owner),
                        HS_PART_NO_ACTION);
    }
  add_entry (view, 2, false, 6);
  add_entry (view, 1, true, 7);
  assert_int_equal (hs_ownership_decide (view, 0, &new_owner),
                    HS_PART_HAND_OVER);
  assert_int_equal (new_owner, 2);
  talloc_free (view);
}

/* Guards against owners that are taken as gone because of an odd record of
   another writer. */
static void
odd_records_end_no_ownership (void **state)
{
  static const char *const odd[]
      = { "",
          "7",
          "[]",
          "{\"owner\":",
          "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]",
          "{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{}}}}}}" };
  HsOwnership *view = hs_ownership_new (NULL, 1, 4);
  char *json = hs_ownership_part_json (view, 2, "127.0.0.1:1", 0);
  uint64_t new_owner;
  int64_t i;

  (void) state;
  add_entry (view, 1, false, 1);
  add_entry (view, 2, false, 1);
  assert_true (hs_ownership_apply_part (view, 0, json, 5, 5));
  for (i = 0; i < (int64_t) G_N_ELEMENTS (odd); i++)
    {
      hs_ownership_apply_entry (view, 2, odd[i], 10 + i);
      hs_ownership_apply_part (view, 0, odd[i], 10 + i, 5);
      assert_int_equal (hs_ownership_part_record (view, 0)->owner, 2);
      assert_int_equal (hs_ownership_decide (view, 0, &new_owner),
                        HS_PART_NO_ACTION);
    }
  talloc_free (view);
}

static void
older_partition_records_are_ignored (void **state)
{
  HsOwnership *view = hs_ownership_new (NULL, 1, 4);
  char *first = hs_ownership_part_json (view, 1, "", 0);
  char *second = hs_ownership_part_json (view, 2, "", 5);

  (void) state;
  assert_true (hs_ownership_apply_part (view, 0, second, 9, 5));
  assert_int_equal (hs_ownership_part_record (view, 0)->handed_from, 5);
  /* The record was created at revision 5, which this view has not seen. */
  assert_int_equal (hs_ownership_part_record (view, 0)->previous_revision, 5);
  assert_false (hs_ownership_apply_part (view, 0, first, 8, 5));
  assert_int_equal (hs_ownership_part_record (view, 0)->owner, 2);
  assert_true (hs_ownership_apply_part (view, 1, first, 10, 10));
  assert_int_equal (hs_ownership_part_record (view, 1)->previous_revision, 0);
  talloc_free (view);
}

static void
agent_is_visible_when_all_entries_know_it (void **state)
{
  HsOwnership *view = hs_ownership_new (NULL, 1, 4);
  HsVisibility *table = hs_visibility_new (view);

  (void) state;
  add_entry (view, 1, false, 1);
  add_entry (view, 2, false, 2);
  add_entry (view, 3, true, 3);
  assert_false (hs_visibility_complete (table, 9, view, 1));
  hs_visibility_add (table, 9, 2);
  assert_false (hs_visibility_complete (table, 9, view, 1));
  hs_visibility_add (table, 9, 3);
  assert_true (hs_visibility_complete (table, 9, view, 1));
  add_entry (view, 4, false, 4);
  assert_true (hs_visibility_complete (table, 9, view, 1));
  assert_false (hs_visibility_complete (table, 8, view, 1));
  hs_visibility_remove (table, 9);
  assert_false (hs_visibility_complete (table, 9, view, 1));
  talloc_free (view);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (older_agent_records_are_ignored),
    cmocka_unit_test (left_agents_stay_left_and_lost_agents_may_return),
    cmocka_unit_test (departed_agents_expire_after_retention),
    cmocka_unit_test (each_partition_is_taken_by_one_known_entry),
    cmocka_unit_test (live_owner_keeps_or_hands_over),
    cmocka_unit_test (agent_is_visible_when_all_entries_know_it),
    cmocka_unit_test (odd_records_end_no_ownership),
    cmocka_unit_test (older_partition_records_are_ignored),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
