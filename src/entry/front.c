#include "entry/front.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include "base/address.h"
#include "base/error.h"
#include "entry/front_thread.h"

/** Connections waiting to be accepted. */
#define BACKLOG 1024
/** A connection that moves no byte for this long is closed. */
#define INACTIVITY_S 30U
/** Headers, and then the body, have to arrive within this span. */
#define READ_MAX (60 * HS_SEC)
/** The same while a thread has no room for another connection. */
#define READ_MAX_FULL (2 * HS_SEC)
/** How often slow connections are looked for. */
#define TICK_S 1
/** Per connection: bounds the headers. */
#define CONNECTION_MEMORY ((size_t) 32 * 1024)

static bool listen_on (HsFront *front, GError **error);
static bool prepare_thread (HsFront *front, uint32_t index, GError **error);
static bool start_daemon (HsFrontThread *thread, GError **error);
static void *run_thread (void *arg);
static void take_answer (void *arg, struct cds_wfcq_node *node);
static void run_daemon (HsFrontThread *thread);
static void on_readable (struct tevent_context *ev,
                         struct tevent_fd *fde,
                         uint16_t flags,
                         void *arg);
static void on_again (struct tevent_context *ev,
                      struct tevent_immediate *immediate,
                      void *arg);
static void on_tick (struct tevent_context *ev,
                     struct tevent_timer *timer,
                     struct timeval now,
                     void *arg);
static bool has_ended (const HsFrontConn *conn);
static void on_connection (void *cls,
                           struct MHD_Connection *connection,
                           void **context,
                           enum MHD_ConnectionNotificationCode code);
static size_t
leave_escaped (void *cls, struct MHD_Connection *connection, char *text);

HsFront *
hs_front_new (TALLOC_CTX *ctx,
              const HsEntrySettings *settings,
              HsPublishedLists *lists,
              HsFrontSubmit submit,
              void *arg,
              GError **error)
{
  HsFront *front = talloc_zero (ctx, HsFront);
  uint32_t i;

  front->settings = settings;
  front->lists = lists;
  front->submit = submit;
  front->arg = arg;
  front->listen_fd = -1;
  front->n_threads = settings->threads;
  front->threads = talloc_zero_array (front, HsFrontThread *, front->n_threads);
  if (!listen_on (front, error))
    goto fail;
  for (i = 0; i < front->n_threads; i++)
    if (!prepare_thread (front, i, error))
      goto fail;
  for (i = 0; i < front->n_threads; i++)
    {
      int code = pthread_create (&front->threads[i]->id, NULL, run_thread,
                                 front->threads[i]);

      if (code != 0)
        {
          g_set_error (error, HS_ERROR, HS_ERROR_IO,
                       "HTTP thread: %s; lower \"threads\"", g_strerror (code));
          goto fail;
        }
      front->threads[i]->started = true;
    }
  return front;

fail:
  hs_front_free (front);
  return NULL;
}

uint16_t
hs_front_port (const HsFront *front)
{
  return front->port;
}

void
hs_front_answer (HsFrontCall *call)
{
  hs_queue_push (call->thread->answers, &call->node);
}

void
hs_front_drain (HsFront *front)
{
  uint32_t i;

  atomic_store (&front->draining, true);
  for (i = 0; i < front->n_threads; i++)
    hs_queue_wake (front->threads[i]->answers);
  if (front->listen_fd >= 0)
    close (front->listen_fd);
  front->listen_fd = -1;
}

bool
hs_front_idle (const HsFront *front)
{
  return atomic_load (&front->in_flight) == 0;
}

void
hs_front_counts (const HsFront *front, uint64_t n[6])
{
  uint32_t thread;
  int i;

  for (i = 0; i < 6; i++)
    for (n[i] = 0, thread = 0; thread < front->n_threads; thread++)
      n[i] += atomic_load_explicit (&front->threads[thread]->counts[i],
                                    memory_order_relaxed);
}

void
hs_front_free (HsFront *front)
{
  HsFrontThread *thread;
  uint32_t i;

  atomic_store (&front->stopping, true);
  for (i = 0; i < front->n_threads; i++)
    {
      thread = front->threads[i];
      if (thread == NULL)
        continue;
      if (thread->started)
        {
          hs_queue_wake (thread->answers);
          pthread_join (thread->id, NULL);
        }
      else if (thread->daemon != NULL)
        MHD_stop_daemon (thread->daemon);
      talloc_free (thread);
    }
  if (front->listen_fd >= 0)
    close (front->listen_fd);
  talloc_free (front);
}

static bool
fail_io (GError **error, const char *what, const char *address)
{
  g_set_error (error, HS_ERROR, HS_ERROR_IO,
               "http_listen %s: %s: %s; choose a free address of this host",
               address, what, g_strerror (errno));
  return false;
}

/** All threads accept from one socket, so that the idle ones get the work. */
static bool
listen_on (HsFront *front, GError **error)
{
  const char *text = front->settings->http_listen;
  struct sockaddr_storage address;
  socklen_t len;
  int yes = 1;
  int fd;

  if (!hs_address_parse (text, &address, &len))
    {
      errno = EINVAL;
      return fail_io (error, "address", text);
    }
  fd = socket (address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd < 0)
    return fail_io (error, "socket", text);
  front->listen_fd = fd;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *) &address, len) != 0)
    return fail_io (error, "bind", text);
  if (listen (fd, BACKLOG) != 0)
    return fail_io (error, "listen", text);
  len = sizeof address;
  if (getsockname (fd, (struct sockaddr *) &address, &len) != 0)
    return fail_io (error, "getsockname", text);
  front->port = (uint16_t) hs_address_port (&address);
  return true;
}

/** Sets up a thread's loop; what it holds is touched by it alone later. */
static bool
prepare_thread (HsFront *front, uint32_t index, GError **error)
{
  HsFrontThread *thread = talloc_zero (NULL, HsFrontThread);
  const union MHD_DaemonInfo *info;

  front->threads[index] = thread;
  thread->front = front;
  thread->ev = tevent_context_init (thread);
  thread->again = tevent_create_immediate (thread);
  thread->answers
      = hs_queue_new (thread, thread->ev, take_answer, thread, error);
  if (thread->answers == NULL || !start_daemon (thread, error))
    return false;
  info = MHD_get_daemon_info (thread->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  tevent_add_fd (thread->ev, thread, info->epoll_fd, TEVENT_FD_READ,
                 on_readable, thread);
  tevent_add_timer (thread->ev, thread, tevent_timeval_current_ofs (TICK_S, 0),
                    on_tick, thread);
  return true;
}

static bool
start_daemon (HsFrontThread *thread, GError **error)
{
  const HsFront *front = thread->front;
  const HsEntrySettings *settings = front->settings;
  int fd = dup (front->listen_fd);

  if (fd < 0)
    return fail_io (error, "dup", settings->http_listen);
  thread->max_conns = MAX (1, settings->max_connections / front->n_threads);
  thread->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, hs_front_handle,
      thread, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      thread->max_conns, MHD_OPTION_CONNECTION_TIMEOUT, INACTIVITY_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY,
      MHD_OPTION_NOTIFY_COMPLETED, hs_front_completed, thread,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, thread,
      MHD_OPTION_UNESCAPE_CALLBACK, leave_escaped, NULL,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (thread->daemon != NULL)
    return true;
  close (fd);
  g_set_error (error, HS_ERROR, HS_ERROR_IO,
               "http_listen %s: the HTTP server can't start; "
               "raise the limit on open files",
               settings->http_listen);
  return false;
}

/** Accepts what has connected already, then closes the listening socket. */
static void
quiesce (HsFrontThread *thread)
{
  MHD_socket fd;

  thread->quiesced = true;
  run_daemon (thread);
  fd = MHD_quiesce_daemon (thread->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

/** Answers what still waits, since the server can't stop before. */
static void
abandon_waiting (HsFrontThread *thread)
{
  HsFrontRequest *request;
  uint32_t i;

  for (i = 0; i < thread->n_slots; i++)
    {
      request = thread->slots[i].request;
      if (request == NULL || request->state != HS_REQUEST_WAITING)
        continue;
      request->state = HS_REQUEST_ABANDONED;
      MHD_resume_connection (request->connection);
    }
  MHD_run (thread->daemon);
}

static void *
run_thread (void *arg)
{
  HsFrontThread *thread = arg;

  rcu_register_thread ();
  while (!atomic_load (&thread->front->stopping))
    tevent_loop_once (thread->ev);
  abandon_waiting (thread);
  MHD_stop_daemon (thread->daemon);
  rcu_unregister_thread ();
  return NULL;
}

static void
take_answer (void *arg, struct cds_wfcq_node *node)
{
  HsFrontThread *thread = arg;
  HsFrontCall *call;
  HsFrontRequest *request;

  if (node == NULL)
    {
      if (!thread->quiesced && atomic_load (&thread->front->draining))
        quiesce (thread);
      run_daemon (thread);
      return;
    }
  call = caa_container_of (node, HsFrontCall, node);
  request = hs_front_table_find (thread, call);
  if (request == NULL || request->state != HS_REQUEST_WAITING)
    {
      talloc_free (call);
      return;
    }
  request->call = call;
  request->state = HS_REQUEST_ANSWERED;
  MHD_resume_connection (request->connection);
}

static void
run_daemon (HsFrontThread *thread)
{
  MHD_UNSIGNED_LONG_LONG timeout;

  MHD_run (thread->daemon);
  if (MHD_get_timeout (thread->daemon, &timeout) == MHD_YES && timeout == 0)
    tevent_schedule_immediate (thread->again, thread->ev, on_again, thread);
}

static void
on_readable (struct tevent_context *ev,
             struct tevent_fd *fde,
             uint16_t flags,
             void *arg)
{
  (void) ev;
  (void) fde;
  (void) flags;
  run_daemon (arg);
}

static void
on_again (struct tevent_context *ev,
          struct tevent_immediate *immediate,
          void *arg)
{
  (void) ev;
  (void) immediate;
  run_daemon (arg);
}

static void
on_tick (struct tevent_context *ev,
         struct tevent_timer *timer,
         struct timeval now,
         void *arg)
{
  HsFrontThread *thread = arg;
  HsTime present = hs_now ().mono;
  bool full = thread->n_conns >= thread->max_conns;
  HsTime most = full ? READ_MAX_FULL : READ_MAX;
  HsFrontConn *conn;

  (void) timer;
  (void) now;
  for (conn = thread->conns; conn != NULL; conn = conn->next)
    if (conn->reading && (present - conn->since > most || has_ended (conn)))
      shutdown (conn->fd, SHUT_RDWR);
  run_daemon (thread);
  tevent_add_timer (ev, thread, tevent_timeval_current_ofs (TICK_S, 0), on_tick,
                    thread);
}

/** The caller sends no more. The server may miss this if it came together
 *  with the last bytes, since its epoll is edge-triggered. */
static bool
has_ended (const HsFrontConn *conn)
{
  char byte;

  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_connection (void *cls,
               struct MHD_Connection *connection,
               void **context,
               enum MHD_ConnectionNotificationCode code)
{
  HsFrontThread *thread = cls;
  HsFrontConn *conn = *context;
  const union MHD_ConnectionInfo *info;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      info = MHD_get_connection_info (connection,
                                      MHD_CONNECTION_INFO_CONNECTION_FD);
      conn = talloc_zero (thread, HsFrontConn);
      conn->fd = info->connect_fd;
      conn->reading = true;
      conn->since = hs_now ().mono;
      conn->next = thread->conns;
      if (conn->next != NULL)
        conn->next->prev = conn;
      thread->conns = conn;
      thread->n_conns++;
      *context = conn;
      return;
    }
  if (conn->prev != NULL)
    conn->prev->next = conn->next;
  else
    thread->conns = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  talloc_free (conn);
  /* The server accepts again only when it is run once more. */
  if (thread->n_conns-- == thread->max_conns)
    tevent_schedule_immediate (thread->again, thread->ev, on_again, thread);
}

/** Paths are unescaped part by part, so that %2F and %00 can be refused. */
static size_t
leave_escaped (void *cls, struct MHD_Connection *connection, char *text)
{
  (void) cls;
  (void) connection;
  return strlen (text);
}
