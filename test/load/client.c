#include "client.h"

#include <string.h>

#include "base/uuid7.h"
#include "http/curl_loop.h"

#define ATTEMPTS_MAX 6
#define BACKOFF_FIRST_MS 100
#define CONNECT_TIMEOUT_MS 2000L

static void schedule_next (Load *load);
static void on_arrival (struct tevent_context *ev,
                        struct tevent_timer *te,
                        struct timeval now,
                        void *arg);
static void on_resubmit (struct tevent_context *ev,
                         struct tevent_timer *te,
                         struct timeval now,
                         void *arg);
static void on_cancel (struct tevent_context *ev,
                       struct tevent_timer *te,
                       struct timeval now,
                       void *arg);
static void arrive (Load *load, LoadJob *job);
static char *render_body (const LoadJob *job, const char *customer);
static void begin_send (LoadJob *job, uint32_t entry);
static void attempt (LoadSend *send);
static CURL *
new_request (const LoadJob *job, uint32_t entry, struct curl_slist **headers);
static void on_done (void *arg, CURL *easy, CURLcode result, bool sent);
static void judge (LoadSend *send, CURL *easy, HsTime now);
static void
retry (LoadSend *send, const char *kind, bool not_run, HsTime wait, HsTime now);
static void end_send (LoadSend *send);

/* Refusals after which the same id may be sent again. */
static const char *const RETRIED[]
    = { "unknown", "unavailable", "shutting_down", "limit", NULL };

void
load_customer (const Scenario *scenario,
               uint32_t customer,
               char **name,
               char **key)
{
  g_auto (GStrv) pair = g_strsplit (scenario->customers[customer], ":", 2);

  *name = g_strdup (pair[0]);
  *key = g_strdup (pair[1]);
}

Load *
load_run (TALLOC_CTX *ctx, struct tevent_context *ev, const Scenario *scenario)
{
  Load *load = talloc_zero (ctx, Load);
  PlannedJob *plan = scenario_plan (load, scenario, &load->n_jobs);
  size_t i;

  load->scenario = scenario;
  load->ev = ev;
  load->curl = hs_curl_new (load, ev);
  load->balancer = balancer_new (load, g_strv_length (scenario->entries));
  load->jobs = talloc_zero_array (load, LoadJob, load->n_jobs);
  load->started = hs_now ().mono;
  for (i = 0; i < load->n_jobs; i++)
    {
      load->jobs[i].load = load;
      load->jobs[i].plan = &plan[i];
      load->jobs[i].events = g_array_new (FALSE, TRUE, sizeof (LoadEvent));
    }
  schedule_next (load);
  while ((load->next < load->n_jobs || load->open > 0)
         && tevent_loop_once (ev) == 0)
    continue;
  return load;
}

static void
call_after (Load *load, HsTime delay, tevent_timer_handler_t call, void *arg)
{
  HsTime wait = MAX (delay, 0);

  tevent_add_timer (load->ev, load,
                    tevent_timeval_current_ofs ((uint32_t) (wait / HS_SEC),
                                                (uint32_t) (wait % HS_SEC)),
                    call, arg);
}

static void
schedule_next (Load *load)
{
  if (load->next < load->n_jobs)
    call_after (
        load, load->started + load->jobs[load->next].plan->at - hs_now ().mono,
        on_arrival, load);
}

static void
on_arrival (struct tevent_context *ev,
            struct tevent_timer *te,
            struct timeval now,
            void *arg)
{
  Load *load = arg;
  HsTime since = hs_now ().mono - load->started;

  (void) ev;
  (void) te;
  (void) now;
  while (load->next < load->n_jobs && load->jobs[load->next].plan->at <= since)
    arrive (load, &load->jobs[load->next++]);
  schedule_next (load);
}

static void
mint_id (LoadJob *job)
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
arrive (Load *load, LoadJob *job)
{
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;

  mint_id (job);
  load_customer (load->scenario, job->plan->customer, &customer, &key);
  job->arrived = hs_now ().mono;
  job->body = render_body (job, customer);
  begin_send (job, job->plan->entry);
  if (job->plan->resubmit_after >= 0)
    {
      load->open++;
      call_after (load, job->plan->resubmit_after, on_resubmit, job);
    }
  if (job->plan->cancel_after >= 0)
    {
      load->open++;
      call_after (load, job->plan->cancel_after, on_cancel, job);
    }
}

static char *
render_body (const LoadJob *job, const char *customer)
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
on_resubmit (struct tevent_context *ev,
             struct tevent_timer *te,
             struct timeval now,
             void *arg)
{
  LoadJob *job = arg;

  (void) ev;
  (void) te;
  (void) now;
  if (job->body == NULL)
    {
      g_autofree char *customer = NULL;
      g_autofree char *key = NULL;

      load_customer (job->load->scenario, job->plan->customer, &customer, &key);
      job->body = render_body (job, customer);
    }
  begin_send (job, job->plan->entry + 1);
  job->load->open--;
}

static void
begin_send (LoadJob *job, uint32_t entry)
{
  LoadSend *send = &job->sends[job->n_sends++];

  send->job = job;
  send->entry = entry;
  job->load->open++;
  attempt (send);
}

static LoadSend *
other_send (LoadSend *send)
{
  LoadJob *job = send->job;

  return send == &job->sends[0] ? &job->sends[1] : &job->sends[0];
}

static size_t
on_reply (char *data, size_t size, size_t n, void *arg)
{
  g_string_append_len (arg, data, (gssize) (size * n));
  return size * n;
}

static void
attempt (LoadSend *send)
{
  const LoadJob *job = send->job;
  LoadSend *other = other_send (send);
  CURL *easy;

  send->attempts++;
  send->sent = hs_now ().mono;
  send->entry = balancer_pick (job->load->balancer, send->entry, send->sent);
  send->open = true;
  send->alone = !other->open;
  other->alone = false;
  send->reply = g_string_new (NULL);
  easy = new_request (job, send->entry, &send->headers);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, job->body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_reply);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, send->reply);
  hs_curl_add (job->load->curl, easy, on_done, send);
}

static CURL *
new_request (const LoadJob *job, uint32_t entry, struct curl_slist **headers)
{
  const Scenario *scenario = job->load->scenario;
  CURL *easy = curl_easy_init ();
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;
  g_autofree char *bearer = NULL;
  g_autofree char *url = NULL;

  load_customer (scenario, job->plan->customer, &customer, &key);
  bearer = g_strdup_printf ("Authorization: Bearer %s", key);
  url = g_strdup_printf ("%s/v1/jobs", scenario->entries[entry]);
  *headers = curl_slist_append (NULL, bearer);
  *headers = curl_slist_append (*headers, "Content-Type: application/json");
  *headers = curl_slist_append (*headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, *headers);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, scenario->fresh ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, scenario->fresh ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) scenario->timeout_ms);
  return easy;
}

static void
on_done (void *arg, CURL *easy, CURLcode result, bool sent)
{
  LoadSend *send = arg;
  HsTime now = hs_now ().mono;

  send->open = false;
  if (result == CURLE_OK)
    judge (send, easy, now);
  else if (result == CURLE_OPERATION_TIMEDOUT)
    retry (send, "timeout", false, 0, now);
  else if (!sent)
    {
      balancer_refused (send->job->load->balancer, send->entry, now);
      retry (send, "connect", false, 0, now);
    }
  else
    retry (send, "broken", false, 0, now);
  curl_easy_cleanup (easy);
}

/** Decides whether an answer is final. */
static void
judge (LoadSend *send, CURL *easy, HsTime now)
{
  LoadJob *job = send->job;
  curl_off_t retry_after = 0;
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;
  Submitted submitted = { .id = job->id, .n_tasks = job->plan->n_tasks };

  load_customer (job->load->scenario, job->plan->customer, &customer, &key);
  submitted.customer = customer;
  TALLOC_FREE (send->answer);
  send->answer = answer_check (job->load, send->reply->str, send->reply->len,
                               &submitted);
  send->answered = now;
  if (send->answer->state != ANSWER_REFUSED)
    {
      end_send (send);
      return;
    }
  curl_easy_getinfo (easy, CURLINFO_RETRY_AFTER, &retry_after);
  retry (send, send->answer->kind, send->answer->not_run, retry_after * HS_SEC,
         now);
}

static void
on_retry (struct tevent_context *ev,
          struct tevent_timer *te,
          struct timeval now,
          void *arg)
{
  LoadSend *send = arg;

  (void) ev;
  (void) te;
  (void) now;
  g_string_free (send->reply, TRUE);
  curl_slist_free_all (send->headers);
  send->entry++;
  attempt (send);
}

/** Notes a lost attempt or a refusal, and sends again if that may help. */
static void
retry (LoadSend *send, const char *kind, bool not_run, HsTime wait, HsTime now)
{
  bool refused = send->answer != NULL && send->answered == now;
  HsTime backoff = (BACKOFF_FIRST_MS * HS_MSEC) << (send->attempts - 1);
  LoadEvent event = { .sent = send->sent,
                      .ended = now,
                      .entry = send->entry,
                      .not_run = not_run,
                      .alone = send->alone };

  g_strlcpy (event.kind, kind, sizeof event.kind);
  g_array_append_val (send->job->events, event);
  if ((refused && !g_strv_contains (RETRIED, kind))
      || send->attempts == ATTEMPTS_MAX)
    {
      end_send (send);
      return;
    }
  if (refused)
    {
      TALLOC_FREE (send->answer);
      send->answered = 0;
    }
  /* The balancer itself tries the next entry after a refused connection. */
  if (strcmp (kind, "connect") == 0
      && balancer_has_entry (send->job->load->balancer, now))
    backoff = 0;
  call_after (send->job->load, MAX (wait, backoff), on_retry, send);
}

static void
end_send (LoadSend *send)
{
  LoadJob *job = send->job;

  g_string_free (send->reply, TRUE);
  curl_slist_free_all (send->headers);
  job->n_ended++;
  if (job->n_ended == job->n_sends)
    g_clear_pointer (&job->body, g_free);
  job->load->open--;
}

typedef struct
{
  LoadJob *job;
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
  cancel->job->load->open--;
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
on_cancel (struct tevent_context *ev,
           struct tevent_timer *te,
           struct timeval now,
           void *arg)
{
  LoadJob *job = arg;
  const Scenario *scenario = job->load->scenario;
  Cancel *cancel = g_new0 (Cancel, 1);
  g_autofree char *customer = NULL;
  g_autofree char *key = NULL;
  g_autofree char *url = NULL;
  CURL *easy;

  (void) ev;
  (void) te;
  (void) now;
  load_customer (scenario, job->plan->customer, &customer, &key);
  url = g_strdup_printf ("%s/v1/jobs/%s/%s",
                         scenario->entries[job->plan->entry], customer,
                         job->id);
  cancel->job = job;
  easy = new_request (job, job->plan->entry, &cancel->headers);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_reply);
  hs_curl_add (job->load->curl, easy, on_cancelled, cancel);
}
