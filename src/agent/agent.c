#include "agent/internal.h"

#include <string.h>

#include <sys/random.h>

#include "base/log.h"
#include "rpc/probe.h"

/** Period of the periodic work in on_tick(). */
#define TICK_PERIOD_MS 100
/** Time for entries to read the start records of a leaving agent. */
#define LEAVE_NOTICE_PERIOD (1 * HS_SEC)
/** Limit on the agent's leave while no entry can be reached. */
#define LEAVE_ISOLATED_TIMEOUT (15 * HS_SEC)
/** Limit on announcing to the registrar that the agent has left. */
#define ANNOUNCE_LEFT_TIMEOUT (2 * HS_SEC)

static int free_agent (HsAgent *agent);
static bool
start_listening (HsAgent *agent, const HsSettings *s, GError **error);
static void set_address (HsAgent *agent);
static void fill_member (void *arg, hsx_member *out);
static void schedule_tick (HsAgent *agent);
static void on_tick (struct tevent_context *ev,
                     struct tevent_timer *te,
                     struct timeval tv,
                     void *arg);
static void advance_leave (HsAgent *agent, HsTime now);
static bool may_announce_left (const HsAgent *agent, HsTime now);
static void set_phase (HsAgent *agent, HsAgentPhase phase, HsTime now);
static void on_grants_due (struct tevent_context *ev,
                           struct tevent_immediate *immediate,
                           void *arg);
static void send_grants (HsAgent *agent);
static void on_conn_up (void *arg, HsConn *conn);
static void on_conn_down (void *arg, HsConn *conn, bool refused);
static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args);

HsAgent *
hs_agent_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              const HsSettings *settings,
              GError **error)
{
  HsAgent *agent = talloc_zero (ctx, HsAgent);
  const HsAgentSettings *agent_settings = &settings->u.agent;

  agent->ev = ev;
  agent->settings = agent_settings;
  agent->data_centre = talloc_strdup (agent, settings->data_centre);
  while (agent->incarnation == 0)
    if (getrandom (&agent->incarnation, sizeof agent->incarnation, 0) < 0)
      g_error ("no random bytes from the kernel");
  agent->curl = hs_curl_new (agent, ev);
  agent->target_calls = talloc_new (agent);
  talloc_set_destructor (agent, free_agent);
  agent->start_log = hs_start_log_new (agent, agent_settings->retention,
                                       agent_settings->memory_bytes);
  agent->slots = hs_slots_new (agent, agent->incarnation);
  agent->crash_watch = hs_crash_watch_new (agent);
  agent->admission = hs_admission_new (agent, agent->start_log, agent->slots);
  agent->connected_entries
      = hs_connected_entries_new (agent, ev, agent->start_log, &agent->stats);
  agent->grants_event = tevent_create_immediate (agent);
  if (!start_listening (agent, settings, error))
    {
      talloc_free (agent);
      return NULL;
    }
  set_address (agent);
  agent->registration = hs_registration_new (
      agent, agent->rpc, agent->connected_entries, agent_settings->entries,
      fill_member, agent, &agent->stats);
  schedule_tick (agent);
  hs_info (HS_AGENT_LOG_PART,
           "%s listening for entries on %s and for its target on "
           "port %u",
           agent_settings->name, agent->address, hs_agent_target_port (agent));
  return agent;
}

void
hs_agent_leave (HsAgent *agent)
{
  if (agent->phase != HS_AGENT_RUNNING)
    return;
  hs_info (HS_AGENT_LOG_PART, "leaving: %u tasks running",
           hs_slots_n_busy (agent->slots));
  set_phase (agent, HS_AGENT_LEAVING, hs_now ().mono);
  hs_agent_apply_target_change (agent);
}

bool
hs_agent_has_left (const HsAgent *agent)
{
  return agent->phase == HS_AGENT_LEFT;
}

uint16_t
hs_agent_rpc_port (const HsAgent *agent)
{
  return hs_rpc_port (agent->rpc);
}

uint16_t
hs_agent_target_port (const HsAgent *agent)
{
  return hs_target_api_port (agent->api);
}

uint64_t
hs_agent_incarnation (const HsAgent *agent)
{
  return agent->incarnation;
}

const HsAgentStats *
hs_agent_stats (const HsAgent *agent)
{
  return &agent->stats;
}

void
hs_agent_schedule_grants (HsAgent *agent)
{
  if (agent->grants_scheduled)
    return;
  agent->grants_scheduled = true;
  tevent_schedule_immediate (agent->grants_event, agent->ev, on_grants_due,
                             agent);
}

static int
free_agent (HsAgent *agent)
{
  TALLOC_FREE (agent->target_calls);
  return 0;
}

static bool
start_listening (HsAgent *agent, const HsSettings *settings, GError **error)
{
  const HsAgentSettings *agent_settings = &settings->u.agent;
  HsRpcHandler rpc = { .connected = on_conn_up,
                       .disconnected = on_conn_down,
                       .call = on_call };
  hsx_hello self = { .role = HSX_ROLE_AGENT,
                     .incarnation = agent->incarnation,
                     .address = agent_settings->rpc_address,
                     .data_centre = agent->data_centre };

  agent->rpc = hs_rpc_new (agent, agent->ev, &self, settings->cluster_key, &rpc,
                           agent);
  if (!hs_rpc_listen (agent->rpc, agent_settings->rpc_listen, error))
    return false;
  agent->api = hs_target_api_new (
      agent, agent->ev, agent_settings->target_listen, settings->cluster_key,
      &HS_AGENT_TARGET_HANDLER, agent, error);
  return agent->api != NULL;
}

/* A port of 0 in the announced address stands for the port listened on. */
static void
set_address (HsAgent *agent)
{
  const char *given = agent->settings->rpc_address;
  const char *colon = strrchr (given, ':');

  agent->address = talloc_strdup (agent, given);
  if (colon == NULL || strcmp (colon, ":0") != 0)
    return;
  agent->address = talloc_asprintf (agent, "%.*s:%u", (int) (colon - given),
                                    given, hs_rpc_port (agent->rpc));
  hs_rpc_set_address (agent->rpc, agent->address);
}

static void
fill_member (void *arg, hsx_member *out)
{
  hs_agent_fill_member (arg, out);
}

static void
schedule_tick (HsAgent *agent)
{
  tevent_add_timer (agent->ev, agent,
                    tevent_timeval_current_ofs (0, TICK_PERIOD_MS * 1000),
                    on_tick, agent);
}

static void
on_tick (struct tevent_context *ev,
         struct tevent_timer *te,
         struct timeval tv,
         void *arg)
{
  HsAgent *agent = arg;
  HsTime now = hs_now ().mono;

  (void) ev;
  (void) te;
  (void) tv;
  hs_agent_check_target_expiry (agent, now);
  hs_connected_entries_flush (agent->connected_entries);
  hs_start_log_expire (agent->start_log, now);
  hs_registration_tick (agent->registration, now);
  hs_slots_distribute (agent->slots, now);
  send_grants (agent);
  advance_leave (agent, now);
  schedule_tick (agent);
}

static void
advance_leave (HsAgent *agent, HsTime now)
{
  HsTime elapsed = now - agent->phase_since;
  bool announced
      = hs_registration_accepted_at (agent->registration) != HS_NEVER;

  switch (agent->phase)
    {
    case HS_AGENT_RUNNING:
    case HS_AGENT_LEFT:
      return;
    case HS_AGENT_LEAVING:
      if (!may_announce_left (agent, now))
        return;
      set_phase (agent, HS_AGENT_ANNOUNCING_LEFT, now);
      hs_registration_update (agent->registration);
      return;
    case HS_AGENT_ANNOUNCING_LEFT:
      if (!announced && elapsed < ANNOUNCE_LEFT_TIMEOUT)
        return;
      set_phase (agent, HS_AGENT_LEFT, now);
      hs_info (HS_AGENT_LOG_PART, "leave complete");
      return;
    }
}

/* Whether all results have been sent and entries have had time to read the
   start records. Without a registrar, an agent that has none need not wait. */
static bool
may_announce_left (const HsAgent *agent, HsTime now)
{
  HsTime announced_at = hs_registration_accepted_at (agent->registration);

  if (hs_slots_n_busy (agent->slots) > 0
      || !hs_connected_entries_all_sent (agent->connected_entries))
    return false;
  if (announced_at != HS_NEVER)
    return now - announced_at >= LEAVE_NOTICE_PERIOD;
  return hs_start_log_count (agent->start_log) == 0
         || now - agent->phase_since >= LEAVE_ISOLATED_TIMEOUT;
}

static void
set_phase (HsAgent *agent, HsAgentPhase phase, HsTime now)
{
  agent->phase = phase;
  agent->phase_since = now;
}

static void
on_grants_due (struct tevent_context *ev,
               struct tevent_immediate *immediate,
               void *arg)
{
  HsAgent *agent = arg;

  (void) ev;
  (void) immediate;
  agent->grants_scheduled = false;
  hs_slots_distribute (agent->slots, hs_now ().mono);
  send_grants (agent);
}

static void
send_grants (HsAgent *agent)
{
  hsx_credit credits[HS_SLOTS_MAX];
  hsx_grant_args args
      = { .agent = agent->incarnation, .credits.credits_val = credits };
  uint64_t entry;

  while ((entry = hs_slots_next_grant (agent->slots, credits,
                                       &args.credits.credits_len))
         != 0)
    {
      HsConnectedEntry *receiver
          = hs_connected_entries_find (agent->connected_entries, entry);

      if (hs_conn_call (hs_connected_entry_preferred_conn (receiver), HSX_GRANT,
                        &args, HS_NEVER, NULL, NULL))
        agent->stats.grants++;
    }
}

static void
on_conn_up (void *arg, HsConn *conn)
{
  HsAgent *agent = arg;
  bool is_new;

  if (hs_conn_peer (conn)->role != HSX_ROLE_ENTRY
      || hs_connected_entries_add_conn (agent->connected_entries, conn, &is_new)
             == NULL)
    {
      hs_conn_close (conn);
      return;
    }
  if (is_new)
    {
      hs_slots_add_entry (agent->slots, hs_conn_peer (conn)->incarnation);
      hs_agent_schedule_grants (agent);
    }
  hs_registration_conn_up (agent->registration, conn);
}

static void
on_conn_down (void *arg, HsConn *conn, bool refused)
{
  HsAgent *agent = arg;
  HsConnectedEntry *remote = hs_connected_entries_from_conn (conn);
  uint64_t lost_entry
      = hs_connected_entries_remove_conn (agent->connected_entries, conn);

  (void) refused;
  /* Messages in flight on the connection may be lost. The entry settles its
     starts when a connection comes up after its last one has ended, so close
     the others too. */
  if (remote != NULL && lost_entry == 0)
    hs_conn_close (hs_connected_entry_preferred_conn (remote));
  if (lost_entry != 0)
    {
      hs_slots_remove_entry (agent->slots, lost_entry);
      hs_agent_schedule_grants (agent);
    }
  hs_registration_conn_down (agent->registration, conn, hs_now ().mono);
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  HsAgent *agent = arg;
  HsConnectedEntry *sender = hs_connected_entries_from_conn (conn);
  HsTime now = hs_now ().mono;
  const hsx_start_args *starts = args;
  const hsx_suspect_args *suspect = args;
  const hsx_probe_args *probe = args;
  uint32_t i;

  if (sender == NULL)
    return;
  switch (proc)
    {
    case HSX_START:
      hs_connected_entry_set_preferred_conn (sender, conn);
      for (i = 0; i < starts->starts.starts_len; i++)
        hs_agent_on_start (agent, sender, &starts->starts.starts_val[i], now);
      return;
    case HSX_RECOVER:
      hs_agent_on_recover (agent, sender, conn, call, args);
      return;
    case HSX_SETTLE:
      hs_agent_on_settle (agent, conn, call, args, now);
      return;
    case HSX_SUSPECT:
      hs_connected_entries_probe (agent->connected_entries,
                                  suspect->incarnation);
      return;
    case HSX_PROBE:
      hs_probe_reply (conn, call);
      if (probe->suspected_by != 0)
        hs_connected_entries_probe (agent->connected_entries,
                                    probe->suspected_by);
      return;
    default:
      hs_warn (HS_AGENT_LOG_PART,
               "closing connection: procedure %u is not one for agents; check "
               "the version of the entry",
               proc);
      hs_conn_close (conn);
    }
}
