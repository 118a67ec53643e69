#include "rpc/conn.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "rpc/conn_private.h"

#define PART "rpc"

/** Unacknowledged bytes older than this end the connection. */
#define UNACKED_TIMEOUT_MS 2500

/** Silence after which the kernel probes the peer, and between probes. */
#define KEEPALIVE_IDLE_S 1
/** The same on a connection that is watched from afar. Longer than the age at
 *  which an agent refreshes idle credits, so that nothing is probed where
 *  records pass. */
#define KEEPALIVE_FAR_IDLE_S 150
#define KEEPALIVE_PROBES 2

#define READ_CHUNK (256 * 1024)

/** Until the peer has proved that it knows the key, no record is larger than
 *  HELLO and no more is read at once. */
#define GREETING_RECORD_MAX 512
#define GREETING_READ_CHUNK 1024

static void set_socket_options (int fd);
static int conn_destructor (HsConn *conn);
static void on_event (struct tevent_context *ev,
                      struct tevent_fd *event,
                      uint16_t flags,
                      void *arg);
static void on_flush (struct tevent_context *ev,
                      struct tevent_immediate *immediate,
                      void *arg);
static void on_end (struct tevent_context *ev,
                    struct tevent_immediate *immediate,
                    void *arg);
static void on_end_failed_dial (struct tevent_context *ev,
                                struct tevent_immediate *immediate,
                                void *arg);
static void on_connected (HsConn *conn);
static void on_readable (HsConn *conn);
static void take_records (HsConn *conn);
static bool is_acceptable (const HsConn *conn, int whole, size_t length);
static bool take_record (HsConn *conn, uint8_t *record, size_t n);
static bool take_call (HsConn *conn,
                       const HsRecordHead *head,
                       const uint8_t *body,
                       size_t n);
static void write_out (HsConn *conn);

HsConn *
hs_conn_new (HsRpc *rpc, int fd, bool dialled)
{
  HsConn *conn = talloc_zero (rpc, HsConn);

  conn->rpc = rpc;
  conn->fd = fd;
  conn->dialled = dialled;
  conn->state = dialled ? HS_CONN_CONNECTING : HS_CONN_GREETING;
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->pending = g_hash_table_new (NULL, NULL);
  conn->next_xid = 1;
  conn->flush = tevent_create_immediate (conn);
  conn->end = tevent_create_immediate (conn);
  talloc_set_destructor (conn, conn_destructor);
  set_socket_options (fd);
  hs_conn_watch (conn, HS_CONN_WATCH_CLOSE);
  /* tevent drops a descriptor in error that waits for writing only. */
  conn->event = tevent_add_fd (rpc->ev, conn, fd,
                               dialled ? TEVENT_FD_READ | TEVENT_FD_WRITE
                                       : TEVENT_FD_READ,
                               on_event, conn);
  hs_conn_begin_greeting (conn);
  return conn;
}

HsConn *
hs_conn_new_failed (HsRpc *rpc, bool refused)
{
  HsConn *conn = talloc_zero (rpc, HsConn);

  conn->rpc = rpc;
  conn->fd = -1;
  conn->refused = refused;
  conn->dialled = true;
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->pending = g_hash_table_new (NULL, NULL);
  conn->end = tevent_create_immediate (conn);
  talloc_set_destructor (conn, conn_destructor);
  tevent_schedule_immediate (conn->end, rpc->ev, on_end_failed_dial, conn);
  return conn;
}

const hsx_hello *
hs_conn_peer (const HsConn *conn)
{
  return conn->state == HS_CONN_UP ? &conn->peer : NULL;
}

void
hs_conn_set_data (HsConn *conn, void *data)
{
  conn->data = data;
}

void *
hs_conn_data (const HsConn *conn)
{
  return conn->data;
}

void
hs_conn_watch (HsConn *conn, HsConnWatch watch)
{
  int idle
      = watch == HS_CONN_WATCH_CLOSE ? KEEPALIVE_IDLE_S : KEEPALIVE_FAR_IDLE_S;

  setsockopt (conn->fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
}

void
hs_conn_close (HsConn *conn)
{
  if (conn->state == HS_CONN_CLOSED)
    return;
  conn->state = HS_CONN_CLOSED;
  hs_greetings_remove (conn->rpc, &conn->greeting);
  TALLOC_FREE (conn->event);
  TALLOC_FREE (conn->greeting_timer);
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  hs_conn_end_pending (conn);
  if (conn->rpc->handler.down != NULL)
    conn->rpc->handler.down (conn->rpc->arg, conn, conn->refused);
  tevent_schedule_immediate (conn->end, conn->rpc->ev, on_end, conn);
}

void
hs_conn_close_when_flushed (HsConn *conn)
{
  conn->close_when_flushed = true;
  hs_conn_schedule_flush (conn);
}

size_t
hs_conn_backlog (const HsConn *conn)
{
  return conn->out->len - conn->out_at;
}

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcDone done,
              void *arg)
{
  if (conn->state != HS_CONN_UP)
    return false;
  return hs_conn_send_call (conn, proc, args, timeout, done, arg);
}

bool
hs_conn_reply (HsConn *conn,
               HsRpcCallId call,
               uint32_t proc,
               const void *result)
{
  guint before = conn->out->len;

  if (conn->state == HS_CONN_CLOSED)
    return false;
  if (!hs_record_put_reply (conn->out, &conn->sending, call, proc, result)
      && !hs_record_put_reply (conn->out, &conn->sending, call, proc, NULL))
    return false;
  conn->rpc->stats.bytes_sent += conn->out->len - before;
  hs_conn_schedule_flush (conn);
  return true;
}

void
hs_conn_schedule_flush (HsConn *conn)
{
  if (conn->flush_scheduled || conn->state == HS_CONN_CLOSED)
    return;
  conn->flush_scheduled = true;
  tevent_schedule_immediate (conn->flush, conn->rpc->ev, on_flush, conn);
}

static void
set_socket_options (int fd)
{
  int one = 1;
  int unacked = UNACKED_TIMEOUT_MS;
  int interval = KEEPALIVE_IDLE_S;
  int probes = KEEPALIVE_PROBES;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof unacked);
}

static int
conn_destructor (HsConn *conn)
{
  if (conn->fd >= 0)
    {
      TALLOC_FREE (conn->event);
      close (conn->fd);
    }
  g_hash_table_destroy (conn->pending);
  g_byte_array_unref (conn->in);
  g_byte_array_unref (conn->out);
  return 0;
}

static void
on_event (struct tevent_context *ev,
          struct tevent_fd *event,
          uint16_t flags,
          void *arg)
{
  HsConn *conn = arg;

  (void) ev;
  (void) event;
  if (conn->state == HS_CONN_CONNECTING)
    {
      on_connected (conn);
      return;
    }
  if (flags & TEVENT_FD_WRITE)
    write_out (conn);
  if (conn->state != HS_CONN_CLOSED && (flags & TEVENT_FD_READ))
    on_readable (conn);
}

static void
on_flush (struct tevent_context *ev,
          struct tevent_immediate *immediate,
          void *arg)
{
  HsConn *conn = arg;

  (void) ev;
  (void) immediate;
  conn->flush_scheduled = false;
  if (conn->state != HS_CONN_CLOSED)
    write_out (conn);
}

static void
on_end (struct tevent_context *ev,
        struct tevent_immediate *immediate,
        void *arg)
{
  (void) ev;
  (void) immediate;
  talloc_free (arg);
}

static void
on_end_failed_dial (struct tevent_context *ev,
                    struct tevent_immediate *immediate,
                    void *arg)
{
  (void) ev;
  (void) immediate;
  hs_conn_close (arg);
}

static void
on_connected (HsConn *conn)
{
  int failure = 0;
  socklen_t len = sizeof failure;

  getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &failure, &len);
  if (failure != 0)
    {
      conn->refused = failure == ECONNREFUSED;
      hs_conn_close (conn);
      return;
    }
  conn->state = HS_CONN_GREETING;
  tevent_fd_set_flags (conn->event, TEVENT_FD_READ);
  if (!hs_conn_send_hello (conn))
    hs_conn_close (conn);
}

static void
on_readable (HsConn *conn)
{
  guint chunk = conn->state == HS_CONN_UP ? READ_CHUNK : GREETING_READ_CHUNK;
  guint before = conn->in->len;
  ssize_t n;

  g_byte_array_set_size (conn->in, before + chunk);
  n = read (conn->fd, conn->in->data + before, chunk);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    {
      g_byte_array_set_size (conn->in, before);
      return;
    }
  if (n <= 0)
    {
      hs_conn_close (conn);
      return;
    }
  g_byte_array_set_size (conn->in, before + (guint) n);
  conn->rpc->stats.bytes_received += (uint64_t) n;
  take_records (conn);
}

static void
take_records (HsConn *conn)
{
  size_t at = 0;

  while (conn->state != HS_CONN_CLOSED)
    {
      uint8_t *data = conn->in->data + at;
      size_t length = 0;
      int whole = hs_record_length (data, conn->in->len - at, &length);
      bool acceptable = is_acceptable (conn, whole, length);

      if (acceptable && whole == 0)
        break;
      if (!acceptable
          || !take_record (conn, data + HS_RECORD_MARK_SIZE, length))
        {
          conn->rpc->stats.refused_records++;
          hs_warn (PART, "record refused; check the cluster key of the peer");
          hs_conn_close (conn);
          return;
        }
      at += HS_RECORD_MARK_SIZE + length;
    }
  if (at > 0 && conn->state != HS_CONN_CLOSED)
    g_byte_array_remove_range (conn->in, 0, (guint) at);
}

/* The length is 0 until the mark is there. */
static bool
is_acceptable (const HsConn *conn, int whole, size_t length)
{
  return whole >= 0
         && (conn->state == HS_CONN_UP || length <= GREETING_RECORD_MAX);
}

static bool
take_record (HsConn *conn, uint8_t *record, size_t n)
{
  HsRecordHead head;

  if (!hs_record_open (record, n, &conn->receiving, &head))
    return false;
  if (conn->state == HS_CONN_PROVING)
    hs_conn_become_up (conn);
  if (conn->state == HS_CONN_CLOSED)
    return true;
  if (head.is_reply)
    return hs_conn_take_reply (conn, &head, record + head.body_at,
                               n - head.body_at);
  return take_call (conn, &head, record + head.body_at, n - head.body_at);
}

static bool
take_call (HsConn *conn,
           const HsRecordHead *head,
           const uint8_t *body,
           size_t n)
{
  const HsProc *proc = hs_proc (head->proc);
  bool ok = true;
  void *args;

  if ((head->proc == HSX_HELLO) != (conn->state == HS_CONN_GREETING)
      || (head->proc == HSX_HELLO && conn->dialled))
    return false;
  conn->rpc->stats.received_by_proc[head->proc]++;
  args = talloc_zero_size (conn, proc->args_size);
  if (!hs_record_decode (body, n, proc->args, args))
    {
      talloc_free (args);
      return false;
    }
  if (head->proc == HSX_HELLO)
    ok = hs_conn_take_hello (conn, head->xid, args);
  else if (head->proc != HSX_NULL && conn->rpc->handler.call != NULL)
    conn->rpc->handler.call (conn->rpc->arg, conn, head->proc,
                             proc->result != NULL ? head->xid : 0, args);
  xdr_free (proc->args, args);
  talloc_free (args);
  return ok;
}

static void
write_out (HsConn *conn)
{
  while (conn->out_at < conn->out->len)
    {
      ssize_t n = send (conn->fd, conn->out->data + conn->out_at,
                        conn->out->len - conn->out_at, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        {
          tevent_fd_set_flags (conn->event, TEVENT_FD_READ | TEVENT_FD_WRITE);
          return;
        }
      if (n < 0)
        {
          hs_conn_close (conn);
          return;
        }
      conn->out_at += (size_t) n;
    }
  g_byte_array_set_size (conn->out, 0);
  conn->out_at = 0;
  tevent_fd_set_flags (conn->event, TEVENT_FD_READ);
  if (conn->close_when_flushed)
    hs_conn_close (conn);
}
