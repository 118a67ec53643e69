/**
 * @file
 * A fake store whose replies the test gives one by one, and lists that follow
 * it. It replaces the functions of store/store.h in a test program.
 */
#ifndef HS_TEST_FAKE_STORE_H
#define HS_TEST_FAKE_STORE_H

#include "lists/sync.h"

#define CALLS_MAX 16

/** A call that waits for its reply. */
typedef struct
{
  char prefix[64];
  HsStoreReplyFunc done;
  void *arg;
  bool put;
  int64_t expected_revision;
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
  HsStoreWatchFunc func;
  void *arg;
};

typedef struct
{
  struct tevent_context *ev;
  HsStore *store;
  HsPublishedLists *published;
  HsListsSync *sync;
  unsigned int n_changes;
  unsigned int n_edits;
  HsListEditOutcome outcome;
  int64_t edit_revision;
  char current[128];
} Fixture;

/** The latest watch of each kind of list. */
static HsStoreWatch *watches[2];

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t limit,
                HsStoreReplyFunc done,
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
              HsStoreReplyFunc done,
              void *arg)
{
  Pending *pending = &store->txns[store->n_txns++];

  assert_true (store->n_txns <= CALLS_MAX);
  g_strlcpy (pending->prefix, txn->compares[0].key, sizeof pending->prefix);
  pending->expected_revision = txn->compares[0].mod_revision;
  pending->put = txn->success[0].kind == HS_STORE_PUT;
  pending->done = done;
  pending->arg = arg;
}

static inline int
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
                HsStoreWatchFunc func,
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

static inline HsStoreKv
make_kv (const char *key, const char *value, int64_t revision)
{
  HsStoreKv kv = { .key = key,
                   .value = value,
                   .value_len = value != NULL ? strlen (value) : 0,
                   .mod_revision = revision };

  return kv;
}

/** Takes the pending range of a list; runs the loop until there is one. */
static inline Pending
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

static inline void
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

static inline void
answer_txn (Fixture *f, const HsStoreReply *reply)
{
  Pending pending;

  while (f->store->n_txns == 0)
    tevent_loop_once (f->ev);
  pending = f->store->txns[--f->store->n_txns];
  pending.done (pending.arg, reply);
}

static inline void
send_event (int kind, const char *key, const char *value, int64_t revision)
{
  HsStoreEvent event
      = { .deleted = value == NULL, .kv = make_kv (key, value, revision) };
  HsStoreWatchUpdate update = { .kind = HS_STORE_WATCH_EVENTS,
                                .revision = revision,
                                .n_events = 1,
                                .events = &event };

  watches[kind]->func (watches[kind]->arg, &update);
}

static inline const HsPlan *
published_plan (Fixture *f, const char *customer)
{
  return hs_lists_plan (hs_published_lists_get (f->published), customer);
}

static inline void
count_change (void *arg, const HsLists *lists)
{
  Fixture *f = arg;

  (void) lists;
  f->n_changes++;
}

#define GOLD "{\"plan\":\"gold\"}"
#define IRON "{\"plan\":\"iron\"}"
#define LIMITS "{\"in_flight\":8,\"starts_per_s\":50,\"queued\":100}"

static inline int
set_up (void **state)
{
  Fixture *f = g_new0 (Fixture, 1);

  f->ev = tevent_context_init (NULL);
  f->store = talloc_zero (f->ev, HsStore);
  f->published = hs_published_lists_new (f->ev);
  f->sync = hs_lists_sync_new (f->ev, f->ev, f->store, f->published,
                               count_change, f);
  *state = f;
  return 0;
}

static inline int
tear_down (void **state)
{
  Fixture *f = *state;

  talloc_free (f->sync);
  talloc_free (f->ev);
  g_free (f);
  return 0;
}

/** Answers both ranges at revision 10: c1 and c2 on gold, and gold's limits. */
static inline void
load_lists (Fixture *f)
{
  HsStoreKv plans[]
      = { make_kv ("hs/plan/c2", GOLD, 4), make_kv ("hs/plan/c1", GOLD, 3) };
  HsStoreKv allowances[] = { make_kv ("hs/allowance/gold", LIMITS, 2) };

  answer_range (f, "hs/plan/", 10, 2, plans);
  answer_range (f, "hs/allowance/", 10, 1, allowances);
}

#endif
