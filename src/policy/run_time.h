/**
 * @file
 * Expected run times of one customer's tasks, learnt from those that ended:
 * declared ones are corrected by the ratio seen, others take the mean.
 */
#ifndef HS_POLICY_RUN_TIME_H
#define HS_POLICY_RUN_TIME_H

#include "base/time.h"

typedef struct
{
  double mean_us; /**< Microseconds; 0: no sample yet. */
  double ratio;   /**< Real over declared run time; 1 at first. */
} HsRunTimeEstimator;

void hs_run_time_init (HsRunTimeEstimator *run_time);

/** Notes a task that ended; @p declared 0: it was not declared. */
void hs_run_time_add_sample (HsRunTimeEstimator *run_time,
                             HsTime declared,
                             HsTime run);

/** The expected run time, at least 1 us. */
HsTime hs_run_time_expected (const HsRunTimeEstimator *run_time,
                             HsTime declared);

#endif
