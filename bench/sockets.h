/**
 * @file
 * What the kernel sends on the TCP connections of this process.
 */
#ifndef HS_BENCH_SOCKETS_H
#define HS_BENCH_SOCKETS_H

#include <stdint.h>

/** Sums over the TCP connections that are open, both directions. */
typedef struct
{
  uint32_t n;
  uint64_t segments; /**< With probes and acknowledgements. */
  uint64_t payload;  /**< Bytes. */
} BenchSockets;

BenchSockets bench_sockets (void);

/** Bytes on the network from payload and segments: IP and TCP headers, the
 *  latter with the timestamp option. Without the link's own framing. */
uint64_t bench_sockets_bytes (const BenchSockets *sockets);

#endif
