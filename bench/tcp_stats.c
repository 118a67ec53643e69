#include "tcp_stats.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <glib.h>

/* struct tcp_info of glibc lacks the counters of segments and bytes. */
#include <linux/tcp.h>

#define FD_DIR "/proc/self/fd"

/** Size of an IPv4 header, a TCP header and its timestamp option. */
#define HEADER_BYTES (20 + 20 + 12)

static void add_connection (BenchTcpStats *sum, int fd);

BenchTcpStats
bench_tcp_stats (void)
{
  BenchTcpStats sum = { 0 };
  GDir *dir = g_dir_open (FD_DIR, 0, NULL);
  const char *name;

  if (dir == NULL)
    g_error ("bench: cannot read " FD_DIR);
  while ((name = g_dir_read_name (dir)) != NULL)
    add_connection (&sum, atoi (name));
  g_dir_close (dir);
  return sum;
}

uint64_t
bench_tcp_stats_bytes (const BenchTcpStats *stats)
{
  return stats->payload_bytes + stats->segments * HEADER_BYTES;
}

/* Ignores other files, and listening sockets, whose fields have other
   meanings. */
static void
add_connection (BenchTcpStats *sum, int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  int listens = 0;
  socklen_t listens_size = sizeof listens;

  if (getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_size) != 0
      || listens || getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0
      || size < sizeof info.tcpi_segs_in
                    + offsetof (struct tcp_info, tcpi_segs_in))
    return;
  sum->n_connections++;
  sum->segments += (uint64_t) info.tcpi_segs_in + info.tcpi_segs_out;
  sum->payload_bytes += info.tcpi_bytes_acked + info.tcpi_bytes_received;
}
