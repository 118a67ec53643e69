#include "http/mhd_loop.h"

#include <errno.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"
#include "base/timer.h"

#define LISTEN_BACKLOG 256

/** Limit on consecutive runs of libmicrohttpd while its time-out is 0. */
#define CONSECUTIVE_RUNS_MAX 16

/** Shortest time to its next run by timer. */
#define TIMER_MIN (200 * HS_USEC)

struct HsMhd
{
  struct MHD_Daemon *daemon;
  struct tevent_context *ev;
  struct tevent_fd *epoll_event;
  HsTimer *timer;
  struct tevent_immediate *resume;
  uint16_t port;
};

static int free_mhd (HsMhd *mhd);
static int open_socket (const char *address, uint16_t *port, GError **error);
static bool start_daemon (HsMhd *mhd, const HsMhdOptions *options, int fd);
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
  mhd->resume = tevent_create_immediate (mhd);
  mhd->timer = hs_timer_new (mhd, ev, run_daemon, mhd);
  fd = open_socket (options->listen, &mhd->port, error);
  if (fd < 0)
    {
      talloc_free (mhd);
      return NULL;
    }
  if (!start_daemon (mhd, options, fd))
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
  run_daemon (mhd);
  return mhd;
}

/* Without threads, libmicrohttpd handles a resumed connection in its next run,
   which nothing else triggers. */
void
hs_mhd_resume (HsMhd *mhd, struct MHD_Connection *connection)
{
  MHD_resume_connection (connection);
  tevent_schedule_immediate (mhd->resume, mhd->ev, on_resume, mhd);
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
  TALLOC_FREE (mhd->resume);
  MHD_stop_daemon (mhd->daemon);
  return 0;
}

static int
open_socket (const char *text, uint16_t *port, GError **error)
{
  struct sockaddr_storage address;
  socklen_t len;
  int on = 1;
  int fd;

  if (!hs_address_parse (text, &address, &len))
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "%s: not an address; write an IP address and a port, as "
                   "127.0.0.1:8080",
                   text);
      return -1;
    }
  fd = socket (address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd >= 0 && setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (struct sockaddr *) &address, len) == 0
      && listen (fd, LISTEN_BACKLOG) == 0
      && getsockname (fd, (struct sockaddr *) &address, &len) == 0)
    {
      *port = (uint16_t) hs_address_port (&address);
      return fd;
    }
  g_set_error (error, HS_ERROR, HS_ERROR_IO,
               "%s: cannot listen: %s; free the address or choose another",
               text, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

static bool
start_daemon (HsMhd *mhd, const HsMhdOptions *options, int fd)
{
  const union MHD_DaemonInfo *info;

  mhd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, options->handle,
      options->arg, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED,
      options->completed, options->arg, MHD_OPTION_CONNECTION_LIMIT,
      options->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
      options->idle_timeout_s, MHD_OPTION_END);
  if (mhd->daemon == NULL)
    return false;
  info = MHD_get_daemon_info (mhd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  mhd->epoll_event = tevent_add_fd (mhd->ev, mhd, info->epoll_fd,
                                    TEVENT_FD_READ, on_epoll_ready, mhd);
  return mhd->epoll_event != NULL;
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
  int i;

  for (i = 0; i < CONSECUTIVE_RUNS_MAX && has_timeout && timeout_ms == 0; i++)
    {
      MHD_run (mhd->daemon);
      has_timeout = MHD_get_timeout (mhd->daemon, &timeout_ms) == MHD_YES;
    }
  if (has_timeout)
    hs_timer_set (mhd->timer, MAX ((HsTime) timeout_ms * HS_MSEC, TIMER_MIN),
                  hs_now ().mono);
  else
    hs_timer_clear (mhd->timer);
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
