/**
 * @file
 * How many targets have crashed under each task, across entries and
 * resubmissions of its job, and how many of them certainly ran it then.
 */
#ifndef HS_POLICY_CRASH_COUNTS_H
#define HS_POLICY_CRASH_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** A task is given up once so many targets have crashed under it, as one crash
 *  may be the target's own: its job has failed if they certainly crashed and
 * ran it; otherwise it is lost, and isn't started again. */
#define HS_CRASHES_MAX 2

typedef struct
{
  uint32_t all;       /**< Crashes under which the task ran or may have run. */
  uint32_t certain;   /**< Those of them under which it ran. */
  uint32_t suspected; /**< Those under which it ran if the target crashed, which
                           isn't known yet. */
} HsCrashCount;

typedef struct HsCrashCounts HsCrashCounts;

HsCrashCounts *hs_crash_counts_new (TALLOC_CTX *ctx);

/** What is known of a crash, in this order. */
typedef enum
{
  HS_CRASH_UNKNOWN,
  HS_CRASH_SUSPECTED, /**< It may be found certain or withdrawn. */
  HS_CRASH_POSSIBLE,  /**< It may be withdrawn. */
  HS_CRASH_CERTAIN,
  HS_CRASH_WITHDRAWN /**< The target goes on. */
} HsCrashStage;

/**
 * Records that a crash was reported. Several processes may report the same one.
 * @param agent incarnation of the agent that saw it
 * @param number counts the crashes that this agent has seen, from 1
 * @param before receives the stage known so far
 * @return false if no less is known already
 */
bool hs_crash_counts_is_new (HsCrashCounts *counts,
                             uint64_t agent,
                             uint32_t number,
                             HsCrashStage stage,
                             HsCrashStage *before,
                             HsTime now);

/** Counts a crash under a task, or what has become known of it.
 *  @param certain whether the task ran then if the target crashed
 *  @param before the stage in which it was counted last
 *  @return the crashes so far */
HsCrashCount hs_crash_counts_add (HsCrashCounts *counts,
                                  const char *customer,
                                  const char *job,
                                  uint32_t index,
                                  bool certain,
                                  HsCrashStage before,
                                  HsCrashStage stage,
                                  HsTime now);

/** The crashes under a task. */
HsCrashCount hs_crash_counts_get (const HsCrashCounts *counts,
                                  const char *customer,
                                  const char *job,
                                  uint32_t index);

/** Forgets what is older than the time in which jobs are resubmitted.
 *  @return when to call it next */
HsTime hs_crash_counts_tick (HsCrashCounts *counts, HsTime now);

#endif
