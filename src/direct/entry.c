#include "direct/entry.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/event.h"
#include "direct/entry_private.h"
#include "direct/liveness.h"
#include "direct/runs.h"
#include "platform/text_server.h"

/** A stop ends this long before the kill. */
#define STOP_MARGIN (300 * HS_MSEC)

/** A stopping entry serves at least so long: the balancer takes two checks, a
 *  second apart, to send new connections elsewhere. */
#define DRAIN_MIN (3200 * HS_MSEC)

/** Between looks at the settings file. */
#define RELOAD_SPAN (1 * HS_SEC)

static bool start (HsDirectEntry *entry, GError **error);
static bool listen_all (HsDirectEntry *entry, GError **error);
static void take_settings (void *arg, HsPlatformSettings *settings);
static void add_seeds (HsDirectEntry *entry);
static void on_timer (void *arg);
static void on_turn (struct tevent_context *ev,
                     struct tevent_immediate *immediate,
                     void *arg);
static void turn (HsDirectEntry *entry);
static void progress_stop (HsDirectEntry *entry, HsTime now);
static void note_pause (HsDirectEntry *entry);
static void on_term (struct tevent_context *ev,
                     struct tevent_signal *se,
                     int number,
                     int count,
                     void *info,
                     void *arg);
static void on_request (void *arg, const HsCallerRequest *request);
static void on_gone (void *arg, uint64_t handle);
static unsigned int is_ready (void *arg, TALLOC_CTX *ctx, char **body);
static void make_metrics (HsDirectEntry *entry);
static unsigned int render_metrics (void *arg, TALLOC_CTX *ctx, char **body);

static const HsCallerServerHandler CALLERS_HANDLER
    = { .request = on_request, .disconnected = on_gone };

/* Effects of the jobs. */

static uint32_t
effect_launch (void *arg,
               uint32_t target,
               const hsx_launch *job,
               const hsx_launch_task *task)
{
  return hs_entry_links_launch (arg, target, job, task);
}

static void
effect_stop (void *arg, uint32_t target, uint64_t ref)
{
  hs_entry_links_stop (arg, target, ref);
}

static void
effect_answer (void *arg, const HsJobAnswer *answer)
{
  static const HsReplyKind kinds[]
      = { [HS_ANSWER_COMPLETED] = HS_REPLY_COMPLETED,
          [HS_ANSWER_FAILED] = HS_REPLY_FAILED,
          [HS_ANSWER_REFUSED] = HS_REPLY_REFUSED,
          [HS_ANSWER_LOST] = HS_REPLY_INCOMPLETE,
          [HS_ANSWER_CANCELLED] = HS_REPLY_CANCELLED };
  static const char *const words[] = { [HS_ANSWER_COMPLETED] = "completed",
                                       [HS_ANSWER_FAILED] = "failed",
                                       [HS_ANSWER_REFUSED] = "refused",
                                       [HS_ANSWER_LOST] = "lost",
                                       [HS_ANSWER_CANCELLED] = "cancelled" };
  HsDirectEntry *entry = arg;
  HsReply reply = { .kind = kinds[answer->kind],
                    .retry_after_ms = answer->retry_after_ms };

  hs_event ("job_answer",
            "job=%s customer=%s outcome=%s why=%s tasks=%u done=%u starts=%u "
            "waited_ms=%.1f took_ms=%.1f objective_ms=%.0f expected_ms=%.0f "
            "free_milli=%" PRIu64 " waiting_jobs=%u retry_after_ms=%u",
            answer->id, answer->customer, words[answer->kind],
            hs_answer_why_word (answer->why), answer->n_tasks, answer->n_done,
            answer->n_starts, answer->waited / 1000.0, answer->took / 1000.0,
            answer->objective / 1000.0, answer->expected / 1000.0,
            answer->free_milli, answer->n_ahead, answer->retry_after_ms);
  hs_counter_add (entry->answers[answer->kind], 0, 1);
  hs_histogram_record (entry->waits, answer->waited);
  if (answer->kind == HS_ANSWER_COMPLETED)
    hs_histogram_record (entry->latencies, answer->took);
  if (answer->why != HS_WHY_CALLER_GONE)
    hs_caller_server_reply (entry->callers, answer->request, &reply);
  hs_entry_schedule (entry, true);
}

static void
effect_task_ended (void *arg,
                   const char *id,
                   uint32_t target,
                   const HsTask *task,
                   const hsx_end *end)
{
  HsDirectEntry *entry = arg;
  const HsTarget *row = hs_targets_get (entry->targets, target);

  hs_event ("task_not_done",
            "job=%s task=%u attempt=%u ref=%016" PRIx64
            " host=%s how=%d reason=%s run_ms=%.1f free_milli=%u offered=%d "
            "view_age_ms=%.1f",
            id, task->index, task->attempt, task->ref, row->host,
            (int) end->how, hs_refusal_word (end->reason), end->run_us / 1000.0,
            row->told.cpu_milli, task->offered,
            (double) task->view_age / HS_MSEC);
}

static void
effect_not_held (void *arg, const char *id, uint32_t target, const HsTask *task)
{
  HsDirectEntry *entry = arg;

  hs_event ("task_not_held",
            "job=%s task=%u attempt=%u ref=%016" PRIx64 " host=%s", id,
            task->index, task->attempt, task->ref,
            hs_targets_get (entry->targets, target)->host);
}

static const HsJobsEffects JOBS_EFFECTS = { .launch = effect_launch,
                                            .stop = effect_stop,
                                            .answer = effect_answer,
                                            .task_ended = effect_task_ended,
                                            .not_held = effect_not_held };

/* Connections to agents and entries. */

static void
on_up (void *arg, HsConn *conn)
{
  hs_entry_links_up (arg, conn);
}

static void
on_down (void *arg, HsConn *conn, bool refused)
{
  (void) refused;
  hs_entry_links_down (arg, conn);
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  (void) call;
  note_pause (arg);
  hs_entry_links_call (arg, conn, proc, args);
}

int
hs_direct_entry_run (const char *settings_path)
{
  HsDirectEntry *entry = talloc_zero (NULL, HsDirectEntry);
  g_autoptr (GError) error = NULL;

  signal (SIGPIPE, SIG_IGN);
  entry->ev = tevent_context_init (entry);
  entry->settings_path = talloc_strdup (entry, settings_path);
  if (!start (entry, &error))
    {
      fprintf (stderr, "hibiscusspoke entry: %s\n", error->message);
      talloc_free (entry);
      return 1;
    }
  turn (entry);
  while (!entry->done && tevent_loop_once (entry->ev) == 0)
    entry->alive_at = hs_now ().mono;
  hs_event ("stop", "jobs=%u requests=%u", hs_jobs_count (entry->jobs),
            hs_caller_server_count_unanswered (entry->callers));
  TALLOC_FREE (entry->callers);
  TALLOC_FREE (entry->watch);
  TALLOC_FREE (entry->store);
  TALLOC_FREE (entry->rpc);
  talloc_free (entry);
  return 0;
}

void
hs_entry_schedule (HsDirectEntry *entry, bool pump)
{
  entry->pump_due |= pump;
  if (entry->turn_scheduled || entry->turn == NULL)
    return;
  entry->turn_scheduled = true;
  tevent_schedule_immediate (entry->turn, entry->ev, on_turn, entry);
}

static bool
start (HsDirectEntry *entry, GError **error)
{
  HsRpcHandler handler = { .up = on_up, .down = on_down, .call = on_call };
  hsx_hello self = { .role = HSX_ROLE_ENTRY };

  entry->settings
      = hs_platform_settings_load (entry, entry->settings_path, error);
  if (entry->settings == NULL)
    return false;
  hs_event_init (entry->settings->host);
  entry->incarnation = hs_process_incarnation ();
  entry->alive_at = hs_now ().mono;
  make_metrics (entry);
  entry->targets = hs_targets_new (entry);
  entry->jobs
      = hs_jobs_new (entry, entry->targets, entry->settings->data_centre,
                     &JOBS_EFFECTS, entry);
  self.incarnation = entry->incarnation;
  self.address = entry->settings->control_listen;
  self.data_centre = entry->settings->data_centre;
  entry->rpc = hs_rpc_new (entry, entry->ev, &self,
                           entry->settings->cluster_key, &handler, entry);
  entry->dialer
      = hs_dialer_new (entry, entry->rpc, entry->settings->control_listen);
  entry->store = hs_process_store (entry, entry->ev, entry->settings);
  entry->turn = tevent_create_immediate (entry);
  entry->timer = hs_timer_new (entry, entry->ev, on_timer, entry);
  entry->early = g_ptr_array_new ();
  if (!listen_all (entry, error))
    return false;
  add_seeds (entry);
  hs_entry_config_start (entry);
  entry->reload = hs_reload_new (entry, entry->ev, entry->settings_path,
                                 take_settings, entry);
  tevent_add_signal (entry->ev, entry, SIGTERM, 0, on_term, entry);
  tevent_add_signal (entry->ev, entry, SIGINT, 0, on_term, entry);
  hs_event ("start",
            "role=entry incarnation=%016" PRIx64 " listen=%s peers=%s "
            "store=%s",
            entry->incarnation, entry->settings->callers_listen,
            entry->settings->control_listen, entry->settings->store_address);
  return true;
}

static bool
listen_all (HsDirectEntry *entry, GError **error)
{
  const HsPlatformSettings *s = entry->settings;

  if (s->callers_listen == NULL || s->ready_listen == NULL)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "%s: no address for callers or for checks; let the role "
                   "serve callers",
                   entry->settings_path);
      return false;
    }
  if (!hs_rpc_listen (entry->rpc, s->control_listen, error))
    return false;
  entry->callers = hs_caller_server_new (entry, entry->ev, s->callers_listen,
                                         &CALLERS_HANDLER, entry, error);
  if (entry->callers == NULL)
    return false;
  if (hs_text_server_new (entry, entry->ev, s->ready_listen, HS_READY_PATH,
                          is_ready, entry, error)
      == NULL)
    return false;
  return s->metrics_listen == NULL
         || hs_text_server_new (entry, entry->ev, s->metrics_listen, "/metrics",
                                render_metrics, entry, error)
                != NULL;
}

/* Seeds may change; addresses in use and the key don't while it runs. */
static void
take_settings (void *arg, HsPlatformSettings *settings)
{
  HsDirectEntry *entry = arg;

  talloc_steal (entry, settings);
  memcpy (entry->settings->seeds, settings->seeds, sizeof settings->seeds);
  add_seeds (entry);
  hs_entry_schedule (entry, false);
}

static void
add_seeds (HsDirectEntry *entry)
{
  uint32_t i;

  for (i = 0; entry->settings->seeds[i] != NULL; i++)
    hs_dialer_add (entry->dialer, entry->settings->seeds[i], true,
                   hs_now ().mono);
}

static void
on_timer (void *arg)
{
  note_pause (arg);
  turn (arg);
}

static void
on_turn (struct tevent_context *ev,
         struct tevent_immediate *immediate,
         void *arg)
{
  HsDirectEntry *entry = arg;

  (void) ev;
  (void) immediate;
  entry->turn_scheduled = false;
  turn (entry);
}

static void
turn (HsDirectEntry *entry)
{
  HsTime now = hs_now ().mono;
  HsTime due = now + HS_PULSE;

  due = MIN (due, hs_dialer_tick (entry->dialer, now));
  due = MIN (due, hs_entry_links_check (entry, now));
  due = MIN (due, hs_jobs_tick (entry->jobs, now));
  if (entry->pump_due)
    hs_jobs_pump (entry->jobs, now);
  entry->pump_due = false;
  due = MIN (due, hs_entry_links_flush (entry, now));
  due = MIN (due, hs_entry_config_tick (entry, now));
  due = MIN (due, hs_entry_key_tick (entry, now));
  due = MIN (due, hs_entry_early_tick (entry, now));
  hs_targets_tick (entry->targets, now);
  if (now >= entry->reload_at)
    {
      entry->reload_at = now + RELOAD_SPAN;
      hs_reload_check (entry->reload);
    }
  if (entry->stage == HS_ENTRY_DRAINING)
    progress_stop (entry, now);
  hs_timer_set (entry->timer, due - now, now);
}

static void
progress_stop (HsDirectEntry *entry, HsTime now)
{
  HsTime past = now - entry->term_at;

  if (past >= entry->settings->grace - STOP_MARGIN
      || (past >= DRAIN_MIN
          && hs_caller_server_count_unanswered (entry->callers) == 0))
    entry->done = true;
}

/* A process that stood still takes nobody for silent, and nothing that waited
   in its buffers for new. */
static void
note_pause (HsDirectEntry *entry)
{
  HsTime now = hs_now ().mono;

  if (now - entry->alive_at < HS_PAUSE_MIN)
    return;
  hs_event ("pause", "ms=%.0f", (double) (now - entry->alive_at) / HS_MSEC);
  entry->alive_at = now;
  entry->thaw_until = now + HS_THAW_SPAN;
  hs_entry_links_thaw (entry, now);
  hs_jobs_tick (entry->jobs, now);
}

static void
on_term (struct tevent_context *ev,
         struct tevent_signal *se,
         int number,
         int count,
         void *info,
         void *arg)
{
  HsDirectEntry *entry = arg;

  (void) ev;
  (void) se;
  (void) number;
  (void) count;
  (void) info;
  if (entry->stage == HS_ENTRY_DRAINING)
    return;
  hs_event ("leave", "jobs=%u requests=%u", hs_jobs_count (entry->jobs),
            hs_caller_server_count_unanswered (entry->callers));
  entry->stage = HS_ENTRY_DRAINING;
  entry->term_at = hs_now ().mono;
  hs_caller_server_drain (entry->callers);
  hs_entry_key_end (entry);
  hs_entry_schedule (entry, false);
}

static void
on_request (void *arg, const HsCallerRequest *request)
{
  note_pause (arg);
  hs_entry_request (arg, request);
}

static void
on_gone (void *arg, uint64_t handle)
{
  HsDirectEntry *entry = arg;

  hs_entry_early_drop (entry, handle);
  hs_jobs_abandon (entry->jobs, handle, hs_now ().mono);
  hs_entry_schedule (entry, true);
}

static unsigned int
is_ready (void *arg, TALLOC_CTX *ctx, char **body)
{
  HsDirectEntry *entry = arg;

  (void) ctx;
  (void) body;
  return entry->stage == HS_ENTRY_SERVING && entry->routes != NULL
                 && hs_entry_links_any (entry)
             ? 200
             : 503;
}

static double
read_jobs (void *arg)
{
  HsDirectEntry *entry = arg;

  return hs_jobs_count (entry->jobs);
}

static double
read_config_age (void *arg)
{
  HsDirectEntry *entry = arg;

  return (double) (hs_now ().mono - entry->config_at) / HS_SEC;
}

static double
read_dropped (void *arg)
{
  (void) arg;
  return (double) hs_event_dropped ();
}

static void
make_metrics (HsDirectEntry *entry)
{
  static const char *const words[] = { [HS_ANSWER_COMPLETED] = "completed",
                                       [HS_ANSWER_FAILED] = "failed",
                                       [HS_ANSWER_REFUSED] = "refused",
                                       [HS_ANSWER_LOST] = "lost",
                                       [HS_ANSWER_CANCELLED] = "cancelled" };
  uint32_t i;

  entry->metrics = hs_metrics_new (entry, 1);
  for (i = 0; i < G_N_ELEMENTS (words); i++)
    entry->answers[i]
        = hs_metrics_counter (entry->metrics, "hs_direct_jobs_total",
                              "Jobs by outcome.", "outcome", words[i]);
  entry->waits = hs_metrics_histogram (
      entry->metrics, "hs_direct_wait_seconds",
      "From arrival to the first start, or to the refusal.", NULL, NULL);
  entry->latencies
      = hs_metrics_histogram (entry->metrics, "hs_direct_latency_seconds",
                              "Of completed jobs.", NULL, NULL);
  hs_metrics_gauge (entry->metrics, "hs_direct_log_lines_dropped",
                    "Log lines that were dropped.", NULL, NULL, read_dropped,
                    NULL);
  hs_metrics_gauge (entry->metrics, "hs_direct_jobs", "Jobs without an answer.",
                    NULL, NULL, read_jobs, entry);
  hs_metrics_gauge (entry->metrics, "hs_direct_config_age_seconds",
                    "Since the configuration in force came.", NULL, NULL,
                    read_config_age, entry);
}

static unsigned int
render_metrics (void *arg, TALLOC_CTX *ctx, char **body)
{
  HsDirectEntry *entry = arg;

  *body = hs_metrics_render (ctx, entry->metrics);
  return 200;
}
