#include "client.h"

#include <string.h>

#include "base/uuid7.h"
#include "http/curl_loop.h"

#define ATTEMPTS_MAX 6
#define BACKOFF_FIRST_MS 100
#define CONNECT_TIMEOUT_MS 2000L

static void schedule_next (ClientRun *run);
static void on_arrival_timer (struct tevent_context *ev,
                              struct tevent_timer *te,
                              struct timeval now,
                              void *arg);
static void on_resubmit_timer (struct tevent_context *ev,
                               struct tevent_timer *te,
                               struct timeval now,
                               void *arg);
static void on_cancel_timer (struct tevent_context *ev,
                             struct tevent_timer *te,
                             struct timeval now,
                             void *arg);
static void submit_job (ClientRun *run, ClientJob *job);
static char *render_body (const ClientJob *job, const char *customer);
static void start_request (ClientJob *job, uint32_t entry);
static void send_attempt (ClientRequest *request);
static CURL *
new_request (const ClientJob *job, uint32_t entry, struct curl_slist **headers);
static void on_done (void *arg, CURL *easy, CURLcode result, bool sent);
static void handle_answer (ClientRequest *request, CURL *easy, HsTime now);
static void handle_failure (ClientRequest *request,
                            const char *kind,
                            bool not_run,
                            HsTime wait,
                            HsTime now);
static void end_request (ClientRequest *request);

/* Kinds of refusals after which the same id may be submitted again. */
static const char *const RETRYABLE_KINDS[]
    = { "unknown", "unavailable", "shutting_down", "limit", NULL };

void
client_split_customer (const Scenario *scenario,
                       uint32_t customer,
                       char **name,
                       char **key)
{
  g_auto (GStrv) pair = g_strsplit (scenario->customers[customer], ":", 2);

  *name = g_strdup (pair[0]);
  *key = g_strdup (pair[1]);
}

ClientRun *
client_run (TALLOC_CTX *ctx,
            struct tevent_context *ev,
            const Scenario *scenario)
{
  ClientRun *run = talloc_zero (ctx, ClientRun);
  PlannedJob *plan = scenario_plan (run, scenario, &run->n_jobs);
  size_t i;

  run->scenario = scenario;
  run->ev = ev;
  run->curl = hs_curl_new (run, ev);
  run->balancer = balancer_new (run, g_strv_length (scenario->entries));
  run->jobs = talloc_zero_array (run, ClientJob, run->n_jobs);
  run->started_at = hs_now ().mono;
  for (i = 0; i < run->n_jobs; i++)
    {
      run->jobs[i].run = run;
      run->jobs[i].plan = &plan[i];
      run->jobs[i].events
          = g_array_new (FALSE, TRUE, sizeof (ClientFailedAttempt));
    }
  schedule_next (run);
  while ((run->next_job < run->n_jobs || run->n_pending > 0)
         && tevent_loop_once (ev) == 0)
    continue;
  return run;
}

static void
call_after (ClientRun *run,
            HsTime delay,
            tevent_timer_handler_t call,
            void *arg)
{
  HsTime wait = MAX (delay, 0);

  tevent_add_timer (run->ev, run,
                    tevent_timeval_current_ofs ((uint32_t) (wait / HS_SEC),
                                                (uint32_t) (wait % HS_SEC)),
                    call, arg);
}

static void
schedule_next (ClientRun *run)
{
  if (run->next_job < run->n_jobs)
    call_after (run,
                run->started_at + run->jobs[run->next_job].plan->at
                    - hs_now ().mono,
                on_arrival_timer, run);
}

static void
on_arrival_timer (struct tevent_context *ev,
                  struct tevent_timer *te,
                  struct timeval now,
                  void *arg)
{
  ClientRun *run = arg;
  HsTime since = hs_now ().mono - run->started_at;

  (void) ev;
  (void) te;
  (void) now;
  while (run->next_job < run->n_jobs
         && run->jobs[run->next_job].plan->at <= since)
    submit_job (run, &run->jobs[run->next_job++]);
  schedule_next (run);
}

static void
generate_id (ClientJob *job)
{
  uint8_t random[HS_UUID7_RANDOM_SIZE];
  char id[HS_UUID_SIZE];
  size_t i;

  for (i = 0; i < sizeof random; i++)
    random[i] = (uint8_t) g_random_int_range (0, 256);
  hs_uuid7_format (hs_now ().wall_ms, random, id);
  g_snprintf (job->id, sizeof job->id, "%s%s", job->plan->opaque ? "o-" : "",
              id);
}

static void
submit_job (ClientRun *run, ClientJob *job)
{
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;

  generate_id (job);
  client_split_customer (run->scenario, job->plan->customer, &customer, &key);
  job->arrived_at = hs_now ().mono;
  job->body = render_body (job, customer);
  start_request (job, job->plan->entry);
  if (job->plan->resubmit_after >= 0)
    {
      run->n_pending++;
      call_after (run, job->plan->resubmit_after, on_resubmit_timer, job);
    }
  if (job->plan->cancel_after >= 0)
    {
      run->n_pending++;
      call_after (run, job->plan->cancel_after, on_cancel_timer, job);
    }
}

static char *
render_body (const ClientJob *job, const char *customer)
{
  GString *text = g_string_new (NULL);
  uint32_t i;

  g_string_printf (text, "{\"customer\":\"%s\",\"id\":\"%s\",\"tasks\":[",
                   customer, job->id);
  for (i = 0; i < job->plan->n_tasks; i++)
    g_string_append_printf (
        text, "%s{\"body\":\"sleep=%u;nonce=%s-%u\",\"run_ms\":%u}",
        i > 0 ? "," : "", job->plan->run_ms[i], job->id, i,
        job->plan->run_ms[i]);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
on_resubmit_timer (struct tevent_context *ev,
                   struct tevent_timer *te,
                   struct timeval now,
                   void *arg)
{
  ClientJob *job = arg;

  (void) ev;
  (void) te;
  (void) now;
  if (job->body == NULL)
    {
      g_autofree char *customer = NULL;
      g_autofree char *key = NULL;

      client_split_customer (job->run->scenario, job->plan->customer, &customer,
                             &key);
      job->body = render_body (job, customer);
    }
  start_request (job, job->plan->entry + 1);
  job->run->n_pending--;
}

static void
start_request (ClientJob *job, uint32_t entry)
{
  ClientRequest *request = &job->requests[job->n_requests++];

  request->job = job;
  request->entry = entry;
  job->run->n_pending++;
  send_attempt (request);
}

static ClientRequest *
other_request (ClientRequest *request)
{
  ClientJob *job = request->job;

  return request == &job->requests[0] ? &job->requests[1] : &job->requests[0];
}

static size_t
on_reply (char *data, size_t size, size_t n, void *arg)
{
  g_string_append_len (arg, data, (gssize) (size * n));
  return size * n;
}

static void
send_attempt (ClientRequest *request)
{
  const ClientJob *job = request->job;
  ClientRequest *other = other_request (request);
  CURL *easy;

  request->attempts++;
  request->sent_at = hs_now ().mono;
  request->entry
      = balancer_pick (job->run->balancer, request->entry, request->sent_at);
  request->is_open = true;
  request->alone = !other->is_open;
  other->alone = false;
  request->response = g_string_new (NULL);
  easy = new_request (job, request->entry, &request->headers);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, job->body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_reply);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, request->response);
  hs_curl_add (job->run->curl, easy, on_done, request);
}

static CURL *
new_request (const ClientJob *job, uint32_t entry, struct curl_slist **headers)
{
  const Scenario *scenario = job->run->scenario;
  CURL *easy = curl_easy_init ();
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;
  g_autofree char *bearer = NULL;
  g_autofree char *url = NULL;

  client_split_customer (scenario, job->plan->customer, &customer, &key);
  bearer = g_strdup_printf ("Authorization: Bearer %s", key);
  url = g_strdup_printf ("%s/v1/jobs", scenario->entries[entry]);
  *headers = curl_slist_append (NULL, bearer);
  *headers = curl_slist_append (*headers, "Content-Type: application/json");
  *headers = curl_slist_append (*headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, *headers);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    scenario->fresh_connections ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE,
                    scenario->fresh_connections ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) scenario->timeout_ms);
  return easy;
}

static void
on_done (void *arg, CURL *easy, CURLcode result, bool sent)
{
  ClientRequest *request = arg;
  HsTime now = hs_now ().mono;

  request->is_open = false;
  if (result == CURLE_OK)
    handle_answer (request, easy, now);
  else if (result == CURLE_OPERATION_TIMEDOUT)
    handle_failure (request, "timeout", false, 0, now);
  else if (!sent)
    {
      balancer_connection_refused (request->job->run->balancer, request->entry,
                                   now);
      handle_failure (request, "connect", false, 0, now);
    }
  else
    handle_failure (request, "broken", false, 0, now);
  curl_easy_cleanup (easy);
}

/** Parses an answer. Ends the request unless the answer is a refusal. */
static void
handle_answer (ClientRequest *request, CURL *easy, HsTime now)
{
  ClientJob *job = request->job;
  curl_off_t retry_after = 0;
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;
  SubmittedJob submitted = { .id = job->id, .n_tasks = job->plan->n_tasks };

  client_split_customer (job->run->scenario, job->plan->customer, &customer,
                         &key);
  submitted.customer = customer;
  TALLOC_FREE (request->answer);
  request->answer = answer_check (job->run, request->response->str,
                                  request->response->len, &submitted);
  request->answered_at = now;
  if (request->answer->state != ANSWER_REFUSED)
    {
      end_request (request);
      return;
    }
  curl_easy_getinfo (easy, CURLINFO_RETRY_AFTER, &retry_after);
  handle_failure (request, request->answer->kind, request->answer->not_run,
                  retry_after * HS_SEC, now);
}

static void
on_retry_timer (struct tevent_context *ev,
                struct tevent_timer *te,
                struct timeval now,
                void *arg)
{
  ClientRequest *request = arg;

  (void) ev;
  (void) te;
  (void) now;
  g_string_free (request->response, TRUE);
  curl_slist_free_all (request->headers);
  request->entry++;
  send_attempt (request);
}

/**
 * Records a lost or refused attempt, and schedules a retry if that may help.
 */
static void
handle_failure (ClientRequest *request,
                const char *kind,
                bool not_run,
                HsTime wait,
                HsTime now)
{
  bool refused = request->answer != NULL && request->answered_at == now;
  HsTime backoff = (BACKOFF_FIRST_MS * HS_MSEC) << (request->attempts - 1);
  ClientFailedAttempt event = { .sent_at = request->sent_at,
                                .ended_at = now,
                                .entry = request->entry,
                                .not_run = not_run,
                                .alone = request->alone };

  g_strlcpy (event.kind, kind, sizeof event.kind);
  g_array_append_val (request->job->events, event);
  if ((refused && !g_strv_contains (RETRYABLE_KINDS, kind))
      || request->attempts == ATTEMPTS_MAX)
    {
      end_request (request);
      return;
    }
  if (refused)
    {
      TALLOC_FREE (request->answer);
      request->answered_at = 0;
    }
  /* After a refused connection the balancer tries the next entry at once. */
  if (strcmp (kind, "connect") == 0
      && balancer_has_usable_entry (request->job->run->balancer, now))
    backoff = 0;
  call_after (request->job->run, MAX (wait, backoff), on_retry_timer, request);
}

static void
end_request (ClientRequest *request)
{
  ClientJob *job = request->job;

  g_string_free (request->response, TRUE);
  curl_slist_free_all (request->headers);
  job->n_ended_requests++;
  if (job->n_ended_requests == job->n_requests)
    g_clear_pointer (&job->body, g_free);
  job->run->n_pending--;
}

typedef struct
{
  ClientJob *job;
  struct curl_slist *headers;
} Cancel;

static void
on_cancelled (void *arg, CURL *easy, CURLcode result, bool sent)
{
  Cancel *cancel = arg;

  (void) result;
  (void) sent;
  curl_easy_cleanup (easy);
  curl_slist_free_all (cancel->headers);
  cancel->job->run->n_pending--;
  g_free (cancel);
}

static size_t
discard_reply (char *data, size_t size, size_t n, void *arg)
{
  (void) data;
  (void) arg;
  return size * n;
}

static void
on_cancel_timer (struct tevent_context *ev,
                 struct tevent_timer *te,
                 struct timeval now,
                 void *arg)
{
  ClientJob *job = arg;
  const Scenario *scenario = job->run->scenario;
  Cancel *cancel = g_new0 (Cancel, 1);
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;
  g_autofree char *url = NULL;
  CURL *easy;

  (void) ev;
  (void) te;
  (void) now;
  client_split_customer (scenario, job->plan->customer, &customer, &key);
  url = g_strdup_printf ("%s/v1/jobs/%s/%s",
                         scenario->entries[job->plan->entry], customer,
                         job->id);
  cancel->job = job;
  easy = new_request (job, job->plan->entry, &cancel->headers);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_reply);
  hs_curl_add (job->run->curl, easy, on_cancelled, cancel);
}
