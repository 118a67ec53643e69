/* The HTTP server for callers, on loopback. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "platform/caller_server.h"

#define JOB                                                                    \
  "{\"spec\":\"s\",\"best_effort\":true,"                                      \
  "\"steps\":[{\"count\":3,\"cpu\":100}]}"
#define HEAD "POST /q/00ff HTTP/1.1\r\nHost: h\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

/** More than the largest accepted body. */
#define LONG_BODY_BYTES 300000

#define ANSWER_TIMEOUT_S 10

/** Memory for requests: two bodies of LARGE_BODY_BYTES don't fit. */
#define BUDGET_BYTES 400000
#define MAX_SOCKETS 1024
#define LARGE_BODY_BYTES 240000

#define N_SMALL_CHUNKS 15000
#define TURN_CHUNKS_MAX 64
#define CONNECTIONS_MAX 8

typedef struct
{
  struct tevent_context *ev;
  HsBodyBudget *budget;
  HsCallerServer *server;
  int fd; /* The caller's connection. */
  GString *answer;
  bool closed;
  bool timed_out;
  uint32_t n_turns; /* Of the loop. */
  uint32_t n_jobs;
  uint32_t n_tasks; /* Of the last job. */
} Fixture;

static Fixture f;

static void
complete_job (void *arg, const HsCallerRequest *request)
{
  HsReply reply = { .kind = HS_REPLY_COMPLETED };

  (void) arg;
  if (request->problem != NULL)
    reply = (HsReply){ .kind = HS_REPLY_INVALID, .problem = request->problem };
  else
    f.n_jobs++;
  f.n_tasks = request->job.n_tasks;
  hs_caller_server_reply (f.server, request->handle, &reply);
}

static void
ignore_disconnected (void *arg, uint64_t handle)
{
  (void) arg;
  (void) handle;
}

static const HsCallerServerHandler HANDLER
    = { .request = complete_job, .disconnected = ignore_disconnected };

static int
set_up (void **state)
{
  (void) state;
  memset (&f, 0, sizeof f);
  f.fd = -1;
  f.answer = g_string_new (NULL);
  f.ev = tevent_context_init (NULL);
  f.budget = hs_body_budget_new (f.ev, BUDGET_BYTES, MAX_SOCKETS);
  f.server = hs_caller_server_new (f.ev, f.ev, "127.0.0.1:0", f.budget,
                                   CONNECTIONS_MAX, &HANDLER, NULL, NULL);
  assert_non_null (f.server);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  if (f.fd >= 0)
    close (f.fd);
  g_string_free (f.answer, TRUE);
  talloc_free (f.ev);
  return 0;
}

static void
connect_caller (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (hs_caller_server_port (f.server)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  if (f.fd >= 0)
    close (f.fd);
  f.fd = socket (AF_INET, SOCK_STREAM, 0);
  f.closed = false;
  assert_int_equal (
      connect (f.fd, (struct sockaddr *) &address, sizeof address), 0);
}

static void
on_timeout (struct tevent_context *ev,
            struct tevent_timer *timer,
            struct timeval now,
            void *arg)
{
  (void) ev;
  (void) timer;
  (void) now;
  (void) arg;
  f.timed_out = true;
}

/* Also called at short intervals: the caller's socket isn't in the loop. */
static void
on_poll (struct tevent_context *ev,
         struct tevent_timer *timer,
         struct timeval now,
         void *arg)
{
  (void) ev;
  (void) timer;
  (void) now;
  (void) arg;
}

static void
run_once (void)
{
  tevent_add_timer (f.ev, f.ev, tevent_timeval_current_ofs (0, 1000), on_poll,
                    NULL);
  tevent_loop_once (f.ev);
  f.n_turns++;
}

static void
receive (void)
{
  char part[4096];
  ssize_t n = recv (f.fd, part, sizeof part, MSG_DONTWAIT);

  if (n > 0)
    g_string_append_len (f.answer, part, n);
  else if (n == 0)
    f.closed = true;
}

/* Sends the bytes, and reads one answer.
   @return its HTTP status; 0 if the server closed the connection without one */
static int
exchange (const char *bytes)
{
  size_t left = strlen (bytes);
  struct tevent_timer *timeout = tevent_add_timer (
      f.ev, f.ev, tevent_timeval_current_ofs (ANSWER_TIMEOUT_S, 0), on_timeout,
      NULL);

  g_string_truncate (f.answer, 0);
  while (!f.timed_out && !f.closed
         && strstr (f.answer->str, "\r\n\r\n{") == NULL)
    {
      ssize_t n = left == 0
                      ? 0
                      : send (f.fd, bytes, left, MSG_DONTWAIT | MSG_NOSIGNAL);

      if (n > 0)
        {
          bytes += n;
          left -= (size_t) n;
        }
      run_once ();
      receive ();
    }
  assert_false (f.timed_out);
  talloc_free (timeout);
  return g_str_has_prefix (f.answer->str, "HTTP/1.1 ")
             ? atoi (f.answer->str + strlen ("HTTP/1.1 "))
             : 0;
}

static char *
chunk (const char *text)
{
  return g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);
}

/* Guards against 400 for a job whose body has no Content-Length. */
static void
a_job_in_chunks_is_read (void **state)
{
  g_autofree char *half = g_strndup (JOB, 20);
  g_autofree char *first = chunk (half);
  g_autofree char *second = chunk (&JOB[20]);
  g_autofree char *text
      = g_strconcat (CHUNKED, first, second, "0\r\nX-Trailer: x\r\n\r\n", NULL);
  g_autofree char *plain
      = g_strdup_printf (HEAD "Content-Length: %zu\r\n\r\n" JOB, strlen (JOB));

  (void) state;
  connect_caller ();
  assert_int_equal (exchange (text), 200);
  assert_int_equal (f.n_tasks, 3);
  /* The connection goes on. */
  assert_int_equal (exchange (plain), 200);
  assert_int_equal (exchange (text), 200);
  assert_int_equal (f.n_jobs, 3);
}

static void
a_body_in_chunks_is_bounded (void **state)
{
  g_autofree char *filler = g_strnfill (LONG_BODY_BYTES, ' ');
  g_autofree char *first = chunk (filler);
  g_autofree char *second = chunk (JOB);
  g_autofree char *text
      = g_strconcat (CHUNKED, first, second, "0\r\n\r\n", NULL);

  (void) state;
  connect_caller ();
  assert_int_equal (exchange (text), 400);
  assert_int_equal (f.n_jobs, 0);
  assert_int_equal (hs_caller_server_count_unanswered (f.server), 0);
}

/* Where the body ends can't be told, or could be told in two ways; a proxy may
   take what follows for another request. */
static void
other_transfer_codings_end_the_connection (void **state)
{
  static const char *const HEADS[] = {
    HEAD "Transfer-Encoding: gzip\r\n\r\n",
    HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    HEAD "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n",
    HEAD "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    HEAD "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (HEADS); i++)
    {
      int status;

      connect_caller ();
      status = exchange (HEADS[i]);
      if (status != 400 && status != 0)
        fail_msg ("%s: %d", HEADS[i], status);
      while (!f.closed)
        {
          run_once ();
          receive ();
        }
    }
  assert_int_equal (f.n_jobs, 0);
}

/* Guards against a request that fails as invalid, or runs, when there was no
   memory for its body. */
static void
a_body_without_memory_is_refused (void **state)
{
  g_autofree char *filler = g_strnfill (LARGE_BODY_BYTES, ' ');
  g_autofree char *large = g_strdup_printf (
      HEAD "Content-Length: %zu\r\n\r\n%.*s" JOB,
      (size_t) LARGE_BODY_BYTES + strlen (JOB), LARGE_BODY_BYTES, filler);
  g_autofree char *plain
      = g_strdup_printf (HEAD "Content-Length: %zu\r\n\r\n" JOB, strlen (JOB));

  HsBodyServer other
      = { .max_connections = 1, .connection_bytes = HS_CONNECTION_BYTES };
  HsBodyShare *share
      = hs_body_share_new (f.ev, f.budget, &other, NULL, NULL, 0);

  (void) state;
  hs_body_share_begin (share, 0);
  assert_true (hs_body_share_reserve (share, LARGE_BODY_BYTES, 0));
  hs_body_share_complete (share);
  connect_caller ();
  assert_int_equal (exchange (large), 503);
  assert_non_null (strstr (f.answer->str, "\r\nRetry-After: 1\r\n"));
  assert_int_equal (f.n_jobs, 0);
  assert_int_equal (exchange (plain), 200);
  assert_int_equal (f.n_jobs, 1);
  talloc_free (share);
  assert_int_equal (exchange (large), 200);
}

/* Guards against bodies in small chunks that keep the loop from other work: a
   buffer of the server holds hundreds of them. */
static void
small_chunks_are_read_in_many_turns (void **state)
{
  GString *text = g_string_new (CHUNKED);
  size_t n;

  (void) state;
  for (n = 0; n < N_SMALL_CHUNKS; n++)
    g_string_append (text, "10\r\n                \r\n");
  g_string_append_printf (text, "%zx\r\n%s\r\n0\r\n\r\n", strlen (JOB), JOB);
  connect_caller ();
  assert_int_equal (exchange (text->str), 200);
  assert_true (f.n_turns >= N_SMALL_CHUNKS / TURN_CHUNKS_MAX);
  g_string_free (text, TRUE);
}

#define TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (a_job_in_chunks_is_read),
    TEST (a_body_in_chunks_is_bounded),
    TEST (other_transfer_codings_end_the_connection),
    TEST (a_body_without_memory_is_refused),
    TEST (small_chunks_are_read_in_many_turns),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
