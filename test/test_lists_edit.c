/**
 * @file
 * Tests the edits of the lists in the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fake_store.h"

static void
save_result (void *arg, const HsListEditResult *result)
{
  Fixture *f = arg;

  f->n_edits++;
  f->outcome = result->outcome;
  f->edit_revision = result->revision;
  g_strlcpy (f->current, result->current != NULL ? result->current : "",
             sizeof f->current);
}

static void
put_c1 (Fixture *f)
{
  load_lists (f);
  hs_lists_sync_put (f->sync, HS_LIST_PLANS, "c1", IRON, 3, save_result, f);
  assert_string_equal (f->store->txns[0].prefix, "hs/plan/c1");
  assert_int_equal (f->store->txns[0].expected_revision, 3);
  assert_true (f->store->txns[0].put);
}

static void
expect_outcome (Fixture *f, HsListEditOutcome outcome, int64_t revision)
{
  assert_int_equal (f->n_edits, 1);
  assert_int_equal (f->outcome, outcome);
  assert_int_equal (f->edit_revision, revision);
}

static void
applied_edit_is_published_immediately (void **state)
{
  Fixture *f = *state;
  HsStoreReply ok
      = { .status = HS_STORE_OK, .succeeded = true, .revision = 30 };

  put_c1 (f);
  answer_txn (f, &ok);
  expect_outcome (f, HS_LIST_EDIT_APPLIED, 30);
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/c1", GOLD, 29);
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
}

static void
edit_of_a_changed_record_is_a_conflict (void **state)
{
  Fixture *f = *state;
  HsStoreKv other = make_kv ("hs/plan/c1", GOLD, 9);
  HsStoreReply no
      = { .status = HS_STORE_OK, .revision = 30, .n_kvs = 1, .kvs = &other };

  put_c1 (f);
  answer_txn (f, &no);
  expect_outcome (f, HS_LIST_EDIT_CONFLICT, 9);
  assert_string_equal (f->current, GOLD);
}

static void
unreachable_store_reports_not_applied (void **state)
{
  Fixture *f = *state;
  HsStoreReply unsent = { .status = HS_STORE_NOT_APPLIED };

  put_c1 (f);
  answer_txn (f, &unsent);
  expect_outcome (f, HS_LIST_EDIT_NOT_APPLIED, 0);
}

static const HsStoreReply LOST = { .status = HS_STORE_UNKNOWN };

static void
retry_after_lost_reply_finds_edit_applied (void **state)
{
  Fixture *f = *state;
  HsStoreKv own = make_kv ("hs/plan/c1", IRON, 28);
  HsStoreReply taken
      = { .status = HS_STORE_OK, .revision = 30, .n_kvs = 1, .kvs = &own };

  put_c1 (f);
  answer_txn (f, &LOST);
  assert_int_equal (f->n_edits, 0);
  answer_txn (f, &taken);
  expect_outcome (f, HS_LIST_EDIT_APPLIED, 28);
  assert_string_equal (published_plan (f, "c1")->plan, "iron");
}

static void
lost_reply_then_overwritten_record_is_unknown (void **state)
{
  Fixture *f = *state;
  HsStoreKv other = make_kv ("hs/plan/c1", GOLD, 29);
  HsStoreReply taken
      = { .status = HS_STORE_OK, .revision = 30, .n_kvs = 1, .kvs = &other };

  put_c1 (f);
  answer_txn (f, &LOST);
  answer_txn (f, &taken);
  expect_outcome (f, HS_LIST_EDIT_UNKNOWN, 29);
}

static void
unreachable_store_after_lost_reply_is_unknown (void **state)
{
  Fixture *f = *state;
  HsStoreReply unsent = { .status = HS_STORE_NOT_APPLIED };

  put_c1 (f);
  answer_txn (f, &LOST);
  while (f->n_edits == 0)
    answer_txn (f, &unsent);
  expect_outcome (f, HS_LIST_EDIT_UNKNOWN, 0);
}

static void
retry_after_lost_reply_finds_record_deleted (void **state)
{
  Fixture *f = *state;
  HsStoreReply absent = { .status = HS_STORE_OK, .revision = 30 };

  load_lists (f);
  hs_lists_sync_delete (f->sync, HS_LIST_PLANS, "c1", 3, save_result, f);
  assert_false (f->store->txns[0].put);
  answer_txn (f, &LOST);
  answer_txn (f, &absent);
  expect_outcome (f, HS_LIST_EDIT_APPLIED, 30);
  assert_null (published_plan (f, "c1"));
}

static void
replies_after_free_are_ignored (void **state)
{
  Fixture *f = *state;
  HsStoreReply ok
      = { .status = HS_STORE_OK, .succeeded = true, .revision = 30 };

  put_c1 (f);
  TALLOC_FREE (f->sync);
  answer_txn (f, &ok);
  assert_int_equal (f->n_edits, 0);
}

#define SYNC_TEST(test)                                                        \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    SYNC_TEST (applied_edit_is_published_immediately),
    SYNC_TEST (edit_of_a_changed_record_is_a_conflict),
    SYNC_TEST (unreachable_store_reports_not_applied),
    SYNC_TEST (retry_after_lost_reply_finds_edit_applied),
    SYNC_TEST (lost_reply_then_overwritten_record_is_unknown),
    SYNC_TEST (unreachable_store_after_lost_reply_is_unknown),
    SYNC_TEST (retry_after_lost_reply_finds_record_deleted),
    SYNC_TEST (replies_after_free_are_ignored),
  };

  rcu_register_thread ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
