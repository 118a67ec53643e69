/**
 * @file
 * A caller that submits jobs over kept connections and measures the answers.
 */
#ifndef HS_BENCH_CLIENT_H
#define HS_BENCH_CLIENT_H

#include <stdint.h>

#include "base/time.h"

typedef struct
{
  char **entries;       /**< "IP:port" for callers, NULL-terminated. */
  char **customers;     /**< NULL-terminated. */
  const char *key;      /**< Of all customers. */
  uint32_t connections; /**< In all. */
  uint32_t tasks;       /**< Of each job. */
  uint32_t run_ms;      /**< Declared; 0: not declared. */
  double jobs_per_s;    /**< 0: each connection sends again at once. */
} BenchClientConfig;

/** What came of the jobs answered in one span. */
typedef struct
{
  uint64_t complete;
  uint64_t not_complete; /**< Refused, failed or broken. */
  uint64_t n_delayed;    /**< Arrivals that found no free connection. */
  uint64_t bytes;        /**< Of requests and answers. */
  uint32_t n_latencies;
  HsTime *latencies; /**< Of complete jobs from their planned arrival. */
  uint32_t n_send_delays;
  HsTime *send_delays; /**< From the planned arrival to the first byte sent. */
} BenchClientResult;

/** Connects; ends the process if an entry can't be reached. */
void bench_client_open (const BenchClientConfig *config);

/**
 * Submits for a span; jobs that are open at its end stay open.
 * @param result its latencies and delays are freed by the caller with g_free()
 */
void bench_client_run (HsTime span, BenchClientResult *result);

/** Waits until no job is open; false if that takes longer than @p span. */
bool bench_client_drain (HsTime span);

#endif
