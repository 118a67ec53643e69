/**
 * @file
 * Time type and units. Decision logic takes the current time as an argument
 * and never reads a clock.
 */
#ifndef HS_BASE_TIME_H
#define HS_BASE_TIME_H

#include <stdint.h>

/** A point on CLOCK_BOOTTIME, or a duration, in microseconds. */
typedef int64_t HsTime;

#define HS_USEC ((HsTime) 1)
#define HS_MSEC ((HsTime) 1000)
#define HS_SEC ((HsTime) 1000000)
#define HS_NEVER INT64_MAX

/** The current time on both clocks. */
typedef struct
{
  HsTime mono; /**< CLOCK_BOOTTIME, microseconds; counts time in which the host
                  is suspended. */
  int64_t wall_ms; /**< Milliseconds since 1970-01-01 UTC. */
} HsNow;

/** Reads both clocks; called by event loops only, never by decision logic. */
HsNow hs_now (void);

#endif
