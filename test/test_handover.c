/* Planned moves of a partition with a store and a network whose answers and
   messages the test delivers in any order: writes that are carried out after
   they counted as unknown, and HANDOVER messages of an earlier attempt. The
   agent that runs the tasks is out of reach of the new owner, so that only the
   jobs that were handed over tell it what was started. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "entry/core.h"
#include "owner_fixture.h"
#include "prng.h"

#define FROM UINT64_C (1)
#define TO UINT64_C (2)
#define ITEMS_MAX 64
#define SEEDS 300
#define STEPS 40

/** A transaction that the store may still carry out. */
typedef struct
{
  TALLOC_CTX *memory;
  HsStoreCompare compares[4];
  size_t n_compares;
  char *value; /* Of the partition's record. */
  HsStoreReplyFunc done;
  void *arg;
  bool applied;
  bool answered;
  int64_t revision;
} Write;

/** A HANDOVER call; its message may arrive after the caller has given up. */
typedef struct
{
  hsx_handover_args args;
  HsRpcReplyFunc done;
  void *arg;
  bool delivered;
  bool answered;
} Message;

typedef struct
{
  OwnerFixture *from;
  OwnerFixture *to;
  HsCore *core;
  HsEntrySettings settings;
  HsOwnership *view; /* Of the old owner. */
  int64_t revision;
  int64_t part_revision;
  int64_t part_previous;
  char *part_json;
  bool moved;
  bool reread_due;
  Write writes[ITEMS_MAX];
  uint32_t n_writes;
  Message messages[ITEMS_MAX];
  uint32_t n_messages;
  char dummy_conn;
} World;

static World *world;

static bool compares_hold (const Write *write);
static bool apply_write (World *w, uint32_t i);
static void answer_write (World *w, uint32_t i, HsStoreStatus status);
static void deliver (World *w, uint32_t i);
static void answer_message (World *w, uint32_t i, HsRpcStatus status);
static void read_parts (World *w);

void
hs_store_txn (HsStore *store,
              const HsStoreTxn *txn,
              HsStoreReplyFunc done,
              void *arg)
{
  Write *write = &world->writes[world->n_writes++];
  size_t i;

  (void) store;
  assert_true (world->n_writes <= ITEMS_MAX);
  assert_true (txn->n_compares <= G_N_ELEMENTS (write->compares));
  assert_int_equal (txn->n_success, 1);
  write->memory = world->core;
  write->n_compares = txn->n_compares;
  for (i = 0; i < txn->n_compares; i++)
    {
      write->compares[i].key
          = talloc_strdup (write->memory, txn->compares[i].key);
      write->compares[i].mod_revision = txn->compares[i].mod_revision;
    }
  write->value = talloc_strdup (write->memory, txn->success[0].value);
  write->done = done;
  write->arg = arg;
}

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  Message *message = &world->messages[world->n_messages++];
  hsx_handover_args *source = (hsx_handover_args *) (uintptr_t) args;
  xdrproc_t codec = (xdrproc_t) xdr_hsx_handover_args;
  u_int size = (u_int) xdr_sizeof (codec, source);
  g_autofree char *buffer = g_malloc (size);
  XDR xdrs;

  (void) conn;
  (void) timeout;
  assert_true (world->n_messages <= ITEMS_MAX);
  assert_int_equal (proc, HSX_HANDOVER);
  xdrmem_create (&xdrs, buffer, size, XDR_ENCODE);
  assert_true (xdr_hsx_handover_args (&xdrs, source));
  xdr_destroy (&xdrs);
  xdrmem_create (&xdrs, buffer, size, XDR_DECODE);
  assert_true (xdr_hsx_handover_args (&xdrs, &message->args));
  xdr_destroy (&xdrs);
  message->done = done;
  message->arg = arg;
  return true;
}

HsNow
hs_now (void)
{
  return world->from->now;
}

HsConn *
hs_links_conn (const HsLinks *links, uint64_t incarnation)
{
  (void) links;
  (void) incarnation;
  return (HsConn *) (void *) &world->dummy_conn;
}

void
hs_core_schedule_tick (HsCore *core, HsNow now)
{
  (void) core;
  (void) now;
}

const HsOwnership *
hs_lease_manager_view (const HsLeaseManager *manager)
{
  (void) manager;
  return world->view;
}

void
hs_lease_manager_reread_parts (HsLeaseManager *manager)
{
  (void) manager;
  world->reread_due = true;
}

void
hs_lease_manager_apply_own_write (HsLeaseManager *manager,
                                  const uint32_t *parts,
                                  uint32_t n,
                                  uint64_t owner,
                                  bool handed_over,
                                  int64_t revision)
{
  (void) manager;
  (void) owner;
  (void) handed_over;
  (void) revision;
  assert_int_equal (n, 1);
  assert_int_equal (parts[0], fixture_partition ());
  read_parts (world);
}

/* The old owner's view learns the record, as in on_part_changed(). */
static void
read_parts (World *w)
{
  uint32_t part = fixture_partition ();
  const HsPartRecord *record = hs_ownership_part_record (w->view, part);
  HsOwnedPartition owned;

  if (!hs_ownership_apply_part (w->view, part, w->part_json, w->part_revision,
                                w->part_previous))
    return;
  owned = (HsOwnedPartition){ part, (uint64_t) record->revision,
                              (uint64_t) record->previous_revision, false };
  if (record->owner == FROM)
    hs_owner_acquire (w->from->owner, 1, &owned, w->from->now);
  else
    hs_owner_release (w->from->owner, part, w->from->now);
}

static World *
world_new (void)
{
  World *w = g_new0 (World, 1);
  HsEntryRecord entry = { .address = "127.0.0.1:1", .data_centre = "a" };

  world = w;
  w->from = fixture_new ();
  w->to = fixture_new ();
  w->core = talloc_zero (NULL, HsCore);
  w->settings.partitions = 8;
  w->settings.rpc_address = (char *) "127.0.0.1:1";
  w->core->entry = &w->settings;
  w->core->incarnation = FROM;
  w->core->owner = w->from->owner;
  w->core->handovers = hs_handovers_new (w->core);
  w->view = hs_ownership_new (w->core, FROM, 8);
  hs_ownership_apply_entry (w->view, FROM,
                            hs_ownership_entry_json (w->core, &entry), 1);
  hs_ownership_apply_entry (w->view, TO,
                            hs_ownership_entry_json (w->core, &entry), 2);
  w->revision = w->part_revision = w->part_previous = (int64_t) EPOCH;
  w->part_json = hs_ownership_part_json (w->core, FROM, "127.0.0.1:1", 0);
  fixture_acquire (w->from, EPOCH, 0);
  hs_ownership_apply_part (w->view, fixture_partition (), w->part_json,
                           w->part_revision, w->part_revision);
  /* The agent that the old owner uses doesn't answer the new one. */
  fixture_set_member_state (w->to, AGENT, HSX_MEMBER_UP);
  fixture_add_agent (w->to, OTHER_AGENT);
  return w;
}

static void
world_free (World *w)
{
  uint32_t i;

  for (i = 0; i < w->n_messages; i++)
    xdr_free ((xdrproc_t) xdr_hsx_handover_args, &w->messages[i].args);
  talloc_free (w->core);
  fixture_free (w->from);
  fixture_free (w->to);
  g_free (w);
  world = NULL;
}

static bool
compares_hold (const Write *write)
{
  size_t i;

  for (i = 0; i < write->n_compares; i++)
    {
      const HsStoreCompare *compare = &write->compares[i];
      uint64_t entry;
      int64_t revision = world->part_revision;

      if (hs_ownership_parse_entry_key (compare->key, &entry))
        revision = entry == FROM ? 1 : 2;
      if (compare->mod_revision != revision)
        return false;
    }
  return true;
}

/* The store carries a write out; returns whether it took effect. */
static bool
apply_write (World *w, uint32_t i)
{
  Write *write = &w->writes[i];
  HsOwnedPartition owned;
  const HsPartRecord *record;
  HsOwnership *reader;

  if (write->applied)
    return write->revision != 0;
  write->applied = true;
  if (!compares_hold (write))
    return false;
  w->part_previous = w->part_revision;
  w->part_revision = write->revision = ++w->revision;
  w->part_json = write->value;
  reader = hs_ownership_new (w->core, TO, 8);
  hs_ownership_apply_part (reader, fixture_partition (), w->part_json,
                           w->part_revision, w->part_previous);
  record = hs_ownership_part_record (reader, fixture_partition ());
  if (record->owner != TO)
    return true;
  w->moved = true;
  owned = (HsOwnedPartition){ fixture_partition (), (uint64_t) w->part_revision,
                              (uint64_t) w->part_previous,
                              record->handed_from == w->part_previous };
  hs_owner_acquire (w->to->owner, 1, &owned, w->to->now);
  hs_owner_claims_loaded (w->to->owner, fixture_partition (), w->to->now);
  fixture_recover_reply (w->to, OTHER_AGENT, NULL, 0);
  return true;
}

static void
answer_write (World *w, uint32_t i, HsStoreStatus status)
{
  Write *write = &w->writes[i];
  HsStoreReply reply = { .status = status };

  if (write->answered)
    return;
  write->answered = true;
  if (status == HS_STORE_OK)
    {
      reply.succeeded = apply_write (w, i);
      reply.revision = write->revision;
    }
  write->done (write->arg, &reply);
}

static void
deliver (World *w, uint32_t i)
{
  Message *message = &w->messages[i];
  hsx_handover_reply reply;

  if (message->delivered)
    return;
  message->delivered = true;
  reply.accepted = hs_owner_import (w->to->owner, &message->args, w->to->now);
  if (message->answered)
    return;
  message->answered = true;
  message->done (message->arg, HS_RPC_OK, &reply);
}

static void
answer_message (World *w, uint32_t i, HsRpcStatus status)
{
  Message *message = &w->messages[i];

  if (message->answered)
    return;
  message->answered = true;
  message->done (message->arg, status, NULL);
}

static void
reread (World *w)
{
  if (!w->reread_due)
    return;
  w->reread_due = false;
  read_parts (w);
  hs_handovers_parts_reread (w->core->handovers, w->from->now);
}

static void
request_move (World *w)
{
  w->from->now.mono += HS_SEC;
  hs_owner_set_lease (w->from->owner, w->from->now.mono + 10 * HS_SEC);
  hs_handovers_request (w->core->handovers, TO, fixture_partition (),
                        w->from->now);
  hs_handovers_start (w->core->handovers, w->from->now);
}

/* Answers the writes from number @p first on, and reads as often as asked. */
static void
finish_writes (World *w, uint32_t first)
{
  uint32_t i;

  reread (w);
  for (i = first; i < w->n_writes; i++)
    {
      answer_write (w, i, HS_STORE_OK);
      reread (w);
    }
}

/* Longer than the new owner waits for the agent that doesn't answer. */
static void
wait_for_recovery (World *w)
{
  hs_owner_set_lease (w->to->owner, w->to->now.mono + 10 * HS_SEC);
  fixture_advance (w->to, 3 * HS_SEC);
}

static uint32_t
count_starts (const World *w, const char *id)
{
  uint32_t n = 0;
  guint i;

  for (i = 0; i < w->from->starts->len; i++)
    n += strcmp (fixture_sent_start (w->from, i)->id, id) == 0;
  for (i = 0; i < w->to->starts->len; i++)
    n += strcmp (fixture_sent_start (w->to, i)->id, id) == 0;
  return n;
}

/* The write of the new owner was given up, as a read didn't show it, and is
   carried out after the old owner went on. */
static void
a_handover_that_is_written_late_starts_no_task_twice (void **state)
{
  World *w = world_new ();
  char *id = fixture_new_id (w->from, 0, 1);

  (void) state;
  fixture_submit (w->from, id, 1, 'x');
  request_move (w);
  deliver (w, 0);
  assert_int_equal (w->n_writes, 1);
  answer_write (w, 0, HS_STORE_UNKNOWN);
  finish_writes (w, 1);
  fixture_add_agent (w->from, AGENT);
  assert_int_equal (w->from->starts->len, 1);
  apply_write (w, 0);
  wait_for_recovery (w);
  assert_int_equal (count_starts (w, id), 1);
  world_free (w);
}

/* The message of a move that was given up arrives after those of the next. */
static void
a_handover_message_of_an_earlier_attempt_is_not_adopted (void **state)
{
  World *w = world_new ();
  char *id = fixture_new_id (w->from, 0, 1);

  (void) state;
  fixture_submit (w->from, id, 1, 'x');
  request_move (w);
  answer_message (w, 0, HS_RPC_DISCONNECTED);
  finish_writes (w, 0);
  fixture_add_agent (w->from, AGENT);
  assert_int_equal (w->from->starts->len, 1);
  request_move (w);
  deliver (w, 1);
  deliver (w, 0);
  finish_writes (w, 0);
  assert_true (w->moved);
  assert_int_equal (hs_owner_unfinished_jobs (w->to->owner), 1);
  wait_for_recovery (w);
  assert_int_equal (count_starts (w, id), 1);
  world_free (w);
}

/* The first of two messages arrived before the move was given up; the jobs of
   the next attempt aren't added to it. */
static void
a_handover_that_was_cut_short_leaves_no_jobs_behind (void **state)
{
  World *w = world_new ();
  guint i;

  (void) state;
  fixture_set_allowance (w->from, 100, 1000, 1000);
  for (i = 0; i < 65; i++)
    fixture_submit (w->from, fixture_new_id (w->from, 0, (uint8_t) (i + 1)), 1,
                    'x');
  request_move (w);
  assert_int_equal (w->n_messages, 2);
  deliver (w, 0);
  answer_message (w, 1, HS_RPC_DISCONNECTED);
  finish_writes (w, 0);
  fixture_add_agent (w->from, AGENT);
  assert_int_equal (w->from->starts->len, SLOTS);
  request_move (w);
  deliver (w, 2);
  deliver (w, 3);
  finish_writes (w, 0);
  assert_true (w->moved);
  wait_for_recovery (w);
  for (i = 0; i < w->to->starts->len; i++)
    fixture_send_result (w->to, fixture_sent_start (w->to, i), HSX_DONE,
                         HSX_REFUSAL_NONE, "");
  assert_true (w->to->starts->len >= 65 - SLOTS);
  for (i = 0; i < SLOTS; i++)
    assert_int_equal (count_starts (w, fixture_sent_start (w->from, i)->id), 1);
  world_free (w);
}

/* The epoch that takes the partition back overtakes a start, which the agent
   then refuses. */
static void
a_start_that_meets_the_epoch_of_a_withdrawn_move_is_sent_again (void **state)
{
  World *w = world_new ();
  HsWaiter waiter;

  (void) state;
  fixture_add_agent (w->from, AGENT);
  waiter = fixture_submit (w->from, fixture_new_id (w->from, 0, 1), 1, 'x');
  assert_int_equal (w->from->starts->len, 1);
  request_move (w);
  answer_message (w, 0, HS_RPC_DISCONNECTED);
  finish_writes (w, 0);
  fixture_send_result (w->from, fixture_sent_start (w->from, 0), HSX_REFUSED,
                       HSX_REFUSAL_EPOCH, "");
  fixture_advance (w->from, 100 * HS_MSEC);
  assert_int_equal (w->from->starts->len, 2);
  assert_int_equal (fixture_sent_start (w->from, 1)->epoch, w->part_revision);
  fixture_send_result (w->from, fixture_sent_start (w->from, 1), HSX_DONE,
                       HSX_REFUSAL_NONE, "");
  assert_int_equal (fixture_answer (w->from, waiter)->state, HSX_JOB_COMPLETE);
  world_free (w);
}

/* While the epoch isn't written nothing is started, however often the store
   fails; the write that takes the partition back may be carried out late, too.
 */
static void
a_withdrawn_move_waits_for_the_store (void **state)
{
  World *w = world_new ();
  HsWaiter waiter;

  (void) state;
  fixture_submit (w->from, fixture_new_id (w->from, 0, 1), 1, 'x');
  request_move (w);
  waiter = fixture_submit (w->from, fixture_new_id (w->from, 0, 2), 1, 'x');
  answer_message (w, 0, HS_RPC_TIMEOUT);
  fixture_add_agent (w->from, AGENT);
  answer_write (w, 0, HS_STORE_NOT_APPLIED);
  reread (w);
  answer_write (w, 1, HS_STORE_UNKNOWN);
  assert_int_equal (w->from->starts->len, 0);
  apply_write (w, 1);
  reread (w);
  assert_int_equal (w->n_writes, 2);
  assert_int_equal (w->from->starts->len, 2);
  assert_true (hs_owner_is_serving (w->from->owner, fixture_partition ()));
  fixture_send_result (w->from, fixture_sent_start (w->from, 1), HSX_DONE,
                       HSX_REFUSAL_NONE, "");
  assert_non_null (fixture_answer (w->from, waiter));
  world_free (w);
}

static void
random_step (World *w, Prng *random)
{
  uint32_t m = w->n_messages > 0 ? prng_below (random, w->n_messages) : 0;
  uint32_t x = w->n_writes > 0 ? prng_below (random, w->n_writes) : 0;

  switch (prng_below (random, 9))
    {
    case 0:
      if (!w->moved)
        request_move (w);
      return;
    case 1:
    case 2:
      if (w->n_messages > 0)
        deliver (w, m);
      return;
    case 3:
      if (w->n_messages > 0 && prng_below (random, 2) == 0)
        answer_message (w, m, HS_RPC_DISCONNECTED);
      return;
    case 4:
      if (w->n_writes > 0)
        apply_write (w, x);
      return;
    case 5:
      if (w->n_writes > 0)
        answer_write (w, x, HS_STORE_OK);
      return;
    case 6:
      if (w->n_writes > 0)
        answer_write (w, x, HS_STORE_UNKNOWN);
      return;
    case 7:
      reread (w);
      return;
    case 8:
      fixture_grant (w->from, AGENT, (uint32_t) w->from->starts->len + 2);
      return;
    }
}

/* Messages, writes and their answers cross in any order. */
static void
no_order_of_messages_and_writes_starts_a_task_twice (void **state)
{
  uint32_t moves = 0;
  uint32_t starts = 0;
  uint32_t seed;

  (void) state;
  for (seed = 0; seed < SEEDS; seed++)
    {
      World *w = world_new ();
      Prng random = prng_seeded (seed);
      uint32_t i;

      hs_owner_set_lease (w->from->owner, w->from->now.mono + 10 * HS_SEC);
      for (i = 0; i < 12; i++)
        fixture_submit (w->from, fixture_new_id (w->from, 0, (uint8_t) (i + 1)),
                        1, 'x');
      fixture_set_member_state (w->from, AGENT, HSX_MEMBER_UP);
      hs_owner_agent_visible (w->from->owner, AGENT, w->from->now);
      hs_owner_agent_connected (w->from->owner, AGENT, w->from->now);
      for (i = 0; i < STEPS && w->n_messages < ITEMS_MAX - 2
                  && w->n_writes < ITEMS_MAX - 2;
           i++)
        random_step (w, &random);
      for (i = 0; i < w->n_writes; i++)
        apply_write (w, i);
      wait_for_recovery (w);
      moves += w->moved;
      starts += w->from->starts->len;
      for (i = 0; i < w->from->starts->len; i++)
        if (count_starts (w, fixture_sent_start (w->from, i)->id) != 1)
          fail_msg ("seed %u: a task was started twice", seed);
      world_free (w);
    }
  assert_true (moves > 0);
  assert_true (starts > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_handover_that_is_written_late_starts_no_task_twice),
    cmocka_unit_test (a_handover_message_of_an_earlier_attempt_is_not_adopted),
    cmocka_unit_test (a_handover_that_was_cut_short_leaves_no_jobs_behind),
    cmocka_unit_test (
        a_start_that_meets_the_epoch_of_a_withdrawn_move_is_sent_again),
    cmocka_unit_test (a_withdrawn_move_waits_for_the_store),
    cmocka_unit_test (no_order_of_messages_and_writes_starts_a_task_twice),
  };

  return cmocka_run_group_tests_name ("handover", tests, NULL, NULL);
}
