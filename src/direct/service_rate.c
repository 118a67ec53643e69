#include "direct/service_rate.h"

#include <math.h>

/** Time constant of the average. */
#define RATE_WINDOW (500 * HS_MSEC)

/** Samples over a shorter time tell nothing: the first tasks find all targets
 *  idle, and the next ones wait for them. */
#define SPAN_MIN (50 * HS_MSEC)

void
hs_service_rate_add (HsServiceRate *rate, uint32_t milli, HsTime now)
{
  double age_windows = (double) (now - rate->updated_at) / RATE_WINDOW;

  if (rate->since == 0)
    rate->since = now;
  rate->sum_milli = rate->sum_milli * exp (-age_windows) + milli;
  rate->updated_at = now;
}

void
hs_service_rate_idle (HsServiceRate *rate, HsTime now)
{
  if (now - rate->updated_at > RATE_WINDOW)
    *rate = (HsServiceRate){ 0 };
}

void
hs_service_rate_scale (HsServiceRate *rate, double factor)
{
  /* Nothing is placed meanwhile, which would read as a low rate later. */
  if (factor <= 0)
    *rate = (HsServiceRate){ 0 };
  rate->sum_milli *= factor;
}

double
hs_service_rate_per_s (const HsServiceRate *rate, HsTime now)
{
  double age_windows = (double) (now - rate->updated_at) / RATE_WINDOW;
  double span_windows = (double) (now - rate->since) / RATE_WINDOW;

  if (rate->since == 0 || now - rate->since < SPAN_MIN)
    return 0;
  return rate->sum_milli * exp (-age_windows) / (1 - exp (-span_windows))
         * HS_SEC / RATE_WINDOW;
}
