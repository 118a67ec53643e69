/**
 * @file
 * How long a run still takes, by how fast its progress moves.
 *
 * Load pattern: targets that turn several times slower for seconds, whose
 * tasks would end long after their job's objective: progress shows it within
 * a fraction of the run, the ends only when it is too late.
 */
#ifndef HS_DIRECT_PROGRESS_RATE_H
#define HS_DIRECT_PROGRESS_RATE_H

#include <stdbool.h>

#include "base/time.h"

/** The progress from which a run's pace is measured; zeroed: none yet. */
typedef struct
{
  HsTime sampled_at;
  int percent;
} HsProgressRate;

/* All times are by one clock, of the target that tells the progress. */

/** Notes what a run's target says, after the pace up to it was judged.
 *  @param percent below 0: it didn't say
 *  @param usual_time the longest that a run like this usually takes; a pace is
 *  measured over a part of it, so that one that drops is seen */
void hs_progress_rate_sample (HsProgressRate *rate,
                              int percent,
                              HsTime usual_time,
                              HsTime now);

/** The least that the whole run takes at this pace; 0: not known yet. */
HsTime hs_progress_rate_total_time (const HsProgressRate *rate,
                                    int percent,
                                    HsTime now);

/** The least that it still takes; 0: not known yet. */
HsTime hs_progress_rate_time_left (const HsProgressRate *rate,
                                   int percent,
                                   HsTime now);

#endif
