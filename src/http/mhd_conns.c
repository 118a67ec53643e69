/**
 * @file
 * Connections of a server with a budget: their shares, and what they may
 * deliver in a turn of the loop.
 */
#include <string.h>

#include <sys/socket.h>

#include "base/socket.h"
#include "http/mhd_private.h"

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

static Conn *conn_of (struct MHD_Connection *connection);
static bool may_deliver (HsMhd *mhd, Conn *conn);
static bool may_pass_on (HsMhd *mhd, Conn *conn);
static void throttle (HsMhd *mhd, Conn *conn);
static void drop_body (void *arg);
static void close_connection (void *arg);
static bool peer_has_closed (const Conn *conn);

static const HsBodyEffects EFFECTS
    = { .drop_body = drop_body, .close = close_connection };

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
hs_mhd_on_connection (void *arg,
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
      if (mhd->conns.length + 1
          >= mhd->options.max_connections + HS_MHD_CLOSING_MARGIN)
        hs_mhd_run_soon (mhd);
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

enum MHD_Result
hs_mhd_on_request (void *arg,
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

void
hs_mhd_on_completed (void *arg,
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

void
hs_mhd_begin_turn (HsMhd *mhd)
{
  mhd->turn++;
  mhd->n_parts = 0;
  memset (mhd->n_passed_on, 0, sizeof mhd->n_passed_on);
  hs_mhd_resume_throttled (mhd, TURN_RESUMED_MAX);
}

void
hs_mhd_resume_throttled (HsMhd *mhd, uint32_t max)
{
  Conn *conn;

  for (; max > 0 && (conn = g_queue_pop_head (&mhd->throttled)) != NULL; max--)
    {
      conn->throttled = false;
      MHD_resume_connection (conn->connection);
    }
}

void
hs_mhd_close_late (HsMhd *mhd, HsTime now)
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

static Conn *
conn_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
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
