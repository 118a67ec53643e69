#include "policy/run_time.h"

/* Expected run time of a task of which nothing is known. */
#define DEFAULT_RUN (200 * HS_MSEC)

/* The weight of a new sample is one over this. */
#define SAMPLES 16.0

/* Bounds on one sample of the ratio, so that one wild value passes soon. */
#define RATIO_MIN (1.0 / 64)
#define RATIO_MAX 64.0

void
hs_run_time_init (HsRunTime *run_time)
{
  run_time->mean = 0;
  run_time->ratio = 1;
}

void
hs_run_time_add (HsRunTime *run_time, HsTime declared, HsTime run)
{
  double ratio;

  if (run_time->mean <= 0)
    run_time->mean = (double) run;
  run_time->mean += ((double) run - run_time->mean) / SAMPLES;
  if (declared <= 0)
    return;
  ratio = (double) run / (double) declared;
  ratio = ratio < RATIO_MIN ? RATIO_MIN : ratio;
  ratio = ratio > RATIO_MAX ? RATIO_MAX : ratio;
  run_time->ratio += (ratio - run_time->ratio) / SAMPLES;
}

HsTime
hs_run_time_expect (const HsRunTime *run_time, HsTime declared)
{
  if (declared > 0)
    return (HsTime) ((double) declared * run_time->ratio) + 1;
  return run_time->mean > 0 ? (HsTime) run_time->mean + 1 : DEFAULT_RUN;
}
