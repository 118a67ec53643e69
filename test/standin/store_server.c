#include "store_server.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "store_server_private.h"

/* Limit on the size of a request in bytes; values of the platform's store have
   up to 1 MB. */
#define REQUEST_MAX ((size_t) 4 * 1024 * 1024)

static int free_server (HsStoreServer *server);
static enum MHD_Result on_request (void *arg,
                                   struct MHD_Connection *connection,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *upload_data,
                                   size_t *upload_size,
                                   void **request_arg);
static void on_completed (void *arg,
                          struct MHD_Connection *connection,
                          void **request_arg,
                          enum MHD_RequestTerminationCode code);
static void on_epoll (struct tevent_context *ev,
                      struct tevent_fd *fde,
                      uint16_t flags,
                      void *arg);
static void on_store_changed (HsStoreServer *server);
static enum MHD_Result execute_call (HsStoreRequest *request,
                                     HsGatewayCall call);

static HsTime
monotonic_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * HS_SEC + ts.tv_nsec / 1000;
}

static struct timeval
delay_to_timeval (HsTime delay)
{
  return tevent_timeval_current_ofs (delay / HS_SEC, delay % HS_SEC);
}

HsStoreServer *
hs_store_server_new (TALLOC_CTX *ctx,
                     struct tevent_context *ev,
                     const char *ip,
                     uint16_t port)
{
  HsStoreServer *server = talloc_zero (ctx, HsStoreServer);
  struct sockaddr_in address = { .sin_family = AF_INET };
  const union MHD_DaemonInfo *info;

  address.sin_port = htons (port);
  if (inet_pton (AF_INET, ip, &address.sin_addr) == 1)
    server->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, server, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      talloc_free (server);
      return NULL;
    }
  server->ev = ev;
  server->kv = hs_kv_new (server);
  server->watches = g_ptr_array_new ();
  server->delayed = g_ptr_array_new ();
  server->port
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  tevent_add_fd (ev, server, info->epoll_fd, TEVENT_FD_READ, on_epoll, server);
  talloc_set_destructor (server, free_server);
  return server;
}

uint16_t
hs_store_server_port (const HsStoreServer *server)
{
  return server->port;
}

HsKv *
hs_store_server_kv (HsStoreServer *server)
{
  return server->kv;
}

HsStoreFaults *
hs_store_server_faults (HsStoreServer *server)
{
  return &server->faults;
}

uint64_t
hs_store_server_calls (const HsStoreServer *server, HsGatewayCall call)
{
  return server->calls[call];
}

unsigned int
hs_store_server_watch_count (const HsStoreServer *server)
{
  return server->watches->len;
}

void
hs_store_server_close_watches (HsStoreServer *server)
{
  unsigned int i;

  for (i = 0; i < server->watches->len; i++)
    {
      HsServerWatch *watch = server->watches->pdata[i];

      watch->closing = true;
      hs_store_server_resume_watch (watch);
    }
}

static void
resume_delayed (HsStoreRequest *request)
{
  TALLOC_FREE (request->timer);
  request->delayed = false;
  request->delay_passed = true;
  g_ptr_array_remove (request->server->delayed, request);
  MHD_resume_connection (request->connection);
  hs_store_server_schedule_run (request->server, 0);
}

static int
free_server (HsStoreServer *server)
{
  server->faults.down = true;
  hs_store_server_close_watches (server);
  while (server->delayed->len > 0)
    resume_delayed (server->delayed->pdata[0]);
  MHD_stop_daemon (server->daemon);
  g_ptr_array_unref (server->watches);
  g_ptr_array_unref (server->delayed);
  return 0;
}

static void
run (HsStoreServer *server)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  MHD_run (server->daemon);
  if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES)
    hs_store_server_schedule_run (server, (HsTime) timeout_ms * HS_MSEC);
}

static void
on_epoll (struct tevent_context *ev,
          struct tevent_fd *fde,
          uint16_t flags,
          void *arg)
{
  (void) ev;
  (void) fde;
  (void) flags;
  run (arg);
}

static void
on_run_timer (struct tevent_context *ev,
              struct tevent_timer *te,
              struct timeval now,
              void *arg)
{
  HsStoreServer *server = arg;

  (void) ev;
  (void) te;
  (void) now;
  TALLOC_FREE (server->run_timer);
  run (server);
}

void
hs_store_server_schedule_run (HsStoreServer *server, HsTime delay)
{
  TALLOC_FREE (server->run_timer);
  server->run_timer = tevent_add_timer (
      server->ev, server, delay_to_timeval (delay), on_run_timer, server);
}

static void
resume_all_watches (HsStoreServer *server)
{
  unsigned int i;

  for (i = 0; i < server->watches->len; i++)
    hs_store_server_resume_watch (server->watches->pdata[i]);
}

static void
on_lag_timer (struct tevent_context *ev,
              struct tevent_timer *te,
              struct timeval now,
              void *arg)
{
  HsStoreServer *server = arg;

  (void) ev;
  (void) te;
  (void) now;
  TALLOC_FREE (server->lag_timer);
  resume_all_watches (server);
}

static void
on_lease_timer (struct tevent_context *ev,
                struct tevent_timer *te,
                struct timeval now,
                void *arg)
{
  HsStoreServer *server = arg;

  (void) ev;
  (void) te;
  (void) now;
  TALLOC_FREE (server->lease_timer);
  hs_kv_expire_leases (server->kv, monotonic_now ());
  on_store_changed (server);
}

/* Notifies the watches and sets the timer for the next expiry of a lease. */
static void
on_store_changed (HsStoreServer *server)
{
  HsTime expiry = hs_kv_next_expiry (server->kv);

  TALLOC_FREE (server->lease_timer);
  if (expiry != HS_NEVER)
    server->lease_timer = tevent_add_timer (
        server->ev, server,
        delay_to_timeval (MAX (expiry - monotonic_now (), 0) + HS_MSEC),
        on_lease_timer, server);
  if (server->faults.lag_watches == 0)
    resume_all_watches (server);
  else if (server->lag_timer == NULL)
    server->lag_timer = tevent_add_timer (
        server->ev, server, delay_to_timeval (server->faults.lag_watches),
        on_lag_timer, server);
}

static void
on_delayed (struct tevent_context *ev,
            struct tevent_timer *te,
            struct timeval now,
            void *arg)
{
  (void) ev;
  (void) te;
  (void) now;
  resume_delayed (arg);
}

static enum MHD_Result
delay_request (HsStoreRequest *request)
{
  HsStoreServer *server = request->server;

  request->delayed = true;
  g_ptr_array_add (server->delayed, request);
  request->timer = tevent_add_timer (server->ev, server,
                                     delay_to_timeval (server->faults.delay),
                                     on_delayed, request);
  MHD_suspend_connection (request->connection);
  return MHD_YES;
}

static HsStoreRequest *
new_request (HsStoreServer *server, struct MHD_Connection *connection)
{
  HsStoreRequest *request = g_new0 (HsStoreRequest, 1);

  request->server = server;
  request->connection = connection;
  request->body = g_byte_array_new ();
  return request;
}

static enum MHD_Result
on_request (void *arg,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *upload_data,
            size_t *upload_size,
            void **request_arg)
{
  HsStoreServer *server = arg;
  HsStoreRequest *request = *request_arg;
  HsGatewayCall call = hs_gateway_call_of_path (url);

  (void) version;
  if (request == NULL)
    {
      *request_arg = new_request (server, connection);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (request->body->len + *upload_size > REQUEST_MAX)
        return MHD_NO;
      g_byte_array_append (request->body, (const guint8 *) upload_data,
                           (guint) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/fault") == 0)
    return hs_store_server_set_faults (request);
  if (strcmp (url, "/calls") == 0)
    return hs_store_server_report_calls (request);
  if (call == HS_GATEWAY_N_CALLS || strcmp (method, "POST") != 0)
    return hs_store_server_respond (connection, MHD_HTTP_NOT_FOUND, "{}");
  if (server->faults.down)
    return MHD_NO;
  if (server->faults.delay > 0 && !request->delay_passed)
    return delay_request (request);
  server->calls[call]++;
  if (call == HS_GATEWAY_WATCH)
    return hs_store_server_start_watch (request);
  return execute_call (request, call);
}

static void
on_completed (void *arg,
              struct MHD_Connection *connection,
              void **request_arg,
              enum MHD_RequestTerminationCode code)
{
  HsStoreRequest *request = *request_arg;

  (void) arg;
  (void) connection;
  (void) code;
  if (request == NULL)
    return;
  if (request->delayed)
    g_ptr_array_remove (request->server->delayed, request);
  talloc_free (request->timer);
  g_byte_array_unref (request->body);
  g_free (request);
  *request_arg = NULL;
}

enum MHD_Result
hs_store_server_respond (struct MHD_Connection *connection,
                         unsigned int status,
                         const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static int64_t
next_read_revision (HsStoreServer *server, HsGatewayCall call)
{
  int64_t before = hs_kv_revision (server->kv) - 1;

  if (call != HS_GATEWAY_RANGE || server->faults.stale_ranges == 0)
    return 0;
  server->faults.stale_ranges--;
  return MAX (before, hs_kv_compact_revision (server->kv));
}

static bool
must_lose_answer (HsStoreServer *server, HsGatewayCall call)
{
  if (call == HS_GATEWAY_RANGE || call == HS_GATEWAY_KEEPALIVE
      || server->faults.lose_answers == 0)
    return false;
  server->faults.lose_answers--;
  return true;
}

static enum MHD_Result
execute_call (HsStoreRequest *request, HsGatewayCall call)
{
  HsStoreServer *server = request->server;
  HsTime now = monotonic_now ();
  HsGatewayResponse response;
  enum MHD_Result result;

  hs_kv_expire_leases (server->kv, now);
  hs_gateway_handle (server, server->kv, call,
                     (const char *) request->body->data, request->body->len,
                     next_read_revision (server, call), now, &response);
  on_store_changed (server);
  if (must_lose_answer (server, call))
    result = MHD_NO;
  else
    result = hs_store_server_respond (request->connection, response.http_status,
                                      response.body);
  talloc_free (response.body);
  return result;
}
