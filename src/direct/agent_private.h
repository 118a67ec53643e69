/**
 * @file
 * Shared by the files of the agent of direct jobs.
 */
#ifndef HS_DIRECT_AGENT_PRIVATE_H
#define HS_DIRECT_AGENT_PRIVATE_H

#include "base/timer.h"
#include "direct/dialer.h"
#include "direct/runs.h"
#include "metrics/metrics.h"
#include "platform/settings.h"
#include "platform/target_client.h"
#include "store/store.h"

/** Entries at once; more than the largest deployment has. */
#define HS_ENTRIES_MAX 128

/** Entries that an agent keeps connections with. A pulse each way takes 60 us,
 *  seven times a second: 0.7% of a core for all. */
#define HS_CONNECTIONS_MAX 16

/** An end that was told, kept in case its message is lost. */
typedef struct
{
  hsx_end end;
  HsTime ended_at;
} HsRecentEnd;

/** One life of an entry. */
typedef struct
{
  bool used;
  uint64_t incarnation;
  char address[HSX_ADDRESS_MAX + 1];
  HsConn *conn; /**< NULL: lost, at most a pulse after `last_message_at`. */
  HsTime last_message_at;
  HsTime reported_at;
  uint32_t orders_seen;
  bool info_sent;
  bool report_due; /**< Room or state have changed since the last one. */
  bool full_report_due;
  bool reset_pending; /**< The entry doesn't know that this record is new. */
  int64_t first_report_stamp; /**< Of the first report on this connection. */
  bool offer_due;             /**< Room is kept for it until it answers. */
  HsTime surplus_since;       /**< Told to send nothing more then; 0: not. */
  GArray *unsent_ends;        /**< hsx_end, to be told. */
  GArray *recent_ends;        /**< HsRecentEnd, oldest first. */
} HsAgentPeer;

typedef struct
{
  struct tevent_context *ev;
  HsPlatformSettings *settings;
  char *settings_path;
  uint64_t incarnation;
  HsRpc *rpc;
  HsDialer *dialer;
  HsRuns *runs;
  HsTargetClient *target_client;
  HsStore *store;
  bool store_query_pending;
  HsTime store_queried_at;
  HsTimer *timer;
  struct tevent_immediate *work_event;
  bool work_scheduled;
  HsTime last_iteration_at; /**< When the loop last turned. */
  bool leaving;
  HsTime leaving_since;
  HsTime idle_since; /**< Leaving: no task runs since. */
  bool done;
  hsx_target_state reported_state;
  hsx_target_state logged_state;
  HsAgentPeer peers[HS_ENTRIES_MAX];
  HsMetrics *metrics;
  HsCounter *end_counters[HSX_END_SLOW + 1]; /**< Ends by how. */
  HsHistogram *run_times;
} HsDirectAgent;

/** @name agent_links.c: what entries are told and say @{ */
void hs_agent_links_connected (HsDirectAgent *agent, HsConn *conn);
void
hs_agent_links_disconnected (HsDirectAgent *agent, HsConn *conn, bool refused);
void hs_agent_links_handle_call (HsDirectAgent *agent,
                                 HsConn *conn,
                                 uint32_t proc,
                                 const void *args);
void hs_agent_links_add_end (HsDirectAgent *agent,
                             uint32_t peer_index,
                             const hsx_end *end);
void hs_agent_links_mark_changed (HsDirectAgent *agent);
void hs_agent_links_mark_offer (HsDirectAgent *agent, uint32_t peer_index);

/** Sends reports that are due; returns when the next one is. */
HsTime hs_agent_links_send_reports (HsDirectAgent *agent, HsTime now);

/** Drops entries that are silent or gone; returns when to look again. */
HsTime hs_agent_links_drop_expired (HsDirectAgent *agent, HsTime now);

/** After a pause of this process: entries that were alive meanwhile are heard
 *  at once, from the buffers; the others are gone. */
void hs_agent_links_resume (HsDirectAgent *agent, HsTime now);

uint32_t hs_agent_links_count (const HsDirectAgent *agent);
/** @} */

/** Arranges that all that is due is done after this turn of the loop. */
void hs_direct_agent_schedule (HsDirectAgent *agent);

#endif
