/**
 * @file
 * An agent's circuit breaker for its target, driven by how tasks end.
 *
 * Load pattern: targets that fail all tasks within milliseconds of their start
 * and so attract ever more work; targets on which all tasks stand still or
 * take several times longer. The agent sees the tasks of all entries and so
 * detects such a target after a few; a job that fails wherever it runs counts
 * once.
 */
#ifndef HS_DIRECT_BREAKER_H
#define HS_DIRECT_BREAKER_H

#include <stdbool.h>

#include "base/time.h"
#include "proto/hspoke.h"

typedef enum
{
  HS_BREAKER_CLOSED,    /**< Tasks are started without limit. */
  HS_BREAKER_HALF_OPEN, /**< One task at a time. */
  HS_BREAKER_OPEN       /**< No task is started. */
} HsBreakerState;

/** Zeroed memory is a closed breaker. */
typedef struct
{
  uint32_t n_failures;    /**< Consecutive failures of different jobs. */
  uint64_t last_job_hash; /**< Hash of the job that failed last. */
  HsTime open_until;      /**< 0: closed. */
  HsTime open_duration;   /**< Length of the last opening. */
  HsTime opened_at;       /**< When it was opened last. */
} HsBreaker;

/** Records how a task of a job ended, or HSX_END_SLOW for one that is slow and
 *  still runs. */
void hs_breaker_record (HsBreaker *breaker,
                        hsx_end_how how,
                        const char *job,
                        HsTime now);

/** Closes the breaker and clears its history, as for a new incarnation of the
 *  target. */
void hs_breaker_reset (HsBreaker *breaker);

HsBreakerState hs_breaker_state (const HsBreaker *breaker, HsTime now);

/** When the state changes by time alone, or HS_NEVER. */
HsTime hs_breaker_next_change (const HsBreaker *breaker, HsTime now);

#endif
