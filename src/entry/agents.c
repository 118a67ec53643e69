#include <string.h>

#include "base/log.h"
#include "entry/core.h"
#include "entry/visibility.h"

#define PART "agents"

/** An agent without a connection for this long is declared lost. */
#define LOST_TIMEOUT ((HsTime) 2500 * HS_MSEC)

#define RECOVER_CALL_TIMEOUT (2 * HS_SEC)
#define SETTLE_CALL_TIMEOUT (5 * HS_SEC)
#define MEMBERS_CALL_TIMEOUT (2 * HS_SEC)

/* An RPC to an agent that waits for its reply. */
typedef struct
{
  HsCore *core;
  uint64_t agent;
} AgentCall;

/* Argument of send_to_peer(). */
typedef struct
{
  HsCore *core;
  hsx_members_args args;
} PeerBroadcast;

/* An RPC of MEMBERS that waits for its reply. */
typedef struct
{
  HsCore *core;
  uint64_t entry;
  uint64_t *agents;
  uint32_t n;
} MembersCall;

static void
apply_member_change (HsCore *core, const hsx_member *member, HsNow now);
static void broadcast_member (HsCore *core, const hsx_member *member);
static void
send_members (HsCore *core, HsConn *conn, const hsx_members_args *args);
static void
on_members_reply (void *arg, HsRpcStatus status, const void *result);
static void update_visibility (HsCore *core, HsNow now);
static void send_to_peer (void *arg, HsConn *conn);
static void reply_to_announce (HsCore *core, HsConn *conn, HsRpcCallId call);
static void call_agent (HsCore *core,
                        uint64_t agent,
                        uint32_t proc,
                        const void *args,
                        HsTime timeout,
                        HsRpcReplyFunc done);
static void
on_recover_reply (void *arg, HsRpcStatus status, const void *result);
static void on_settle_reply (void *arg, HsRpcStatus status, const void *result);
static void
declare_lost (HsCore *core, uint64_t agent, bool confirmed, HsNow now);

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
            hs_warn (PART, "announcement refused: its incarnation is not that "
                           "of the sender");
            return;
          }
        self->home = core->incarnation;
        known = hs_members_find (core->members, agent);
        if (known != NULL && known->state == HSX_MEMBER_LOST)
          self->revision = MAX (self->revision, known->revision + 1);
        known = hs_members_merge (core->members, self, now.mono);
        if (known != NULL)
          apply_member_change (core, known, now);
        reply_to_announce (core, conn, call);
        return;
      }
    case HSX_RESULT:
      hs_owner_results (core->owner, agent, args, now);
      return;
    case HSX_GRANT:
      if (((hsx_grant_args *) args)->agent == agent)
        hs_owner_grant (core->owner, args, now);
      return;
    case HSX_CRASH:
      hs_owner_target_crashed (core->owner,
                               &((const hsx_crash_args *) args)->crash, now);
      return;
    case HSX_PROBE:
      hs_suspicions_handle_probe (core, conn, call, args);
      return;
    default:
      hs_warn (PART, "unexpected procedure %u from an agent; connection closed",
               proc);
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

  /* The peer has known all agents for longer and has now sent them. */
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
        apply_member_change (core, member, now);
    }
}

void
hs_agents_send_members (HsCore *core, HsConn *conn)
{
  hsx_members_args args = { 0 };
  TALLOC_CTX *memory = talloc_new (core);

  args.complete_since_ms = core->complete_since_ms;
  hs_members_list (core->members, memory, &args);
  send_members (core, conn, &args);
  talloc_free (memory);
}

void
hs_agents_recover (void *arg, uint64_t agent, const hsx_recover_args *args)
{
  call_agent (arg, agent, HSX_RECOVER, args, RECOVER_CALL_TIMEOUT,
              on_recover_reply);
}

void
hs_agents_settle (void *arg, uint64_t agent, const hsx_settle_args *args)
{
  call_agent (arg, agent, HSX_SETTLE, args, SETTLE_CALL_TIMEOUT,
              on_settle_reply);
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
          && now.mono - since >= LOST_TIMEOUT)
        declare_lost (core, member->incarnation, false, now);
    }
  update_visibility (core, now);
  hs_members_expire (core->members, core->entry->retention, now.mono);
}

/* Acts on a new or changed member record: keeps a connection to the agent until
   it has left or is lost. Until all entries know the agent, each entry that
   receives its record forwards it to the others. */
static void
apply_member_change (HsCore *core, const hsx_member *member, HsNow now)
{
  uint64_t agent = member->incarnation;

  if (member->home == core->incarnation
      || !hs_visibility_complete (core->visibility, agent,
                                  hs_lease_manager_view (core->lease_manager),
                                  core->incarnation))
    broadcast_member (core, member);
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
  update_visibility (core, now);
}

/* Reports to the owner which agents are known to all entries. That cannot be
   decided without a current view of the entries. */
static void
update_visibility (HsCore *core, HsNow now)
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

/* Calls MEMBERS; the reply confirms that the entry knows the members. */
static void
send_members (HsCore *core, HsConn *conn, const hsx_members_args *args)
{
  MembersCall *members_call = talloc_zero (core, MembersCall);
  u_int i;

  members_call->core = core;
  members_call->entry = hs_conn_peer (conn)->incarnation;
  members_call->n = args->members.members_len;
  members_call->agents = talloc_array (members_call, uint64_t, members_call->n);
  for (i = 0; i < members_call->n; i++)
    members_call->agents[i] = args->members.members_val[i].incarnation;
  if (!hs_conn_call (conn, HSX_MEMBERS, args, MEMBERS_CALL_TIMEOUT,
                     on_members_reply, members_call))
    talloc_free (members_call);
}

static void
on_members_reply (void *arg, HsRpcStatus status, const void *result)
{
  MembersCall *members_call = arg;
  HsCore *core = members_call->core;
  HsConn *conn = hs_links_conn (core->links, members_call->entry);
  HsNow now = hs_now ();
  uint32_t i;

  (void) result;
  for (i = 0; status == HS_RPC_OK && i < members_call->n; i++)
    hs_visibility_add (core->visibility, members_call->agents[i],
                       members_call->entry);
  talloc_free (members_call);
  /* After a broken connection all members are sent when it is up again. */
  if (status == HS_RPC_TIMEOUT && conn != NULL)
    hs_agents_send_members (core, conn);
  update_visibility (core, now);
  hs_core_schedule_tick (core, now);
}

static void
broadcast_member (HsCore *core, const hsx_member *member)
{
  hsx_member copy = *member;
  PeerBroadcast broadcast = { core, { 0 } };

  broadcast.args.complete_since_ms = core->complete_since_ms;
  broadcast.args.members.members_len = 1;
  broadcast.args.members.members_val = &copy;
  hs_links_foreach (core->links, HSX_ROLE_ENTRY, send_to_peer, &broadcast);
}

static void
send_to_peer (void *arg, HsConn *conn)
{
  PeerBroadcast *broadcast = arg;

  send_members (broadcast->core, conn, &broadcast->args);
}

static void
reply_to_announce (HsCore *core, HsConn *conn, HsRpcCallId call)
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

/* Calls a procedure of an agent. Without a connection @p done is not called:
   the owner asks again when the agent is connected. */
static void
call_agent (HsCore *core,
            uint64_t agent,
            uint32_t proc,
            const void *args,
            HsTime timeout,
            HsRpcReplyFunc done)
{
  HsConn *conn = hs_links_conn (core->links, agent);
  AgentCall *call = talloc_zero (core, AgentCall);

  call->core = core;
  call->agent = agent;
  if (conn == NULL || !hs_conn_call (conn, proc, args, timeout, done, call))
    talloc_free (call);
}

static void
on_recover_reply (void *arg, HsRpcStatus status, const void *result)
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
on_settle_reply (void *arg, HsRpcStatus status, const void *result)
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
declare_lost (HsCore *core, uint64_t agent, bool confirmed, HsNow now)
{
  const hsx_member *member
      = hs_members_set_lost (core->members, agent, now.mono);

  if (member == NULL)
    return;
  hs_warn (PART, "agent at %s is lost; its tasks may have run",
           member->address);
  hs_owner_update_agent (core->owner, member, now);
  /* Another entry may still reach an agent that this one cannot. */
  if (confirmed)
    broadcast_member (core, member);
  hs_links_release (core->links, agent);
}
