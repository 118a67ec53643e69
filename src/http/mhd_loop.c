#include "http/mhd_private.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <malloc.h>

#include <unistd.h>

#include "base/error.h"
#include "base/event.h"
#include "base/log.h"
#include "base/socket.h"

/** Limit on consecutive runs of libmicrohttpd while its time-out is 0. */
#define CONSECUTIVE_RUNS_MAX 16

/** Time after which no further consecutive run is begun: other sockets of the
 *  loop have to be served, on hosts with a tenth of a core as well. */
#define CONSECUTIVE_TIME_MAX (5 * HS_MSEC)

/** Shortest time to its next run by timer. */
#define TIMER_MIN (200 * HS_USEC)

/** Interval of the check for requests that take too long to arrive. */
#define RECEIVE_CHECK_INTERVAL (1 * HS_SEC)

/** Larger blocks are returned to the kernel when they are freed, so that the
 *  memory of bodies that were dropped doesn't stay with the process. The C
 *  library's own threshold rises with the size of blocks that were freed. */
#define MMAP_THRESHOLD_BYTES (64 * 1024)

static int free_mhd (HsMhd *mhd);
static int open_listener (HsMhd *mhd, GError **error);
static bool start_daemon (HsMhd *mhd, int fd);
static void on_receive_timer (void *arg);
static void report (HsMhd *mhd);
static void run_daemon (void *arg);
static void on_epoll_ready (struct tevent_context *ev,
                            struct tevent_fd *epoll_event,
                            uint16_t flags,
                            void *arg);
static void on_resume (struct tevent_context *ev,
                       struct tevent_immediate *immediate,
                       void *arg);

HsMhd *
hs_mhd_new (TALLOC_CTX *ctx,
            struct tevent_context *ev,
            const HsMhdOptions *options,
            GError **error)
{
  HsMhd *mhd = talloc_zero (ctx, HsMhd);
  int fd;

  mhd->ev = ev;
  mhd->options = *options;
  if (options->pool_bytes == 0)
    mhd->options.pool_bytes = HS_CONNECTION_POOL_BYTES;
  mhd->server.max_connections = options->max_connections;
  mhd->server.connection_bytes
      = mhd->options.pool_bytes + HS_CONNECTION_OVERHEAD_BYTES;
  g_queue_init (&mhd->conns);
  g_queue_init (&mhd->throttled);
  mhd->resume = tevent_create_immediate (mhd);
  mhd->timer = hs_timer_new (mhd, ev, run_daemon, mhd);
  if (options->budget != NULL)
    mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  fd = open_listener (mhd, error);
  if (fd < 0)
    {
      talloc_free (mhd);
      return NULL;
    }
  if (!start_daemon (mhd, fd))
    {
      close (fd);
      talloc_free (mhd);
      g_set_error (error, HS_ERROR, HS_ERROR_IO,
                   "%s: cannot start the HTTP server; check the limits on "
                   "open files and memory",
                   options->listen);
      return NULL;
    }
  talloc_set_destructor (mhd, free_mhd);
  if (options->receive_timeout > 0)
    {
      mhd->receive_timer = hs_timer_new (mhd, ev, on_receive_timer, mhd);
      hs_timer_set (mhd->receive_timer, RECEIVE_CHECK_INTERVAL, hs_now ().mono);
    }
  run_daemon (mhd);
  return mhd;
}

/* Without threads, libmicrohttpd handles a resumed connection in its next run,
   which nothing else triggers. */
void
hs_mhd_resume (HsMhd *mhd, struct MHD_Connection *connection)
{
  MHD_resume_connection (connection);
  hs_mhd_run_soon (mhd);
}

void
hs_mhd_run_soon (HsMhd *mhd)
{
  if (mhd->resume != NULL)
    tevent_schedule_immediate (mhd->resume, mhd->ev, on_resume, mhd);
}

void
hs_mhd_stop_accepting (HsMhd *mhd)
{
  MHD_socket fd;

  run_daemon (mhd);
  fd = MHD_quiesce_daemon (mhd->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

uint16_t
hs_mhd_port (const HsMhd *mhd)
{
  return mhd->port;
}

static int
free_mhd (HsMhd *mhd)
{
  TALLOC_FREE (mhd->epoll_event);
  TALLOC_FREE (mhd->timer);
  TALLOC_FREE (mhd->receive_timer);
  TALLOC_FREE (mhd->resume);
  hs_mhd_resume_throttled (mhd, UINT32_MAX);
  MHD_stop_daemon (mhd->daemon);
  return 0;
}

static int
open_listener (HsMhd *mhd, GError **error)
{
  const HsMhdOptions *options = &mhd->options;
  int fd;

  if (options->listen_fd == 0)
    return hs_socket_listen (
        options->listen, HS_MHD_LISTEN_BACKLOG,
        options->budget != NULL ? hs_body_budget_receive_bytes (options->budget)
                                : 0,
        &mhd->port, error);
  fd = fcntl (options->listen_fd, F_DUPFD_CLOEXEC, 0);
  if (fd < 0)
    g_set_error (error, HS_ERROR, HS_ERROR_IO,
                 "%s: cannot duplicate the socket: %s; raise the limit on "
                 "open files",
                 options->listen, g_strerror (errno));
  return fd;
}

static bool
start_daemon (HsMhd *mhd, int fd)
{
  const HsMhdOptions *options = &mhd->options;
  bool bounded = options->budget != NULL;
  struct MHD_OptionItem bounds[] = {
    { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t) hs_mhd_on_connection, mhd },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT, (intptr_t) options->pool_bytes,
      NULL },
    { MHD_OPTION_STRICT_FOR_CLIENT, options->strict, NULL },
    { options->unescape != NULL ? MHD_OPTION_UNESCAPE_CALLBACK : MHD_OPTION_END,
      (intptr_t) options->unescape, options->arg },
    { MHD_OPTION_END, 0, NULL }
  };
  struct MHD_OptionItem none = { MHD_OPTION_END, 0, NULL };
  const union MHD_DaemonInfo *info;

  mhd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      bounded ? hs_mhd_on_request : options->handle,
      bounded ? mhd : options->arg, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_NOTIFY_COMPLETED,
      bounded ? hs_mhd_on_completed : options->completed,
      bounded ? mhd : options->arg, MHD_OPTION_CONNECTION_LIMIT,
      options->max_connections + (bounded ? HS_MHD_CLOSING_MARGIN : 0),
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s, MHD_OPTION_ARRAY,
      bounded ? bounds : &none, MHD_OPTION_END);
  if (mhd->daemon == NULL)
    return false;
  info = MHD_get_daemon_info (mhd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  mhd->epoll_event = tevent_add_fd (mhd->ev, mhd, info->epoll_fd,
                                    TEVENT_FD_READ, on_epoll_ready, mhd);
  return mhd->epoll_event != NULL;
}

static void
on_receive_timer (void *arg)
{
  HsMhd *mhd = arg;
  HsTime now = hs_now ().mono;

  hs_mhd_close_late (mhd, now);
  hs_timer_set (mhd->receive_timer, RECEIVE_CHECK_INTERVAL, now);
  run_daemon (mhd);
}

static void
report (HsMhd *mhd)
{
  static const char format[]
      = "held_kb=%zu dropped_bodies=%" PRIu64 " closed_connections=%" PRIu64;
  const char *part = mhd->options.log_part;
  HsBodyStats stats;

  if (mhd->options.budget == NULL
      || !hs_body_budget_report (mhd->options.budget, mhd->now, &stats))
    return;
  if (part != NULL)
    hs_warn (part, format, stats.bytes / 1024, stats.dropped_bodies,
             stats.closed_connections);
  else
    hs_event ("body_limit", format, stats.bytes / 1024, stats.dropped_bodies,
              stats.closed_connections);
}

/* Runs libmicrohttpd and sets the timer for its next run. The timer has a lower
   limit because one that is always due would starve the loop's other
   sockets. */
static void
run_daemon (void *arg)
{
  HsMhd *mhd = arg;
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  bool has_timeout = true;
  HsTime began_at = hs_now ().mono;
  int i;

  mhd->now = began_at;
  hs_mhd_begin_turn (mhd);
  for (i = 0; i < CONSECUTIVE_RUNS_MAX && has_timeout && timeout_ms == 0
              && mhd->now - began_at < CONSECUTIVE_TIME_MAX;
       i++)
    {
      MHD_run (mhd->daemon);
      has_timeout = MHD_get_timeout (mhd->daemon, &timeout_ms) == MHD_YES;
      mhd->now = hs_now ().mono;
    }
  if (!g_queue_is_empty (&mhd->throttled))
    {
      has_timeout = true;
      timeout_ms = 0;
    }
  if (has_timeout)
    hs_timer_set (mhd->timer, MAX ((HsTime) timeout_ms * HS_MSEC, TIMER_MIN),
                  hs_now ().mono);
  else
    hs_timer_clear (mhd->timer);
  report (mhd);
}

static void
on_epoll_ready (struct tevent_context *ev,
                struct tevent_fd *epoll_event,
                uint16_t flags,
                void *arg)
{
  (void) ev;
  (void) epoll_event;
  (void) flags;
  run_daemon (arg);
}

static void
on_resume (struct tevent_context *ev,
           struct tevent_immediate *immediate,
           void *arg)
{
  (void) ev;
  (void) immediate;
  run_daemon (arg);
}
