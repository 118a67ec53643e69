/**
 * @file
 * Hostile callers of the HTTP frontend. A well-behaved caller must be served
 * during each attack.
 */
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

#include "entry/frontend.h"

#define KEY "key-of-customer-one"
#define BODY_MAX_BYTES 65536
#define CONNECTIONS_MAX 16
#define IDLE_CONNECTIONS 48
#define POLL_INTERVAL_US 1000
#define JOB "{\"customer\":\"c1\",\"id\":\"i1\",\"tasks\":[{\"body\":\"b\"}]}"
#define HEAD                                                                   \
  "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"                 \
  "Authorization: Bearer " KEY "\r\n"

typedef struct
{
  HsEntrySettings settings;
  HsPublishedLists *box;
  HsFrontend *front;
} Fixture;

/** Stands in for the core: answers each job request at once. */
static void
answer_now (void *arg, HsJobRequest *call)
{
  (void) arg;
  call->answer = talloc_zero (call, hsx_answer);
  call->answer->state = HSX_JOB_COMPLETE;
  hs_frontend_post_answer (call);
}

static int
set_up (void **state)
{
  Fixture *f = g_new0 (Fixture, 1);
  HsLists *lists = hs_lists_new (NULL);

  f->settings.http_listen = (char *) "127.0.0.1:0";
  f->settings.threads = 1;
  f->settings.max_connections = CONNECTIONS_MAX;
  f->settings.max_body = BODY_MAX_BYTES;
  f->box = hs_published_lists_new (NULL);
  hs_lists_apply (lists, HS_LIST_PLANS, "c1",
                  "{\"plan\":\"gold\",\"key\":\"" KEY "\"}", 1, NULL);
  hs_lists_publish (f->box, lists);
  f->front
      = hs_frontend_new (NULL, &f->settings, f->box, answer_now, NULL, NULL);
  assert_non_null (f->front);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *f = *state;

  hs_frontend_free (f->front);
  talloc_free (f->box);
  g_free (f);
  return 0;
}

static int
connect_to (const Fixture *f)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (hs_frontend_port (f->front)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address),
                    0);
  return fd;
}

/** Sends all bytes unless the peer closes the connection. */
static void
send_all (int fd, const char *bytes, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (fd, bytes, n, MSG_NOSIGNAL);

      if (sent < 0)
        return;
      bytes += sent;
      n -= (size_t) sent;
    }
}

/** Reads the response and closes the connection. Returns the HTTP status; 0
 *  without a response. */
static int
read_status (int fd)
{
  GString *text = g_string_new (NULL);
  char part[4096];
  ssize_t n;
  int status = 0;

  while ((n = recv (fd, part, sizeof part, 0)) > 0)
    g_string_append_len (text, part, n);
  close (fd);
  if (g_str_has_prefix (text->str, "HTTP/1."))
    status = atoi (text->str + strlen ("HTTP/1.x "));
  g_string_free (text, TRUE);
  return status;
}

static int
exchange (const Fixture *f, const char *bytes, size_t n)
{
  int fd = connect_to (f);

  send_all (fd, bytes, n);
  return read_status (fd);
}

static void
expect_served (const Fixture *f)
{
  g_autofree char *text
      = g_strdup_printf (HEAD "Content-Length: %zu\r\n\r\n" JOB, strlen (JOB));

  assert_int_equal (exchange (f, text, strlen (text)), 200);
}

static uint64_t
response_count (const Fixture *f, int class)
{
  uint64_t n[6];

  hs_frontend_response_counts (f->front, n);
  return n[class];
}

static void
wait_until_idle (const Fixture *f)
{
  while (!hs_frontend_is_idle (f->front))
    g_usleep (POLL_INTERVAL_US);
}

static void
malformed_requests_are_refused (void **state)
{
  static const char *const REQUESTS[] = {
    "\xff\xfe\x01\x02\r\n\r\n",
    "POST\r\n\r\n",
    "POST /v1/jobs HTTP/9.9\r\n\r\n",
    "POST /v1/jobs HTTP/1.1\r\n\r\n",
    HEAD "Content-Length: 99999999999999999999\r\n\r\n",
    HEAD "Content-Length: -1\r\n\r\n",
    HEAD "Content-Length: 1e3\r\n\r\n",
    HEAD "Content-Length: 70000\r\n\r\n",
    HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD "Content-Length: 2\r\n\r\n{}",
    HEAD "Content-Length: 2\r\n\r\n\xff\xff",
  };
  Fixture *f = *state;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (REQUESTS); i++)
    {
      int status = exchange (f, REQUESTS[i], strlen (REQUESTS[i]));

      if (status != 0 && (status < 400 || status > 505))
        fail_msg ("%s: %d", REQUESTS[i], status);
      expect_served (f);
    }
  assert_true (response_count (f, 4) >= 4);
  assert_int_equal (response_count (f, 2), G_N_ELEMENTS (REQUESTS));
  wait_until_idle (f);
}

static void
oversized_parts_are_refused (void **state)
{
  Fixture *f = *state;
  g_autofree char *filler = g_strnfill (BODY_MAX_BYTES, 'x');
  g_autofree char *path = g_strdup_printf ("GET /%s HTTP/1.1\r\n\r\n", filler);
  g_autofree char *header
      = g_strdup_printf (HEAD "X-Filler: %s\r\n\r\n", filler);
  int status = exchange (f, path, strlen (path));

  assert_true (status == 0 || status == 414 || status == 431);
  status = exchange (f, header, strlen (header));
  assert_true (status == 0 || status == 413 || status == 431);
  expect_served (f);
  wait_until_idle (f);
}

/* Guards against 400 for a job whose body has no Content-Length. */
static void
a_job_in_chunks_is_served_unless_it_is_too_long (void **state)
{
  Fixture *f = *state;
  g_autofree char *filler = g_strnfill (BODY_MAX_BYTES, ' ');
  g_autofree char *job
      = g_strdup_printf (HEAD "Transfer-Encoding: chunked\r\n\r\n"
                              "%zx\r\n" JOB "\r\n0\r\n\r\n",
                         strlen (JOB));
  g_autofree char *long_job
      = g_strdup_printf (HEAD "Transfer-Encoding: chunked\r\n\r\n"
                              "%x\r\n%s\r\n%zx\r\n" JOB "\r\n0\r\n\r\n",
                         BODY_MAX_BYTES, filler, strlen (JOB));

  assert_int_equal (exchange (f, job, strlen (job)), 200);
  assert_int_equal (exchange (f, long_job, strlen (long_job)), 413);
  expect_served (f);
  wait_until_idle (f);
}

static void
truncated_requests_are_discarded (void **state)
{
  Fixture *f = *state;
  g_autofree char *text
      = g_strdup_printf (HEAD "Content-Length: %zu\r\n\r\n" JOB, strlen (JOB));
  size_t n;

  for (n = 0; n < strlen (text); n += 7)
    {
      int fd = connect_to (f);

      send_all (fd, text, n);
      close (fd);
    }
  expect_served (f);
  assert_int_equal (response_count (f, 2), 1);
  wait_until_idle (f);
}

/** Opens more half-closed connections than the connection limit. */
static void
half_closed_connections_are_closed_at_the_limit (void **state)
{
  Fixture *f = *state;
  g_autofree char *text
      = g_strdup_printf (HEAD "Content-Length: %zu\r\n\r\n" JOB, strlen (JOB));
  int fds[IDLE_CONNECTIONS];
  size_t i;

  for (i = 0; i < IDLE_CONNECTIONS; i++)
    {
      fds[i] = connect_to (f);
      send_all (fds[i], text, i * (strlen (text) - 1) / IDLE_CONNECTIONS);
      shutdown (fds[i], SHUT_WR);
    }
  expect_served (f);
  for (i = 0; i < IDLE_CONNECTIONS; i++)
    assert_int_not_equal (read_status (fds[i]), 200);
  assert_int_equal (response_count (f, 2), 1);
  wait_until_idle (f);
}

static void
a_slow_request_does_not_delay_others (void **state)
{
  Fixture *f = *state;
  g_autofree char *text
      = g_strdup_printf (HEAD "Content-Length: %zu\r\n\r\n" JOB, strlen (JOB));
  int fd = connect_to (f);
  size_t i;

  for (i = 0; text[i] != '\0'; i++)
    {
      send_all (fd, text + i, 1);
      if (i % 16 == 0)
        expect_served (f);
    }
  assert_int_equal (read_status (fd), 200);
  wait_until_idle (f);
}

/** Opens more connections than the limit, none with a complete request. */
static void
idle_connections_are_closed_at_the_limit (void **state)
{
  Fixture *f = *state;
  int fds[IDLE_CONNECTIONS];
  int i;

  for (i = 0; i < IDLE_CONNECTIONS; i++)
    {
      fds[i] = connect_to (f);
      send_all (fds[i], HEAD, i % 2 == 0 ? 0 : strlen (HEAD));
    }
  expect_served (f);
  for (i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
  expect_served (f);
  wait_until_idle (f);
}

#define FRONT_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FRONT_TEST (malformed_requests_are_refused),
    FRONT_TEST (oversized_parts_are_refused),
    FRONT_TEST (a_job_in_chunks_is_served_unless_it_is_too_long),
    FRONT_TEST (truncated_requests_are_discarded),
    FRONT_TEST (half_closed_connections_are_closed_at_the_limit),
    FRONT_TEST (a_slow_request_does_not_delay_others),
    FRONT_TEST (idle_connections_are_closed_at_the_limit),
  };

  rcu_register_thread ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
