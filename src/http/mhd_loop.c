#include "http/mhd_loop.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <malloc.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"
#include "base/event.h"
#include "base/log.h"
#include "base/socket.h"
#include "base/timer.h"

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

/** Parts that all connections may deliver in one turn. */
#define TURN_PARTS_TOTAL 4096

/** Bytes of complete bodies that are passed on in one turn; one body may be
 *  larger. Decoding 1 MiB takes 10 ms of a whole core. */
#define TURN_BODIES_BYTES ((size_t) 1024 * 1024)

/** Larger bodies have a turn's bytes of their own, so that others don't wait
 *  for them. */
#define LARGE_BODY_BYTES ((size_t) 64 * 1024)

/** Suspended connections that go on in one turn. */
#define TURN_RESUMED_MAX 64

/** Shortest time to its next run by timer. */
#define TIMER_MIN (200 * HS_USEC)

/** Connections beyond the limit, so that some can be accepted while others are
 *  being closed for them; libmicrohttpd accepts up to 10 in one run. */
#define CLOSING_MARGIN 32

/** Interval of the check for requests that take too long to arrive. */
#define RECEIVE_CHECK_INTERVAL (1 * HS_SEC)

/** Larger blocks are returned to the kernel when they are freed, so that the
 *  memory of bodies that were dropped doesn't stay with the process. The C
 *  library's own threshold rises with the size of blocks that were freed. */
#define MMAP_THRESHOLD_BYTES (64 * 1024)

/** A connection of a server with a budget. */
typedef struct
{
  GList link; /* In the server's list. */
  int fd;
  bool closing;
  bool receiving;         /* Waits for data of the client. */
  HsTime receiving_since; /* Start of the present headers or body. */
  bool throttled;         /* Suspended, and in the server's queue. */
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
  HsTimer *receive_timer; /* NULL without a time limit. */
  struct tevent_immediate *resume;
  uint16_t port;
  HsMhdOptions options;
  /* With a budget: */
  HsBodyServer server;
  GQueue conns;     /* Of Conn. */
  GQueue throttled; /* Of Conn, those that wait longest first. */
  uint32_t turn;
  uint32_t n_parts;      /* Delivered in this turn. */
  size_t n_passed_on[2]; /* Bytes of bodies in this turn; [1]: of large ones. */
  HsTime now;            /* When the last run began. */
};

static int free_mhd (HsMhd *mhd);
static int open_listener (HsMhd *mhd, GError **error);
static int
open_socket (const HsMhdOptions *options, uint16_t *port, GError **error);
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
static bool may_pass_on (HsMhd *mhd, Conn *conn);
static void throttle (HsMhd *mhd, Conn *conn);
static void resume_throttled (HsMhd *mhd, uint32_t max);
static void drop_body (void *arg);
static void close_connection (void *arg);
static void on_receive_timer (void *arg);
static void close_late (HsMhd *mhd, HsTime now);
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
  resume_throttled (mhd, UINT32_MAX);
  MHD_stop_daemon (mhd->daemon);
  return 0;
}

static int
open_listener (HsMhd *mhd, GError **error)
{
  const HsMhdOptions *options = &mhd->options;
  int fd;

  if (options->listen_fd == 0)
    return open_socket (options, &mhd->port, error);
  fd = fcntl (options->listen_fd, F_DUPFD_CLOEXEC, 0);
  if (fd < 0)
    g_set_error (error, HS_ERROR, HS_ERROR_IO,
                 "%s: cannot duplicate the socket: %s; raise the limit on "
                 "open files",
                 options->listen, g_strerror (errno));
  return fd;
}

static int
open_socket (const HsMhdOptions *options, uint16_t *port, GError **error)
{
  const char *text = options->listen;
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
  if (fd >= 0 && options->budget != NULL)
    hs_socket_bound_receive_buffer (
        fd, hs_body_budget_receive_bytes (options->budget));
  if (fd >= 0 && setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (struct sockaddr *) &address, len) == 0
      && listen (fd, HS_MHD_LISTEN_BACKLOG) == 0
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
  struct MHD_OptionItem bounds[] = {
    { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t) on_connection, mhd },
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
      bounded ? on_request : options->handle, bounded ? mhd : options->arg,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED,
      bounded ? on_completed : options->completed, bounded ? mhd : options->arg,
      MHD_OPTION_CONNECTION_LIMIT,
      options->max_connections + (bounded ? CLOSING_MARGIN : 0),
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s, MHD_OPTION_ARRAY,
      bounded ? bounds : &none, MHD_OPTION_END);
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
      g_queue_unlink (&mhd->conns, &conn->link);
      TALLOC_FREE (*context);
      /* At its limit libmicrohttpd accepts again only when it is run. */
      if (mhd->conns.length + 1 >= mhd->options.max_connections + CLOSING_MARGIN
          && mhd->resume != NULL)
        tevent_schedule_immediate (mhd->resume, mhd->ev, on_resume, mhd);
      return;
    }
  conn = talloc_zero (mhd, Conn);
  conn->link.data = conn;
  g_queue_push_tail_link (&mhd->conns, &conn->link);
  conn->connection = connection;
  conn->receiving = true;
  conn->receiving_since = mhd->now;
  conn->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  *context = conn;
  conn->share = hs_body_share_new (conn, mhd->options.budget, &mhd->server,
                                   &EFFECTS, conn, mhd->now);
  if (hs_body_share_receive_bytes (conn->share)
      > hs_body_budget_receive_bytes (mhd->options.budget))
    hs_socket_bound_receive_buffer (conn->fd,
                                    hs_body_share_receive_bytes (conn->share));
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
    {
      conn->receiving_since = mhd->now;
      hs_body_share_begin (conn->share, mhd->now);
    }
  else if (*len > 0)
    hs_body_share_received (conn->share, *len, mhd->now);
  else if (conn->receiving && !may_pass_on (mhd, conn))
    return MHD_YES;
  else
    {
      conn->receiving = false;
      if (!mhd->options.drops_answers)
        hs_body_share_complete (conn->share);
    }
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
  conn->receiving = true;
  conn->receiving_since = mhd->now;
  if (mhd->options.completed != NULL)
    mhd->options.completed (mhd->options.arg, connection, state, code);
  hs_body_share_end (conn->share, mhd->now);
}

/* Counts a part of a body. Suspends the connection if it, or all of them
   together, have delivered enough in this turn; libmicrohttpd offers the part
   again later. */
static bool
may_deliver (HsMhd *mhd, Conn *conn)
{
  if (conn->turn != mhd->turn)
    conn->n_parts = 0;
  conn->turn = mhd->turn;
  if (mhd->n_parts < TURN_PARTS_TOTAL && conn->n_parts < TURN_PARTS_MAX)
    {
      mhd->n_parts++;
      conn->n_parts++;
      return true;
    }
  throttle (mhd, conn);
  return false;
}

/* Counts a complete body. Suspends the connection if enough were passed on in
   this turn; libmicrohttpd calls again later. */
static bool
may_pass_on (HsMhd *mhd, Conn *conn)
{
  size_t bytes = conn->body != NULL ? conn->body->len : 0;
  size_t *n_passed_on = &mhd->n_passed_on[bytes > LARGE_BODY_BYTES];

  if (bytes > 0 && *n_passed_on > 0 && *n_passed_on + bytes > TURN_BODIES_BYTES)
    {
      throttle (mhd, conn);
      return false;
    }
  *n_passed_on += bytes;
  return true;
}

static void
throttle (HsMhd *mhd, Conn *conn)
{
  conn->throttled = true;
  g_queue_push_tail (&mhd->throttled, conn);
  MHD_suspend_connection (conn->connection);
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

/* Whether the client has closed its side of the connection. libmicrohttpd's
   epoll is edge-triggered and misses a close that arrives with the last bytes.
 */
static bool
peer_has_closed (const Conn *conn)
{
  char byte;

  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_receive_timer (void *arg)
{
  HsMhd *mhd = arg;
  HsTime now = hs_now ().mono;

  close_late (mhd, now);
  hs_timer_set (mhd->receive_timer, RECEIVE_CHECK_INTERVAL, now);
  run_daemon (mhd);
}

/* Closes the connections of requests that take too long to arrive. */
static void
close_late (HsMhd *mhd, HsTime now)
{
  GList *link;

  for (link = mhd->conns.head; link != NULL; link = link->next)
    {
      const Conn *conn = link->data;

      if (conn->receiving && !conn->throttled
          && (now - conn->receiving_since > mhd->options.receive_timeout
              || peer_has_closed (conn)))
        shutdown (conn->fd, SHUT_RDWR);
    }
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

  mhd->turn++;
  mhd->n_parts = 0;
  memset (mhd->n_passed_on, 0, sizeof mhd->n_passed_on);
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
