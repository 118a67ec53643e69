#include "entry/admin.h"

#include <string.h>

#include <json-c/json.h>

#include "config/entry_memory.h"
#include "entry/admin_private.h"

/** Bound on the body of a request; a whole list has to fit. */
#define BODY_MAX_BYTES ((size_t) 8 * 1024 * 1024)
#define MAX_CONNECTIONS 64
#define MAX_SOCKETS (MAX_CONNECTIONS + HS_MHD_LISTEN_BACKLOG)
/** Connections without traffic are closed after this time. */
#define IDLE_TIMEOUT_S 30
#define PART "operators"

static int admin_destructor (HsAdmin *admin);
static enum MHD_Result on_request (void *cls,
                                   struct MHD_Connection *connection,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *upload,
                                   size_t *upload_len,
                                   void **state);
static void on_request_completed (void *cls,
                                  struct MHD_Connection *connection,
                                  void **state,
                                  enum MHD_RequestTerminationCode code);
static enum MHD_Result handle_complete_request (HsAdminRequest *request);
static enum MHD_Result respond_error (HsAdminRequest *request);

HsAdmin *
hs_admin_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              const char *listen,
              const char *token,
              HsPublishedLists *box,
              HsListsSync *sync,
              const HsAdminPages *pages,
              GError **error)
{
  HsAdmin *admin = talloc_zero (ctx, HsAdmin);
  HsMhdOptions options = { .listen = listen,
                           .handle = on_request,
                           .completed = on_request_completed,
                           .arg = admin,
                           .max_connections = MAX_CONNECTIONS,
                           .idle_timeout_s = IDLE_TIMEOUT_S,
                           .pool_bytes = HS_ENTRY_POOL_BYTES,
                           .log_part = PART };

  admin->box = box;
  admin->sync = sync;
  admin->pages = *pages;
  hs_key_hash (token, admin->token_hash);
  options.budget
      = hs_body_budget_new (admin, HS_ENTRY_OPERATORS_BYTES, MAX_SOCKETS);
  admin->mhd = hs_mhd_new (admin, ev, &options, error);
  if (admin->mhd == NULL)
    {
      g_prefix_error (error, "admin_listen: ");
      talloc_free (admin);
      return NULL;
    }
  talloc_set_destructor (admin, admin_destructor);
  return admin;
}

uint16_t
hs_admin_port (const HsAdmin *admin)
{
  return hs_mhd_port (admin->mhd);
}

bool
hs_admin_edit_ended (HsAdminRequest *request)
{
  request->pending_edits--;
  if (request->admin != NULL)
    return true;
  if (request->pending_edits == 0)
    talloc_free (request);
  return false;
}

void
hs_admin_set_response (HsAdminRequest *request, unsigned int status, char *json)
{
  request->response_json = json;
  request->response_status = status;
  if (request->suspended)
    hs_mhd_resume (request->admin->mhd, request->connection);
  request->suspended = false;
}

char *
hs_admin_error_json (TALLOC_CTX *ctx,
                     HsErrorKind kind,
                     const char *message,
                     const char *current)
{
  struct json_object *text = json_object_new_string (message);
  char *json = talloc_asprintf (
      ctx, "{\"error\":{\"kind\":\"%s\",\"message\":%s}%s%s}",
      hs_error_kind_name (kind),
      json_object_to_json_string_ext (text, JSON_C_TO_STRING_NOSLASHESCAPE),
      current != NULL ? ",\"present\":" : "", current != NULL ? current : "");

  json_object_put (text);
  return json;
}

static int
admin_destructor (HsAdmin *admin)
{
  HsAdminRequest *request;

  for (request = admin->requests; request != NULL; request = request->next)
    if (request->suspended)
      {
        request->suspended = false;
        MHD_resume_connection (request->connection);
      }
  TALLOC_FREE (admin->mhd);
  return 0;
}

/**
 * Checks the operators' token. A wrong token replaces any earlier error, so
 * that an unauthenticated client learns nothing from it.
 */
static void
authenticate (HsAdminRequest *request)
{
  const char *key = hs_mhd_bearer_token (request->connection);

  if (key != NULL && hs_key_matches_hash (key, request->admin->token_hash))
    return;
  g_clear_error (&request->error);
  g_set_error (
      &request->error, HS_ERROR, HS_ERROR_UNAUTHORIZED,
      "missing or wrong admin token; send Authorization: Bearer TOKEN");
}

static HsAdminRequest *
request_new (HsAdmin *admin,
             struct MHD_Connection *connection,
             const char *url,
             const char *method)
{
  HsAdminRequest *request = talloc_zero (NULL, HsAdminRequest);

  request->admin = admin;
  request->connection = connection;
  request->next = admin->requests;
  if (request->next != NULL)
    request->next->prev = request;
  admin->requests = request;
  hs_mhd_bind_body (admin->mhd, connection, &request->body);
  if (hs_mhd_body_begin (&request->body, connection, BODY_MAX_BYTES,
                         &request->error))
    hs_admin_route_request (request, url, method);
  authenticate (request);
  return request;
}

static enum MHD_Result
on_request (void *cls,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *upload,
            size_t *upload_len,
            void **state)
{
  HsAdminRequest *request = *state;

  (void) version;
  if (request == NULL)
    {
      request = request_new (cls, connection, url, method);
      *state = request;
      if (request->error != NULL && request->body.expected > 0)
        return respond_error (request);
      return MHD_YES;
    }
  if (*upload_len > 0)
    {
      if (request->error == NULL)
        hs_mhd_body_add (request, &request->body, upload, *upload_len,
                         &request->error);
      *upload_len = 0;
      return MHD_YES;
    }
  if (request->error == NULL && request->body.dropped)
    hs_mhd_body_set_dropped_error (&request->error);
  hs_mhd_body_join (request, &request->body);
  return handle_complete_request (request);
}

static void
on_request_completed (void *cls,
                      struct MHD_Connection *connection,
                      void **state,
                      enum MHD_RequestTerminationCode code)
{
  HsAdmin *admin = cls;
  HsAdminRequest *request = *state;

  (void) connection;
  (void) code;
  if (request == NULL)
    return;
  *state = NULL;
  if (request->prev != NULL)
    request->prev->next = request->next;
  else
    admin->requests = request->next;
  if (request->next != NULL)
    request->next->prev = request->prev;
  g_clear_error (&request->error);
  request->admin = NULL;
  if (request->pending_edits == 0)
    talloc_free (request);
  else
    talloc_steal (admin->sync, request);
}

static enum MHD_Result
respond (HsAdminRequest *request,
         unsigned int status,
         char *text,
         const char *type)
{
  struct MHD_Response *response = hs_mhd_response (text, strlen (text), type);
  enum MHD_Result result;

  if (request->allowed_methods != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_ALLOW,
                             request->allowed_methods);
  if (status == MHD_HTTP_UNAUTHORIZED)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE,
                             "Bearer");
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond_json (HsAdminRequest *request, unsigned int status, char *json)
{
  return respond (request, status, json, "application/json");
}

static enum MHD_Result
respond_error (HsAdminRequest *request)
{
  HsErrorKind kind = (HsErrorKind) request->error->code;
  unsigned int status = request->status_override != 0
                            ? request->status_override
                            : hs_error_http_status (kind);

  return respond_json (
      request, status,
      hs_admin_error_json (request, kind, request->error->message, NULL));
}

static enum MHD_Result
respond_record (HsAdminRequest *request)
{
  char *json = hs_list_record_json (
      request, hs_published_lists_get (request->admin->box), request->kind,
      request->name);

  if (json != NULL)
    return respond_json (request, MHD_HTTP_OK, json);
  g_set_error (&request->error, HS_ERROR, HS_ERROR_NOT_FOUND,
               "no record %s; create it by PUT with revision=0", request->name);
  return respond_error (request);
}

/** Refuses requests before the lists are read: they must not appear empty. */
static bool
check_lists_loaded (HsAdminRequest *request)
{
  if (hs_lists_sync_loaded (request->admin->sync))
    return true;
  g_set_error (&request->error, HS_ERROR, HS_ERROR_UNAVAILABLE,
               "the lists are not loaded from the store yet and nothing was "
               "applied; try again later");
  return false;
}

static enum MHD_Result
respond_rendered (HsAdminRequest *request,
                  HsAdminRenderFunc page,
                  const char *type)
{
  return respond (request, MHD_HTTP_OK,
                  page (request->admin->pages.arg, request, hs_now ()), type);
}

static enum MHD_Result
start_edit_or_apply (HsAdminRequest *request)
{
  request->suspended = true;
  MHD_suspend_connection (request->connection);
  if (request->action == HS_ADMIN_APPLY)
    hs_admin_start_apply (request);
  else
    hs_admin_start_edit (request);
  if (request->error != NULL)
    hs_admin_set_response (request, 0, NULL);
  return MHD_YES;
}

static enum MHD_Result
handle_complete_request (HsAdminRequest *request)
{
  const HsAdminPages *pages = &request->admin->pages;

  if (request->suspended)
    return MHD_YES;
  if (request->response_json != NULL)
    return respond_json (request, request->response_status,
                         request->response_json);
  if (request->error != NULL)
    return respond_error (request);
  switch (request->action)
    {
    case HS_ADMIN_STATUS:
      return respond_rendered (request, pages->status, "application/json");
    case HS_ADMIN_METRICS:
      return respond_rendered (request, pages->metrics,
                               "text/plain; version=0.0.4");
    default:
      break;
    }
  if (!check_lists_loaded (request))
    return respond_error (request);
  switch (request->action)
    {
    case HS_ADMIN_LIST:
      return respond_json (
          request, MHD_HTTP_OK,
          hs_list_json (request, hs_published_lists_get (request->admin->box),
                        request->kind));
    case HS_ADMIN_GET:
      return respond_record (request);
    default:
      return start_edit_or_apply (request);
    }
}
