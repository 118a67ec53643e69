/**
 * @file
 * An HTTP request that runs in its own thread, for tests of servers.
 */
#ifndef HS_TEST_HTTP_CALLER_H
#define HS_TEST_HTTP_CALLER_H

#include <pthread.h>

#include <curl/curl.h>
#include <glib.h>

typedef struct
{
  const char *method;
  char *url;
  const char *body;
  const char *key;
  void (*on_done) (
      void *arg); /**< Called in the thread at its end; NULL: none. */
  void *arg;
  long status; /**< HTTP status; 0 without a response. */
  GString *text;
  GString *headers;
  pthread_t thread;
  bool running;
} Caller;

static inline size_t
append_data (char *data, size_t size, size_t n, void *arg)
{
  g_string_append_len (arg, data, (gssize) (size * n));
  return size * n;
}

/** Sends the request and waits for the response. */
static inline void *
caller_run (void *arg)
{
  Caller *caller = arg;
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = NULL;
  g_autofree char *bearer = g_strconcat (
      "Authorization: Bearer ", caller->key != NULL ? caller->key : "", NULL);

  if (caller->key != NULL)
    headers = curl_slist_append (headers, bearer);
  curl_easy_setopt (easy, CURLOPT_URL, caller->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, caller->method);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  if (caller->body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, caller->body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, caller->text);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, caller->headers);
  curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &caller->status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  if (caller->on_done != NULL)
    caller->on_done (caller->arg);
  return NULL;
}

static inline Caller *
caller_new (unsigned int port,
            const char *method,
            const char *path,
            const char *body,
            const char *key)
{
  Caller *caller = g_new0 (Caller, 1);

  caller->method = method;
  caller->url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  caller->body = body;
  caller->key = key;
  caller->text = g_string_new (NULL);
  caller->headers = g_string_new (NULL);
  return caller;
}

static inline void
caller_start (Caller *caller)
{
  assert_int_equal (pthread_create (&caller->thread, NULL, caller_run, caller),
                    0);
  caller->running = true;
}

static inline void
caller_join (Caller *caller)
{
  if (caller->running)
    pthread_join (caller->thread, NULL);
  caller->running = false;
}

static inline void
caller_free (Caller *caller)
{
  caller_join (caller);
  g_string_free (caller->text, TRUE);
  g_string_free (caller->headers, TRUE);
  g_free (caller->url);
  g_free (caller);
}

#endif
