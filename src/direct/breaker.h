/**
 * @file
 * How far an agent trusts its own target, judged by the ends it sees.
 *
 * Load pattern: targets that fail all that they start, within milliseconds,
 * and so draw ever more work; targets on which everything stands still or
 * turns several times slower. The agent sees all entries' tasks, so that it
 * knows after a few; a job that fails wherever it runs counts once.
 */
#ifndef HS_DIRECT_BREAKER_H
#define HS_DIRECT_BREAKER_H

#include <stdbool.h>

#include "base/time.h"
#include "proto/hspoke.h"

typedef enum
{
  HS_BREAKER_CLOSED,
  HS_BREAKER_HALF_OPEN, /**< One task at a time. */
  HS_BREAKER_OPEN       /**< Nothing. */
} HsBreakerState;

/** Zeroed memory is full trust. */
typedef struct
{
  uint32_t n_failures;    /**< Bad ends in a row, of different jobs. */
  uint64_t last_job_hash; /**< Hash of the job of the last one. */
  HsTime open_until;      /**< No trust until then; 0: full trust. */
  HsTime open_time;       /**< Of the last suspension. */
  HsTime opened_at;       /**< When that began. */
} HsBreaker;

/** Notes how a task of a job ended, or while it runs that it is HSX_END_SLOW.
 */
void hs_breaker_record (HsBreaker *breaker,
                        hsx_end_how how,
                        const char *job,
                        HsTime now);

/** Forgets all, as for a new life of the target. */
void hs_breaker_reset (HsBreaker *breaker);

HsBreakerState hs_breaker_state (const HsBreaker *breaker, HsTime now);

/** When the level changes by time alone, or HS_NEVER. */
HsTime hs_breaker_next_change (const HsBreaker *breaker, HsTime now);

#endif
