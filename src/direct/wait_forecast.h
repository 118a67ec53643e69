/**
 * @file
 * Whether a job that arrives can start within the wait it is allowed, given
 * what waits ahead of it, what arrives after it and ranks higher, and the
 * resources that the entry will get meanwhile.
 *
 * Load pattern: demand above capacity for seconds. The waiting jobs of the
 * highest rank are served as soon as they arrive, and those of a low rank are
 * overtaken until their wait is over. The queue at their arrival is short then;
 * the arrivals of higher rank are what shows that they won't start.
 */
#ifndef HS_DIRECT_WAIT_FORECAST_H
#define HS_DIRECT_WAIT_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/** Classes of ranks, two for each power of two. */
#define HS_RANK_CLASSES 40

/** What arrives, by rank. Zeroed memory is a forecast without arrivals. */
typedef struct
{
  /** Thousandths of a core that arriving jobs need for all their tasks, and the
   *  squares of that for each job; both decay exponentially. */
  double arrived_milli[HS_RANK_CLASSES];
  double arrived_milli2[HS_RANK_CLASSES];
  HsTime updated_at;
  HsTime waited_at[HS_RANK_CLASSES]; /**< When a job last waited in vain. */
  HsTime since;                      /**< First arrival; 0: none. */
  uint32_t n_misses;                 /**< Jobs of which a miss was predicted. */
} HsWaitForecast;

/** What becomes of a job that arrives. */
typedef enum
{
  HS_FORECAST_MAY_START,
  HS_FORECAST_MISS,
  HS_FORECAST_TRIAL /**< A miss is predicted; it is let in to see whether that
                         is right. */
} HsForecast;

/** The resources that running tasks are expected to release. */
typedef struct
{
  double milli; /**< Expected thousandths of a core... */
  double variance;
} HsReleases;

/** A job that arrives, and what is known of its chances. */
typedef struct
{
  double rank;
  HsTime wait;        /**< The longest that it may wait. */
  double ahead_milli; /**< Its first task and the waiting tasks before it, in
                           thousandths of a core. */
  double milli_per_s; /**< Rate at which waiting tasks got resources lately. */
  HsReleases due;     /**< By this entry's tasks within `wait`. */
} HsWaitQuery;

/** Counts a job that arrives. @param milli what all its tasks need */
void hs_wait_forecast_add (HsWaitForecast *forecast,
                           double rank,
                           double milli,
                           HsTime now);

/** A job of this rank wasn't started within its wait. */
void
hs_wait_forecast_waited (HsWaitForecast *forecast, double rank, HsTime now);

/** Whether the job will start within its wait. A miss is predicted only if it
 *  won't start even when the entry gets more resources, and fewer jobs of
 * higher rank arrive, than expected by a margin in standard deviations, and if
 * a job of its rank or above has waited in vain lately. */
HsForecast hs_wait_forecast_check (HsWaitForecast *forecast,
                                   const HsWaitQuery *query,
                                   HsTime now);

/**
 * Adds what a running task is expected to release.
 * @param milli that it holds
 * @param elapsed since its start
 * @param expected run time
 * @param spread standard deviation of the run time, as a share of the expected
 * @param span from now on
 */
void hs_releases_add (HsReleases *releases,
                      double milli,
                      HsTime elapsed,
                      HsTime expected,
                      double spread,
                      HsTime span);

#endif
