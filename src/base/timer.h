/**
 * @file
 * Event loop timers. Unlike tevent's own timers, which use the wall clock, they
 * aren't affected when that clock is stepped. The due time is on the clock of
 * hs_now() (CLOCK_BOOTTIME), but the descriptor is armed on CLOCK_MONOTONIC,
 * which stands still while the host is suspended: a timer is then late by up to
 * the length of the suspension.
 */
#ifndef HS_BASE_TIMER_H
#define HS_BASE_TIMER_H

#include <talloc.h>
#include <tevent.h>

#include "base/time.h"

typedef struct HsTimer HsTimer;

/** Called when a timer has expired; the timer is idle then. */
typedef void (*HsTimerFunc) (void *arg);

/**
 * Creates an idle timer. It may be freed with talloc_free() at any time, also
 * in its own callback.
 */
HsTimer *hs_timer_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       HsTimerFunc func,
                       void *arg);

/**
 * Sets the timer to expire @p delay after @p now, in place of its previous
 * expiry time. Moving a timer to a later time needs no system call.
 */
void hs_timer_set (HsTimer *timer, HsTime delay, HsTime now);

/** Makes the timer idle. */
void hs_timer_clear (HsTimer *timer);

#endif
