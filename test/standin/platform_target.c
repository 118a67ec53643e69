/**
 * @file
 * standin-platform-target: stands in for a target of the users' platform and
 * speaks its protocol, around the target model of the tests. The spec of a task
 * gives its behaviour: "ms=N cpu=N [fail] [hang] [crash=N [silent=N]]";
 * the last ends the process N ms after the start, and N ms more in which it
 * answers nothing. POST /fault sets the percentages of requests that are
 * delayed or get no answer, and the capacity; POST /crossing, which calls and
 * answers overtake each other; GET /state reports the running
 * tasks.
 *
 * It starts every task that it is ordered to. It prints a line for each start
 * and end, and one that begins with BROKEN when a start exceeds its capacity.
 * One that has shrunk counts until its announcement and the starts that were
 * sent before must have arrived.
 */
#include <inttypes.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>

#include "base/timer.h"
#include "http.h"
#include "http/curl_loop.h"
#include "platform/json.h"
#include "platform/target_wire.h"
#include "../target_model.h"
#include "platform_target_calls.h"
#include "platform_target_wire.h"

#define EXIT_CRASH 9

/* Outcome in the line of a task that crashed the target. */
#define CRASHED_LINE 9
#define TIMER_INTERVAL (2 * HS_MSEC)
#define ANNOUNCE_INTERVAL (500 * HS_MSEC)
#define SHRINK_GRACE (ANNOUNCE_INTERVAL + 1300 * HS_MSEC)

typedef struct
{
  HsStandinRequest *request; /* NULL: the answer is discarded. */
  HsTime expires_at;
} PendingPoll;

typedef struct
{
  struct tevent_context *ev;
  HsStandinHttp *http;
  HsCurl *curl;
  HsTimer *timer;
  HsTargetModel model;
  const char *agent;
  const char *address;
  const char *name;
  const char *service;
  uint32_t full_cpu_milli; /* As started. */
  uint32_t cpu_milli;
  uint32_t cpu_milli_before; /* Counts until `shrunk_until`. */
  HsTime shrunk_until;
  HsTime crash_at; /* This task ends the process then; 0: none. */
  HsRunKey crash_key;
  HsTime crash_silence; /* It answers nothing for this long before it ends. */
  uint64_t sequence;
  int64_t started_ms;
  HsTime announce_at;
  bool draining;
  int64_t slow_percent; /* Percentage added to run times. */
  bool fails;
  bool hangs;
  bool unresponsive;
  uint32_t peak_cpu_milli; /* Most thousandths of a core in use so far. */
  uint32_t n_started;
  GPtrArray *pending_polls;
  HsStandinCalls *calls;
  bool stop;
} Target;

/* Prints a line with the time on CLOCK_BOOTTIME in microseconds. */
static void
print_line (char kind, const HsRunKey *key, int outcome, HsTime at)
{
  char name[HS_TASK_NAME_SIZE];

  hs_task_name_format (key, name);
  printf ("%c %s %u %d %" PRId64 "\n", kind, name, key->attempt, outcome, at);
  fflush (stdout);
}

static void
print_event (const HsRunKey *key, hsx_end_how how, HsTime at)
{
  print_line (how == 0 ? 'S' : 'E', key, (int) how, at);
}

/* Prints when the call of a start has arrived; it may be carried out late. */
static void
print_start_call (const HsStandinRequest *request, HsTime at)
{
  struct json_object *root;
  HsRunKey key;
  uint64_t token;

  if (strcmp (request->path, "/-/run-start") != 0)
    return;
  root = hs_json_parse_value (request->body, request->len);
  if (hs_standin_parse_run_key (root, &key, &token))
    print_line ('A', &key, 0, at);
  json_object_put (root);
}

static int64_t
spec_number (const char *spec, const char *key, int64_t fallback)
{
  const char *at = strstr (spec, key);

  return at != NULL ? strtoll (at + strlen (key), NULL, 10) : fallback;
}

static void
note_crash_task (Target *target, const HsTargetStart *start, HsTime now)
{
  int64_t ms = spec_number (start->spec, "crash=", -1);

  if (ms >= 0
      && (target->crash_at == 0 || now + ms * HS_MSEC < target->crash_at))
    {
      target->crash_at = now + ms * HS_MSEC;
      target->crash_key = start->key;
      target->crash_silence = spec_number (start->spec, "silent=", 0) * HS_MSEC;
    }
}

/* Ends the process, with a line for the end of each task. Its port is closed
   first: the kernel does so last, on a busy machine seconds later, and the
   target would be silent until then instead of crashed. */
static void
crash (const Target *target, HsTime now)
{
  guint i;

  g_usleep ((gulong) target->crash_silence);
  close_range (STDERR_FILENO + 1, UINT_MAX, 0);
  for (i = 0; i < target->model.runs->len; i++)
    {
      const HsRunKey *key
          = &g_array_index (target->model.runs, HsModelRun, i).key;
      bool caused = strcmp (key->job, target->crash_key.job) == 0
                    && key->index == target->crash_key.index;

      print_line ('E', key, caused ? CRASHED_LINE : HSX_END_LAPSED, now);
    }
  _exit (EXIT_CRASH);
}

static void
set_capacity (Target *target, uint32_t cpu_milli, HsTime now)
{
  if (cpu_milli < target->cpu_milli)
    {
      if (now >= target->shrunk_until)
        target->cpu_milli_before = 0;
      target->cpu_milli_before
          = MAX (target->cpu_milli_before, target->cpu_milli);
      target->shrunk_until = now + SHRINK_GRACE;
    }
  target->cpu_milli = cpu_milli;
}

static uint32_t
capacity_in_force (const Target *target, HsTime now)
{
  return now < target->shrunk_until
             ? MAX (target->cpu_milli, target->cpu_milli_before)
             : target->cpu_milli;
}

static HsTargetResult
handle_start (Target *target, struct json_object *root)
{
  HsTargetStart start = { .spec = hs_json_get_string (root, "spec") };
  HsTime now = hs_now ().mono;
  HsTargetResult result;
  uint32_t cpu;
  int64_t ms;

  if (start.spec == NULL
      || !hs_standin_parse_run_key (root, &start.key, &start.token)
      || !hs_json_get_int (root, "deadline_ms", &start.lease_until_ms))
    return HS_TARGET_INVALID;
  ms = spec_number (start.spec, "ms=", 100);
  ms += ms * target->slow_percent / 100;
  cpu = (uint32_t) spec_number (start.spec, "cpu=", 1000);
  result = hs_target_model_start (
      &target->model, &start, ms * HS_MSEC,
      target->hangs || strstr (start.spec, "hang") != NULL, cpu, now);
  if (result == HS_TARGET_OK)
    {
      target->n_started++;
      note_crash_task (target, &start, now);
    }
  if (target->model.cpu_milli > target->peak_cpu_milli)
    target->peak_cpu_milli = target->model.cpu_milli;
  if (result == HS_TARGET_OK
      && target->model.cpu_milli > capacity_in_force (target, now))
    {
      printf ("BROKEN capacity: %u of %u thousandths of a core\n",
              target->model.cpu_milli, target->cpu_milli);
      fflush (stdout);
    }
  return result;
}

static HsTargetResult
handle_stop (Target *target, struct json_object *root)
{
  HsRunKey key;
  uint64_t token;

  if (!hs_standin_parse_run_key (root, &key, &token))
    return HS_TARGET_INVALID;
  return hs_target_model_stop (&target->model, &key, token, hs_now ().mono);
}

static void
send_list (Target *target, HsStandinRequest *request, bool waited, HsTime now)
{
  HsTargetList list;

  hs_target_model_write_list (&target->model, &list, now);
  list.started_ms = target->started_ms;
  hs_standin_calls_answer (target->calls, request, waited, 200,
                           hs_standin_format_list (&list), now);
  g_free (list.running);
  g_free (list.ends);
}

static void
send_result (Target *target, HsStandinRequest *request, HsTargetResult result)
{
  HsTime now = hs_now ().mono;
  unsigned int status;
  char *text = hs_standin_format_result (
      result, hs_target_model_clock_ms (&target->model, now), &status);

  hs_standin_calls_answer (target->calls, request, false, status, text, now);
}

/* Takes the token, the acknowledgement and the lease of a poll now, and writes
   its list at once or when its wait is over. */
static void
handle_poll (Target *target,
             HsStandinRequest *request,
             struct json_object *root)
{
  HsTargetPoll poll = { 0 };
  PendingPoll *pending;
  int64_t token = 0;
  int64_t acked = 0;
  int64_t wait_ms = 0;
  HsTime now = hs_now ().mono;
  HsTargetResult result;

  hs_json_get_int (root, "fencing_token", &token);
  hs_json_get_int (root, "acked", &acked);
  hs_json_get_int (root, "wait_ms", &wait_ms);
  poll.token = (uint64_t) token;
  poll.acked = (uint64_t) acked;
  poll.renews_lease = hs_json_get_member (root, "deadline_ms") != NULL;
  hs_json_get_int (root, "deadline_ms", &poll.lease_until_ms);
  result = hs_target_model_receive_poll (&target->model, &poll, now);
  if (result != HS_TARGET_OK)
    send_result (target, request, result);
  else if (wait_ms == 0)
    send_list (target, request, false, now);
  else if (request != NULL)
    {
      pending = talloc_zero (NULL, PendingPoll);
      pending->request = request;
      pending->expires_at = now + wait_ms * HS_MSEC;
      g_ptr_array_add (target->pending_polls, pending);
    }
}

static void
execute_order (void *arg,
               HsStandinRequest *request,
               const char *path,
               const char *body)
{
  Target *target = arg;
  struct json_object *root = hs_json_parse_value (body, strlen (body));

  if (strcmp (path, "/-/hold") == 0)
    handle_poll (target, request, root);
  else if (strcmp (path, "/-/run-start") == 0)
    send_result (target, request, handle_start (target, root));
  else if (strcmp (path, "/-/run-stop") == 0)
    send_result (target, request, handle_stop (target, root));
  else
    send_result (target, request, HS_TARGET_INVALID);
  json_object_put (root);
}

static void
set_faults (Target *target, HsStandinRequest *request)
{
  struct json_object *root = hs_json_parse_value (request->body, request->len);
  int64_t cpu_milli = target->full_cpu_milli;

  hs_json_get_int (root, "cpu_milli", &cpu_milli);
  set_capacity (target, (uint32_t) cpu_milli, hs_now ().mono);
  target->slow_percent = 0;
  hs_standin_calls_set_faults (target->calls, request->body);
  hs_json_get_int (root, "slow_percent", &target->slow_percent);
  target->hangs = hs_json_is_true (root, "hangs");
  target->unresponsive = hs_json_is_true (root, "mute");
  target->draining = hs_json_is_true (root, "draining");
  json_object_put (root);
  target->announce_at = 0;
  hs_standin_respond (request, 200, talloc_strdup (NULL, "{}"));
}

static void
on_request (void *arg, HsStandinRequest *request)
{
  Target *target = arg;
  const char *expected;
  HsTime now = hs_now ().mono;

  hs_target_model_advance (&target->model, now);
  if (strcmp (request->path, "/fault") == 0)
    {
      set_faults (target, request);
      return;
    }
  if (strcmp (request->path, "/state") == 0)
    {
      hs_standin_respond (
          request, 200,
          talloc_asprintf (NULL,
                           "{\"running\":%u,\"cpu_milli\":%u,\"most\":%u,"
                           "\"started\":%u}",
                           target->model.runs->len, target->model.cpu_milli,
                           target->peak_cpu_milli, target->n_started));
      return;
    }
  if (strcmp (request->path, "/crossing") == 0)
    {
      hs_standin_calls_set_crossing (target->calls, request->body);
      hs_standin_respond (request, 200, talloc_strdup (NULL, "{}"));
      return;
    }
  if (target->unresponsive)
    return;
  expected = MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                          "X-Hibiscusspoke-Expect-Instance");
  if (expected != NULL && strcmp (expected, target->name) != 0)
    {
      hs_standin_respond (request, 421, talloc_strdup (NULL, "{}"));
      return;
    }
  print_start_call (request, now);
  hs_standin_calls_receive (target->calls, request, now);
}

static void
on_disconnected (void *arg, HsStandinRequest *request)
{
  Target *target = arg;
  guint i;

  hs_standin_calls_disconnected (target->calls, request);
  for (i = 0; i < target->pending_polls->len; i++)
    {
      PendingPoll *pending = g_ptr_array_index (target->pending_polls, i);

      if (pending->request == request)
        pending->request = NULL;
    }
}

static size_t
discard (char *data, size_t size, size_t n, void *arg)
{
  (void) data;
  (void) arg;
  return size * n;
}

static void
on_announced (void *arg, CURL *easy, CURLcode result, bool sent)
{
  struct curl_slist *headers = arg;

  (void) result;
  (void) sent;
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
}

static void
announce (Target *target)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  g_autofree char *url = g_strdup_printf ("http://%s/-/instances/%s",
                                          target->agent, target->name);
  g_autofree char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"slots\":8,"
      "\"state\":\"%s\",\"sequence\":%" PRIu64 ",\"born\":%" PRId64
      ",\"capacity\":{\"cpu\":%u,\"mem_mb\":32768,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1\"]}",
      target->service, target->address, target->draining ? "draining" : "ready",
      ++target->sequence, target->started_ms, target->cpu_milli);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 300L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard);
  hs_curl_add (target->curl, easy, on_announced, headers);
}

static void
on_timer (void *arg)
{
  Target *target = arg;
  HsTime now = hs_now ().mono;
  guint i;

  hs_target_model_advance (&target->model, now);
  if (target->crash_at != 0 && now >= target->crash_at)
    crash (target, now);
  hs_standin_calls_advance (target->calls, now);
  for (i = 0; i < target->pending_polls->len;)
    {
      PendingPoll *pending = g_ptr_array_index (target->pending_polls, i);

      if (target->model.ends->len == 0 && now < pending->expires_at)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (target->pending_polls, i);
      send_list (target, pending->request, true, now);
      talloc_free (pending);
    }
  if (now >= target->announce_at)
    {
      target->announce_at = now + ANNOUNCE_INTERVAL;
      announce (target);
    }
  hs_timer_set (target->timer, TIMER_INTERVAL, now);
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
  Target *target = talloc_zero (NULL, Target);
  HsNow now = hs_now ();

  if (argc != 6)
    {
      fprintf (stderr, "usage: standin-platform-target IP:PORT AGENT-IP:PORT "
                       "NAME SERVICE CPU_MILLI\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  target->address = argv[1];
  target->agent = argv[2];
  target->name = argv[3];
  target->service = argv[4];
  target->full_cpu_milli = (uint32_t) strtoul (argv[5], NULL, 10);
  target->cpu_milli = target->full_cpu_milli;
  target->started_ms = now.wall_ms;
  hs_target_model_init (&target->model, now.mono);
  target->model.observe = print_event;
  /* B (begin), name, 0, 0, time in us. print_event() prints S (start) and E
     (end) lines: task, attempt, how it ended (0 for S), time in us. */
  printf ("B %s 0 0 %" PRId64 "\n", target->name, now.mono);
  fflush (stdout);
  target->pending_polls = g_ptr_array_new ();
  target->calls = hs_standin_calls_new (target, execute_order, target);
  target->ev = tevent_context_init (target);
  target->curl = hs_curl_new (target, target->ev);
  target->timer = hs_timer_new (target, target->ev, on_timer, target);
  target->http = hs_standin_http_new (target, target->ev, argv[1], on_request,
                                      on_disconnected, target);
  if (target->http == NULL)
    {
      fprintf (stderr, "standin-platform-target: can't listen on %s\n",
               argv[1]);
      return 1;
    }
  tevent_add_signal (target->ev, target, SIGTERM, 0, on_signal, &target->stop);
  on_timer (target);
  while (!target->stop)
    tevent_loop_once (target->ev);
  return 0;
}
