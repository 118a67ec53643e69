#include "cli/http_call.h"

#include <stdbool.h>

#include <curl/curl.h>

/* An answer larger than this is cut off and counts as not whole. */
#define REPLY_MAX (256u * 1024 * 1024)

static size_t take_body (char *data, size_t size, size_t n, void *arg);
static struct curl_slist *make_headers (const HsHttpCall *call);
static HsHttpOutcome outcome_of (CURL *curl, CURLcode code);

HsHttpReply *
hs_http_call (TALLOC_CTX *ctx, const HsHttpCall *call)
{
  HsHttpReply *reply = talloc_zero (ctx, HsHttpReply);
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = make_headers (call);
  CURLcode code;

  reply->body = talloc_strdup (reply, "");
  curl_easy_setopt (curl, CURLOPT_URL, call->url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, call->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, reply);
  if (call->body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
  code = curl_easy_perform (curl);
  reply->outcome = outcome_of (curl, code);
  reply->error = curl_easy_strerror (code);
  if (reply->outcome == HS_HTTP_ANSWERED)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &reply->status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return reply;
}

static size_t
take_body (char *data, size_t size, size_t n, void *arg)
{
  HsHttpReply *reply = arg;

  if (talloc_get_size (reply->body) + size * n > REPLY_MAX)
    return 0;
  reply->body = talloc_strndup_append_buffer (reply->body, data, size * n);
  return size * n;
}

static struct curl_slist *
make_headers (const HsHttpCall *call)
{
  struct curl_slist *headers = NULL;
  char *line;

  if (call->body != NULL)
    headers = curl_slist_append (headers, "Content-Type: application/json");
  if (call->bearer == NULL)
    return headers;
  line = talloc_asprintf (NULL, "Authorization: Bearer %s", call->bearer);
  headers = curl_slist_append (headers, line);
  talloc_free (line);
  return headers;
}

static HsHttpOutcome
outcome_of (CURL *curl, CURLcode code)
{
  curl_off_t sent_us = 0;

  switch (code)
    {
    case CURLE_OK:
      return HS_HTTP_ANSWERED;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return HS_HTTP_BAD_URL;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
      return HS_HTTP_UNREACHABLE;
    default:
      /* Zero until the connection stands and the request is about to go. */
      curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME_T, &sent_us);
      return sent_us == 0 ? HS_HTTP_UNREACHABLE : HS_HTTP_UNKNOWN;
    }
}
