#include <string.h>

#include "base/log.h"
#include "base/timer.h"
#include "platform/store_wire.h"
#include "store/client.h"

#define REDIAL_MIN (100 * HS_MSEC)
#define REDIAL_MAX (2 * HS_SEC)

/* A long poll's answer comes after this. Much shorter than the time in which
   a change has to be known, since a connection may be silent for good. */
#define POLL_WAIT (5 * HS_SEC)

/* A host that vanished is noticed by TCP's probes; the store itself may be
   silent for minutes. */
#define PROBE_IDLE_S 5L
#define PROBE_INTERVAL_S 2L

struct HsStoreWatch
{
  HsStore *store;
  char *prefix;
  int64_t next_revision; /* 0: from the present on. */
  HsWatchFunc func;
  void *arg;
  size_t endpoint;
  CURL *easy; /* NULL: waits to redial, or compacted. */
  HsStoreReceiver receiver;
  GByteArray *buffer;
  struct tevent_immediate *deliver;
  HsTimer *timer; /* To redial, or to cut. */
  bool redials;   /* What the timer does. */
  HsTime backoff;
  bool ended; /* Compacted: nothing more comes. */
  bool *freed;
  HsStoreWatch *prev;
  HsStoreWatch *next;
};

static int free_watch (HsStoreWatch *watch);
static void dial (HsStoreWatch *watch);
static void cut (HsStoreWatch *watch);
static void on_timer (void *arg);
static bool handle_line (HsStoreWatch *watch, HsWatchLine *line);
static void handle_poll (HsStoreWatch *watch, long http_status);
static void cut_after (HsStoreWatch *watch, HsTime delay);
static bool append_data (void *arg, const char *data, size_t len);
static void on_watch_end (void *arg, CURL *easy, CURLcode result, bool sent);
static void
on_deliver (struct tevent_context *ev, struct tevent_immediate *im, void *arg);

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t start_revision,
                HsWatchFunc func,
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
  watch->backoff = REDIAL_MIN;
  watch->next = store->watches;
  if (watch->next != NULL)
    watch->next->prev = watch;
  store->watches = watch;
  talloc_set_destructor (watch, free_watch);
  dial (watch);
  return watch;
}

void
hs_store_free_watches (HsStore *store)
{
  while (store->watches != NULL)
    talloc_free (store->watches);
}

void
hs_store_move_watches (HsStore *store, size_t endpoint)
{
  HsStoreWatch *watch;

  for (watch = store->watches; watch != NULL; watch = watch->next)
    if (watch->easy != NULL && watch->endpoint == endpoint)
      cut_after (watch, 0);
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
dial (HsStoreWatch *watch)
{
  HsStore *store = watch->store;
  HsStoreMessage message = hs_store_wire_watch (
      store->protocol, watch, watch->prefix, watch->next_revision, POLL_WAIT);

  store->stats.watches++;
  watch->endpoint = store->endpoint;
  watch->easy = hs_store_request (store, &message, &watch->receiver);
  curl_easy_setopt (watch->easy, CURLOPT_TCP_KEEPIDLE, PROBE_IDLE_S);
  curl_easy_setopt (watch->easy, CURLOPT_TCP_KEEPINTVL, PROBE_INTERVAL_S);
  talloc_free (message.path);
  talloc_free (message.body);
  cut_after (watch, store->protocol == HS_STORE_PLATFORM
                        ? POLL_WAIT + store->timeout
                        : store->timeout);
  hs_curl_add (store->curl, watch->easy, on_watch_end, watch);
}

/* Cuts the watch unless a line comes before. */
static void
cut_after (HsStoreWatch *watch, HsTime delay)
{
  watch->redials = false;
  hs_timer_set (watch->timer, delay, hs_now ().mono);
}

static void
redial_after (HsStoreWatch *watch, HsTime delay)
{
  watch->redials = true;
  hs_timer_set (watch->timer, delay, hs_now ().mono);
}

static void
on_timer (void *arg)
{
  HsStoreWatch *watch = arg;

  if (watch->redials)
    dial (watch);
  else
    cut (watch);
}

/* Ends the connection, arranges the next one and tells the caller. */
static void
cut (HsStoreWatch *watch)
{
  HsWatchNote note = { .kind = HS_WATCH_CUT };

  if (watch->easy != NULL)
    hs_curl_remove (watch->store->curl, watch->easy);
  watch->easy = NULL;
  g_byte_array_set_size (watch->buffer, 0);
  hs_store_endpoint_failed (watch->store, watch->endpoint);
  redial_after (watch, watch->backoff);
  watch->backoff = MIN (watch->backoff * 2, REDIAL_MAX);
  note.revision = MAX (watch->next_revision - 1, 0);
  watch->func (watch->arg, &note);
}

/* Lines are handled outside libcurl's callback, so that the caller is free
   to end the watch or the client. */
static bool
append_data (void *arg, const char *data, size_t len)
{
  HsStoreWatch *watch = arg;

  if (len > HS_STORE_ANSWER_MAX - watch->buffer->len)
    return false;
  g_byte_array_append (watch->buffer, (const guint8 *) data, (guint) len);
  if (watch->store->protocol == HS_STORE_PLATFORM)
    return true;
  tevent_schedule_immediate (watch->deliver, watch->store->ev, on_deliver,
                             watch);
  return true;
}

/* A revision in a line that has events may be ahead of events still to come;
   only an event's own revision, or that of a line without events, tells how
   far the watch is. */
static void
note_progress (HsStoreWatch *watch, const HsWatchLine *line, HsWatchNote *note)
{
  if (line->n_events > 0)
    {
      note->kind = HS_WATCH_EVENTS;
      note->n_events = line->n_events;
      note->events = line->events;
      note->revision = line->events[line->n_events - 1].kv.mod_revision;
    }
  else
    {
      note->kind = HS_WATCH_PROGRESS;
      note->revision = line->revision;
      if (line->created && watch->next_revision > 0)
        note->revision = watch->next_revision - 1;
    }
  watch->next_revision = MAX (watch->next_revision, note->revision + 1);
}

/* The store has nothing more to tell; the caller has to begin anew. */
static void
end (HsStoreWatch *watch)
{
  watch->ended = true;
  hs_timer_clear (watch->timer);
  if (watch->easy != NULL)
    hs_curl_remove (watch->store->curl, watch->easy);
  watch->easy = NULL;
  g_byte_array_set_size (watch->buffer, 0);
}

static bool
handle_text (HsStoreWatch *watch, const char *text, size_t len)
{
  HsWatchLine line = { 0 };
  TALLOC_CTX *ctx = talloc_new (NULL);
  bool goes_on;

  if (!hs_store_decode_watch (ctx, text, len, &line)
      || (line.canceled && line.compact_revision == 0))
    {
      hs_warn ("store", "watch of %s cut by an answer not understood",
               watch->prefix);
      cut (watch);
      talloc_free (ctx);
      return false;
    }
  goes_on = handle_line (watch, &line);
  talloc_free (ctx);
  return goes_on;
}

/* False if the watch is cut, compacted or freed. */
static bool
handle_line (HsStoreWatch *watch, HsWatchLine *line)
{
  HsWatchNote note = { 0 };
  bool *freed = talloc_zero (NULL, bool);
  bool goes_on;

  if (line->compact_revision > 0)
    {
      note.kind = HS_WATCH_COMPACTED;
      note.revision = line->compact_revision;
      end (watch);
    }
  else
    {
      note_progress (watch, line, &note);
      watch->backoff = REDIAL_MIN;
      hs_timer_clear (watch->timer);
    }
  watch->freed = freed;
  watch->func (watch->arg, &note);
  if (!*freed)
    watch->freed = NULL;
  goes_on = !*freed && !watch->ended;
  talloc_free (freed);
  return goes_on;
}

/* False if the watch is cut, compacted or freed. */
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
      if (!handle_text (watch, text, len))
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
  if (watch->store->protocol == HS_STORE_PLATFORM)
    handle_poll (watch, http_status);
  else if (handle_lines (watch))
    cut (watch);
}

/* A poll's answer is one line; the next poll follows at once. */
static void
handle_poll (HsStoreWatch *watch, long http_status)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  HsWatchLine line = { 0 };

  if (!hs_store_platform_decode_events (ctx, http_status,
                                        (const char *) watch->buffer->data,
                                        watch->buffer->len, &line))
    cut (watch);
  else
    {
      int64_t reached = line.revision;

      g_byte_array_set_size (watch->buffer, 0);
      if (handle_line (watch, &line))
        {
          watch->next_revision = MAX (watch->next_revision, reached + 1);
          redial_after (watch, 0);
        }
    }
  talloc_free (ctx);
}
