/**
 * @file
 * How many targets have crashed under each task, across entries and
 * resubmissions of its job. A task under which HS_CRASHES_MAX targets have
 * crashed is given up.
 */
#ifndef HS_POLICY_CRASH_COUNTS_H
#define HS_POLICY_CRASH_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** Targets that may crash under one task; one crash may be the target's own. */
#define HS_CRASHES_MAX 2

typedef struct HsCrashCounts HsCrashCounts;

HsCrashCounts *hs_crash_counts_new (TALLOC_CTX *ctx);

/**
 * Records that a crash was reported. Several processes may report the same one.
 * @param agent incarnation of the agent that saw it
 * @param number counts the crashes that this agent has seen, from 1
 * @return false if it is known already
 */
bool hs_crash_counts_is_new (HsCrashCounts *counts,
                             uint64_t agent,
                             uint32_t number,
                             HsTime now);

/** Counts a crash under a task. @return the number of crashes so far */
uint32_t hs_crash_counts_add (HsCrashCounts *counts,
                              const char *customer,
                              const char *job,
                              uint32_t index,
                              HsTime now);

/** The number of crashes under a task. */
uint32_t hs_crash_counts_get (const HsCrashCounts *counts,
                              const char *customer,
                              const char *job,
                              uint32_t index);

/** Forgets what is older than the time in which jobs are resubmitted.
 *  @return when to call it next */
HsTime hs_crash_counts_tick (HsCrashCounts *counts, HsTime now);

#endif
