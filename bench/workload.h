/**
 * @file
 * Random workloads for the dispatch benchmark, drawn from a seed: jobs of 1, 30
 * and 390 tasks.
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
  uint32_t customer; /**< The entry that owns it is customer % BENCH_ENTRIES. */
  uint32_t first_task; /**< Index of the first task; the others follow. */
  uint32_t n_tasks;
} BenchJob;

typedef struct
{
  uint32_t n_jobs;
  uint32_t n_tasks;
  BenchJob *jobs; /**< In order of arrival. */
  BenchTask *tasks;
} BenchWorkload;

/**
 * Parameters of a workload. Loads are in percent of the capacity of all slots.
 */
typedef struct
{
  uint32_t load_percent;        /**< Jobs of all sizes, of random customers. */
  uint32_t single_load_percent; /**< Jobs of one task, of single_customer. */
  uint32_t burst_jobs;          /**< Jobs of 390 tasks of customer 0 that arrive
                                   together... */
  HsTime burst_period;          /**< ...at this interval. */
  uint32_t straggler_ppm; /**< Tasks in a million that run ten times as long. */
  bool has_wrong_declared; /**< Declared run times are wrong by a factor of 0.1
                              to 10. */
  bool is_skewed; /**< Four fifths of the jobs of load_percent are of customers
                     of entry 0. */
  uint32_t single_customer;
  HsTime duration;
} BenchMix;

/** Draws a workload. @return talloc child of @p ctx */
BenchWorkload *
bench_workload_new (TALLOC_CTX *ctx, const BenchMix *mix, uint64_t seed);

#endif
