/**
 * @file
 * Histograms of durations with logarithmic buckets: eight per octave (doubling
 * of the duration), so that the error of a quantile is at most an eighth.
 */
#ifndef HS_METRICS_HISTOGRAM_H
#define HS_METRICS_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/time.h"

#define HS_HISTOGRAM_SUB_BITS 3
#define HS_HISTOGRAM_SUB_BUCKETS (1 << HS_HISTOGRAM_SUB_BITS)
/** Octaves from 1 us on; the last one starts at 134 s and
 *  includes all longer durations. */
#define HS_HISTOGRAM_OCTAVES 28
#define HS_HISTOGRAM_BUCKETS (HS_HISTOGRAM_OCTAVES * HS_HISTOGRAM_SUB_BUCKETS)

/** Zeroed memory is an empty histogram. */
typedef struct
{
  _Atomic uint64_t buckets[HS_HISTOGRAM_BUCKETS];
  _Atomic uint64_t sum_us;
} HsHistogram;

/** Counts one duration; a negative one counts as 0. May be called from any
 *  thread. */
void hs_histogram_record (HsHistogram *histogram, HsTime duration);

/** Number of recorded durations. */
uint64_t hs_histogram_count (const HsHistogram *histogram);

/** Quantile @p q (0 to 1) of the recorded durations, rounded up to the end of
 *  its bucket; 0 if there are none. */
HsTime hs_histogram_quantile (const HsHistogram *histogram, double q);

/** Number of recorded durations shorter than 2^@p octave microseconds. */
uint64_t hs_histogram_count_below (const HsHistogram *histogram,
                                   unsigned int octave);

#endif
