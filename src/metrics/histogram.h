/**
 * @file
 * Histograms of spans with logarithmic buckets: eight to each doubling, so
 * that a quantile is off by an eighth at most.
 */
#ifndef HS_METRICS_HISTOGRAM_H
#define HS_METRICS_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/time.h"

#define HS_HISTOGRAM_SUB_BITS 3
#define HS_HISTOGRAM_SUB_BUCKETS (1 << HS_HISTOGRAM_SUB_BITS)
/** Doublings from 1 us on; the last one ends at 134 s. */
#define HS_HISTOGRAM_OCTAVES 28
#define HS_HISTOGRAM_BUCKETS (HS_HISTOGRAM_OCTAVES * HS_HISTOGRAM_SUB_BUCKETS)

/** Zeroed memory is an empty histogram. */
typedef struct
{
  _Atomic uint64_t buckets[HS_HISTOGRAM_BUCKETS];
  _Atomic uint64_t sum_us;
} HsHistogram;

/** Counts one span; negative ones count as 0. From any thread. */
void hs_histogram_record (HsHistogram *histogram, HsTime span);

/** Spans counted so far. */
uint64_t hs_histogram_count (const HsHistogram *histogram);

/** The span that a share @p q (0 to 1) of the counted ones don't exceed;
 *  0 if there are none. Rounded up to the end of its bucket. */
HsTime hs_histogram_quantile (const HsHistogram *histogram, double q);

/** Spans counted that are shorter than 2^@p octave microseconds. */
uint64_t hs_histogram_count_below (const HsHistogram *histogram,
                                   unsigned int octave);

#endif
