/**
 * @file
 * An HTTP client that submits jobs over persistent connections and measures the
 * response times.
 */
#ifndef HS_BENCH_CLIENT_H
#define HS_BENCH_CLIENT_H

#include <stdint.h>

#include "base/time.h"

typedef struct
{
  char **entries;       /**< HTTP addresses ("IP:port"), NULL-terminated. */
  char **customers;     /**< NULL-terminated. */
  const char *key;      /**< API key, the same for all customers. */
  uint32_t connections; /**< Number of connections, spread over the entries. */
  uint32_t tasks;       /**< Number of tasks in each job. */
  uint32_t run_ms;      /**< Declared run time of each task; 0: not declared. */
  double jobs_per_s; /**< 0: each connection submits the next job as soon as it
                        has the answer to the last one. */
} BenchClientConfig;

/** Results of one call of bench_client_run(). */
typedef struct
{
  uint64_t complete;
  uint64_t
      not_complete; /**< Jobs refused or failed, or with a malformed answer. */
  uint64_t
      n_delayed;  /**< Times that a job was due but no connection was idle. */
  uint64_t bytes; /**< Size of the requests and responses. */
  uint32_t n_latencies;
  HsTime *latencies; /**< Response times of completed jobs, from their planned
                        arrival. */
  uint32_t n_send_delays;
  HsTime *send_delays; /**< From the planned arrival to the sending of the
                          request. */
} BenchClientResult;

/** Opens all connections. Aborts the process if an entry cannot be reached. */
void bench_client_open (const BenchClientConfig *config);

/**
 * Submits jobs for the time @p span. Jobs that are open at its end stay open.
 * @param result its latencies and send_delays are to be freed by the caller
 *         with g_free()
 */
void bench_client_run (HsTime span, BenchClientResult *result);

/**
 * Waits until no job is open; returns false if that takes longer than @p span.
 */
bool bench_client_drain (HsTime span);

#endif
