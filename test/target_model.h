/**
 * @file
 * A target as its interface describes it, in fake time: fencing tokens,
 * leases, numbered ends, attempts that are refused, and lives. Starts what it
 * is told to, however little room there is.
 */
#ifndef HS_TEST_TARGET_MODEL_H
#define HS_TEST_TARGET_MODEL_H

#include <glib.h>

#include "direct/target.h"

typedef struct
{
  HsRunKey key;
  HsTime started;
  HsTime run_time; /**< Until it is done. */
  bool hangs;      /**< Makes no progress. */
  uint32_t cpu_milli;
} HsModelRun;

typedef struct
{
  int64_t started_ms;
  HsTime started_at;
  uint64_t token;
  HsTime lease_until; /**< All runs end then. */
  uint64_t n_ends;
  GArray *runs;       /**< HsModelRun. */
  GArray *ends;       /**< HsListedEnd that aren't acknowledged. */
  GArray *finished;   /**< HsRunKey stopped or ended, or rejected. */
  uint32_t cpu_milli; /**< Of what runs. */
  /** Told of each start (`how` 0) and end, if set. */
  void (*observe) (const HsRunKey *key, hsx_end_how how, HsTime at);
} HsTargetModel;

void hs_target_model_init (HsTargetModel *model, HsTime now);
void hs_target_model_clear (HsTargetModel *model);

/** Crashes and starts again, with nothing. */
void hs_target_model_restart (HsTargetModel *model, HsTime now);

/** Ends what is done, and all once the lease has passed. */
void hs_target_model_advance (HsTargetModel *model, HsTime now);

/** @param run true run time, @param cpu_milli what it takes */
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

/** The list's arrays are the caller's to free with g_free(). */
HsTargetResult hs_target_model_poll (HsTargetModel *model,
                                     const HsTargetPoll *poll,
                                     HsTargetList *list,
                                     HsTime now);

#endif
