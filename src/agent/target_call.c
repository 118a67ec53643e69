#include "agent/target_call.h"

#include <string.h>
#include <strings.h>

#include <glib.h>

#include "agent/target_msg.h"

/** Idle time after which a connection to a target is not reused. */
#define IDLE_CONNECTION_MAX_S 30L
/** Limit on the time to connect; short, as the target is on the same host. */
#define CONNECT_TIMEOUT_MS 1000L
#define HTTP_NO_CONTENT 204

struct HsTargetCall
{
  HsCurl *curl;
  CURL *easy; /* NULL once the transfer has ended. */
  struct curl_slist *headers;
  char *task;
  GByteArray *body;
  bool names_task;       /* The answer has named this task. */
  bool names_wrong_task; /* The answer has named another task, or none. */
  bool has_length;       /* A truncated answer can be recognised. */
  HsTargetCallDone done;
  void *arg;
};

static int free_call (HsTargetCall *call);
static void
set_options (HsTargetCall *call, const char *address, const hsx_start *start);
static size_t on_header (char *data, size_t size, size_t n, void *arg);
static size_t on_body (char *data, size_t size, size_t n, void *arg);
static void on_done (void *arg, CURL *easy, CURLcode result, bool sent);
static HsTargetCallEnd
classify_end (const HsTargetCall *call, CURLcode result, bool sent);

HsTargetCall *
hs_target_call (TALLOC_CTX *ctx,
                HsCurl *curl,
                const char *address,
                const hsx_start *start,
                HsTargetCallDone done,
                void *arg)
{
  HsTargetCall *call = talloc_zero (ctx, HsTargetCall);

  call->curl = curl;
  call->easy = curl_easy_init ();
  if (call->easy == NULL)
    g_error ("out of memory");
  call->task = hs_target_task_name (call, &start->key);
  call->body = g_byte_array_new ();
  call->done = done;
  call->arg = arg;
  talloc_set_destructor (call, free_call);
  set_options (call, address, start);
  hs_curl_add (curl, call->easy, on_done, call);
  return call;
}

char *
hs_target_task_name (TALLOC_CTX *ctx, const hsx_task_key *key)
{
  g_autofree char *customer = g_uri_escape_string (key->customer, NULL, FALSE);
  g_autofree char *id = g_uri_escape_string (key->id, NULL, FALSE);

  return talloc_asprintf (ctx, "%s/%s/%u", customer, id, key->index);
}

static int
free_call (HsTargetCall *call)
{
  if (call->easy != NULL)
    hs_curl_remove (call->curl, call->easy);
  curl_slist_free_all (call->headers);
  g_byte_array_unref (call->body);
  return 0;
}

static void
set_options (HsTargetCall *call, const char *address, const hsx_start *start)
{
  CURL *easy = call->easy;
  char *url = talloc_asprintf (call, "http://%s/run", address);
  char *task = talloc_asprintf (call, HS_TARGET_TASK_HEADER ": %s", call->task);
  char *timeout = talloc_asprintf (call, HS_TARGET_TIMEOUT_HEADER ": %u",
                                   start->timeout_ms);

  call->headers = curl_slist_append (call->headers, task);
  call->headers = curl_slist_append (call->headers, timeout);
  call->headers = curl_slist_append (call->headers,
                                     "Content-Type: application/octet-stream");
  call->headers = curl_slist_append (call->headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long) start->body.body_len);
  curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS,
                    start->body.body_len > 0 ? start->body.body_val : "");
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long) MAX (start->timeout_ms, 1));
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_MAX_S);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
}

/* Returns the value of a header line without surrounding white space, or
   NULL if the header has another name. */
static char *
header_value (const char *data, size_t len, const char *name)
{
  size_t name_len = strlen (name);

  if (len <= name_len || data[name_len] != ':'
      || strncasecmp (data, name, name_len) != 0)
    return NULL;
  return g_strstrip (g_strndup (data + name_len + 1, len - name_len - 1));
}

/* Checks the headers of an answer. Aborts the transfer, which closes the
   connection, if the answer names another task or no task, or if its length
   is unknown, so that its end could not be recognised. */
static size_t
on_end_of_headers (HsTargetCall *call, size_t len)
{
  long status = 0;

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200)
    return len;
  if (!call->names_task)
    call->names_wrong_task = true;
  if (call->names_wrong_task
      || (!call->has_length && status != HTTP_NO_CONTENT))
    return 0;
  return len;
}

static size_t
on_header (char *data, size_t size, size_t n, void *arg)
{
  HsTargetCall *call = arg;
  size_t len = size * n;
  g_autofree char *task = header_value (data, len, HS_TARGET_TASK_HEADER);
  g_autofree char *length = header_value (data, len, "Content-Length");
  g_autofree char *coding = header_value (data, len, "Transfer-Encoding");

  if (len <= 2)
    return on_end_of_headers (call, len);
  if (task != NULL && strcmp (task, call->task) == 0)
    call->names_task = true;
  else if (task != NULL)
    call->names_wrong_task = true;
  if (length != NULL || coding != NULL)
    call->has_length = true;
  return len;
}

static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  HsTargetCall *call = arg;
  size_t len = size * n;

  if (call->body->len + len > HSX_BODY_MAX)
    return 0;
  g_byte_array_append (call->body, (const guint8 *) data, (guint) len);
  return len;
}

static void
on_done (void *arg, CURL *easy, CURLcode result, bool sent)
{
  HsTargetCall *call = arg;
  HsTargetCallEnd end = classify_end (call, result, sent);
  HsTaskCompletion completion = { .outcome = HSX_MAYBE };
  curl_off_t run_us = 0;
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_TOTAL_TIME_T, &run_us);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  call->easy = NULL;
  completion.run_us = (uint32_t) MIN (run_us, UINT32_MAX);
  if (end == HS_TARGET_CALL_UNSENT)
    completion.outcome = HSX_REFUSED;
  if (end == HS_TARGET_CALL_ANSWERED)
    {
      completion.outcome = status / 100 == 2 ? HSX_DONE : HSX_FAILED;
      completion.http_status = (uint32_t) status;
      completion.body = (const char *) call->body->data;
      completion.body_len = call->body->len;
    }
  call->done (call->arg, end, &completion);
  talloc_free (call);
}

static HsTargetCallEnd
classify_end (const HsTargetCall *call, CURLcode result, bool sent)
{
  if (!sent)
    return HS_TARGET_CALL_UNSENT;
  if (call->names_wrong_task)
    return HS_TARGET_CALL_WRONG_TASK;
  if (result == CURLE_OPERATION_TIMEDOUT)
    return HS_TARGET_CALL_TIMEOUT;
  return result == CURLE_OK ? HS_TARGET_CALL_ANSWERED : HS_TARGET_CALL_BROKEN;
}
