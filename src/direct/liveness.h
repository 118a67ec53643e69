/**
 * @file
 * Timeouts after which processes consider each other lost. A caller whose
 * request broke sends it again after 1.3 s, possibly to another entry; by then
 * nothing of its job may still run. An agent therefore stops the tasks of an
 * entry that it hasn't heard from for HS_PEER_TIMEOUT, and an entry gives up
 * the tasks of such an agent.
 */
#ifndef HS_DIRECT_LIVENESS_H
#define HS_DIRECT_LIVENESS_H

#include <glib.h>

#include "base/time.h"

/** Each side sends the other a message at least this often. */
#define HS_HEARTBEAT_INTERVAL (150 * HS_MSEC)

/** A peer that sent nothing for this long is considered lost: four heartbeat
 *  intervals. */
#define HS_PEER_TIMEOUT (600 * HS_MSEC)

/** An agent considers an entry lost this long after the entry sent its last
 *  message, however late that message was read: it may have been retransmitted,
 *  or have waited in the buffer of a paused agent. */
#define HS_ENTRY_SILENCE_MAX (700 * HS_MSEC)

/** How long a peer whose connection broke may take to connect again. */
#define HS_RECONNECT_TIMEOUT (500 * HS_MSEC)

/** An agent reads the entries' keys from the store at least this often: 510
 *  agents make two reads a second. */
#define HS_ENTRIES_REFRESH_INTERVAL (300 * HS_SEC)

/** A caller whose request broke sends its job again after this, as the users
 *  state. */
#define HS_CALLER_RETRY_DELAY (1300 * HS_MSEC)

/** The longest lease that an agent requests from its target, which may be able
 *  to grant a longer one. The agent renews it until it considers an entry lost.
 *  If the
 *  agent dies at that moment, the runs of that entry end when the lease
 *  expires, on a clock that is 2% slow, before the entry's caller sends its
 *  job again. */
#define HS_LEASE_MAX (530 * HS_MSEC)

/** How long a target takes at most to carry out a stop. */
#define HS_STOP_MAX (50 * HS_MSEC)

/** A process whose event loop didn't run for this long was paused: its timers
 *  are never further apart than HS_HEARTBEAT_INTERVAL. */
#define HS_PAUSE_MIN (400 * HS_MSEC)

/** Steady clocks may drift apart by this much. */
#define HS_CLOCK_DRIFT_PERCENT 2

/** How often an entry makes sure that it has noticed all callers that left. */
#define HS_CALLERS_CHECK_INTERVAL (25 * HS_MSEC)

/** The lease of a run whose job is over is renewed for this long at most after
 *  its caller may have left: the lease and a message to the next entry take the
 *  rest of the time until the caller sends its job again. */
#define HS_STOP_RENEWAL_MAX                                                    \
  (HS_CALLER_RETRY_DELAY - HS_LEASE_MAX - HS_LEASE_MAX / 50 - 200 * HS_MSEC)

/** An entry may have stood still for almost HS_PAUSE_MIN without noticing: a
 *  stop that it sends then can still be called twice before the lease of all
 *  runs on the target isn't renewed any more. */
G_STATIC_ASSERT (HS_PAUSE_MIN + HS_CALLERS_CHECK_INTERVAL + 2 * HS_STOP_MAX
                 < HS_STOP_RENEWAL_MAX);

/** Within this time after a pause of its own, an agent has received what an
 *  entry sent meanwhile: at least two heartbeats are in the socket buffer. */
#define HS_RESUME_GRACE (100 * HS_MSEC)

/** Limit on HS_ENTRY_SILENCE_MAX after a pause of the agent, counted alike: the
 *  stops of the runs still take effect before the caller sends its job again.
 */
#define HS_ENTRY_SILENCE_LIMIT (HS_CALLER_RETRY_DELAY - 2 * HS_STOP_MAX)

/** The entry may have sent its last message HS_PEER_TIMEOUT before the pause,
 *  the pause may end just before the leases of the runs expire, and the agent
 *  renews them until it stops the runs. */
G_STATIC_ASSERT (HS_PEER_TIMEOUT + HS_LEASE_MAX + HS_LEASE_MAX / 50
                     + HS_RESUME_GRACE + HS_STOP_MAX
                 < HS_CALLER_RETRY_DELAY);

/** The agent renews the leases until it considers the entry lost. */
G_STATIC_ASSERT (HS_ENTRY_SILENCE_MAX + HS_LEASE_MAX + HS_LEASE_MAX / 50
                     + HS_STOP_MAX
                 < HS_CALLER_RETRY_DELAY);

/** Requests that arrive this soon after a pause may have waited in a socket
 *  buffer. */
#define HS_RESUME_WINDOW (50 * HS_MSEC)

#endif
