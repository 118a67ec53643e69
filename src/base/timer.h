/**
 * @file
 * Timers of an event loop that steps of the wall clock don't move; tevent's
 * own timers count by that clock.
 */
#ifndef HS_BASE_TIMER_H
#define HS_BASE_TIMER_H

#include <talloc.h>
#include <tevent.h>

#include "base/time.h"

typedef struct HsTimer HsTimer;

/** Runs once a timer has fired; the timer is idle by then. */
typedef void (*HsTimerFunc) (void *arg);

/** An idle timer; talloc_free() ends it, in its own function too. */
HsTimer *hs_timer_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       HsTimerFunc func,
                       void *arg);

/**
 * Fires after @p span from @p now, instead of when it was set to before.
 * Moving a timer to a later time costs no system call.
 */
void hs_timer_set (HsTimer *timer, HsTime delay, HsTime now);

/** Makes the timer idle. */
void hs_timer_clear (HsTimer *timer);

#endif
