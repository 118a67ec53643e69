#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/agent_private.h"
#include "direct/liveness.h"

/** Minimum interval, per connected entry, between reports to the same entry
 *  that only announce changed resources. It bounds the load on the entries: in
 *  the largest deployment an entry receives reports from 66 agents and has an
 *  eighth of a core. */
#define REPORT_INTERVAL_PER_ENTRY (7 * HS_MSEC)

/** Time between the report that tells an entry to launch nothing more here and
 *  the close of its surplus connection; longer than the slowest round trip. */
#define SURPLUS_DELAY (1 * HS_SEC)

/** How long the end of a task is reported again on new connections. */
#define RECENT_ENDS_RETENTION (2 * HS_SEC)

static HsAgentPeer *find_or_add_peer (HsDirectAgent *agent,
                                      uint64_t incarnation);
static HsAgentPeer *peer_of_conn (HsDirectAgent *agent, HsConn *conn);
static void
drop_peer (HsDirectAgent *agent, HsAgentPeer *peer, const char *why);
static void close_surplus (HsDirectAgent *agent, HsTime now);
static void apply_orders (HsDirectAgent *agent,
                          HsAgentPeer *peer,
                          const hsx_orders_args *orders);
static void add_entries (HsDirectAgent *agent, const hsx_entries_args *args);
static void send_report (HsDirectAgent *agent, HsAgentPeer *peer, HsTime now);
static void prune_recent_ends (HsAgentPeer *peer, HsTime now);

void
hs_agent_links_connected (HsDirectAgent *agent, HsConn *conn)
{
  const hsx_hello *hello = hs_conn_peer (conn);
  HsTime now = hs_now ().mono;
  HsAgentPeer *peer;
  uint32_t i;

  hs_dialer_connected (agent->dialer, conn);
  if (hello->role != HSX_ROLE_ENTRY)
    {
      hs_conn_close (conn);
      return;
    }
  /* A new incarnation at an address proves that the earlier one has ended. */
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    if (agent->peers[i].used
        && agent->peers[i].incarnation != hello->incarnation
        && strcmp (agent->peers[i].address, hello->address) == 0)
      drop_peer (agent, &agent->peers[i], "restarted");
  peer = find_or_add_peer (agent, hello->incarnation);
  if (peer == NULL)
    {
      hs_conn_close (conn);
      return;
    }
  /* Closed before the greeting is complete on the entry's side, so that both
     sides keep using the same connection. */
  if (peer->conn != NULL)
    {
      hs_dialer_close_duplicate (agent->dialer, conn, now);
      return;
    }
  g_strlcpy (peer->address, hello->address, sizeof peer->address);
  peer->conn = conn;
  hs_conn_set_data (conn, peer);
  peer->last_message_at = now;
  peer->orders_seen = 0;
  peer->info_sent = false;
  peer->full_report_due = true;
  peer->report_due = true;
  hs_event ("entry_up", "entry=%016" PRIx64 " address=%s", hello->incarnation,
            hello->address);
  hs_direct_agent_schedule (agent);
}

void
hs_agent_links_disconnected (HsDirectAgent *agent, HsConn *conn, bool refused)
{
  HsAgentPeer *peer = peer_of_conn (agent, conn);
  HsTime now = hs_now ().mono;

  (void) refused;
  hs_dialer_disconnected (agent->dialer, conn, now);
  hs_direct_agent_schedule (agent);
  if (peer == NULL)
    return;
  /* The time to reconnect counts from the last message, not from now: after a
     pause of this process the connection may have broken long ago. */
  peer->conn = NULL;
  hs_event ("entry_down", "entry=%016" PRIx64 " address=%s", peer->incarnation,
            peer->address);
}

void
hs_agent_links_handle_call (HsDirectAgent *agent,
                            HsConn *conn,
                            uint32_t proc,
                            const void *args)
{
  HsAgentPeer *peer = peer_of_conn (agent, conn);

  if (peer == NULL)
    return;
  peer->last_message_at = hs_now ().mono;
  switch (proc)
    {
    case HSX_ORDERS:
      apply_orders (agent, peer, args);
      return;
    case HSX_ENTRIES:
      add_entries (agent, args);
      return;
    default:
      hs_event ("protocol_error", "entry=%016" PRIx64 " procedure=%u",
                peer->incarnation, proc);
      hs_conn_close (conn);
    }
}

void
hs_agent_links_add_end (HsDirectAgent *agent,
                        uint32_t peer_index,
                        const hsx_end *end)
{
  HsAgentPeer *peer = &agent->peers[peer_index];
  HsRecentEnd recent = { *end, hs_now ().mono };

  g_array_append_val (peer->unsent_ends, *end);
  g_array_append_val (peer->recent_ends, recent);
  hs_direct_agent_schedule (agent);
}

void
hs_agent_links_mark_changed (HsDirectAgent *agent)
{
  uint32_t i;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    agent->peers[i].report_due = true;
  hs_direct_agent_schedule (agent);
}

void
hs_agent_links_mark_offer (HsDirectAgent *agent, uint32_t peer_index)
{
  agent->peers[peer_index].offer_due = agent->peers[peer_index].used;
}

HsTime
hs_agent_links_send_reports (HsDirectAgent *agent, HsTime now)
{
  hsx_target_state state = hs_runs_target_state (agent->runs);
  bool state_changed = state != agent->reported_state;
  HsTime min_interval
      = MIN (REPORT_INTERVAL_PER_ENTRY * hs_agent_links_count (agent),
             HS_HEARTBEAT_INTERVAL);
  HsTime due = HS_NEVER;
  uint32_t i;

  agent->reported_state = state;
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    {
      HsAgentPeer *peer = &agent->peers[i];
      HsTime next_report_at;

      if (!peer->used || peer->conn == NULL)
        continue;
      next_report_at
          = peer->reported_at
            + (peer->report_due ? min_interval : HS_HEARTBEAT_INTERVAL);
      if (peer->unsent_ends->len > 0 || peer->full_report_due || peer->offer_due
          || state_changed || now >= next_report_at)
        {
          send_report (agent, peer, now);
          next_report_at = now + HS_HEARTBEAT_INTERVAL;
        }
      due = MIN (due, next_report_at);
    }
  return due;
}

HsTime
hs_agent_links_drop_expired (HsDirectAgent *agent, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i;

  close_surplus (agent, now);
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    {
      HsAgentPeer *peer = &agent->peers[i];
      HsTime expires_at;

      if (!peer->used)
        continue;
      expires_at
          = peer->last_message_at
            + (peer->conn != NULL ? HS_PEER_TIMEOUT : HS_RECONNECT_TIMEOUT);
      if (now >= expires_at)
        drop_peer (agent, peer, peer->conn != NULL ? "silent" : "gone");
      else
        due = MIN (due, expires_at);
    }
  return due;
}

void
hs_agent_links_resume (HsDirectAgent *agent, HsTime now)
{
  uint32_t i;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    if (agent->peers[i].conn != NULL)
      agent->peers[i].last_message_at
          = MAX (agent->peers[i].last_message_at,
                 now - HS_PEER_TIMEOUT + HS_RESUME_GRACE);
}

uint32_t
hs_agent_links_count (const HsDirectAgent *agent)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    n += agent->peers[i].conn != NULL;
  return n;
}

/* Closes connections to addresses that aren't chosen, such as some of the
   seeds. A connection is closed once all chosen entries are connected and no
   task of its entry is running here. */
static void
close_surplus (HsDirectAgent *agent, HsTime now)
{
  uint32_t n_chosen = 0;
  uint32_t i;
  uint64_t ref;

  if (hs_agent_links_count (agent) <= HS_CONNECTIONS_MAX)
    return;
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    n_chosen += agent->peers[i].conn != NULL
                && hs_dialer_is_chosen (agent->dialer, agent->peers[i].conn);
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    {
      HsAgentPeer *peer = &agent->peers[i];
      bool surplus = n_chosen >= HS_CONNECTIONS_MAX && peer->conn != NULL
                     && !hs_dialer_is_chosen (agent->dialer, peer->conn);

      if (peer->conn == NULL)
        continue;
      if (surplus != (peer->surplus_since != 0))
        {
          peer->surplus_since = surplus ? now : 0;
          peer->report_due = true;
          peer->reported_at = 0;
        }
      if (!surplus || now - peer->surplus_since < SURPLUS_DELAY
          || hs_runs_active_refs (agent->runs, i, &ref, 1) > 0)
        continue;
      hs_dialer_release (agent->dialer, peer->conn, now);
      drop_peer (agent, peer, "surplus");
    }
}

static HsAgentPeer *
find_or_add_peer (HsDirectAgent *agent, uint64_t incarnation)
{
  HsAgentPeer *peer = NULL;
  uint32_t i;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    if (agent->peers[i].used && agent->peers[i].incarnation == incarnation)
      return &agent->peers[i];
    else if (!agent->peers[i].used && peer == NULL)
      peer = &agent->peers[i];
  if (peer == NULL)
    return NULL;
  memset (peer, 0, sizeof *peer);
  peer->used = true;
  peer->reset_pending = true;
  peer->incarnation = incarnation;
  peer->unsent_ends = g_array_new (FALSE, FALSE, sizeof (hsx_end));
  peer->recent_ends = g_array_new (FALSE, FALSE, sizeof (HsRecentEnd));
  return peer;
}

static HsAgentPeer *
peer_of_conn (HsDirectAgent *agent, HsConn *conn)
{
  HsAgentPeer *peer = hs_conn_data (conn);

  (void) agent;
  return peer != NULL && peer->used && peer->conn == conn ? peer : NULL;
}

static void
drop_peer (HsDirectAgent *agent, HsAgentPeer *peer, const char *why)
{
  HsConn *conn = peer->conn;

  hs_event ("entry_lost", "entry=%016" PRIx64 " address=%s why=%s",
            peer->incarnation, peer->address, why);
  peer->conn = NULL;
  hs_runs_peer_lost (agent->runs, (uint32_t) (peer - agent->peers),
                     hs_now ().mono);
  g_array_unref (peer->unsent_ends);
  g_array_unref (peer->recent_ends);
  memset (peer, 0, sizeof *peer);
  if (conn != NULL)
    {
      hs_conn_set_data (conn, NULL);
      hs_conn_close (conn);
    }
}

static void
apply_orders (HsDirectAgent *agent,
              HsAgentPeer *peer,
              const hsx_orders_args *orders)
{
  uint32_t peer_index = (uint32_t) (peer - agent->peers);
  HsTime now = hs_now ().mono;
  HsTime sent = orders->stamp_us + orders->stamp_age_us;
  uint32_t i;
  uint32_t k;

  if (orders->agent != agent->incarnation)
    return;
  peer->orders_seen = orders->number;
  if (orders->stamp_us >= peer->first_report_stamp)
    peer->reset_pending = false;
  hs_runs_set_backlog (agent->runs, peer_index, &orders->want,
                       orders->stamp_us);
  for (i = 0; i < orders->stops.stops_len; i++)
    hs_runs_stop (agent->runs, peer_index, orders->stops.stops_val[i], now);
  for (i = 0; i < orders->launches.launches_len; i++)
    {
      const hsx_launch *launch = &orders->launches.launches_val[i];

      for (k = 0; k < launch->tasks.tasks_len; k++)
        hs_runs_launch (agent->runs, peer_index, launch,
                        &launch->tasks.tasks_val[k], sent, now);
    }
  hs_direct_agent_schedule (agent);
}

static void
add_entries (HsDirectAgent *agent, const hsx_entries_args *args)
{
  HsTime now = hs_now ().mono;
  uint32_t i;

  for (i = 0; i < args->entries.entries_len; i++)
    hs_dialer_add (agent->dialer, args->entries.entries_val[i].address, false,
                   now);
  hs_direct_agent_schedule (agent);
}

static void
fill_info (HsDirectAgent *agent, hsx_target_info *info)
{
  const HsAnnouncement *target = hs_runs_target (agent->runs);

  info->name = (char *) target->name;
  info->service = (char *) target->service;
  info->rack = (char *) target->rack;
  info->host = agent->settings->host;
  info->capacity = target->capacity;
}

static void
send_report (HsDirectAgent *agent, HsAgentPeer *peer, HsTime now)
{
  uint32_t peer_index = (uint32_t) (peer - agent->peers);
  hsx_report_args args
      = { .agent = agent->incarnation,
          .stamp_us = now,
          .orders_seen = peer->orders_seen,
          .state = hs_runs_target_state (agent->runs),
          .free = hs_runs_available (agent->runs, peer_index, now),
          .offer = peer->offer_due };
  uint64_t held[HSX_RECORDS_MAX];
  hsx_target_info info;
  GArray *ends = peer->unsent_ends;
  guint i;

  if (peer->surplus_since != 0)
    {
      args.state = HSX_TARGET_LEAVING;
      args.free = (hsx_room){ 0 };
      args.offer = false;
    }
  prune_recent_ends (peer, now);
  if (hs_runs_target (agent->runs) != NULL && !peer->info_sent)
    {
      fill_info (agent, &info);
      args.info = &info;
      peer->info_sent = true;
    }
  if (peer->full_report_due)
    {
      peer->first_report_stamp = args.stamp_us;
      args.whole = TRUE;
      args.fresh = peer->reset_pending;
      args.held.held_val = held;
      args.held.held_len = hs_runs_active_refs (agent->runs, peer_index, held,
                                                HSX_RECORDS_MAX);
      g_array_set_size (ends, 0);
      for (i = 0; i < peer->recent_ends->len; i++)
        g_array_append_val (
            ends, g_array_index (peer->recent_ends, HsRecentEnd, i).end);
    }
  args.ends.ends_val = (hsx_end *) (void *) ends->data;
  args.ends.ends_len = MIN (ends->len, HSX_BATCH_MAX);
  if (!hs_conn_call (peer->conn, HSX_REPORT, &args, HS_NEVER, NULL, NULL))
    return;
  g_array_remove_range (ends, 0, args.ends.ends_len);
  peer->full_report_due = false;
  peer->report_due = false;
  peer->offer_due = false;
  peer->reported_at = now;
}

static void
prune_recent_ends (HsAgentPeer *peer, HsTime now)
{
  guint n = 0;

  while (n < peer->recent_ends->len
         && now - g_array_index (peer->recent_ends, HsRecentEnd, n).ended_at
                > RECENT_ENDS_RETENTION)
    n++;
  if (n > 0)
    g_array_remove_range (peer->recent_ends, 0, n);
}
