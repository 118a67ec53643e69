/**
 * @file
 * Since when a caller that the event loop finds gone may have been gone. The
 * loop serves its descriptors in turn, so that once it serves a timer it has
 * served all that was ready before the timer expired. It may have stood still,
 * or have been busy, between the two. Only makes decisions.
 */
#ifndef HS_DIRECT_CALLERS_CHECK_H
#define HS_DIRECT_CALLERS_CHECK_H

#include "base/time.h"

typedef struct
{
  HsTime mark_at;       /**< When the timer expires. */
  HsTime checked_until; /**< Callers that left before this are known to have
                             left. */
} HsCallersCheck;

/** The first request may be read from now on.
 *  @return delay after which the timer has to expire */
HsTime hs_callers_check_begin (HsCallersCheck *check, HsTime now);

/** The event loop serves the timer.
 *  @return delay after which it has to expire again */
HsTime hs_callers_check_timer_served (HsCallersCheck *check, HsTime now);

#endif
