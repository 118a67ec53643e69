/**
 * @file
 * Expected run times of the tasks of one customer, estimated from those that
 * have ended. Declared run times are corrected by the observed ratio; the mean
 * is used for tasks without one.
 */
#ifndef HS_POLICY_RUN_TIME_H
#define HS_POLICY_RUN_TIME_H

#include "base/time.h"

typedef struct
{
  double mean_us; /**< 0: no sample yet. */
  double ratio;   /**< Actual over declared run time, on average; 1 at first. */
} HsRunTimeEstimator;

void hs_run_time_init (HsRunTimeEstimator *run_time);

/**
 * Adds the run time of a task that has ended.
 * @param declared its declared run time, 0 if there is none
 * @param run its actual run time
 */
void hs_run_time_add_sample (HsRunTimeEstimator *run_time,
                             HsTime declared,
                             HsTime run);

/**
 * Returns the expected run time of a task, at least 1 us.
 * @param declared its declared run time, 0 if there is none
 */
HsTime hs_run_time_expected (const HsRunTimeEstimator *run_time,
                             HsTime declared);

#endif
