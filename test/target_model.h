/**
 * @file
 * Model of a target in simulated time, as its interface describes it: fencing
 * tokens, leases, numbered ends, refused attempts, and incarnations. Starts
 * every task that it is asked to, even beyond its capacity.
 */
#ifndef HS_TEST_TARGET_MODEL_H
#define HS_TEST_TARGET_MODEL_H

#include <glib.h>

#include "direct/target.h"

typedef struct
{
  HsRunKey key;
  HsTime started;
  HsTime run_time; /**< After which it is done. */
  bool hangs;      /**< Makes no progress. */
  uint32_t cpu_milli;
} HsModelRun;

typedef struct
{
  int64_t started_ms;
  HsTime started_at;
  int64_t clock_start_ms; /**< Its clock when it starts. */
  uint64_t token;
  HsTime lease_until; /**< All runs end at this time. */
  uint64_t n_ends;
  GArray *runs;       /**< HsModelRun. */
  GArray *ends;       /**< Unacknowledged HsListedEnd. */
  GArray *finished;   /**< HsRunKey that ended or whose start is rejected. */
  uint32_t cpu_milli; /**< Of all runs. */
  /** Called for each start (`how` 0) and end, if set. */
  void (*observe) (const HsRunKey *key, hsx_end_how how, HsTime at);
} HsTargetModel;

void hs_target_model_init (HsTargetModel *model, HsTime now);
void hs_target_model_clear (HsTargetModel *model);

/** Crashes and restarts as a new incarnation without runs. */
void hs_target_model_restart (HsTargetModel *model, HsTime now);

/** Ends the runs that are done, and all runs once the lease has expired. */
void hs_target_model_advance (HsTargetModel *model, HsTime now);

/** @param run_time how long the task runs unless it hangs
 *  @param cpu_milli what the task occupies */
HsTargetResult hs_target_model_start (HsTargetModel *model,
                                      const HsTargetStart *start,
                                      HsTime run_time,
                                      bool hangs,
                                      uint32_t cpu_milli,
                                      HsTime now);

HsTargetResult hs_target_model_stop (HsTargetModel *model,
                                     const HsRunKey *key,
                                     uint64_t token,
                                     HsTime now);

/** @param list receives arrays that the caller frees with g_free() */
HsTargetResult hs_target_model_poll (HsTargetModel *model,
                                     const HsTargetPoll *poll,
                                     HsTargetList *list,
                                     HsTime now);

/** The two parts of hs_target_model_poll(): what the target does when a poll
 *  arrives, and the list that it writes once the wait is over. */
HsTargetResult hs_target_model_receive_poll (HsTargetModel *model,
                                             const HsTargetPoll *poll,
                                             HsTime now);
void hs_target_model_write_list (HsTargetModel *model,
                                 HsTargetList *list,
                                 HsTime now);

/** The target's clock, which runs two per cent slow. */
int64_t hs_target_model_clock_ms (const HsTargetModel *model, HsTime now);

#endif
