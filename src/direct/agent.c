#include "direct/agent.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "direct/agent_private.h"
#include "direct/liveness.h"
#include "direct/process.h"
#include "platform/text_server.h"

/** A stopping agent exits this long before the end of the grace period, at
 *  which it would be killed, even if tasks are still running. */
#define EXIT_MARGIN (300 * HS_MSEC)

/** Time allowed for the last reports to leave this host. */
#define FINAL_REPORT_SPAN (100 * HS_MSEC)

/** Time between checks of the settings file for changes. */
#define SETTINGS_CHECK_INTERVAL (1 * HS_SEC)

typedef struct
{
  HsDirectAgent agent;
  HsSettingsWatch *settings_watch;
  HsTime settings_check_at;
} AgentProcess;

static bool start (AgentProcess *process, GError **error);
static void apply_settings (void *arg, HsPlatformSettings *settings);
static void add_seeds (HsDirectAgent *agent);
static void on_timer (void *arg);
static void on_work (struct tevent_context *ev,
                     struct tevent_immediate *immediate,
                     void *arg);
static void do_due_work (AgentProcess *process);
static void query_store (AgentProcess *process, HsTime now);
static void exit_when_idle (HsDirectAgent *agent, HsTime now);
static void log_target_state (HsDirectAgent *agent);
static void on_pause (void *arg, HsTime length, HsTime now);
static void on_term (struct tevent_context *ev,
                     struct tevent_signal *se,
                     int number,
                     int count,
                     void *info,
                     void *arg);
static void create_metrics (HsDirectAgent *agent);
static unsigned int render_metrics (void *arg, TALLOC_CTX *ctx, char **body);

/* Connections to entries. */

static void
on_connected (void *arg, HsConn *conn)
{
  hs_agent_links_connected (arg, conn);
}

static void
on_disconnected (void *arg, HsConn *conn, bool refused)
{
  hs_agent_links_disconnected (arg, conn, refused);
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  (void) call;
  hs_direct_agent_handle_pause (arg);
  hs_agent_links_handle_call (arg, conn, proc, args);
}

int
hs_direct_agent_run (const char *settings_path)
{
  AgentProcess *process = talloc_zero (NULL, AgentProcess);
  HsDirectAgent *agent = &process->agent;
  g_autoptr (GError) error = NULL;

  signal (SIGPIPE, SIG_IGN);
  agent->ev = tevent_context_init (process);
  agent->settings_path = talloc_strdup (process, settings_path);
  if (!start (process, &error))
    {
      fprintf (stderr, "hibiscusspoke agent: %s\n", error->message);
      talloc_free (process);
      return 1;
    }
  do_due_work (process);
  while (!agent->done && tevent_loop_once (agent->ev) == 0)
    ;
  hs_event ("stop", "tasks=%u", hs_runs_count (agent->runs));
  talloc_free (agent->target_client);
  talloc_free (agent->rpc);
  talloc_free (process);
  return 0;
}

void
hs_direct_agent_schedule (HsDirectAgent *agent)
{
  if (agent->work_scheduled || agent->work_immediate == NULL)
    return;
  agent->work_scheduled = true;
  tevent_schedule_immediate (agent->work_immediate, agent->ev, on_work, agent);
}

static bool
start (AgentProcess *process, GError **error)
{
  HsDirectAgent *agent = &process->agent;
  HsNow now = hs_now ();
  HsRpcHandler handler = { .connected = on_connected,
                           .disconnected = on_disconnected,
                           .call = on_call };
  HsRunsOptions options;
  HsBodyLimits limits;
  HsBodyBudget *budget;
  hsx_hello self = { .role = HSX_ROLE_AGENT };

  agent->settings
      = hs_platform_settings_load (process, agent->settings_path, error);
  if (agent->settings == NULL)
    return false;
  hs_event_init (agent->settings->host);
  agent->incarnation = hs_process_new_incarnation ();
  agent->pause_watch = hs_pause_watch_new (process, agent->ev, on_pause, agent);
  create_metrics (agent);
  options.lease = MIN (agent->settings->max_lease, HS_LEASE_MAX);
  options.max_lease = agent->settings->max_lease;
  options.stop_timeout = agent->settings->stop_timeout;
  /* The wall clock in milliseconds is higher than every token of earlier
     incarnations, as an incarnation uses less than one token per
     millisecond. */
  agent->runs = hs_runs_new (process, &options, (uint64_t) now.wall_ms,
                             &hs_direct_agent_effects, agent);
  hs_agent_evacuations_start (agent);
  agent->target_client = hs_target_client_new (
      process, agent->ev, &hs_direct_agent_target_handler, agent);
  if (agent->settings->target_address != NULL)
    hs_target_client_set_endpoint (agent->target_client,
                                   agent->settings->target_address, NULL);
  self.incarnation = agent->incarnation;
  self.address = agent->settings->control_listen;
  self.data_centre = agent->settings->data_centre;
  agent->rpc = hs_rpc_new (process, agent->ev, &self,
                           agent->settings->cluster_key, &handler, agent);
  agent->dialer = hs_dialer_new (process, agent->rpc, NULL);
  hs_dialer_set_limit (agent->dialer, agent->settings->host,
                       HS_CONNECTIONS_MAX);
  agent->store = hs_process_store_new (process, agent->ev, agent->settings);
  agent->work_immediate = tevent_create_immediate (process);
  agent->timer = hs_timer_new (process, agent->ev, on_timer, process);
  add_seeds (agent);
  budget = hs_process_body_budget_new (process, agent->settings, agent->metrics,
                                       &limits);
  if (hs_announcement_server_new (
          process, agent->ev, agent->settings->control_listen, budget,
          &hs_direct_agent_announcement_handler, agent, error)
      == NULL)
    return false;
  if (agent->settings->metrics_listen != NULL
      && hs_text_server_new (process, agent->ev,
                             agent->settings->metrics_listen, budget,
                             "/metrics", render_metrics, agent, error)
             == NULL)
    return false;
  process->settings_watch = hs_settings_watch_new (
      process, agent->ev, agent->settings_path, apply_settings, process);
  tevent_add_signal (agent->ev, process, SIGTERM, 0, on_term, process);
  tevent_add_signal (agent->ev, process, SIGINT, 0, on_term, process);
  hs_event ("start",
            "role=agent incarnation=%016" PRIx64 " listen=%s target=%s "
            "token=%" PRId64,
            agent->incarnation, agent->settings->control_listen,
            agent->settings->target_address != NULL
                ? agent->settings->target_address
                : "-",
            now.wall_ms);
  return true;
}

/* Applies changes of the seeds. The addresses in use and the cluster key don't
   change while the process runs. */
static void
apply_settings (void *arg, HsPlatformSettings *settings)
{
  AgentProcess *process = arg;
  HsDirectAgent *agent = &process->agent;

  talloc_steal (process, settings);
  memcpy (agent->settings->seeds, settings->seeds, sizeof settings->seeds);
  add_seeds (agent);
  hs_direct_agent_schedule (agent);
}

static void
add_seeds (HsDirectAgent *agent)
{
  uint32_t i;

  for (i = 0; agent->settings->seeds[i] != NULL; i++)
    hs_dialer_add (agent->dialer, agent->settings->seeds[i], true,
                   hs_now ().mono);
}

static void
on_timer (void *arg)
{
  AgentProcess *process = arg;

  hs_direct_agent_handle_pause (&process->agent);
  do_due_work (process);
}

static void
on_work (struct tevent_context *ev,
         struct tevent_immediate *immediate,
         void *arg)
{
  HsDirectAgent *agent = arg;

  (void) ev;
  (void) immediate;
  agent->work_scheduled = false;
  do_due_work ((AgentProcess *) (void *) agent);
}

static void
do_due_work (AgentProcess *process)
{
  HsDirectAgent *agent = &process->agent;
  HsTime now = hs_now ().mono;
  HsTime due = now + HS_HEARTBEAT_INTERVAL;

  due = MIN (due, hs_dialer_tick (agent->dialer, now));
  due = MIN (due, hs_agent_links_drop_expired (agent, now));
  due = MIN (due, hs_runs_tick (agent->runs, now));
  log_target_state (agent);
  due = MIN (due, hs_agent_links_send_reports (agent, now));
  if (now >= process->settings_check_at)
    {
      process->settings_check_at = now + SETTINGS_CHECK_INTERVAL;
      hs_settings_watch_check (process->settings_watch);
    }
  query_store (process, now);
  if (agent->leaving)
    exit_when_idle (agent, now);
  hs_timer_set (agent->timer, due - now, now);
}

static void
on_entries_read (void *arg, const HsStoreReply *reply)
{
  AgentProcess *process = arg;
  HsDirectAgent *agent = &process->agent;
  size_t n_bad = 0;
  size_t i;

  hs_entry_lookup_done (&agent->lookup);
  if (reply->status != HS_STORE_OK)
    return;
  for (i = 0; i < reply->n_kvs; i++)
    n_bad += !hs_dialer_add (agent->dialer, reply->kvs[i].value, false,
                             hs_now ().mono);
  hs_event ("entries_read", "entries=%zu bad=%zu revision=%" PRId64,
            reply->n_kvs, n_bad + reply->n_unreadable, reply->revision);
  hs_direct_agent_schedule (agent);
}

/* Reads the addresses of the entries when that is due: each running entry has a
   key in the store, the seeds may be outdated, and entries without a connection
   to this agent don't announce themselves to it. */
static void
query_store (AgentProcess *process, HsTime now)
{
  HsDirectAgent *agent = &process->agent;
  bool connected = hs_agent_links_connected_count (agent) > 0;

  if (hs_entry_lookup_due (&agent->lookup, connected, now))
    hs_store_range (agent->store, HS_ENTRY_KEY_PREFIX, 0, on_entries_read,
                    process);
}

static void
exit_when_idle (HsDirectAgent *agent, HsTime now)
{
  if (hs_runs_count (agent->runs) > 0)
    agent->idle_since = now;
  if (now - agent->idle_since >= FINAL_REPORT_SPAN
      || now - agent->leaving_since >= agent->settings->grace - EXIT_MARGIN)
    agent->done = true;
}

/* Logs when the target becomes available or unavailable. */
static void
log_target_state (HsDirectAgent *agent)
{
  static const char *const state_names[] = { [HSX_TARGET_UNKNOWN] = "unknown",
                                             [HSX_TARGET_READY] = "ready",
                                             [HSX_TARGET_LEAVING] = "leaving",
                                             [HSX_TARGET_MUTE] = "out_of_use" };
  hsx_target_state state = hs_runs_target_state (agent->runs);

  if (state == agent->logged_state)
    return;
  hs_event ("target_state", "state=%s before=%s why=%s tasks=%u",
            state_names[state], state_names[agent->logged_state],
            hs_runs_unavailable_reason (agent->runs),
            hs_runs_count (agent->runs));
  agent->logged_state = state;
}

/* After a pause of this process, no entry counts as unresponsive before the
   messages that it sent during the pause have been read. */
static void
on_pause (void *arg, HsTime length, HsTime now)
{
  HsDirectAgent *agent = arg;

  hs_event ("pause", "ms=%.0f", (double) length / HS_MSEC);
  hs_agent_links_resume (agent, now);
  hs_runs_resume (agent->runs, length, now);
}

void
hs_direct_agent_handle_pause (HsDirectAgent *agent)
{
  hs_pause_watch_check (agent->pause_watch, hs_now ().mono);
}

static void
on_term (struct tevent_context *ev,
         struct tevent_signal *se,
         int number,
         int count,
         void *info,
         void *arg)
{
  AgentProcess *process = arg;

  (void) ev;
  (void) se;
  (void) number;
  (void) count;
  (void) info;
  if (process->agent.leaving)
    return;
  hs_event ("leave", "tasks=%u", hs_runs_count (process->agent.runs));
  process->agent.leaving = true;
  process->agent.leaving_since = hs_now ().mono;
  process->agent.idle_since = process->agent.leaving_since;
  hs_runs_drain (process->agent.runs);
  hs_direct_agent_schedule (&process->agent);
}

static double
read_tasks (void *arg)
{
  HsDirectAgent *agent = arg;

  return hs_runs_count (agent->runs);
}

static double
read_dropped_lines (void *arg)
{
  (void) arg;
  return (double) hs_event_lines_dropped ();
}

static double
read_evacuated_data_centres (void *arg)
{
  HsDirectAgent *agent = arg;

  return agent->evacuations != NULL ? hs_evacuations_count (agent->evacuations)
                                    : 0;
}

static void
create_metrics (HsDirectAgent *agent)
{
  uint32_t i;

  agent->metrics = hs_metrics_new (agent->ev, 1);
  for (i = HSX_END_DONE; i <= HSX_END_SLOW; i++)
    agent->end_counters[i] = hs_metrics_counter (
        agent->metrics, "hs_direct_tasks_total", "Tasks by how they ended.",
        "how", hs_end_name (i));
  agent->crash_counter
      = hs_metrics_counter (agent->metrics, "hs_direct_target_crashes_total",
                            "Crashes of the target.", NULL, NULL);
  agent->run_times
      = hs_metrics_histogram (agent->metrics, "hs_direct_run_seconds",
                              "Run times of tasks that were done.", NULL, NULL);
  hs_metrics_gauge (agent->metrics, "hs_direct_log_lines_dropped",
                    "Log lines that were dropped.", NULL, NULL,
                    read_dropped_lines, NULL);
  hs_metrics_gauge (agent->metrics, "hs_direct_tasks",
                    "Tasks that have not ended.", NULL, NULL, read_tasks,
                    agent);
  hs_metrics_gauge (agent->metrics, "hs_direct_evacuated_data_centres",
                    "Data centres that are evacuated.", NULL, NULL,
                    read_evacuated_data_centres, agent);
}

static unsigned int
render_metrics (void *arg, TALLOC_CTX *ctx, char **body)
{
  HsDirectAgent *agent = arg;

  *body = hs_metrics_render (ctx, agent->metrics);
  return 200;
}
