#include "direct/process.h"

#include <signal.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>

#include "base/event.h"
#include "direct/liveness.h"
#include "http/mhd_loop.h"

/** The store answers in 4 ms, and in 50 times that when it is slow. */
#define STORE_TIMEOUT (1200 * HS_MSEC)

/** Sockets that wait to be accepted by the HTTP servers of a process (three at
 *  most), and the connections of those with few. */
#define OTHER_SOCKETS (3 * HS_MHD_LISTEN_BACKLOG + 128)

struct HsPauseWatch
{
  HsPauseFunc paused;
  void *arg;
  HsTime seen_at; /* When the event loop last waited or stopped waiting. */
};

struct HsSettingsWatch
{
  char *path;
  void (*apply) (void *arg, HsPlatformSettings *settings);
  void *arg;
  struct timespec modified_at;
};

static void on_hangup (struct tevent_context *ev,
                       struct tevent_signal *se,
                       int number,
                       int count,
                       void *info,
                       void *arg);
static struct timespec modified_at (const char *path);
static void load_settings (HsSettingsWatch *watch, const char *cause);

uint64_t
hs_process_new_incarnation (void)
{
  uint64_t n = 0;

  while (n == 0)
    if (getrandom (&n, sizeof n, 0) < 0)
      g_error ("getrandom() failed; cannot create an incarnation number");
  return n;
}

static void
on_loop_step (enum tevent_trace_point point, void *arg)
{
  (void) point;
  hs_pause_watch_check (arg, hs_now ().mono);
}

HsPauseWatch *
hs_pause_watch_new (TALLOC_CTX *ctx,
                    struct tevent_context *ev,
                    HsPauseFunc paused,
                    void *arg)
{
  HsPauseWatch *watch = talloc_zero (ctx, HsPauseWatch);

  watch->paused = paused;
  watch->arg = arg;
  watch->seen_at = hs_now ().mono;
  tevent_set_trace_callback (ev, on_loop_step, watch);
  return watch;
}

/* The loop never waits or works for HS_PAUSE_MIN on end. */
void
hs_pause_watch_check (HsPauseWatch *watch, HsTime now)
{
  HsTime length = now - watch->seen_at;

  watch->seen_at = now;
  if (length >= HS_PAUSE_MIN)
    watch->paused (watch->arg, length, now);
}

HsStore *
hs_process_store_new (TALLOC_CTX *ctx,
                      struct tevent_context *ev,
                      const HsPlatformSettings *settings)
{
  g_autofree char *endpoint
      = g_strconcat ("http://", settings->store_address, NULL);
  const char *endpoints[] = { endpoint, NULL };
  HsStore *store = hs_store_new (ctx, ev, endpoints, STORE_TIMEOUT);

  hs_store_set_protocol (store, HS_STORE_PROTOCOL_PLATFORM);
  return store;
}

static double
read_body_bytes (void *arg)
{
  return (double) hs_body_budget_stats (arg).bytes;
}

static double
read_dropped_bodies (void *arg)
{
  return (double) hs_body_budget_stats (arg).dropped_bodies;
}

static double
read_closed_connections (void *arg)
{
  return (double) hs_body_budget_stats (arg).closed_connections;
}

HsBodyBudget *
hs_process_body_budget_new (TALLOC_CTX *ctx,
                            const HsPlatformSettings *settings,
                            HsMetrics *metrics,
                            HsBodyLimits *limits)
{
  HsBodyBudget *budget;

  *limits = hs_body_limits (settings->memory_mb, settings->max_fds);
  budget = hs_body_budget_new (ctx, limits->bytes,
                               limits->connections + OTHER_SOCKETS);
  hs_metrics_gauge (metrics, "hs_direct_body_bytes",
                    "Memory of HTTP connections and request bodies.", NULL,
                    NULL, read_body_bytes, budget);
  hs_metrics_gauge (metrics, "hs_direct_bodies_dropped",
                    "Request bodies dropped for lack of memory.", NULL, NULL,
                    read_dropped_bodies, budget);
  hs_metrics_gauge (metrics, "hs_direct_connections_closed",
                    "HTTP connections closed above their limit.", NULL, NULL,
                    read_closed_connections, budget);
  return budget;
}

HsSettingsWatch *
hs_settings_watch_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const char *path,
                       void (*apply) (void *arg, HsPlatformSettings *settings),
                       void *arg)
{
  HsSettingsWatch *watch = talloc_zero (ctx, HsSettingsWatch);

  watch->path = talloc_strdup (watch, path);
  watch->apply = apply;
  watch->arg = arg;
  watch->modified_at = modified_at (path);
  tevent_add_signal (ev, watch, SIGHUP, 0, on_hangup, watch);
  return watch;
}

void
hs_settings_watch_check (HsSettingsWatch *watch)
{
  struct timespec now = modified_at (watch->path);

  if (now.tv_sec != watch->modified_at.tv_sec
      || now.tv_nsec != watch->modified_at.tv_nsec)
    load_settings (watch, "file");
}

static void
on_hangup (struct tevent_context *ev,
           struct tevent_signal *se,
           int number,
           int count,
           void *info,
           void *arg)
{
  (void) ev;
  (void) se;
  (void) number;
  (void) count;
  (void) info;
  load_settings (arg, "signal");
}

static struct timespec
modified_at (const char *path)
{
  struct stat st;

  if (stat (path, &st) != 0)
    memset (&st, 0, sizeof st);
  return st.st_mtim;
}

static void
load_settings (HsSettingsWatch *watch, const char *cause)
{
  g_autoptr (GError) error = NULL;
  HsPlatformSettings *settings;

  watch->modified_at = modified_at (watch->path);
  settings = hs_platform_settings_load (NULL, watch->path, &error);
  if (settings == NULL)
    {
      hs_event ("reload", "cause=%s outcome=refused error=\"%s\"", cause,
                error->message);
      return;
    }
  hs_event ("reload", "cause=%s outcome=taken", cause);
  watch->apply (watch->arg, settings);
}
