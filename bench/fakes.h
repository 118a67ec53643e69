/**
 * @file
 * Many agents in one thread. They are the agents that ship, with all their
 * connections; only their targets are replaced: they answer in this process
 * after a given run time, without HTTP.
 */
#ifndef HS_BENCH_FAKES_H
#define HS_BENCH_FAKES_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "rpc/conn.h"

typedef struct
{
  uint32_t agents;
  uint32_t slots;  /**< Of each target. */
  HsTime run;      /**< Each task takes this long; 0 answers at once. */
  const char *key; /**< Cluster key. */
  char **entries;  /**< RPC addresses, NULL-terminated. */
} BenchFakes;

/** Sums over all agents. */
typedef struct
{
  HsRpcStats rpc;
  uint64_t starts;
  uint64_t refused;
  uint64_t cpu_us; /**< Processor time of the thread. */
} BenchFakesStats;

/** Starts the thread; it runs until the process ends. */
void bench_fakes_start (const BenchFakes *fakes);

/** The sums at this moment, taken by the thread itself. */
BenchFakesStats bench_fakes_stats (void);

#endif
