/**
 * @file
 * Shared by the files of the entry of direct jobs.
 */
#ifndef HS_DIRECT_ENTRY_PRIVATE_H
#define HS_DIRECT_ENTRY_PRIVATE_H

#include "base/timer.h"
#include "direct/dialer.h"
#include "direct/jobs.h"
#include "direct/process.h"
#include "direct/routes.h"
#include "metrics/metrics.h"
#include "platform/caller_server.h"
#include "platform/settings.h"
#include "store/store.h"

/** Other entries at once; more than the largest deployment has. */
#define HS_PEERS_MAX 255

/** Orders that wait for the end of the loop's turn. */
typedef struct
{
  TALLOC_CTX *ctx;  /**< Of everything in it; NULL: it is empty. */
  GArray *launches; /**< hsx_launch. */
  GArray *stops;    /**< uint64_t. */
} HsOutbox;

/** An agent by its target's handle. */
typedef struct
{
  HsConn *conn; /**< NULL: lost since `lost_at`. */
  HsTime lost_at;
  HsTime ordered_at; /**< Last orders. */
  bool asked;        /**< It was told what waits here. */
  bool answer_due;   /**< The agent keeps room until it hears. */
  HsOutbox outbox;
} HsAgentLink;

/** Another entry. */
typedef struct
{
  bool used;
  HsConn *conn;
  char address[HSX_ADDRESS_MAX + 1];
  uint64_t incarnation;
  int64_t revision; /**< Of the configuration that it is known to have. */
} HsEntryPeer;

typedef enum
{
  HS_ENTRY_SERVING,
  HS_ENTRY_DRAINING /**< Told to stop. */
} HsEntryStage;

typedef struct
{
  struct tevent_context *ev;
  HsPlatformSettings *settings;
  char *settings_path;
  HsReload *reload;
  HsTime reload_at;
  uint64_t incarnation;
  HsCallerServer *callers;
  HsRpc *rpc;
  HsDialer *dialer;
  HsTargets *targets;
  HsJobs *jobs;
  HsTimer *timer;
  struct tevent_immediate *turn;
  HsTime alive_at;   /**< When the loop last turned. */
  HsTime thaw_until; /**< Requests that come before may be old. */
  HsTime term_at;
  HsEntryStage stage;
  bool done;
  bool turn_scheduled;
  bool handing_on; /**< Requests that were kept are being taken. */
  bool pump_due;
  HsAgentLink *links; /**< By target handle. */
  uint32_t n_links;
  uint32_t ask_next; /**< Which agent is asked next. */
  HsEntryPeer peers[HS_PEERS_MAX];
  /** @name The configuration; entry_config.c @{ */
  HsStore *store;
  HsStoreWatch *watch;
  HsRoutes *routes; /**< NULL: none yet. */
  bool read_failed; /**< The store has failed to tell it. */
  GPtrArray *early; /**< Requests kept; see entry_early.c. */
  char *config_text;
  size_t config_len;
  int64_t config_revision;
  HsTime config_at;    /**< When it came. */
  HsTime ask_at;       /**< When another entry is asked; HS_NEVER: not. */
  uint32_t asked_last; /**< Which was asked last. */
  HsTime read_at;      /**< When it is read; HS_NEVER: not now. */
  /** @} */
  /** @name The entry's key in the store; entry_key.c @{ */
  int64_t lease;
  HsTime key_due;
  /** @} */
  bool reading;   /**< The configuration. */
  bool key_busy;  /**< A call about the key is under way. */
  bool key_there; /**< The key was written under the lease. */
  HsMetrics *metrics;
  HsCounter *answers[HS_ANSWER_CANCELLED + 1];
  HsHistogram *waits;
  HsHistogram *latencies;
} HsDirectEntry;

/** @name entry_config.c: the operators' configuration @{ */
void hs_entry_config_start (HsDirectEntry *entry);
HsTime hs_entry_config_tick (HsDirectEntry *entry, HsTime now);
void hs_entry_config_peer_up (HsDirectEntry *entry, HsEntryPeer *peer);
void hs_entry_config_take (HsDirectEntry *entry,
                           HsEntryPeer *peer,
                           const hsx_configuration_args *args);
/** @} */

/** @name entry_early.c: requests before the first configuration @{ */

/** Keeps a request until the first configuration is there; false if it isn't
 *  worth waiting for. */
bool hs_entry_early_keep (HsDirectEntry *entry,
                          const HsCallerRequest *request,
                          HsTime now);

/** Hands what is kept on, once there is a configuration or no hope of one;
 *  returns when it has to be called next. */
HsTime hs_entry_early_tick (HsDirectEntry *entry, HsTime now);

/** A caller has gone. */
void hs_entry_early_drop (HsDirectEntry *entry, uint64_t handle);

/** Takes a request, as it came from its caller. */
void hs_entry_request (HsDirectEntry *entry, const HsCallerRequest *request);
/** @} */

/** @name entry_key.c: this entry's key in the store @{ */
HsTime hs_entry_key_tick (HsDirectEntry *entry, HsTime now);
/** Removes it, as a planned stop begins. */
void hs_entry_key_end (HsDirectEntry *entry);
/** @} */

/** @name entry_links.c: agents and other entries @{ */
void hs_entry_links_up (HsDirectEntry *entry, HsConn *conn);
void hs_entry_links_down (HsDirectEntry *entry, HsConn *conn);
void hs_entry_links_call (HsDirectEntry *entry,
                          HsConn *conn,
                          uint32_t proc,
                          const void *args);
uint32_t hs_entry_links_launch (HsDirectEntry *entry,
                                uint32_t target,
                                const hsx_launch *job,
                                const hsx_launch_task *task);
void hs_entry_links_stop (HsDirectEntry *entry, uint32_t target, uint64_t ref);

/** Sends orders that are due; returns when the next ones are. */
HsTime hs_entry_links_flush (HsDirectEntry *entry, HsTime now);

/** Gives up agents that are silent or gone; returns when to look again. */
HsTime hs_entry_links_check (HsDirectEntry *entry, HsTime now);

void hs_entry_links_thaw (HsDirectEntry *entry, HsTime now);

/** Whether any target may be used. */
bool hs_entry_links_any (const HsDirectEntry *entry);
/** @} */

/** Arranges that all that is due is done after this turn of the loop.
 *  @param pump whether jobs may be placed */
void hs_entry_schedule (HsDirectEntry *entry, bool pump);

#endif
