/* The HTTP server for targets' announcements, on loopback. */
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

#include "platform/announcement_server.h"

#define ANNOUNCEMENT                                                           \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","        \
  "\"sequence\":4,\"born\":7,\"labels\":[],"                                   \
  "\"capacity\":{\"cpu\":4000,\"mem_mb\":1000,\"gpu\":0}}"

/** More than the tests use. */
#define BUDGET_BYTES 100000000
#define MAX_SOCKETS 1024

#define ANSWER_TIMEOUT_S 10

static uint32_t n_announced;
static bool timed_out;

static void
on_announced (void *arg, const HsAnnouncement *announcement)
{
  (void) arg;
  assert_string_equal (announcement->name, "i-1");
  assert_int_equal (announcement->sequence, 4);
  n_announced++;
}

static void
on_left (void *arg, const char *name)
{
  (void) arg;
  (void) name;
}

static void
on_unreadable (void *arg, const char *name, const char *problem)
{
  (void) arg;
  fail_msg ("%s: %s", name, problem);
}

static const HsAnnouncementHandler HANDLER = { .announced = on_announced,
                                               .left = on_left,
                                               .unreadable = on_unreadable };

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
  timed_out = true;
}

static void
on_answer (struct tevent_context *ev,
           struct tevent_fd *event,
           uint16_t flags,
           void *arg)
{
  char text[64] = "";
  ssize_t n = recv (*(int *) arg, text, sizeof text - 1, 0);

  (void) ev;
  (void) flags;
  talloc_free (event);
  assert_true (n > (ssize_t) strlen ("HTTP/1.1 "));
  *(int *) arg = atoi (text + strlen ("HTTP/1.1 "));
}

/* A port of loopback on which nothing listens. */
static struct sockaddr_in
choose_address (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (bind (fd, (struct sockaddr *) &address, len), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &address, &len), 0);
  close (fd);
  return address;
}

/* Guards against a target that is never known: its announcements have no
   Content-Length. */
static void
an_announcement_in_chunks_is_read (void **state)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  struct sockaddr_in address = choose_address ();
  g_autofree char *listen
      = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  g_autofree char *text = g_strdup_printf (
      "PUT /-/instances/i-1 HTTP/1.1\r\nHost: h\r\n"
      "Transfer-Encoding: chunked\r\n\r\n%zx\r\n" ANNOUNCEMENT "\r\n0\r\n\r\n",
      strlen (ANNOUNCEMENT));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int status = fd;

  (void) state;
  assert_non_null (hs_announcement_server_new (
      ev, ev, listen, hs_body_budget_new (ev, BUDGET_BYTES, MAX_SOCKETS),
      &HANDLER, NULL, NULL));
  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address),
                    0);
  assert_int_equal (send (fd, text, strlen (text), 0), strlen (text));
  tevent_add_fd (ev, ev, fd, TEVENT_FD_READ, on_answer, &status);
  tevent_add_timer (ev, ev, tevent_timeval_current_ofs (ANSWER_TIMEOUT_S, 0),
                    on_timeout, NULL);
  while (status == fd && !timed_out)
    tevent_loop_once (ev);
  assert_int_equal (status, 200);
  assert_int_equal (n_announced, 1);
  close (fd);
  talloc_free (ev);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (an_announcement_in_chunks_is_read) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
