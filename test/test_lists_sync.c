/**
 * @file
 * Tests that the published lists follow the store.
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
  HsStoreKv plans[] = { make_kv ("hs/plan/c1", GOLD, 3) };
  HsNow now = hs_now ();

  answer_range (f, "hs/plan/", 10, 1, plans);
  send_event (0, "hs/plan/c1", IRON, 11);
  assert_false (hs_lists_sync_loaded (f->sync));
  assert_true (hs_lists_sync_age (f->sync, now) == HS_NEVER);
  assert_int_equal (hs_lists_revision (hs_published_lists_get (f->published)),
                    0);
  assert_int_equal (f->n_changes, 0);
  answer_range (f, "hs/allowance/", 11, 0, NULL);
  assert_true (hs_lists_sync_loaded (f->sync));
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
  assert_int_equal (f->n_changes, 1);
}

static void
watch_applies_changes_after_the_range (void **state)
{
  Fixture *f = *state;

  load_lists (f);
  assert_int_equal (watches[0]->start_revision, 11);
  send_event (0, "hs/plan/c1", IRON, 12);
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/c1", GOLD, 5);
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/c2", NULL, 13);
  assert_null (published_plan (f, "c2"));
  send_event (0, "hs/plan/c2", GOLD, 12);
  assert_null (published_plan (f, "c2"));
  send_event (0, "hs/plan/c1", "{\"plan\":7}", 14);
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/../x", GOLD, 15);
  assert_int_equal (hs_lists_revision (hs_published_lists_get (f->published)),
                    15);
}

static void
compacted_watch_rereads_the_list (void **state)
{
  Fixture *f = *state;
  HsStoreWatchUpdate update
      = { .kind = HS_STORE_WATCH_COMPACTED, .revision = 20 };
  HsStoreKv plans[] = { make_kv ("hs/plan/c1", IRON, 18) };

  load_lists (f);
  watches[0]->func (watches[0]->arg, &update);
  assert_null (watches[0]);
  answer_range (f, "hs/plan/", 20, 1, plans);
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
  assert_null (published_plan (f, "c2"));
  assert_int_equal (watches[0]->start_revision, 21);
}

static void
stale_range_is_ignored_and_retried (void **state)
{
  Fixture *f = *state;
  HsStoreWatchUpdate update
      = { .kind = HS_STORE_WATCH_COMPACTED, .revision = 20 };
  HsStoreKv plans[] = { make_kv ("hs/plan/c1", IRON, 18) };

  load_lists (f);
  watches[0]->func (watches[0]->arg, &update);
  answer_range (f, "hs/plan/", 9, 0, NULL);
  assert_non_null (published_plan (f, "c2"));
  assert_null (watches[0]);
  answer_range (f, "hs/plan/", 20, 1, plans);
  assert_null (published_plan (f, "c2"));
}

static void
failed_range_is_retried (void **state)
{
  Fixture *f = *state;
  HsStoreReply failed = { .status = HS_STORE_UNKNOWN };
  Pending pending = take_range (f, "hs/plan/");

  pending.done (pending.arg, &failed);
  load_lists (f);
  assert_true (hs_lists_sync_loaded (f->sync));
}

static void
repeated_progress_does_not_reset_the_age (void **state)
{
  Fixture *f = *state;
  HsStoreWatchUpdate repeated
      = { .kind = HS_STORE_WATCH_PROGRESS, .revision = 10 };
  HsNow later;

  load_lists (f);
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
    SYNC_TEST (watch_applies_changes_after_the_range),
    SYNC_TEST (compacted_watch_rereads_the_list),
    SYNC_TEST (stale_range_is_ignored_and_retried),
    SYNC_TEST (failed_range_is_retried),
    SYNC_TEST (repeated_progress_does_not_reset_the_age),
  };

  rcu_register_thread ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
