#include "config/entry_memory.h"

#include <glib.h>

#define MB ((size_t) 1024 * 1024)

/** The process, its running jobs and its peers. */
#define PROCESS_BYTES (32 * MB)

/** Copies of a body while it is decoded: put together, its checked text,
 *  json-c's strings and the tasks. */
#define DECODE_COPIES 4

/** Share of the rest that is for requests in progress; the allocator's
 *  fragments, the kernel and other programs of the host need some. */
#define REQUESTS_SHARE 0.75

/** Share of a thread's memory that connections may take without their bodies.
 */
#define CONNECTIONS_SHARE 0.625

/** Smallest memory of a thread: the largest body, and another one that waits
 *  for it. */
#define THREAD_BODIES_MIN 2
#define THREAD_CONNECTIONS_MIN 16

/** Descriptors of peers, agents, operators, the store and files. */
#define FDS_RESERVED 600

static size_t
reserved_bytes (const HsEntrySettings *settings)
{
  size_t decoding
      = DECODE_COPIES * (size_t) settings->max_body + HS_ENTRY_TREE_MAX_BYTES;

  return PROCESS_BYTES + (size_t) settings->kept_bytes
         + settings->threads * decoding;
}

static size_t
thread_min_bytes (const HsEntrySettings *settings)
{
  return THREAD_BODIES_MIN * (size_t) settings->max_body
         + THREAD_CONNECTIONS_MIN * HS_ENTRY_CONNECTION_BYTES;
}

uint32_t
hs_entry_memory_min_mb (const HsEntrySettings *settings)
{
  size_t requests
      = (size_t) ((double) (settings->threads * thread_min_bytes (settings))
                  / REQUESTS_SHARE);

  return (uint32_t) ((reserved_bytes (settings) + requests) / MB + 1);
}

HsEntryThreadLimits
hs_entry_memory_divide (const HsEntrySettings *settings, size_t max_fds)
{
  size_t memory_mb = settings->memory_mb;
  size_t fds = settings->max_fds > 0 ? settings->max_fds : max_fds;
  size_t reserved = reserved_bytes (settings);
  HsEntryThreadLimits limits;
  size_t n;

  if (memory_mb == 0)
    memory_mb
        = MAX (HS_ENTRY_MEMORY_MB_DEFAULT, hs_entry_memory_min_mb (settings));
  limits.bytes
      = (size_t) ((double) (memory_mb * MB - MIN (memory_mb * MB, reserved))
                  * REQUESTS_SHARE)
        / settings->threads;
  limits.bytes = MAX (limits.bytes, thread_min_bytes (settings));
  n = MIN (settings->max_connections, fds - MIN (fds, FDS_RESERVED))
      / settings->threads;
  n = MIN (n, (size_t) ((double) limits.bytes * CONNECTIONS_SHARE)
                  / HS_ENTRY_CONNECTION_BYTES);
  n = MAX (n, MIN (THREAD_CONNECTIONS_MIN,
                   settings->max_connections / settings->threads));
  limits.connections = (uint32_t) MAX (n, 1);
  return limits;
}
