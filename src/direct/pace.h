/**
 * @file
 * How long a run still takes, by how fast its progress moves.
 *
 * Load pattern: targets that turn several times slower for seconds, whose
 * tasks would end long after their job's objective: progress shows it within
 * a fraction of the run, the ends only when it is too late.
 */
#ifndef HS_DIRECT_PACE_H
#define HS_DIRECT_PACE_H

#include <stdbool.h>

#include "base/time.h"

/** The progress from which a run's pace is measured; zeroed: none yet. */
typedef struct
{
  HsTime at;
  int percent;
} HsPace;

/* All times are by one clock, of the target that tells the progress. */

/** Notes what a run's target says, after the pace up to it was judged.
 *  @param percent below 0: it didn't say
 *  @param usual the longest that a run like this usually takes; a pace is
 *  measured over a part of it, so that one that drops is seen */
void hs_pace_note (HsPace *pace, int percent, HsTime usual, HsTime now);

/** The least that the whole run takes at this pace; 0: not known yet. */
HsTime hs_pace_total (const HsPace *pace, int percent, HsTime now);

/** The least that it still takes; 0: not known yet. */
HsTime hs_pace_left (const HsPace *pace, int percent, HsTime now);

#endif
