/* An entry's own record at the store, whose writes are answered and carried out
   in any order. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "entry/lease_manager_private.h"

#define SELF UINT64_C (1)
#define WRITES_MAX 16

/** A write that the store may still carry out. */
typedef struct
{
  bool compared;
  int64_t compared_revision;
  bool leaving;
  int64_t lease;
  HsStoreReplyFunc done;
  void *arg;
} Write;

typedef struct
{
  HsCore *core;
  HsSettings settings;
  HsEntrySettings entry;
  HsLeaseManager *manager;
  int64_t revision;
  int64_t record_revision; /* 0: there is no record. */
  int64_t record_lease;
  bool record_leaving;
  int64_t n_leases;
  HsStoreReplyFunc granted;
  void *granted_arg;
  Write writes[WRITES_MAX];
  uint32_t n_writes;
} World;

static World *world;

void
hs_store_lease_grant (HsStore *store,
                      int64_t ttl_s,
                      HsStoreReplyFunc done,
                      void *arg)
{
  (void) store;
  (void) ttl_s;
  world->granted = done;
  world->granted_arg = arg;
}

void
hs_store_lease_keepalive (HsStore *store,
                          int64_t lease,
                          HsStoreReplyFunc done,
                          void *arg)
{
  (void) store;
  (void) lease;
  (void) done;
  (void) arg;
}

void
hs_store_lease_revoke (HsStore *store,
                       int64_t lease,
                       HsStoreReplyFunc done,
                       void *arg)
{
  (void) store;
  (void) lease;
  (void) done;
  (void) arg;
}

void
hs_store_txn (HsStore *store,
              const HsStoreTxn *txn,
              HsStoreReplyFunc done,
              void *arg)
{
  Write *write = &world->writes[world->n_writes++];

  (void) store;
  assert_true (world->n_writes <= WRITES_MAX);
  assert_true (txn->n_compares <= 1);
  write->compared = txn->n_compares > 0;
  if (write->compared)
    write->compared_revision = txn->compares[0].mod_revision;
  write->leaving = strstr (txn->success[0].value, "true") != NULL;
  write->lease = txn->success[0].lease;
  write->done = done;
  write->arg = arg;
}

void
hs_lease_manager_tick (HsLeaseManager *manager, HsNow now)
{
  (void) manager;
  (void) now;
}

void
hs_lease_manager_retry_later (HsLeaseManager *manager)
{
  (void) manager;
}

void
hs_lease_manager_store_answered (HsLeaseManager *manager, HsNow now)
{
  (void) manager;
  (void) now;
}

void
hs_lease_manager_reread_parts (HsLeaseManager *manager)
{
  (void) manager;
}

void
hs_records_disowned (HsCore *core, uint32_t part)
{
  (void) core;
  (void) part;
}

void
hs_peers_announce_to_all (HsCore *core)
{
  (void) core;
}

void
hs_core_schedule_tick (HsCore *core, HsNow now)
{
  (void) core;
  (void) now;
}

static World *
world_new (void)
{
  World *w = g_new0 (World, 1);

  world = w;
  w->revision = 10;
  w->core = talloc_zero (NULL, HsCore);
  w->core->settings = &w->settings;
  w->core->entry = &w->entry;
  w->core->incarnation = SELF;
  w->settings.data_centre = (char *) "a";
  w->entry.rpc_address = (char *) "127.0.0.1:1";
  w->entry.lease = 6 * HS_SEC;
  w->manager = talloc_zero (w->core, HsLeaseManager);
  w->manager->core = w->core;
  w->manager->promises = hs_promises_new (w->manager);
  return w;
}

static void
world_free (World *w)
{
  talloc_free (w->core);
  g_free (w);
  world = NULL;
}

/* The store carries a write out; returns whether it took effect. */
static bool
apply (World *w, uint32_t i)
{
  const Write *write = &w->writes[i];

  if (write->compared && write->compared_revision != w->record_revision)
    return false;
  w->record_revision = ++w->revision;
  w->record_lease = write->lease;
  w->record_leaving = write->leaving;
  return true;
}

static void
answer (World *w, uint32_t i, HsStoreStatus status, bool succeeded)
{
  HsStoreKv kv = { .key = "hs/entry/0000000000000001",
                   .value = "{}",
                   .mod_revision = w->record_revision };
  HsStoreReply reply = { .status = status,
                         .succeeded = succeeded,
                         .revision = w->revision,
                         .kvs = &kv,
                         .n_kvs = !succeeded && w->record_revision != 0 };

  w->writes[i].done (w->writes[i].arg, &reply);
}

/* Carries out and answers all writes from number @p i on. */
static void
finish_writes (World *w, uint32_t i)
{
  for (; i < w->n_writes; i++)
    answer (w, i, HS_STORE_OK, apply (w, i));
}

static void
request_lease (World *w)
{
  HsStoreReply reply
      = { .status = HS_STORE_OK, .lease = ++w->n_leases, .ttl_s = 6 };

  hs_lease_manager_request_lease (w->manager, hs_now ());
  w->granted (w->granted_arg, &reply);
}

static void
expire_lease (World *w, int64_t lease)
{
  if (w->record_lease == lease)
    w->record_revision = 0;
}

/* The first write was given up together with its lease. It is carried out after
   the next one, and its lease ends. */
static void
a_record_written_late_doesnt_go_with_an_earlier_lease (void **state)
{
  World *w = world_new ();

  (void) state;
  request_lease (w);
  answer (w, 0, HS_STORE_UNKNOWN, false);
  assert_int_equal (w->manager->state, HS_LEASE_NONE);
  request_lease (w);
  finish_writes (w, 1);
  assert_int_equal (w->manager->state, HS_LEASE_HELD);
  apply (w, 0);
  expire_lease (w, 1);
  assert_int_not_equal (w->record_revision, 0);
  assert_int_equal (w->record_lease, 2);
  assert_int_equal (w->manager->own_record_revision, w->record_revision);
  world_free (w);
}

/* The late write is carried out before the next one. */
static void
a_record_that_was_written_after_all_is_replaced (void **state)
{
  World *w = world_new ();

  (void) state;
  request_lease (w);
  answer (w, 0, HS_STORE_UNKNOWN, false);
  apply (w, 0);
  request_lease (w);
  finish_writes (w, 1);
  assert_int_equal (w->manager->state, HS_LEASE_HELD);
  expire_lease (w, 1);
  assert_int_equal (w->record_lease, 2);
  assert_int_equal (w->manager->own_record_revision, w->record_revision);
  /* The record went with its lease, and a new lease is granted. */
  expire_lease (w, 2);
  w->manager->state = HS_LEASE_NONE;
  request_lease (w);
  finish_writes (w, w->n_writes - 1);
  assert_int_equal (w->manager->state, HS_LEASE_HELD);
  assert_int_equal (w->record_lease, 3);
  world_free (w);
}

/* Other entries would hand partitions over to an entry that leaves. */
static void
a_record_written_late_doesnt_undo_leaving (void **state)
{
  World *w = world_new ();

  (void) state;
  request_lease (w);
  finish_writes (w, 0);
  hs_lease_manager_write_own_record (w->manager);
  answer (w, 1, HS_STORE_UNKNOWN, false);
  w->core->leaving = true;
  hs_lease_manager_announce_leaving (w->manager);
  finish_writes (w, 2);
  apply (w, 1);
  assert_true (w->record_leaving);
  assert_int_equal (w->manager->own_record_revision, w->record_revision);
  world_free (w);
}

/* The answer to a write under the last lease comes after the next lease was
   granted, and its record went with the last one. */
static void
a_record_of_the_last_lease_doesnt_hold_the_next_one (void **state)
{
  World *w = world_new ();

  (void) state;
  request_lease (w);
  finish_writes (w, 0);
  hs_lease_manager_write_own_record (w->manager);
  assert_true (apply (w, 1));
  expire_lease (w, 1);
  w->manager->state = HS_LEASE_NONE;
  request_lease (w);
  answer (w, 1, HS_STORE_OK, true);
  assert_int_equal (w->manager->state, HS_LEASE_GRANTING);
  finish_writes (w, 2);
  assert_int_equal (w->manager->state, HS_LEASE_HELD);
  assert_int_equal (w->record_lease, 2);
  assert_int_equal (w->manager->own_record_revision, w->record_revision);
  world_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_record_written_late_doesnt_go_with_an_earlier_lease),
    cmocka_unit_test (a_record_that_was_written_after_all_is_replaced),
    cmocka_unit_test (a_record_written_late_doesnt_undo_leaving),
    cmocka_unit_test (a_record_of_the_last_lease_doesnt_hold_the_next_one),
  };

  return cmocka_run_group_tests_name ("own record", tests, NULL, NULL);
}
