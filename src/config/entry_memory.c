#include "config/entry_memory.h"

#include <glib.h>

#define MB ((size_t) 1024 * 1024)

/** The process, its running jobs and its peers. */
#define PROCESS_BYTES (32 * MB)

/** Copies of a body while it is decoded: put together, its checked text,
 *  json-c's strings and the tasks. */
#define DECODE_COPIES 4

/** Shares of the rest that are for the connections and bodies of HTTP threads,
 *  and for jobs that aren't finished. The rest is for bytes that wait in the
 *  kernel (a third of the former) and for the allocator's fragments. */
#define THREADS_SHARE 0.5
#define JOBS_SHARE 0.25

/** Copies of a body while its job isn't finished; see
 *  hs_entry_memory_job_bytes(). */
#define JOB_COPIES 2

/** Share of a thread's memory that connections may take without their bodies.
 *  Those of jobs that wait for their answers have five eighths. */
#define CONNECTIONS_SHARE 0.25

/** Smallest memory of a thread: the largest body, and another one that waits
 *  for it. */
#define THREAD_BODIES_MIN 2
#define THREAD_CONNECTIONS_MIN 16

/** Smallest memory of jobs: two of the largest, of which one may be admitted
 *  when an eighth is left to ordinary ones. */
#define JOBS_MIN 2

/** Descriptors of peers, agents, operators, the store and files. */
#define FDS_RESERVED 600

static size_t
reserved_bytes (const HsEntrySettings *settings)
{
  size_t decoding
      = DECODE_COPIES * (size_t) settings->max_body + HS_ENTRY_TREE_MAX_BYTES;

  return PROCESS_BYTES + HS_ENTRY_OPERATORS_BYTES
         + (size_t) settings->kept_bytes + settings->threads * decoding;
}

static size_t
thread_min_bytes (const HsEntrySettings *settings)
{
  return THREAD_BODIES_MIN * (size_t) settings->max_body
         + THREAD_CONNECTIONS_MIN * HS_ENTRY_CONNECTION_BYTES;
}

static size_t
job_min_bytes (const HsEntrySettings *settings)
{
  return JOBS_MIN * (size_t) settings->max_body;
}

/* What is divided by shares. */
static double
divided_bytes (const HsEntrySettings *settings)
{
  size_t memory_mb = settings->memory_mb;
  size_t reserved = reserved_bytes (settings);

  if (memory_mb == 0)
    memory_mb
        = MAX (HS_ENTRY_MEMORY_MB_DEFAULT, hs_entry_memory_min_mb (settings));
  return (double) (MAX (memory_mb * MB, reserved) - reserved);
}

uint32_t
hs_entry_memory_min_mb (const HsEntrySettings *settings)
{
  double threads = (double) (settings->threads * thread_min_bytes (settings))
                   / THREADS_SHARE;
  double jobs = (double) (JOB_COPIES * job_min_bytes (settings)) / JOBS_SHARE;

  return (uint32_t) ((reserved_bytes (settings) + (size_t) MAX (threads, jobs))
                     / MB)
         + 1;
}

size_t
hs_entry_memory_job_bytes (const HsEntrySettings *settings)
{
  return MAX ((size_t) (divided_bytes (settings) * JOBS_SHARE) / JOB_COPIES,
              job_min_bytes (settings));
}

HsEntryThreadLimits
hs_entry_memory_divide (const HsEntrySettings *settings, size_t max_fds)
{
  size_t fds = settings->max_fds > 0 ? settings->max_fds : max_fds;
  HsEntryThreadLimits limits;
  size_t n;

  limits.bytes = MAX ((size_t) (divided_bytes (settings) * THREADS_SHARE)
                          / settings->threads,
                      thread_min_bytes (settings));
  n = MIN (settings->max_connections, fds - MIN (fds, FDS_RESERVED))
      / settings->threads;
  n = MIN (n, (size_t) ((double) limits.bytes * CONNECTIONS_SHARE)
                  / HS_ENTRY_CONNECTION_BYTES);
  n = MAX (n, MIN (THREAD_CONNECTIONS_MIN,
                   settings->max_connections / settings->threads));
  limits.connections = (uint32_t) MAX (n, 1);
  return limits;
}
