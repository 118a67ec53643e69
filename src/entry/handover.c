#include <string.h>

#include "base/log.h"
#include "entry/core.h"

#define PART "handover"

/** Most partitions moved by one transaction. */
#define GROUP_MAX 16

/** Most groups in progress at a time. */
#define GROUPS_MAX 4

#define HANDOVER_CALL_TIMEOUT (3 * HS_SEC)

typedef enum
{
  GROUP_SENDING,  /* The new owner imports the state. */
  GROUP_WRITING,  /* The owner records are being written. */
  GROUP_REREADING /* Whether they were written is unknown. */
} GroupState;

/* Partitions that are moved together to one new owner. */
typedef struct
{
  HsHandovers *handovers;
  GroupState state;
  uint64_t new_owner;
  uint32_t parts[GROUP_MAX];
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
};

static int handovers_destructor (HsHandovers *handovers);
static void start_group (HsHandovers *handovers,
                         HsConn *conn,
                         uint64_t new_owner,
                         HsNow now);
static void send_part (Group *group, HsConn *conn, uint32_t part, HsNow now);
static void
on_handover_reply (void *arg, HsRpcStatus status, const void *result);
static void write_owners (Group *group);
static void on_owners_written (void *arg, const HsStoreReply *reply);
static void abort_group (Group *group, HsNow now);
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

  (void) now;
  if (!handovers->moving[part]
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
        abort_group (group, now);
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
  if (group->failed)
    abort_group (group, hs_now ());
  else
    write_owners (group);
}

static void
write_owners (Group *group)
{
  HsCore *core = group->handovers->core;
  const HsOwnership *view = hs_lease_manager_view (core->lease_manager);
  const HsEntryRecord *new_owner
      = hs_ownership_find_entry (view, group->new_owner);
  TALLOC_CTX *memory = talloc_new (group);
  HsStoreCompare compares[GROUP_MAX + 1];
  HsStoreOp puts[GROUP_MAX];
  HsStoreTxn txn
      = { group->n_parts + 1, compares, group->n_parts, puts, 0, NULL };
  uint32_t i;

  group->state = GROUP_WRITING;
  for (i = 0; i < group->n_parts; i++)
    {
      char *key = hs_ownership_part_key (memory, group->parts[i]);

      compares[i].key = key;
      compares[i].mod_revision
          = hs_ownership_part_record (view, group->parts[i])->revision;
      puts[i].kind = HS_STORE_PUT;
      puts[i].key = key;
      puts[i].value = hs_ownership_part_json (
          memory, group->new_owner, new_owner != NULL ? new_owner->address : "",
          compares[i].mod_revision);
      puts[i].lease = 0;
    }
  /* The new owner's record must still exist. Without one, -1 makes the compare
     fail; 0 would require that the record is absent. */
  compares[group->n_parts].key
      = hs_ownership_entry_key (memory, group->new_owner);
  compares[group->n_parts].mod_revision
      = new_owner != NULL ? new_owner->revision : -1;
  hs_store_txn (core->store, &txn, on_owners_written, group);
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
  group->state = GROUP_REREADING;
  hs_lease_manager_reread_parts (core->lease_manager);
}

/* A partition that moved nevertheless isn't owned any more; unfreezing it has
 * no effect. */
static void
abort_group (Group *group, HsNow now)
{
  HsCore *core = group->handovers->core;
  uint32_t i;

  hs_warn (
      PART,
      "handover of %u partitions aborted; the other entry or the store failed",
      group->n_parts);
  for (i = 0; i < group->n_parts; i++)
    hs_owner_unfreeze (core->owner, group->parts[i], now);
  finish_group (group);
  hs_core_schedule_tick (core, now);
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
