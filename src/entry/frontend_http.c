/**
 * @file
 * Handles one HTTP request of a caller: path, key, body and response.
 */
#include <string.h>

#include "base/error.h"
#include "entry/frontend_private.h"
#include "entry/job_json.h"

#define JOBS_PATH "/v1/jobs"
/** Retry-After of an unavailability that the frontend itself reports. */
#define DEFAULT_RETRY_AFTER_MS 1000

static HsFrontendRequest *request_new (HsFrontendThread *thread,
                                       struct MHD_Connection *connection,
                                       const char *url,
                                       const char *method);
static void
parse_path (HsFrontendRequest *request, const char *url, const char *method);
static void check_headers (HsFrontendRequest *request);
static enum MHD_Result
receive_body (HsFrontendRequest *request, const char *data, size_t *len);
static enum MHD_Result submit_to_core (HsFrontendRequest *request);
static enum MHD_Result respond_error (HsFrontendRequest *request);
static enum MHD_Result respond_answer (HsFrontendRequest *request);

enum MHD_Result
hs_frontend_handle_request (void *cls,
                            struct MHD_Connection *connection,
                            const char *url,
                            const char *method,
                            const char *version,
                            const char *upload,
                            size_t *upload_len,
                            void **state)
{
  HsFrontendRequest *request = *state;

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
    return receive_body (request, upload, upload_len);
  switch (request->state)
    {
    case HS_REQUEST_RECEIVING:
      return submit_to_core (request);
    case HS_REQUEST_ANSWERED:
      return respond_answer (request);
    case HS_REQUEST_ABANDONED:
      g_set_error (&request->error, HS_ERROR, HS_ERROR_UNKNOWN,
                   "this entry is shutting down before the job was answered; "
                   "submit the same id to another entry");
      return respond_error (request);
    case HS_REQUEST_IN_CORE:
    case HS_REQUEST_RESPONSE_QUEUED:
    default:
      return MHD_YES;
    }
}

void
hs_frontend_request_completed (void *cls,
                               struct MHD_Connection *connection,
                               void **state,
                               enum MHD_RequestTerminationCode code)
{
  HsFrontendThread *thread = cls;
  HsFrontendRequest *request = *state;

  (void) connection;
  (void) code;
  if (request == NULL)
    return;
  *state = NULL;
  hs_frontend_table_remove (thread, request);
  if (request->job != NULL)
    hs_frontend_free_job_request (thread, request->job);
  g_clear_error (&request->error);
  talloc_free (request);
  atomic_fetch_sub (&thread->frontend->requests_in_flight, 1);
}

void
hs_frontend_free_job_request (HsFrontendThread *thread, HsJobRequest *job)
{
  hs_body_budget_release (thread->budget, job->kept_bytes);
  talloc_free (job);
}

static HsFrontendRequest *
request_new (HsFrontendThread *thread,
             struct MHD_Connection *connection,
             const char *url,
             const char *method)
{
  HsFrontendRequest *request = talloc_zero (thread, HsFrontendRequest);

  request->thread = thread;
  request->connection = connection;
  hs_mhd_bind_body (thread->mhd, connection, &request->body);
  hs_frontend_table_add (thread, request);
  atomic_fetch_add (&thread->frontend->requests_in_flight, 1);
  parse_path (request, url, method);
  check_headers (request);
  return request;
}

/** Checks the length of the body and that there is a key, before the body is
 *  received. */
static void
check_headers (HsFrontendRequest *request)
{
  size_t most = request->thread->frontend->settings->max_body;
  g_autoptr (GError) error = NULL;

  if (hs_mhd_body_begin (&request->body, request->connection, most, &error)
      && hs_mhd_bearer_token (request->connection) == NULL)
    g_set_error (&error, HS_ERROR, HS_ERROR_UNAUTHORIZED,
                 "missing key; send Authorization: Bearer KEY");
  if (request->error == NULL)
    request->error = g_steal_pointer (&error);
}

static void
refuse_method (HsFrontendRequest *request, const char *allow)
{
  request->status_override = MHD_HTTP_METHOD_NOT_ALLOWED;
  request->allowed_methods = allow;
  g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
               "method not allowed for this path; use %s", allow);
}

/** Parses "CUSTOMER/ID" into the request's `args`; false if it is invalid. */
static bool
parse_job_path (HsFrontendRequest *request, const char *names)
{
  const char *slash = strchr (names, '/');
  g_autofree char *customer = NULL;
  g_autofree char *id = NULL;

  if (slash == NULL)
    return false;
  customer = g_uri_unescape_segment (names, slash, "/");
  id = g_uri_unescape_segment (slash + 1, NULL, "/");
  if (customer == NULL || id == NULL || !hs_name_valid (customer)
      || !hs_job_id_is_valid (id))
    return false;
  request->args = talloc_zero (request, hsx_forward_args);
  request->args->customer = talloc_strdup (request->args, customer);
  request->args->id = talloc_strdup (request->args, id);
  return true;
}

static void
parse_wait (HsFrontendRequest *request)
{
  const char *wait = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "wait");

  if (wait == NULL || strcmp (wait, "0") == 0)
    return;
  if (strcmp (wait, "1") == 0)
    request->args->wait = TRUE;
  else
    g_set_error (&request->error, HS_ERROR, HS_ERROR_INVALID,
                 "wait: must be 0 or 1");
}

static void
parse_path (HsFrontendRequest *request, const char *url, const char *method)
{
  if (strcmp (url, JOBS_PATH) == 0)
    {
      request->verb = HSX_SUBMIT;
      if (strcmp (method, MHD_HTTP_METHOD_POST) != 0)
        refuse_method (request, MHD_HTTP_METHOD_POST);
      return;
    }
  if (!g_str_has_prefix (url, JOBS_PATH "/")
      || !parse_job_path (request, url + strlen (JOBS_PATH "/")))
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
  parse_wait (request);
}

static enum MHD_Result
receive_body (HsFrontendRequest *request, const char *data, size_t *len)
{
  bool wanted
      = request->state == HS_REQUEST_RECEIVING && request->error == NULL;

  if (wanted)
    hs_mhd_body_add (request, &request->body, data, *len, &request->error);
  *len = 0;
  return MHD_YES;
}

/** Checks the key against the published list of plans. */
static bool
authenticate (HsFrontendRequest *request, const char *customer)
{
  static const HsPlan none;
  HsPublishedLists *box = request->thread->frontend->lists;
  const HsLists *lists;
  const HsPlan *plan;
  bool loaded;
  bool ok;

  hs_lists_read_lock (box);
  lists = hs_published_lists_get (box);
  loaded = hs_lists_revision (lists) > 0;
  plan = hs_lists_plan (lists, customer);
  /* Compares with an empty plan if the customer is unknown, so that the time
     taken does not tell whether a customer exists. */
  ok = hs_plan_key_matches (plan != NULL ? plan : &none,
                            hs_mhd_bearer_token (request->connection))
       && plan != NULL;
  hs_lists_read_unlock (box);
  if (!loaded)
    g_set_error (&request->error, HS_ERROR, HS_ERROR_UNAVAILABLE,
                 "the lists of plans and allowances are not loaded yet; "
                 "try again later");
  else if (!ok)
    g_set_error (
        &request->error, HS_ERROR, HS_ERROR_UNAUTHORIZED,
        "wrong key for this customer; send the key of the customer named");
  return loaded && ok;
}

/** Keeps the body's memory reserved for the job request. */
static bool
keep_memory (HsFrontendRequest *request, HsJobRequest *job)
{
  if (hs_body_share_keep (request->body.share, &job->kept_bytes))
    return true;
  hs_mhd_body_set_dropped_error (&request->error);
  return false;
}

static bool
fill_job_request (HsFrontendRequest *request, HsJobRequest *job)
{
  /* It may have been dropped for another one since its last part came. */
  if (request->error == NULL && request->body.dropped)
    hs_mhd_body_set_dropped_error (&request->error);
  if (request->error != NULL)
    return false;
  hs_mhd_body_join (request, &request->body);
  if (request->verb == HSX_SUBMIT)
    job->args = hs_job_parse (
        job, request->body.data != NULL ? request->body.data : "",
        request->body.len, &request->error);
  else
    job->args = talloc_steal (job, request->args);
  return job->args != NULL && authenticate (request, job->args->customer)
         && keep_memory (request, job);
}

/** Passes a completely received request to the core, or refuses it. */
static enum MHD_Result
submit_to_core (HsFrontendRequest *request)
{
  HsFrontendThread *thread = request->thread;
  HsJobRequest *job = talloc_zero (NULL, HsJobRequest);
  bool ok = fill_job_request (request, job);

  hs_mhd_body_release (&request->body);
  if (!ok)
    {
      talloc_free (job);
      return respond_error (request);
    }
  job->thread = thread;
  job->slot = request->slot;
  job->generation = thread->slots[request->slot].generation;
  job->arrived = hs_now ();
  request->state = HS_REQUEST_IN_CORE;
  /* The core may answer before the connection is suspended. The answer then
     waits in this thread's queue. */
  thread->frontend->submit (thread->frontend->arg, job);
  MHD_suspend_connection (request->connection);
  return MHD_YES;
}

static void
add_retry_after (struct MHD_Response *response, unsigned int retry_after_ms)
{
  char seconds[16];

  if (retry_after_ms == 0)
    return;
  g_snprintf (seconds, sizeof seconds, "%u",
              retry_after_ms / 1000 + (retry_after_ms % 1000 != 0));
  MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

/**
 * Queues the response.
 * @param text a talloc chunk, which the response takes over
 */
static enum MHD_Result
respond (HsFrontendRequest *request,
         unsigned int status,
         char *text,
         size_t len,
         unsigned int retry_after_ms)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  response = hs_mhd_response (text, len, "application/json");
  add_retry_after (response, retry_after_ms);
  if (request->allowed_methods != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_ALLOW,
                             request->allowed_methods);
  if (status == MHD_HTTP_UNAUTHORIZED)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE,
                             "Bearer");
  if (atomic_load (&request->thread->frontend->draining))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  request->state = HS_REQUEST_RESPONSE_QUEUED;
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  atomic_fetch_add_explicit (&request->thread->response_counts[status / 100], 1,
                             memory_order_relaxed);
  return result;
}

/**
 * Whether no task of the submission id can have started. That is certain of a
 * job that every entry refuses as invalid or too large. After any other error
 * the id may have been accepted before, and this may be a resubmission.
 */
static bool
is_certainly_not_run (const HsFrontendRequest *request, HsErrorKind kind)
{
  if (request->verb != HSX_SUBMIT)
    return false;
  return kind == HS_ERROR_INVALID || kind == HS_ERROR_TOO_LARGE;
}

static enum MHD_Result
respond_error (HsFrontendRequest *request)
{
  const GError *error = request->error;
  HsErrorKind kind = (HsErrorKind) error->code;
  unsigned int status = request->status_override != 0
                            ? request->status_override
                            : hs_error_http_status (kind);
  size_t len;
  char *text
      = hs_job_error_to_json (request, kind, error->message,
                              is_certainly_not_run (request, kind), &len);

  return respond (request, status, text, len,
                  kind == HS_ERROR_UNAVAILABLE ? DEFAULT_RETRY_AFTER_MS : 0);
}

static enum MHD_Result
respond_answer (HsFrontendRequest *request)
{
  const HsJobRequest *job = request->job;
  const hsx_answer *answer = job->answer;
  size_t len;
  char *text = hs_job_answer_to_json (request, job->args, answer, &len);
  unsigned int retry_after_ms
      = answer->state == HSX_JOB_REFUSED ? answer->retry_after_ms : 0;

  return respond (request, hs_job_answer_http_status (answer), text, len,
                  retry_after_ms);
}
