#include "platform_target_calls.h"

#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "../prng.h"
#include "platform/json.h"

#define LATE_MIN_MS 2000
#define LATE_SPREAD_MS 4000

/** The connection of a withheld answer ends after this. */
#define WITHHELD_MS 1000

typedef enum
{
  DEFERRED_CALL,
  DEFERRED_ANSWER,
  DEFERRED_END /* Of the connection. */
} DeferredKind;

typedef struct
{
  DeferredKind kind;
  HsTime due_at;
  HsStandinRequest *request; /* NULL: nobody waits for the answer. */
  char *path;                /* Of a call. */
  char *text;                /* Body of a call or an answer. */
  unsigned int status;       /* Of an answer. */
} Deferred;

struct HsStandinCalls
{
  HsStandinExecute execute;
  void *arg;
  GPtrArray *deferred;
  Prng random;
  int64_t late_percent;
  int64_t lost_percent;
  int64_t call_percent;
  int64_t call_ms;
  int64_t answer_percent;
  int64_t answer_ms;
  int64_t withheld_percent;
  int64_t cut_percent;
  int64_t stop_ms;
  bool lists_only;
};

HsStandinCalls *
hs_standin_calls_new (TALLOC_CTX *ctx, HsStandinExecute execute, void *arg)
{
  HsStandinCalls *calls = talloc_zero (ctx, HsStandinCalls);

  calls->execute = execute;
  calls->arg = arg;
  calls->deferred = g_ptr_array_new ();
  calls->random = prng_seeded (g_random_int ());
  return calls;
}

void
hs_standin_calls_set_faults (HsStandinCalls *calls, const char *text)
{
  struct json_object *root = hs_json_parse_value (text, strlen (text));

  calls->late_percent = 0;
  calls->lost_percent = 0;
  hs_json_get_int (root, "late_percent", &calls->late_percent);
  hs_json_get_int (root, "lost_percent", &calls->lost_percent);
  json_object_put (root);
}

void
hs_standin_calls_set_crossing (HsStandinCalls *calls, const char *text)
{
  struct json_object *root = hs_json_parse_value (text, strlen (text));
  int64_t seed;

  calls->call_percent = 0;
  calls->answer_percent = 0;
  calls->withheld_percent = 0;
  calls->cut_percent = 0;
  calls->stop_ms = 0;
  hs_json_get_int (root, "call_percent", &calls->call_percent);
  hs_json_get_int (root, "call_ms", &calls->call_ms);
  hs_json_get_int (root, "answer_percent", &calls->answer_percent);
  hs_json_get_int (root, "answer_ms", &calls->answer_ms);
  hs_json_get_int (root, "withheld_percent", &calls->withheld_percent);
  hs_json_get_int (root, "cut_percent", &calls->cut_percent);
  hs_json_get_int (root, "stop_ms", &calls->stop_ms);
  calls->lists_only = hs_json_is_true (root, "lists_only");
  if (hs_json_get_int (root, "seed", &seed))
    calls->random = prng_seeded ((uint32_t) seed);
  json_object_put (root);
}

static bool
happens (HsStandinCalls *calls, int64_t percent)
{
  return percent > 0 && prng_below (&calls->random, 100) < percent;
}

static HsTime
random_delay (HsStandinCalls *calls, int64_t ms)
{
  return (HsTime) prng_below (&calls->random, (uint32_t) ms * 1000 + 1)
         * HS_MSEC / 1000;
}

static Deferred *
defer (HsStandinCalls *calls,
       DeferredKind kind,
       HsStandinRequest *request,
       HsTime due_at)
{
  Deferred *deferred = talloc_zero (calls, Deferred);

  deferred->kind = kind;
  deferred->due_at = due_at;
  deferred->request = request;
  g_ptr_array_add (calls->deferred, deferred);
  return deferred;
}

static void
defer_call (HsStandinCalls *calls,
            HsStandinRequest *request,
            bool answered,
            HsTime due_at)
{
  Deferred *call
      = defer (calls, DEFERRED_CALL, answered ? request : NULL, due_at);

  call->path = talloc_strdup (call, request->path);
  call->text = talloc_strdup (call, request->body);
}

void
hs_standin_calls_receive (HsStandinCalls *calls,
                          HsStandinRequest *request,
                          HsTime now)
{
  if (happens (calls, calls->late_percent))
    defer_call (calls, request, false,
                now + LATE_MIN_MS * HS_MSEC
                    + random_delay (calls, LATE_SPREAD_MS));
  else if (happens (calls, calls->lost_percent))
    calls->execute (calls->arg, NULL, request->path, request->body);
  else if (calls->stop_ms > 0 && strcmp (request->path, "/-/run-stop") == 0)
    defer_call (calls, request, true,
                now + random_delay (calls, calls->stop_ms));
  else if (happens (calls, calls->call_percent))
    defer_call (calls, request, true,
                now + random_delay (calls, calls->call_ms));
  else
    calls->execute (calls->arg, request, request->path, request->body);
}

void
hs_standin_calls_answer (HsStandinCalls *calls,
                         HsStandinRequest *request,
                         bool waited,
                         unsigned int status,
                         char *text,
                         HsTime now)
{
  Deferred *answer;
  bool may_drop
      = request != NULL
        && (!calls->lists_only || strcmp (request->path, "/-/run-start") == 0);
  bool may_delay = request != NULL
                   && (!calls->lists_only
                       || (!waited && strcmp (request->path, "/-/hold") == 0));

  if (request == NULL)
    talloc_free (text);
  else if (may_drop && happens (calls, calls->withheld_percent))
    {
      defer (calls, DEFERRED_END, request, now + WITHHELD_MS * HS_MSEC);
      talloc_free (text);
    }
  else if (may_drop && happens (calls, calls->cut_percent))
    {
      hs_standin_abort (request);
      talloc_free (text);
    }
  else if (may_delay && happens (calls, calls->answer_percent))
    {
      answer = defer (calls, DEFERRED_ANSWER, request,
                      now + random_delay (calls, calls->answer_ms));
      answer->status = status;
      answer->text = talloc_steal (answer, text);
    }
  else
    hs_standin_respond (request, status, text);
}

static void
resolve (HsStandinCalls *calls, Deferred *deferred)
{
  switch (deferred->kind)
    {
    case DEFERRED_CALL:
      calls->execute (calls->arg, deferred->request, deferred->path,
                      deferred->text);
      break;
    case DEFERRED_ANSWER:
      if (deferred->request != NULL)
        hs_standin_respond (deferred->request, deferred->status,
                            talloc_steal (NULL, deferred->text));
      break;
    case DEFERRED_END:
      if (deferred->request != NULL)
        hs_standin_abort (deferred->request);
      break;
    }
}

void
hs_standin_calls_advance (HsStandinCalls *calls, HsTime now)
{
  guint i = 0;

  while (i < calls->deferred->len)
    {
      Deferred *deferred = g_ptr_array_index (calls->deferred, i);

      if (now < deferred->due_at)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (calls->deferred, i);
      resolve (calls, deferred);
      talloc_free (deferred);
    }
}

void
hs_standin_calls_disconnected (HsStandinCalls *calls,
                               const HsStandinRequest *request)
{
  guint i;

  for (i = 0; i < calls->deferred->len; i++)
    {
      Deferred *deferred = g_ptr_array_index (calls->deferred, i);

      if (deferred->request == request)
        deferred->request = NULL;
    }
}
