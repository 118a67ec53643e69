/**
 * @file
 * Runs many agents in one thread. They are the real agents with all their
 * connections; only their targets are simulated: tasks end in this process
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
  uint32_t agents; /**< Number of agents. */
  uint32_t slots;  /**< Slots of each target. */
  HsTime run_time; /**< Run time of each task; 0: it ends at once. */
  const char *key; /**< Cluster key. */
  char **entries;  /**< RPC addresses ("IP:port"), NULL-terminated. */
} BenchAgentPoolConfig;

/** Sums over all agents since the start. */
typedef struct
{
  HsRpcStats rpc;
  uint64_t starts;
  uint64_t refused; /**< Starts refused by the agents. */
  uint64_t cpu_us;  /**< Processor time of the thread. */
} BenchAgentPoolStats;

/** Starts the thread of the agents, which runs until the process ends. */
void bench_agent_pool_start (const BenchAgentPoolConfig *config);

/**
 * Returns the current sums. Waits for the thread of the agents, which takes
 * them.
 */
BenchAgentPoolStats bench_agent_pool_stats (void);

#endif
