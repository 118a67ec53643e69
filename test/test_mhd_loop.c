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

static unsigned int n_begun;
static unsigned int n_parts;
static unsigned int n_complete;

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
  struct MHD_Response *response;
  enum MHD_Result result;

  (void) url;
  (void) method;
  (void) version;
  (void) data;
  if (*state == NULL)
    {
      *state = arg;
      n_begun++;
      return MHD_YES;
    }
  if (*len > 0)
    {
      n_parts++;
      *len = 0;
      return MHD_YES;
    }
  n_complete++;
  response = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static int
begin_request (const HsMhd *mhd)
{
  static const char head[] = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (hs_mhd_port (mhd)),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  assert_int_equal (connect (fd, (struct sockaddr *) &in, sizeof in), 0);
  assert_int_equal (send (fd, head, sizeof head - 1, 0), sizeof head - 1);
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

/* Runs turns of the loop until @p n is N_CLIENTS; returns the most parts that
   were handled in one of them. */
static unsigned int
run_until_all (struct tevent_context *ev, const unsigned int *n)
{
  unsigned int n_most = 0;

  while (*n < N_CLIENTS)
    {
      unsigned int n_before = n_parts;

      tevent_loop_once (ev);
      n_most = MAX (n_most, n_parts - n_before);
    }
  return n_most;
}

/* Guards against a crowd of small chunks that keeps other sockets of the loop
   waiting. */
static void
parts_of_one_turn_are_bounded (void **state)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  HsMhdOptions options = { .listen = "127.0.0.1:0",
                           .handle = handle,
                           .arg = ev,
                           .max_connections = N_CLIENTS };
  unsigned int n_most;
  int fds[N_CLIENTS];
  HsMhd *mhd;
  int i;

  (void) state;
  options.budget = hs_body_budget_new (ev, BUDGET_BYTES, N_CLIENTS);
  mhd = hs_mhd_new (ev, ev, &options, NULL);
  assert_non_null (mhd);
  for (i = 0; i < N_CLIENTS; i++)
    fds[i] = begin_request (mhd);
  run_until_all (ev, &n_begun);
  for (i = 0; i < N_CLIENTS; i++)
    send_chunks (fds[i]);
  n_most = run_until_all (ev, &n_complete);
  assert_int_equal (n_complete, N_CLIENTS);
  assert_int_equal (n_parts, N_CLIENTS * N_CHUNKS);
  print_message ("%u parts in a turn at most\n", n_most);
  assert_in_range (n_most, 1, TURN_PARTS_MAX);
  talloc_free (mhd);
  for (i = 0; i < N_CLIENTS; i++)
    close (fds[i]);
  talloc_free (ev);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (parts_of_one_turn_are_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
