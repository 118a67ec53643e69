#include "standin/store_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "standin/jsonpb.h"

/* The most bytes of a request; the platform's values go up to a megabyte. */
#define REQUEST_MAX ((size_t) 4 * 1024 * 1024)
#define WATCH_BLOCK_SIZE ((size_t) 64 * 1024)

typedef struct Watch Watch;

/* One request while it arrives and waits. */
typedef struct
{
  HsStoreServer *server;
  struct MHD_Connection *connection;
  GByteArray *body;
  struct tevent_timer *timer;
  bool delayed; /* Waits, connection suspended. */
  bool waited;
} Request;

/* The stream of one watch. */
struct Watch
{
  HsStoreServer *server;
  struct MHD_Connection *connection;
  HsGatewayWatch state;
  char *line; /* Being written. */
  size_t offset;
  struct tevent_fd *fde; /* Notices a client that hangs up meanwhile. */
  bool suspended;
  bool closing;
};

struct HsStoreServer
{
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  uint16_t port;
  HsKv *kv;
  HsStoreFaults faults;
  uint64_t calls[HS_GATEWAY_N_CALLS];
  GPtrArray *watches;
  GPtrArray *delayed;
  struct tevent_timer *run_timer;
  struct tevent_timer *lease_timer;
  struct tevent_timer *lag_timer;
};

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
static void run_soon (HsStoreServer *server, HsTime delay);
static void state_changed (HsStoreServer *server);
static void resume_watch (Watch *watch);
static enum MHD_Result answer_text (struct MHD_Connection *connection,
                                    unsigned int status,
                                    const char *text);
static enum MHD_Result set_faults (Request *request);
static enum MHD_Result tell_calls (Request *request);
static enum MHD_Result start_watch (Request *request);
static enum MHD_Result carry_out (Request *request, HsGatewayCall call);

static HsTime
read_clock (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * HS_SEC + ts.tv_nsec / 1000;
}

static struct timeval
after (HsTime delay)
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
hs_store_server_waiting (const HsStoreServer *server)
{
  return server->watches->len;
}

void
hs_store_server_cut_watches (HsStoreServer *server)
{
  unsigned int i;

  for (i = 0; i < server->watches->len; i++)
    {
      Watch *watch = server->watches->pdata[i];

      watch->closing = true;
      resume_watch (watch);
    }
}

static void
resume_delayed (Request *request)
{
  TALLOC_FREE (request->timer);
  request->delayed = false;
  request->waited = true;
  g_ptr_array_remove (request->server->delayed, request);
  MHD_resume_connection (request->connection);
  run_soon (request->server, 0);
}

static int
free_server (HsStoreServer *server)
{
  server->faults.down = true;
  hs_store_server_cut_watches (server);
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
    run_soon (server, (HsTime) timeout_ms * HS_MSEC);
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

static void
run_soon (HsStoreServer *server, HsTime delay)
{
  TALLOC_FREE (server->run_timer);
  server->run_timer = tevent_add_timer (server->ev, server, after (delay),
                                        on_run_timer, server);
}

static void
resume_all_watches (HsStoreServer *server)
{
  unsigned int i;

  for (i = 0; i < server->watches->len; i++)
    resume_watch (server->watches->pdata[i]);
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
  hs_kv_advance (server->kv, read_clock ());
  state_changed (server);
}

/* Tells the watches, and waits for the next lease to lapse. */
static void
state_changed (HsStoreServer *server)
{
  HsTime expiry = hs_kv_next_expiry (server->kv);

  TALLOC_FREE (server->lease_timer);
  if (expiry != HS_NEVER)
    server->lease_timer = tevent_add_timer (
        server->ev, server, after (MAX (expiry - read_clock (), 0) + HS_MSEC),
        on_lease_timer, server);
  if (server->faults.lag_watches == 0)
    resume_all_watches (server);
  else if (server->lag_timer == NULL)
    server->lag_timer = tevent_add_timer (server->ev, server,
                                          after (server->faults.lag_watches),
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
delay_request (Request *request)
{
  HsStoreServer *server = request->server;

  request->delayed = true;
  g_ptr_array_add (server->delayed, request);
  request->timer = tevent_add_timer (
      server->ev, server, after (server->faults.delay), on_delayed, request);
  MHD_suspend_connection (request->connection);
  return MHD_YES;
}

static Request *
new_request (HsStoreServer *server, struct MHD_Connection *connection)
{
  Request *request = g_new0 (Request, 1);

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
  Request *request = *request_arg;
  HsGatewayCall call = hs_gateway_call (url);

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
    return set_faults (request);
  if (strcmp (url, "/calls") == 0)
    return tell_calls (request);
  if (call == HS_GATEWAY_N_CALLS || strcmp (method, "POST") != 0)
    return answer_text (connection, MHD_HTTP_NOT_FOUND, "{}");
  if (server->faults.down)
    return MHD_NO;
  if (server->faults.delay > 0 && !request->waited)
    return delay_request (request);
  server->calls[call]++;
  if (call == HS_GATEWAY_WATCH)
    return start_watch (request);
  return carry_out (request, call);
}

static void
on_completed (void *arg,
              struct MHD_Connection *connection,
              void **request_arg,
              enum MHD_RequestTerminationCode code)
{
  Request *request = *request_arg;

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

static enum MHD_Result
answer_text (struct MHD_Connection *connection,
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

static bool
has (struct json_object *object, const char *name)
{
  return json_object_object_get_ex (object, name, NULL);
}

static bool
is_true (struct json_object *object, const char *name)
{
  struct json_object *member;

  return json_object_object_get_ex (object, name, &member)
         && json_object_get_boolean (member);
}

static enum MHD_Result
set_faults (Request *request)
{
  HsStoreServer *server = request->server;
  HsStoreFaults *faults = &server->faults;
  struct json_object *object = hs_jsonpb_parse (
      (const char *) request->body->data, request->body->len);

  if (object == NULL)
    return answer_text (request->connection, MHD_HTTP_BAD_REQUEST, "{}");
  if (has (object, "down"))
    faults->down = is_true (object, "down");
  if (has (object, "delay_ms"))
    faults->delay = hs_jsonpb_int64 (object, "delay_ms") * HS_MSEC;
  if (has (object, "lose_answers"))
    faults->lose_answers
        = (unsigned int) hs_jsonpb_int64 (object, "lose_answers");
  if (has (object, "lag_watches_ms"))
    faults->lag_watches = hs_jsonpb_int64 (object, "lag_watches_ms") * HS_MSEC;
  if (has (object, "stale_range"))
    faults->stale_ranges
        = (unsigned int) hs_jsonpb_int64 (object, "stale_range");
  if (is_true (object, "compact"))
    hs_kv_compact (server->kv, 0);
  if (is_true (object, "cut_watches") || faults->down)
    hs_store_server_cut_watches (server);
  json_object_put (object);
  return answer_text (request->connection, MHD_HTTP_OK, "{}");
}

static enum MHD_Result
tell_calls (Request *request)
{
  HsStoreServer *server = request->server;
  struct json_object *object = json_object_new_object ();
  enum MHD_Result result;
  HsGatewayCall call;

  for (call = 0; call < HS_GATEWAY_N_CALLS; call++)
    json_object_object_add (object, hs_gateway_word (call),
                            json_object_new_uint64 (server->calls[call]));
  json_object_object_add (object, "waiting_watches",
                          json_object_new_int64 (server->watches->len));
  json_object_object_add (object, "revision",
                          json_object_new_int64 (hs_kv_revision (server->kv)));
  result = answer_text (request->connection, MHD_HTTP_OK,
                        json_object_to_json_string (object));
  json_object_put (object);
  return result;
}

static int64_t
take_read_revision (HsStoreServer *server, HsGatewayCall call)
{
  int64_t before = hs_kv_revision (server->kv) - 1;

  if (call != HS_GATEWAY_RANGE || server->faults.stale_ranges == 0)
    return 0;
  server->faults.stale_ranges--;
  return MAX (before, hs_kv_compact_revision (server->kv));
}

static bool
loses_answer (HsStoreServer *server, HsGatewayCall call)
{
  if (call == HS_GATEWAY_RANGE || call == HS_GATEWAY_KEEPALIVE
      || server->faults.lose_answers == 0)
    return false;
  server->faults.lose_answers--;
  return true;
}

static enum MHD_Result
carry_out (Request *request, HsGatewayCall call)
{
  HsStoreServer *server = request->server;
  HsTime now = read_clock ();
  HsGatewayAnswer answer;
  enum MHD_Result result;

  hs_kv_advance (server->kv, now);
  hs_gateway_handle (server, server->kv, call,
                     (const char *) request->body->data, request->body->len,
                     take_read_revision (server, call), now, &answer);
  state_changed (server);
  if (loses_answer (server, call))
    result = MHD_NO;
  else
    result = answer_text (request->connection, answer.http_status, answer.body);
  talloc_free (answer.body);
  return result;
}

static void
resume_watch (Watch *watch)
{
  if (!watch->suspended)
    return;
  TALLOC_FREE (watch->fde);
  watch->suspended = false;
  MHD_resume_connection (watch->connection);
  run_soon (watch->server, 0);
}

static void
on_watch_socket (struct tevent_context *ev,
                 struct tevent_fd *fde,
                 uint16_t flags,
                 void *arg)
{
  Watch *watch = arg;

  (void) ev;
  (void) fde;
  (void) flags;
  watch->closing = true;
  resume_watch (watch);
}

/* A watch's client sends nothing more, so that a readable socket means that
   it hung up. */
static void
suspend_watch (Watch *watch)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      watch->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  watch->suspended = true;
  MHD_suspend_connection (watch->connection);
  watch->fde
      = tevent_add_fd (watch->server->ev, watch->server, info->connect_fd,
                       TEVENT_FD_READ, on_watch_socket, watch);
}

static ssize_t
read_watch (void *arg, uint64_t position, char *out, size_t max)
{
  Watch *watch = arg;
  size_t n;

  (void) position;
  if (watch->closing)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (watch->line == NULL)
    {
      watch->line = hs_gateway_watch_line (watch->server, watch->server->kv,
                                           &watch->state);
      watch->offset = 0;
    }
  if (watch->line == NULL)
    {
      suspend_watch (watch);
      return 0;
    }
  n = MIN (strlen (watch->line + watch->offset), max);
  memcpy (out, watch->line + watch->offset, n);
  watch->offset += n;
  if (watch->line[watch->offset] == '\0')
    TALLOC_FREE (watch->line);
  return (ssize_t) n;
}

static void
free_watch (void *arg)
{
  Watch *watch = arg;

  g_ptr_array_remove (watch->server->watches, watch);
  talloc_free (watch->fde);
  talloc_free (watch);
}

static enum MHD_Result
start_watch (Request *request)
{
  HsStoreServer *server = request->server;
  Watch *watch = talloc_zero (NULL, Watch);
  struct MHD_Response *response;
  enum MHD_Result result;

  watch->server = server;
  watch->connection = request->connection;
  if (!hs_gateway_parse_watch (watch, server->kv,
                               (const char *) request->body->data,
                               request->body->len, &watch->state))
    {
      talloc_free (watch);
      return answer_text (request->connection, MHD_HTTP_BAD_REQUEST, "{}");
    }
  g_ptr_array_add (server->watches, watch);
  response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, WATCH_BLOCK_SIZE, read_watch, watch, free_watch);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}
