/**
 * @file
 * Estimates from the rate of a run's progress how long the run takes.
 *
 * Load pattern: targets that are several times slower for seconds, whose tasks
 * would end long after their job's objective. Progress shows it within a
 * fraction of the run; the ends show it only when it is too late.
 */
#ifndef HS_DIRECT_PROGRESS_RATE_H
#define HS_DIRECT_PROGRESS_RATE_H

#include <stdbool.h>

#include "base/time.h"

/** The sample from which a run's progress rate is measured; zeroed: none. */
typedef struct
{
  HsTime sampled_at;
  int percent;
} HsProgressRate;

/* All times are on one clock, that of the target that reports the progress. */

/** Records a progress report, after the rate up to it was evaluated.
 *  @param percent below 0: not reported
 *  @param usual_time the longest that such a run usually takes; the rate is
 *  measured over a part of it, so that a drop is detected */
void hs_progress_rate_sample (HsProgressRate *rate,
                              int percent,
                              HsTime usual_time,
                              HsTime now);

/** The least time that the whole run takes at this rate; 0: not known yet. */
HsTime hs_progress_rate_total_time (const HsProgressRate *rate,
                                    int percent,
                                    HsTime now);

/** The least time until the run ends at this rate; 0: not known yet. */
HsTime hs_progress_rate_time_left (const HsProgressRate *rate,
                                   int percent,
                                   HsTime now);

#endif
