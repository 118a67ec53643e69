/**
 * @file
 * Counts the segments and bytes that the kernel sends and receives on the TCP
 * connections of this process.
 */
#ifndef HS_BENCH_TCP_STATS_H
#define HS_BENCH_TCP_STATS_H

#include <stdint.h>

/** Sums over the open TCP connections, in both directions. */
typedef struct
{
  uint32_t n_connections;
  uint64_t segments; /**< Including acknowledgements and keepalive probes. */
  uint64_t payload_bytes;
} BenchTcpStats;

BenchTcpStats bench_tcp_stats (void);

/**
 * Returns the bytes on the network: the payload, and IP and TCP headers, the
 * latter with the timestamp option, of each segment. Excludes link-layer
 * framing.
 */
uint64_t bench_tcp_stats_bytes (const BenchTcpStats *stats);

#endif
