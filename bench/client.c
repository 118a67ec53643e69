#include <stdbool.h>

#include "client.h"

#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/address.h"
#include "base/uuid7.h"

#define EVENTS_MAX 256
#define READ_SIZE 65536

/**
 * Upper limit of the time by which the kernel may delay a timer. The default of
 * 50 us would count as latency of the entry.
 */
#define TIMER_SLACK_NS 1UL

/* A persistent connection. At most one job is open on it. */
typedef struct
{
  int fd;
  bool job_open;
  HsTime arrived;
  uint32_t customer;
  GString *request;
  GString *response;
} Connection;

static struct
{
  BenchClientConfig config;
  Connection *connections;
  GQueue idle_connections;
  int epoll_fd;
  uint32_t n_open_jobs;
  uint64_t random_state;
  GArray *latencies;
  GArray *send_delays; /* From the arrival of a job to the sending of its
                          request. */
  BenchClientResult result;
} client;

static int connect_to_entry (const char *address);
static void submit (Connection *connection, HsTime arrived);
static void write_request (Connection *connection);
static void receive (Connection *connection);
static bool is_complete (const GString *response, const char **body);
static void end_job (Connection *connection, const char *body);
static void poll_connections (HsTime until);
static uint64_t next_random (void);

void
bench_client_open (const BenchClientConfig *config)
{
  uint32_t n_entries = g_strv_length (config->entries);
  uint32_t i;

  client.config = *config;
  prctl (PR_SET_TIMERSLACK, TIMER_SLACK_NS);
  client.epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  client.random_state = (uint64_t) hs_now ().mono | 1;
  client.latencies = g_array_new (FALSE, FALSE, sizeof (HsTime));
  client.send_delays = g_array_new (FALSE, FALSE, sizeof (HsTime));
  client.connections = g_new0 (Connection, config->connections);
  g_queue_init (&client.idle_connections);
  for (i = 0; i < config->connections; i++)
    {
      Connection *connection = &client.connections[i];
      struct epoll_event event = { .events = EPOLLIN, .data.ptr = connection };

      connection->fd = connect_to_entry (config->entries[i % n_entries]);
      connection->request = g_string_new (NULL);
      connection->response = g_string_new (NULL);
      epoll_ctl (client.epoll_fd, EPOLL_CTL_ADD, connection->fd, &event);
      g_queue_push_tail (&client.idle_connections, connection);
    }
}

void
bench_client_run (HsTime span, BenchClientResult *result)
{
  HsTime begin = hs_now ().mono;
  HsTime end = begin + span;
  double rate = client.config.jobs_per_s;
  double next = (double) begin;
  HsTime now;

  memset (&client.result, 0, sizeof client.result);
  g_array_set_size (client.latencies, 0);
  g_array_set_size (client.send_delays, 0);
  while ((now = hs_now ().mono) < end)
    {
      while (rate > 0 && next <= (double) now
             && !g_queue_is_empty (&client.idle_connections))
        {
          submit (g_queue_pop_head (&client.idle_connections), (HsTime) next);
          /* Exponential gaps, as of independent callers. */
          next += -log ((double) (next_random () >> 11) * 0x1p-53 + 0x1p-54)
                  / rate * (double) HS_SEC;
        }
      if (rate > 0 && next <= (double) now)
        client.result.n_delayed++;
      while (rate == 0 && !g_queue_is_empty (&client.idle_connections))
        submit (g_queue_pop_head (&client.idle_connections), now);
      poll_connections (rate > 0 ? MIN (end, (HsTime) next) : end);
    }
  *result = client.result;
  result->n_latencies = client.latencies->len;
  result->latencies = g_memdup2 (client.latencies->data,
                                 client.latencies->len * sizeof (HsTime));
  result->n_send_delays = client.send_delays->len;
  result->send_delays = g_memdup2 (client.send_delays->data,
                                   client.send_delays->len * sizeof (HsTime));
}

bool
bench_client_drain (HsTime span)
{
  HsTime end = hs_now ().mono + span;

  while (client.n_open_jobs > 0 && hs_now ().mono < end)
    poll_connections (end);
  return client.n_open_jobs == 0;
}

static int
connect_to_entry (const char *address)
{
  struct sockaddr_storage to;
  socklen_t len;
  int one = 1;
  int fd;

  if (!hs_address_parse (address, &to, &len))
    g_error ("bench: invalid address %s", address);
  fd = socket (to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || connect (fd, (struct sockaddr *) &to, len) != 0)
    g_error ("bench: cannot connect to %s: %s", address, strerror (errno));
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static void
submit (Connection *connection, HsTime arrived)
{
  uint32_t n_customers = g_strv_length (client.config.customers);
  g_autoptr (GString) body = g_string_new (NULL);
  uint64_t random[2] = { next_random (), next_random () };
  const char *customer;
  char id[HS_UUID_SIZE];
  HsTime delay;
  uint32_t i;

  connection->customer = (uint32_t) (next_random () % n_customers);
  customer = client.config.customers[connection->customer];
  hs_uuid7_format (hs_now ().wall_ms, (const uint8_t *) random, id);
  g_string_append_printf (
      body, "{\"customer\":\"%s\",\"id\":\"%s\",\"tasks\":[", customer, id);
  for (i = 0; i < client.config.tasks; i++)
    {
      g_string_append (body, i > 0 ? ",{\"body\":\"x\"" : "{\"body\":\"x\"");
      if (client.config.run_ms > 0)
        g_string_append_printf (body, ",\"run_ms\":%u", client.config.run_ms);
      g_string_append_c (body, '}');
    }
  g_string_append (body, "]}");
  g_string_printf (connection->request,
                   "POST /v1/jobs HTTP/1.1\r\nHost: entry\r\n"
                   "Authorization: Bearer %s\r\n"
                   "Content-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   client.config.key, body->len, body->str);
  g_string_truncate (connection->response, 0);
  connection->arrived = arrived;
  connection->job_open = true;
  client.n_open_jobs++;
  client.result.bytes += connection->request->len;
  delay = hs_now ().mono - arrived;
  g_array_append_val (client.send_delays, delay);
  write_request (connection);
}

/* A blocking write: an entry reads a request within a short time. */
static void
write_request (Connection *connection)
{
  size_t at = 0;

  while (at < connection->request->len)
    {
      ssize_t n = send (connection->fd, connection->request->str + at,
                        connection->request->len - at, MSG_NOSIGNAL);

      if (n < 0 && errno != EINTR)
        g_error ("bench: cannot send a request: %s", strerror (errno));
      if (n > 0)
        at += (size_t) n;
    }
}

static void
receive (Connection *connection)
{
  static char buffer[READ_SIZE];
  const char *body;
  ssize_t n = recv (connection->fd, buffer, sizeof buffer, MSG_DONTWAIT);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    g_error ("bench: an entry closed a connection");
  client.result.bytes += (uint64_t) n;
  g_string_append_len (connection->response, buffer, n);
  if (connection->job_open && is_complete (connection->response, &body))
    end_job (connection, body);
}

static bool
is_complete (const GString *response, const char **body)
{
  const char *end = strstr (response->str, "\r\n\r\n");
  const char *length;

  if (end == NULL)
    return false;
  length = strcasestr (response->str, "\r\nContent-Length:");
  if (length == NULL || length > end)
    g_error ("bench: response without Content-Length");
  *body = end + 4;
  return response->len - (size_t) (*body - response->str)
         >= strtoull (length + strlen ("\r\nContent-Length:"), NULL, 10);
}

static void
end_job (Connection *connection, const char *body)
{
  HsTime latency = hs_now ().mono - connection->arrived;

  if (strstr (body, "\"complete\"") != NULL)
    {
      client.result.complete++;
      g_array_append_val (client.latencies, latency);
    }
  else if (client.result.not_complete++ == 0)
    g_printerr ("bench: first job that was not completed: %.200s\n", body);
  connection->job_open = false;
  client.n_open_jobs--;
  g_queue_push_tail (&client.idle_connections, connection);
}

static void
poll_connections (HsTime until)
{
  struct epoll_event events[EVENTS_MAX];
  HsTime span = MAX (until - hs_now ().mono, 0);
  struct timespec timeout = { span / HS_SEC, span % HS_SEC * 1000 };
  int n = epoll_pwait2 (client.epoll_fd, events, EVENTS_MAX, &timeout, NULL);
  int i;

  for (i = 0; i < n; i++)
    receive (events[i].data.ptr);
}

/* xorshift64: fast, and random enough for ids and gaps. */
static uint64_t
next_random (void)
{
  client.random_state ^= client.random_state << 13;
  client.random_state ^= client.random_state >> 7;
  client.random_state ^= client.random_state << 17;
  return client.random_state;
}
