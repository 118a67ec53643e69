/**
 * @file
 * Counters of an agent, and their text for GET /metrics.
 */
#ifndef HS_AGENT_STATS_H
#define HS_AGENT_STATS_H

#include <stdint.h>

#include <talloc.h>

#include "agent/target_call.h"
#include "proto/hspoke.h"

#define HS_REFUSAL_COUNT (HSX_REFUSAL_FENCED + 1)
#define HS_TARGET_CALL_END_COUNT (HS_TARGET_CALL_BROKEN + 1)

typedef struct
{
  uint64_t starts;
  uint64_t refusals[HS_REFUSAL_COUNT];          /**< By hsx_refusal. */
  uint64_t call_ends[HS_TARGET_CALL_END_COUNT]; /**< By HsTargetCallEnd. */
  uint64_t results_sent;                        /**< Sent, refusals included. */
  uint64_t results_unsent; /**< Dropped as the entry was not connected; it
                                fetches them by RECOVER or SETTLE. */
  uint64_t grants;         /**< Lists of credits sent. */
  uint64_t announce_calls; /**< ANNOUNCE calls sent. */
} HsAgentStats;

/** Values read at the time of the request. */
typedef struct
{
  uint32_t slots;
  uint32_t slots_busy;
  uint32_t entries;
  uint64_t records;
  uint64_t body_bytes;
} HsAgentGauges;

/** Formats counters and gauges as Prometheus text, a child of @p ctx. */
char *hs_agent_stats_text (TALLOC_CTX *ctx,
                           const HsAgentStats *stats,
                           const HsAgentGauges *gauges);

#endif
