/**
 * @file
 * The lists' following of the store, against a store whose answers the test
 * gives by hand.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "lists/sync.h"

#define CALLS_MAX 16

/** A call that waits for its answer. */
typedef struct
{
  char prefix[64];
  HsStoreDone done;
  void *arg;
  bool put;
  int64_t expected;
} Pending;

struct HsStore
{
  Pending ranges[CALLS_MAX];
  unsigned int n_ranges;
  Pending txns[CALLS_MAX];
  unsigned int n_txns;
  unsigned int n_watches;
};

struct HsStoreWatch
{
  HsStore *store;
  char prefix[64];
  int64_t start_revision;
  HsWatchFunc func;
  void *arg;
};

typedef struct
{
  struct tevent_context *ev;
  HsStore *store;
  HsListsBox *box;
  HsListsSync *sync;
  unsigned int changes;
  unsigned int edits;
  HsEditOutcome outcome;
  int64_t edit_revision;
  char present[128];
} Fixture;

/** Watches by kind of list; the latest one. */
static HsStoreWatch *watches[2];

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t limit,
                HsStoreDone done,
                void *arg)
{
  Pending *pending = &store->ranges[store->n_ranges++];

  (void) limit;
  assert_true (store->n_ranges <= CALLS_MAX);
  g_strlcpy (pending->prefix, prefix, sizeof pending->prefix);
  pending->done = done;
  pending->arg = arg;
}

void
hs_store_txn (HsStore *store,
              const HsStoreTxn *txn,
              HsStoreDone done,
              void *arg)
{
  Pending *pending = &store->txns[store->n_txns++];

  assert_true (store->n_txns <= CALLS_MAX);
  g_strlcpy (pending->prefix, txn->compares[0].key, sizeof pending->prefix);
  pending->expected = txn->compares[0].mod_revision;
  pending->put = txn->success[0].kind == HS_STORE_PUT;
  pending->done = done;
  pending->arg = arg;
}

static int
end_watch (HsStoreWatch *watch)
{
  int kind = strcmp (watch->prefix, "hs/plan/") == 0 ? 0 : 1;

  if (watches[kind] == watch)
    watches[kind] = NULL;
  return 0;
}

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t start_revision,
                HsWatchFunc func,
                void *arg)
{
  HsStoreWatch *watch = talloc_zero (store, HsStoreWatch);

  store->n_watches++;
  g_strlcpy (watch->prefix, prefix, sizeof watch->prefix);
  watch->start_revision = start_revision;
  watch->func = func;
  watch->arg = arg;
  watches[strcmp (prefix, "hs/plan/") == 0 ? 0 : 1] = watch;
  talloc_set_destructor (watch, end_watch);
  return watch;
}

static HsStoreKv
record (const char *key, const char *value, int64_t revision)
{
  HsStoreKv kv = { .key = key,
                   .value = value,
                   .value_len = value != NULL ? strlen (value) : 0,
                   .mod_revision = revision };

  return kv;
}

/** The waiting range of a list; runs the loop until there is one. */
static Pending
take_range (Fixture *f, const char *prefix)
{
  Pending taken;
  unsigned int i;

  for (;;)
    {
      for (i = 0; i < f->store->n_ranges; i++)
        if (strcmp (f->store->ranges[i].prefix, prefix) == 0)
          {
            taken = f->store->ranges[i];
            f->store->ranges[i] = f->store->ranges[--f->store->n_ranges];
            return taken;
          }
      tevent_loop_once (f->ev);
    }
}

static void
answer_range (Fixture *f,
              const char *prefix,
              int64_t revision,
              size_t n,
              const HsStoreKv *kvs)
{
  Pending pending = take_range (f, prefix);
  HsStoreReply reply
      = { .status = HS_STORE_OK, .revision = revision, .n_kvs = n, .kvs = kvs };

  pending.done (pending.arg, &reply);
}

static void
answer_txn (Fixture *f, const HsStoreReply *reply)
{
  Pending pending;

  while (f->store->n_txns == 0)
    tevent_loop_once (f->ev);
  pending = f->store->txns[--f->store->n_txns];
  pending.done (pending.arg, reply);
}

static void
send_event (int kind, const char *key, const char *value, int64_t revision)
{
  HsStoreEvent event
      = { .deleted = value == NULL, .kv = record (key, value, revision) };
  HsWatchNote note = { .kind = HS_WATCH_EVENTS,
                       .revision = revision,
                       .n_events = 1,
                       .events = &event };

  watches[kind]->func (watches[kind]->arg, &note);
}

static const HsPlan *
plan (Fixture *f, const char *customer)
{
  return hs_lists_plan (hs_lists_get (f->box), customer);
}

static void
count_change (void *arg, const HsLists *lists)
{
  Fixture *f = arg;

  (void) lists;
  f->changes++;
}

#define GOLD "{\"plan\":\"gold\"}"
#define IRON "{\"plan\":\"iron\"}"
#define LIMITS "{\"in_flight\":8,\"starts_per_s\":50,\"queued\":100}"

static int
set_up (void **state)
{
  Fixture *f = g_new0 (Fixture, 1);

  f->ev = tevent_context_init (NULL);
  f->store = talloc_zero (f->ev, HsStore);
  f->box = hs_lists_box_new (f->ev);
  f->sync = hs_lists_sync_new (f->ev, f->ev, f->store, f->box, count_change, f);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *f = *state;

  talloc_free (f->sync);
  talloc_free (f->ev);
  g_free (f);
  return 0;
}

/** Both lists read at revision 10: c1 and c2 on gold, gold's limits. */
static void
load (Fixture *f)
{
  HsStoreKv plans[]
      = { record ("hs/plan/c2", GOLD, 4), record ("hs/plan/c1", GOLD, 3) };
  HsStoreKv allowances[] = { record ("hs/allowance/gold", LIMITS, 2) };

  answer_range (f, "hs/plan/", 10, 2, plans);
  answer_range (f, "hs/allowance/", 10, 1, allowances);
}

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
    SYNC_TEST (nothing_is_published_before_both_lists_are_read),
    SYNC_TEST (changes_are_followed_from_the_range_on),
    SYNC_TEST (after_compaction_the_list_is_read_again),
    SYNC_TEST (a_stale_range_is_ignored_and_read_again),
    SYNC_TEST (a_failed_range_is_tried_again),
    SYNC_TEST (age_counts_from_the_last_proof),
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
