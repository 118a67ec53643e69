#include <string.h>

#include "base/log.h"
#include "entry/core.h"

#define PART "handover"

/** Partitions that move in one group. */
#define GROUP_MAX 16

/** Groups under way at once. */
#define GROUPS_MAX 4

#define HANDOVER_CALL_TIMEOUT (3 * HS_SEC)

typedef enum
{
  GROUP_SENDING,  /* The target takes in the state. */
  GROUP_WRITING,  /* The owner records are being written. */
  GROUP_REREADING /* Whether they were written is not known. */
} GroupState;

/* Partitions that move to one target together. */
typedef struct
{
  HsHandovers *handovers;
  GroupState state;
  uint64_t target;
  uint32_t parts[GROUP_MAX];
  uint32_t n;
  uint32_t waiting; /* HANDOVER calls without reply. */
  bool failed;
} Group;

typedef struct
{
  uint64_t target;
  uint32_t part;
} Wanted;

struct HsHandovers
{
  HsCore *core;
  bool *moving; /* By partition. */
  GArray *wanted;
  GPtrArray *groups;
};

static int handovers_destructor (HsHandovers *handovers);
static void
begin (HsHandovers *handovers, HsConn *conn, uint64_t target, HsNow now);
static void send_part (Group *group, HsConn *conn, uint32_t part, HsNow now);
static void on_sent (void *arg, HsRpcStatus status, const void *result);
static void write_owners (Group *group);
static void on_written (void *arg, const HsStoreReply *reply);
static void call_off (Group *group, HsNow now);
static void end (Group *group);

HsHandovers *
hs_handovers_new (HsCore *core)
{
  HsHandovers *handovers = talloc_zero (core, HsHandovers);

  handovers->core = core;
  handovers->moving
      = talloc_zero_array (handovers, bool, core->entry->partitions);
  handovers->wanted = g_array_new (FALSE, FALSE, sizeof (Wanted));
  handovers->groups = g_ptr_array_new ();
  talloc_set_destructor (handovers, handovers_destructor);
  return handovers;
}

void
hs_handovers_want (HsHandovers *handovers,
                   uint64_t target,
                   uint32_t part,
                   HsNow now)
{
  Wanted wanted = { target, part };

  (void) now;
  if (!handovers->moving[part]
      && hs_owner_is_serving (handovers->core->owner, part))
    g_array_append_val (handovers->wanted, wanted);
}

void
hs_handovers_start (HsHandovers *handovers, HsNow now)
{
  HsLinks *links = handovers->core->links;
  guint i;

  for (i = 0; i < handovers->wanted->len; i++)
    {
      const Wanted *wanted = &g_array_index (handovers->wanted, Wanted, i);
      HsConn *conn = hs_links_conn (links, wanted->target);

      if (conn != NULL && !handovers->moving[wanted->part]
          && handovers->groups->len < GROUPS_MAX)
        begin (handovers, conn, wanted->target, now);
    }
  g_array_set_size (handovers->wanted, 0);
}

void
hs_handovers_reread (HsHandovers *handovers, HsNow now)
{
  guint i;

  for (i = handovers->groups->len; i > 0; i--)
    {
      Group *group = handovers->groups->pdata[i - 1];

      if (group->state == GROUP_REREADING)
        call_off (group, now);
    }
}

static int
handovers_destructor (HsHandovers *handovers)
{
  g_array_unref (handovers->wanted);
  g_ptr_array_unref (handovers->groups);
  return 0;
}

static void
begin (HsHandovers *handovers, HsConn *conn, uint64_t target, HsNow now)
{
  Group *group = talloc_zero (handovers, Group);
  guint i;

  group->handovers = handovers;
  group->target = target;
  for (i = 0; i < handovers->wanted->len && group->n < GROUP_MAX; i++)
    {
      const Wanted *wanted = &g_array_index (handovers->wanted, Wanted, i);

      if (wanted->target != target || handovers->moving[wanted->part])
        continue;
      handovers->moving[wanted->part] = true;
      group->parts[group->n++] = wanted->part;
    }
  g_ptr_array_add (handovers->groups, group);
  /* The calls below may fail at once; the last reply ends the group. */
  group->waiting = 1;
  for (i = 0; i < group->n; i++)
    {
      hs_owner_freeze (handovers->core->owner, group->parts[i]);
      send_part (group, conn, group->parts[i], now);
    }
  hs_info (PART, "%u partitions move to another entry", group->n);
  on_sent (group, HS_RPC_OK, NULL);
}

static void
send_part (Group *group, HsConn *conn, uint32_t part, HsNow now)
{
  TALLOC_CTX *memory = talloc_new (group);
  hsx_handover_args *messages;
  size_t n;
  size_t i;

  messages
      = hs_owner_export (group->handovers->core->owner, memory, part, now, &n);
  for (i = 0; i < n; i++)
    if (hs_conn_call (conn, HSX_HANDOVER, &messages[i], HANDOVER_CALL_TIMEOUT,
                      on_sent, group))
      group->waiting++;
    else
      group->failed = true;
  talloc_free (memory);
}

static void
on_sent (void *arg, HsRpcStatus status, const void *result)
{
  Group *group = arg;
  const hsx_handover_reply *reply = result;

  if (status != HS_RPC_OK || (reply != NULL && !reply->accepted))
    group->failed = true;
  if (--group->waiting > 0)
    return;
  if (group->failed)
    call_off (group, hs_now ());
  else
    write_owners (group);
}

static void
write_owners (Group *group)
{
  HsCore *core = group->handovers->core;
  const HsOwnership *view = hs_keeper_view (core->keeper);
  const HsEntryRecord *target = hs_ownership_find_entry (view, group->target);
  TALLOC_CTX *memory = talloc_new (group);
  HsStoreCompare compares[GROUP_MAX + 1];
  HsStoreOp puts[GROUP_MAX];
  HsStoreTxn txn = { group->n + 1, compares, group->n, puts, 0, NULL };
  uint32_t i;

  group->state = GROUP_WRITING;
  for (i = 0; i < group->n; i++)
    {
      char *key = hs_ownership_part_key (memory, group->parts[i]);

      compares[i].key = key;
      compares[i].mod_revision
          = hs_ownership_record (view, group->parts[i])->revision;
      puts[i].kind = HS_STORE_PUT;
      puts[i].key = key;
      puts[i].value = hs_ownership_part_json (
          memory, group->target, target != NULL ? target->address : "",
          compares[i].mod_revision);
      puts[i].lease = 0;
    }
  /* The target must be there still; a revision of 0 would say it is gone. */
  compares[group->n].key = hs_ownership_entry_key (memory, group->target);
  compares[group->n].mod_revision = target != NULL ? target->revision : -1;
  hs_store_txn (core->store, &txn, on_written, group);
  talloc_free (memory);
}

static void
on_written (void *arg, const HsStoreReply *reply)
{
  Group *group = arg;
  HsCore *core = group->handovers->core;

  if (reply->status == HS_STORE_OK && reply->succeeded)
    {
      hs_keeper_wrote (core->keeper, group->parts, group->n, group->target,
                       true, reply->revision);
      end (group);
      return;
    }
  group->state = GROUP_REREADING;
  hs_keeper_reread (core->keeper);
}

/* What moved all the same is not owned any more and isn't thawed. */
static void
call_off (Group *group, HsNow now)
{
  HsCore *core = group->handovers->core;
  uint32_t i;

  hs_warn (PART, "%u partitions stay; the other entry or the store failed",
           group->n);
  for (i = 0; i < group->n; i++)
    hs_owner_unfreeze (core->owner, group->parts[i], now);
  end (group);
  hs_core_rearm (core, now);
}

static void
end (Group *group)
{
  HsHandovers *handovers = group->handovers;
  uint32_t i;

  for (i = 0; i < group->n; i++)
    handovers->moving[group->parts[i]] = false;
  g_ptr_array_remove_fast (handovers->groups, group);
  talloc_free (group);
}
