#include <string.h>

#include "base/log.h"
#include "entry/core.h"

#define PART "handover"

/** Most partitions moved by one transaction. */
#define GROUP_MAX 16

/** Most groups in progress at a time. */
#define GROUPS_MAX 4

#define HANDOVER_CALL_TIMEOUT (3 * HS_SEC)

/** No move is requested for so long after one was given up, since each attempt
 *  writes records and asks all agents. */
#define RETRY_DELAY (500 * HS_MSEC)

typedef enum
{
  GROUP_SENDING,     /* The new owner imports the state. */
  GROUP_WRITING,     /* The owner records are being written. */
  GROUP_WITHDRAWING, /* The move is given up: the records are being written
                       with this entry as owner. */
  GROUP_REREADING    /* Whether one of these writes took effect is unknown. */
} GroupState;

/* Partitions that are moved together to one new owner. */
typedef struct
{
  HsHandovers *handovers;
  GroupState state;
  uint64_t new_owner;
  uint32_t parts[GROUP_MAX];
  int64_t revisions[GROUP_MAX]; /* Of their records when they were frozen. */
  uint32_t n_parts;
  uint32_t pending_replies; /* HANDOVER calls without a reply. */
  bool failed;
} Group;

typedef struct
{
  uint64_t new_owner;
  uint32_t part;
} MoveRequest;

struct HsHandovers
{
  HsCore *core;
  bool *moving; /* Indexed by partition. */
  GArray *requests;
  GPtrArray *groups;
  HsTime retry_at;
};

static int handovers_destructor (HsHandovers *handovers);
static void start_group (HsHandovers *handovers,
                         HsConn *conn,
                         uint64_t new_owner,
                         HsNow now);
static int64_t part_revision (const Group *group, uint32_t part);
static void send_part (Group *group, HsConn *conn, uint32_t part, HsNow now);
static void
on_handover_reply (void *arg, HsRpcStatus status, const void *result);
static void write_records (Group *group,
                           uint64_t owner,
                           bool handed_over,
                           HsStoreReplyFunc done);
static void on_owners_written (void *arg, const HsStoreReply *reply);
static void withdraw_group (Group *group, HsNow now);
static void on_withdrawn (void *arg, const HsStoreReply *reply);
static void unfreeze_changed_parts (Group *group, HsNow now);
static void finish_group (Group *group);

HsHandovers *
hs_handovers_new (HsCore *core)
{
  HsHandovers *handovers = talloc_zero (core, HsHandovers);

  handovers->core = core;
  handovers->moving
      = talloc_zero_array (handovers, bool, core->entry->partitions);
  handovers->requests = g_array_new (FALSE, FALSE, sizeof (MoveRequest));
  handovers->groups = g_ptr_array_new ();
  talloc_set_destructor (handovers, handovers_destructor);
  return handovers;
}

void
hs_handovers_request (HsHandovers *handovers,
                      uint64_t new_owner,
                      uint32_t part,
                      HsNow now)
{
  MoveRequest request = { new_owner, part };

  if (now.mono >= handovers->retry_at && !handovers->moving[part]
      && hs_owner_is_serving (handovers->core->owner, part))
    g_array_append_val (handovers->requests, request);
}

void
hs_handovers_start (HsHandovers *handovers, HsNow now)
{
  HsLinks *links = handovers->core->links;
  guint i;

  for (i = 0; i < handovers->requests->len; i++)
    {
      const MoveRequest *request
          = &g_array_index (handovers->requests, MoveRequest, i);
      HsConn *conn = hs_links_conn (links, request->new_owner);

      if (conn != NULL && !handovers->moving[request->part]
          && handovers->groups->len < GROUPS_MAX)
        start_group (handovers, conn, request->new_owner, now);
    }
  g_array_set_size (handovers->requests, 0);
}

void
hs_handovers_parts_reread (HsHandovers *handovers, HsNow now)
{
  guint i;

  for (i = handovers->groups->len; i > 0; i--)
    {
      Group *group = handovers->groups->pdata[i - 1];

      if (group->state == GROUP_REREADING)
        withdraw_group (group, now);
    }
}

static int
handovers_destructor (HsHandovers *handovers)
{
  g_array_unref (handovers->requests);
  g_ptr_array_unref (handovers->groups);
  return 0;
}

static void
start_group (HsHandovers *handovers,
             HsConn *conn,
             uint64_t new_owner,
             HsNow now)
{
  Group *group = talloc_zero (handovers, Group);
  guint i;

  group->handovers = handovers;
  group->new_owner = new_owner;
  for (i = 0; i < handovers->requests->len && group->n_parts < GROUP_MAX; i++)
    {
      const MoveRequest *request
          = &g_array_index (handovers->requests, MoveRequest, i);

      if (request->new_owner != new_owner || handovers->moving[request->part])
        continue;
      handovers->moving[request->part] = true;
      group->revisions[group->n_parts] = part_revision (group, request->part);
      group->parts[group->n_parts++] = request->part;
    }
  g_ptr_array_add (handovers->groups, group);
  /* The calls below may fail at once. Counting one more keeps the group until
     on_handover_reply() is called at the end. */
  group->pending_replies = 1;
  for (i = 0; i < group->n_parts; i++)
    {
      hs_owner_freeze (handovers->core->owner, group->parts[i]);
      send_part (group, conn, group->parts[i], now);
    }
  hs_info (PART, "moving %u partitions to another entry", group->n_parts);
  on_handover_reply (group, HS_RPC_OK, NULL);
}

static int64_t
part_revision (const Group *group, uint32_t part)
{
  const HsOwnership *view
      = hs_lease_manager_view (group->handovers->core->lease_manager);

  return hs_ownership_part_record (view, part)->revision;
}

static void
send_part (Group *group, HsConn *conn, uint32_t part, HsNow now)
{
  TALLOC_CTX *memory = talloc_new (group);
  hsx_handover_args *messages;
  size_t n_messages;
  size_t i;

  messages = hs_owner_export (group->handovers->core->owner, memory, part, now,
                              &n_messages);
  for (i = 0; i < n_messages; i++)
    if (hs_conn_call (conn, HSX_HANDOVER, &messages[i], HANDOVER_CALL_TIMEOUT,
                      on_handover_reply, group))
      group->pending_replies++;
    else
      group->failed = true;
  talloc_free (memory);
}

static void
on_handover_reply (void *arg, HsRpcStatus status, const void *result)
{
  Group *group = arg;
  const hsx_handover_reply *reply = result;

  if (status != HS_RPC_OK || (reply != NULL && !reply->accepted))
    group->failed = true;
  if (--group->pending_replies > 0)
    return;
  if (!group->failed)
    {
      group->state = GROUP_WRITING;
      write_records (group, group->new_owner, true, on_owners_written);
      return;
    }
  hs_warn (PART,
           "handover of %u partitions given up; the other entry has failed",
           group->n_parts);
  withdraw_group (group, hs_now ());
}

/* Writes an owner for all partitions of the group. The record of the owner must
   still exist, and those of the partitions must be as they were when they were
   frozen. So at most one of the writes of a group ever takes effect, in
   whichever order the store carries them out. */
static void
write_records (Group *group,
               uint64_t owner,
               bool handed_over,
               HsStoreReplyFunc done)
{
  HsCore *core = group->handovers->core;
  const HsEntryRecord *entry = hs_ownership_find_entry (
      hs_lease_manager_view (core->lease_manager), owner);
  TALLOC_CTX *memory = talloc_new (group);
  HsStoreCompare compares[GROUP_MAX + 1];
  HsStoreOp puts[GROUP_MAX];
  HsStoreTxn txn
      = { group->n_parts + 1, compares, group->n_parts, puts, 0, NULL };
  uint32_t i;

  for (i = 0; i < group->n_parts; i++)
    {
      char *key = hs_ownership_part_key (memory, group->parts[i]);

      compares[i].key = key;
      compares[i].mod_revision = group->revisions[i];
      puts[i].kind = HS_STORE_PUT;
      puts[i].key = key;
      puts[i].value = hs_ownership_part_json (
          memory, owner, entry != NULL ? entry->address : "",
          handed_over ? group->revisions[i] : 0);
      puts[i].lease = 0;
    }
  /* Without a record of the owner, -1 makes the compare fail; 0 would require
     that the record is absent. */
  compares[group->n_parts].key = hs_ownership_entry_key (memory, owner);
  compares[group->n_parts].mod_revision = entry != NULL ? entry->revision : -1;
  hs_store_txn (core->store, &txn, done, group);
  talloc_free (memory);
}

static void
on_owners_written (void *arg, const HsStoreReply *reply)
{
  Group *group = arg;
  HsCore *core = group->handovers->core;

  if (reply->status == HS_STORE_OK && reply->succeeded)
    {
      hs_lease_manager_apply_own_write (core->lease_manager, group->parts,
                                        group->n_parts, group->new_owner, true,
                                        reply->revision);
      finish_group (group);
      return;
    }
  hs_warn (PART, "handover of %u partitions given up; the store has failed",
           group->n_parts);
  group->state = GROUP_REREADING;
  hs_lease_manager_reread_parts (core->lease_manager);
}

/*
 * Takes partitions back whose move was given up. The write of the move may
 * still take effect, and the new owner may hold copies of their jobs, or get
 * them later. Both name the present epoch, so a new one is written before the
 * partitions are used again.
 */
static void
withdraw_group (Group *group, HsNow now)
{
  HsCore *core = group->handovers->core;

  group->handovers->retry_at = now.mono + RETRY_DELAY;
  unfreeze_changed_parts (group, now);
  if (group->n_parts == 0)
    {
      finish_group (group);
      hs_core_schedule_tick (core, now);
      return;
    }
  group->state = GROUP_WITHDRAWING;
  write_records (group, core->incarnation, false, on_withdrawn);
}

static void
on_withdrawn (void *arg, const HsStoreReply *reply)
{
  Group *group = arg;
  HsCore *core = group->handovers->core;

  if (reply->status != HS_STORE_OK || !reply->succeeded)
    {
      group->state = GROUP_REREADING;
      hs_lease_manager_reread_parts (core->lease_manager);
      return;
    }
  hs_lease_manager_apply_own_write (core->lease_manager, group->parts,
                                    group->n_parts, core->incarnation, false,
                                    reply->revision);
  withdraw_group (group, hs_now ());
}

/* Drops the partitions from the group whose records have changed, or which this
   entry has released. One that moved isn't owned here any more; unfreezing it
   has no effect. */
static void
unfreeze_changed_parts (Group *group, HsNow now)
{
  HsHandovers *handovers = group->handovers;
  HsOwner *owner = handovers->core->owner;
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < group->n_parts; i++)
    {
      uint32_t part = group->parts[i];

      if (part_revision (group, part) == group->revisions[i]
          && hs_owner_owns (owner, part))
        {
          group->parts[n] = part;
          group->revisions[n++] = group->revisions[i];
          continue;
        }
      handovers->moving[part] = false;
      hs_owner_unfreeze (owner, part, now);
    }
  group->n_parts = n;
}

static void
finish_group (Group *group)
{
  HsHandovers *handovers = group->handovers;
  uint32_t i;

  for (i = 0; i < group->n_parts; i++)
    handovers->moving[group->parts[i]] = false;
  g_ptr_array_remove_fast (handovers->groups, group);
  talloc_free (group);
}
