#include "policy/run_time.h"

/* Expected run time if nothing is known about a customer's tasks. */
#define DEFAULT_RUN_TIME (200 * HS_MSEC)

/* A new sample has a weight of one over this number in the moving average. */
#define MEAN_SAMPLES 16.0

/* Bounds of one sample of the ratio, so that an outlier has little lasting
 * effect. */
#define RATIO_MIN (1.0 / 64)
#define RATIO_MAX 64.0

void
hs_run_time_init (HsRunTimeEstimator *run_time)
{
  run_time->mean_us = 0;
  run_time->ratio = 1;
}

void
hs_run_time_add_sample (HsRunTimeEstimator *run_time,
                        HsTime declared,
                        HsTime run)
{
  double ratio;

  if (run_time->mean_us <= 0)
    run_time->mean_us = (double) run;
  run_time->mean_us += ((double) run - run_time->mean_us) / MEAN_SAMPLES;
  if (declared <= 0)
    return;
  ratio = (double) run / (double) declared;
  ratio = ratio < RATIO_MIN ? RATIO_MIN : ratio;
  ratio = ratio > RATIO_MAX ? RATIO_MAX : ratio;
  run_time->ratio += (ratio - run_time->ratio) / MEAN_SAMPLES;
}

HsTime
hs_run_time_expected (const HsRunTimeEstimator *run_time, HsTime declared)
{
  if (declared > 0)
    return (HsTime) ((double) declared * run_time->ratio) + 1;
  return run_time->mean_us > 0 ? (HsTime) run_time->mean_us + 1
                               : DEFAULT_RUN_TIME;
}
