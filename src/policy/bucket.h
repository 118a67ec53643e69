/**
 * @file
 * A token bucket in whole microtokens, so that it neither drifts nor rounds.
 */
#ifndef HS_POLICY_BUCKET_H
#define HS_POLICY_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

typedef struct
{
  uint32_t rate;    /**< Tokens a second; 0: none may be taken. */
  int64_t capacity; /**< Microtokens. */
  int64_t level;    /**< Microtokens at `at`. */
  HsTime updated_at;
} HsBucket;

/** Fills a bucket of @p burst tokens (at least one, if @p rate isn't 0). */
void
hs_bucket_init (HsBucket *bucket, uint32_t rate, uint32_t burst, HsTime now);

/** Changes the limits; tokens held stay, up to the new burst. */
void hs_bucket_set_limits (HsBucket *bucket,
                           uint32_t rate,
                           uint32_t burst,
                           HsTime now);

/** Takes one token; false if there is none. */
bool hs_bucket_take (HsBucket *bucket, HsTime now);

/** When one token can be taken: @p now, later, or HS_NEVER. */
HsTime hs_bucket_ready_at (const HsBucket *bucket, HsTime now);

#endif
