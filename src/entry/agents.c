#include <string.h>

#include "base/log.h"
#include "entry/core.h"
#include "entry/visibility.h"

#define PART "agents"

/** An agent without a connection for so long is taken for lost. */
#define LOST_AFTER ((HsTime) 2500 * HS_MSEC)

#define RECOVER_CALL_TIMEOUT (2 * HS_SEC)
#define SETTLE_CALL_TIMEOUT (5 * HS_SEC)
#define MEMBERS_CALL_TIMEOUT (2 * HS_SEC)

/* A call to an agent that waits for its reply. */
typedef struct
{
  HsCore *core;
  uint64_t agent;
} AgentCall;

typedef struct
{
  HsCore *core;
  hsx_members_args args;
} Broadcast;

/* A call of MEMBERS that waits for its reply. */
typedef struct
{
  HsCore *core;
  uint64_t entry;
  uint64_t *agents;
  uint32_t n;
} Told;

static void learn (HsCore *core, const hsx_member *member, HsNow now);
static void broadcast (HsCore *core, const hsx_member *member);
static void tell (HsCore *core, HsConn *conn, const hsx_members_args *args);
static void on_told (void *arg, HsRpcStatus status, const void *result);
static void introduce (HsCore *core, HsNow now);
static void send_to_peer (void *arg, HsConn *conn);
static void answer_announce (HsCore *core, HsConn *conn, HsRpcCallId call);
static void call_agent (HsCore *core,
                        uint64_t agent,
                        uint32_t proc,
                        const void *args,
                        HsTime timeout,
                        HsRpcDone done);
static void on_recovered (void *arg, HsRpcStatus status, const void *result);
static void on_settled (void *arg, HsRpcStatus status, const void *result);
static void
declare_lost (HsCore *core, uint64_t agent, bool certain, HsNow now);

void
hs_agents_conn_up (HsCore *core, HsConn *conn, HsNow now)
{
  uint64_t agent = hs_conn_peer (conn)->incarnation;
  const hsx_member *member = hs_members_find (core->members, agent);

  if (member == NULL)
    return;
  hs_owner_update_agent (core->owner, member, now);
  hs_owner_agent_connected (core->owner, agent, now);
}

void
hs_agents_conn_down (HsCore *core, uint64_t agent, HsNow now)
{
  hs_owner_agent_disconnected (core->owner, agent, now);
  hs_suspicions_agent_down (core, agent);
}

void
hs_agents_gone (HsCore *core, uint64_t agent, HsNow now)
{
  declare_lost (core, agent, true, now);
}

void
hs_agents_called (HsCore *core,
                  HsConn *conn,
                  uint32_t proc,
                  HsRpcCallId call,
                  void *args,
                  HsNow now)
{
  uint64_t agent = hs_conn_peer (conn)->incarnation;

  switch (proc)
    {
    case HSX_ANNOUNCE:
      {
        hsx_member *self = &((hsx_announce_args *) args)->self;
        const hsx_member *known;

        if (self->incarnation != agent)
          {
            hs_warn (PART, "announcement of another agent refused");
            return;
          }
        self->home = core->incarnation;
        known = hs_members_find (core->members, agent);
        if (known != NULL && known->state == HSX_MEMBER_LOST)
          self->revision = MAX (self->revision, known->revision + 1);
        known = hs_members_merge (core->members, self, now.mono);
        if (known != NULL)
          learn (core, known, now);
        answer_announce (core, conn, call);
        return;
      }
    case HSX_RESULT:
      hs_owner_results (core->owner, agent, args, now);
      return;
    case HSX_GRANT:
      if (((hsx_grant_args *) args)->agent == agent)
        hs_owner_grant (core->owner, args, now);
      return;
    case HSX_PROBE:
      hs_suspicions_handle_probe (core, conn, call, args);
      return;
    default:
      hs_warn (PART, "agent called procedure %u; connection closed", proc);
      hs_conn_close (conn);
    }
}

void
hs_agents_members (HsCore *core,
                   uint64_t entry,
                   const hsx_members_args *args,
                   HsNow now)
{
  u_int i;

  /* A peer that has known all agents for longer has told them now. */
  if (args->complete_since_ms < core->complete_since_ms)
    {
      core->complete_since_ms = args->complete_since_ms;
      hs_owner_set_agents_known_since (core->owner, core->complete_since_ms);
    }
  for (i = 0; i < args->members.members_len; i++)
    {
      const hsx_member *member = hs_members_merge (
          core->members, &args->members.members_val[i], now.mono);

      hs_visibility_add (core->visibility,
                         args->members.members_val[i].incarnation, entry);
      if (member != NULL)
        learn (core, member, now);
    }
}

void
hs_agents_send_members (HsCore *core, HsConn *conn)
{
  hsx_members_args args = { 0 };
  TALLOC_CTX *memory = talloc_new (core);

  args.complete_since_ms = core->complete_since_ms;
  hs_members_list (core->members, memory, &args);
  tell (core, conn, &args);
  talloc_free (memory);
}

void
hs_agents_recover (void *arg, uint64_t agent, const hsx_recover_args *args)
{
  call_agent (arg, agent, HSX_RECOVER, args, RECOVER_CALL_TIMEOUT,
              on_recovered);
}

void
hs_agents_settle (void *arg, uint64_t agent, const hsx_settle_args *args)
{
  call_agent (arg, agent, HSX_SETTLE, args, SETTLE_CALL_TIMEOUT, on_settled);
}

void
hs_agents_tick (HsCore *core, HsNow now)
{
  uint32_t i;

  for (i = 0; i < hs_members_count (core->members); i++)
    {
      const hsx_member *member = hs_members_at (core->members, i);
      HsTime since = hs_links_down_since (core->links, member->incarnation);

      if (member->state < HSX_MEMBER_LEFT && since != 0
          && now.mono - since >= LOST_AFTER)
        declare_lost (core, member->incarnation, false, now);
    }
  introduce (core, now);
  hs_members_expire (core->members, core->entry->retention, now.mono);
}

/* The record is new or changed: keep a connection while the agent is there.
   A new one is passed on by every entry that learns of it. */
static void
learn (HsCore *core, const hsx_member *member, HsNow now)
{
  uint64_t agent = member->incarnation;

  if (member->home == core->incarnation
      || !hs_visibility_complete (core->visibility, agent,
                                  hs_lease_manager_view (core->lease_manager),
                                  core->incarnation))
    broadcast (core, member);
  hs_owner_update_agent (core->owner, member, now);
  if (member->state >= HSX_MEMBER_LEFT)
    {
      hs_links_release (core->links, agent);
      hs_visibility_remove (core->visibility, agent);
      return;
    }
  hs_links_connect (core->links, HSX_ROLE_AGENT, agent, member->address,
                    now.mono);
  hs_links_set_keepalive (core->links, agent,
                          hs_suspicions_keepalive (core, agent));
  if (hs_links_conn (core->links, agent) != NULL)
    hs_owner_agent_connected (core->owner, agent, now);
  introduce (core, now);
}

/* Without a view of the entries nobody can be missed. */
static void
introduce (HsCore *core, HsNow now)
{
  uint32_t i;

  if (!hs_lease_manager_ready (core->lease_manager))
    return;
  for (i = 0; i < hs_members_count (core->members); i++)
    {
      const hsx_member *member = hs_members_at (core->members, i);

      if (member->state < HSX_MEMBER_LEFT
          && hs_visibility_complete (
              core->visibility, member->incarnation,
              hs_lease_manager_view (core->lease_manager), core->incarnation))
        hs_owner_agent_visible (core->owner, member->incarnation, now);
    }
}

/* Calls MEMBERS; the reply says that the entry knows them. */
static void
tell (HsCore *core, HsConn *conn, const hsx_members_args *args)
{
  Told *told = talloc_zero (core, Told);
  u_int i;

  told->core = core;
  told->entry = hs_conn_peer (conn)->incarnation;
  told->n = args->members.members_len;
  told->agents = talloc_array (told, uint64_t, told->n);
  for (i = 0; i < told->n; i++)
    told->agents[i] = args->members.members_val[i].incarnation;
  if (!hs_conn_call (conn, HSX_MEMBERS, args, MEMBERS_CALL_TIMEOUT, on_told,
                     told))
    talloc_free (told);
}

static void
on_told (void *arg, HsRpcStatus status, const void *result)
{
  Told *told = arg;
  HsCore *core = told->core;
  HsConn *conn = hs_links_conn (core->links, told->entry);
  HsNow now = hs_now ();
  uint32_t i;

  (void) result;
  for (i = 0; status == HS_RPC_OK && i < told->n; i++)
    hs_visibility_add (core->visibility, told->agents[i], told->entry);
  talloc_free (told);
  /* A broken connection tells all of them again when it is back. */
  if (status == HS_RPC_TIMEOUT && conn != NULL)
    hs_agents_send_members (core, conn);
  introduce (core, now);
  hs_core_schedule_tick (core, now);
}

static void
broadcast (HsCore *core, const hsx_member *member)
{
  hsx_member copy = *member;
  Broadcast b = { core, { 0 } };

  b.args.complete_since_ms = core->complete_since_ms;
  b.args.members.members_len = 1;
  b.args.members.members_val = &copy;
  hs_links_foreach (core->links, HSX_ROLE_ENTRY, send_to_peer, &b);
}

static void
send_to_peer (void *arg, HsConn *conn)
{
  Broadcast *b = arg;

  tell (b->core, conn, &b->args);
}

static void
answer_announce (HsCore *core, HsConn *conn, HsRpcCallId call)
{
  const HsOwnership *view = hs_lease_manager_view (core->lease_manager);
  hsx_entry_info entries[64];
  hsx_announce_reply reply = { 0 };
  uint32_t i;

  reply.accepted = TRUE;
  reply.entries.entries_val = entries;
  for (i = 0; i < MIN (hs_ownership_entry_count (view), G_N_ELEMENTS (entries));
       i++)
    {
      const HsEntryRecord *entry = hs_ownership_entry_at (view, i);

      if (entry->leaving)
        continue;
      entries[reply.entries.entries_len].incarnation = entry->incarnation;
      entries[reply.entries.entries_len].address
          = (char *) (uintptr_t) entry->address;
      entries[reply.entries.entries_len].data_centre
          = (char *) (uintptr_t) entry->data_centre;
      reply.entries.entries_len++;
    }
  hs_conn_reply (conn, call, HSX_ANNOUNCE, &reply);
}

/* Without a connection nothing is called back: the next one asks anew. */
static void
call_agent (HsCore *core,
            uint64_t agent,
            uint32_t proc,
            const void *args,
            HsTime timeout,
            HsRpcDone done)
{
  HsConn *conn = hs_links_conn (core->links, agent);
  AgentCall *call = talloc_zero (core, AgentCall);

  call->core = core;
  call->agent = agent;
  if (conn == NULL || !hs_conn_call (conn, proc, args, timeout, done, call))
    talloc_free (call);
}

static void
on_recovered (void *arg, HsRpcStatus status, const void *result)
{
  AgentCall *call = arg;
  HsCore *core = call->core;
  uint64_t agent = call->agent;
  HsNow now = hs_now ();

  talloc_free (call);
  hs_owner_recover_reply (core->owner, agent,
                          status == HS_RPC_OK ? result : NULL, now);
  hs_core_schedule_tick (core, now);
}

static void
on_settled (void *arg, HsRpcStatus status, const void *result)
{
  AgentCall *call = arg;
  HsCore *core = call->core;
  uint64_t agent = call->agent;
  HsNow now = hs_now ();

  talloc_free (call);
  hs_owner_settle_reply (core->owner, agent,
                         status == HS_RPC_OK ? result : NULL, now);
  hs_core_schedule_tick (core, now);
}

static void
declare_lost (HsCore *core, uint64_t agent, bool certain, HsNow now)
{
  const hsx_member *member
      = hs_members_set_lost (core->members, agent, now.mono);

  if (member == NULL)
    return;
  hs_warn (PART, "agent at %s is lost; its tasks may have run",
           member->address);
  hs_owner_update_agent (core->owner, member, now);
  /* Others may still reach an agent that this entry can't. */
  if (certain)
    broadcast (core, member);
  hs_links_release (core->links, agent);
}
