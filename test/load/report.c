#include "report.h"

#include <stdlib.h>
#include <string.h>

#include "ideal.h"

#define USEC_PER_MSEC 1000.0

typedef struct
{
  uint64_t jobs;
  uint64_t tasks;
  uint64_t complete;
  uint64_t failed;
  uint64_t refused;
  uint64_t unanswered;
  uint64_t resubmitted;
  uint64_t cancelled;
  uint64_t partial;
  uint64_t crossed;
  uint64_t retries;
} Counts;

static struct json_object *render_job (const ClientRun *run,
                                       const ClientJob *job);
static struct json_object *render_request (const ClientRequest *request);
static struct json_object *render_failed_attempts (const ClientJob *job);
static void count_job (Counts *counts, const ClientJob *job);
static const ClientRequest *first_answer (const ClientJob *job);
static GArray *ideal_responses (const ClientRun *run);
static void
add_percentiles (struct json_object *object, const char *name, GArray *values);

bool
report_jobs (const ClientRun *run, FILE *file)
{
  size_t i;

  for (i = 0; i < run->n_jobs; i++)
    {
      struct json_object *line = render_job (run, &run->jobs[i]);

      fprintf (
          file, "%s\n",
          json_object_to_json_string_ext (
              line, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
      json_object_put (line);
    }
  return fflush (file) == 0 && ferror (file) == 0;
}

static void
add_count (struct json_object *object, const char *key, uint64_t n)
{
  json_object_object_add (object, key, json_object_new_int64 ((int64_t) n));
}

static void
add_counts (struct json_object *object, const Counts *counts)
{
  add_count (object, "jobs", counts->jobs);
  add_count (object, "tasks", counts->tasks);
  add_count (object, "complete", counts->complete);
  add_count (object, "failed", counts->failed);
  add_count (object, "refused", counts->refused);
  add_count (object, "unanswered", counts->unanswered);
  add_count (object, "resubmitted", counts->resubmitted);
  add_count (object, "cancelled", counts->cancelled);
  add_count (object, "partial", counts->partial);
  add_count (object, "crossed", counts->crossed);
  add_count (object, "retries", counts->retries);
}

static void
add_failure_kinds (struct json_object *object, const ClientRun *run)
{
  struct json_object *kinds = json_object_new_object ();
  size_t i;
  guint e;

  for (i = 0; i < run->n_jobs; i++)
    for (e = 0; e < run->jobs[i].events->len; e++)
      {
        const char *kind
            = g_array_index (run->jobs[i].events, ClientFailedAttempt, e).kind;
        struct json_object *old = NULL;

        json_object_object_get_ex (kinds, kind, &old);
        json_object_object_add (
            kinds, kind,
            json_object_new_int64 (json_object_get_int64 (old) + 1));
      }
  json_object_object_add (object, "errors", kinds);
}

struct json_object *
report_summary (const ClientRun *run)
{
  struct json_object *object = json_object_new_object ();
  Counts counts = { 0 };
  GArray *response = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *ratio = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *ideals = ideal_responses (run);
  size_t i;

  for (i = 0; i < run->n_jobs; i++)
    {
      const ClientJob *job = &run->jobs[i];
      const ClientRequest *request = first_answer (job);
      double ideal = g_array_index (ideals, double, i);
      double ms;
      double over;

      count_job (&counts, job);
      if (request == NULL || request->answer->state != ANSWER_COMPLETE)
        continue;
      ms = (double) (request->answered_at - job->arrived_at) / USEC_PER_MSEC;
      over = ms / ideal;
      g_array_append_val (response, ms);
      g_array_append_val (ratio, over);
    }
  add_counts (object, &counts);
  add_failure_kinds (object, run);
  add_percentiles (object, "ideal_ms", ideals);
  add_percentiles (object, "response_ms", response);
  add_percentiles (object, "response_over_ideal", ratio);
  g_array_unref (ideals);
  g_array_unref (response);
  g_array_unref (ratio);
  return object;
}

static void
count_job (Counts *counts, const ClientJob *job)
{
  const ClientRequest *request = first_answer (job);
  uint32_t i;

  counts->jobs++;
  counts->tasks += job->plan->n_tasks;
  counts->resubmitted += job->n_requests - 1;
  counts->cancelled += job->plan->cancel_after >= 0 ? 1 : 0;
  if (request == NULL)
    counts->unanswered++;
  else if (request->answer->state == ANSWER_COMPLETE)
    counts->complete++;
  else if (request->answer->state == ANSWER_FAILED)
    counts->failed++;
  else if (request->answer->state == ANSWER_REFUSED)
    counts->refused++;
  for (i = 0; i < job->n_requests; i++)
    {
      counts->retries += job->requests[i].attempts - 1;
      if (job->requests[i].answer == NULL)
        continue;
      counts->partial += job->requests[i].answer->partial ? 1 : 0;
      counts->crossed += job->requests[i].answer->crossed ? 1 : 0;
    }
}

/**
 * Returns the request whose answer came first; a refusal only if there is no
 * other answer, and NULL if there is none at all.
 */
static const ClientRequest *
first_answer (const ClientJob *job)
{
  const ClientRequest *first = NULL;
  uint32_t i;

  for (i = 0; i < job->n_requests; i++)
    {
      const ClientRequest *request = &job->requests[i];

      if (request->answer == NULL)
        continue;
      if (first == NULL
          || (first->answer->state == ANSWER_REFUSED
              && request->answer->state != ANSWER_REFUSED)
          || (request->answer->state != ANSWER_REFUSED
              && request->answered_at < first->answered_at))
        first = request;
    }
  return first;
}

static GArray *
ideal_responses (const ClientRun *run)
{
  IdealJob *jobs = g_new0 (IdealJob, run->n_jobs);
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  size_t i;

  for (i = 0; i < run->n_jobs; i++)
    jobs[i] = (IdealJob){ .arrival = run->jobs[i].arrived_at,
                          .customer = run->jobs[i].plan->customer,
                          .run_ms = run->jobs[i].plan->run_ms,
                          .n_tasks = run->jobs[i].plan->n_tasks };
  ideal_run (jobs, run->n_jobs, run->scenario->slots);
  for (i = 0; i < run->n_jobs; i++)
    {
      double ms = (double) jobs[i].response / USEC_PER_MSEC;

      g_array_append_val (values, ms);
    }
  g_free (jobs);
  return values;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static void
add_percentiles (struct json_object *object, const char *name, GArray *values)
{
  static const struct
  {
    const char *name;
    double share;
  } points[]
      = { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "max", 1 } };
  GArray *sorted = g_array_copy (values);
  size_t i;

  g_array_sort (sorted, compare_doubles);
  for (i = 0; i < G_N_ELEMENTS (points) && sorted->len > 0; i++)
    {
      guint at = (guint) (points[i].share * (sorted->len - 1) + 0.5);
      g_autofree char *key = g_strdup_printf ("%s_%s", name, points[i].name);
      g_autofree char *text
          = g_strdup_printf ("%.3f", g_array_index (sorted, double, at));

      json_object_object_add (
          object, key,
          json_object_new_double_s (g_ascii_strtod (text, NULL), text));
    }
  g_array_unref (sorted);
}

static struct json_object *
render_job (const ClientRun *run, const ClientJob *job)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *run_ms = json_object_new_array ();
  struct json_object *sends = json_object_new_array ();
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;
  uint32_t i;

  client_split_customer (run->scenario, job->plan->customer, &customer, &key);
  json_object_object_add (object, "customer",
                          json_object_new_string (customer));
  json_object_object_add (object, "id", json_object_new_string (job->id));
  json_object_object_add (object, "arrived_us",
                          json_object_new_int64 (job->arrived_at));
  json_object_object_add (
      object, "cancelled",
      json_object_new_boolean (job->plan->cancel_after >= 0));
  for (i = 0; i < job->plan->n_tasks; i++)
    json_object_array_add (run_ms,
                           json_object_new_int64 (job->plan->run_ms[i]));
  json_object_object_add (object, "run_ms", run_ms);
  for (i = 0; i < job->n_requests; i++)
    json_object_array_add (sends, render_request (&job->requests[i]));
  json_object_object_add (object, "sends", sends);
  json_object_object_add (object, "events", render_failed_attempts (job));
  return object;
}

static struct json_object *
render_request (const ClientRequest *request)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *tasks = json_object_new_array ();
  const Answer *answer = request->answer;
  uint32_t i;

  json_object_object_add (
      object, "state",
      json_object_new_string (answer != NULL ? answer_state_name (answer->state)
                                             : "unanswered"));
  add_count (object, "attempts", request->attempts);
  add_count (object, "entry", request->entry);
  if (answer != NULL)
    {
      json_object_object_add (object, "answered_us",
                              json_object_new_int64 (request->answered_at));
      json_object_object_add (object, "kind",
                              json_object_new_string (answer->kind));
      json_object_object_add (object, "not_run",
                              json_object_new_boolean (answer->not_run));
      json_object_object_add (object, "partial",
                              json_object_new_boolean (answer->partial));
      json_object_object_add (object, "crossed",
                              json_object_new_boolean (answer->crossed));
      for (i = 0; i < answer->n_tasks; i++)
        json_object_array_add (
            tasks,
            json_object_new_string (answer_task_state_name (answer->tasks[i])));
    }
  json_object_object_add (object, "tasks", tasks);
  return object;
}

static struct json_object *
render_failed_attempts (const ClientJob *job)
{
  struct json_object *events = json_object_new_array ();
  guint i;

  for (i = 0; i < job->events->len; i++)
    {
      const ClientFailedAttempt *event
          = &g_array_index (job->events, ClientFailedAttempt, i);
      struct json_object *object = json_object_new_object ();

      json_object_object_add (object, "kind",
                              json_object_new_string (event->kind));
      json_object_object_add (object, "sent_us",
                              json_object_new_int64 (event->sent_at));
      json_object_object_add (object, "ended_us",
                              json_object_new_int64 (event->ended_at));
      add_count (object, "entry", event->entry);
      json_object_object_add (object, "not_run",
                              json_object_new_boolean (event->not_run));
      json_object_object_add (object, "alone",
                              json_object_new_boolean (event->alone));
      json_object_array_add (events, object);
    }
  return events;
}
