#include "policy/bucket.h"

#define MICROTOKENS ((int64_t) 1000000)

static int64_t capacity_of (uint32_t rate, uint32_t burst);
static int64_t level_at (const HsBucket *bucket, HsTime now);

void
hs_bucket_init (HsBucket *bucket, uint32_t rate, uint32_t burst, HsTime now)
{
  bucket->rate = rate;
  bucket->capacity = capacity_of (rate, burst);
  bucket->level = bucket->capacity;
  bucket->at = now;
}

void
hs_bucket_set (HsBucket *bucket, uint32_t rate, uint32_t burst, HsTime now)
{
  int64_t level = level_at (bucket, now);

  bucket->rate = rate;
  bucket->capacity = capacity_of (rate, burst);
  bucket->level = level < bucket->capacity ? level : bucket->capacity;
  bucket->at = now > bucket->at ? now : bucket->at;
}

bool
hs_bucket_take (HsBucket *bucket, HsTime now)
{
  int64_t level = level_at (bucket, now);

  if (level < MICROTOKENS)
    return false;
  bucket->level = level - MICROTOKENS;
  bucket->at = now > bucket->at ? now : bucket->at;
  return true;
}

HsTime
hs_bucket_ready_at (const HsBucket *bucket, HsTime now)
{
  int64_t missing = MICROTOKENS - level_at (bucket, now);

  if (missing <= 0)
    return now;
  if (bucket->rate == 0)
    return HS_NEVER;
  return now + (missing + bucket->rate - 1) / bucket->rate;
}

static int64_t
capacity_of (uint32_t rate, uint32_t burst)
{
  if (rate == 0)
    return 0;
  return (burst > 0 ? burst : 1) * MICROTOKENS;
}

/* A rate in tokens a second is the same number of microtokens a microsecond,
 * so the level grows by whole numbers. */
static int64_t
level_at (const HsBucket *bucket, HsTime now)
{
  int64_t room = bucket->capacity - bucket->level;
  HsTime span = now - bucket->at;

  if (span <= 0 || bucket->rate == 0)
    return bucket->level;
  if (span > room / bucket->rate)
    return bucket->capacity;
  return bucket->level + span * bucket->rate;
}
