#include "direct/resources.h"

#include <glib.h>

static unsigned int subtract_saturating (unsigned int available,
                                         unsigned int amount);

bool
hs_resources_fit (const hsx_room *available, const hsx_room *needs)
{
  return needs->cpu_milli <= available->cpu_milli
         && needs->memory_mb <= available->memory_mb
         && needs->accelerators <= available->accelerators;
}

void
hs_resources_add (hsx_room *resources, const hsx_room *needs, uint32_t n)
{
  resources->cpu_milli += needs->cpu_milli * n;
  resources->memory_mb += needs->memory_mb * n;
  resources->accelerators += needs->accelerators * n;
}

bool
hs_resources_equal (const hsx_room *a, const hsx_room *b)
{
  return a->cpu_milli == b->cpu_milli && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators;
}

hsx_room
hs_resources_min (const hsx_room *a, const hsx_room *b)
{
  return (hsx_room){ .cpu_milli = MIN (a->cpu_milli, b->cpu_milli),
                     .memory_mb = MIN (a->memory_mb, b->memory_mb),
                     .accelerators = MIN (a->accelerators, b->accelerators) };
}

void
hs_resources_subtract (hsx_room *resources, const hsx_room *needs)
{
  resources->cpu_milli
      = subtract_saturating (resources->cpu_milli, needs->cpu_milli);
  resources->memory_mb
      = subtract_saturating (resources->memory_mb, needs->memory_mb);
  resources->accelerators
      = subtract_saturating (resources->accelerators, needs->accelerators);
}

static unsigned int
subtract_saturating (unsigned int available, unsigned int amount)
{
  return available - MIN (available, amount);
}
