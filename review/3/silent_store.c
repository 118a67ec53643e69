/**
 * @file
 * The entries' open connections to the store go silent for good, without a
 * reset, while new ones work. More than contact_ms later, when the machines are
 * in touch again, the configuration gets a new route and loses another. Each
 * entry has to follow it config_apply_ms after the acknowledgement.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../common/support.h"

#define ENTRIES 3
#define AGENTS 3
#define CPU_MILLI 6000

#define CONTACT_MS 3000
#define CONFIG_APPLY_MS 2000

/** Added to the bounds, so that the check isn't stricter than they are. */
#define SLACK_MS 100

/** When the connections go silent after a change of the configuration, which
 *  ends all waiting watches: within half of the time that a new one waits. */
#define SILENT_AFTER_MS 100

/** How long requests are sent, and how often. */
#define PROBE_MS 3000
#define PROBE_INTERVAL_MS 100

#define CONNECTIONS_MAX 128

/* A connection from a process to the store. */
typedef struct
{
  int fds[2];
  bool silent; /* Nothing is read from either side any more. */
} Link;

typedef struct
{
  int listen_fd;
  struct sockaddr_in to;
  Link links[CONNECTIONS_MAX];
  unsigned int n_links;
  GMutex lock;
} Proxy;

static Proxy proxy;

static void
accept_link (void)
{
  int fd = accept4 (proxy.listen_fd, NULL, NULL, SOCK_CLOEXEC);
  int to = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || to < 0 || proxy.n_links == CONNECTIONS_MAX
      || connect (to, (struct sockaddr *) &proxy.to, sizeof proxy.to) != 0)
    {
      if (fd >= 0)
        close (fd);
      if (to >= 0)
        close (to);
      return;
    }
  proxy.links[proxy.n_links++] = (Link){ { fd, to }, false };
}

/* Returns false once the connection has ended. */
static bool
pass_on (const Link *link, int side)
{
  char data[65536];
  ssize_t n = recv (link->fds[side], data, sizeof data, MSG_DONTWAIT);
  ssize_t sent = 0;

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return true;
  if (n <= 0)
    return false;
  while (sent < n)
    {
      ssize_t part = send (link->fds[!side], data + sent, (size_t) (n - sent),
                           MSG_NOSIGNAL);

      if (part <= 0)
        return false;
      sent += part;
    }
  return true;
}

static void
poll_links (void)
{
  struct pollfd fds[1 + 2 * CONNECTIONS_MAX];
  unsigned int n;
  unsigned int i;

  g_mutex_lock (&proxy.lock);
  n = proxy.n_links;
  fds[0] = (struct pollfd){ proxy.listen_fd, POLLIN, 0 };
  for (i = 0; i < n; i++)
    {
      bool open = !proxy.links[i].silent;

      fds[1 + 2 * i]
          = (struct pollfd){ open ? proxy.links[i].fds[0] : -1, POLLIN, 0 };
      fds[2 + 2 * i]
          = (struct pollfd){ open ? proxy.links[i].fds[1] : -1, POLLIN, 0 };
    }
  g_mutex_unlock (&proxy.lock);
  poll (fds, 1 + 2 * n, 10);
  g_mutex_lock (&proxy.lock);
  for (i = n; i-- > 0;)
    {
      Link *link = &proxy.links[i];

      if (link->silent
          || ((fds[1 + 2 * i].revents == 0 || pass_on (link, 0))
              && (fds[2 + 2 * i].revents == 0 || pass_on (link, 1))))
        continue;
      close (link->fds[0]);
      close (link->fds[1]);
      *link = proxy.links[--proxy.n_links];
    }
  if (fds[0].revents != 0)
    accept_link ();
  g_mutex_unlock (&proxy.lock);
}

static void *
run_proxy (void *arg)
{
  (void) arg;
  for (;;)
    poll_links ();
  return NULL;
}

/* Puts the proxy between the store and all other processes. */
static void
start_proxy (void)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;
  const char *store = case_cluster.addresses[CLUSTER_STORE][0];

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  proxy.listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (proxy.listen_fd, (struct sockaddr *) &in, sizeof in) != 0
      || listen (proxy.listen_fd, 64) != 0
      || getsockname (proxy.listen_fd, (struct sockaddr *) &in, &len) != 0)
    case_fail ("the proxy can't listen");
  proxy.to = in;
  proxy.to.sin_port
      = htons ((uint16_t) g_ascii_strtoull (strchr (store, ':') + 1, NULL, 10));
  g_snprintf (case_cluster.store_dial_address,
              sizeof case_cluster.store_dial_address, "127.0.0.1:%u",
              ntohs (in.sin_port));
  g_thread_unref (g_thread_new ("proxy", run_proxy, NULL));
}

static void
silence (void)
{
  unsigned int i;

  g_mutex_lock (&proxy.lock);
  for (i = 0; i < proxy.n_links; i++)
    proxy.links[i].silent = true;
  case_note ("%u open connections to the store go silent", proxy.n_links);
  g_mutex_unlock (&proxy.lock);
}

/* Asks each entry for the count of the new route's queue. Returns how many
   answered 404. */
static unsigned int
probe (unsigned int answered[ENTRIES], gint64 acknowledged_at)
{
  Call calls[ENTRIES];
  unsigned int broken = 0;
  unsigned int i;

  for (i = 0; i < ENTRIES; i++)
    {
      call_connect (&calls[i], case_cluster.addresses[CLUSTER_ENTRY][i]);
      call_send (&calls[i], "GET", "/added/", NULL, NULL);
    }
  calls_read (calls, ENTRIES, 1000);
  for (i = 0; i < ENTRIES; i++)
    {
      call_close (&calls[i], false);
      answered[i] += calls[i].status == 200;
      if (calls[i].status != 404)
        continue;
      case_note ("CONFIG: entry%u answers 404 to a request sent %.1f ms after "
                 "the acknowledgement of the version that has its route",
                 i, (double) (calls[i].sent_at - acknowledged_at) / 1000);
      broken++;
    }
  return broken;
}

/* Submits a job to the dropped queue at each entry. Returns how many ran. */
static unsigned int
submit_to_dropped_queue (gint64 acknowledged_at)
{
  Call calls[ENTRIES];
  unsigned int broken = 0;
  unsigned int i;

  for (i = 0; i < ENTRIES; i++)
    {
      g_autofree char *path = g_strdup_printf ("/more/%016x", i + 1);

      call_connect (&calls[i], case_cluster.addresses[CLUSTER_ENTRY][i]);
      call_send_job (&calls[i], path, "ms=20", 1, 1000, 20, 1000);
    }
  calls_read (calls, ENTRIES, 1500);
  for (i = 0; i < ENTRIES; i++)
    {
      call_close (&calls[i], false);
      if (calls[i].status != 200)
        continue;
      case_note ("CONFIG: entry%u runs a job sent %.1f ms after the "
                 "acknowledgement of the version that drops its route",
                 i, (double) (calls[i].sent_at - acknowledged_at) / 1000);
      broken++;
    }
  return broken;
}

int
main (int argc, char **argv)
{
  unsigned int answered[ENTRIES] = { 0 };
  unsigned int broken = 0;
  gint64 acknowledged_at;
  unsigned int i;

  case_begin (argc, argv, ENTRIES, AGENTS, CPU_MILLI);
  cluster_start (&case_cluster, CLUSTER_STORE, 0);
  cluster_sleep_ms (200);
  cluster_configure (&case_cluster, 1, NULL);
  start_proxy ();
  case_start_all ();
  cluster_configure (&case_cluster, 2, "/more/");
  case_note ("version 2 acknowledged");
  cluster_sleep_ms (SILENT_AFTER_MS);
  if (!case_is_calm ())
    silence ();
  cluster_sleep_ms (CONTACT_MS + SLACK_MS);
  cluster_configure (&case_cluster, 3, "/added/");
  acknowledged_at = case_now ();
  case_note ("version 3 with the route /added/ acknowledged");
  cluster_sleep_ms (CONFIG_APPLY_MS + SLACK_MS);
  broken += submit_to_dropped_queue (acknowledged_at);
  for (i = 0; i < PROBE_MS / PROBE_INTERVAL_MS; i++)
    {
      broken += probe (answered, acknowledged_at);
      cluster_sleep_ms (PROBE_INTERVAL_MS);
    }
  if (broken > 0)
    case_end (CASE_BROKEN);
  for (i = 0; i < ENTRIES; i++)
    if (answered[i] == 0)
      case_fail ("an entry never served the new route");
  case_end (CASE_HELD);
}
