/* Pseudo-random numbers for tests that run with fixed seeds. */
#ifndef HS_TEST_PRNG_H
#define HS_TEST_PRNG_H

#include <stdint.h>

typedef struct
{
  uint64_t state;
} Prng;

static inline Prng
prng_seeded (uint32_t seed)
{
  return (Prng){ (seed + UINT64_C (1)) * UINT64_C (0x9E3779B97F4A7C15) };
}

/* A number below n, by xorshift64*: a seed gives the same numbers on every
   platform. */
static inline uint32_t
prng_below (Prng *prng, uint32_t n)
{
  prng->state ^= prng->state >> 12;
  prng->state ^= prng->state << 25;
  prng->state ^= prng->state >> 27;
  return (uint32_t) ((prng->state * UINT64_C (2685821657736338717)) >> 33) % n;
}

#endif
