#include "direct/progress_rate.h"

#include <glib.h>

/** A pace is judged over this at least: the clock and the progress are told in
 *  whole milliseconds and hundredths. */
#define INTERVAL_MIN (15 * HS_MSEC)

/** It begins anew after the larger of this and a part of the usual run: a run
 *  at its usual pace has moved by a tenth then. */
#define SAMPLE_INTERVAL_MIN (100 * HS_MSEC)
#define RUN_TIME_DIVISOR 10

#define PERCENT_MAX 100

void
hs_progress_rate_sample (HsProgressRate *rate,
                         int percent,
                         HsTime usual_time,
                         HsTime now)
{
  if (percent < 0)
    return;
  if (rate->sampled_at != 0
      && now - rate->sampled_at
             < MAX (SAMPLE_INTERVAL_MIN, usual_time / RUN_TIME_DIVISOR))
    return;
  rate->sampled_at = now;
  rate->percent = percent;
}

HsTime
hs_progress_rate_total_time (const HsProgressRate *rate,
                             int percent,
                             HsTime now)
{
  HsTime interval = now - rate->sampled_at;

  if (rate->sampled_at == 0 || percent < rate->percent
      || interval < INTERVAL_MIN)
    return 0;
  /* Hundredths are rounded down at both ends: it moved by less than one more
     than they differ. */
  return interval * PERCENT_MAX / (percent - rate->percent + 1);
}

HsTime
hs_progress_rate_time_left (const HsProgressRate *rate, int percent, HsTime now)
{
  return hs_progress_rate_total_time (rate, percent, now)
         * (PERCENT_MAX - percent) / PERCENT_MAX;
}
