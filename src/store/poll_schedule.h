/**
 * @file
 * When a watch of the platform's store sends its long polls, how long the store
 * may hold them back, and when one counts as lost. Only makes decisions.
 */
#ifndef HS_STORE_POLL_SCHEDULE_H
#define HS_STORE_POLL_SCHEDULE_H

#include <stdbool.h>

#include "base/time.h"

/** Pause before the first poll after a failed one. */
#define HS_POLL_PAUSE_MIN (100 * HS_MSEC)

/** The pause doubles with each further poll that fails, to this at most. */
#define HS_POLL_PAUSE_MAX (2 * HS_SEC)

/** How long the store may hold the answer to a poll back. */
#define HS_POLL_WAIT (2 * HS_SEC)

typedef struct
{
  HsTime pause; /**< After the last poll that failed; 0: the last one was
                     answered. */
} HsPollSchedule;

/** How long the store may hold the answer to the next poll back. */
HsTime hs_poll_schedule_wait (const HsPollSchedule *schedule);

/** A poll without an answer this long after it was sent is lost.
 *  @param timeout limit for a call to the store */
HsTime hs_poll_schedule_limit (const HsPollSchedule *schedule, HsTime timeout);

/** A poll was answered; the next one may follow at once. */
void hs_poll_schedule_answered (HsPollSchedule *schedule);

/** A poll failed or is lost.
 *  @return pause before the next one */
HsTime hs_poll_schedule_failed (HsPollSchedule *schedule);

#endif
