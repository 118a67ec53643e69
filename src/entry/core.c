#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "config/entry_memory.h"
#include "entry/admin.h"
#include "entry/core.h"
#include "entry/visibility.h"

#define PART "entry"

/** Timeout of calls to the store. */
#define STORE_TIMEOUT (2 * HS_SEC)

/** Shortest delay before the next tick of the owner. */
#define TICK_DELAY_MIN (200 * HS_USEC)

/** Interval of the periodic work of links, agents and the lease manager. */
#define HOUSEKEEPING_INTERVAL (50 * HS_MSEC)

/** Longest duration of a planned stop. */
#define STOP_TIMEOUT (60 * HS_SEC)

static int core_destructor (HsCore *core);
static void on_front_call (void *arg, HsJobRequest *call);
static void on_inbox (struct tevent_context *ev,
                      struct tevent_fd *event,
                      uint16_t flags,
                      void *arg);
static void on_tick (struct tevent_context *ev,
                     struct tevent_timer *timer,
                     struct timeval now,
                     void *arg);
static void on_housekeeping (struct tevent_context *ev,
                             struct tevent_timer *timer,
                             struct timeval now,
                             void *arg);
static void schedule_housekeeping (HsCore *core);
static void start_owner (HsCore *core, HsNow now);
static bool start_admin (HsCore *core, GError **error);
static void effect_start (void *arg, uint64_t agent, const hsx_start *start);
static void effect_measure (void *arg,
                            const char *customer,
                            HsTime queued,
                            HsTime run,
                            HsTime whole);
static void check_drained (HsCore *core, HsNow now);

HsCore *
hs_core_new (TALLOC_CTX *ctx,
             struct tevent_context *ev,
             const HsSettings *settings,
             GError **error)
{
  HsCore *core = talloc_zero (ctx, HsCore);
  HsNow now = hs_now ();
  HsRpcHandler handler;
  hsx_hello hello = { 0 };

  core->ev = ev;
  core->settings = settings;
  core->entry = &settings->u.entry;
  core->started_ms = now.wall_ms;
  core->complete_since_ms = now.wall_ms;
  core->inbox_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  core->borrow_requests = hs_peers_borrow_requests_new ();
  talloc_set_destructor (core, core_destructor);
  if (core->inbox_fd < 0
      || getrandom (&core->incarnation, sizeof core->incarnation, 0)
             != sizeof core->incarnation)
    {
      g_set_error (
          error, HS_ERROR, HS_ERROR_IO,
          "cannot start the core thread: %s; check the limits of the host",
          strerror (errno));
      talloc_free (core);
      return NULL;
    }
  hello.role = HSX_ROLE_ENTRY;
  hello.incarnation = core->incarnation;
  hello.address = core->entry->rpc_address;
  hello.data_centre = settings->data_centre;
  hs_links_rpc_handler (&handler);
  core->rpc
      = hs_rpc_new (core, ev, &hello, settings->cluster_key, &handler, core);
  core->store = hs_store_new (
      core, ev, (const char *const *) core->entry->store, STORE_TIMEOUT);
  core->members = hs_members_new (core);
  core->visibility = hs_visibility_new (core);
  core->links = hs_links_new (core);
  core->calls = hs_calls_new (core);
  core->handovers = hs_handovers_new (core);
  core->lists = hs_published_lists_new (core);
  start_owner (core, now);
  core->lease_manager = hs_lease_manager_new (core);
  cds_wfcq_init (&core->inbox_head, &core->inbox_tail);
  tevent_add_fd (ev, core, core->inbox_fd, TEVENT_FD_READ, on_inbox, core);
  hs_records_start (core);
  core->report = hs_report_new (core);
  if (!hs_rpc_listen (core->rpc, core->entry->rpc_listen, error)
      || !start_admin (core, error))
    {
      talloc_free (core);
      return NULL;
    }
  core->front = hs_frontend_new (core, core->entry, core->lists, on_front_call,
                                 core, error);
  if (core->front == NULL)
    {
      talloc_free (core);
      return NULL;
    }
  schedule_housekeeping (core);
  hs_info (PART, "entry %s serves on %s", core->entry->name,
           core->entry->http_listen);
  return core;
}

void
hs_core_leave (HsCore *core)
{
  if (core->leaving)
    return;
  hs_info (PART, "planned stop: handing over partitions and draining requests");
  core->leaving = true;
  core->stop_deadline = hs_now ().mono + STOP_TIMEOUT;
  hs_frontend_drain (core->front);
  hs_lease_manager_announce_leaving (core->lease_manager);
}

bool
hs_core_other_entry_active (const HsCore *core)
{
  const HsOwnership *view = hs_lease_manager_view (core->lease_manager);
  uint32_t i;

  for (i = 0; i < hs_ownership_entry_count (view); i++)
    {
      const HsEntryRecord *entry = hs_ownership_entry_at (view, i);

      if (!entry->leaving && entry->incarnation != core->incarnation)
        return true;
    }
  return false;
}

void
hs_core_schedule_tick (HsCore *core, HsNow now)
{
  HsTime at = hs_owner_next_tick (core->owner);
  HsTime span;

  if (at >= core->tick_at && core->tick_timer != NULL)
    return;
  TALLOC_FREE (core->tick_timer);
  if (at == HS_NEVER)
    return;
  /* The event loop runs timers before sockets: a timer that is always due would
     starve the sockets. */
  span = MAX (TICK_DELAY_MIN, at - now.mono);
  core->tick_at = at;
  core->tick_timer = tevent_add_timer (
      core->ev, core,
      tevent_timeval_current_ofs ((uint32_t) (span / HS_SEC),
                                  (uint32_t) (span % HS_SEC)),
      on_tick, core);
}

static int
core_destructor (HsCore *core)
{
  if (core->front != NULL)
    hs_frontend_free (core->front);
  core->front = NULL;
  g_array_unref (core->borrow_requests);
  close (core->inbox_fd);
  return 0;
}

/* Called in an HTTP thread. */
static void
on_front_call (void *arg, HsJobRequest *call)
{
  HsCore *core = arg;
  uint64_t one = 1;

  cds_wfcq_node_init (&call->node);
  /* The core is woken only if the queue was empty. */
  if (!cds_wfcq_enqueue (&core->inbox_head, &core->inbox_tail, &call->node))
    (void) !write (core->inbox_fd, &one, sizeof one);
}

static void
on_inbox (struct tevent_context *ev,
          struct tevent_fd *event,
          uint16_t flags,
          void *arg)
{
  HsCore *core = arg;
  HsNow now = hs_now ();
  uint64_t count;
  struct cds_wfcq_node *node;

  (void) ev;
  (void) event;
  (void) flags;
  (void) !read (core->inbox_fd, &count, sizeof count);
  while (
      (node = cds_wfcq_dequeue_blocking (&core->inbox_head, &core->inbox_tail))
      != NULL)
    hs_calls_local (core->calls, caa_container_of (node, HsJobRequest, node),
                    now);
  hs_core_schedule_tick (core, now);
}

static void
on_tick (struct tevent_context *ev,
         struct tevent_timer *timer,
         struct timeval tv,
         void *arg)
{
  HsCore *core = arg;
  HsNow now = hs_now ();

  (void) ev;
  (void) timer;
  (void) tv;
  core->tick_timer = NULL;
  hs_owner_tick (core->owner, now);
  hs_core_schedule_tick (core, now);
}

static void
on_housekeeping (struct tevent_context *ev,
                 struct tevent_timer *timer,
                 struct timeval tv,
                 void *arg)
{
  HsCore *core = arg;
  HsNow now = hs_now ();

  (void) ev;
  (void) timer;
  (void) tv;
  hs_lease_manager_tick (core->lease_manager, now);
  hs_agents_tick (core, now);
  hs_links_tick (core->links, now.mono);
  hs_calls_tick (core->calls, now);
  hs_owner_tick (core->owner, now);
  hs_core_schedule_tick (core, now);
  schedule_housekeeping (core);
  if (core->leaving && !core->drained)
    check_drained (core, now);
}

/* Ends the planned stop once all partitions are handed over or, without another
 * active entry, all jobs are finished. */
static void
check_drained (HsCore *core, HsNow now)
{
  bool alone = !hs_core_other_entry_active (core);
  bool handed_over = hs_owner_n_partitions (core->owner) == 0
                     || (alone && hs_owner_unfinished_jobs (core->owner) == 0);

  if (handed_over && hs_calls_waiting (core->calls) == 0
      && hs_frontend_is_idle (core->front))
    core->drained = true;
  if (now.mono >= core->stop_deadline)
    {
      hs_warn (PART, "planned stop timed out; stopping with %u open requests",
               hs_calls_waiting (core->calls));
      core->drained = true;
    }
  /* Revoking the lease deletes this entry's record and sets `finished`. */
  if (core->drained)
    hs_lease_manager_revoke (core->lease_manager);
}

static void
schedule_housekeeping (HsCore *core)
{
  tevent_add_timer (
      core->ev, core,
      tevent_timeval_current_ofs (0, (uint32_t) HOUSEKEEPING_INTERVAL),
      on_housekeeping, core);
}

static void
start_owner (HsCore *core, HsNow now)
{
  static const HsOwnerEffects effects = {
    .start = effect_start,
    .recover = hs_agents_recover,
    .settle = hs_agents_settle,
    .answer = hs_calls_answer,
    .reroute = hs_calls_reroute,
    .claim = hs_records_claim,
    .borrow = hs_peers_send_borrow,
    .lend = hs_peers_reply_borrow,
    .measure = effect_measure,
  };
  HsOwnerConfig config = { 0 };

  config.partitions = core->entry->partitions;
  config.retention = core->entry->retention;
  config.id_ahead_max = core->entry->max_id_ahead;
  config.clock_skew_max = core->entry->max_clock_skew;
  config.task_timeout = core->entry->task_timeout;
  config.retained_bytes_max = core->entry->kept_bytes;
  config.unfinished_bytes_max = hs_entry_memory_job_bytes (core->entry);
  config.seed = core->incarnation;
  core->owner = hs_owner_new (core, &config, &effects, core);
  hs_owner_set_agents_known_since (core->owner, now.wall_ms);
}

static bool
start_admin (HsCore *core, GError **error)
{
  HsAdminPages pages = { hs_report_status, hs_report_metrics, core->report };

  core->admin = hs_admin_new (core, core->ev, core->entry->admin_listen,
                              core->entry->admin_token, core->lists, core->sync,
                              &pages, error);
  return core->admin != NULL;
}

static void
effect_start (void *arg, uint64_t agent, const hsx_start *start)
{
  HsCore *core = arg;

  hs_links_queue_start (core->links, agent, start);
}

static void
effect_measure (void *arg,
                const char *customer,
                HsTime queued,
                HsTime run,
                HsTime whole)
{
  HsCore *core = arg;

  hs_report_measure (core->report, customer, queued, run, whole);
}
