/**
 * @file
 * standin-platform-store: stands in for the key-value store of the users'
 * platform and speaks its protocol. POST /fault injects faults; PUT and DELETE
 * /op/KEY write and delete a key on behalf of the operators.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "base/timer.h"
#include "http.h"
#include "kv.h"
#include "platform/json.h"

/** Interval at which leases and pending watches are checked. */
#define POLL_INTERVAL (5 * HS_MSEC)

/** Limit on the time for which a watch waits. */
#define WAIT_MAX_MS 30000

typedef struct
{
  HsStandinRequest *request;
  char *prefix;
  int64_t after;
  HsTime expires_at;
} Watch;

typedef struct
{
  struct tevent_context *ev;
  HsStandinHttp *http;
  HsKv *kv;
  HsTimer *timer;
  GPtrArray *watches;
  bool down;            /* Answer 503 to each request. */
  bool unresponsive;    /* Answer no request. */
  int64_t lose_answers; /* Number of next writes to apply without an answer. */
  HsTime delay;
  bool stop;
} Store;

static struct json_object *
record_json (const HsKvRecord *record)
{
  struct json_object *o = json_object_new_object ();
  g_autofree char *value
      = g_base64_encode ((const guchar *) record->value, record->value_len);

  json_object_object_add (o, "key", json_object_new_string (record->key));
  json_object_object_add (o, "value", json_object_new_string (value));
  json_object_object_add (o, "revision",
                          json_object_new_int64 (record->mod_revision));
  json_object_object_add (o, "created",
                          json_object_new_int64 (record->create_revision));
  json_object_object_add (o, "lease", json_object_new_int64 (record->lease));
  return o;
}

static void
respond (HsStandinRequest *request, unsigned int status, struct json_object *o)
{
  char *text = talloc_strdup (NULL, o != NULL ? json_object_to_json_string_ext (
                                        o, JSON_C_TO_STRING_PLAIN)
                                              : "{}");

  json_object_put (o);
  hs_standin_respond (request, status, text);
}

/* The range of a prefix ends at the prefix with its last byte incremented. */
static HsKvRange
range_of_prefix (TALLOC_CTX *ctx, const char *prefix)
{
  char *end = talloc_strdup (ctx, prefix);
  HsKvRange range = { prefix, end };

  if (end[0] != '\0')
    end[strlen (end) - 1]++;
  return range;
}

static void
handle_range (Store *store, HsStandinRequest *request)
{
  const char *prefix = hs_standin_query (request, "path_prefix");
  TALLOC_CTX *ctx = talloc_new (NULL);
  HsKvRange range = range_of_prefix (ctx, prefix != NULL ? prefix : "");
  struct json_object *o = json_object_new_object ();
  struct json_object *items = json_object_new_array ();
  HsKvOpResult result = { 0 };
  guint i;

  hs_kv_range (store->kv, &range, 0, 0, &result);
  for (i = 0; result.records != NULL && i < result.records->len; i++)
    json_object_array_add (items,
                           record_json (g_ptr_array_index (result.records, i)));
  if (result.records != NULL)
    g_ptr_array_unref (result.records);
  json_object_object_add (o, "items", items);
  json_object_object_add (o, "has_more", json_object_new_boolean (false));
  json_object_object_add (o, "current_rev",
                          json_object_new_int64 (hs_kv_revision (store->kv)));
  respond (request, 200, o);
  talloc_free (ctx);
}

/* Answers a watch if there are changes, its time is over or its history has
   been compacted. Returns whether it was answered. */
static bool
answer_watch_if_due (Store *store, Watch *watch, HsTime now)
{
  HsKvRange range = range_of_prefix (watch, watch->prefix);
  GPtrArray *events = g_ptr_array_new ();
  HsKvStatus status
      = hs_kv_history (store->kv, &range, watch->after + 1, events);
  struct json_object *o;
  struct json_object *list;
  guint i;

  if (status == HS_KV_COMPACTED)
    respond (watch->request, 410, NULL);
  else if (events->len > 0 || now >= watch->expires_at)
    {
      o = json_object_new_object ();
      list = json_object_new_array ();
      for (i = 0; i < events->len; i++)
        {
          const HsKvEvent *event = g_ptr_array_index (events, i);
          struct json_object *row;

          if (event->current != NULL)
            row = record_json (event->current);
          else
            {
              row = json_object_new_object ();
              json_object_object_add (
                  row, "key", json_object_new_string (event->previous->key));
              json_object_object_add (row, "revision",
                                      json_object_new_int64 (event->revision));
              json_object_object_add (row, "deleted",
                                      json_object_new_boolean (true));
            }
          json_object_array_add (list, row);
        }
      json_object_object_add (o, "events", list);
      json_object_object_add (
          o, "current_rev", json_object_new_int64 (hs_kv_revision (store->kv)));
      respond (watch->request, 200, o);
    }
  else
    {
      g_ptr_array_unref (events);
      return false;
    }
  g_ptr_array_unref (events);
  return true;
}

static void
on_timer (void *arg)
{
  Store *store = arg;
  HsTime now = hs_now ().mono;
  guint i = 0;

  hs_kv_expire_leases (store->kv, now);
  while (i < store->watches->len)
    {
      Watch *watch = g_ptr_array_index (store->watches, i);

      if (!store->unresponsive && answer_watch_if_due (store, watch, now))
        {
          g_ptr_array_remove_index (store->watches, i);
          talloc_free (watch);
        }
      else
        i++;
    }
  hs_timer_set (store->timer, POLL_INTERVAL, now);
}

static void
handle_watch (Store *store, HsStandinRequest *request)
{
  const char *prefix = hs_standin_query (request, "path_prefix");
  const char *after = hs_standin_query (request, "after");
  const char *wait = hs_standin_query (request, "wait_ms");
  Watch *watch = talloc_zero (NULL, Watch);
  HsTime now = hs_now ().mono;

  watch->request = request;
  watch->prefix = talloc_strdup (watch, prefix != NULL ? prefix : "");
  watch->after = after != NULL ? strtoll (after, NULL, 10) : 0;
  watch->expires_at
      = now
        + CLAMP (wait != NULL ? strtol (wait, NULL, 10) : 0, 0, WAIT_MAX_MS)
              * HS_MSEC;
  g_ptr_array_add (store->watches, watch);
}

static void
handle_txn (Store *store, HsStandinRequest *request)
{
  struct json_object *root = hs_json_parse_value (request->body, request->len);
  struct json_object *on = hs_json_get_member (root, "expected_revision");
  struct json_object *writes = hs_json_get_member (root, "writes");
  struct json_object *deletes = hs_json_get_member (root, "delete");
  struct json_object *items = json_object_new_array ();
  HsKvOp ops[32] = { 0 };
  HsKvOpResult results[32];
  struct json_object *o = json_object_new_object ();
  size_t n = 0;
  size_t i;
  bool holds = true;
  unsigned int status = 200;

  for (i = 0; i < (on != NULL ? json_object_array_length (on) : 0); i++)
    {
      struct json_object *row = json_object_array_get_idx (on, i);
      const HsKvRecord *record
          = hs_kv_get (store->kv, hs_json_get_string (row, "key"));
      int64_t expected = 0;

      hs_json_get_int (row, "revision", &expected);
      holds = holds && (record != NULL ? record->mod_revision : 0) == expected;
      if (record != NULL)
        json_object_array_add (items, record_json (record));
    }
  for (i = 0;
       i < (writes != NULL ? json_object_array_length (writes) : 0) && n < 32;
       i++)
    {
      struct json_object *row = json_object_array_get_idx (writes, i);
      gsize len;

      ops[n].kind = HS_KV_PUT;
      ops[n].range.key = hs_json_get_string (row, "key");
      ops[n].value = (const char *) g_base64_decode (
          hs_json_get_string (row, "value"), &len);
      ops[n].value_len = len;
      hs_json_get_int (row, "lease", &ops[n].lease);
      n++;
    }
  for (i = 0;
       i < (deletes != NULL ? json_object_array_length (deletes) : 0) && n < 32;
       i++)
    {
      ops[n].kind = HS_KV_DELETE;
      ops[n++].range.key
          = json_object_get_string (json_object_array_get_idx (deletes, i));
    }
  if (!holds)
    {
      status = 412;
      json_object_object_add (o, "items", json_object_get (items));
    }
  else if (hs_kv_apply (store->kv, ops, n, results) != HS_KV_OK)
    status = 404;
  else
    json_object_object_add (o, "revision",
                            json_object_new_int64 (hs_kv_revision (store->kv)));
  for (i = 0; i < n; i++)
    g_free ((void *) ops[i].value);
  json_object_put (items);
  json_object_put (root);
  if (store->lose_answers > 0 && store->lose_answers--)
    {
      json_object_put (o);
      hs_standin_abort (request);
      return;
    }
  respond (request, status, o);
}

static void
respond_lease (HsStandinRequest *request, int64_t lease, int64_t ttl_s)
{
  struct json_object *o = json_object_new_object ();

  if (lease != 0)
    json_object_object_add (o, "lease", json_object_new_int64 (lease));
  json_object_object_add (o, "ttl_ms", json_object_new_int64 (ttl_s * 1000));
  respond (request, ttl_s > 0 ? 200 : 404, o);
}

static void
handle_grant (Store *store, HsStandinRequest *request)
{
  struct json_object *root = hs_json_parse_value (request->body, request->len);
  int64_t ttl_ms = 0;

  hs_json_get_int (root, "ttl_ms", &ttl_ms);
  json_object_put (root);
  respond_lease (
      request, hs_kv_lease_grant (store->kv, 0, ttl_ms / 1000, hs_now ().mono),
      ttl_ms / 1000);
}

static void
set_faults (Store *store, HsStandinRequest *request)
{
  struct json_object *root = hs_json_parse_value (request->body, request->len);

  store->down = hs_json_is_true (root, "down");
  store->unresponsive = hs_json_is_true (root, "silent");
  store->lose_answers = 0;
  hs_json_get_int (root, "lose_answers", &store->lose_answers);
  if (hs_json_is_true (root, "compact"))
    hs_kv_compact (store->kv, 0);
  json_object_put (root);
  respond (request, 200, NULL);
}

static void
operator_write (Store *store, HsStandinRequest *request)
{
  bool deletes = strcmp (request->method, "DELETE") == 0;
  HsKvOp op = { .kind = deletes ? HS_KV_DELETE : HS_KV_PUT,
                .range = { request->path + 1, NULL },
                .value = request->body,
                .value_len = request->len };
  HsKvOpResult result;

  hs_kv_apply (store->kv, &op, 1, &result);
  respond (request, 200, NULL);
}

static void
on_request (void *arg, HsStandinRequest *request)
{
  Store *store = arg;
  const char *path = request->path;

  hs_kv_expire_leases (store->kv, hs_now ().mono);
  if (strcmp (path, "/fault") == 0)
    set_faults (store, request);
  else if ((strcmp (request->method, "PUT") == 0
            || strcmp (request->method, "DELETE") == 0)
           && g_str_has_prefix (path, "/op/"))
    operator_write (store, request);
  else if (store->unresponsive)
    return;
  else if (store->down)
    respond (request, 503, NULL);
  else if (strcmp (path, "/-/kv-range") == 0)
    handle_range (store, request);
  else if (strcmp (path, "/-/kv-watch") == 0)
    handle_watch (store, request);
  else if (strcmp (path, "/-/kv-txn") == 0)
    handle_txn (store, request);
  else if (strcmp (path, "/-/kv-lease") == 0)
    handle_grant (store, request);
  else if (g_str_has_prefix (path, "/-/kv-keep/"))
    respond_lease (request, 0,
                   hs_kv_lease_keepalive (store->kv,
                                          strtoll (path + 11, NULL, 10),
                                          hs_now ().mono));
  else if (g_str_has_prefix (path, "/-/kv-lease-end/"))
    {
      hs_kv_lease_revoke (store->kv, strtoll (path + 16, NULL, 10));
      respond (request, 200, NULL);
    }
  else
    respond (request, 404, NULL);
}

static void
on_disconnected (void *arg, HsStandinRequest *request)
{
  Store *store = arg;
  guint i;

  for (i = 0; i < store->watches->len; i++)
    {
      Watch *watch = g_ptr_array_index (store->watches, i);

      if (watch->request != request)
        continue;
      g_ptr_array_remove_index (store->watches, i);
      talloc_free (watch);
      return;
    }
}

static void
on_signal (struct tevent_context *ev,
           struct tevent_signal *se,
           int signum,
           int count,
           void *info,
           void *arg)
{
  (void) ev;
  (void) se;
  (void) signum;
  (void) count;
  (void) info;
  *(bool *) arg = true;
}

int
main (int argc, char **argv)
{
  Store *store = talloc_zero (NULL, Store);

  if (argc != 2)
    {
      fprintf (stderr, "usage: standin-platform-store IP:PORT\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  store->ev = tevent_context_init (store);
  store->kv = hs_kv_new (store);
  store->watches = g_ptr_array_new ();
  store->timer = hs_timer_new (store, store->ev, on_timer, store);
  store->http = hs_standin_http_new (store, store->ev, argv[1], on_request,
                                     on_disconnected, store);
  if (store->http == NULL)
    {
      fprintf (stderr, "standin-platform-store: can't listen on %s\n", argv[1]);
      return 1;
    }
  tevent_add_signal (store->ev, store, SIGTERM, 0, on_signal, &store->stop);
  on_timer (store);
  while (!store->stop)
    tevent_loop_once (store->ev);
  return 0;
}
