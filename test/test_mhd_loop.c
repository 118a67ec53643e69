/* What a server with a budget does in one turn of the event loop. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "http/mhd_loop.h"

#define N_CLIENTS 128
#define N_CHUNKS 200
#define BUDGET_BYTES (16 * 1024 * 1024)

/** Parts of bodies that may be handled in one turn, of all connections. */
#define TURN_PARTS_MAX 4096

/** Large bodies, and how many may be passed on in one turn. */
#define BODY_BYTES 524288
#define N_BODIES 16
#define TURN_BODIES_MAX 2

static HsMhd *mhd;
static unsigned int n_begun;
static unsigned int n_parts;
static unsigned int n_complete;
static unsigned int n_bytes;
static unsigned int n_large;        /* Complete bodies of BODY_BYTES. */
static unsigned int n_before_small; /* Those before the small one. */

static enum MHD_Result
handle (void *arg,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *data,
        size_t *len,
        void **state)
{
  HsMhdBody *body = *state;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void) url;
  (void) method;
  (void) version;
  if (*state == NULL)
    {
      body = talloc_zero (arg, HsMhdBody);
      *state = body;
      hs_mhd_bind_body (mhd, connection, body);
      hs_mhd_body_begin (body, connection, BODY_BYTES, NULL);
      n_begun++;
      return MHD_YES;
    }
  if (*len > 0)
    {
      hs_mhd_body_add (body, body, data, *len, NULL);
      n_parts++;
      n_bytes += (unsigned int) *len;
      *len = 0;
      return MHD_YES;
    }
  if (body->len == BODY_BYTES)
    n_large++;
  else
    n_before_small = n_large;
  n_complete++;
  hs_mhd_body_release (body);
  response = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static void
completed (void *arg,
           struct MHD_Connection *connection,
           void **state,
           enum MHD_RequestTerminationCode code)
{
  (void) arg;
  (void) connection;
  (void) code;
  talloc_free (*state);
  *state = NULL;
}

static int
begin_request (const char *framing)
{
  g_autofree char *head
      = g_strdup_printf ("POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", framing);
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (hs_mhd_port (mhd)),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  assert_int_equal (connect (fd, (struct sockaddr *) &in, sizeof in), 0);
  assert_int_equal (send (fd, head, strlen (head), 0), strlen (head));
  return fd;
}

static void
send_chunks (int fd)
{
  GString *text = g_string_new (NULL);
  int i;

  for (i = 0; i < N_CHUNKS; i++)
    g_string_append (text, "1\r\nx\r\n");
  g_string_append (text, "0\r\n\r\n");
  assert_int_equal (send (fd, text->str, text->len, 0), text->len);
  g_string_free (text, TRUE);
}

/* Runs turns of the loop until @p n is @p end; returns the most by which
   @p counter rose in one of them. */
static unsigned int
run_until (struct tevent_context *ev,
           const unsigned int *n,
           unsigned int end,
           const unsigned int *counter)
{
  unsigned int n_most = 0;

  while (*n < end)
    {
      unsigned int n_before = *counter;

      tevent_loop_once (ev);
      n_most = MAX (n_most, *counter - n_before);
    }
  return n_most;
}

static struct tevent_context *
start_server (void)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  HsMhdOptions options = { .listen = "127.0.0.1:0",
                           .handle = handle,
                           .completed = completed,
                           .arg = ev,
                           .max_connections = N_CLIENTS };

  options.budget = hs_body_budget_new (ev, BUDGET_BYTES, N_CLIENTS);
  mhd = hs_mhd_new (ev, ev, &options, NULL);
  assert_non_null (mhd);
  n_begun = n_parts = n_complete = n_bytes = n_large = 0;
  return ev;
}

/* Guards against a crowd of small chunks that keeps other sockets of the loop
   waiting. */
static void
parts_of_one_turn_are_bounded (void **state)
{
  struct tevent_context *ev = start_server ();
  unsigned int n_most;
  int fds[N_CLIENTS];
  int i;

  (void) state;
  for (i = 0; i < N_CLIENTS; i++)
    fds[i] = begin_request ("Transfer-Encoding: chunked");
  run_until (ev, &n_begun, N_CLIENTS, &n_parts);
  for (i = 0; i < N_CLIENTS; i++)
    send_chunks (fds[i]);
  n_most = run_until (ev, &n_complete, N_CLIENTS, &n_parts);
  assert_int_equal (n_parts, N_CLIENTS * N_CHUNKS);
  print_message ("%u parts in a turn at most\n", n_most);
  assert_in_range (n_most, 1, TURN_PARTS_MAX);
  TALLOC_FREE (mhd);
  for (i = 0; i < N_CLIENTS; i++)
    close (fds[i]);
  talloc_free (ev);
}

/* Sends all of a body but its last byte, while the loop reads it. */
static void
send_body (struct tevent_context *ev, int fd)
{
  g_autofree char *data = g_strnfill (BODY_BYTES, 'x');
  size_t offset = 0;

  while (offset < BODY_BYTES - 1)
    {
      ssize_t n
          = send (fd, data + offset, BODY_BYTES - 1 - offset, MSG_DONTWAIT);

      if (n > 0)
        offset += (size_t) n;
      tevent_loop_once (ev);
    }
}

/* Guards against decoding many large bodies before the loop comes to its other
   sockets, and to small bodies. */
static void
bodies_of_one_turn_are_bounded (void **state)
{
  g_autofree char *length = g_strdup_printf ("Content-Length: %d", BODY_BYTES);
  struct tevent_context *ev = start_server ();
  unsigned int n_most;
  int fds[N_BODIES + 1];
  int i;

  (void) state;
  for (i = 0; i < N_BODIES; i++)
    fds[i] = begin_request (length);
  fds[N_BODIES] = begin_request ("Content-Length: 1");
  run_until (ev, &n_begun, N_BODIES + 1, &n_parts);
  for (i = 0; i < N_BODIES; i++)
    send_body (ev, fds[i]);
  run_until (ev, &n_bytes, N_BODIES * (BODY_BYTES - 1), &n_parts);
  for (i = 0; i <= N_BODIES; i++)
    assert_int_equal (send (fds[i], "x", 1, 0), 1);
  n_most = run_until (ev, &n_complete, N_BODIES + 1, &n_large);
  print_message ("%u large bodies in a turn at most, %u before a small one\n",
                 n_most, n_before_small);
  assert_in_range (n_most, 1, TURN_BODIES_MAX);
  assert_in_range (n_before_small, 0, TURN_BODIES_MAX);
  TALLOC_FREE (mhd);
  for (i = 0; i <= N_BODIES; i++)
    close (fds[i]);
  talloc_free (ev);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (parts_of_one_turn_are_bounded),
    cmocka_unit_test (bodies_of_one_turn_are_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
