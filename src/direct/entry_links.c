#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"
#include "direct/liveness.h"
#include "direct/runs.h"

static void agent_up (HsDirectEntry *entry, HsConn *conn);
static void peer_up (HsDirectEntry *entry, HsConn *conn);
static uint32_t attach_agent (HsDirectEntry *entry,
                              HsConn *conn,
                              const hsx_report_args *report);
static uint32_t target_of (const HsDirectEntry *entry, const HsConn *conn);
static HsEntryPeer *peer_of (HsDirectEntry *entry, const HsConn *conn);
static void handle_report (HsDirectEntry *entry,
                           uint32_t target,
                           const hsx_report_args *args);
static void
drop_predecessors (HsDirectEntry *entry, uint32_t target, HsTime now);
static void drop_agent (HsDirectEntry *entry,
                        uint32_t target,
                        bool tasks_ended,
                        const char *why,
                        HsTime now);
static void handle_crash (HsDirectEntry *entry, const hsx_crash *crash);
static void send_entries (HsDirectEntry *entry, HsConn *conn);
static void announce_peer (HsDirectEntry *entry, HsEntryPeer *peer);
static hsx_entry_info entry_info (HsEntryPeer *peer);

void
hs_entry_links_connected (HsDirectEntry *entry, HsConn *conn)
{
  const hsx_hello *hello = hs_conn_peer (conn);

  hs_dialer_connected (entry->dialer, conn);
  if (hello->incarnation == entry->incarnation)
    hs_conn_close (conn);
  else if (hello->role == HSX_ROLE_AGENT)
    agent_up (entry, conn);
  else
    peer_up (entry, conn);
}

void
hs_entry_links_disconnected (HsDirectEntry *entry, HsConn *conn)
{
  uint32_t target = target_of (entry, conn);
  HsEntryPeer *peer = peer_of (entry, conn);
  HsTime now = hs_now ().mono;

  hs_dialer_disconnected (entry->dialer, conn, now);
  if (target != HS_TARGET_NONE)
    {
      HsAgentLink *link = hs_entry_links_at (entry, target);

      hs_event ("agent_down", "host=%s",
                hs_targets_get (entry->targets, target)->host);
      link->conn = NULL;
      link->disconnected_at = now;
      hs_entry_orders_clear (&link->outbox);
      hs_targets_disconnect (entry->targets, target);
    }
  if (peer != NULL)
    {
      hs_event ("entry_down", "address=%s", peer->address);
      memset (peer, 0, sizeof *peer);
    }
  hs_entry_schedule (entry, false);
}

void
hs_entry_links_handle_call (HsDirectEntry *entry,
                            HsConn *conn,
                            uint32_t proc,
                            HsRpcCallId call,
                            const void *args)
{
  uint32_t target = target_of (entry, conn);
  HsEntryPeer *peer = peer_of (entry, conn);
  const hsx_entries_args *entries = args;
  uint32_t i;

  if (proc == HSX_REPORT && target == HS_TARGET_NONE && peer == NULL)
    target = attach_agent (entry, conn, args);
  if (proc == HSX_REPORT && target != HS_TARGET_NONE)
    handle_report (entry, target, args);
  else if (proc == HSX_ENTRIES && peer != NULL)
    {
      for (i = 0; i < entries->entries.entries_len; i++)
        hs_dialer_add (entry->dialer, entries->entries.entries_val[i].address,
                       false, hs_now ().mono);
      hs_entry_schedule (entry, false);
    }
  else if (proc == HSX_CRASH && peer != NULL)
    handle_crash (entry, &((const hsx_crash_args *) args)->crash);
  else if (proc == HSX_CANCEL_JOB && peer != NULL)
    hs_entry_cancel_answer (entry, conn, call, args, hs_now ().mono);
  else if (proc == HSX_JOB_CANCELLED && peer != NULL)
    hs_entry_cancel_receive (entry, args, hs_now ().mono);
  else if (proc == HSX_CONFIGURATION && peer != NULL)
    hs_entry_config_receive (entry, peer, args);
  else if (proc == HSX_EVACUATIONS && peer != NULL)
    hs_entry_evacuations_receive (entry, peer, args);
  else if (target != HS_TARGET_NONE || peer != NULL)
    {
      hs_event ("protocol_error", "procedure=%u", proc);
      hs_conn_close (conn);
    }
}

HsTime
hs_entry_links_check_timeouts (HsDirectEntry *entry, HsTime now)
{
  HsTime due = HS_NEVER;
  uint32_t i;

  for (i = 0; i < entry->n_links; i++)
    {
      HsAgentLink *link = &entry->links[i];
      HsTarget *target;
      HsTime until;

      if (i >= hs_targets_table_size (entry->targets))
        break;
      target = hs_targets_get (entry->targets, i);
      if (!target->in_use)
        continue;
      until = link->conn != NULL ? target->last_message_at + HS_PEER_TIMEOUT
                                 : link->disconnected_at + HS_RECONNECT_TIMEOUT;
      if (now >= until)
        drop_agent (entry, i, false, link->conn != NULL ? "silent" : "gone",
                    now);
      else
        due = MIN (due, until);
    }
  return due;
}

void
hs_entry_links_resume (HsDirectEntry *entry, HsTime now)
{
  uint32_t i;

  for (i = 0; i < entry->n_links; i++)
    if (entry->links[i].conn != NULL)
      hs_targets_get (entry->targets, i)->last_message_at = now;
}

bool
hs_entry_links_any_ready (const HsDirectEntry *entry)
{
  uint32_t i;

  for (i = 0; i < entry->n_links; i++)
    if (entry->links[i].conn != NULL
        && hs_targets_get (entry->targets, i)->state == HSX_TARGET_READY)
      return true;
  return false;
}

static void
agent_up (HsDirectEntry *entry, HsConn *conn)
{
  const hsx_hello *hello = hs_conn_peer (conn);

  hs_event ("agent_up", "agent=%016" PRIx64 " data_centre=%s",
            hello->incarnation, hello->data_centre);
  send_entries (entry, conn);
}

/* Binds a connection to the agent's target on its first report, if that report
   is newer than all earlier ones of the agent. */
static uint32_t
attach_agent (HsDirectEntry *entry, HsConn *conn, const hsx_report_args *report)
{
  const hsx_hello *hello = hs_conn_peer (conn);
  uint32_t target;
  HsAgentLink *link;
  HsConn *previous;

  if (hello == NULL || hello->role != HSX_ROLE_AGENT)
    return HS_TARGET_NONE;
  if (!hs_targets_report_is_newer (entry->targets, hello->incarnation,
                                   report->stamp_us))
    {
      hs_event ("agent_stale", "agent=%016" PRIx64 " stamp=%" PRId64,
                hello->incarnation, report->stamp_us);
      hs_conn_close (conn);
      return HS_TARGET_NONE;
    }
  target = hs_targets_connect (entry->targets, hello->incarnation,
                               hello->data_centre, hs_now ().mono);
  link = hs_entry_links_at (entry, target);
  previous = link->conn;
  link->conn = conn;
  link->reconciled = false;
  link->orders_sent_at = 0;
  link->probe_orders = 0;
  link->backlog_sent = false;
  hs_entry_orders_clear (&link->outbox);
  if (previous != NULL)
    hs_conn_close (previous);
  hs_entry_evacuations_agent_connected (entry, conn);
  hs_entry_schedule (entry, false);
  return target;
}

static void
peer_up (HsDirectEntry *entry, HsConn *conn)
{
  const hsx_hello *hello = hs_conn_peer (conn);
  uint32_t i;

  for (i = 0; i < HS_PEERS_MAX && entry->peers[i].used; i++)
    ;
  if (i == HS_PEERS_MAX)
    {
      hs_event ("entry_refused", "address=%s why=too_many", hello->address);
      hs_conn_close (conn);
      return;
    }
  entry->peers[i].used = true;
  entry->peers[i].conn = conn;
  entry->peers[i].incarnation = hello->incarnation;
  g_strlcpy (entry->peers[i].address, hello->address,
             sizeof entry->peers[i].address);
  hs_dialer_add (entry->dialer, hello->address, false, hs_now ().mono);
  hs_event ("entry_up", "entry=%016" PRIx64 " address=%s", hello->incarnation,
            hello->address);
  send_entries (entry, conn);
  announce_peer (entry, &entry->peers[i]);
  hs_entry_config_peer_connected (entry, &entry->peers[i]);
  hs_entry_cancel_peer_connected (entry, &entry->peers[i], hs_now ().mono);
  hs_entry_evacuations_peer_connected (entry, &entry->peers[i]);
  hs_entry_schedule (entry, false);
}

HsAgentLink *
hs_entry_links_at (HsDirectEntry *entry, uint32_t target)
{
  if (target >= entry->n_links)
    {
      entry->links
          = talloc_realloc (entry, entry->links, HsAgentLink, target + 1);
      memset (&entry->links[entry->n_links], 0,
              (target + 1 - entry->n_links) * sizeof *entry->links);
      entry->n_links = target + 1;
    }
  return &entry->links[target];
}

static uint32_t
target_of (const HsDirectEntry *entry, const HsConn *conn)
{
  uint32_t i;

  for (i = 0; i < entry->n_links; i++)
    if (entry->links[i].conn == conn)
      return i;
  return HS_TARGET_NONE;
}

static HsEntryPeer *
peer_of (HsDirectEntry *entry, const HsConn *conn)
{
  uint32_t i;

  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used && entry->peers[i].conn == conn)
      return &entry->peers[i];
  return NULL;
}

static void
handle_report (HsDirectEntry *entry,
               uint32_t target,
               const hsx_report_args *args)
{
  HsTarget *row = hs_targets_get (entry->targets, target);
  hsx_target_state before = row->state;
  HsTime now = hs_now ().mono;
  uint32_t i;

  hs_entry_orders_note_report (&entry->links[target], args, now);
  hs_targets_apply_report (entry->targets, target, args, now);
  if (row->state != before)
    hs_event ("target", "host=%s name=%s state=%d before=%d free_milli=%u",
              row->host, row->name, (int) row->state, (int) before,
              row->reported_free.cpu_milli);
  if (row->state == HSX_TARGET_READY && before != HSX_TARGET_READY)
    drop_predecessors (entry, target, now);
  if (args->offer)
    entry->links[target].offer_unanswered = true;
  if (args->crash != NULL)
    handle_crash (entry, args->crash);
  for (i = 0; i < args->ends.ends_len; i++)
    hs_jobs_task_ended (entry->jobs, target, &args->ends.ends_val[i], now);
  /* The agent had given this entry up as lost and stopped its tasks. */
  if (args->fresh)
    hs_jobs_target_lost (entry->jobs, target, false, now);
  if (args->whole)
    {
      uint32_t n_stopped = hs_jobs_reconcile (
          entry->jobs, target, args->held.held_val, args->held.held_len);

      if (n_stopped > 0)
        hs_entry_orders_note_lost_stops (&entry->links[target]);
      entry->links[target].reconciled = true;
      hs_event ("agent_reconciled", "host=%s held=%u stopped=%u", row->host,
                args->held.held_len, n_stopped);
    }
  if (args->whole || args->offer || args->ends.ends_len > 0
      || hs_jobs_has_waiting_tasks (entry->jobs))
    hs_entry_schedule (entry, true);
}

static void
handle_crash (HsDirectEntry *entry, const hsx_crash *crash)
{
  hsx_crash_args args = { *crash };
  uint32_t i;

  if (!hs_jobs_target_crashed (entry->jobs, crash, hs_now ().mono))
    return;
  hs_event ("crash",
            "host=%s agent=%016" PRIx64 " crash=%u stage=%s tasks=%u ago_ms=%u",
            crash->host, crash->agent, crash->number,
            hs_crash_stage_name (crash->stage), crash->tasks.tasks_len,
            crash->ago_us / 1000);
  hs_entry_schedule (entry, true);
  args.crash.pass_on = FALSE;
  for (i = 0; crash->pass_on && i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used)
      hs_conn_call (entry->peers[i].conn, HSX_CRASH, &args, HS_NEVER, NULL,
                    NULL);
}

/* Gives up earlier incarnations of an agent that has become ready. An agent
   grants resources only once everything that its earlier incarnations ran has
   ended, so their tasks are known to be over. Its report may be late, and tells
   nothing of those that came after it. */
static void
drop_predecessors (HsDirectEntry *entry, uint32_t target, HsTime now)
{
  const HsTarget *row = hs_targets_get (entry->targets, target);
  uint32_t i;

  for (i = 0; i < entry->n_links; i++)
    {
      const HsTarget *other = hs_targets_get (entry->targets, i);

      if (other->in_use && !other->connected && other->serial < row->serial
          && strcmp (other->host, row->host) == 0)
        drop_agent (entry, i, true, "restarted", now);
    }
}

static void
drop_agent (HsDirectEntry *entry,
            uint32_t target,
            bool tasks_ended,
            const char *why,
            HsTime now)
{
  HsTarget *row = hs_targets_get (entry->targets, target);
  HsAgentLink *link = hs_entry_links_at (entry, target);
  HsConn *conn = link->conn;

  hs_event ("agent_lost", "host=%s agent=%016" PRIx64 " tasks=%u why=%s",
            row->host, row->agent_incarnation, row->n_tasks, why);
  link->conn = NULL;
  link->agent_clock_at = 0;
  link->delivered_until = 0;
  hs_entry_orders_clear (&link->outbox);
  hs_jobs_target_lost (entry->jobs, target, tasks_ended, now);
  hs_targets_remove (entry->targets, target);
  if (conn != NULL)
    hs_conn_close (conn);
  hs_entry_schedule (entry, true);
}

/* Sends the addresses of all known entries to a process that has just
   connected. */
static void
send_entries (HsDirectEntry *entry, HsConn *conn)
{
  hsx_entry_info list[HS_PEERS_MAX + 1];
  hsx_entries_args args = { .entries.entries_val = list };
  uint32_t i;

  list[args.entries.entries_len++]
      = (hsx_entry_info){ .incarnation = entry->incarnation,
                          .address = entry->settings->control_listen,
                          .data_centre = entry->settings->data_centre };
  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used)
      list[args.entries.entries_len++] = entry_info (&entry->peers[i]);
  hs_conn_call (conn, HSX_ENTRIES, &args, HS_NEVER, NULL, NULL);
}

/* Sends the address of an entry that has just connected to all other agents and
   entries. */
static void
announce_peer (HsDirectEntry *entry, HsEntryPeer *peer)
{
  hsx_entry_info info = entry_info (peer);
  hsx_entries_args args = { .entries = { 1, &info } };
  uint32_t i;

  for (i = 0; i < entry->n_links; i++)
    if (entry->links[i].conn != NULL)
      hs_conn_call (entry->links[i].conn, HSX_ENTRIES, &args, HS_NEVER, NULL,
                    NULL);
  for (i = 0; i < HS_PEERS_MAX; i++)
    if (entry->peers[i].used && &entry->peers[i] != peer)
      hs_conn_call (entry->peers[i].conn, HSX_ENTRIES, &args, HS_NEVER, NULL,
                    NULL);
}

static hsx_entry_info
entry_info (HsEntryPeer *peer)
{
  return (hsx_entry_info){ .incarnation = peer->incarnation,
                           .address = peer->address,
                           .data_centre = (char *) "" };
}
