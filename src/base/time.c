#include "base/time.h"

#include <time.h>

HsNow
hs_now (void)
{
  struct timespec mono;
  struct timespec wall;
  HsNow now;

  /* Leases go on expiring while the host is suspended. CLOCK_BOOTTIME counts
     that time, CLOCK_MONOTONIC doesn't. */
  clock_gettime (CLOCK_BOOTTIME, &mono);
  clock_gettime (CLOCK_REALTIME, &wall);
  now.mono = (HsTime) mono.tv_sec * HS_SEC + mono.tv_nsec / 1000;
  now.wall_ms = (int64_t) wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
  return now;
}
