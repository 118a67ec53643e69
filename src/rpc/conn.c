#include "rpc/conn.h"

#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "rpc/conn_private.h"

#define PART "rpc"

/** The kernel ends a connection with unacknowledged bytes older than this. */
#define UNACKED_TIMEOUT_MS 2500

/** Idle time before the first keepalive probe, and between probes. */
#define KEEPALIVE_IDLE_S 1
/** Idle time of HS_CONN_KEEPALIVE_LONG. Longer than the age at which an agent
 *  refreshes idle credits, so that connections in use are never probed. */
#define KEEPALIVE_LONG_IDLE_S 150
#define KEEPALIVE_PROBES 2

#define READ_CHUNK (256 * 1024)

/** Largest record, and most bytes read at once, until the peer has proved that
 *  it knows the key; HELLO fits. */
#define HANDSHAKE_RECORD_MAX 512
#define HANDSHAKE_READ_CHUNK 1024

/** Shortest time between two lines about rejected records. */
#define REJECTED_REPORT_INTERVAL (1 * HS_SEC)

static void set_socket_options (int fd);
static int conn_destructor (HsConn *conn);
static void on_event (struct tevent_context *ev,
                      struct tevent_fd *event,
                      uint16_t flags,
                      void *arg);
static void on_flush (struct tevent_context *ev,
                      struct tevent_immediate *immediate,
                      void *arg);
static void on_free (struct tevent_context *ev,
                     struct tevent_immediate *immediate,
                     void *arg);
static void on_failed_dial (struct tevent_context *ev,
                            struct tevent_immediate *immediate,
                            void *arg);
static void on_connected (HsConn *conn);
static void on_readable (HsConn *conn);
static void process_records (HsConn *conn);
static void report_rejected (HsRpc *rpc, HsTime now);
static bool
is_acceptable (const HsConn *conn, int length_status, size_t length);
static bool process_record (HsConn *conn, uint8_t *record, size_t n);
static bool process_call (HsConn *conn,
                          const HsRecordHeader *header,
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
  conn->state = dialled ? HS_CONN_CONNECTING : HS_CONN_HANDSHAKE;
  conn->in_buffer = g_byte_array_new ();
  conn->out_buffer = g_byte_array_new ();
  conn->pending_calls = g_hash_table_new (NULL, NULL);
  conn->next_xid = 1;
  conn->flush_event = tevent_create_immediate (conn);
  conn->free_event = tevent_create_immediate (conn);
  talloc_set_destructor (conn, conn_destructor);
  set_socket_options (fd);
  hs_conn_set_keepalive (conn, HS_CONN_KEEPALIVE_SHORT);
  /* tevent drops a descriptor that is in error if it is monitored for writing
     only. */
  conn->event = tevent_add_fd (rpc->ev, conn, fd,
                               dialled ? TEVENT_FD_READ | TEVENT_FD_WRITE
                                       : TEVENT_FD_READ,
                               on_event, conn);
  hs_conn_begin_handshake (conn);
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
  conn->in_buffer = g_byte_array_new ();
  conn->out_buffer = g_byte_array_new ();
  conn->pending_calls = g_hash_table_new (NULL, NULL);
  conn->free_event = tevent_create_immediate (conn);
  talloc_set_destructor (conn, conn_destructor);
  tevent_schedule_immediate (conn->free_event, rpc->ev, on_failed_dial, conn);
  return conn;
}

const hsx_hello *
hs_conn_peer (const HsConn *conn)
{
  return conn->state == HS_CONN_ESTABLISHED ? &conn->peer : NULL;
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
hs_conn_set_keepalive (HsConn *conn, HsConnKeepalive keepalive)
{
  int idle = keepalive == HS_CONN_KEEPALIVE_SHORT ? KEEPALIVE_IDLE_S
                                                  : KEEPALIVE_LONG_IDLE_S;

  setsockopt (conn->fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
}

void
hs_conn_close (HsConn *conn)
{
  if (conn->state == HS_CONN_CLOSED)
    return;
  conn->state = HS_CONN_CLOSED;
  hs_handshakes_remove (conn->rpc, &conn->handshake);
  TALLOC_FREE (conn->event);
  TALLOC_FREE (conn->handshake_timer);
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  hs_conn_fail_pending (conn);
  if (conn->rpc->handler.disconnected != NULL)
    conn->rpc->handler.disconnected (conn->rpc->arg, conn, conn->refused);
  tevent_schedule_immediate (conn->free_event, conn->rpc->ev, on_free, conn);
}

void
hs_conn_close_when_flushed (HsConn *conn)
{
  conn->close_when_flushed = true;
  hs_conn_schedule_flush (conn);
}

size_t
hs_conn_unsent_bytes (const HsConn *conn)
{
  return conn->out_buffer->len - conn->out_written;
}

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  if (conn->state != HS_CONN_ESTABLISHED)
    return false;
  return hs_conn_send_call (conn, proc, args, timeout, done, arg);
}

bool
hs_conn_reply (HsConn *conn,
               HsRpcCallId call,
               uint32_t proc,
               const void *result)
{
  guint before = conn->out_buffer->len;

  if (conn->state == HS_CONN_CLOSED)
    return false;
  if (!hs_record_append_reply (conn->out_buffer, &conn->send_channel, call,
                               proc, result)
      && !hs_record_append_reply (conn->out_buffer, &conn->send_channel, call,
                                  proc, NULL))
    return false;
  conn->rpc->stats.bytes_sent += conn->out_buffer->len - before;
  hs_conn_schedule_flush (conn);
  return true;
}

void
hs_conn_schedule_flush (HsConn *conn)
{
  if (conn->flush_scheduled || conn->state == HS_CONN_CLOSED)
    return;
  conn->flush_scheduled = true;
  tevent_schedule_immediate (conn->flush_event, conn->rpc->ev, on_flush, conn);
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
  g_hash_table_destroy (conn->pending_calls);
  g_byte_array_unref (conn->in_buffer);
  g_byte_array_unref (conn->out_buffer);
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
on_free (struct tevent_context *ev,
         struct tevent_immediate *immediate,
         void *arg)
{
  (void) ev;
  (void) immediate;
  talloc_free (arg);
}

static void
on_failed_dial (struct tevent_context *ev,
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
  conn->state = HS_CONN_HANDSHAKE;
  tevent_fd_set_flags (conn->event, TEVENT_FD_READ);
  if (!hs_conn_send_hello (conn))
    hs_conn_close (conn);
}

static void
on_readable (HsConn *conn)
{
  guint chunk
      = conn->state == HS_CONN_ESTABLISHED ? READ_CHUNK : HANDSHAKE_READ_CHUNK;
  guint before = conn->in_buffer->len;
  ssize_t n;

  g_byte_array_set_size (conn->in_buffer, before + chunk);
  n = read (conn->fd, conn->in_buffer->data + before, chunk);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    {
      g_byte_array_set_size (conn->in_buffer, before);
      return;
    }
  if (n <= 0)
    {
      hs_conn_close (conn);
      return;
    }
  g_byte_array_set_size (conn->in_buffer, before + (guint) n);
  conn->rpc->stats.bytes_received += (uint64_t) n;
  process_records (conn);
}

static void
process_records (HsConn *conn)
{
  size_t offset = 0;

  while (conn->state != HS_CONN_CLOSED)
    {
      uint8_t *data = conn->in_buffer->data + offset;
      size_t length = 0;
      int length_status
          = hs_record_length (data, conn->in_buffer->len - offset, &length);
      bool acceptable = is_acceptable (conn, length_status, length);

      if (acceptable && length_status == 0)
        break;
      if (!acceptable
          || !process_record (conn, data + HS_RECORD_MARK_SIZE, length))
        {
          conn->rpc->stats.rejected_records++;
          report_rejected (conn->rpc, hs_now ().mono);
          hs_conn_close (conn);
          return;
        }
      offset += HS_RECORD_MARK_SIZE + length;
    }
  if (offset > 0 && conn->state != HS_CONN_CLOSED)
    g_byte_array_remove_range (conn->in_buffer, 0, (guint) offset);
}

/* Anyone may connect and send junk. */
static void
report_rejected (HsRpc *rpc, HsTime now)
{
  if (rpc->rejected_reported > 0
      && now - rpc->rejected_reported_at < REJECTED_REPORT_INTERVAL)
    return;
  hs_warn (PART,
           "%" PRIu64 " records rejected; check the cluster key of the peers",
           rpc->stats.rejected_records - rpc->rejected_reported);
  rpc->rejected_reported = rpc->stats.rejected_records;
  rpc->rejected_reported_at = now;
}

/* The length is 0 until the whole record mark has been received. */
static bool
is_acceptable (const HsConn *conn, int length_status, size_t length)
{
  return length_status >= 0
         && (conn->state == HS_CONN_ESTABLISHED
             || length <= HANDSHAKE_RECORD_MAX);
}

static bool
process_record (HsConn *conn, uint8_t *record, size_t n)
{
  HsRecordHeader header;

  if (!hs_record_verify (record, n, &conn->receive_channel, &header))
    return false;
  if (conn->state == HS_CONN_UNCONFIRMED)
    hs_conn_establish (conn);
  if (conn->state == HS_CONN_CLOSED)
    return true;
  if (header.is_reply)
    return hs_conn_handle_reply (conn, &header, record + header.body_offset,
                                 n - header.body_offset);
  return process_call (conn, &header, record + header.body_offset,
                       n - header.body_offset);
}

static bool
process_call (HsConn *conn,
              const HsRecordHeader *header,
              const uint8_t *body,
              size_t n)
{
  const HsProc *proc = hs_proc (header->proc);
  bool ok = true;
  void *args;

  if ((header->proc == HSX_HELLO) != (conn->state == HS_CONN_HANDSHAKE)
      || (header->proc == HSX_HELLO && conn->dialled))
    return false;
  conn->rpc->stats.received_by_proc[header->proc]++;
  args = talloc_zero_size (conn, proc->args_size);
  if (!hs_record_decode (body, n, proc->args, args))
    {
      talloc_free (args);
      return false;
    }
  if (header->proc == HSX_HELLO)
    ok = hs_conn_handle_hello (conn, header->xid, args);
  else if (header->proc != HSX_NULL && conn->rpc->handler.call != NULL)
    conn->rpc->handler.call (conn->rpc->arg, conn, header->proc,
                             proc->result != NULL ? header->xid : 0, args);
  xdr_free (proc->args, args);
  talloc_free (args);
  return ok;
}

static void
write_out (HsConn *conn)
{
  while (conn->out_written < conn->out_buffer->len)
    {
      ssize_t n
          = send (conn->fd, conn->out_buffer->data + conn->out_written,
                  conn->out_buffer->len - conn->out_written, MSG_NOSIGNAL);

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
      conn->out_written += (size_t) n;
    }
  g_byte_array_set_size (conn->out_buffer, 0);
  conn->out_written = 0;
  tevent_fd_set_flags (conn->event, TEVENT_FD_READ);
  if (conn->close_when_flushed)
    hs_conn_close (conn);
}
