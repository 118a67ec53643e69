#include "rpc/conn.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "rpc/internal.h"

#define PART "rpc"

/** Bound on connecting and on the exchange of HELLO. */
#define GREETING_TIMEOUT (2 * HS_SEC)

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

/* A call of ours that waits for its reply. */
typedef struct
{
  HsConn *conn;
  uint32_t xid;
  uint32_t proc;
  HsRpcDone done;
  void *arg;
  struct tevent_timer *timer;
} Pending;

struct HsConn
{
  HsRpc *rpc;
  int fd;
  bool dialled;
  bool refused;
  bool close_when_flushed;
  HsConnState state;
  struct tevent_fd *event;
  struct tevent_timer *greeting_timer;
  HsGreeting greeting; /* Accepted, and not up yet. */
  struct tevent_immediate *flush;
  struct tevent_immediate *end;
  bool flush_scheduled;
  GByteArray *in;
  GByteArray *out;
  size_t out_at; /* Bytes of `out` already written. */
  HsRecordChannel sending;
  HsRecordChannel receiving;
  char nonce[HSX_NONCE_SIZE];
  hsx_hello peer;
  char peer_address[HSX_ADDRESS_MAX + 1];
  char peer_data_centre[HSX_NAME_MAX + 1];
  uint32_t next_xid;
  GHashTable *pending; /* xid to Pending. */
  void *data;
};

static int conn_destructor (HsConn *conn);
static void on_event (struct tevent_context *ev,
                      struct tevent_fd *event,
                      uint16_t flags,
                      void *arg);
static void on_greeting_timeout (struct tevent_context *ev,
                                 struct tevent_timer *timer,
                                 struct timeval now,
                                 void *arg);
static void on_call_timeout (struct tevent_context *ev,
                             struct tevent_timer *timer,
                             struct timeval now,
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
static bool take_reply (HsConn *conn,
                        const HsRecordHead *head,
                        const uint8_t *body,
                        size_t n);
static bool
take_hello_call (HsConn *conn, uint32_t xid, const hsx_hello *hello);
static void hello_done (void *arg, HsRpcStatus status, const void *result);
static bool send_call (HsConn *conn,
                       uint32_t proc,
                       const void *args,
                       HsTime timeout,
                       HsRpcDone done,
                       void *arg);
static void become_up (HsConn *conn);
static void set_greeting_keys (HsConn *conn, const char *dialler_nonce);
static void set_session_keys (HsConn *conn);
static void remember_peer (HsConn *conn, const hsx_hello *hello);
static void schedule_flush (HsConn *conn);
static void write_out (HsConn *conn);
static void end_pending (HsConn *conn);

HsConn *
hs_conn_new (HsRpc *rpc, int fd, bool dialled)
{
  HsConn *conn = talloc_zero (rpc, HsConn);
  int one = 1;
  int unacked = UNACKED_TIMEOUT_MS;
  int interval = KEEPALIVE_IDLE_S;
  int probes = KEEPALIVE_PROBES;

  conn->rpc = rpc;
  conn->fd = fd;
  conn->dialled = dialled;
  conn->state = dialled ? HS_CONN_CONNECTING : HS_CONN_GREETING;
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->pending = g_hash_table_new (NULL, NULL);
  conn->next_xid = 1;
  if (!dialled)
    hs_greetings_add (rpc, &conn->greeting, conn);
  conn->flush = tevent_create_immediate (conn);
  conn->end = tevent_create_immediate (conn);
  talloc_set_destructor (conn, conn_destructor);
  if (getrandom (conn->nonce, sizeof conn->nonce, 0) != sizeof conn->nonce)
    hs_warn (PART, "no random bytes: %s", strerror (errno));
  set_greeting_keys (conn, NULL);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof unacked);
  hs_conn_watch (conn, HS_CONN_WATCH_CLOSE);
  /* tevent drops a descriptor in error that waits for writing only. */
  conn->event = tevent_add_fd (rpc->ev, conn, fd,
                               dialled ? TEVENT_FD_READ | TEVENT_FD_WRITE
                                       : TEVENT_FD_READ,
                               on_event, conn);
  conn->greeting_timer = tevent_add_timer (
      rpc->ev, conn, tevent_timeval_current_ofs (GREETING_TIMEOUT / HS_SEC, 0),
      on_greeting_timeout, conn);
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
  end_pending (conn);
  if (conn->rpc->handler.down != NULL)
    conn->rpc->handler.down (conn->rpc->arg, conn, conn->refused);
  tevent_schedule_immediate (conn->end, conn->rpc->ev, on_end, conn);
}

void
hs_conn_close_when_flushed (HsConn *conn)
{
  conn->close_when_flushed = true;
  schedule_flush (conn);
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
  return send_call (conn, proc, args, timeout, done, arg);
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
  schedule_flush (conn);
  return true;
}

static bool
send_call (HsConn *conn,
           uint32_t proc,
           const void *args,
           HsTime timeout,
           HsRpcDone done,
           void *arg)
{
  uint32_t xid = conn->next_xid;
  guint before = conn->out->len;
  Pending *pending;

  if (!hs_record_put_call (conn->out, &conn->sending, xid, proc, args))
    return false;
  conn->next_xid = conn->next_xid == UINT32_MAX ? 1 : conn->next_xid + 1;
  conn->rpc->stats.sent_by_proc[proc]++;
  conn->rpc->stats.bytes_sent += conn->out->len - before;
  schedule_flush (conn);
  if (hs_proc (proc)->result == NULL)
    return true;
  pending = talloc_zero (conn, Pending);
  pending->conn = conn;
  pending->xid = xid;
  pending->proc = proc;
  pending->done = done;
  pending->arg = arg;
  g_hash_table_insert (conn->pending, GUINT_TO_POINTER (xid), pending);
  if (timeout != HS_NEVER)
    pending->timer = tevent_add_timer (
        conn->rpc->ev, pending,
        tevent_timeval_current_ofs ((uint32_t) (timeout / HS_SEC),
                                    (uint32_t) (timeout % HS_SEC)),
        on_call_timeout, pending);
  return true;
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
on_greeting_timeout (struct tevent_context *ev,
                     struct tevent_timer *timer,
                     struct timeval now,
                     void *arg)
{
  HsConn *conn = arg;

  (void) ev;
  (void) timer;
  (void) now;
  conn->greeting_timer = NULL;
  hs_conn_close (conn);
}

static void
on_call_timeout (struct tevent_context *ev,
                 struct tevent_timer *timer,
                 struct timeval now,
                 void *arg)
{
  Pending *pending = arg;

  (void) ev;
  (void) timer;
  (void) now;
  g_hash_table_remove (pending->conn->pending, GUINT_TO_POINTER (pending->xid));
  pending->done (pending->arg, HS_RPC_TIMEOUT, NULL);
  talloc_free (pending);
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
  hsx_hello hello = conn->rpc->self;
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
  memcpy (hello.nonce, conn->nonce, sizeof hello.nonce);
  if (!send_call (conn, HSX_HELLO, &hello, HS_NEVER, hello_done, conn))
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
    become_up (conn);
  if (conn->state == HS_CONN_CLOSED)
    return true;
  if (head.is_reply)
    return take_reply (conn, &head, record + head.body_at, n - head.body_at);
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
    ok = take_hello_call (conn, head->xid, args);
  else if (head->proc != HSX_NULL && conn->rpc->handler.call != NULL)
    conn->rpc->handler.call (conn->rpc->arg, conn, head->proc,
                             proc->result != NULL ? head->xid : 0, args);
  xdr_free (proc->args, args);
  talloc_free (args);
  return ok;
}

static bool
take_reply (HsConn *conn,
            const HsRecordHead *head,
            const uint8_t *body,
            size_t n)
{
  Pending *pending
      = g_hash_table_lookup (conn->pending, GUINT_TO_POINTER (head->xid));
  const HsProc *proc;
  void *result;

  /* A reply after the timeout is late, not wrong; no call has number 0. */
  if (pending == NULL)
    return head->xid != 0 && head->xid < conn->next_xid;
  g_hash_table_remove (conn->pending, GUINT_TO_POINTER (head->xid));
  TALLOC_FREE (pending->timer);
  if (head->rejected)
    {
      pending->done (pending->arg, HS_RPC_REJECTED, NULL);
      talloc_free (pending);
      return true;
    }
  proc = hs_proc (pending->proc);
  result = talloc_zero_size (pending, proc->result_size);
  if (!hs_record_decode (body, n, proc->result, result))
    {
      pending->done (pending->arg, HS_RPC_BROKEN, NULL);
      talloc_free (pending);
      return false;
    }
  pending->done (pending->arg, HS_RPC_OK, result);
  xdr_free (proc->result, result);
  talloc_free (pending);
  return true;
}

static bool
take_hello_call (HsConn *conn, uint32_t xid, const hsx_hello *hello)
{
  hsx_hello reply = conn->rpc->self;

  remember_peer (conn, hello);
  /* The reply is bound to the dialler's nonce, so that it proves fresh
     knowledge of the key. */
  set_greeting_keys (conn, conn->peer.nonce);
  conn->sending.sequence = 0;
  memcpy (reply.nonce, conn->nonce, sizeof reply.nonce);
  if (!hs_record_put_reply (conn->out, &conn->sending, xid, HSX_HELLO, &reply))
    return false;
  set_session_keys (conn);
  /* HELLO may be a copy of another connection's: only a record under the
     session's key shows that its maker is at the other end. */
  conn->state = HS_CONN_PROVING;
  schedule_flush (conn);
  return true;
}

static void
hello_done (void *arg, HsRpcStatus status, const void *result)
{
  HsConn *conn = arg;

  if (status != HS_RPC_OK)
    return;
  remember_peer (conn, result);
  set_session_keys (conn);
  if (send_call (conn, HSX_NULL, NULL, HS_NEVER, NULL, NULL))
    become_up (conn);
}

static void
become_up (HsConn *conn)
{
  conn->state = HS_CONN_UP;
  TALLOC_FREE (conn->greeting_timer);
  hs_greetings_remove (conn->rpc, &conn->greeting);
  if (conn->rpc->handler.up != NULL)
    conn->rpc->handler.up (conn->rpc->arg, conn);
}

/* HELLO itself is sent under the cluster key; its reply under a key bound to
   the dialler's nonce. */
static void
set_greeting_keys (HsConn *conn, const char *dialler_nonce)
{
  HsRpc *rpc = conn->rpc;
  const char *nonce = conn->dialled ? conn->nonce : dialler_nonce;
  uint8_t call_key[HS_KEY_SIZE];
  uint8_t reply_key[HS_KEY_SIZE];

  hs_record_derive_key (rpc->key, rpc->key_len, "hello-call", NULL, 0, NULL, 0,
                        call_key);
  hs_record_derive_key (rpc->key, rpc->key_len, "hello-reply", nonce,
                        nonce != NULL ? HSX_NONCE_SIZE : 0, NULL, 0, reply_key);
  memcpy (conn->sending.key, conn->dialled ? call_key : reply_key, HS_KEY_SIZE);
  memcpy (conn->receiving.key, conn->dialled ? reply_key : call_key,
          HS_KEY_SIZE);
  conn->sending.direction = conn->dialled ? 'D' : 'L';
  conn->receiving.direction = conn->dialled ? 'L' : 'D';
}

/* Both nonces make the key of this connection alone, so that no record of
   another connection is accepted here. */
static void
set_session_keys (HsConn *conn)
{
  const char *dialler = conn->dialled ? conn->nonce : conn->peer.nonce;
  const char *listener = conn->dialled ? conn->peer.nonce : conn->nonce;

  hs_record_derive_key (conn->rpc->key, conn->rpc->key_len, "session", dialler,
                        HSX_NONCE_SIZE, listener, HSX_NONCE_SIZE,
                        conn->sending.key);
  memcpy (conn->receiving.key, conn->sending.key, HS_KEY_SIZE);
  conn->sending.sequence = 1;
  conn->receiving.sequence = 1;
}

static void
remember_peer (HsConn *conn, const hsx_hello *hello)
{
  conn->peer = *hello;
  g_strlcpy (conn->peer_address, hello->address, sizeof conn->peer_address);
  g_strlcpy (conn->peer_data_centre, hello->data_centre,
             sizeof conn->peer_data_centre);
  conn->peer.address = conn->peer_address;
  conn->peer.data_centre = conn->peer_data_centre;
}

static void
schedule_flush (HsConn *conn)
{
  if (conn->flush_scheduled || conn->state == HS_CONN_CLOSED)
    return;
  conn->flush_scheduled = true;
  tevent_schedule_immediate (conn->flush, conn->rpc->ev, on_flush, conn);
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

static void
end_pending (HsConn *conn)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, conn->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Pending *pending = value;

      g_hash_table_iter_remove (&iter);
      TALLOC_FREE (pending->timer);
      pending->done (pending->arg, HS_RPC_BROKEN, NULL);
      talloc_free (pending);
      /* The callback may have added nothing: calls need a live state. */
      g_hash_table_iter_init (&iter, conn->pending);
    }
}
