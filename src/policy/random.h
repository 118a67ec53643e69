/**
 * @file
 * A small random number generator (splitmix64). It is seeded, so that decisions
 * can be reproduced. Not for cryptographic use.
 */
#ifndef HS_POLICY_RANDOM_H
#define HS_POLICY_RANDOM_H

#include <stdint.h>

/**
 * Returns the next 64 random bits.
 * @param state the seed at first; updated
 */
static inline uint64_t
hs_random (uint64_t *state)
{
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/** Returns a random number below @p n, which must not be 0. */
static inline uint32_t
hs_random_below (uint64_t *state, uint32_t n)
{
  return (uint32_t) (((hs_random (state) >> 32) * n) >> 32);
}

/** Returns a random number in [0, 1). */
static inline double
hs_random_unit (uint64_t *state)
{
  return (double) (hs_random (state) >> 11) * 0x1.0p-53;
}

#endif
