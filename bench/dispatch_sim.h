/**
 * @file
 * A small fake of the fleet: entries in front of slots, one-way message
 * delay, nothing else. Runs one workload under one dispatch rule.
 */
#ifndef HS_BENCH_DISPATCH_SIM_H
#define HS_BENCH_DISPATCH_SIM_H

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
  HsTime message_delay;  /**< One way. */
  uint32_t bad_customer; /**< All its tasks fail; or UINT32_MAX. */
  uint64_t seed;
} BenchSimConfig;

typedef struct
{
  HsTime *response_times;   /**< By job; talloc array. */
  uint32_t refused_starts;  /**< Starts refused by an agent. */
  uint32_t borrow_messages; /**< Messages to ask for credits and to answer. */
  uint32_t grant_messages;  /**< Messages that only refresh idle credits. */
  uint32_t failed_after_fault; /**< Tasks failed by the fault, */
  uint32_t
      ended_after_fault; /**< out of these, that ended after fault_at + 2 s. */
  uint32_t ejected_healthy; /**< Ejections of targets without a fault. */
} BenchSimResult;

BenchSimResult *bench_sim_run (TALLOC_CTX *ctx,
                               const BenchWorkload *workload,
                               const BenchSimConfig *config);

#endif
