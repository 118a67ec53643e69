#include "agent/target_api.h"

#include <string.h>

#include <json-c/json.h>

#include "base/error.h"
#include "http/mhd_loop.h"

#define MAX_CONNECTIONS 64
#define MAX_SOCKETS (MAX_CONNECTIONS + HS_MHD_LISTEN_BACKLOG)
/** Memory of the connections; bodies are small, and don't count. */
#define CONNECTIONS_BYTES (2 * MAX_CONNECTIONS * HS_CONNECTION_BYTES)
#define IDLE_TIMEOUT_S 60
#define PART "target"
#define METRICS_PATH "/metrics"

/* A request, from its headers to the end of its answer. */
typedef struct
{
  HsTargetApi *api;
  struct MHD_Connection *connection;
  GByteArray *body;
  bool too_large;
  bool leave_pending; /* Answered when no task runs any more. */
} Request;

struct HsTargetApi
{
  HsMhd *mhd;
  const char *key;
  HsTargetApiHandler handler;
  void *arg;
  GQueue suspended; /* Leaves that wait for running tasks to end. */
};

static int free_api (HsTargetApi *api);
static enum MHD_Result on_request (void *arg,
                                   struct MHD_Connection *connection,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *data_len,
                                   void **state);
static void on_completed (void *arg,
                          struct MHD_Connection *connection,
                          void **state,
                          enum MHD_RequestTerminationCode code);
static enum MHD_Result
handle_request (Request *request, const char *url, const char *method);
static enum MHD_Result handle_announce (Request *request);
static enum MHD_Result handle_leave (Request *request);
static enum MHD_Result handle_metrics (Request *request);
static bool is_signed (Request *request, const char *method);
static enum MHD_Result
respond_error (Request *request, HsErrorKind kind, const char *message);
static enum MHD_Result respond (Request *request,
                                unsigned int status,
                                const char *type,
                                const char *text);

HsTargetApi *
hs_target_api_new (TALLOC_CTX *ctx,
                   struct tevent_context *ev,
                   const char *listen,
                   const char *key,
                   const HsTargetApiHandler *handler,
                   void *arg,
                   GError **error)
{
  HsTargetApi *api = talloc_zero (ctx, HsTargetApi);
  HsMhdOptions options = {
    .listen = listen,
    .handle = on_request,
    .completed = on_completed,
    .arg = api,
    .max_connections = MAX_CONNECTIONS,
    .idle_timeout_s = IDLE_TIMEOUT_S,
    .log_part = PART,
  };

  options.budget = hs_body_budget_new (api, CONNECTIONS_BYTES, MAX_SOCKETS);
  api->key = key;
  api->handler = *handler;
  api->arg = arg;
  g_queue_init (&api->suspended);
  api->mhd = hs_mhd_new (api, ev, &options, error);
  if (api->mhd == NULL)
    {
      talloc_free (api);
      return NULL;
    }
  talloc_set_destructor (api, free_api);
  return api;
}

uint16_t
hs_target_api_port (const HsTargetApi *api)
{
  return hs_mhd_port (api->mhd);
}

void
hs_target_api_answer_leaves (HsTargetApi *api)
{
  Request *request;

  while ((request = g_queue_pop_head (&api->suspended)) != NULL)
    hs_mhd_resume (api->mhd, request->connection);
}

/* libmicrohttpd requires that suspended connections are resumed before the
   server stops. */
static int
free_api (HsTargetApi *api)
{
  hs_target_api_answer_leaves (api);
  TALLOC_FREE (api->mhd);
  return 0;
}

static enum MHD_Result
on_request (void *arg,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *data_len,
            void **state)
{
  Request *request = *state;

  (void) version;
  if (request == NULL)
    {
      request = talloc_zero (NULL, Request);
      request->api = arg;
      request->connection = connection;
      request->body = g_byte_array_new ();
      *state = request;
      return MHD_YES;
    }
  if (*data_len == 0)
    return handle_request (request, url, method);
  if (request->body->len + *data_len > HS_TARGET_BODY_MAX)
    request->too_large = true;
  else
    g_byte_array_append (request->body, (const guint8 *) data,
                         (guint) *data_len);
  *data_len = 0;
  return MHD_YES;
}

static void
on_completed (void *arg,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  Request *request = *state;

  (void) arg;
  (void) connection;
  (void) code;
  if (request == NULL)
    return;
  g_queue_remove (&request->api->suspended, request);
  g_byte_array_unref (request->body);
  talloc_free (request);
  *state = NULL;
}

static enum MHD_Result
handle_request (Request *request, const char *url, const char *method)
{
  bool is_get = strcmp (method, MHD_HTTP_METHOD_GET) == 0;
  bool is_post = strcmp (method, MHD_HTTP_METHOD_POST) == 0;
  bool is_delete = strcmp (method, MHD_HTTP_METHOD_DELETE) == 0;

  if (request->leave_pending)
    return respond (request, MHD_HTTP_OK, "application/json",
                    "{\"state\":\"left\"}\n");
  if (is_get && strcmp (url, METRICS_PATH) == 0)
    return handle_metrics (request);
  if (strcmp (url, HS_TARGET_PATH) != 0 || !(is_post || is_delete))
    return respond_error (
        request, HS_ERROR_NOT_FOUND,
        "unknown method or path; use POST or DELETE " HS_TARGET_PATH
        " or GET " METRICS_PATH);
  if (request->too_large)
    return respond_error (
        request, HS_ERROR_TOO_LARGE,
        "body larger than 4096 bytes; send only the keys of an "
        "announcement");
  if (!is_signed (request, method))
    return respond_error (
        request, HS_ERROR_UNAUTHORIZED,
        "signature missing or wrong; sign method, path and body with "
        "the cluster key and send it in " HS_TARGET_AUTH_HEADER);
  return is_post ? handle_announce (request) : handle_leave (request);
}

static enum MHD_Result
handle_announce (Request *request)
{
  HsTargetApi *api = request->api;
  HsTargetAnnouncement announcement;
  g_autoptr (GError) error = NULL;

  if (!hs_target_announcement_parse ((const char *) request->body->data,
                                     request->body->len, &announcement, &error)
      || !api->handler.announce (api->arg, &announcement, &error))
    return respond_error (request, (HsErrorKind) error->code, error->message);
  return respond (request, MHD_HTTP_OK, "application/json",
                  "{\"state\":\"up\"}\n");
}

static enum MHD_Result
handle_leave (Request *request)
{
  HsTargetApi *api = request->api;

  request->leave_pending = true;
  if (api->handler.leave (api->arg))
    return respond (request, MHD_HTTP_OK, "application/json",
                    "{\"state\":\"left\"}\n");
  g_queue_push_tail (&api->suspended, request);
  MHD_suspend_connection (request->connection);
  return MHD_YES;
}

static enum MHD_Result
handle_metrics (Request *request)
{
  HsTargetApi *api = request->api;

  return respond (request, MHD_HTTP_OK, "text/plain; version=0.0.4",
                  api->handler.metrics (api->arg, request));
}

static bool
is_signed (Request *request, const char *method)
{
  const char *signature = MHD_lookup_connection_value (
      request->connection, MHD_HEADER_KIND, HS_TARGET_AUTH_HEADER);
  char expected_signature[HS_TARGET_SIGNATURE_SIZE];

  hs_target_sign (request->api->key, method, HS_TARGET_PATH,
                  (const char *) request->body->data, request->body->len,
                  expected_signature);
  return hs_target_signature_matches (signature, expected_signature);
}

static enum MHD_Result
respond_error (Request *request, HsErrorKind kind, const char *message)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *error = json_object_new_object ();
  enum MHD_Result result;

  json_object_object_add (error, "kind",
                          json_object_new_string (hs_error_kind_name (kind)));
  json_object_object_add (error, "message", json_object_new_string (message));
  json_object_object_add (root, "error", error);
  result
      = respond (request, hs_error_http_status (kind), "application/json",
                 json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return result;
}

static enum MHD_Result
respond (Request *request,
         unsigned int status,
         const char *type,
         const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}
