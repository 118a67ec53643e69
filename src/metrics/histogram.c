#include "metrics/histogram.h"

#include <math.h>

static unsigned int bucket_of (uint64_t us);
static HsTime bucket_end (unsigned int bucket);

void
hs_histogram_record (HsHistogram *histogram, HsTime duration)
{
  uint64_t us = duration > 0 ? (uint64_t) duration : 0;

  atomic_fetch_add_explicit (&histogram->buckets[bucket_of (us)], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, us, memory_order_relaxed);
}

uint64_t
hs_histogram_count (const HsHistogram *histogram)
{
  return hs_histogram_count_below (histogram, HS_HISTOGRAM_OCTAVES);
}

HsTime
hs_histogram_quantile (const HsHistogram *histogram, double q)
{
  uint64_t rank = (uint64_t) ceil (q * (double) hs_histogram_count (histogram));
  uint64_t cumulative = 0;
  unsigned int i;

  for (i = 0; i < HS_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += atomic_load_explicit (&histogram->buckets[i],
                                          memory_order_relaxed);
      if (cumulative > 0 && cumulative >= rank)
        return bucket_end (i);
    }
  return 0;
}

uint64_t
hs_histogram_count_below (const HsHistogram *histogram, unsigned int octave)
{
  unsigned int end = octave * HS_HISTOGRAM_SUB_BUCKETS;
  uint64_t cumulative = 0;
  unsigned int i;

  for (i = 0; i < end; i++)
    cumulative
        += atomic_load_explicit (&histogram->buckets[i], memory_order_relaxed);
  return cumulative;
}

/**
 * The bucket of a duration. Octave k holds 2^k up to 2^(k+1) us in eight equal
 * buckets, or fewer where these would be narrower than 1 us. 0 us counts as
 * 1 us.
 */
static unsigned int
bucket_of (uint64_t us)
{
  uint64_t value = us > 0 ? us : 1;
  unsigned int octave = 63 - (unsigned int) __builtin_clzll (value);
  uint64_t sub;

  if (octave >= HS_HISTOGRAM_OCTAVES)
    return HS_HISTOGRAM_BUCKETS - 1;
  sub = ((value << HS_HISTOGRAM_SUB_BITS) >> octave) - HS_HISTOGRAM_SUB_BUCKETS;
  return octave * HS_HISTOGRAM_SUB_BUCKETS + (unsigned int) sub;
}

/** The longest duration in a bucket, rounded up to 1 us. */
static HsTime
bucket_end (unsigned int bucket)
{
  unsigned int octave = bucket / HS_HISTOGRAM_SUB_BUCKETS;
  uint64_t sub
      = bucket % HS_HISTOGRAM_SUB_BUCKETS + HS_HISTOGRAM_SUB_BUCKETS + 1;
  uint64_t scaled = sub << octave;

  return (HsTime) ((scaled + HS_HISTOGRAM_SUB_BUCKETS - 1)
                   >> HS_HISTOGRAM_SUB_BITS);
}
