/**
 * @file
 * The lists' following of the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fake_store.h"

static void
nothing_is_published_before_both_lists_are_read (void **state)
{
  Fixture *f = *state;
  HsStoreKv plans[] = { record ("hs/plan/c1", GOLD, 3) };
  HsNow now = hs_now ();

  answer_range (f, "hs/plan/", 10, 1, plans);
  send_event (0, "hs/plan/c1", IRON, 11);
  assert_false (hs_lists_sync_loaded (f->sync));
  assert_true (hs_lists_sync_age (f->sync, now) == HS_NEVER);
  assert_int_equal (hs_lists_revision (hs_lists_get (f->box)), 0);
  assert_int_equal (f->changes, 0);
  answer_range (f, "hs/allowance/", 11, 0, NULL);
  assert_true (hs_lists_sync_loaded (f->sync));
  assert_string_equal (plan (f, "c1")->plan, "iron");
  assert_int_equal (f->changes, 1);
}

static void
changes_are_followed_from_the_range_on (void **state)
{
  Fixture *f = *state;

  load (f);
  assert_int_equal (watches[0]->start_revision, 11);
  send_event (0, "hs/plan/c1", IRON, 12);
  assert_string_equal (plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/c1", GOLD, 5);
  assert_string_equal (plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/c2", NULL, 13);
  assert_null (plan (f, "c2"));
  send_event (0, "hs/plan/c2", GOLD, 12);
  assert_null (plan (f, "c2"));
  send_event (0, "hs/plan/c1", "{\"plan\":7}", 14);
  assert_string_equal (plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/../x", GOLD, 15);
  assert_int_equal (hs_lists_revision (hs_lists_get (f->box)), 15);
}

static void
after_compaction_the_list_is_read_again (void **state)
{
  Fixture *f = *state;
  HsWatchNote note = { .kind = HS_WATCH_COMPACTED, .revision = 20 };
  HsStoreKv plans[] = { record ("hs/plan/c1", IRON, 18) };

  load (f);
  watches[0]->func (watches[0]->arg, &note);
  assert_null (watches[0]);
  answer_range (f, "hs/plan/", 20, 1, plans);
  assert_string_equal (plan (f, "c1")->plan, "iron");
  assert_null (plan (f, "c2"));
  assert_int_equal (watches[0]->start_revision, 21);
}

static void
a_stale_range_is_ignored_and_read_again (void **state)
{
  Fixture *f = *state;
  HsWatchNote note = { .kind = HS_WATCH_COMPACTED, .revision = 20 };
  HsStoreKv plans[] = { record ("hs/plan/c1", IRON, 18) };

  load (f);
  watches[0]->func (watches[0]->arg, &note);
  answer_range (f, "hs/plan/", 9, 0, NULL);
  assert_non_null (plan (f, "c2"));
  assert_null (watches[0]);
  answer_range (f, "hs/plan/", 20, 1, plans);
  assert_null (plan (f, "c2"));
}

static void
a_failed_range_is_tried_again (void **state)
{
  Fixture *f = *state;
  HsStoreReply failed = { .status = HS_STORE_UNKNOWN };
  Pending pending = take_range (f, "hs/plan/");

  pending.done (pending.arg, &failed);
  load (f);
  assert_true (hs_lists_sync_loaded (f->sync));
}

static void
age_counts_from_the_last_proof (void **state)
{
  Fixture *f = *state;
  HsWatchNote repeated = { .kind = HS_WATCH_PROGRESS, .revision = 10 };
  HsNow later;

  load (f);
  later = hs_now ();
  later.mono += HS_SEC * 100;
  watches[0]->func (watches[0]->arg, &repeated);
  assert_true (hs_lists_sync_age (f->sync, later) >= 100 * HS_SEC);
}

#define SYNC_TEST(test)                                                        \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    SYNC_TEST (nothing_is_published_before_both_lists_are_read),
    SYNC_TEST (changes_are_followed_from_the_range_on),
    SYNC_TEST (after_compaction_the_list_is_read_again),
    SYNC_TEST (a_stale_range_is_ignored_and_read_again),
    SYNC_TEST (a_failed_range_is_tried_again),
    SYNC_TEST (age_counts_from_the_last_proof),
  };

  rcu_register_thread ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
