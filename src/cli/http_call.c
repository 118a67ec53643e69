#include "cli/http_call.h"

#include <stdbool.h>

#include <curl/curl.h>

/* A larger response body ends the call with HS_HTTP_UNKNOWN. */
#define RESPONSE_MAX_BYTES (256u * 1024 * 1024)

static size_t append_body (char *data, size_t size, size_t n, void *arg);
static struct curl_slist *make_headers (const HsHttpCall *call);
static HsHttpOutcome classify_outcome (CURL *curl, CURLcode code);

HsHttpResponse *
hs_http_call (TALLOC_CTX *ctx, const HsHttpCall *call)
{
  HsHttpResponse *response = talloc_zero (ctx, HsHttpResponse);
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = make_headers (call);
  CURLcode code;

  response->body = talloc_strdup (response, "");
  curl_easy_setopt (curl, CURLOPT_URL, call->url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, call->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  if (call->body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
  code = curl_easy_perform (curl);
  response->outcome = classify_outcome (curl, code);
  response->error = curl_easy_strerror (code);
  if (response->outcome == HS_HTTP_RESPONDED)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response->status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return response;
}

static size_t
append_body (char *data, size_t size, size_t n, void *arg)
{
  HsHttpResponse *response = arg;

  if (talloc_get_size (response->body) + size * n > RESPONSE_MAX_BYTES)
    return 0;
  response->body
      = talloc_strndup_append_buffer (response->body, data, size * n);
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
classify_outcome (CURL *curl, CURLcode code)
{
  curl_off_t sent_us = 0;

  switch (code)
    {
    case CURLE_OK:
      return HS_HTTP_RESPONDED;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return HS_HTTP_BAD_URL;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
      return HS_HTTP_UNREACHABLE;
    default:
      /* Zero until the connection is set up and the request is about to be
         sent. */
      curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME_T, &sent_us);
      return sent_us == 0 ? HS_HTTP_UNREACHABLE : HS_HTTP_UNKNOWN;
    }
}
