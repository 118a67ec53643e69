/**
 * @file
 * The rate at which an entry's waiting tasks get processors, from which the
 * wait of a job that arrives is predicted.
 *
 * Load pattern: after a loss of power all callers return at once, while targets
 * connect one after another; and a burst after quiet seconds. A decaying sum by
 * itself, which has not had the time to build up or has decayed, reads far too
 * low then, and jobs were refused that could have started.
 */
#ifndef HS_DIRECT_SERVICE_RATE_H
#define HS_DIRECT_SERVICE_RATE_H

#include "base/time.h"

/** Zeroed memory is a rate without samples. */
typedef struct
{
  double sum_milli;  /**< Thousandths of a core placed; decays exponentially. */
  HsTime updated_at; /**< When the sum was last updated. */
  HsTime since;      /**< First sample; 0: none. */
} HsServiceRate;

/** Counts processors given to a task. @param milli thousandths of a core */
void hs_service_rate_add (HsServiceRate *rate, uint32_t milli, HsTime now);

/** No task waits: drops samples that are too old to tell what a burst that
 *  begins now will get. Without samples from a time without waiting tasks, a
 *  rate that falls means that the targets are stuck. */
void hs_service_rate_idle (HsServiceRate *rate, HsTime now);

/** Multiplies the rate, as the targets have changed by this factor. */
void hs_service_rate_scale (HsServiceRate *rate, double factor);

/** Thousandths of a core placed in a second; 0 if not known yet. */
double hs_service_rate_per_s (const HsServiceRate *rate, HsTime now);

#endif
