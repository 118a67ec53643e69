/**
 * @file
 * Edits of the lists in the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fake_store.h"

static void
keep_result (void *arg, const HsEditResult *result)
{
  Fixture *f = arg;

  f->edits++;
  f->outcome = result->outcome;
  f->edit_revision = result->revision;
  g_strlcpy (f->present, result->present != NULL ? result->present : "",
             sizeof f->present);
}

static void
put_c1 (Fixture *f)
{
  load (f);
  hs_lists_sync_put (f->sync, HS_LIST_PLANS, "c1", IRON, 3, keep_result, f);
  assert_string_equal (f->store->txns[0].prefix, "hs/plan/c1");
  assert_int_equal (f->store->txns[0].expected, 3);
  assert_true (f->store->txns[0].put);
}

static void
expect_outcome (Fixture *f, HsEditOutcome outcome, int64_t revision)
{
  assert_int_equal (f->edits, 1);
  assert_int_equal (f->outcome, outcome);
  assert_int_equal (f->edit_revision, revision);
}

static void
an_applied_edit_is_in_force_at_once (void **state)
{
  Fixture *f = *state;
  HsStoreReply ok
      = { .status = HS_STORE_OK, .succeeded = true, .revision = 30 };

  put_c1 (f);
  answer_txn (f, &ok);
  expect_outcome (f, HS_EDIT_APPLIED, 30);
  assert_string_equal (plan (f, "c1")->plan, "iron");
  send_event (0, "hs/plan/c1", GOLD, 29);
  assert_string_equal (plan (f, "c1")->plan, "iron");
}

static void
another_edit_first_is_a_conflict (void **state)
{
  Fixture *f = *state;
  HsStoreKv other = record ("hs/plan/c1", GOLD, 9);
  HsStoreReply no
      = { .status = HS_STORE_OK, .revision = 30, .n_kvs = 1, .kvs = &other };

  put_c1 (f);
  answer_txn (f, &no);
  expect_outcome (f, HS_EDIT_CONFLICT, 9);
  assert_string_equal (f->present, GOLD);
}

static void
an_unreached_store_is_certainly_not_applied (void **state)
{
  Fixture *f = *state;
  HsStoreReply unsent = { .status = HS_STORE_NOT_APPLIED };

  put_c1 (f);
  answer_txn (f, &unsent);
  expect_outcome (f, HS_EDIT_NOT_APPLIED, 0);
}

static const HsStoreReply LOST = { .status = HS_STORE_UNKNOWN };

static void
a_lost_answer_is_settled_as_applied (void **state)
{
  Fixture *f = *state;
  HsStoreKv own = record ("hs/plan/c1", IRON, 28);
  HsStoreReply taken
      = { .status = HS_STORE_OK, .revision = 30, .n_kvs = 1, .kvs = &own };

  put_c1 (f);
  answer_txn (f, &LOST);
  assert_int_equal (f->edits, 0);
  answer_txn (f, &taken);
  expect_outcome (f, HS_EDIT_APPLIED, 28);
  assert_string_equal (plan (f, "c1")->plan, "iron");
}

static void
a_lost_answer_then_overwritten_is_unknown (void **state)
{
  Fixture *f = *state;
  HsStoreKv other = record ("hs/plan/c1", GOLD, 29);
  HsStoreReply taken
      = { .status = HS_STORE_OK, .revision = 30, .n_kvs = 1, .kvs = &other };

  put_c1 (f);
  answer_txn (f, &LOST);
  answer_txn (f, &taken);
  expect_outcome (f, HS_EDIT_UNKNOWN, 29);
}

static void
an_unreached_store_after_a_lost_answer_stays_unknown (void **state)
{
  Fixture *f = *state;
  HsStoreReply unsent = { .status = HS_STORE_NOT_APPLIED };

  put_c1 (f);
  answer_txn (f, &LOST);
  while (f->edits == 0)
    answer_txn (f, &unsent);
  expect_outcome (f, HS_EDIT_UNKNOWN, 0);
}

static void
a_lost_deletion_is_settled_by_absence (void **state)
{
  Fixture *f = *state;
  HsStoreReply absent = { .status = HS_STORE_OK, .revision = 30 };

  load (f);
  hs_lists_sync_delete (f->sync, HS_LIST_PLANS, "c1", 3, keep_result, f);
  assert_false (f->store->txns[0].put);
  answer_txn (f, &LOST);
  answer_txn (f, &absent);
  expect_outcome (f, HS_EDIT_APPLIED, 30);
  assert_null (plan (f, "c1"));
}

static void
answers_after_the_end_are_ignored (void **state)
{
  Fixture *f = *state;
  HsStoreReply ok
      = { .status = HS_STORE_OK, .succeeded = true, .revision = 30 };

  put_c1 (f);
  TALLOC_FREE (f->sync);
  answer_txn (f, &ok);
  assert_int_equal (f->edits, 0);
}

#define SYNC_TEST(test)                                                        \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    SYNC_TEST (an_applied_edit_is_in_force_at_once),
    SYNC_TEST (another_edit_first_is_a_conflict),
    SYNC_TEST (an_unreached_store_is_certainly_not_applied),
    SYNC_TEST (a_lost_answer_is_settled_as_applied),
    SYNC_TEST (a_lost_answer_then_overwritten_is_unknown),
    SYNC_TEST (an_unreached_store_after_a_lost_answer_stays_unknown),
    SYNC_TEST (a_lost_deletion_is_settled_by_absence),
    SYNC_TEST (answers_after_the_end_are_ignored),
  };

  rcu_register_thread ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
