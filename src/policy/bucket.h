/**
 * @file
 * A token bucket. It counts in whole microtokens, so that no rounding errors
 * accumulate.
 */
#ifndef HS_POLICY_BUCKET_H
#define HS_POLICY_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

typedef struct
{
  uint32_t rate_per_s; /**< Tokens per second; 0: no token can be taken. */
  int64_t capacity;    /**< Microtokens. */
  int64_t level;       /**< Microtokens at updated_at. */
  HsTime updated_at;
} HsBucket;

/**
 * Initialises a full bucket. Its capacity is @p burst tokens, at least one
 * unless @p rate_per_s is 0.
 */
void hs_bucket_init (HsBucket *bucket,
                     uint32_t rate_per_s,
                     uint32_t burst,
                     HsTime now);

/** Changes the limits. Tokens in the bucket are kept, up to the new burst. */
void hs_bucket_set_limits (HsBucket *bucket,
                           uint32_t rate_per_s,
                           uint32_t burst,
                           HsTime now);

/** Takes one token; returns false if there is none. */
bool hs_bucket_take (HsBucket *bucket, HsTime now);

/**
 * Returns the time at which one token can be taken: @p now, a later time, or
 * HS_NEVER.
 */
HsTime hs_bucket_ready_at (const HsBucket *bucket, HsTime now);

#endif
