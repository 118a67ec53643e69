/**
 * @file
 * Many agents in one thread. They are the agents that ship, with all their
 * connections; only their targets are replaced: they answer in this process
 * after a given run time, without HTTP.
 */
#ifndef HS_BENCH_AGENT_POOL_H
#define HS_BENCH_AGENT_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "rpc/conn.h"

typedef struct
{
  uint32_t agents;
  uint32_t slots;  /**< Of each target. */
  HsTime run_time; /**< Each task takes this long; 0 answers at once. */
  const char *key; /**< Cluster key. */
  char **entries;  /**< RPC addresses, NULL-terminated. */
} BenchAgentPoolConfig;

/** Sums over all agents. */
typedef struct
{
  HsRpcStats rpc;
  uint64_t starts;
  uint64_t refused;
  uint64_t cpu_us; /**< Processor time of the thread. */
} BenchAgentPoolStats;

/** Starts the thread; it runs until the process ends. */
void bench_agent_pool_start (const BenchAgentPoolConfig *config);

/** The sums at this moment, taken by the thread itself. */
BenchAgentPoolStats bench_agent_pool_stats (void);

#endif
