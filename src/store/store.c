#include "store/store.h"

#include <string.h>

#include "base/log.h"
#include "store/store_private.h"

struct HsStoreCall
{
  HsStore *store;
  HsStoreCallKind kind;
  size_t endpoint;
  CURL *easy;
  HsStoreReceiver receiver;
  GByteArray *response;
  HsStoreReplyFunc done;
  void *arg;
  HsStoreCall *prev;
  HsStoreCall *next;
};

static int free_store (HsStore *store);
static int free_call (HsStoreCall *call);
static void
leave_silent_connections (const HsStore *store, CURL *easy, HsTime now);
static void start_call (HsStore *store,
                        HsStoreCallKind kind,
                        const HsStoreHttpRequest *request,
                        HsStoreReplyFunc done,
                        void *arg);
static bool append_response (void *arg, const char *data, size_t len);
static void on_call_end (void *arg, CURL *easy, CURLcode result, bool sent);
static size_t on_data (char *data, size_t size, size_t n, void *arg);

HsStore *
hs_store_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              const char *const *endpoints,
              HsTime timeout)
{
  HsStore *store = talloc_zero (ctx, HsStore);
  size_t i;

  store->ev = ev;
  store->timeout = timeout;
  store->curl = hs_curl_new (store, ev);
  while (endpoints[store->n_endpoints] != NULL)
    store->n_endpoints++;
  g_assert (store->n_endpoints > 0);
  store->endpoints = talloc_array (store, char *, store->n_endpoints);
  for (i = 0; i < store->n_endpoints; i++)
    store->endpoints[i] = talloc_strdup (store->endpoints, endpoints[i]);
  store->headers = curl_slist_append (NULL, "Content-Type: application/json");
  /* Otherwise libcurl waits for "100 Continue" before large bodies. */
  store->headers = curl_slist_append (store->headers, "Expect:");
  talloc_set_destructor (store, free_store);
  return store;
}

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t limit,
                HsStoreReplyFunc done,
                void *arg)
{
  TALLOC_CTX *ctx = talloc_new (store);
  HsStoreHttpRequest request
      = hs_store_wire_range (store->protocol, ctx, prefix, limit);

  store->stats.ranges++;
  start_call (store, HS_STORE_CALL_RANGE, &request, done, arg);
  talloc_free (ctx);
}

void
hs_store_txn (HsStore *store,
              const HsStoreTxn *txn,
              HsStoreReplyFunc done,
              void *arg)
{
  TALLOC_CTX *ctx = talloc_new (store);
  HsStoreHttpRequest request = hs_store_wire_txn (store->protocol, ctx, txn);

  store->stats.txns++;
  start_call (store, HS_STORE_CALL_TXN, &request, done, arg);
  talloc_free (ctx);
}

void
hs_store_lease_grant (HsStore *store,
                      int64_t ttl_s,
                      HsStoreReplyFunc done,
                      void *arg)
{
  TALLOC_CTX *ctx = talloc_new (store);
  HsStoreHttpRequest request
      = hs_store_wire_grant (store->protocol, ctx, ttl_s);

  store->stats.lease_calls++;
  start_call (store, HS_STORE_CALL_GRANT, &request, done, arg);
  talloc_free (ctx);
}

void
hs_store_lease_keepalive (HsStore *store,
                          int64_t lease,
                          HsStoreReplyFunc done,
                          void *arg)
{
  TALLOC_CTX *ctx = talloc_new (store);
  HsStoreHttpRequest request
      = hs_store_wire_keepalive (store->protocol, ctx, lease);

  store->stats.lease_calls++;
  start_call (store, HS_STORE_CALL_KEEPALIVE, &request, done, arg);
  talloc_free (ctx);
}

void
hs_store_lease_revoke (HsStore *store,
                       int64_t lease,
                       HsStoreReplyFunc done,
                       void *arg)
{
  TALLOC_CTX *ctx = talloc_new (store);
  HsStoreHttpRequest request
      = hs_store_wire_revoke (store->protocol, ctx, lease);

  store->stats.lease_calls++;
  start_call (store, HS_STORE_CALL_REVOKE, &request, done, arg);
  talloc_free (ctx);
}

void
hs_store_set_protocol (HsStore *store, HsStoreProtocol protocol)
{
  store->protocol = protocol;
}

const HsStoreStats *
hs_store_stats (const HsStore *store)
{
  return &store->stats;
}

CURL *
hs_store_new_request_handle (HsStore *store,
                             const HsStoreHttpRequest *request,
                             HsStoreReceiver *receiver)
{
  CURL *easy = curl_easy_init ();
  g_autofree char *url
      = g_strconcat (store->endpoints[store->endpoint], request->path, NULL);

  if (easy == NULL)
    g_error ("out of memory");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, store->headers);
  if (request->body != NULL)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, request->body);
  else if (strcmp (request->method, "GET") != 0)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long) (store->timeout / HS_MSEC));
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, receiver);
  leave_silent_connections (store, easy, hs_now ().mono);
  return easy;
}

void
hs_store_note_silence (HsStore *store, HsTime now)
{
  store->silent_at = now;
}

void
hs_store_endpoint_failed (HsStore *store, size_t endpoint)
{
  store->stats.failures++;
  if (store->endpoint != endpoint)
    return;
  if (store->n_endpoints == 1)
    return;
  store->endpoint = (endpoint + 1) % store->n_endpoints;
  hs_store_reconnect_watches (store, endpoint);
  hs_debug ("store", "endpoint %s failed; switching to %s",
            store->endpoints[endpoint], store->endpoints[store->endpoint]);
}

/* libcurl counts the age of connections in whole seconds, so that some that are
   younger than the silence are left too. */
static void
leave_silent_connections (const HsStore *store, CURL *easy, HsTime now)
{
  HsTime age = now - store->silent_at;

  if (store->silent_at == 0)
    return;
  if (age < 2 * HS_SEC)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_MAXLIFETIME_CONN,
                      (long) (age / HS_SEC) - 1);
}

static int
free_store (HsStore *store)
{
  while (store->calls != NULL)
    talloc_free (store->calls);
  hs_store_free_watches (store);
  TALLOC_FREE (store->curl);
  curl_slist_free_all (store->headers);
  return 0;
}

static size_t
on_data (char *data, size_t size, size_t n, void *arg)
{
  HsStoreReceiver *receiver = arg;

  if (!receiver->sink (receiver->arg, data, size * n))
    return 0;
  return size * n;
}

static void
start_call (HsStore *store,
            HsStoreCallKind kind,
            const HsStoreHttpRequest *request,
            HsStoreReplyFunc done,
            void *arg)
{
  HsStoreCall *call = talloc_zero (store, HsStoreCall);

  call->store = store;
  call->kind = kind;
  call->endpoint = store->endpoint;
  call->receiver.sink = append_response;
  call->receiver.arg = call;
  call->response = g_byte_array_new ();
  call->done = done;
  call->arg = arg;
  call->next = store->calls;
  if (call->next != NULL)
    call->next->prev = call;
  store->calls = call;
  talloc_set_destructor (call, free_call);
  call->easy = hs_store_new_request_handle (store, request, &call->receiver);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                    (long) (store->timeout / HS_MSEC));
  hs_curl_add (store->curl, call->easy, on_call_end, call);
}

static void
unlink_call (HsStoreCall *call)
{
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    call->store->calls = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
}

static int
free_call (HsStoreCall *call)
{
  hs_curl_remove (call->store->curl, call->easy);
  unlink_call (call);
  g_byte_array_unref (call->response);
  return 0;
}

static bool
append_response (void *arg, const char *data, size_t len)
{
  HsStoreCall *call = arg;

  if (len > HS_STORE_RESPONSE_MAX_BYTES - call->response->len)
    return false;
  g_byte_array_append (call->response, (const guint8 *) data, (guint) len);
  return true;
}

static HsStoreStatus
read_response (HsStoreCall *call,
               CURLcode result,
               bool sent,
               HsStoreReply *reply)
{
  long http_status = 0;

  if (!sent)
    return HS_STORE_NOT_APPLIED;
  if (result != CURLE_OK)
    return HS_STORE_UNKNOWN;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &http_status);
  return hs_store_wire_read_response (
      call->store->protocol, call, call->kind, http_status,
      (const char *) call->response->data, call->response->len, reply);
}

static void
on_call_end (void *arg, CURL *easy, CURLcode result, bool sent)
{
  HsStoreCall *call = arg;
  HsStoreReply reply = { 0 };

  if (result == CURLE_OPERATION_TIMEDOUT)
    hs_store_note_silence (call->store, hs_now ().mono);
  reply.status = read_response (call, result, sent, &reply);
  if (reply.status != HS_STORE_OK)
    hs_store_endpoint_failed (call->store, call->endpoint);
  curl_easy_cleanup (easy);
  g_byte_array_unref (call->response);
  /* The callback may free the store; the reply must stay valid. */
  unlink_call (call);
  talloc_set_destructor (call, NULL);
  talloc_steal (NULL, call);
  call->done (call->arg, &reply);
  talloc_free (call);
}
