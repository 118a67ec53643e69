/**
 * @file
 * State and functions shared by the source files of the direct entry.
 */
#ifndef HS_DIRECT_ENTRY_PRIVATE_H
#define HS_DIRECT_ENTRY_PRIVATE_H

#include "base/timer.h"
#include "direct/callers_check.h"
#include "direct/cancelled_jobs.h"
#include "direct/dialer.h"
#include "direct/evacuations.h"
#include "direct/jobs.h"
#include "direct/process.h"
#include "direct/routes.h"
#include "metrics/metrics.h"
#include "platform/caller_server.h"
#include "platform/settings.h"
#include "store/store.h"

/** Maximum number of connected other entries; the largest deployment has
 *  fewer. */
#define HS_PEERS_MAX 255

/** Orders to one agent, collected until the end of the loop iteration. */
typedef struct
{
  TALLOC_CTX *ctx;  /**< Owns the content; NULL if the outbox is empty. */
  GArray *launches; /**< Of hsx_launch. */
  GArray *stops;    /**< Of uint64_t: references of the starts to stop. */
  /** Since when the jobs of the stops may have been over. */
  HsTime stops_since;
} HsOutbox;

/** The connection to an agent; indexed by the handle of its target. */
typedef struct
{
  HsConn *conn; /**< NULL: disconnected since `disconnected_at`. */
  /** The agent has listed what it holds. What was launched before that could be
   *  taken as never started. */
  bool reconciled;
  HsTime disconnected_at;
  HsTime orders_sent_at; /**< When orders were last sent. */
  /** The agent's clock, at the earliest, when its last report was read. */
  HsTime agent_clock;
  HsTime agent_clock_at; /**< When that was; 0: no report has been read. */
  /** Stops of jobs that were over before this have reached the agent. */
  HsTime delivered_until;
  uint32_t
      probe_orders;   /**< Orders that the agent hasn't confirmed; 0: none. */
  HsTime probe_until; /**< `delivered_until`, once it has. */
  bool backlog_sent;  /**< The last orders reported a backlog. */
  /** The agent reserves resources for its offer until it receives orders. */
  bool offer_unanswered;
  HsOutbox outbox;
} HsAgentLink;

/** The connection to another entry. */
typedef struct
{
  bool used;
  HsConn *conn;
  char address[HSX_ADDRESS_MAX + 1];
  uint64_t incarnation;
  /** Revision of the configuration that the peer last reported or was sent. */
  int64_t config_revision;
  /** Revision of the evacuations that the peer last sent or was sent. */
  int64_t evacuations_revision;
} HsEntryPeer;

typedef enum
{
  HS_ENTRY_SERVING,
  HS_ENTRY_DRAINING /**< A stop was requested. */
} HsEntryStage;

typedef struct
{
  struct tevent_context *ev;
  HsPlatformSettings *settings;
  char *settings_path;
  HsSettingsWatch *settings_watch;
  HsTime settings_check_at; /**< When to check the settings file again. */
  uint64_t incarnation;
  HsCallerServer *callers;
  HsRpc *rpc;
  HsDialer *dialer;
  HsTargets *targets;
  HsJobs *jobs;
  HsTimer *timer;
  HsTimer *callers_timer;
  HsCallersCheck callers_check;
  HsPauseWatch *pause_watch;
  struct tevent_immediate *work_immediate;
  /** After a pause of the process: jobs submitted until then may have waited in
   *  a socket buffer and are refused. */
  HsTime resume_until;
  HsTime stop_requested_at;
  HsEntryStage stage;
  bool done;            /**< The event loop may end. */
  bool paused;          /**< Jobs may be overdue because of a pause. */
  bool work_scheduled;  /**< `work_immediate` is pending. */
  bool processing_held; /**< Held requests are being processed. */
  bool dispatch_due;    /**< Waiting tasks may have become startable. */
  HsAgentLink *links;   /**< By target handle. */
  uint32_t n_links;
  /** Round-robin position of the next agent to send the backlog to. */
  uint32_t next_backlog_agent;
  HsEntryPeer peers[HS_PEERS_MAX];
  HsCancelledJobs *cancelled_jobs; /**< Cancelled here or elsewhere. */
  uint32_t n_cancels; /**< Cancel requests that wait for other entries. */
  /** @name The operators' configuration; entry_config.c @{ */
  HsStore *store;
  HsStoreWatch *config_watch; /**< Of the configuration's key. */
  HsRoutes *routes;           /**< NULL until a configuration is applied. */
  bool config_read_failed;    /**< A read from the store has failed. */
  GPtrArray *held_requests;   /**< Held requests; see entry_held_requests.c. */
  char *config_text;
  size_t config_len;
  int64_t config_revision;
  HsTime config_applied_at;
  HsTime config_ask_at;       /**< When to ask a peer, or HS_NEVER. */
  uint32_t config_last_asked; /**< Index of the peer that was asked last. */
  HsTime config_read_at;      /**< When to read the store, or HS_NEVER. */
  /** @} */
  /** @name Evacuations of data centres; entry_evacuation.c @{ */
  HsEvacuations *evacuations;   /**< NULL: evacuation is not in use. */
  const char *evacuations_from; /**< Where the change came from that is being
                                     applied, for log lines. */
  /** Of the last read of the evacuations; the watch follows on it. */
  int64_t evacuations_read_revision;
  /** @} */
  /** @name The entry's key in the store; entry_key.c @{ */
  int64_t key_lease;   /**< The store's lease of the key. */
  HsTime key_call_at;  /**< When the store is next called about the key. */
  HsTime key_write_at; /**< When the key is written again. */
  /** @} */
  /** @name Flags of entry_config.c and entry_key.c @{ */
  bool config_read_pending; /**< A read of the configuration is in flight. */
  bool key_call_pending;    /**< A store call about the key is in flight. */
  bool key_written;         /**< The key was written under `key_lease`. */
  /** @} */
  HsMetrics *metrics;
  HsCounter *answer_counters[HS_ANSWER_CANCELLED + 1];
  HsCounter *containment_counter;
  HsHistogram *wait_histogram;
  HsHistogram *latency_histogram;
} HsDirectEntry;

/** @name entry_config.c: the operators' configuration @{ */
/** Starts the first read of the configuration from the store. */
void hs_entry_config_start (HsDirectEntry *entry);

/** Makes the store reads and peer requests that are due; returns when to call
 *  it next. */
HsTime hs_entry_config_tick (HsDirectEntry *entry, HsTime now);

/** Announces this entry's configuration revision to a new peer. */
void hs_entry_config_peer_connected (HsDirectEntry *entry, HsEntryPeer *peer);

/** Handles a CONFIGURATION message: applies the text in it, sends the text to
 *  a peer that is behind, or schedules a request to a peer that is ahead. */
void hs_entry_config_receive (HsDirectEntry *entry,
                              HsEntryPeer *peer,
                              const hsx_configuration_args *args);
/** @} */

/** @name entry_evacuation.c: evacuations of data centres @{ */
/** Prepares for evacuations, if the settings ask for that. To be called once
 *  targets and jobs exist. */
void hs_entry_evacuations_start (HsDirectEntry *entry);

/** Whether jobs may be placed: the evacuations are known or not in use. */
bool hs_entry_evacuations_allow_jobs (const HsDirectEntry *entry);

/** Applies the reply to a read of HS_EVACUATION_PREFIX.
 *  @return false if it isn't a complete one */
bool hs_entry_evacuations_read (HsDirectEntry *entry,
                                const HsStoreReply *reply);

/** Applies events of a watch of the operators' keys; ignores other keys. */
void hs_entry_evacuations_watch (HsDirectEntry *entry,
                                 const HsStoreWatchUpdate *update);

/** Sends the evacuations to an entry that has connected. */
void hs_entry_evacuations_peer_connected (HsDirectEntry *entry,
                                          HsEntryPeer *peer);

/** Sends the evacuations to an agent that has connected. */
void hs_entry_evacuations_agent_connected (HsDirectEntry *entry, HsConn *conn);

/** Handles EVACUATIONS of another entry. */
void hs_entry_evacuations_receive (HsDirectEntry *entry,
                                   HsEntryPeer *peer,
                                   const hsx_evacuations_args *args);
/** @} */

/** @name entry_held_requests.c: requests before the first configuration @{ */

/** Holds a copy of a request until the first configuration is applied.
 *  @return false if the request is not held: a read of the configuration has
 *          failed, held requests are being processed, or too many are held */
bool hs_entry_held_requests_add (HsDirectEntry *entry,
                                 const HsCallerRequest *request,
                                 HsTime now);

/** Processes the held requests once a configuration is applied, a read of it
 *  has failed, or their holding time is over; returns when to call it next. */
HsTime hs_entry_held_requests_tick (HsDirectEntry *entry, HsTime now);

/** Drops the held request of a caller that has disconnected, if any. */
void hs_entry_held_requests_drop (HsDirectEntry *entry, uint64_t handle);

/** @} */

/** @name entry_requests.c: callers' requests @{ */

/** Processes a caller's request; answers it now, later, or when its job has
 *  ended. */
void hs_entry_handle_request (HsDirectEntry *entry,
                              const HsCallerRequest *request);
/** @} */

/** @name entry_cancel.c: cancelling with the other entries @{ */
/** Asks the other entries to cancel a job, and answers the request: cancelled
 * by one; no such job, as all of them say so; not known, as one doesn't answer.
 *  @return false if too many requests wait for such answers */
bool hs_entry_cancel_ask (HsDirectEntry *entry,
                          uint64_t request,
                          const char *customer,
                          const char *id);

/** Answers another entry's CANCEL_JOB, and remembers the job as cancelled. */
void hs_entry_cancel_answer (HsDirectEntry *entry,
                             HsConn *conn,
                             HsRpcCallId call,
                             const hsx_cancel_job_args *args,
                             HsTime now);

/** Tells all connected entries of a job that was cancelled here. */
void hs_entry_cancel_notify (HsDirectEntry *entry,
                             const char *customer,
                             const char *id);

/** Tells an entry that has connected of the jobs cancelled lately: it may have
 *  missed messages, or have restarted and remember none. */
void hs_entry_cancel_peer_connected (HsDirectEntry *entry,
                                     HsEntryPeer *peer,
                                     HsTime now);

/** Handles another entry's JOB_CANCELLED: cancels those jobs that are in
 *  progress here, and remembers all. */
void hs_entry_cancel_receive (HsDirectEntry *entry,
                              const hsx_job_cancelled_args *args,
                              HsTime now);
/** @} */

/** @name entry_key.c: this entry's key in the store @{ */
/** Writes the key, or renews its lease, when that is due; returns when to call
 *  it next. */
HsTime hs_entry_key_tick (HsDirectEntry *entry, HsTime now);

/** Revokes the lease and so removes the key, when a planned stop begins. */
void hs_entry_key_remove (HsDirectEntry *entry);
/** @} */

/** @name entry_orders.c: orders to agents @{ */
/** Queues the start of a task for the next orders to the target's agent.
 *  @return the number of those orders, or 0 if the agent is not connected */
uint32_t hs_entry_orders_launch (HsDirectEntry *entry,
                                 uint32_t target,
                                 const hsx_launch *job,
                                 const hsx_launch_task *task);
/** Queues the stop of the start @p ref for the next orders, or takes back its
 *  launch if that hasn't been sent; does nothing if the agent is not connected,
 *  as its first report then shows what is to be stopped. */
void hs_entry_orders_stop (HsDirectEntry *entry, uint32_t target, uint64_t ref);

/** Sends the orders that are due; returns when to call it next. */
HsTime hs_entry_orders_flush (HsDirectEntry *entry, HsTime now);

/** Notes what a report tells of the agent's clock, and of the orders that have
 *  reached it. */
void hs_entry_orders_note_report (HsAgentLink *link,
                                  const hsx_report_args *report,
                                  HsTime now);

/** The queued stops are of starts that the agent has listed as held, after an
 *  earlier connection broke: their stops may have been lost with it. */
void hs_entry_orders_note_lost_stops (HsAgentLink *link);

/** Drops the orders that are queued. */
void hs_entry_orders_clear (HsOutbox *outbox);
/** @} */

/** @name entry_links.c: agents and other entries @{ */
/** Handles a connection whose HELLO exchange is complete. */
void hs_entry_links_connected (HsDirectEntry *entry, HsConn *conn);

/** Handles the end of a connection. */
void hs_entry_links_disconnected (HsDirectEntry *entry, HsConn *conn);

/** Handles a message from an agent or another entry. */
void hs_entry_links_handle_call (HsDirectEntry *entry,
                                 HsConn *conn,
                                 uint32_t proc,
                                 HsRpcCallId call,
                                 const void *args);
/** The link of a target's agent; valid until the next target is added. */
HsAgentLink *hs_entry_links_at (HsDirectEntry *entry, uint32_t target);

/** Gives up agents that have timed out or have not reconnected; returns when
 *  to call it next. */
HsTime hs_entry_links_check_timeouts (HsDirectEntry *entry, HsTime now);

/** Restarts the timeouts of all connected agents after a pause of this
 *  process. */
void hs_entry_links_resume (HsDirectEntry *entry, HsTime now);

/** Whether any connected target is ready to run tasks. */
bool hs_entry_links_any_ready (const HsDirectEntry *entry);
/** @} */

/** Schedules the due work for the end of this event loop iteration.
 *  @param dispatch whether waiting tasks may have become startable */
void hs_entry_schedule (HsDirectEntry *entry, bool dispatch);

#endif
