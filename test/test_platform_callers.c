/* Connections of callers that end before their requests are read. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "base/time.h"
#include "base/timer.h"
#include "platform/caller_server.h"

/** More than the tests use. */
#define BUDGET_BYTES 100000000
#define MAX_SOCKETS 1024
#define CONNECTIONS_MAX 100

static struct tevent_context *ev;
static HsCallerServer *server;
static struct sockaddr_in server_address;
static unsigned int n_requests;
static unsigned int n_disconnected;

static void
on_request (void *arg, const HsCallerRequest *request)
{
  (void) arg;
  (void) request;
  n_requests++;
}

static void
on_disconnected (void *arg, uint64_t handle)
{
  (void) arg;
  (void) handle;
  n_disconnected++;
}

static const HsCallerServerHandler HANDLER
    = { .request = on_request, .disconnected = on_disconnected };

/* A port that nobody listens on. */
static void
choose_address (void)
{
  socklen_t len = sizeof server_address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  server_address = (struct sockaddr_in){ .sin_family = AF_INET };
  server_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (
      bind (fd, (struct sockaddr *) &server_address, sizeof server_address), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &server_address, &len),
                    0);
  close (fd);
}

static int
setup (void **state)
{
  char listen[32];

  (void) state;
  choose_address ();
  snprintf (listen, sizeof listen, "127.0.0.1:%u",
            (unsigned int) ntohs (server_address.sin_port));
  ev = tevent_context_init (NULL);
  server = hs_caller_server_new (
      ev, ev, listen, hs_body_budget_new (ev, BUDGET_BYTES, MAX_SOCKETS),
      CONNECTIONS_MAX, &HANDLER, NULL, NULL);
  n_requests = n_disconnected = 0;
  return server != NULL ? 0 : -1;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (server);
  talloc_free (ev);
  return 0;
}

static int
send_job (void)
{
  static const char REQUEST[] = "POST /q/ab HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 2\r\n\r\n{}";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  assert_int_equal (
      connect (fd, (struct sockaddr *) &server_address, sizeof server_address),
      0);
  assert_int_equal (send (fd, REQUEST, strlen (REQUEST), 0), strlen (REQUEST));
  return fd;
}

static void
on_time (void *arg)
{
  *(bool *) arg = true;
}

static void
run_for (HsTime span)
{
  bool over = false;
  HsTimer *timer = hs_timer_new (NULL, ev, on_time, &over);

  hs_timer_set (timer, span, hs_now ().mono);
  while (!over)
    tevent_loop_once (ev);
  talloc_free (timer);
}

/* Guards against a task that runs twice: the caller gave up while its request
   waited in a busy or paused entry, and has sent its job to another one. */
static void
a_job_whose_caller_has_gone_is_not_passed_on (void **state)
{
  (void) state;
  close (send_job ());
  run_for (100 * HS_MSEC);
  assert_int_equal (n_requests, 0);
  assert_int_equal (n_disconnected, 0);
}

static void
a_caller_that_leaves_after_its_job_was_passed_on_is_reported (void **state)
{
  int fd = send_job ();

  (void) state;
  run_for (100 * HS_MSEC);
  assert_int_equal (n_requests, 1);
  assert_int_equal (n_disconnected, 0);
  close (fd);
  run_for (100 * HS_MSEC);
  assert_int_equal (n_disconnected, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        a_job_whose_caller_has_gone_is_not_passed_on, setup, teardown),
    cmocka_unit_test_setup_teardown (
        a_caller_that_leaves_after_its_job_was_passed_on_is_reported, setup,
        teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
