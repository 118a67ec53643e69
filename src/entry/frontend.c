#include "entry/frontend.h"

#include <string.h>
#include <unistd.h>

#include <sys/resource.h>

#include "base/error.h"
#include "base/socket.h"
#include "entry/frontend_private.h"

#define PART "frontend"

/** Bound on connections that wait to be accepted. */
#define LISTEN_BACKLOG 1024
/** A connection without traffic for this long is closed. */
#define INACTIVITY_TIMEOUT_S 30U
/** Time limit for the headers, and then for the body, of a request. */
#define RECEIVE_TIMEOUT (60 * HS_SEC)

static size_t descriptor_limit (void);
static bool open_listener (HsFrontend *frontend, GError **error);
static bool
prepare_thread (HsFrontend *frontend, uint32_t index, GError **error);
static bool start_server (HsFrontendThread *thread, GError **error);
static void *run_thread (void *arg);
static void on_answer (void *arg, struct cds_wfcq_node *node);
static size_t
keep_escaped (void *arg, struct MHD_Connection *connection, char *text);

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
  frontend->limits = hs_entry_memory_divide (settings, descriptor_limit ());
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
      else
        TALLOC_FREE (thread->mhd);
      talloc_free (thread);
    }
  if (frontend->listen_fd >= 0)
    close (frontend->listen_fd);
  talloc_free (frontend);
}

static size_t
descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return 0;
  return (size_t) MIN (limit.rlim_cur, UINT32_MAX);
}

/** Sockets of a thread: its connections, and its part of those that wait. */
static size_t
thread_sockets (const HsFrontend *frontend)
{
  return frontend->limits.connections + LISTEN_BACKLOG / frontend->n_threads;
}

/** Opens one socket for all threads, so that idle threads accept the
 *  connections. */
static bool
open_listener (HsFrontend *frontend, GError **error)
{
  frontend->listen_fd = hs_socket_listen (
      frontend->settings->http_listen, LISTEN_BACKLOG,
      hs_body_receive_bytes (frontend->limits.bytes, thread_sockets (frontend)),
      &frontend->port, error);
  if (frontend->listen_fd < 0)
    g_prefix_error (error, "http_listen ");
  return frontend->listen_fd >= 0;
}

/** Sets up a thread's event loop and server. Once the thread runs, no other
 *  thread uses them. */
static bool
prepare_thread (HsFrontend *frontend, uint32_t index, GError **error)
{
  HsFrontendThread *thread = talloc_zero (NULL, HsFrontendThread);

  frontend->threads[index] = thread;
  thread->frontend = frontend;
  thread->ev = tevent_context_init (thread);
  thread->answers = hs_queue_new (thread, thread->ev, on_answer, thread, error);
  return thread->answers != NULL && start_server (thread, error);
}

static bool
start_server (HsFrontendThread *thread, GError **error)
{
  const HsFrontend *frontend = thread->frontend;
  const HsEntrySettings *settings = frontend->settings;
  HsMhdOptions options = { .listen = settings->http_listen,
                           .listen_fd = frontend->listen_fd,
                           .handle = hs_frontend_handle_request,
                           .completed = hs_frontend_request_completed,
                           .arg = thread,
                           .max_connections = frontend->limits.connections,
                           .idle_timeout_s = INACTIVITY_TIMEOUT_S,
                           .pool_bytes = HS_ENTRY_POOL_BYTES,
                           .receive_timeout = RECEIVE_TIMEOUT,
                           .unescape = keep_escaped,
                           .strict = true,
                           .log_part = PART };

  thread->budget = hs_body_budget_new (thread, frontend->limits.bytes,
                                       thread_sockets (frontend));
  options.budget = thread->budget;
  thread->mhd = hs_mhd_new (thread, thread->ev, &options, error);
  if (thread->mhd == NULL)
    g_prefix_error (error, "http_listen ");
  return thread->mhd != NULL;
}

/** Answers requests that the core still holds: MHD cannot stop while
 *  connections are suspended. */
static void
abandon_requests_in_core (HsFrontendThread *thread)
{
  HsFrontendRequest *request;
  bool resumed = false;
  uint32_t i;

  for (i = 0; i < thread->n_slots; i++)
    {
      request = thread->slots[i].request;
      if (request == NULL || request->state != HS_REQUEST_IN_CORE)
        continue;
      request->state = HS_REQUEST_ABANDONED;
      hs_mhd_resume (thread->mhd, request->connection);
      resumed = true;
    }
  if (resumed)
    tevent_loop_once (thread->ev);
}

static void *
run_thread (void *arg)
{
  HsFrontendThread *thread = arg;

  rcu_register_thread ();
  while (!atomic_load (&thread->frontend->stopping))
    tevent_loop_once (thread->ev);
  abandon_requests_in_core (thread);
  TALLOC_FREE (thread->mhd);
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
        {
          thread->quiesced = true;
          hs_mhd_stop_accepting (thread->mhd);
        }
      return;
    }
  job = caa_container_of (node, HsJobRequest, node);
  request = hs_frontend_table_find (thread, job);
  if (request == NULL || request->state != HS_REQUEST_IN_CORE)
    {
      hs_frontend_free_job_request (thread, job);
      return;
    }
  request->job = job;
  request->state = HS_REQUEST_ANSWERED;
  hs_mhd_resume (thread->mhd, request->connection);
}

/** Keeps MHD from unescaping paths: hs_frontend_handle_request() unescapes each
 *  segment, so that it can refuse %2F and %00. */
static size_t
keep_escaped (void *arg, struct MHD_Connection *connection, char *text)
{
  (void) arg;
  (void) connection;
  return strlen (text);
}
