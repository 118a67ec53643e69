#include "direct/progress_rate.h"

#include <glib.h>

/** The rate is measured over at least this, as the clock is reported in whole
 *  milliseconds and the progress in hundredths. */
#define INTERVAL_MIN (15 * HS_MSEC)

/** A new sample is taken after the larger of this and a tenth of the usual run
 *  time; a run at its usual rate has progressed by a tenth then. */
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
  /* Both values are rounded down to hundredths, so the true progress is less
     than their difference plus one. */
  return interval * PERCENT_MAX / (percent - rate->percent + 1);
}

HsTime
hs_progress_rate_time_left (const HsProgressRate *rate, int percent, HsTime now)
{
  return hs_progress_rate_total_time (rate, percent, now)
         * (PERCENT_MAX - percent) / PERCENT_MAX;
}
