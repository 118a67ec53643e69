/* The view of the records at the store, with reads that are answered late. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "entry/lease_manager_private.h"
#include "owner_fixture.h"

#define SELF UINT64_C (1)
#define OTHER UINT64_C (2)
#define READS_MAX 8

/** A range that waits for its reply. */
typedef struct
{
  HsStoreReplyFunc done;
  void *arg;
} Read;

typedef struct
{
  OwnerFixture *fixture;
  HsCore *core;
  HsEntrySettings entry;
  HsLeaseManager *manager;
  Read reads[READS_MAX];
  uint32_t n_reads;
} World;

static World *world;

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t limit,
                HsStoreReplyFunc done,
                void *arg)
{
  (void) store;
  (void) prefix;
  (void) limit;
  assert_true (world->n_reads < READS_MAX);
  world->reads[world->n_reads++] = (Read){ done, arg };
}

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t start_revision,
                HsStoreWatchFunc func,
                void *arg)
{
  (void) store;
  (void) prefix;
  (void) start_revision;
  (void) func;
  (void) arg;
  return NULL;
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
hs_lease_manager_update_lease (HsLeaseManager *manager, HsNow now)
{
  (void) manager;
  (void) now;
}

void
hs_lease_manager_store_answered (HsLeaseManager *manager, HsNow now)
{
  (void) manager;
  (void) now;
}

void
hs_lease_manager_peer_down (HsLeaseManager *manager, uint64_t peer)
{
  (void) manager;
  (void) peer;
}

void
hs_records_owned (HsCore *core, uint32_t part, int64_t revision)
{
  (void) core;
  (void) part;
  (void) revision;
}

void
hs_records_disowned (HsCore *core, uint32_t part)
{
  (void) core;
  (void) part;
}

void
hs_calls_part_moved (HsCalls *calls, uint32_t part, HsNow now)
{
  (void) calls;
  (void) part;
  (void) now;
}

void
hs_links_connect (HsLinks *links,
                  hsx_role role,
                  uint64_t incarnation,
                  const char *address,
                  HsTime now)
{
  (void) links;
  (void) role;
  (void) incarnation;
  (void) address;
  (void) now;
}

void
hs_handovers_parts_reread (HsHandovers *handovers, HsNow now)
{
  (void) handovers;
  (void) now;
}

void
hs_core_schedule_tick (HsCore *core, HsNow now)
{
  (void) core;
  (void) now;
}

HsNow
hs_now (void)
{
  return world->fixture->now;
}

static World *
world_new (void)
{
  World *w = g_new0 (World, 1);

  world = w;
  w->fixture = fixture_new ();
  w->core = talloc_zero (NULL, HsCore);
  w->entry.partitions = 8;
  w->core->entry = &w->entry;
  w->core->incarnation = SELF;
  w->core->owner = w->fixture->owner;
  w->manager = talloc_zero (w->core, HsLeaseManager);
  w->core->lease_manager = w->manager;
  w->manager->core = w->core;
  w->manager->promises = hs_promises_new (w->manager);
  w->manager->view = hs_ownership_new (w->manager, SELF, 8);
  w->manager->released_epochs = talloc_zero_array (w->manager, int64_t, 8);
  return w;
}

static void
world_free (World *w)
{
  talloc_free (w->core);
  fixture_free (w->fixture);
  g_free (w);
  world = NULL;
}

static void
answer_entries (World *w, uint32_t read, int64_t revision)
{
  HsStoreReply reply = { .status = HS_STORE_OK, .revision = revision };

  w->reads[read].done (w->reads[read].arg, &reply);
}

static void
answer_parts (World *w,
              uint32_t read,
              int64_t revision,
              uint64_t owner,
              int64_t part_revision)
{
  HsStoreKv kv = { .create_revision = 5, .mod_revision = part_revision };
  HsStoreReply reply
      = { .status = HS_STORE_OK, .revision = revision, .n_kvs = 1, .kvs = &kv };
  char *value = hs_ownership_part_json (w->core, owner, "127.0.0.1:1", 0);

  kv.key = hs_ownership_part_key (w->core, fixture_partition ());
  kv.value = value;
  kv.value_len = strlen (value);
  w->reads[read].done (w->reads[read].arg, &reply);
}

/* The lease lapsed, and a new one was granted while the records were being
   read. Another entry took the partition over before the own record was
   written, and after the store had read it. */
static void
a_read_of_before_the_own_record_confirms_no_ownership (void **state)
{
  World *w = world_new ();
  HsLeaseManager *manager = w->manager;

  (void) state;
  fixture_acquire (w->fixture, 20, 0);
  manager->state = HS_LEASE_GRANTING;
  hs_lease_manager_read_all (manager);
  answer_entries (w, 0, 30);
  assert_int_equal (w->n_reads, 2);
  /* As in on_own_record_written(). */
  manager->own_record_revision = 40;
  manager->state = HS_LEASE_HELD;
  manager->parts_read = manager->entries_read = false;
  answer_parts (w, 1, 30, SELF, 20);
  assert_false (manager->view_confirmed);
  assert_false (manager->parts_read);
  hs_lease_manager_read_all (manager);
  answer_entries (w, 2, 41);
  answer_parts (w, 3, 41, OTHER, 35);
  assert_true (manager->view_confirmed);
  assert_false (hs_owner_owns (w->fixture->owner, fixture_partition ()));
  world_free (w);
}

/* The same for the records of the entries. */
static void
entries_read_before_the_own_record_are_read_again (void **state)
{
  World *w = world_new ();
  HsLeaseManager *manager = w->manager;

  (void) state;
  manager->state = HS_LEASE_GRANTING;
  hs_lease_manager_read_all (manager);
  manager->own_record_revision = 40;
  manager->state = HS_LEASE_HELD;
  answer_entries (w, 0, 30);
  assert_false (manager->entries_read);
  assert_false (manager->reading);
  hs_lease_manager_read_all (manager);
  answer_entries (w, 1, 40);
  assert_true (manager->entries_read);
  world_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_read_of_before_the_own_record_confirms_no_ownership),
    cmocka_unit_test (entries_read_before_the_own_record_are_read_again),
  };

  return cmocka_run_group_tests_name ("partition view", tests, NULL, NULL);
}
