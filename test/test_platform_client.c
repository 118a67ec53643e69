/* Requests of the target client, as the target receives them. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "base/time.h"
#include "platform/target_client.h"

static struct tevent_context *ev;
static HsTargetClient *client;
static int listener;
static char address[32];
static unsigned int n_polled;
static unsigned int n_started;
static HsTargetResult start_result;

static void
on_polled (void *arg,
           uint32_t number,
           HsTargetResult result,
           const HsTargetList *list)
{
  (void) arg;
  (void) number;
  (void) result;
  (void) list;
  n_polled++;
}

static void
on_started (void *arg, uint32_t run, HsTargetResult result)
{
  (void) arg;
  (void) run;
  start_result = result;
  n_started++;
}

static const HsTargetClientHandler HANDLER
    = { .started = on_started, .polled = on_polled };

static int
setup (void **state)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;

  (void) state;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (listener, (struct sockaddr *) &addr, sizeof addr) != 0
      || listen (listener, 8) != 0
      || getsockname (listener, (struct sockaddr *) &addr, &len) != 0)
    return -1;
  snprintf (address, sizeof address, "127.0.0.1:%u",
            (unsigned int) ntohs (addr.sin_port));
  ev = tevent_context_init (NULL);
  client = hs_target_client_new (ev, ev, &HANDLER, NULL);
  n_polled = 0;
  n_started = 0;
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ev);
  close (listener);
  return 0;
}

/* Runs the client until a complete request has arrived; returns its
   connection. */
static int
read_request (char *text, size_t size)
{
  HsTime deadline = hs_now ().mono + 2 * HS_SEC;
  struct pollfd ready = { .fd = listener, .events = POLLIN };
  size_t n = 0;
  int conn = -1;

  text[0] = '\0';
  while (hs_now ().mono < deadline && strstr (text, "\r\n\r\n") == NULL)
    {
      ssize_t got;

      tevent_loop_once (ev);
      if (conn < 0 && poll (&ready, 1, 0) == 1)
        conn = accept (listener, NULL, NULL);
      if (conn < 0)
        continue;
      got = recv (conn, text + n, size - 1 - n, MSG_DONTWAIT);
      if (got > 0)
        n += (size_t) got;
      text[n] = '\0';
    }
  return conn;
}

/* The endpoint changes to that of the target's next incarnation while a call is
   in progress. */
static void
a_call_carries_the_headers_of_its_endpoint (void **state)
{
  HsTargetPoll request
      = { .number = 1, .token = 5, .wait_ms = 30, .timeout_ms = 500 };
  char text[4096];
  int conn;

  (void) state;
  hs_target_client_set_endpoint (client, address, "first-incarnation");
  hs_target_client_poll (client, &request);
  hs_target_client_set_endpoint (client, "127.0.0.1:9", "second-incarnation");
  conn = read_request (text, sizeof text);
  assert_non_null (strstr (text, "POST /-/hold"));
  assert_non_null (strstr (text, "Content-Type: application/json\r\n"));
  assert_non_null (strstr (text, ": first-incarnation\r\n"));
  close (conn);
  while (n_polled == 0)
    tevent_loop_once (ev);
}

/* Freeing the client ends a call in progress without reporting a result. */
static void
pending_calls_end_with_the_client (void **state)
{
  HsTargetPoll request
      = { .number = 1, .token = 5, .wait_ms = 30, .timeout_ms = 500 };
  char text[4096];
  int conn;

  (void) state;
  hs_target_client_set_endpoint (client, address, NULL);
  hs_target_client_poll (client, &request);
  conn = read_request (text, sizeof text);
  assert_true (conn >= 0);
  TALLOC_FREE (client);
  assert_int_equal (n_polled, 0);
  close (conn);
}

/* Guards against tasks that are started late, as a start without an answer
   holds its resources for longer than a poll without one takes. */
static void
a_start_without_an_answer_is_given_up_before_a_poll_with_a_wait (void **state)
{
  HsTargetPoll request
      = { .number = 1, .token = 5, .wait_ms = 10, .timeout_ms = 30 };
  HsTargetStart start = { .key = { "a", 0, 0, 1 },
                          .spec = "x",
                          .spec_len = 1,
                          .token = 5,
                          .lease_until_ms = 1 };

  (void) state;
  hs_target_client_set_endpoint (client, address, NULL);
  hs_target_client_poll (client, &request);
  hs_target_client_start (client, 1, &start);
  while (n_started == 0 && n_polled == 0)
    tevent_loop_once (ev);
  assert_int_equal (n_started, 1);
  assert_int_equal (n_polled, 0);
  assert_int_equal (start_result, HS_TARGET_UNANSWERED);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_call_carries_the_headers_of_its_endpoint,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (pending_calls_end_with_the_client, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        a_start_without_an_answer_is_given_up_before_a_poll_with_a_wait, setup,
        teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
