/**
 * @file
 * A small fake of the fleet: entries in front of slots, one-way message
 * delay, nothing else. Runs one workload under one dispatch rule.
 */
#ifndef HS_BENCH_FLEET_H
#define HS_BENCH_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "policy/dispatch.h"
#include "policy/fair_queue.h"
#include "workload.h"

/** What is wrong with target 0. */
typedef enum
{
  BENCH_FAULT_NONE,
  BENCH_FAULT_FAILS, /**< Fails every task within 5 ms. */
  BENCH_FAULT_SLOW   /**< Runs everything five times as long. */
} BenchFault;

typedef struct
{
  HsDispatchRuleKind rule;
  HsJobOrder order;
  bool is_ideal; /**< One global queue, messages cost no time. */
  BenchFault fault;
  HsTime fault_at;
  HsTime delay;          /**< One way. */
  uint32_t bad_customer; /**< All its tasks fail; or UINT32_MAX. */
  uint64_t seed;
} BenchRun;

typedef struct
{
  HsTime *response; /**< By job; talloc array. */
  uint32_t refused; /**< Starts refused by an agent. */
  uint32_t borrows; /**< Messages to ask for credits and to answer. */
  uint32_t grants;  /**< Messages that only refresh idle credits. */
  uint32_t failed;  /**< Tasks failed by the fault, */
  uint32_t n_late;  /**< out of these, that ended after fault_at + 2 s. */
  uint32_t ejected_healthy; /**< Ejections of targets without a fault. */
} BenchResult;

BenchResult *bench_fleet_run (TALLOC_CTX *ctx,
                              const BenchWorkload *load,
                              const BenchRun *run);

#endif
