#include "policy/rendezvous.h"

#include <stddef.h>

/* FNV-1a. */
#define FNV_OFFSET_BASIS UINT64_C (0xcbf29ce484222325)
#define FNV_PRIME UINT64_C (0x100000001b3)

static uint64_t fnv1a (uint64_t from, const char *text);

uint64_t
hs_rendezvous_hash (const char *chooser, const char *address)
{
  uint64_t h = fnv1a (fnv1a (FNV_OFFSET_BASIS, chooser), address);

  /* FNV-1a gives similar texts similar hashes: mix the bits (finalizer of
     MurmurHash3). */
  h ^= h >> 33;
  h *= UINT64_C (0xff51afd7ed558ccd);
  h ^= h >> 33;
  h *= UINT64_C (0xc4ceb9fe1a85ec53);
  return h ^ (h >> 33);
}

void
hs_rendezvous_choose (HsCandidate *candidates, uint32_t n, uint32_t limit)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < n; i++)
    {
      uint32_t n_before = 0;

      for (k = 0; k < n && n_before < limit; k++)
        n_before += !candidates[k].unresponsive
                    && candidates[k].hash < candidates[i].hash;
      candidates[i].chosen = n_before < limit;
    }
}

static uint64_t
fnv1a (uint64_t h, const char *text)
{
  for (; *text != '\0'; text++)
    h = (h ^ (unsigned char) *text) * FNV_PRIME;
  /* Separates a text from the next one. */
  return (h ^ 0xff) * FNV_PRIME;
}
