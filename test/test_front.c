#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "base/error.h"
#include "entry/frontend.h"
#include "http_caller.h"

#define KEY "key-of-customer-one"
#define POLL_INTERVAL_US 1000
#define SMALL_BODY_MAX 65536
#define TWO_THREADS 2

typedef struct
{
  HsEntrySettings settings;
  HsPublishedLists *box;
  HsFrontend *front;
  pthread_mutex_t lock; /**< ThreadSanitizer does not see GLib's locks. */
  pthread_cond_t changed;
  GQueue calls;
} Fixture;

static Caller *
new_front_caller (Fixture *f,
                  const char *method,
                  const char *path,
                  const char *body)
{
  return caller_new (hs_frontend_port (f->front), method, path, body, KEY);
}

/** Stands in for the core: queues job requests until the test answers them. */
static void
queue_request (void *arg, HsJobRequest *call)
{
  Fixture *f = arg;

  pthread_mutex_lock (&f->lock);
  g_queue_push_tail (&f->calls, call);
  pthread_cond_signal (&f->changed);
  pthread_mutex_unlock (&f->lock);
}

static HsJobRequest *
try_next_request (Fixture *f)
{
  HsJobRequest *call;

  pthread_mutex_lock (&f->lock);
  call = g_queue_pop_head (&f->calls);
  pthread_mutex_unlock (&f->lock);
  return call;
}

/** Waits for the next job request that reaches the core. */
static HsJobRequest *
next_request (Fixture *f)
{
  HsJobRequest *call;

  pthread_mutex_lock (&f->lock);
  while ((call = g_queue_pop_head (&f->calls)) == NULL)
    pthread_cond_wait (&f->changed, &f->lock);
  pthread_mutex_unlock (&f->lock);
  return call;
}

/** Answers a job request with its id as the result of its only task. */
static void
answer_with_id (HsJobRequest *call)
{
  hsx_answer *answer = talloc_zero (call, hsx_answer);
  hsx_task_answer *task = talloc_zero (answer, hsx_task_answer);

  task->state = HSX_TASK_DONE;
  task->http_status = 200;
  task->body.body_val = call->args->id;
  task->body.body_len = (u_int) strlen (call->args->id);
  answer->state = HSX_JOB_COMPLETE;
  answer->tasks.tasks_len = 1;
  answer->tasks.tasks_val = task;
  call->answer = answer;
  hs_frontend_post_answer (call);
}

static int
set_up (void **state)
{
  Fixture *f = g_new0 (Fixture, 1);
  HsLists *lists = hs_lists_new (NULL);
  g_autoptr (GError) error = NULL;

  f->settings.http_listen = "127.0.0.1:0";
  f->settings.threads = TWO_THREADS;
  f->settings.max_connections = 64;
  f->settings.max_body = SMALL_BODY_MAX;
  f->box = hs_published_lists_new (NULL);
  hs_lists_apply (lists, HS_LIST_PLANS, "c1",
                  "{\"plan\":\"gold\",\"key\":\"" KEY "\"}", 1, NULL);
  hs_lists_publish (f->box, lists);
  pthread_mutex_init (&f->lock, NULL);
  pthread_cond_init (&f->changed, NULL);
  g_queue_init (&f->calls);
  f->front
      = hs_frontend_new (NULL, &f->settings, f->box, queue_request, f, &error);
  assert_non_null (f->front);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *f = *state;
  HsJobRequest *call;

  if (f->front != NULL)
    hs_frontend_free (f->front);
  while ((call = try_next_request (f)) != NULL)
    talloc_free (call);
  talloc_free (f->box);
  g_free (f);
  return 0;
}

static void
wait_until_idle (Fixture *f)
{
  while (!hs_frontend_is_idle (f->front))
    g_usleep (POLL_INTERVAL_US);
}

#define JOB(id)                                                                \
  "{\"customer\":\"c1\",\"id\":\"" id "\",\"tasks\":[{\"body\":\"b\"}]}"

static void
a_job_is_answered (void **state)
{
  Fixture *f = *state;
  Caller *caller = new_front_caller (f, "POST", "/v1/jobs", JOB ("i1"));
  HsJobRequest *call;

  caller_start (caller);
  call = next_request (f);
  assert_int_equal (call->args->verb, HSX_SUBMIT);
  assert_string_equal (call->args->id, "i1");
  assert_int_equal (call->args->tasks.tasks_len, 1);
  assert_true (call->arrived.mono > 0);
  assert_false (hs_frontend_is_idle (f->front));
  answer_with_id (call);
  caller_join (caller);
  assert_int_equal (caller->status, 200);
  assert_string_equal (
      caller->text->str,
      "{\"customer\":\"c1\",\"id\":\"i1\",\"state\":\"complete\",\"tasks\":["
      "{\"state\":\"done\",\"status\":200,\"result\":\"i1\"}]}");
  wait_until_idle (f);
  caller_free (caller);
}

static void
fetch_and_cancel_name_the_job (void **state)
{
  Fixture *f = *state;
  Caller *fetch = new_front_caller (f, "GET", "/v1/jobs/c1/a%20b?wait=1", NULL);
  Caller *cancel = new_front_caller (f, "DELETE", "/v1/jobs/c1/a%3Fb", NULL);
  Caller *again = new_front_caller (f, "GET", "/v1/jobs/c1/a%25b?wait=1", NULL);
  HsJobRequest *call;

  caller_start (cancel);
  call = next_request (f);
  assert_int_equal (call->args->verb, HSX_CANCEL);
  assert_string_equal (call->args->customer, "c1");
  assert_string_equal (call->args->id, "a?b");
  answer_with_id (call);
  caller_start (again);
  call = next_request (f);
  assert_int_equal (call->args->verb, HSX_FETCH);
  assert_true (call->args->wait);
  assert_string_equal (call->args->id, "a%b");
  answer_with_id (call);
  caller_run (fetch);
  assert_int_equal (fetch->status, 404);
  caller_free (fetch);
  caller_free (cancel);
  caller_free (again);
}

/** Answers in the reverse order of arrival must reach the right callers. */
static void
answers_out_of_order_reach_their_callers (void **state)
{
  enum
  {
    N = 24
  };
  Fixture *f = *state;
  Caller *callers[N];
  HsJobRequest *calls[N];
  char *bodies[N];
  g_autofree char *expected = NULL;
  int i;

  for (i = 0; i < N; i++)
    {
      bodies[i] = g_strdup_printf ("{\"customer\":\"c1\",\"id\":\"id-%d\","
                                   "\"tasks\":[{\"body\":\"b\"}]}",
                                   i);
      callers[i] = new_front_caller (f, "POST", "/v1/jobs", bodies[i]);
      caller_start (callers[i]);
    }
  for (i = 0; i < N; i++)
    calls[i] = next_request (f);
  for (i = N - 1; i >= 0; i--)
    answer_with_id (calls[i]);
  for (i = 0; i < N; i++)
    {
      caller_join (callers[i]);
      g_free (expected);
      expected = g_strdup_printf ("\"result\":\"id-%d\"", i);
      assert_non_null (strstr (callers[i]->text->str, expected));
      caller_free (callers[i]);
      g_free (bodies[i]);
    }
}

/** Sends a job on connection @p fd, or on a new one if that is -1; returns the
 *  connection, which stays open. */
static int
send_job (Fixture *f, int fd, const char *job)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (hs_frontend_port (f->front)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  g_autofree char *text = g_strdup_printf (
      "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " KEY
      "\r\nContent-Length: %zu\r\n\r\n%s",
      strlen (job), job);

  if (fd < 0)
    {
      fd = socket (AF_INET, SOCK_STREAM, 0);
      assert_int_equal (
          connect (fd, (struct sockaddr *) &address, sizeof address), 0);
    }
  assert_int_equal (send (fd, text, strlen (text), 0), strlen (text));
  return fd;
}

/** Reads until the text @p end was received. */
static void
read_until (int fd, const char *end)
{
  GString *text = g_string_new (NULL);
  char part[512];
  ssize_t n;

  while (strstr (text->str, end) == NULL)
    {
      n = recv (fd, part, sizeof part, 0);
      assert_true (n > 0);
      g_string_append_len (text, part, n);
    }
  g_string_free (text, TRUE);
}

static void
a_job_request_outlives_its_connection (void **state)
{
  Fixture *f = *state;
  Caller *next = new_front_caller (f, "POST", "/v1/jobs", JOB ("next"));
  int fd = send_job (f, -1, JOB ("gone"));
  HsJobRequest *abandoned = next_request (f);

  close (fd);
  caller_start (next);
  answer_with_id (abandoned);
  answer_with_id (next_request (f));
  caller_join (next);
  assert_non_null (strstr (next->text->str, "\"result\":\"next\""));
  wait_until_idle (f);
  caller_free (next);
}

static void
draining_answers_one_more_request_per_connection (void **state)
{
  Fixture *f = *state;
  int fd = send_job (f, -1, JOB ("first"));
  GString *text = g_string_new (NULL);
  char part[512];
  ssize_t n;

  answer_with_id (next_request (f));
  read_until (fd, "\"result\":\"first\"}]}");
  hs_frontend_drain (f->front);
  send_job (f, fd, JOB ("second"));
  answer_with_id (next_request (f));
  while ((n = recv (fd, part, sizeof part, 0)) > 0)
    g_string_append_len (text, part, n);
  assert_non_null (strstr (text->str, "Connection: close"));
  assert_non_null (strstr (text->str, "\"result\":\"second\"}]}"));
  g_string_free (text, TRUE);
  close (fd);
  wait_until_idle (f);
}

static void
draining_refuses_new_connections (void **state)
{
  Fixture *f = *state;
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (hs_frontend_port (f->front)),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  bool refused;

  hs_frontend_drain (f->front);
  /* The threads close their listening sockets asynchronously. */
  do
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      refused = connect (fd, (struct sockaddr *) &to, sizeof to) != 0
                && errno == ECONNREFUSED;
      close (fd);
      g_usleep (POLL_INTERVAL_US);
    }
  while (!refused);
}

static void
expect_refusal (Fixture *f,
                const char *method,
                const char *path,
                const char *body,
                const char *key,
                long status,
                const char *text)
{
  Caller *caller = new_front_caller (f, method, path, body);

  caller->key = key;
  caller_run (caller);
  if (caller->status != status || strstr (caller->text->str, text) == NULL)
    fail_msg ("%s %s: %ld %s", method, path, caller->status, caller->text->str);
  caller_free (caller);
}

static void
bad_requests_do_not_reach_the_core (void **state)
{
  Fixture *f = *state;
  g_autofree char *big = g_strnfill (SMALL_BODY_MAX + 1, ' ');

  expect_refusal (f, "POST", "/v1/jobs", JOB ("i"), "wrong-key", 401,
                  "\"kind\":\"unauthorized\"");
  expect_refusal (f, "POST", "/v1/jobs", JOB ("i"), NULL, 401,
                  "Authorization: Bearer KEY");
  expect_refusal (f, "GET", "/v1/jobs/c2/i", NULL, KEY, 401,
                  "\"not_run\":false");
  expect_refusal (f, "POST", "/v1/jobs", "{}", KEY, 400, "\"not_run\":true");
  expect_refusal (f, "POST", "/v1/jobs", big, KEY, 413,
                  "\"kind\":\"too_large\"");
  expect_refusal (f, "POST", "/v1/jobs", big, KEY, 413, "\"not_run\":true");
  expect_refusal (f, "PUT", "/v1/jobs", "{}", KEY, 405, "use POST");
  expect_refusal (f, "POST", "/v1/jobs/c1/i", "{}", KEY, 405,
                  "use GET, DELETE");
  expect_refusal (f, "GET", "/v1/jobs/c1/i?wait=yes", NULL, KEY, 400,
                  "wait: must be");
  expect_refusal (f, "GET", "/v1/jobs/c1/a%2Fb", NULL, KEY, 404, "no such");
  expect_refusal (f, "GET", "/v1/jobs/c1/a%00b", NULL, KEY, 404, "no such");
  expect_refusal (f, "GET", "/other", NULL, KEY, 404, "no such path");
  assert_null (try_next_request (f));
  wait_until_idle (f);
}

static void
refusals_carry_their_status_and_retry_time (void **state)
{
  Fixture *f = *state;
  Caller *caller = new_front_caller (f, "POST", "/v1/jobs", JOB ("i1"));
  HsJobRequest *call;

  caller_start (caller);
  call = next_request (f);
  call->answer = talloc_zero (call, hsx_answer);
  call->answer->state = HSX_JOB_REFUSED;
  call->answer->kind = HS_ERROR_LIMIT;
  call->answer->not_run = TRUE;
  call->answer->reason = "over the allowance; retry later";
  call->answer->retry_after_ms = 1500;
  hs_frontend_post_answer (call);
  caller_join (caller);
  assert_int_equal (caller->status, 429);
  assert_non_null (strstr (caller->headers->str, "Retry-After: 2"));
  assert_non_null (strstr (caller->text->str, "\"not_run\":true"));
  caller_free (caller);
}

static void
requests_before_the_lists_are_loaded_are_unavailable (void **state)
{
  Fixture *f = *state;

  hs_lists_publish (f->box, hs_lists_new (NULL));
  expect_refusal (f, "POST", "/v1/jobs", JOB ("i"), KEY, 503,
                  "\"kind\":\"unavailable\"");
}

static void
draining_completes_requests_in_flight (void **state)
{
  Fixture *f = *state;
  Caller *caller = new_front_caller (f, "POST", "/v1/jobs", JOB ("i1"));
  Caller *late = new_front_caller (f, "GET", "/v1/jobs/c1/i1", NULL);
  HsJobRequest *call;

  caller_start (caller);
  call = next_request (f);
  hs_frontend_drain (f->front);
  assert_false (hs_frontend_is_idle (f->front));
  answer_with_id (call);
  caller_join (caller);
  assert_int_equal (caller->status, 200);
  assert_non_null (strstr (caller->headers->str, "Connection: close"));
  wait_until_idle (f);
  hs_frontend_free (g_steal_pointer (&f->front));
  caller_run (late);
  assert_int_equal (late->status, 0);
  caller_free (caller);
  caller_free (late);
}

static void
stopping_answers_requests_in_the_core (void **state)
{
  Fixture *f = *state;
  Caller *caller = new_front_caller (f, "POST", "/v1/jobs", JOB ("i1"));
  HsJobRequest *call;

  caller_start (caller);
  call = next_request (f);
  hs_frontend_free (g_steal_pointer (&f->front));
  caller_join (caller);
  assert_int_equal (caller->status, 504);
  assert_non_null (strstr (caller->text->str, "\"not_run\":false"));
  talloc_free (call);
  caller_free (caller);
}

static void
an_address_in_use_is_an_io_error (void **state)
{
  Fixture *f = *state;
  HsEntrySettings settings = f->settings;
  g_autoptr (GError) error = NULL;
  g_autofree char *taken
      = g_strdup_printf ("127.0.0.1:%u", hs_frontend_port (f->front));

  settings.http_listen = taken;
  assert_null (
      hs_frontend_new (NULL, &settings, f->box, queue_request, f, &error));
  assert_true (g_error_matches (error, HS_ERROR, HS_ERROR_IO));
}

#define FRONT_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FRONT_TEST (a_job_is_answered),
    FRONT_TEST (fetch_and_cancel_name_the_job),
    FRONT_TEST (answers_out_of_order_reach_their_callers),
    FRONT_TEST (a_job_request_outlives_its_connection),
    FRONT_TEST (bad_requests_do_not_reach_the_core),
    FRONT_TEST (refusals_carry_their_status_and_retry_time),
    FRONT_TEST (requests_before_the_lists_are_loaded_are_unavailable),
    FRONT_TEST (draining_completes_requests_in_flight),
    FRONT_TEST (draining_answers_one_more_request_per_connection),
    FRONT_TEST (draining_refuses_new_connections),
    FRONT_TEST (stopping_answers_requests_in_the_core),
    FRONT_TEST (an_address_in_use_is_an_io_error),
  };

  rcu_register_thread ();
  curl_global_init (CURL_GLOBAL_ALL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
