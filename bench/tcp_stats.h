/**
 * @file
 * What the kernel sends on the TCP connections of this process.
 */
#ifndef HS_BENCH_TCP_STATS_H
#define HS_BENCH_TCP_STATS_H

#include <stdint.h>

/** Sums over the TCP connections that are open, both directions. */
typedef struct
{
  uint32_t n_connections;
  uint64_t segments;      /**< With probes and acknowledgements. */
  uint64_t payload_bytes; /**< Bytes. */
} BenchTcpStats;

BenchTcpStats bench_tcp_stats (void);

/** Bytes on the network from payload and segments: IP and TCP headers, the
 *  latter with the timestamp option. Without the link's own framing. */
uint64_t bench_tcp_stats_bytes (const BenchTcpStats *stats);

#endif
