#include "direct/wait_forecast.h"

#include <math.h>

#include <glib.h>

/** Time constant of the average of arrivals: a few dozen jobs of an entry with
 *  a hundred jobs a second. */
#define ARRIVALS_WINDOW (400 * HS_MSEC)

/** Arrivals over a shorter time tell nothing of their rate. */
#define ARRIVALS_SPAN_MIN (50 * HS_MSEC)

/** Standard deviations by which resources and arrivals have to differ from what
 *  is expected for a refused job to have started. */
#define MARGIN 2.0

/** An entry may get more than lately by this share. Agents give more to entries
 *  with more waiting tasks, and with too few of those, resources are idle: at
 *  twice the capacity, without this factor, 1.5% of all cores. */
#define SUPPLY_ERROR 0.1

/** A job that waited in vain shows for this time that others of its rank and
 *  below may not start. Without this, short bursts at small sites refused a
 *  third more jobs than an ideal queue. */
#define WAITED_MEMORY (400 * HS_MSEC)

/** The class of rank 1. */
#define RANK_CLASS_OF_ONE 16
#define RANK_CLASSES_PER_OCTAVE 2

/** Half width of the uniform distribution with a standard deviation of 1. */
#define UNIFORM_HALF_WIDTH 1.732

/** Releases that are due at the start of a wait take a few messages to become
 *  launches; the end of a wait is checked, and its half. */
#define N_CHECKS 2

/** One of this many jobs of which a miss is predicted is let in: without, wrong
 *  predictions wouldn't show. */
#define TRIAL_INTERVAL 16

static bool will_miss (const HsWaitForecast *forecast,
                       const HsWaitQuery *query,
                       HsTime now);

static int
rank_class (double rank)
{
  int class = RANK_CLASS_OF_ONE
              + (int) floor (log2 (MAX (rank, 1e-6)) * RANK_CLASSES_PER_OCTAVE);

  return CLAMP (class, 0, HS_RANK_CLASSES - 1);
}

void
hs_wait_forecast_add (HsWaitForecast *forecast,
                      double rank,
                      double milli,
                      HsTime now)
{
  double decay = exp (-(double) (now - forecast->updated_at) / ARRIVALS_WINDOW);
  int class = rank_class (rank);
  int i;

  if (forecast->since == 0)
    forecast->since = now;
  for (i = 0; i < HS_RANK_CLASSES; i++)
    {
      forecast->arrived_milli[i] *= decay;
      forecast->arrived_milli2[i] *= decay;
    }
  forecast->arrived_milli[class] += milli;
  forecast->arrived_milli2[class] += milli * milli;
  forecast->updated_at = now;
}

void
hs_wait_forecast_waited (HsWaitForecast *forecast, double rank, HsTime now)
{
  forecast->waited_at[rank_class (rank)] = now;
}

HsForecast
hs_wait_forecast_check (HsWaitForecast *forecast,
                        const HsWaitQuery *query,
                        HsTime now)
{
  if (!will_miss (forecast, query, now))
    return HS_FORECAST_MAY_START;
  return ++forecast->n_misses % TRIAL_INTERVAL == 0 ? HS_FORECAST_TRIAL
                                                    : HS_FORECAST_MISS;
}

/* Whether a job of a class or above has waited in vain lately. */
static bool
others_have_waited (const HsWaitForecast *forecast, int class, HsTime now)
{
  for (; class < HS_RANK_CLASSES; class ++)
    if (forecast->waited_at[class] != 0
        && now - forecast->waited_at[class] < WAITED_MEMORY)
      return true;
  return false;
}

/* Whether the job won't start within its wait. */
static bool
will_miss (const HsWaitForecast *forecast, const HsWaitQuery *query, HsTime now)
{
  double windows = (double) (now - forecast->updated_at) / ARRIVALS_WINDOW;
  double span = (double) (now - forecast->since) / ARRIVALS_WINDOW;
  double wait_windows = (double) query->wait / ARRIVALS_WINDOW;
  double decay = exp (-windows) / (1 - exp (-span)) * wait_windows;
  double got = query->milli_per_s * (double) query->wait / HS_SEC;
  double supply = (1 + SUPPLY_ERROR) * MAX (got, query->due.milli);
  double higher = 0;
  double variance = 0;
  int class = rank_class (query->rank);
  int i;
  int check;

  if (forecast->since == 0 || now - forecast->since < ARRIVALS_SPAN_MIN
      || query->milli_per_s <= 0 || !others_have_waited (forecast, class, now))
    return false;
  for (i = class; i < HS_RANK_CLASSES; i++)
    {
      /* About half of the job's own class ranks higher. */
      double share = i == class ? 0.5 : 1;

      higher += forecast->arrived_milli[i] * share;
      variance += forecast->arrived_milli2[i] * share;
    }
  higher *= decay;
  variance = variance * decay + query->due.variance;
  for (check = 1; check <= N_CHECKS; check++)
    {
      double part = (double) check / N_CHECKS;

      if (query->ahead_milli + higher * part
          <= supply * part + MARGIN * sqrt (variance * part))
        return false;
    }
  return true;
}

void
hs_releases_add (HsReleases *releases,
                 double milli,
                 HsTime elapsed,
                 HsTime expected,
                 double spread,
                 HsTime span)
{
  double half = UNIFORM_HALF_WIDTH * spread * (double) expected;
  double earliest = MAX ((double) expected - half, (double) elapsed);
  double latest = (double) expected + half;
  double end = (double) (elapsed + span);
  double share = 0;

  /* A task that has exceeded all expectations ends the later, the longer it has
     run. */
  if ((double) elapsed >= latest - half / 4)
    share = (double) span / (double) MAX (elapsed + span, 1);
  else if (end > earliest)
    share = MIN (1, (end - earliest) / (latest - earliest));
  releases->milli += milli * share;
  releases->variance += milli * milli * share * (1 - share);
}
