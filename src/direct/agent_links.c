#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/agent_private.h"
#include "direct/crash_message.h"
#include "direct/liveness.h"
#include "direct/resources.h"

/** Minimum interval, per connected entry, between reports to the same entry
 *  that only announce changed resources. It bounds the load on the entries: in
 *  the largest deployment an entry receives reports from 66 agents and has an
 *  eighth of a core. */
#define REPORT_INTERVAL_PER_ENTRY (7 * HS_MSEC)

/** Time between the report that tells an entry to launch nothing more here and
 *  the close of its surplus connection; longer than the slowest round trip. */
#define SURPLUS_DELAY (1 * HS_SEC)

/** How long a crash of the target is reported to entries that connect. */
#define CRASH_RETENTION (10 * HS_SEC)

/** So many entries pass a crash on to the others, where an agent isn't
 * connected to all: one of them may be lost. */
#define CRASH_RELAYS 2

/** How long the end of a task is reported again on new connections. */
#define RECENT_ENDS_RETENTION (2 * HS_SEC)

static HsAgentEntry *find_or_add_entry (HsDirectAgent *agent,
                                        uint64_t incarnation);
static HsAgentEntry *entry_of_conn (HsDirectAgent *agent, HsConn *conn);
static void drop_entry (HsDirectAgent *agent,
                        HsAgentEntry *entry,
                        const char *why,
                        HsTime now);
static void close_surplus (HsDirectAgent *agent, HsTime now);
static void apply_orders (HsDirectAgent *agent,
                          HsAgentEntry *entry,
                          const hsx_orders_args *orders);
static void add_entries (HsDirectAgent *agent, const hsx_entries_args *args);
static bool send_report (HsDirectAgent *agent, HsAgentEntry *entry, HsTime now);
static const HsCrash *unsent_crash (const HsDirectAgent *agent,
                                    const HsAgentEntry *entry,
                                    HsTime now);
static bool passes_crashes_on (const HsDirectAgent *agent,
                               const HsAgentEntry *entry);
static void prune_recent_ends (HsAgentEntry *entry, HsTime now);

void
hs_agent_links_connected (HsDirectAgent *agent, HsConn *conn)
{
  const hsx_hello *hello = hs_conn_peer (conn);
  HsTime now = hs_now ().mono;
  HsAgentEntry *entry;
  uint32_t i;

  hs_dialer_connected (agent->dialer, conn);
  if (hello->role != HSX_ROLE_ENTRY)
    {
      hs_conn_close (conn);
      return;
    }
  /* A new incarnation at an address proves that the earlier one has ended. */
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    if (agent->entries[i].used
        && agent->entries[i].incarnation != hello->incarnation
        && strcmp (agent->entries[i].address, hello->address) == 0)
      drop_entry (agent, &agent->entries[i], "restarted", now);
  entry = find_or_add_entry (agent, hello->incarnation);
  if (entry == NULL)
    {
      hs_conn_close (conn);
      return;
    }
  /* Closed before the greeting is complete on the entry's side, so that both
     sides keep using the same connection. */
  if (entry->conn != NULL)
    {
      hs_dialer_close_duplicate (agent->dialer, conn, now);
      return;
    }
  g_strlcpy (entry->address, hello->address, sizeof entry->address);
  entry->conn = conn;
  hs_conn_set_data (conn, entry);
  /* A new record holds no start that the entry may have forgotten. */
  entry->confirmed = entry->confirmed_at == 0;
  if (entry->confirmed)
    entry->confirmed_at = now;
  entry->last_message_at = now;
  entry->orders_seen = 0;
  entry->info_sent = false;
  entry->crash_sent = 0;
  entry->crash_stage_sent = 0;
  entry->full_report_due = true;
  entry->recent_ends_queued = false;
  entry->report_due = true;
  hs_event ("entry_up", "entry=%016" PRIx64 " address=%s", hello->incarnation,
            hello->address);
  hs_direct_agent_schedule (agent);
}

void
hs_agent_links_disconnected (HsDirectAgent *agent, HsConn *conn, bool refused)
{
  HsAgentEntry *entry = entry_of_conn (agent, conn);
  HsTime now = hs_now ().mono;

  (void) refused;
  hs_dialer_disconnected (agent->dialer, conn, now);
  hs_direct_agent_schedule (agent);
  if (entry == NULL)
    return;
  /* The time to reconnect counts from the last message, not from now: after a
     pause of this process the connection may have broken long ago. */
  entry->conn = NULL;
  hs_event ("entry_down", "entry=%016" PRIx64 " address=%s", entry->incarnation,
            entry->address);
}

void
hs_agent_links_handle_call (HsDirectAgent *agent,
                            HsConn *conn,
                            uint32_t proc,
                            const void *args)
{
  HsAgentEntry *entry = entry_of_conn (agent, conn);

  if (entry == NULL)
    return;
  entry->last_message_at = hs_now ().mono;
  switch (proc)
    {
    case HSX_ORDERS:
      apply_orders (agent, entry, args);
      return;
    case HSX_ENTRIES:
      add_entries (agent, args);
      return;
    case HSX_EVACUATIONS:
      hs_agent_evacuations_receive (agent, args);
      return;
    default:
      hs_event ("protocol_error", "entry=%016" PRIx64 " procedure=%u",
                entry->incarnation, proc);
      hs_conn_close (conn);
    }
}

void
hs_agent_links_add_end (HsDirectAgent *agent,
                        uint32_t entry_index,
                        const hsx_end *end)
{
  HsAgentEntry *entry = &agent->entries[entry_index];
  HsRecentEnd recent = { *end, hs_now ().mono };

  g_array_append_val (entry->unsent_ends, *end);
  g_array_append_val (entry->recent_ends, recent);
  hs_direct_agent_schedule (agent);
}

void
hs_agent_links_mark_changed (HsDirectAgent *agent)
{
  uint32_t i;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    agent->entries[i].report_due = true;
  hs_direct_agent_schedule (agent);
}

void
hs_agent_links_mark_offer (HsDirectAgent *agent, uint32_t entry_index)
{
  agent->entries[entry_index].offer_due = agent->entries[entry_index].used;
}

HsTime
hs_agent_links_send_reports (HsDirectAgent *agent, HsTime now)
{
  hsx_target_state state = hs_runs_target_state (agent->runs);
  bool state_changed = state != agent->reported_state;
  HsTime min_interval
      = MIN (REPORT_INTERVAL_PER_ENTRY * hs_agent_links_connected_count (agent),
             HS_HEARTBEAT_INTERVAL);
  HsTime due = HS_NEVER;
  uint32_t i;

  agent->reported_state = state;
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    {
      HsAgentEntry *entry = &agent->entries[i];
      HsTime next_report_at;

      if (!entry->used || entry->conn == NULL)
        continue;
      next_report_at
          = entry->reported_at
            + (entry->report_due ? min_interval : HS_HEARTBEAT_INTERVAL);
      if (entry->unsent_ends->len > 0 || entry->full_report_due
          || entry->offer_due || state_changed || now >= next_report_at
          || unsent_crash (agent, entry, now) != NULL)
        {
          while (send_report (agent, entry, now)
                 && (entry->unsent_ends->len > 0 || entry->full_report_due))
            ;
          next_report_at = now + HS_HEARTBEAT_INTERVAL;
        }
      due = MIN (due, next_report_at);
    }
  return due;
}

static const char *
drop_reason (const HsAgentEntry *entry)
{
  if (entry->conn == NULL)
    return "gone";
  return entry->confirmed ? "silent" : "unconfirmed";
}

HsTime
hs_agent_links_drop_expired (HsDirectAgent *agent, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i;

  close_surplus (agent, now);
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    {
      HsAgentEntry *entry = &agent->entries[i];
      HsTime expires_at;

      if (!entry->used)
        continue;
      expires_at
          = entry->last_message_at
            + (entry->conn != NULL ? HS_PEER_TIMEOUT : HS_RECONNECT_TIMEOUT);
      expires_at
          = MIN (expires_at, entry->confirmed_at
                                 + (entry->confirmed ? HS_ENTRY_SILENCE_MAX
                                                     : HS_PEER_TIMEOUT));
      if (now >= expires_at)
        drop_entry (agent, entry, drop_reason (entry), now);
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
    {
      HsAgentEntry *entry = &agent->entries[i];
      HsTime left;

      if (entry->conn == NULL)
        continue;
      entry->last_message_at = MAX (entry->last_message_at,
                                    now - HS_PEER_TIMEOUT + HS_RESUME_GRACE);
      left = entry->confirmed_at + HS_ENTRY_SILENCE_LIMIT - now;
      entry->confirmed_at
          = MAX (entry->confirmed_at,
                 now - HS_ENTRY_SILENCE_MAX + MIN (HS_RESUME_GRACE, left));
    }
}

uint32_t
hs_agent_links_connected_count (const HsDirectAgent *agent)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    n += agent->entries[i].conn != NULL;
  return n;
}

/* Closes connections to addresses that aren't chosen, such as some of the
   seeds. A connection is closed once all chosen entries are connected and no
   task of its entry is running here. */
static void
close_surplus (HsDirectAgent *agent, HsTime now)
{
  bool too_many = hs_agent_links_connected_count (agent) > HS_CONNECTIONS_MAX;
  uint32_t n_chosen = 0;
  uint32_t i;
  uint64_t ref;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    n_chosen += too_many && agent->entries[i].conn != NULL
                && hs_dialer_is_chosen (agent->dialer, agent->entries[i].conn);
  for (i = 0; i < HS_ENTRIES_MAX; i++)
    {
      HsAgentEntry *entry = &agent->entries[i];
      bool surplus = too_many && n_chosen >= HS_CONNECTIONS_MAX
                     && entry->conn != NULL
                     && !hs_dialer_is_chosen (agent->dialer, entry->conn);

      if (entry->conn == NULL)
        continue;
      if (surplus != (entry->surplus_since != 0))
        {
          entry->surplus_since = surplus ? now : 0;
          entry->report_due = true;
          entry->reported_at = 0;
        }
      if (!surplus || now - entry->surplus_since < SURPLUS_DELAY
          || hs_runs_active_refs (agent->runs, i, &ref, 1) > 0)
        continue;
      hs_dialer_release (agent->dialer, entry->conn, now);
      drop_entry (agent, entry, "surplus", now);
    }
}

static HsAgentEntry *
find_or_add_entry (HsDirectAgent *agent, uint64_t incarnation)
{
  HsAgentEntry *entry = NULL;
  uint32_t i;

  for (i = 0; i < HS_ENTRIES_MAX; i++)
    if (agent->entries[i].used && agent->entries[i].incarnation == incarnation)
      return &agent->entries[i];
    else if (!agent->entries[i].used && entry == NULL)
      entry = &agent->entries[i];
  if (entry == NULL)
    return NULL;
  memset (entry, 0, sizeof *entry);
  entry->used = true;
  entry->reset_pending = true;
  entry->incarnation = incarnation;
  entry->unsent_ends = g_array_new (FALSE, FALSE, sizeof (hsx_end));
  entry->recent_ends = g_array_new (FALSE, FALSE, sizeof (HsRecentEnd));
  return entry;
}

static HsAgentEntry *
entry_of_conn (HsDirectAgent *agent, HsConn *conn)
{
  HsAgentEntry *entry = hs_conn_data (conn);

  (void) agent;
  return entry != NULL && entry->used && entry->conn == conn ? entry : NULL;
}

static void
drop_entry (HsDirectAgent *agent,
            HsAgentEntry *entry,
            const char *why,
            HsTime now)
{
  HsConn *conn = entry->conn;

  hs_event ("entry_lost", "entry=%016" PRIx64 " address=%s why=%s",
            entry->incarnation, entry->address, why);
  entry->conn = NULL;
  hs_runs_entry_lost (agent->runs, (uint32_t) (entry - agent->entries), now);
  g_array_unref (entry->unsent_ends);
  g_array_unref (entry->recent_ends);
  memset (entry, 0, sizeof *entry);
  if (conn != NULL)
    {
      hs_conn_set_data (conn, NULL);
      hs_conn_close (conn);
    }
}

static void
apply_orders (HsDirectAgent *agent,
              HsAgentEntry *entry,
              const hsx_orders_args *orders)
{
  uint32_t entry_index = (uint32_t) (entry - agent->entries);
  HsTime now = hs_now ().mono;
  HsTime sent = orders->stamp_us + orders->stamp_age_us;
  uint32_t i;
  uint32_t k;

  if (orders->agent != agent->incarnation)
    return;
  entry->orders_seen = orders->number;
  if (orders->stamp_us >= entry->full_report_stamp)
    {
      entry->reset_pending = false;
      entry->confirmed = true;
    }
  if (entry->confirmed)
    entry->confirmed_at = MAX (entry->confirmed_at, MIN (sent, now));
  hs_runs_set_backlog (agent->runs, entry_index, &orders->want,
                       orders->stamp_us);
  for (i = 0; i < orders->launches.launches_len; i++)
    {
      const hsx_launch *launch = &orders->launches.launches_val[i];

      for (k = 0; k < launch->tasks.tasks_len; k++)
        hs_runs_launch (agent->runs, entry_index, launch,
                        &launch->tasks.tasks_val[k], sent, now);
    }
  /* After the launches, as a stop may be of one of them. */
  for (i = 0; i < orders->stops.stops_len; i++)
    hs_runs_stop (agent->runs, entry_index, orders->stops.stops_val[i],
                  orders->stops_since_us, now);
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

static bool
info_is_due (const HsDirectAgent *agent, const HsAgentEntry *entry)
{
  const HsAnnouncement *target = hs_runs_target (agent->runs);

  return target != NULL
         && (!entry->info_sent
             || !hs_resources_equal (&entry->capacity_sent, &target->capacity));
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

/* Sends one report, with as many ends as fit into it. */
static bool
send_report (HsDirectAgent *agent, HsAgentEntry *entry, HsTime now)
{
  uint32_t entry_index = (uint32_t) (entry - agent->entries);
  hsx_report_args args
      = { .agent = agent->incarnation,
          .stamp_us = now,
          .orders_seen = entry->orders_seen,
          .state = hs_runs_target_state (agent->runs),
          .free = hs_runs_available (agent->runs, entry_index, now),
          .offer = entry->offer_due,
          .warmup_left_ms
          = (unsigned int) (hs_runs_warmup_left (agent->runs, now) / HS_MSEC) };
  uint64_t held[HSX_RECORDS_MAX];
  const HsCrash *crash = unsent_crash (agent, entry, now);
  HsCrashMessage crash_message;
  hsx_target_info info;
  GArray *ends = entry->unsent_ends;
  guint i;

  if (entry->surplus_since != 0)
    {
      args.state = HSX_TARGET_LEAVING;
      args.free = (hsx_room){ 0 };
      args.offer = false;
    }
  prune_recent_ends (entry, now);
  if (info_is_due (agent, entry))
    {
      fill_info (agent, &info);
      args.info = &info;
      entry->info_sent = true;
      entry->capacity_sent = info.capacity;
    }
  if (crash != NULL)
    {
      hs_crash_message_fill (&crash_message, crash, now);
      crash_message.crash.agent = agent->incarnation;
      crash_message.crash.host = agent->settings->host;
      crash_message.crash.service
          = (char *) hs_runs_target (agent->runs)->service;
      crash_message.crash.pass_on = passes_crashes_on (agent, entry);
      args.crash = &crash_message.crash;
      entry->crash_sent = crash->number;
      entry->crash_stage_sent = crash->stage;
    }
  if (entry->full_report_due && !entry->recent_ends_queued)
    {
      g_array_set_size (ends, 0);
      for (i = 0; i < entry->recent_ends->len; i++)
        g_array_append_val (
            ends, g_array_index (entry->recent_ends, HsRecentEnd, i).end);
      entry->recent_ends_queued = true;
    }
  /* Follows the last end: the entry takes what is neither held nor ended as
     never started. */
  if (entry->full_report_due && ends->len <= HSX_BATCH_MAX)
    {
      entry->full_report_stamp = args.stamp_us;
      args.whole = TRUE;
      args.fresh = entry->reset_pending;
      args.held.held_val = held;
      args.held.held_len = hs_runs_active_refs (agent->runs, entry_index, held,
                                                HSX_RECORDS_MAX);
    }
  args.ends.ends_val = (hsx_end *) (void *) ends->data;
  args.ends.ends_len = MIN (ends->len, HSX_BATCH_MAX);
  if (!hs_conn_call (entry->conn, HSX_REPORT, &args, HS_NEVER, NULL, NULL))
    return false;
  g_array_remove_range (ends, 0, args.ends.ends_len);
  entry->full_report_due &= !args.whole;
  entry->report_due = false;
  entry->offer_due = false;
  entry->reported_at = now;
  return true;
}

/* A crash that the entry doesn't know of; NULL if there is none. */
static const HsCrash *
unsent_crash (const HsDirectAgent *agent, const HsAgentEntry *entry, HsTime now)
{
  const HsCrash *crash = hs_runs_last_crash (agent->runs);

  if (crash == NULL
      || (crash->number == entry->crash_sent
          && crash->stage == entry->crash_stage_sent)
      || now - crash->at > CRASH_RETENTION
      || hs_runs_target (agent->runs) == NULL)
    return NULL;
  return crash;
}

static bool
passes_crashes_on (const HsDirectAgent *agent, const HsAgentEntry *entry)
{
  uint32_t n_before = 0;
  const HsAgentEntry *other;

  if (hs_agent_links_connected_count (agent) < HS_CONNECTIONS_MAX)
    return false;
  for (other = agent->entries; other < entry; other++)
    n_before += other->conn != NULL;
  return n_before < CRASH_RELAYS;
}

static void
prune_recent_ends (HsAgentEntry *entry, HsTime now)
{
  guint n = 0;

  while (n < entry->recent_ends->len
         && now - g_array_index (entry->recent_ends, HsRecentEnd, n).ended_at
                > RECENT_ENDS_RETENTION)
    n++;
  if (n > 0)
    g_array_remove_range (entry->recent_ends, 0, n);
}
