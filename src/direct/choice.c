#include "direct/choice.h"

#include <stddef.h>

/* FNV-1a. */
#define HASH_START UINT64_C (0xcbf29ce484222325)
#define HASH_FACTOR UINT64_C (0x100000001b3)

static uint64_t hash (uint64_t from, const char *text);

uint64_t
hs_choice_rank (const char *chooser, const char *address)
{
  uint64_t h = hash (hash (HASH_START, chooser), address);

  /* FNV leaves similar texts close to each other. */
  h ^= h >> 33;
  h *= UINT64_C (0xff51afd7ed558ccd);
  h ^= h >> 33;
  h *= UINT64_C (0xc4ceb9fe1a85ec53);
  return h ^ (h >> 33);
}

void
hs_choose (HsChoice *choices, uint32_t n, uint32_t limit)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < n; i++)
    {
      uint32_t before = 0;

      for (k = 0; k < n && before < limit; k++)
        before += !choices[k].failing && choices[k].rank < choices[i].rank;
      choices[i].chosen = before < limit;
    }
}

static uint64_t
hash (uint64_t h, const char *text)
{
  for (; *text != '\0'; text++)
    h = (h ^ (unsigned char) *text) * HASH_FACTOR;
  /* A text doesn't run into the next. */
  return (h ^ 0xff) * HASH_FACTOR;
}
