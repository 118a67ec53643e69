#include "proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "../prng.h"

#define PROXIES_MAX 64
#define CONNECTIONS_MAX 1024
#define CHUNK_SIZE 65536
#define POLL_TIMEOUT_MS 2

/* Data in transit, to be written when `due`, in microseconds of monotonic
   time. */
typedef struct
{
  gint64 due;
  gsize len;
  guint8 data[];
} Chunk;

typedef struct
{
  int fds[2]; /* Caller's, callee's. */
  unsigned int proxy;
  unsigned int shares[2]; /* Of the delay of PROXY_SCATTER, thousandths. */
  GQueue queues[2];       /* Chunks read from each. */
  gsize offset[2];        /* Bytes of the first chunk already written. */
  bool ended[2];
  bool silent; /* Nothing is passed on, and neither end is told. */
} Connection;

typedef struct
{
  int fd;
  struct sockaddr_in to;
  ProxyMode mode;
  int ms;
} Proxy;

static Prng random_shares = { 1 };
static Proxy proxies[PROXIES_MAX];
static unsigned int n_proxies;
static Connection *connections[CONNECTIONS_MAX];
static unsigned int n_connections;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  char ip[32];
  const char *colon = strchr (text, ':');

  g_strlcpy (ip, text, (gsize) (colon - text) + 1);
  inet_pton (AF_INET, ip, &in.sin_addr);
  in.sin_port = htons ((uint16_t) atoi (colon + 1));
  return in;
}

static void
close_connection (unsigned int i, bool reset)
{
  Connection *connection = connections[i];
  struct linger abortive = { 1, 0 };
  int k;

  for (k = 0; k < 2; k++)
    {
      if (reset)
        setsockopt (connection->fds[k], SOL_SOCKET, SO_LINGER, &abortive,
                    sizeof abortive);
      close (connection->fds[k]);
      g_queue_clear_full (&connection->queues[k], g_free);
    }
  g_free (connection);
  connections[i] = connections[--n_connections];
}

static void
accept_connection (unsigned int p)
{
  int fd = accept4 (proxies[p].fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int to;
  int on = 1;
  Connection *connection;

  if (fd < 0)
    return;
  to = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (n_connections == CONNECTIONS_MAX || to < 0
      || (connect (to, (struct sockaddr *) &proxies[p].to, sizeof proxies[p].to)
              != 0
          && errno != EINPROGRESS))
    {
      close (fd);
      if (to >= 0)
        close (to);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  connection = g_new0 (Connection, 1);
  connection->fds[0] = fd;
  connection->fds[1] = to;
  connection->proxy = p;
  connection->shares[0] = prng_below (&random_shares, 1000);
  connection->shares[1] = prng_below (&random_shares, 1000);
  connections[n_connections++] = connection;
}

/* Reads and drops what a side of a silent connection sends. Returns false once
   both sides have ended. */
static bool
drain_side (Connection *connection, int side)
{
  guint8 data[CHUNK_SIZE];
  ssize_t n = read (connection->fds[side], data, sizeof data);

  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    connection->ended[side] = true;
  return !connection->ended[0] || !connection->ended[1];
}

/* The delay of what a side sends, in microseconds. */
static gint64
side_delay (const Connection *connection, int side)
{
  const Proxy *proxy = &proxies[connection->proxy];

  if (proxy->mode == PROXY_DELAY)
    return proxy->ms * INT64_C (1000);
  if (proxy->mode == PROXY_SCATTER)
    return proxy->ms * (gint64) connection->shares[side];
  return 0;
}

/* Reads from one side. Returns false once the connection has failed. */
static bool
read_side (Connection *connection, int side, gint64 now)
{
  const Proxy *proxy = &proxies[connection->proxy];
  Chunk *chunk = g_malloc (sizeof *chunk + CHUNK_SIZE);
  ssize_t n = read (connection->fds[side], chunk->data, CHUNK_SIZE);
  bool lost = proxy->mode == PROXY_DROP
              || (proxy->mode == PROXY_DROP_REPLIES && side == 1);

  if (n <= 0)
    {
      g_free (chunk);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      connection->ended[side] = true;
      return n == 0;
    }
  if (lost)
    {
      g_free (chunk);
      return true;
    }
  chunk->len = (gsize) n;
  chunk->due = now + side_delay (connection, side);
  g_queue_push_tail (&connection->queues[side], chunk);
  return true;
}

/* Writes to the other side what is due. Returns false once the connection has
   failed or everything was written after the end of the data. */
static bool
write_side (Connection *connection, int side, gint64 now)
{
  Chunk *chunk;

  while ((chunk = g_queue_peek_head (&connection->queues[side])) != NULL
         && chunk->due <= now)
    {
      ssize_t n = send (connection->fds[!side],
                        chunk->data + connection->offset[side],
                        chunk->len - connection->offset[side], MSG_NOSIGNAL);

      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      connection->offset[side] += (gsize) n;
      if (connection->offset[side] < chunk->len)
        return true;
      connection->offset[side] = 0;
      g_free (g_queue_pop_head (&connection->queues[side]));
    }
  return !(connection->ended[side] && chunk == NULL);
}

static struct pollfd
watched_side (const Connection *connection, int side)
{
  bool done = connection->silent && connection->ended[side];

  return (struct pollfd){ done ? -1 : connection->fds[side], POLLIN, 0 };
}

static void
poll_once (gint64 now)
{
  struct pollfd fds[PROXIES_MAX + 2 * CONNECTIONS_MAX];
  unsigned int n = 0;
  unsigned int i;
  unsigned int before = n_connections;
  unsigned int listening = n_proxies;

  for (i = 0; i < listening; i++)
    fds[n++] = (struct pollfd){ proxies[i].fd, POLLIN, 0 };
  for (i = 0; i < before; i++)
    {
      fds[n++] = watched_side (connections[i], 0);
      fds[n++] = watched_side (connections[i], 1);
    }
  pthread_mutex_unlock (&lock);
  poll (fds, n, POLL_TIMEOUT_MS);
  pthread_mutex_lock (&lock);
  for (i = before; i-- > 0;)
    {
      Connection *connection = connections[i];
      bool ok = true;
      int k;

      connection->silent |= proxies[connection->proxy].mode == PROXY_SILENCE;
      for (k = 0; k < 2 && connection->silent && ok; k++)
        if (fds[listening + 2 * i + (unsigned int) k].revents != 0)
          ok = drain_side (connection, k);
      for (k = 0; k < 2 && !connection->silent && ok; k++)
        {
          short events = fds[listening + 2 * i + (unsigned int) k].revents;

          if (events != 0 && !connection->ended[k])
            ok = read_side (connection, k, now);
          ok = ok && write_side (connection, k, now);
        }
      if (!ok || proxies[connection->proxy].mode == PROXY_RESET)
        close_connection (i, proxies[connection->proxy].mode == PROXY_RESET);
    }
  for (i = 0; i < listening; i++)
    {
      if (proxies[i].mode == PROXY_RESET || proxies[i].mode == PROXY_SILENCE)
        proxies[i].mode = PROXY_PASS;
      if (fds[i].revents != 0)
        accept_connection (i);
    }
}

static void *
run (void *arg)
{
  (void) arg;
  pthread_mutex_lock (&lock);
  for (;;)
    poll_once (g_get_monotonic_time ());
  return NULL;
}

void
proxy_seed (uint32_t seed)
{
  random_shares = prng_seeded (seed);
}

void
proxy_init (void)
{
  g_thread_unref (g_thread_new ("proxy", run, NULL));
}

unsigned int
proxy_add (const char *to, char out[32])
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;
  unsigned int p;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *) &in, sizeof in) != 0
      || listen (fd, 128) != 0
      || getsockname (fd, (struct sockaddr *) &in, &len) != 0)
    abort ();
  pthread_mutex_lock (&lock);
  p = n_proxies++;
  g_assert (p < PROXIES_MAX);
  proxies[p] = (Proxy){ .fd = fd, .to = parse_address (to) };
  pthread_mutex_unlock (&lock);
  g_snprintf (out, 32, "127.0.0.1:%u", ntohs (in.sin_port));
  return p;
}

void
proxy_set (unsigned int proxy, ProxyMode mode, int ms)
{
  pthread_mutex_lock (&lock);
  proxies[proxy].mode = mode;
  proxies[proxy].ms = ms;
  pthread_mutex_unlock (&lock);
}

unsigned int
proxy_count (void)
{
  return n_proxies;
}
