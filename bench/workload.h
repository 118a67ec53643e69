/**
 * @file
 * Seeded workloads for the bench: jobs of 1, 30 and 390 tasks.
 */
#ifndef HS_BENCH_WORKLOAD_H
#define HS_BENCH_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

#define BENCH_ENTRIES 3
#define BENCH_TARGETS 11
#define BENCH_SLOTS 8
#define BENCH_CUSTOMERS 9

typedef struct
{
  HsTime run_time;
  HsTime declared_run_time;
  uint32_t job;
} BenchTask;

typedef struct
{
  HsTime arrival;
  uint32_t customer;   /**< Owned by entry customer % BENCH_ENTRIES. */
  uint32_t first_task; /**< Task. */
  uint32_t n_tasks;
} BenchJob;

typedef struct
{
  uint32_t n_jobs;
  uint32_t n_tasks;
  BenchJob *jobs; /**< In order of time. */
  BenchTask *tasks;
} BenchWorkload;

/** What a workload is made of. Loads are in percent of all slots. */
typedef struct
{
  uint32_t load_percent;        /**< Mixed jobs, spread over the customers. */
  uint32_t single_load_percent; /**< Jobs of one task of single_customer. */
  uint32_t burst_jobs;          /**< Jobs of 390 tasks of customer 0 at once, */
  HsTime burst_period;          /**< each time this has passed. */
  uint32_t straggler_ppm;       /**< Tasks that run ten times as long. */
  bool has_wrong_declared; /**< Declared times off, up to tenfold both ways. */
  bool is_skewed;          /**< Four fifths of the jobs at entry 0. */
  uint32_t single_customer;
  HsTime duration;
} BenchMix;

BenchWorkload *
bench_workload_new (TALLOC_CTX *ctx, const BenchMix *mix, uint64_t seed);

#endif
