#include "http/mhd_loop.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"
#include "base/event.h"
#include "base/timer.h"

#define LISTEN_BACKLOG 256

/** Limit on consecutive runs of libmicrohttpd while its time-out is 0. */
#define CONSECUTIVE_RUNS_MAX 16

/** Time after which no further consecutive run is begun: other sockets of the
 *  loop have to be served, on hosts with a tenth of a core as well. */
#define CONSECUTIVE_TIME_MAX (5 * HS_MSEC)

/** Parts of a body that a connection may deliver in one turn of the loop; then
 *  it is suspended until a later one. A part is what one read or one chunk
 *  gives; a read may hold hundreds of small chunks. Ordinary bodies have fewer
 *  than 16. */
#define TURN_PARTS_MAX 64

/** Suspended connections that go on in one turn. */
#define TURN_RESUMED_MAX 64

/** Shortest time to its next run by timer. */
#define TIMER_MIN (200 * HS_USEC)

/** Connections beyond the limit, so that some can be accepted while others are
 *  being closed for them; libmicrohttpd accepts up to 10 in one run. */
#define CLOSING_MARGIN 32

/** A connection of a server with a budget. */
typedef struct
{
  int fd;
  bool closing;
  bool throttled; /* Suspended, and in the server's queue. */
  struct MHD_Connection *connection;
  HsBodyShare *share;
  HsMhdBody *body; /* That is being received, or NULL. */
  uint32_t turn;   /* In which `n_parts` were delivered. */
  uint32_t n_parts;
} Conn;

struct HsMhd
{
  struct MHD_Daemon *daemon;
  struct tevent_context *ev;
  struct tevent_fd *epoll_event;
  HsTimer *timer;
  struct tevent_immediate *resume;
  uint16_t port;
  HsMhdOptions options;
  /* With a budget: */
  HsBodyServer server;
  GQueue throttled; /* Of Conn, those that wait longest first. */
  uint32_t turn;
  HsTime now; /* When the last run began. */
};

static int free_mhd (HsMhd *mhd);
static int open_socket (const char *address, uint16_t *port, GError **error);
static bool start_daemon (HsMhd *mhd, int fd);
static void on_connection (void *arg,
                           struct MHD_Connection *connection,
                           void **context,
                           enum MHD_ConnectionNotificationCode code);
static enum MHD_Result on_request (void *arg,
                                   struct MHD_Connection *connection,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *len,
                                   void **state);
static void on_completed (void *arg,
                          struct MHD_Connection *connection,
                          void **state,
                          enum MHD_RequestTerminationCode code);
static Conn *conn_of (struct MHD_Connection *connection);
static bool may_deliver (HsMhd *mhd, Conn *conn);
static void resume_throttled (HsMhd *mhd, uint32_t max);
static void drop_body (void *arg);
static void close_connection (void *arg);
static void report (HsMhd *mhd);
static void run_daemon (void *arg);
static void on_epoll_ready (struct tevent_context *ev,
                            struct tevent_fd *epoll_event,
                            uint16_t flags,
                            void *arg);
static void on_resume (struct tevent_context *ev,
                       struct tevent_immediate *immediate,
                       void *arg);

static const HsBodyEffects EFFECTS
    = { .drop_body = drop_body, .close = close_connection };

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
  mhd->server.max_connections = options->max_connections;
  g_queue_init (&mhd->throttled);
  mhd->resume = tevent_create_immediate (mhd);
  mhd->timer = hs_timer_new (mhd, ev, run_daemon, mhd);
  fd = open_socket (options->listen, &mhd->port, error);
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

void
hs_mhd_bind_body (HsMhd *mhd,
                  struct MHD_Connection *connection,
                  HsMhdBody *body)
{
  Conn *conn;

  if (mhd->options.budget == NULL)
    return;
  conn = conn_of (connection);
  conn->body = body;
  body->share = conn->share;
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
  resume_throttled (mhd, UINT32_MAX);
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
start_daemon (HsMhd *mhd, int fd)
{
  const HsMhdOptions *options = &mhd->options;
  bool bounded = options->budget != NULL;
  /* Ends at the first option that isn't given. */
  struct MHD_OptionItem bounds[]
      = { { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t) on_connection, mhd },
          { MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            (intptr_t) HS_CONNECTION_POOL_BYTES, NULL },
          { MHD_OPTION_END, 0, NULL } };
  const union MHD_DaemonInfo *info;

  mhd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      bounded ? on_request : options->handle, bounded ? mhd : options->arg,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED,
      bounded ? on_completed : options->completed, bounded ? mhd : options->arg,
      MHD_OPTION_CONNECTION_LIMIT,
      options->max_connections + (bounded ? CLOSING_MARGIN : 0),
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s, MHD_OPTION_ARRAY,
      bounded ? bounds : &bounds[2], MHD_OPTION_END);
  if (mhd->daemon == NULL)
    return false;
  info = MHD_get_daemon_info (mhd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  mhd->epoll_event = tevent_add_fd (mhd->ev, mhd, info->epoll_fd,
                                    TEVENT_FD_READ, on_epoll_ready, mhd);
  return mhd->epoll_event != NULL;
}

static Conn *
conn_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static void
on_connection (void *arg,
               struct MHD_Connection *connection,
               void **context,
               enum MHD_ConnectionNotificationCode code)
{
  HsMhd *mhd = arg;
  Conn *conn = *context;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      if (conn->throttled)
        g_queue_remove (&mhd->throttled, conn);
      TALLOC_FREE (*context);
      return;
    }
  conn = talloc_zero (mhd, Conn);
  conn->connection = connection;
  conn->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  *context = conn;
  conn->share = hs_body_share_new (conn, mhd->options.budget, &mhd->server,
                                   &EFFECTS, conn, mhd->now);
}

static enum MHD_Result
on_request (void *arg,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *len,
            void **state)
{
  HsMhd *mhd = arg;
  Conn *conn = conn_of (connection);

  if (conn->closing)
    return MHD_NO;
  if (*state != NULL && *len > 0 && !may_deliver (mhd, conn))
    return MHD_YES;
  if (*state == NULL)
    hs_body_share_begin (conn->share, mhd->now);
  else if (*len > 0)
    hs_body_share_received (conn->share, *len, mhd->now);
  else
    hs_body_share_complete (conn->share);
  return mhd->options.handle (mhd->options.arg, connection, url, method,
                              version, data, len, state);
}

static void
on_completed (void *arg,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  HsMhd *mhd = arg;
  Conn *conn = conn_of (connection);

  conn->body = NULL;
  if (mhd->options.completed != NULL)
    mhd->options.completed (mhd->options.arg, connection, state, code);
  hs_body_share_end (conn->share, mhd->now);
}

/* Counts a part of a body. Suspends the connection if it has delivered enough
   in this turn; libmicrohttpd offers the part again later. */
static bool
may_deliver (HsMhd *mhd, Conn *conn)
{
  if (conn->turn != mhd->turn)
    conn->n_parts = 0;
  conn->turn = mhd->turn;
  if (conn->n_parts++ < TURN_PARTS_MAX)
    return true;
  conn->throttled = true;
  g_queue_push_tail (&mhd->throttled, conn);
  MHD_suspend_connection (conn->connection);
  return false;
}

static void
resume_throttled (HsMhd *mhd, uint32_t max)
{
  Conn *conn;

  for (; max > 0 && (conn = g_queue_pop_head (&mhd->throttled)) != NULL; max--)
    {
      conn->throttled = false;
      MHD_resume_connection (conn->connection);
    }
}

static void
drop_body (void *arg)
{
  Conn *conn = arg;

  if (conn->body != NULL)
    hs_mhd_body_drop (conn->body);
}

/* libmicrohttpd closes it when it reads the end of the connection, or asks for
   its next part. */
static void
close_connection (void *arg)
{
  Conn *conn = arg;

  conn->closing = true;
  shutdown (conn->fd, SHUT_RDWR);
}

static void
report (HsMhd *mhd)
{
  HsBodyStats stats;

  if (mhd->options.budget != NULL
      && hs_body_budget_report (mhd->options.budget, mhd->now, &stats))
    hs_event (
        "body_limit",
        "held_kb=%zu dropped_bodies=%" PRIu64 " closed_connections=%" PRIu64,
        stats.bytes / 1024, stats.dropped_bodies, stats.closed_connections);
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

  mhd->turn++;
  mhd->now = began_at;
  resume_throttled (mhd, TURN_RESUMED_MAX);
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
