#include "policy/bucket.h"

#define MICROTOKENS ((int64_t) 1000000)

static int64_t burst_capacity (uint32_t rate_per_s, uint32_t burst);
static int64_t current_level (const HsBucket *bucket, HsTime now);

void
hs_bucket_init (HsBucket *bucket,
                uint32_t rate_per_s,
                uint32_t burst,
                HsTime now)
{
  bucket->rate_per_s = rate_per_s;
  bucket->capacity = burst_capacity (rate_per_s, burst);
  bucket->level = bucket->capacity;
  bucket->updated_at = now;
}

void
hs_bucket_set_limits (HsBucket *bucket,
                      uint32_t rate_per_s,
                      uint32_t burst,
                      HsTime now)
{
  int64_t level = current_level (bucket, now);

  bucket->rate_per_s = rate_per_s;
  bucket->capacity = burst_capacity (rate_per_s, burst);
  bucket->level = level < bucket->capacity ? level : bucket->capacity;
  bucket->updated_at = now > bucket->updated_at ? now : bucket->updated_at;
}

bool
hs_bucket_take (HsBucket *bucket, HsTime now)
{
  int64_t level = current_level (bucket, now);

  if (level < MICROTOKENS)
    return false;
  bucket->level = level - MICROTOKENS;
  bucket->updated_at = now > bucket->updated_at ? now : bucket->updated_at;
  return true;
}

HsTime
hs_bucket_ready_at (const HsBucket *bucket, HsTime now)
{
  int64_t missing = MICROTOKENS - current_level (bucket, now);

  if (missing <= 0)
    return now;
  if (bucket->rate_per_s == 0)
    return HS_NEVER;
  return now + (missing + bucket->rate_per_s - 1) / bucket->rate_per_s;
}

static int64_t
burst_capacity (uint32_t rate_per_s, uint32_t burst)
{
  if (rate_per_s == 0)
    return 0;
  return (burst > 0 ? burst : 1) * MICROTOKENS;
}

/* A rate in tokens per second equals the same number of microtokens per
 * microsecond, so the level grows by whole numbers. */
static int64_t
current_level (const HsBucket *bucket, HsTime now)
{
  int64_t space = bucket->capacity - bucket->level;
  HsTime span = now - bucket->updated_at;

  if (span <= 0 || bucket->rate_per_s == 0)
    return bucket->level;
  if (span > space / bucket->rate_per_s)
    return bucket->capacity;
  return bucket->level + span * bucket->rate_per_s;
}
