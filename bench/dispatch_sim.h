/**
 * @file
 * Simulates entries and targets with slots under a dispatch rule and a
 * workload, in virtual time. Messages have a fixed delay; nothing else of the
 * system is simulated.
 */
#ifndef HS_BENCH_DISPATCH_SIM_H
#define HS_BENCH_DISPATCH_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "policy/dispatch.h"
#include "policy/fair_queue.h"
#include "workload.h"

/** Fault of target 0, from BenchSimConfig::fault_at on. */
typedef enum
{
  BENCH_FAULT_NONE,
  BENCH_FAULT_FAILS, /**< Every task fails after 5 ms. */
  BENCH_FAULT_SLOW   /**< Tasks run five times as long. */
} BenchFault;

typedef struct
{
  HsDispatchRuleKind rule;
  HsJobOrder order;
  bool
      is_ideal; /**< One entry for all customers, as an ideal for comparison. */
  BenchFault fault;
  HsTime fault_at;
  HsTime message_delay; /**< In one direction. */
  uint32_t
      bad_customer; /**< Customer whose tasks all fail; UINT32_MAX: none. */
  uint64_t seed;
} BenchSimConfig;

typedef struct
{
  HsTime *response_times;   /**< By job; talloc child of the result. */
  uint32_t refused_starts;  /**< Starts refused by agents. */
  uint32_t borrow_messages; /**< BORROW requests and their replies. */
  uint32_t grant_messages; /**< GRANT messages that renew idle credits or report
                              used loans. */
  uint32_t failed_after_fault; /**< Of the tasks that ended 2 s or more after
                                  fault_at, those that failed. */
  uint32_t
      ended_after_fault;    /**< Tasks that ended 2 s or more after fault_at. */
  uint32_t ejected_healthy; /**< Ejections of targets without a fault. */
} BenchSimResult;

/** Runs the workload until all tasks have ended. @return talloc child of @p ctx
 */
BenchSimResult *bench_sim_run (TALLOC_CTX *ctx,
                               const BenchWorkload *workload,
                               const BenchSimConfig *config);

#endif
