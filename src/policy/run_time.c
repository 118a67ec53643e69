#include "policy/run_time.h"

/* Expected run time of a task of which nothing is known. */
#define DEFAULT_RUN_TIME (200 * HS_MSEC)

/* The weight of a new sample is one over this. */
#define MEAN_SAMPLES 16.0

/* Bounds on one sample of the ratio, so that one wild value passes soon. */
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
