/**
 * @file
 * Types and functions shared by the source files of the direct agent.
 */
#ifndef HS_DIRECT_AGENT_PRIVATE_H
#define HS_DIRECT_AGENT_PRIVATE_H

#include "base/timer.h"
#include "direct/dialer.h"
#include "direct/entry_lookup.h"
#include "direct/evacuations.h"
#include "direct/process.h"
#include "direct/runs.h"
#include "metrics/metrics.h"
#include "platform/announcement_server.h"
#include "platform/settings.h"
#include "platform/target_client.h"
#include "store/store.h"

/** Maximum number of entries known at once; more than the largest deployment
 *  has. Their indices are also used for HsOffers, so this must not exceed
 *  HS_OFFERS_ENTRIES_MAX. */
#define HS_ENTRIES_MAX 128

/** Number of entries to which an agent keeps connections; surplus connections
 *  are closed. A heartbeat in each direction costs 60 us of processor time and
 *  is sent seven times a second: 0.7% of a core for all connections. */
#define HS_CONNECTIONS_MAX 16

/** A recently ended task. Its end is reported again on a new connection, as
 *  the first report may have been lost. */
typedef struct
{
  hsx_end end;
  HsTime ended_at;
} HsRecentEnd;

/** An entry that this agent knows; each incarnation has a record of its own.
 *  The record outlives a connection for HS_RECONNECT_TIMEOUT. Its index in
 *  HsDirectAgent.entries identifies the entry in calls to HsRuns. */
typedef struct
{
  uint64_t incarnation;
  /** NULL while disconnected. The record is then dropped HS_RECONNECT_TIMEOUT
   *  after `last_message_at`; while connected, HS_PEER_TIMEOUT after it. */
  HsConn *conn;
  HsTime last_message_at;
  /** When the entry sent its last orders while `confirmed`. The record is
   *  dropped HS_ENTRY_SILENCE_MAX later, and HS_PEER_TIMEOUT later if
   *  `confirmed` isn't set again. */
  HsTime confirmed_at;
  HsTime reported_at;
  /** `stamp_us` of the report on this connection that lists what is held. */
  int64_t full_report_stamp;
  /** Since when the connection is surplus, 0 if it isn't. Reports on it say
   * that the target is leaving, so that the entry launches nothing more. */
  HsTime surplus_since;
  /** hsx_end, to be reported. */
  GArray *unsent_ends;
  /** HsRecentEnd, oldest first. */
  GArray *recent_ends;
  /** Number of the last orders received. */
  uint32_t orders_seen;
  /** Number of the last crash of the target that was reported, and the stage
   *  in which it was. */
  uint32_t crash_sent;
  hsx_crash_stage crash_stage_sent;
  hsx_room capacity_sent;
  char address[HSX_ADDRESS_MAX + 1];
  bool used;
  /** On this connection the entry has answered the report of what is held here,
   *  so that it stops what it doesn't know. */
  bool confirmed;
  /** The entry has the description of the current target, with
   *  `capacity_sent`. */
  bool info_sent;
  /** Free resources or target state have changed since the last report. */
  bool report_due;
  /** All recent ends, and then a list of what is held, are to be reported. */
  bool full_report_due;
  /** `unsent_ends` has all recent ends. */
  bool recent_ends_queued;
  /** The entry has not yet acknowledged that this record is new: what it
   *  launched before is lost. */
  bool reset_pending;
  /** The next report has an offer: resources are reserved for the entry until
   *  it answers. */
  bool offer_due;
} HsAgentEntry;

/** State of the agent. All times are monotonic. */
typedef struct
{
  struct tevent_context *ev;
  HsPlatformSettings *settings;
  char *settings_path;
  uint64_t incarnation;
  HsRpc *rpc;
  HsDialer *dialer;
  HsRuns *runs;
  HsEvacuations *evacuations; /**< NULL: evacuation is not in use. */
  HsTargetClient *target_client;
  HsStore *store;
  HsEntryLookup lookup; /**< Of the entries' addresses. */
  HsTimer *timer;
  HsPauseWatch *pause_watch;
  struct tevent_immediate *work_immediate; /**< Runs the work that is due. */
  bool work_scheduled;
  bool leaving; /**< Stopping: accepts no new tasks. */
  HsTime leaving_since;
  HsTime idle_since; /**< While leaving: last time a task was running. */
  bool done;         /**< The event loop may end. */
  hsx_target_state reported_state; /**< In the last reports to the entries. */
  hsx_target_state logged_state;   /**< In the last `target_state` line. */
  /** Poll, target's incarnation and target's clock of the last list, for log
   *  lines. */
  uint32_t last_list_poll;
  int64_t last_list_started_ms;
  int64_t last_list_clock_ms;
  HsAgentEntry entries[HS_ENTRIES_MAX];
  HsMetrics *metrics;
  HsCounter *end_counters[HSX_END_SLOW + 1]; /**< By hsx_end_how. */
  HsCounter *crash_counter;
  HsHistogram *run_times;
} HsDirectAgent;

/** @name agent_links.c: connections to entries, reports to them, orders from
 *  them @{ */

/** Handles a connection whose HELLO has been exchanged. */
void hs_agent_links_connected (HsDirectAgent *agent, HsConn *conn);

/** Handles the end of a connection; the entry keeps its tasks if it reconnects
 *  within HS_RECONNECT_TIMEOUT. @param refused unused */
void
hs_agent_links_disconnected (HsDirectAgent *agent, HsConn *conn, bool refused);

/** Handles a message from an entry. @param proc an HSX_ procedure
 *  @param args its decoded arguments, valid during the call only */
void hs_agent_links_handle_call (HsDirectAgent *agent,
                                 HsConn *conn,
                                 uint32_t proc,
                                 const void *args);

/** Queues the end of a task for the next report to its entry.
 *  @param entry_index of the entry @param end is copied */
void hs_agent_links_add_end (HsDirectAgent *agent,
                             uint32_t entry_index,
                             const hsx_end *end);

/** Marks reports to all entries as due, as free resources or the target's state
 *  have changed. */
void hs_agent_links_mark_changed (HsDirectAgent *agent);

/** Marks a report with an offer to an entry as due. */
void hs_agent_links_mark_offer (HsDirectAgent *agent, uint32_t entry_index);

/** Sends reports that are due. @return when the next report is due */
HsTime hs_agent_links_send_reports (HsDirectAgent *agent, HsTime now);

/** Drops entries that are unresponsive or have not reconnected in time, and
 *  closes surplus connections. @return when the next entry times out */
HsTime hs_agent_links_drop_expired (HsDirectAgent *agent, HsTime now);

/** After a pause of this process, gives connected entries HS_RESUME_GRACE
 * before they time out. What entries sent during the pause is in the receive
 * buffers and is read within that time; entries that sent nothing are then
 * dropped. */
void hs_agent_links_resume (HsDirectAgent *agent, HsTime now);

/** @return the number of connected entries */
uint32_t hs_agent_links_connected_count (const HsDirectAgent *agent);
/** @} */

/** @name agent_evacuation.c: evacuations of data centres @{ */
/** Refuses all launches until an entry has sent the evacuations, if the
 * settings ask for that. */
void hs_agent_evacuations_start (HsDirectAgent *agent);

/** Handles EVACUATIONS of an entry. */
void hs_agent_evacuations_receive (HsDirectAgent *agent,
                                   const hsx_evacuations_args *args);
/** @} */

/** @name agent_target.c: the target; their argument is an HsDirectAgent @{ */
extern const HsRunsEffects hs_direct_agent_effects;
extern const HsTargetClientHandler hs_direct_agent_target_handler;
extern const HsAnnouncementHandler hs_direct_agent_announcement_handler;
/** @} */

/** To be called before an event is handled that may have waited while the
 *  process was paused. */
void hs_direct_agent_handle_pause (HsDirectAgent *agent);

/** Schedules the work that is due (time-outs, reports, dials) for the end of
 *  the current iteration of the event loop. */
void hs_direct_agent_schedule (HsDirectAgent *agent);

#endif
