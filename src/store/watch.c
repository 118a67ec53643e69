#include <string.h>

#include "base/log.h"
#include "base/timer.h"
#include "platform/store_wire.h"
#include "store/poll_schedule.h"
#include "store/store_private.h"

#define RECONNECT_DELAY_MIN (100 * HS_MSEC)
#define RECONNECT_DELAY_MAX (2 * HS_SEC)

/* A stream is opened anew after it has been silent for this long, as its
   connection may have been lost without notice. Changes have to be known within
   6 s. */
#define STREAM_SILENCE_MAX (4 * HS_SEC)

typedef enum
{
  TIMER_CONNECT,
  TIMER_DISCONNECT, /* No response came in time. */
  TIMER_REOPEN      /* The stream has been silent for long. */
} TimerAction;

struct HsStoreWatch
{
  HsStore *store;
  char *prefix;
  int64_t next_revision; /* 0: changes from now on. */
  HsStoreWatchFunc func;
  void *arg;
  size_t endpoint;
  CURL *easy; /* NULL: waits to reconnect, or ended. */
  HsStoreReceiver receiver;
  GByteArray *buffer;
  struct tevent_immediate *deliver;
  HsTimer *timer;
  TimerAction timer_action;
  HsTime backoff;       /* Streams only. */
  HsPollSchedule polls; /* Long polls only. */
  bool ended;           /* Compacted: no more updates. */
  bool *freed; /* Set to true when the watch is freed in its callback. */
  HsStoreWatch *prev;
  HsStoreWatch *next;
};

static int free_watch (HsStoreWatch *watch);
static void connect_watch (HsStoreWatch *watch);
static void disconnect (HsStoreWatch *watch);
static void on_timer (void *arg);
static bool handle_response (HsStoreWatch *watch,
                             HsStoreWatchResponse *response);
static void handle_poll_response (HsStoreWatch *watch, long http_status);
static void set_timer (HsStoreWatch *watch, TimerAction action, HsTime delay);
static bool append_data (void *arg, const char *data, size_t len);
static void on_watch_end (void *arg, CURL *easy, CURLcode result, bool sent);
static void
on_deliver (struct tevent_context *ev, struct tevent_immediate *im, void *arg);

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t start_revision,
                HsStoreWatchFunc func,
                void *arg)
{
  HsStoreWatch *watch = talloc_zero (store, HsStoreWatch);

  watch->store = store;
  watch->prefix = talloc_strdup (watch, prefix);
  watch->next_revision = start_revision;
  watch->func = func;
  watch->arg = arg;
  watch->receiver.sink = append_data;
  watch->receiver.arg = watch;
  watch->buffer = g_byte_array_new ();
  watch->deliver = tevent_create_immediate (watch);
  watch->timer = hs_timer_new (watch, store->ev, on_timer, watch);
  watch->backoff = RECONNECT_DELAY_MIN;
  watch->next = store->watches;
  if (watch->next != NULL)
    watch->next->prev = watch;
  store->watches = watch;
  talloc_set_destructor (watch, free_watch);
  connect_watch (watch);
  return watch;
}

void
hs_store_free_watches (HsStore *store)
{
  while (store->watches != NULL)
    talloc_free (store->watches);
}

void
hs_store_reconnect_watches (HsStore *store, size_t endpoint)
{
  HsStoreWatch *watch;

  for (watch = store->watches; watch != NULL; watch = watch->next)
    if (watch->easy != NULL && watch->endpoint == endpoint)
      set_timer (watch, TIMER_DISCONNECT, 0);
}

static int
free_watch (HsStoreWatch *watch)
{
  if (watch->freed != NULL)
    *watch->freed = true;
  if (watch->easy != NULL)
    hs_curl_remove (watch->store->curl, watch->easy);
  if (watch->prev != NULL)
    watch->prev->next = watch->next;
  else
    watch->store->watches = watch->next;
  if (watch->next != NULL)
    watch->next->prev = watch->prev;
  g_byte_array_unref (watch->buffer);
  return 0;
}

static void
connect_watch (HsStoreWatch *watch)
{
  HsStore *store = watch->store;
  HsStoreHttpRequest request = hs_store_wire_watch (
      store->protocol, watch, watch->prefix, watch->next_revision,
      hs_poll_schedule_wait (&watch->polls));

  store->stats.watches++;
  watch->endpoint = store->endpoint;
  watch->easy = hs_store_new_request_handle (store, &request, &watch->receiver);
  talloc_free (request.path);
  talloc_free (request.body);
  set_timer (watch, TIMER_DISCONNECT,
             store->protocol == HS_STORE_PROTOCOL_PLATFORM
                 ? hs_poll_schedule_limit (&watch->polls)
                 : store->timeout);
  hs_curl_add (store->curl, watch->easy, on_watch_end, watch);
}

static void
set_timer (HsStoreWatch *watch, TimerAction action, HsTime delay)
{
  watch->timer_action = action;
  hs_timer_set (watch->timer, delay, hs_now ().mono);
}

static void
on_timer (void *arg)
{
  HsStoreWatch *watch = arg;

  switch (watch->timer_action)
    {
    case TIMER_CONNECT:
      connect_watch (watch);
      return;
    case TIMER_DISCONNECT:
      hs_store_note_silence (watch->store, hs_now ().mono);
      disconnect (watch);
      return;
    case TIMER_REOPEN:
      hs_curl_remove (watch->store->curl, watch->easy);
      watch->easy = NULL;
      g_byte_array_set_size (watch->buffer, 0);
      connect_watch (watch);
      return;
    }
}

static HsTime
next_pause (HsStoreWatch *watch)
{
  HsTime pause = watch->backoff;

  if (watch->store->protocol == HS_STORE_PROTOCOL_PLATFORM)
    return hs_poll_schedule_failed (&watch->polls);
  watch->backoff = MIN (watch->backoff * 2, RECONNECT_DELAY_MAX);
  return pause;
}

/* Closes the connection, schedules the next one and notifies the caller. */
static void
disconnect (HsStoreWatch *watch)
{
  HsStoreWatchUpdate update = { .kind = HS_STORE_WATCH_DISCONNECTED };

  if (watch->easy != NULL)
    hs_curl_remove (watch->store->curl, watch->easy);
  watch->easy = NULL;
  g_byte_array_set_size (watch->buffer, 0);
  hs_store_endpoint_failed (watch->store, watch->endpoint);
  set_timer (watch, TIMER_CONNECT, next_pause (watch));
  update.revision = MAX (watch->next_revision - 1, 0);
  watch->func (watch->arg, &update);
}

/* Lines are handled outside libcurl's callback, so that the caller may free the
   watch or the store. */
static bool
append_data (void *arg, const char *data, size_t len)
{
  HsStoreWatch *watch = arg;

  if (len > HS_STORE_RESPONSE_MAX_BYTES - watch->buffer->len)
    return false;
  g_byte_array_append (watch->buffer, (const guint8 *) data, (guint) len);
  if (watch->store->protocol == HS_STORE_PROTOCOL_PLATFORM)
    return true;
  tevent_schedule_immediate (watch->deliver, watch->store->ev, on_deliver,
                             watch);
  return true;
}

/* The revision of a response with events may be ahead of events still to come.
   Only the revision of an event, or of a response without events, says how far
   the watch has got. */
static void
update_progress (HsStoreWatch *watch,
                 const HsStoreWatchResponse *response,
                 HsStoreWatchUpdate *update)
{
  if (response->n_events > 0)
    {
      update->kind = HS_STORE_WATCH_EVENTS;
      update->n_events = response->n_events;
      update->events = response->events;
      update->revision
          = response->events[response->n_events - 1].kv.mod_revision;
    }
  else
    {
      update->kind = HS_STORE_WATCH_PROGRESS;
      update->revision = response->revision;
      if (response->created && watch->next_revision > 0)
        update->revision = watch->next_revision - 1;
    }
  watch->next_revision = MAX (watch->next_revision, update->revision + 1);
}

/* Ends a compacted watch; the caller has to start a new one. */
static void
end_watch (HsStoreWatch *watch)
{
  watch->ended = true;
  hs_timer_clear (watch->timer);
  if (watch->easy != NULL)
    hs_curl_remove (watch->store->curl, watch->easy);
  watch->easy = NULL;
  g_byte_array_set_size (watch->buffer, 0);
}

static bool
handle_line (HsStoreWatch *watch, const char *text, size_t len)
{
  HsStoreWatchResponse response = { 0 };
  TALLOC_CTX *ctx = talloc_new (NULL);
  bool active;

  if (!hs_store_decode_watch (ctx, text, len, &response)
      || (response.canceled && response.compact_revision == 0))
    {
      hs_warn ("store",
               "watch of %s was cancelled or got an invalid response; "
               "reconnecting",
               watch->prefix);
      disconnect (watch);
      talloc_free (ctx);
      return false;
    }
  active = handle_response (watch, &response);
  talloc_free (ctx);
  return active;
}

/* Returns false if the watch was disconnected, ended or freed. */
static bool
handle_response (HsStoreWatch *watch, HsStoreWatchResponse *response)
{
  HsStoreWatchUpdate update = { 0 };
  bool *freed = talloc_zero (NULL, bool);
  bool active;

  if (response->compact_revision > 0)
    {
      update.kind = HS_STORE_WATCH_COMPACTED;
      update.revision = response->compact_revision;
      end_watch (watch);
    }
  else
    {
      update_progress (watch, response, &update);
      watch->backoff = RECONNECT_DELAY_MIN;
      hs_poll_schedule_answered (&watch->polls);
      if (watch->store->protocol == HS_STORE_PROTOCOL_PLATFORM)
        hs_timer_clear (watch->timer);
      else
        set_timer (watch, TIMER_REOPEN, STREAM_SILENCE_MAX);
    }
  watch->freed = freed;
  watch->func (watch->arg, &update);
  if (!*freed)
    watch->freed = NULL;
  active = !*freed && !watch->ended;
  talloc_free (freed);
  return active;
}

/* Returns false if the watch was disconnected, ended or freed. */
static bool
handle_lines (HsStoreWatch *watch)
{
  const char *newline;

  while (watch->buffer->len > 0
         && (newline = memchr (watch->buffer->data, '\n', watch->buffer->len))
                != NULL)
    {
      size_t len = (size_t) (newline - (const char *) watch->buffer->data);
      g_autofree char *text = g_strndup ((char *) watch->buffer->data, len);

      g_byte_array_remove_range (watch->buffer, 0, (guint) len + 1);
      if (!handle_line (watch, text, len))
        return false;
    }
  return true;
}

static void
on_deliver (struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
  (void) ev;
  (void) im;
  handle_lines (arg);
}

static void
on_watch_end (void *arg, CURL *easy, CURLcode result, bool sent)
{
  HsStoreWatch *watch = arg;
  long http_status = 0;

  (void) sent;
  if (result == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &http_status);
  curl_easy_cleanup (easy);
  watch->easy = NULL;
  if (watch->store->protocol == HS_STORE_PROTOCOL_PLATFORM)
    handle_poll_response (watch, http_status);
  else if (handle_lines (watch))
    disconnect (watch);
}

/* The response of a long poll is one JSON object; the next poll follows at
   once. */
static void
handle_poll_response (HsStoreWatch *watch, long http_status)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  HsStoreWatchResponse response = { 0 };

  if (!hs_store_platform_decode_events (ctx, http_status,
                                        (const char *) watch->buffer->data,
                                        watch->buffer->len, &response))
    disconnect (watch);
  else
    {
      int64_t reached = response.revision;

      g_byte_array_set_size (watch->buffer, 0);
      if (handle_response (watch, &response))
        {
          watch->next_revision = MAX (watch->next_revision, reached + 1);
          set_timer (watch, TIMER_CONNECT, 0);
        }
    }
  talloc_free (ctx);
}
