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

/** A stopping entry exits this long before the platform kills it, which it does
 *  when the grace period is over. */
#define EXIT_MARGIN (300 * HS_MSEC)

/** A stopping entry keeps serving for at least this long: the load balancer
 *  takes two readiness checks, a second apart, to send new connections
 *  elsewhere. */
#define DRAIN_TIME_MIN (3200 * HS_MSEC)

/** Interval between checks of the settings file for changes. */
#define RELOAD_CHECK_INTERVAL (1 * HS_SEC)

static bool start (HsDirectEntry *entry, GError **error);
static bool listen_all (HsDirectEntry *entry, GError **error);
static void apply_settings (void *arg, HsPlatformSettings *settings);
static void add_seeds (HsDirectEntry *entry);
static void on_timer (void *arg);
static void on_callers_timer (void *arg);
static void on_work_immediate (struct tevent_context *ev,
                               struct tevent_immediate *immediate,
                               void *arg);
static void run_due_work (HsDirectEntry *entry);
static void check_drain (HsDirectEntry *entry, HsTime now);
static void on_pause (void *arg, HsTime length, HsTime now);
static void handle_pause (HsDirectEntry *entry);
static void on_stop_signal (struct tevent_context *ev,
                            struct tevent_signal *se,
                            int number,
                            int count,
                            void *info,
                            void *arg);
static void on_request (void *arg, const HsCallerRequest *request);
static void on_caller_gone (void *arg, uint64_t handle);
static unsigned int is_ready (void *arg, TALLOC_CTX *ctx, char **body);
static void register_metrics (HsDirectEntry *entry);
static unsigned int render_metrics (void *arg, TALLOC_CTX *ctx, char **body);

static const HsCallerServerHandler CALLERS_HANDLER
    = { .request = on_request, .disconnected = on_caller_gone };

/* Callbacks of HsJobs. */

static uint32_t
effect_launch (void *arg,
               uint32_t target,
               const hsx_launch *job,
               const hsx_launch_task *task)
{
  return hs_entry_orders_launch (arg, target, job, task);
}

static void
effect_stop (void *arg, uint32_t target, uint64_t ref)
{
  hs_entry_orders_stop (arg, target, ref);
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
  static const char *const outcome_names[]
      = { [HS_ANSWER_COMPLETED] = "completed",
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
            "free_milli=%" PRIu64 " waiting_jobs=%u retry_after_ms=%u trial=%d",
            answer->id, answer->customer, outcome_names[answer->kind],
            hs_answer_reason_name (answer->reason), answer->n_tasks,
            answer->n_done, answer->n_starts, answer->wait_time / 1000.0,
            answer->total_time / 1000.0, answer->objective / 1000.0,
            answer->expected_run_time / 1000.0, answer->free_milli,
            answer->n_waiting_jobs, answer->retry_after_ms, answer->trial);
  hs_counter_add (entry->answer_counters[answer->kind], 0, 1);
  hs_histogram_record (entry->wait_histogram, answer->wait_time);
  if (answer->kind == HS_ANSWER_COMPLETED)
    hs_histogram_record (entry->latency_histogram, answer->total_time);
  if (answer->reason != HS_REASON_CALLER_GONE)
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
            (int) end->how, hs_refusal_name (end->reason), end->run_us / 1000.0,
            row->reported_free.cpu_milli, task->used_offer,
            (double) task->report_age / HS_MSEC);
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

static void
effect_contained (void *arg, const HsContainmentChange *change)
{
  HsDirectEntry *entry = arg;
  char customer[HS_EVENT_VALUE_SIZE];

  hs_counter_add (entry->containment_counter, 0, change->contained);
  hs_event ("containment", "customer=%s contained=%d score=%.2f",
            hs_event_sanitise (change->customer, customer), change->contained,
            change->score);
}

static const HsJobsEffects JOBS_EFFECTS = { .launch = effect_launch,
                                            .stop = effect_stop,
                                            .answer = effect_answer,
                                            .task_ended = effect_task_ended,
                                            .task_not_held = effect_not_held,
                                            .contained = effect_contained };

/* Connections to agents and entries. */

static void
on_up (void *arg, HsConn *conn)
{
  hs_entry_links_connected (arg, conn);
}

static void
on_down (void *arg, HsConn *conn, bool refused)
{
  (void) refused;
  hs_entry_links_disconnected (arg, conn);
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId call, void *args)
{
  handle_pause (arg);
  hs_entry_links_handle_call (arg, conn, proc, call, args);
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
  run_due_work (entry);
  while (!entry->done && tevent_loop_once (entry->ev) == 0)
    ;
  hs_event ("stop", "jobs=%u requests=%u", hs_jobs_count (entry->jobs),
            hs_caller_server_count_unanswered (entry->callers));
  TALLOC_FREE (entry->callers);
  TALLOC_FREE (entry->config_watch);
  TALLOC_FREE (entry->store);
  TALLOC_FREE (entry->rpc);
  talloc_free (entry);
  return 0;
}

void
hs_entry_schedule (HsDirectEntry *entry, bool dispatch)
{
  entry->dispatch_due |= dispatch;
  if (entry->work_scheduled || entry->work_immediate == NULL)
    return;
  entry->work_scheduled = true;
  tevent_schedule_immediate (entry->work_immediate, entry->ev,
                             on_work_immediate, entry);
}

static bool
start (HsDirectEntry *entry, GError **error)
{
  HsRpcHandler handler
      = { .connected = on_up, .disconnected = on_down, .call = on_call };
  hsx_hello self = { .role = HSX_ROLE_ENTRY };
  HsTime now = hs_now ().mono;

  entry->settings
      = hs_platform_settings_load (entry, entry->settings_path, error);
  if (entry->settings == NULL)
    return false;
  hs_event_init (entry->settings->host);
  entry->incarnation = hs_process_new_incarnation ();
  entry->pause_watch = hs_pause_watch_new (entry, entry->ev, on_pause, entry);
  register_metrics (entry);
  entry->targets = hs_targets_new (entry);
  entry->jobs
      = hs_jobs_new (entry, entry->targets, entry->settings->data_centre,
                     &JOBS_EFFECTS, entry);
  entry->cancelled_jobs = hs_cancelled_jobs_new (entry);
  hs_entry_evacuations_start (entry);
  self.incarnation = entry->incarnation;
  self.address = entry->settings->control_listen;
  self.data_centre = entry->settings->data_centre;
  entry->rpc = hs_rpc_new (entry, entry->ev, &self,
                           entry->settings->cluster_key, &handler, entry);
  entry->dialer
      = hs_dialer_new (entry, entry->rpc, entry->settings->control_listen);
  entry->store = hs_process_store_new (entry, entry->ev, entry->settings);
  entry->work_immediate = tevent_create_immediate (entry);
  entry->timer = hs_timer_new (entry, entry->ev, on_timer, entry);
  entry->held_requests = g_ptr_array_new ();
  entry->callers_timer
      = hs_timer_new (entry, entry->ev, on_callers_timer, entry);
  if (!listen_all (entry, error))
    return false;
  hs_timer_set (entry->callers_timer,
                hs_callers_check_begin (&entry->callers_check, now), now);
  add_seeds (entry);
  hs_entry_config_start (entry);
  entry->settings_watch = hs_settings_watch_new (
      entry, entry->ev, entry->settings_path, apply_settings, entry);
  tevent_add_signal (entry->ev, entry, SIGTERM, 0, on_stop_signal, entry);
  tevent_add_signal (entry->ev, entry, SIGINT, 0, on_stop_signal, entry);
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
  const HsPlatformSettings *settings = entry->settings;
  HsBodyLimits limits;
  HsBodyBudget *budget;

  if (settings->callers_listen == NULL || settings->ready_listen == NULL)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "%s: the entry role needs listen addresses for callers and "
                   "for readiness checks",
                   entry->settings_path);
      return false;
    }
  budget
      = hs_process_body_budget_new (entry, settings, entry->metrics, &limits);
  hs_rpc_set_max_handshakes (entry->rpc, limits.handshakes);
  if (!hs_rpc_listen (entry->rpc, settings->control_listen, error))
    return false;
  entry->callers = hs_caller_server_new (
      entry, entry->ev, settings->callers_listen, budget, limits.connections,
      &CALLERS_HANDLER, entry, error);
  if (entry->callers == NULL)
    return false;
  if (hs_text_server_new (entry, entry->ev, settings->ready_listen, budget,
                          HS_READY_PATH, is_ready, entry, error)
      == NULL)
    return false;
  return settings->metrics_listen == NULL
         || hs_text_server_new (entry, entry->ev, settings->metrics_listen,
                                budget, "/metrics", render_metrics, entry,
                                error)
                != NULL;
}

/* Takes over the seeds only: listen addresses and the cluster key can't change
   while the process runs. */
static void
apply_settings (void *arg, HsPlatformSettings *settings)
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
  handle_pause (arg);
  run_due_work (arg);
}

/* Its descriptor waits in the event loop like those of the callers. */
static void
on_callers_timer (void *arg)
{
  HsDirectEntry *entry = arg;
  HsTime now = hs_now ().mono;

  hs_timer_set (entry->callers_timer,
                hs_callers_check_timer_served (&entry->callers_check, now),
                now);
}

static void
on_work_immediate (struct tevent_context *ev,
                   struct tevent_immediate *immediate,
                   void *arg)
{
  HsDirectEntry *entry = arg;

  (void) ev;
  (void) immediate;
  entry->work_scheduled = false;
  run_due_work (entry);
}

static void
run_due_work (HsDirectEntry *entry)
{
  HsTime now = hs_now ().mono;
  HsTime due = now + HS_HEARTBEAT_INTERVAL;

  due = MIN (due, hs_dialer_tick (entry->dialer, now));
  due = MIN (due, hs_entry_links_check_timeouts (entry, now));
  due = MIN (due, hs_jobs_tick (entry->jobs, now));
  if (entry->dispatch_due)
    hs_jobs_dispatch (entry->jobs, now);
  entry->dispatch_due = false;
  due = MIN (due, hs_entry_orders_flush (entry, now));
  due = MIN (due, hs_entry_config_tick (entry, now));
  due = MIN (due, hs_entry_key_tick (entry, now));
  due = MIN (due, hs_entry_held_requests_tick (entry, now));
  hs_targets_tick (entry->targets, now);
  if (now >= entry->settings_check_at)
    {
      entry->settings_check_at = now + RELOAD_CHECK_INTERVAL;
      hs_settings_watch_check (entry->settings_watch);
    }
  if (entry->stage == HS_ENTRY_DRAINING)
    check_drain (entry, now);
  hs_timer_set (entry->timer, due - now, now);
}

static void
check_drain (HsDirectEntry *entry, HsTime now)
{
  HsTime elapsed = now - entry->stop_requested_at;

  if (elapsed >= entry->settings->grace - EXIT_MARGIN
      || (elapsed >= DRAIN_TIME_MIN
          && hs_caller_server_count_unanswered (entry->callers) == 0))
    entry->done = true;
}

/* After a pause, missing messages of peers don't count as timeouts, and
   requests that waited in socket buffers don't count as new. */
static void
on_pause (void *arg, HsTime length, HsTime now)
{
  HsDirectEntry *entry = arg;

  hs_event ("pause", "ms=%.0f", (double) length / HS_MSEC);
  entry->resume_until = now + HS_RESUME_WINDOW;
  entry->paused = true;
  hs_entry_links_resume (entry, now);
}

/* To be called before an event is handled: after a pause, jobs that are overdue
   end before anything else is done for them. */
static void
handle_pause (HsDirectEntry *entry)
{
  HsTime now = hs_now ().mono;

  hs_pause_watch_check (entry->pause_watch, now);
  if (!entry->paused)
    return;
  entry->paused = false;
  hs_jobs_tick (entry->jobs, now);
}

static void
on_stop_signal (struct tevent_context *ev,
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
  entry->stop_requested_at = hs_now ().mono;
  hs_caller_server_drain (entry->callers);
  hs_entry_key_remove (entry);
  hs_entry_schedule (entry, false);
}

static void
on_request (void *arg, const HsCallerRequest *request)
{
  handle_pause (arg);
  hs_entry_handle_request (arg, request);
}

static void
on_caller_gone (void *arg, uint64_t handle)
{
  HsDirectEntry *entry = arg;

  hs_entry_held_requests_drop (entry, handle);
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
                 && hs_entry_evacuations_allow_jobs (entry)
                 && hs_entry_links_any_ready (entry)
             ? 200
             : 503;
}

static double
read_job_count (void *arg)
{
  HsDirectEntry *entry = arg;

  return hs_jobs_count (entry->jobs);
}

static double
read_config_age (void *arg)
{
  HsDirectEntry *entry = arg;

  return (double) (hs_now ().mono - entry->config_applied_at) / HS_SEC;
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
  HsDirectEntry *entry = arg;

  return entry->evacuations != NULL ? hs_evacuations_count (entry->evacuations)
                                    : 0;
}

static void
register_metrics (HsDirectEntry *entry)
{
  static const char *const outcome_names[]
      = { [HS_ANSWER_COMPLETED] = "completed",
          [HS_ANSWER_FAILED] = "failed",
          [HS_ANSWER_REFUSED] = "refused",
          [HS_ANSWER_LOST] = "lost",
          [HS_ANSWER_CANCELLED] = "cancelled" };
  uint32_t i;

  entry->metrics = hs_metrics_new (entry, 1);
  for (i = 0; i < G_N_ELEMENTS (outcome_names); i++)
    entry->answer_counters[i]
        = hs_metrics_counter (entry->metrics, "hs_direct_jobs_total",
                              "Jobs by outcome.", "outcome", outcome_names[i]);
  entry->containment_counter = hs_metrics_counter (
      entry->metrics, "hs_direct_containments_total",
      "Customers contained, as their tasks crash targets.", NULL, NULL);
  entry->wait_histogram = hs_metrics_histogram (
      entry->metrics, "hs_direct_wait_seconds",
      "From arrival to the first start, or to the refusal.", NULL, NULL);
  entry->latency_histogram
      = hs_metrics_histogram (entry->metrics, "hs_direct_latency_seconds",
                              "Of completed jobs.", NULL, NULL);
  hs_metrics_gauge (entry->metrics, "hs_direct_log_lines_dropped",
                    "Log lines that were dropped.", NULL, NULL,
                    read_dropped_lines, NULL);
  hs_metrics_gauge (entry->metrics, "hs_direct_jobs", "Jobs without an answer.",
                    NULL, NULL, read_job_count, entry);
  hs_metrics_gauge (entry->metrics, "hs_direct_config_age_seconds",
                    "Since the configuration in force came.", NULL, NULL,
                    read_config_age, entry);
  hs_metrics_gauge (entry->metrics, "hs_direct_evacuated_data_centres",
                    "Data centres that are evacuated.", NULL, NULL,
                    read_evacuated_data_centres, entry);
}

static unsigned int
render_metrics (void *arg, TALLOC_CTX *ctx, char **body)
{
  HsDirectEntry *entry = arg;

  *body = hs_metrics_render (ctx, entry->metrics);
  return 200;
}
