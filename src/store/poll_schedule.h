/**
 * @file
 * When a watch of the platform's store sends its long polls, how long the store
 * may hold them back, and when one counts as lost. Only makes decisions.
 */
#ifndef HS_STORE_POLL_SCHEDULE_H
#define HS_STORE_POLL_SCHEDULE_H

#include <glib.h>

#include "base/time.h"

/** How long the store may hold the answer to a poll back. Each poll is charged:
 *  in calm there is one in this time. */
#define HS_POLL_WAIT (2 * HS_SEC)

/** The same for a poll that follows a failed one. Until one is answered, a poll
 *  may have been sent to a silent store, and would be lost for HS_POLL_WAIT. */
#define HS_POLL_PROBE_WAIT (100 * HS_MSEC)

/** A poll is lost if it has no answer this long after the store had to answer.
 *  Twice the time that a slow store takes, and a connection's set-up. */
#define HS_POLL_SLACK (500 * HS_MSEC)

/** The same for a poll that follows a failed one: changes are also
 *  received from a store slower than any measured. */
#define HS_POLL_PROBE_SLACK (1 * HS_SEC)

/** Pause before the first poll after a failed one. */
#define HS_POLL_PAUSE_MIN (100 * HS_MSEC)

/** The pause doubles with each further poll that fails, to this at most: polls
 * of a store that stays silent are no more frequent than in calm. */
#define HS_POLL_PAUSE_MAX (1200 * HS_MSEC)

/** A slow store answers within this time: 50 times 4 ms. */
#define HS_POLL_ANSWER_MAX (200 * HS_MSEC)

/** The smallest `platform.bounds.contact_ms` of a deployment: this long after a
 *  disruption, an earlier change of the configuration has to be in force. */
#define HS_CONTACT_MIN (3 * HS_SEC)

/** A poll is sent just before its connection goes silent. */
G_STATIC_ASSERT (HS_POLL_WAIT + HS_POLL_SLACK + HS_POLL_PAUSE_MIN
                     + HS_POLL_ANSWER_MAX
                 < HS_CONTACT_MIN);

/** A poll is sent just before the store comes back. */
G_STATIC_ASSERT (HS_POLL_PROBE_WAIT + HS_POLL_PROBE_SLACK + HS_POLL_PAUSE_MAX
                     + HS_POLL_ANSWER_MAX
                 < HS_CONTACT_MIN);

typedef struct
{
  HsTime pause; /**< After the last poll that failed; 0: the last one was
                     answered. */
} HsPollSchedule;

/** How long the store may hold the answer to the next poll back. */
HsTime hs_poll_schedule_wait (const HsPollSchedule *schedule);

/** The next poll is lost if it has no answer this long after it was sent. */
HsTime hs_poll_schedule_limit (const HsPollSchedule *schedule);

/** A poll was answered; the next one may follow at once. */
void hs_poll_schedule_answered (HsPollSchedule *schedule);

/** A poll failed or is lost.
 *  @return pause before the next one */
HsTime hs_poll_schedule_failed (HsPollSchedule *schedule);

#endif
