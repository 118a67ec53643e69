/**
 * @file
 * Divides the memory and descriptors of an entry's host: for the process, for
 * finished jobs, for bodies that are being decoded, for jobs that aren't
 * finished, and for the connections and bodies of each HTTP thread.
 */
#ifndef HS_CONFIG_ENTRY_MEMORY_H
#define HS_CONFIG_ENTRY_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include "config/settings.h"

/** Memory of a host for which the settings give none, in MB. */
#define HS_ENTRY_MEMORY_MB_DEFAULT 4096

/** Memory of libmicrohttpd for each connection of a caller, which limits the
 *  size of the headers, and of what belongs to such a connection besides. */
#define HS_ENTRY_POOL_BYTES ((size_t) 32 * 1024)
#define HS_ENTRY_CONNECTION_BYTES (HS_ENTRY_POOL_BYTES + 2048)

/** Memory that json-c may need for the objects and arrays of a job. A valid job
 *  needs up to 1.5 MB. */
#define HS_ENTRY_TREE_MAX_BYTES ((size_t) 4 * 1024 * 1024)

/** Connections of operators, and the bodies that they send: two of the largest
 *  lists. */
#define HS_ENTRY_OPERATORS_BYTES ((size_t) 20 * 1024 * 1024)

/** What each HTTP thread may hold. */
typedef struct
{
  size_t bytes; /**< Of connections and of bodies in progress. */
  uint32_t connections;
} HsEntryThreadLimits;

/** The smallest host, in MB, on which each HTTP thread can receive and decode
 *  the largest body. */
uint32_t hs_entry_memory_min_mb (const HsEntrySettings *settings);

/** Bound on the bodies of tasks of jobs that aren't finished. Each may stand in
 *  memory twice: in its job, and in the request that waits for it. */
size_t hs_entry_memory_job_bytes (const HsEntrySettings *settings);

/**
 * Divides the memory and the descriptors.
 * @param max_fds of the process, if the settings give none
 */
HsEntryThreadLimits hs_entry_memory_divide (const HsEntrySettings *settings,
                                            size_t max_fds);

#endif
