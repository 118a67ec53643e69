#include "entry/frontend.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include "base/address.h"
#include "base/error.h"
#include "entry/frontend_private.h"

/** Bound on connections that wait to be accepted. */
#define LISTEN_BACKLOG 1024
/** A connection without traffic for this long is closed. */
#define INACTIVITY_TIMEOUT_S 30U
/** Time limit for the headers, and then for the body, of a request. */
#define RECEIVE_TIMEOUT (60 * HS_SEC)
/** The same while the thread is at its connection limit. */
#define RECEIVE_TIMEOUT_FULL (2 * HS_SEC)
/** Interval of the check for connections over the limit. */
#define TIMEOUT_CHECK_INTERVAL_S 1
/** Memory of MHD for each connection; limits the size of the headers. */
#define CONNECTION_MEMORY_BYTES ((size_t) 32 * 1024)

static bool open_listener (HsFrontend *frontend, GError **error);
static bool
prepare_thread (HsFrontend *frontend, uint32_t index, GError **error);
static bool start_daemon (HsFrontendThread *thread, GError **error);
static void *run_thread (void *arg);
static void on_answer (void *arg, struct cds_wfcq_node *node);
static void run_daemon (HsFrontendThread *thread);
static void on_readable (struct tevent_context *ev,
                         struct tevent_fd *fde,
                         uint16_t flags,
                         void *arg);
static void on_rerun (struct tevent_context *ev,
                      struct tevent_immediate *immediate,
                      void *arg);
static void on_timeout_check (struct tevent_context *ev,
                              struct tevent_timer *timer,
                              struct timeval now,
                              void *arg);
static bool peer_has_closed (const HsFrontendConn *conn);
static void on_connection (void *cls,
                           struct MHD_Connection *connection,
                           void **context,
                           enum MHD_ConnectionNotificationCode code);
static size_t
keep_escaped (void *cls, struct MHD_Connection *connection, char *text);

HsFrontend *
hs_frontend_new (TALLOC_CTX *ctx,
                 const HsEntrySettings *settings,
                 HsPublishedLists *lists,
                 HsFrontendSubmitFunc submit,
                 void *arg,
                 GError **error)
{
  HsFrontend *frontend = talloc_zero (ctx, HsFrontend);
  uint32_t i;

  frontend->settings = settings;
  frontend->lists = lists;
  frontend->submit = submit;
  frontend->arg = arg;
  frontend->listen_fd = -1;
  frontend->n_threads = settings->threads;
  frontend->threads
      = talloc_zero_array (frontend, HsFrontendThread *, frontend->n_threads);
  if (!open_listener (frontend, error))
    goto fail;
  for (i = 0; i < frontend->n_threads; i++)
    if (!prepare_thread (frontend, i, error))
      goto fail;
  for (i = 0; i < frontend->n_threads; i++)
    {
      int code = pthread_create (&frontend->threads[i]->pthread, NULL,
                                 run_thread, frontend->threads[i]);

      if (code != 0)
        {
          g_set_error (error, HS_ERROR, HS_ERROR_IO,
                       "cannot create HTTP thread: %s; lower \"threads\"",
                       g_strerror (code));
          goto fail;
        }
      frontend->threads[i]->started = true;
    }
  return frontend;

fail:
  hs_frontend_free (frontend);
  return NULL;
}

uint16_t
hs_frontend_port (const HsFrontend *frontend)
{
  return frontend->port;
}

void
hs_frontend_post_answer (HsJobRequest *job)
{
  hs_queue_push (job->thread->answers, &job->node);
}

void
hs_frontend_drain (HsFrontend *frontend)
{
  uint32_t i;

  atomic_store (&frontend->draining, true);
  for (i = 0; i < frontend->n_threads; i++)
    hs_queue_wake (frontend->threads[i]->answers);
  if (frontend->listen_fd >= 0)
    close (frontend->listen_fd);
  frontend->listen_fd = -1;
}

bool
hs_frontend_is_idle (const HsFrontend *frontend)
{
  return atomic_load (&frontend->requests_in_flight) == 0;
}

void
hs_frontend_response_counts (const HsFrontend *frontend, uint64_t n[6])
{
  uint32_t thread;
  int i;

  for (i = 0; i < 6; i++)
    for (n[i] = 0, thread = 0; thread < frontend->n_threads; thread++)
      n[i] += atomic_load_explicit (
          &frontend->threads[thread]->response_counts[i], memory_order_relaxed);
}

void
hs_frontend_free (HsFrontend *frontend)
{
  HsFrontendThread *thread;
  uint32_t i;

  atomic_store (&frontend->stopping, true);
  for (i = 0; i < frontend->n_threads; i++)
    {
      thread = frontend->threads[i];
      if (thread == NULL)
        continue;
      if (thread->started)
        {
          hs_queue_wake (thread->answers);
          pthread_join (thread->pthread, NULL);
        }
      else if (thread->daemon != NULL)
        MHD_stop_daemon (thread->daemon);
      talloc_free (thread);
    }
  if (frontend->listen_fd >= 0)
    close (frontend->listen_fd);
  talloc_free (frontend);
}

static bool
set_io_error (GError **error, const char *what, const char *address)
{
  g_set_error (error, HS_ERROR, HS_ERROR_IO,
               "http_listen %s: %s: %s; choose a free address of this host",
               address, what, g_strerror (errno));
  return false;
}

/** Opens one socket for all threads, so that idle threads accept the
 *  connections. */
static bool
open_listener (HsFrontend *frontend, GError **error)
{
  const char *text = frontend->settings->http_listen;
  struct sockaddr_storage address;
  socklen_t len;
  int yes = 1;
  int fd;

  if (!hs_address_parse (text, &address, &len))
    {
      errno = EINVAL;
      return set_io_error (error, "address", text);
    }
  fd = socket (address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd < 0)
    return set_io_error (error, "socket", text);
  frontend->listen_fd = fd;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *) &address, len) != 0)
    return set_io_error (error, "bind", text);
  if (listen (fd, LISTEN_BACKLOG) != 0)
    return set_io_error (error, "listen", text);
  len = sizeof address;
  if (getsockname (fd, (struct sockaddr *) &address, &len) != 0)
    return set_io_error (error, "getsockname", text);
  frontend->port = (uint16_t) hs_address_port (&address);
  return true;
}

/** Sets up a thread's event loop and server. Once the thread runs, no other
 *  thread uses them. */
static bool
prepare_thread (HsFrontend *frontend, uint32_t index, GError **error)
{
  HsFrontendThread *thread = talloc_zero (NULL, HsFrontendThread);
  const union MHD_DaemonInfo *info;

  frontend->threads[index] = thread;
  thread->frontend = frontend;
  thread->ev = tevent_context_init (thread);
  thread->rerun = tevent_create_immediate (thread);
  thread->answers = hs_queue_new (thread, thread->ev, on_answer, thread, error);
  if (thread->answers == NULL || !start_daemon (thread, error))
    return false;
  info = MHD_get_daemon_info (thread->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  tevent_add_fd (thread->ev, thread, info->epoll_fd, TEVENT_FD_READ,
                 on_readable, thread);
  tevent_add_timer (thread->ev, thread,
                    tevent_timeval_current_ofs (TIMEOUT_CHECK_INTERVAL_S, 0),
                    on_timeout_check, thread);
  return true;
}

static bool
start_daemon (HsFrontendThread *thread, GError **error)
{
  const HsFrontend *frontend = thread->frontend;
  const HsEntrySettings *settings = frontend->settings;
  int fd = dup (frontend->listen_fd);

  if (fd < 0)
    return set_io_error (error, "dup", settings->http_listen);
  thread->max_conns = MAX (1, settings->max_connections / frontend->n_threads);
  thread->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      hs_frontend_handle_request, thread, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_CONNECTION_LIMIT, thread->max_conns,
      MHD_OPTION_CONNECTION_TIMEOUT, INACTIVITY_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
      MHD_OPTION_NOTIFY_COMPLETED, hs_frontend_request_completed, thread,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, thread,
      MHD_OPTION_UNESCAPE_CALLBACK, keep_escaped, NULL,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (thread->daemon != NULL)
    return true;
  close (fd);
  g_set_error (error, HS_ERROR, HS_ERROR_IO,
               "http_listen %s: cannot start the HTTP server; "
               "raise the limit on open files",
               settings->http_listen);
  return false;
}

/** Accepts the connections that are established already, then closes the
 *  listening socket. */
static void
stop_accepting (HsFrontendThread *thread)
{
  MHD_socket fd;

  thread->quiesced = true;
  run_daemon (thread);
  fd = MHD_quiesce_daemon (thread->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

/** Answers requests that the core still holds: MHD cannot stop while
 *  connections are suspended. */
static void
abandon_requests_in_core (HsFrontendThread *thread)
{
  HsFrontendRequest *request;
  uint32_t i;

  for (i = 0; i < thread->n_slots; i++)
    {
      request = thread->slots[i].request;
      if (request == NULL || request->state != HS_REQUEST_IN_CORE)
        continue;
      request->state = HS_REQUEST_ABANDONED;
      MHD_resume_connection (request->connection);
    }
  MHD_run (thread->daemon);
}

static void *
run_thread (void *arg)
{
  HsFrontendThread *thread = arg;

  rcu_register_thread ();
  while (!atomic_load (&thread->frontend->stopping))
    tevent_loop_once (thread->ev);
  abandon_requests_in_core (thread);
  MHD_stop_daemon (thread->daemon);
  rcu_unregister_thread ();
  return NULL;
}

static void
on_answer (void *arg, struct cds_wfcq_node *node)
{
  HsFrontendThread *thread = arg;
  HsJobRequest *job;
  HsFrontendRequest *request;

  if (node == NULL)
    {
      if (!thread->quiesced && atomic_load (&thread->frontend->draining))
        stop_accepting (thread);
      run_daemon (thread);
      return;
    }
  job = caa_container_of (node, HsJobRequest, node);
  request = hs_frontend_table_find (thread, job);
  if (request == NULL || request->state != HS_REQUEST_IN_CORE)
    {
      talloc_free (job);
      return;
    }
  request->job = job;
  request->state = HS_REQUEST_ANSWERED;
  MHD_resume_connection (request->connection);
}

static void
run_daemon (HsFrontendThread *thread)
{
  MHD_UNSIGNED_LONG_LONG timeout;

  MHD_run (thread->daemon);
  if (MHD_get_timeout (thread->daemon, &timeout) == MHD_YES && timeout == 0)
    tevent_schedule_immediate (thread->rerun, thread->ev, on_rerun, thread);
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
on_rerun (struct tevent_context *ev,
          struct tevent_immediate *immediate,
          void *arg)
{
  (void) ev;
  (void) immediate;
  run_daemon (arg);
}

static void
on_timeout_check (struct tevent_context *ev,
                  struct tevent_timer *timer,
                  struct timeval now,
                  void *arg)
{
  HsFrontendThread *thread = arg;
  HsTime now_mono = hs_now ().mono;
  bool full = thread->n_conns >= thread->max_conns;
  HsTime timeout = full ? RECEIVE_TIMEOUT_FULL : RECEIVE_TIMEOUT;
  HsFrontendConn *conn;

  (void) timer;
  (void) now;
  for (conn = thread->conns; conn != NULL; conn = conn->next)
    if (conn->receiving
        && (now_mono - conn->receiving_since > timeout
            || peer_has_closed (conn)))
      shutdown (conn->fd, SHUT_RDWR);
  run_daemon (thread);
  tevent_add_timer (ev, thread,
                    tevent_timeval_current_ofs (TIMEOUT_CHECK_INTERVAL_S, 0),
                    on_timeout_check, thread);
}

/** Whether the caller has closed its side of the connection. MHD's epoll is
 *  edge-triggered and misses a close that arrives with the last bytes. */
static bool
peer_has_closed (const HsFrontendConn *conn)
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
  HsFrontendThread *thread = cls;
  HsFrontendConn *conn = *context;
  const union MHD_ConnectionInfo *info;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      info = MHD_get_connection_info (connection,
                                      MHD_CONNECTION_INFO_CONNECTION_FD);
      conn = talloc_zero (thread, HsFrontendConn);
      conn->fd = info->connect_fd;
      conn->receiving = true;
      conn->receiving_since = hs_now ().mono;
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
  /* MHD was at its connection limit: it accepts again only when it is run. */
  if (thread->n_conns-- == thread->max_conns)
    tevent_schedule_immediate (thread->rerun, thread->ev, on_rerun, thread);
}

/** Keeps MHD from unescaping paths: hs_frontend_handle_request() unescapes each
 *  segment, so that it can refuse %2F and %00. */
static size_t
keep_escaped (void *cls, struct MHD_Connection *connection, char *text)
{
  (void) cls;
  (void) connection;
  return strlen (text);
}
