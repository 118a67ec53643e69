/* The random choices of a test that walks by fixed seeds. */
#ifndef HS_TEST_RANDOM_WALK_H
#define HS_TEST_RANDOM_WALK_H

#include <stdint.h>

typedef struct
{
  uint64_t state;
} RandomWalk;

static inline RandomWalk
random_walk (uint32_t seed)
{
  return (RandomWalk){ (seed + UINT64_C (1)) * UINT64_C (0x9E3779B97F4A7C15) };
}

/* xorshift64*, so that a seed walks the same way everywhere. */
static inline uint32_t
random_pick (RandomWalk *walk, uint32_t n)
{
  walk->state ^= walk->state >> 12;
  walk->state ^= walk->state << 25;
  walk->state ^= walk->state >> 27;
  return (uint32_t) ((walk->state * UINT64_C (2685821657736338717)) >> 33) % n;
}

#endif
