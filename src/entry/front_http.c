/**
 * @file
 * One request of a caller: path, key, body, and the response.
 */
#include <string.h>

#include "base/error.h"
#include "entry/front_thread.h"
#include "entry/job_json.h"

#define JOBS_PATH "/v1/jobs"
/** When to try again after a refusal that has no time of its own. */
#define RETRY_AFTER_MS 1000

static HsFrontRequest *begin (HsFrontThread *thread,
                              struct MHD_Connection *connection,
                              const char *url,
                              const char *method);
static void
read_path (HsFrontRequest *request, const char *url, const char *method);
static void check_headers (HsFrontRequest *request);
static enum MHD_Result
receive (HsFrontRequest *request, const char *data, size_t *len);
static enum MHD_Result dispatch (HsFrontRequest *request);
static enum MHD_Result respond_error (HsFrontRequest *request);
static enum MHD_Result respond_answer (HsFrontRequest *request);

enum MHD_Result
hs_front_handle (void *cls,
                 struct MHD_Connection *connection,
                 const char *url,
                 const char *method,
                 const char *version,
                 const char *upload,
                 size_t *upload_len,
                 void **state)
{
  HsFrontRequest *request = *state;

  (void) version;
  if (request == NULL)
    {
      request = begin (cls, connection, url, method);
      *state = request;
      if (request->error != NULL && request->body.expected > 0)
        return respond_error (request);
      return MHD_YES;
    }
  if (*upload_len > 0)
    return receive (request, upload, upload_len);
  switch (request->state)
    {
    case HS_REQUEST_READING:
      return dispatch (request);
    case HS_REQUEST_ANSWERED:
      return respond_answer (request);
    case HS_REQUEST_ABANDONED:
      g_set_error (&request->error, HS_ERROR, HS_ERROR_UNKNOWN,
                   "this entry stops before the answer came; "
                   "submit the same id again at another entry");
      return respond_error (request);
    case HS_REQUEST_WAITING:
    case HS_REQUEST_RESPONDED:
    default:
      return MHD_YES;
    }
}

void
hs_front_completed (void *cls,
                    struct MHD_Connection *connection,
                    void **state,
                    enum MHD_RequestTerminationCode code)
{
  HsFrontThread *thread = cls;
  HsFrontRequest *request = *state;

  (void) connection;
  (void) code;
  if (request == NULL)
    return;
  *state = NULL;
  request->conn->reading = true;
  request->conn->since = hs_now ().mono;
  hs_front_table_remove (thread, request);
  talloc_free (request->call);
  g_clear_error (&request->error);
  talloc_free (request);
  atomic_fetch_sub (&thread->front->in_flight, 1);
}

static HsFrontRequest *
begin (HsFrontThread *thread,
       struct MHD_Connection *connection,
       const char *url,
       const char *method)
{
  HsFrontRequest *request = talloc_zero (thread, HsFrontRequest);
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  request->thread = thread;
  request->connection = connection;
  request->conn = info->socket_context;
  request->conn->since = hs_now ().mono;
  hs_front_table_add (thread, request);
  atomic_fetch_add (&thread->front->in_flight, 1);
  read_path (request, url, method);
  check_headers (request);
  return request;
}

/** Refuses what can be refused before the body is read. */
static void
check_headers (HsFrontRequest *request)
{
  size_t most = request->thread->front->settings->max_body;
  g_autoptr (GError) error = NULL;

  if (hs_mhd_body_begin (&request->body, request->connection, most, &error)
      && hs_mhd_bearer_token (request->connection) == NULL)
    g_set_error (&error, HS_ERROR, HS_ERROR_UNAUTHORIZED,
                 "no key; send Authorization: Bearer KEY");
  if (request->error == NULL)
    request->error = g_steal_pointer (&error);
}

static void
refuse_method (HsFrontRequest *request, const char *allow)
{
  request->status = MHD_HTTP_METHOD_NOT_ALLOWED;
  request->allow = allow;
  g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
               "this path doesn't take the method; use %s", allow);
}

/** Reads "CUSTOMER/ID" into the request's arguments. */
static bool
read_names (HsFrontRequest *request, const char *names)
{
  const char *slash = strchr (names, '/');
  g_autofree char *customer = NULL;
  g_autofree char *id = NULL;

  if (slash == NULL)
    return false;
  customer = g_uri_unescape_segment (names, slash, "/");
  id = g_uri_unescape_segment (slash + 1, NULL, "/");
  if (customer == NULL || id == NULL || !hs_name_valid (customer)
      || !hs_job_id_valid (id))
    return false;
  request->args = talloc_zero (request, hsx_forward_args);
  request->args->customer = talloc_strdup (request->args, customer);
  request->args->id = talloc_strdup (request->args, id);
  return true;
}

static void
read_wait (HsFrontRequest *request)
{
  const char *wait = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "wait");

  if (wait == NULL || strcmp (wait, "0") == 0)
    return;
  if (strcmp (wait, "1") == 0)
    request->args->wait = TRUE;
  else
    g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
                 "wait: must be 0 or 1; correct it");
}

static void
read_path (HsFrontRequest *request, const char *url, const char *method)
{
  if (strcmp (url, JOBS_PATH) == 0)
    {
      request->verb = HSX_SUBMIT;
      if (strcmp (method, MHD_HTTP_METHOD_POST) != 0)
        refuse_method (request, MHD_HTTP_METHOD_POST);
      return;
    }
  if (!g_str_has_prefix (url, JOBS_PATH "/")
      || !read_names (request, url + strlen (JOBS_PATH "/")))
    {
      g_set_error (&request->error, HS_ERROR, HS_ERROR_NOT_FOUND,
                   "no such path; use " JOBS_PATH " or " JOBS_PATH
                   "/CUSTOMER/ID");
      return;
    }
  if (strcmp (method, MHD_HTTP_METHOD_GET) == 0)
    request->verb = HSX_FETCH;
  else if (strcmp (method, MHD_HTTP_METHOD_DELETE) == 0)
    request->verb = HSX_CANCEL;
  else
    {
      refuse_method (request, "GET, DELETE");
      return;
    }
  request->args->verb = request->verb;
  read_wait (request);
}

static enum MHD_Result
receive (HsFrontRequest *request, const char *data, size_t *len)
{
  bool wanted = request->state == HS_REQUEST_READING && request->error == NULL;

  if (wanted && !hs_mhd_body_add (request, &request->body, data, *len))
    return MHD_NO;
  *len = 0;
  return MHD_YES;
}

/** Checks the key against the lists that are published. */
static bool
authenticate (HsFrontRequest *request, const char *customer)
{
  static const HsPlan none;
  HsListsBox *box = request->thread->front->lists;
  const HsLists *lists;
  const HsPlan *plan;
  bool loaded;
  bool ok;

  hs_lists_read_lock (box);
  lists = hs_lists_get (box);
  loaded = hs_lists_revision (lists) > 0;
  plan = hs_lists_plan (lists, customer);
  /* An unknown customer takes as long as a wrong key. */
  ok = hs_plan_check_key (plan != NULL ? plan : &none,
                          hs_mhd_bearer_token (request->connection))
       && plan != NULL;
  hs_lists_read_unlock (box);
  if (!loaded)
    g_set_error (&request->error, HS_ERROR, HS_ERROR_UNAVAILABLE,
                 "the lists of plans and allowances aren't loaded yet; "
                 "send it again later");
  else if (!ok)
    g_set_error (&request->error, HS_ERROR, HS_ERROR_UNAUTHORIZED,
                 "not this customer's key; send the key of the customer named");
  return loaded && ok;
}

static bool
fill_call (HsFrontRequest *request, HsFrontCall *call)
{
  if (request->error != NULL)
    return false;
  if (request->verb == HSX_SUBMIT)
    call->args = hs_job_parse (
        call, request->body.data != NULL ? request->body.data : "",
        request->body.len, &request->error);
  else
    call->args = talloc_steal (call, request->args);
  TALLOC_FREE (request->body.data);
  return call->args != NULL && authenticate (request, call->args->customer);
}

/** The request is read whole: passes it to the core, or refuses it. */
static enum MHD_Result
dispatch (HsFrontRequest *request)
{
  HsFrontThread *thread = request->thread;
  HsFrontCall *call = talloc_zero (NULL, HsFrontCall);

  request->conn->reading = false;
  if (!fill_call (request, call))
    {
      talloc_free (call);
      return respond_error (request);
    }
  call->thread = thread;
  call->slot = request->slot;
  call->generation = thread->slots[request->slot].generation;
  call->arrived = hs_now ();
  request->state = HS_REQUEST_WAITING;
  /* The core wakes while the connection is suspended: its answer waits in
     this thread's own queue. */
  thread->front->submit (thread->front->arg, call);
  MHD_suspend_connection (request->connection);
  return MHD_YES;
}

static void
add_retry_after (struct MHD_Response *response, unsigned int after_ms)
{
  char seconds[16];

  if (after_ms == 0)
    return;
  g_snprintf (seconds, sizeof seconds, "%u",
              after_ms / 1000 + (after_ms % 1000 != 0));
  MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

/** @param text a talloc chunk, taken over */
static enum MHD_Result
respond (HsFrontRequest *request,
         unsigned int status,
         char *text,
         size_t len,
         unsigned int retry_after_ms)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  response = hs_mhd_response (text, len, "application/json");
  add_retry_after (response, retry_after_ms);
  if (request->allow != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_ALLOW, request->allow);
  if (status == MHD_HTTP_UNAUTHORIZED)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE,
                             "Bearer");
  if (atomic_load (&request->thread->front->draining))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  request->state = HS_REQUEST_RESPONDED;
  request->conn->reading = false;
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  atomic_fetch_add_explicit (&request->thread->counts[status / 100], 1,
                             memory_order_relaxed);
  return result;
}

/**
 * Whether a refusal may promise that no task of the id has started. Of a
 * job that no entry can accept, that is certain. For any other reason the
 * same id may have been accepted before, and this may be a resubmission.
 */
static bool
is_not_run (const HsFrontRequest *request, HsErrorKind kind)
{
  if (request->verb != HSX_SUBMIT)
    return false;
  return kind == HS_ERROR_INVALID || kind == HS_ERROR_TOO_LARGE;
}

static enum MHD_Result
respond_error (HsFrontRequest *request)
{
  const GError *error = request->error;
  HsErrorKind kind = (HsErrorKind) error->code;
  unsigned int status
      = request->status != 0 ? request->status : hs_error_http_status (kind);
  size_t len;
  char *text = hs_job_render_error (request, kind, error->message,
                                    is_not_run (request, kind), &len);

  return respond (request, status, text, len,
                  kind == HS_ERROR_UNAVAILABLE ? RETRY_AFTER_MS : 0);
}

static enum MHD_Result
respond_answer (HsFrontRequest *request)
{
  const HsFrontCall *call = request->call;
  const hsx_answer *answer = call->answer;
  size_t len;
  char *text = hs_job_render (request, call->args, answer, &len);
  unsigned int after_ms
      = answer->state == HSX_JOB_REFUSED ? answer->retry_after_ms : 0;

  return respond (request, hs_job_http_status (answer), text, len, after_ms);
}
