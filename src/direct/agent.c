#include "direct/agent.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "direct/agent_private.h"
#include "direct/liveness.h"
#include "direct/process.h"
#include "platform/announcement_server.h"
#include "platform/text_server.h"

/** A stop ends this long before the kill, tasks done or not. */
#define STOP_MARGIN (300 * HS_MSEC)

/** Time for the last reports to leave this host. */
#define LAST_WORD_SPAN (100 * HS_MSEC)

/** Without any entry for so long, the store is asked for their addresses;
 *  it is asked again after the second span. */
#define ALONE_SPAN (400 * HS_MSEC)
#define ASK_SPAN (1 * HS_SEC)

/** Between looks at the settings file. */
#define RELOAD_SPAN (1 * HS_SEC)

typedef struct
{
  HsDirectAgent agent;
  HsReload *reload;
  HsTime reload_at;
  HsTime alone_since;
} Role;

static bool start (Role *role, GError **error);
static void take_settings (void *arg, HsPlatformSettings *settings);
static void add_seeds (HsDirectAgent *agent);
static void on_timer (void *arg);
static void on_turn (struct tevent_context *ev,
                     struct tevent_immediate *immediate,
                     void *arg);
static void turn (Role *role);
static void ask_store (Role *role, HsTime now);
static void progress_leave (HsDirectAgent *agent, HsTime now);
static void note_state (HsDirectAgent *agent);
static void note_pause (HsDirectAgent *agent);
static void on_term (struct tevent_context *ev,
                     struct tevent_signal *se,
                     int number,
                     int count,
                     void *info,
                     void *arg);
static void make_metrics (HsDirectAgent *agent);
static unsigned int render_metrics (void *arg, TALLOC_CTX *ctx, char **body);

/* Effects of the runs. */

static void
effect_start (void *arg, uint32_t run, const HsTargetStart *order)
{
  HsDirectAgent *agent = arg;

  hs_event ("task_start",
            "job=%s step=%u task=%u attempt=%u token=%" PRIu64
            " lease_until=%" PRId64,
            order->key.job, order->key.step, order->key.index,
            order->key.attempt, order->token, order->lease_until_ms);
  hs_target_client_start (agent->client, run, order);
}

static void
effect_forget (void *arg, uint32_t run)
{
  HsDirectAgent *agent = arg;

  hs_target_client_abandon_start (agent->client, run);
}

static void
effect_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  HsDirectAgent *agent = arg;

  hs_event ("task_stop", "job=%s step=%u task=%u attempt=%u", key->job,
            key->step, key->index, key->attempt);
  hs_target_client_stop (agent->client, key, token);
}

static void
effect_look (void *arg, const HsTargetLook *look)
{
  HsDirectAgent *agent = arg;

  hs_target_client_poll (agent->client, look);
}

static void
effect_ended (void *arg, uint32_t peer, const HsRunKey *key, const hsx_end *end)
{
  HsDirectAgent *agent = arg;

  hs_event ("task_end",
            "job=%s step=%u task=%u attempt=%u ref=%016" PRIx64
            " entry=%016" PRIx64 " how=%s reason=%s run_ms=%.1f",
            key->job, key->step, key->index, key->attempt, end->ref,
            agent->peers[peer].incarnation, hs_end_word (end->how),
            hs_refusal_word (end->reason), end->run_us / 1000.0);
  hs_counter_add (agent->counters[end->how], 0, 1);
  if (end->how == HSX_END_DONE)
    hs_histogram_record (agent->run_times, end->run_us);
  hs_agent_links_end (agent, peer, end);
}

static void
effect_changed (void *arg)
{
  hs_agent_links_changed (arg);
}

static void
effect_offered (void *arg, uint32_t peer)
{
  hs_agent_links_offer (arg, peer);
}

static const HsRunsEffects RUNS_EFFECTS = { .start = effect_start,
                                            .forget = effect_forget,
                                            .stop = effect_stop,
                                            .look = effect_look,
                                            .ended = effect_ended,
                                            .changed = effect_changed,
                                            .offered = effect_offered };

/* What the target answers and says. */

static void
on_started (void *arg, uint32_t run, HsTargetResult result)
{
  HsDirectAgent *agent = arg;
  const HsRunKey *key = hs_runs_key (agent->runs, run);

  note_pause (agent);
  if (result != HS_TARGET_OK && key != NULL)
    hs_event ("start_result", "job=%s step=%u task=%u attempt=%u result=%s",
              key->job, key->step, key->index, key->attempt,
              hs_target_result_word (result));
  hs_runs_started (agent->runs, run, result, hs_now ().mono);
  hs_agent_schedule (agent);
}

static void
on_looked (void *arg,
           uint32_t number,
           HsTargetResult result,
           const HsTargetList *list)
{
  HsDirectAgent *agent = arg;

  note_pause (agent);
  hs_runs_looked (agent->runs, number, result, list, hs_now ().mono);
  hs_agent_schedule (agent);
}

static void
on_stopped (void *arg, const HsRunKey *key, HsTargetResult result)
{
  if (result != HS_TARGET_OK)
    hs_event ("stop_result", "job=%s task=%u result=%s", key->job, key->index,
              hs_target_result_word (result));
  hs_agent_schedule (arg);
}

static const HsTargetClientHandler TARGET_HANDLER
    = { .started = on_started, .polled = on_looked, .stopped = on_stopped };

static void
on_announced (void *arg, const HsAnnouncement *said)
{
  HsDirectAgent *agent = arg;
  const HsAnnouncement *known = hs_runs_target (agent->runs);
  char name[HS_EVENT_TEXT_SIZE];
  bool was_leaving = known != NULL && known->leaving;
  bool same = known != NULL && strcmp (known->name, said->name) == 0
              && known->born_ms == said->born_ms;
  uint32_t i;

  if (!hs_runs_announce (agent->runs, said, hs_now ().mono))
    return;
  if (!same || was_leaving != said->leaving)
    hs_event ("target",
              "name=%s born=%" PRId64 " sequence=%" PRIu64
              " state=%s cpu_milli=%u",
              hs_event_text (said->name, name), said->born_ms, said->sequence,
              said->leaving ? "leaving" : "ready", said->capacity.cpu_milli);
  if (!same)
    {
      hs_target_client_set_endpoint (agent->client, said->address, said->name);
      for (i = 0; i < HS_ENTRIES_MAX; i++)
        agent->peers[i].told_info = false;
    }
  hs_agent_schedule (agent);
}

static void
on_left (void *arg, const char *name)
{
  HsDirectAgent *agent = arg;
  char text[HS_EVENT_TEXT_SIZE];

  hs_event ("target_left", "name=%s", hs_event_text (name, text));
  hs_runs_left (agent->runs, name, hs_now ().mono);
  hs_agent_schedule (agent);
}

static void
on_unreadable (void *arg, const char *name, const char *problem)
{
  char text[HS_EVENT_TEXT_SIZE];

  (void) arg;
  hs_event ("target_unreadable", "name=%s problem=\"%s\"",
            hs_event_text (name, text), problem);
}

static const HsAnnouncementHandler ANNOUNCE_HANDLER
    = { .announced = on_announced,
        .left = on_left,
        .unreadable = on_unreadable };

/* Connections to entries. */

static void
on_up (void *arg, HsConn *conn)
{
  hs_agent_links_up (arg, conn);
}

static void
on_down (void *arg, HsConn *conn, bool refused)
{
  hs_agent_links_down (arg, conn, refused);
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  (void) call;
  note_pause (arg);
  hs_agent_links_call (arg, conn, proc, args);
}

int
hs_direct_agent_run (const char *settings_path)
{
  Role *role = talloc_zero (NULL, Role);
  HsDirectAgent *agent = &role->agent;
  g_autoptr (GError) error = NULL;

  signal (SIGPIPE, SIG_IGN);
  agent->ev = tevent_context_init (role);
  agent->settings_path = talloc_strdup (role, settings_path);
  if (!start (role, &error))
    {
      fprintf (stderr, "hibiscusspoke agent: %s\n", error->message);
      talloc_free (role);
      return 1;
    }
  turn (role);
  while (!agent->done && tevent_loop_once (agent->ev) == 0)
    agent->alive_at = hs_now ().mono;
  hs_event ("stop", "tasks=%u", hs_runs_count (agent->runs));
  talloc_free (agent->client);
  talloc_free (agent->rpc);
  talloc_free (role);
  return 0;
}

void
hs_agent_schedule (HsDirectAgent *agent)
{
  if (agent->turn_scheduled || agent->turn == NULL)
    return;
  agent->turn_scheduled = true;
  tevent_schedule_immediate (agent->turn, agent->ev, on_turn, agent);
}

static bool
start (Role *role, GError **error)
{
  HsDirectAgent *agent = &role->agent;
  HsNow now = hs_now ();
  HsRpcHandler handler = { .up = on_up, .down = on_down, .call = on_call };
  HsRunsOptions options;
  hsx_hello self = { .role = HSX_ROLE_AGENT };

  agent->settings
      = hs_platform_settings_load (role, agent->settings_path, error);
  if (agent->settings == NULL)
    return false;
  hs_event_init (agent->settings->host);
  agent->incarnation = hs_process_incarnation ();
  agent->alive_at = now.mono;
  make_metrics (agent);
  options.lease = MIN (agent->settings->max_lease, HS_LEASE_MAX);
  options.stop_timeout = agent->settings->stop_timeout;
  /* Wall time is above every token of earlier lives: each raises it by less
     than one a millisecond. */
  agent->runs = hs_runs_new (role, &options, (uint64_t) now.wall_ms,
                             &RUNS_EFFECTS, agent);
  agent->client
      = hs_target_client_new (role, agent->ev, &TARGET_HANDLER, agent);
  if (agent->settings->target_address != NULL)
    hs_target_client_set_endpoint (agent->client,
                                   agent->settings->target_address, NULL);
  self.incarnation = agent->incarnation;
  self.address = agent->settings->control_listen;
  self.data_centre = agent->settings->data_centre;
  agent->rpc = hs_rpc_new (role, agent->ev, &self, agent->settings->cluster_key,
                           &handler, agent);
  agent->dialer = hs_dialer_new (role, agent->rpc, NULL);
  hs_dialer_limit (agent->dialer, agent->settings->host, HS_LINKS_MAX);
  agent->store = hs_process_store (role, agent->ev, agent->settings);
  agent->turn = tevent_create_immediate (role);
  agent->timer = hs_timer_new (role, agent->ev, on_timer, role);
  role->alone_since = now.mono;
  agent->asked_store_at = now.mono - ASK_SPAN;
  add_seeds (agent);
  if (hs_announcement_server_new (role, agent->ev,
                                  agent->settings->control_listen,
                                  &ANNOUNCE_HANDLER, agent, error)
      == NULL)
    return false;
  if (agent->settings->metrics_listen != NULL
      && hs_text_server_new (role, agent->ev, agent->settings->metrics_listen,
                             "/metrics", render_metrics, agent, error)
             == NULL)
    return false;
  role->reload = hs_reload_new (role, agent->ev, agent->settings_path,
                                take_settings, role);
  tevent_add_signal (agent->ev, role, SIGTERM, 0, on_term, role);
  tevent_add_signal (agent->ev, role, SIGINT, 0, on_term, role);
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

/* Seeds may change; addresses in use and the key don't while it runs. */
static void
take_settings (void *arg, HsPlatformSettings *settings)
{
  Role *role = arg;
  HsDirectAgent *agent = &role->agent;

  talloc_steal (role, settings);
  memcpy (agent->settings->seeds, settings->seeds, sizeof settings->seeds);
  add_seeds (agent);
  hs_agent_schedule (agent);
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
  Role *role = arg;

  note_pause (&role->agent);
  turn (role);
}

static void
on_turn (struct tevent_context *ev,
         struct tevent_immediate *immediate,
         void *arg)
{
  HsDirectAgent *agent = arg;

  (void) ev;
  (void) immediate;
  agent->turn_scheduled = false;
  turn ((Role *) (void *) agent);
}

static void
turn (Role *role)
{
  HsDirectAgent *agent = &role->agent;
  HsTime now = hs_now ().mono;
  HsTime due = now + HS_PULSE;

  due = MIN (due, hs_dialer_tick (agent->dialer, now));
  due = MIN (due, hs_agent_links_check (agent, now));
  due = MIN (due, hs_runs_tick (agent->runs, now));
  note_state (agent);
  due = MIN (due, hs_agent_links_flush (agent, now));
  if (now >= role->reload_at)
    {
      role->reload_at = now + RELOAD_SPAN;
      hs_reload_check (role->reload);
    }
  ask_store (role, now);
  if (agent->leaving)
    progress_leave (agent, now);
  hs_timer_set (agent->timer, due - now, now);
}

static void
on_range (void *arg, const HsStoreReply *reply)
{
  Role *role = arg;
  HsDirectAgent *agent = &role->agent;
  size_t i;

  agent->asks_store = false;
  if (reply->status != HS_STORE_OK)
    return;
  hs_event ("entries_read", "entries=%zu revision=%" PRId64, reply->n_kvs,
            reply->revision);
  for (i = 0; i < reply->n_kvs; i++)
    hs_dialer_add (agent->dialer, reply->kvs[i].value, false, hs_now ().mono);
  hs_agent_schedule (agent);
}

/* Seeds may be stale; entries that are up have a key in the store. Entries
   that this agent has no connection with tell nothing of themselves. */
static void
ask_store (Role *role, HsTime now)
{
  HsDirectAgent *agent = &role->agent;

  if (hs_agent_links_count (agent) > 0)
    role->alone_since = now;
  if (agent->asks_store || now - agent->asked_store_at < ASK_SPAN)
    return;
  if (now - role->alone_since < ALONE_SPAN
      && now - agent->asked_store_at < HS_ENTRIES_REREAD)
    return;
  agent->asks_store = true;
  agent->asked_store_at = now;
  hs_store_range (agent->store, HS_ENTRY_KEYS, 0, on_range, role);
}

static void
progress_leave (HsDirectAgent *agent, HsTime now)
{
  if (hs_runs_count (agent->runs) > 0)
    agent->idle_since = now;
  if (now - agent->idle_since >= LAST_WORD_SPAN
      || now - agent->leave_at >= agent->settings->grace - STOP_MARGIN)
    agent->done = true;
}

/* Logs when the target is lost to use, or regained. */
static void
note_state (HsDirectAgent *agent)
{
  static const char *const words[] = { [HSX_TARGET_UNKNOWN] = "unknown",
                                       [HSX_TARGET_READY] = "ready",
                                       [HSX_TARGET_LEAVING] = "leaving",
                                       [HSX_TARGET_MUTE] = "out_of_use" };
  hsx_target_state state = hs_runs_state (agent->runs);

  if (state == agent->logged_state)
    return;
  hs_event ("target_state", "state=%s before=%s why=%s tasks=%u", words[state],
            words[agent->logged_state], hs_runs_out_word (agent->runs),
            hs_runs_count (agent->runs));
  agent->logged_state = state;
}

/* A process that stood still takes nobody for silent. */
static void
note_pause (HsDirectAgent *agent)
{
  HsTime now = hs_now ().mono;

  if (now - agent->alive_at < HS_PAUSE_MIN)
    return;
  hs_event ("pause", "ms=%.0f", (double) (now - agent->alive_at) / HS_MSEC);
  agent->alive_at = now;
  hs_agent_links_thaw (agent, now);
}

static void
on_term (struct tevent_context *ev,
         struct tevent_signal *se,
         int number,
         int count,
         void *info,
         void *arg)
{
  Role *role = arg;

  (void) ev;
  (void) se;
  (void) number;
  (void) count;
  (void) info;
  if (role->agent.leaving)
    return;
  hs_event ("leave", "tasks=%u", hs_runs_count (role->agent.runs));
  role->agent.leaving = true;
  role->agent.leave_at = hs_now ().mono;
  role->agent.idle_since = role->agent.leave_at;
  hs_runs_leave (role->agent.runs);
  hs_agent_schedule (&role->agent);
}

static double
read_tasks (void *arg)
{
  HsDirectAgent *agent = arg;

  return hs_runs_count (agent->runs);
}

static double
read_dropped (void *arg)
{
  (void) arg;
  return (double) hs_event_dropped ();
}

static void
make_metrics (HsDirectAgent *agent)
{
  uint32_t i;

  agent->metrics = hs_metrics_new (agent->ev, 1);
  for (i = HSX_END_DONE; i <= HSX_END_SLOW; i++)
    agent->counters[i] = hs_metrics_counter (
        agent->metrics, "hs_direct_tasks_total", "Tasks by how they ended.",
        "how", hs_end_word (i));
  agent->run_times
      = hs_metrics_histogram (agent->metrics, "hs_direct_run_seconds",
                              "Run times of tasks that were done.", NULL, NULL);
  hs_metrics_gauge (agent->metrics, "hs_direct_log_lines_dropped",
                    "Log lines that were dropped.", NULL, NULL, read_dropped,
                    NULL);
  hs_metrics_gauge (agent->metrics, "hs_direct_tasks",
                    "Tasks that have not ended.", NULL, NULL, read_tasks,
                    agent);
}

static unsigned int
render_metrics (void *arg, TALLOC_CTX *ctx, char **body)
{
  HsDirectAgent *agent = arg;

  *body = hs_metrics_render (ctx, agent->metrics);
  return 200;
}
