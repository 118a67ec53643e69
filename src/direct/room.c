#include "direct/room.h"

#include <glib.h>

static unsigned int less (unsigned int have, unsigned int want);

bool
hs_room_fits (const hsx_room *room, const hsx_room *needs)
{
  return needs->cpu_milli <= room->cpu_milli
         && needs->memory_mb <= room->memory_mb
         && needs->accelerators <= room->accelerators;
}

void
hs_room_add (hsx_room *room, const hsx_room *needs, uint32_t n)
{
  room->cpu_milli += needs->cpu_milli * n;
  room->memory_mb += needs->memory_mb * n;
  room->accelerators += needs->accelerators * n;
}

void
hs_room_take (hsx_room *room, const hsx_room *needs)
{
  room->cpu_milli = less (room->cpu_milli, needs->cpu_milli);
  room->memory_mb = less (room->memory_mb, needs->memory_mb);
  room->accelerators = less (room->accelerators, needs->accelerators);
}

static unsigned int
less (unsigned int have, unsigned int want)
{
  return have - MIN (have, want);
}
