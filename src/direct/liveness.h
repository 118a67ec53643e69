/**
 * @file
 * Spans after which processes take each other for gone. A caller whose
 * request broke comes back 1.3 s later, maybe to another entry; by then
 * nothing of its job may run. An agent stops the tasks of an entry that is
 * silent for HS_PEER_TIMEOUT, and an entry gives up tasks of an agent that is.
 */
#ifndef HS_DIRECT_LIVENESS_H
#define HS_DIRECT_LIVENESS_H

#include <glib.h>

#include "base/time.h"

/** Each side lets the other hear from it at least this often. */
#define HS_HEARTBEAT_INTERVAL (150 * HS_MSEC)

/** Silence after which the other side is taken for gone: four pulses. */
#define HS_PEER_TIMEOUT (600 * HS_MSEC)

/** A connection that broke may be replaced for so long. */
#define HS_RECONNECT_TIMEOUT (500 * HS_MSEC)

/** An agent reads the entries' keys at least this often: 510 agents make two
 *  reads a second. */
#define HS_ENTRIES_REFRESH_INTERVAL (300 * HS_SEC)

/** A caller whose request broke sends its job again after this; told by the
 *  users. */
#define HS_CALLER_RETRY_DELAY (1300 * HS_MSEC)

/** The longest lease that an agent asks of its target, which may grant more.
 *  An agent renews it until it takes an entry for gone; if it dies right then,
 *  what runs for that entry ends with the lease, by a clock that is 2% slow,
 *  before the entry's caller is back. */
#define HS_LEASE_MAX (600 * HS_MSEC)

G_STATIC_ASSERT (HS_PEER_TIMEOUT + HS_LEASE_MAX + HS_LEASE_MAX / 50
                 < HS_CALLER_RETRY_DELAY);

/** A loop that didn't turn for so long was paused: a process's timers are
 *  never further apart than HS_HEARTBEAT_INTERVAL. */
#define HS_PAUSE_MIN (400 * HS_MSEC)

/** After a pause of its own, an agent has heard what an entry sent meanwhile
 *  within this: two pulses at least lie in the buffer. What it runs may have
 *  been started a whole lease before the pause's end, so that no more than
 *  this is left until the entry's caller comes back. */
#define HS_RESUME_GRACE (100 * HS_MSEC)

/** Requests that come this soon after a pause may have waited in a buffer. */
#define HS_RESUME_WINDOW (50 * HS_MSEC)

#endif
