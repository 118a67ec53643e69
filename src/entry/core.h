/**
 * @file
 * The core thread of an entry: connects the decisions of the partition owner
 * (owner/owner.h) to sockets, the store and the HTTP threads. Private to
 * src/entry. "Effects of the owner" are the callbacks in HsOwnerEffects, by
 * which the owner acts.
 */
#ifndef HS_ENTRY_CORE_H
#define HS_ENTRY_CORE_H

#include <urcu/wfcqueue.h>

#include "config/settings.h"
#include "entry/frontend.h"
#include "entry/members.h"
#include "entry/ownership.h"
#include "lists/publish.h"
#include "owner/owner.h"
#include "rpc/conn.h"
#include "store/store.h"

/**
 * Reason in the answer to a forwarded request whose partition has moved: the
 * entry that forwarded it routes it again.
 */
#define HS_MOVED_REASON "moved"

typedef struct HsCore HsCore;
typedef struct HsLinks HsLinks;
typedef struct HsLink HsLink;
typedef struct HsCalls HsCalls;
typedef struct HsLeaseManager HsLeaseManager;
typedef struct HsHandovers HsHandovers;
typedef struct HsReport HsReport;

struct HsCore
{
  struct tevent_context *ev;
  const HsSettings *settings;
  const HsEntrySettings *entry;
  uint64_t incarnation;
  int64_t started_ms;
  /* Unix time in ms since when the entries have known all agents: the earliest
     that any entry reports. */
  int64_t complete_since_ms;
  HsRpc *rpc;
  HsStore *store;
  HsOwner *owner;
  HsMembers *members;
  HsLinks *links;
  HsCalls *calls;
  HsLeaseManager *lease_manager;
  HsHandovers *handovers;
  HsPublishedLists *lists;
  HsFrontend *front;
  struct cds_wfcq_head inbox_head; /* HsJobRequests from the HTTP threads. */
  struct cds_wfcq_tail inbox_tail;
  int inbox_fd;
  struct tevent_timer *tick_timer;
  HsTime tick_at;          /* When `tick_timer` expires. */
  GArray *borrow_requests; /* Unanswered BORROW calls; see peers.c. */
  struct HsClaims *claims;
  struct HsListsSync *sync;
  HsReport *report;
  struct HsVisibility *visibility;
  struct HsAdmin *admin;
  bool leaving; /* A planned stop has begun. */
  bool drained; /* Nothing is left to hand over or to answer. */
  HsTime stop_deadline;
  bool finished; /* The process may exit. */
};

/** @name core.c @{ */

/**
 * Starts the core in the calling thread: listens, and begins to serve.
 * @param ctx parent of the core
 * @param settings of an entry; must outlive the core
 * @return NULL on failure, with @p error set
 */
HsCore *hs_core_new (TALLOC_CTX *ctx,
                     struct tevent_context *ev,
                     const HsSettings *settings,
                     GError **error);

/**
 * Begins a planned stop: hands over the partitions and drains the open
 * requests; sets `finished` when done.
 */
void hs_core_leave (HsCore *core);

/** Whether another entry is known that isn't leaving. */
bool hs_core_other_entry_active (const HsCore *core);

/** Sets the timer for the owner's next tick; to be called after each input. */
void hs_core_schedule_tick (HsCore *core, HsNow now);

/** @} */
/** @name links.c: connections to agents and other entries @{ */

HsLinks *hs_links_new (HsCore *core);

/** Sets the callbacks of a handler; their argument is the HsCore. */
void hs_links_rpc_handler (HsRpcHandler *handler);

/** Connects to a process, and again on each loss until hs_links_release(). */
void hs_links_connect (HsLinks *links,
                       hsx_role role,
                       uint64_t incarnation,
                       const char *address,
                       HsTime now);

/** Stops redialling; an open connection stays until it breaks. */
void hs_links_release (HsLinks *links, uint64_t incarnation);

/** An open connection to a process; NULL if there is none. */
HsConn *hs_links_conn (const HsLinks *links, uint64_t incarnation);

/**
 * Dials the processes whose redial delay is over.
 * @return when the next one is due; HS_NEVER if none is
 */
HsTime hs_links_tick (HsLinks *links, HsTime now);

/**
 * Since when there has been no connection to a process; 0 if there is one or
 * the process is unknown.
 */
HsTime hs_links_down_since (const HsLinks *links, uint64_t incarnation);

/** Calls @p func with one connection of each connected process of a role. */
void hs_links_foreach (HsLinks *links,
                       hsx_role role,
                       void (*func) (void *arg, HsConn *conn),
                       void *arg);

/**
 * Checks the connections to a process; see rpc/probe.h.
 * @param suspected_by the entry that has lost its own connection; 0: none
 */
void
hs_links_probe (HsLinks *links, uint64_t incarnation, uint64_t suspected_by);

/** Sets the keepalive of the connections to a process. */
void hs_links_set_keepalive (HsLinks *links,
                             uint64_t incarnation,
                             HsConnKeepalive keepalive);

/**
 * Queues a start; it is copied and sent with others at the end of this turn
 * of the event loop.
 */
void
hs_links_queue_start (HsLinks *links, uint64_t agent, const hsx_start *start);

/** @} */
/** @name agents.c: agent membership and the owner's calls to agents @{ */

/** The first connection to an agent is up; the last one is lost. */
void hs_agents_conn_up (HsCore *core, HsConn *conn, HsNow now);
void hs_agents_conn_down (HsCore *core, uint64_t agent, HsNow now);

/** The agent's process is known to have terminated. */
void hs_agents_gone (HsCore *core, uint64_t agent, HsNow now);

/** Handles a call from an agent. */
void hs_agents_called (HsCore *core,
                       HsConn *conn,
                       uint32_t proc,
                       HsRpcCallId call,
                       void *args,
                       HsNow now);

/** Merges the agents that another entry sent by MEMBERS. */
void hs_agents_members (HsCore *core,
                        uint64_t entry,
                        const hsx_members_args *args,
                        HsNow now);

/** Sends all known agents to another entry. */
void hs_agents_send_members (HsCore *core, HsConn *conn);

/** Effects of the owner: call RECOVER, or SETTLE, of an agent. */
void
hs_agents_recover (void *arg, uint64_t agent, const hsx_recover_args *args);
void hs_agents_settle (void *arg, uint64_t agent, const hsx_settle_args *args);

/** Declares agents lost that have no connection for too long. */
void hs_agents_tick (HsCore *core, HsNow now);

/** @} */
/** @name suspicions.c: detection of failed agents and entries @{ */

/** The keepalive that this entry's connections to an agent should have. */
HsConnKeepalive hs_suspicions_keepalive (const HsCore *core, uint64_t agent);

/** The last connection to an agent, or to an entry, is lost. */
void hs_suspicions_agent_down (HsCore *core, uint64_t agent);
void hs_suspicions_entry_down (HsCore *core, uint64_t entry);

/** Another entry reports that it has lost its connection to a process. */
void hs_suspicions_handle_suspect (HsCore *core,
                                   uint64_t from,
                                   const hsx_suspect_args *args);

/** An agent or entry checks its connection to this entry: answers PROBE. */
void hs_suspicions_handle_probe (HsCore *core,
                                 HsConn *conn,
                                 HsRpcCallId call,
                                 const hsx_probe_args *args);

/** @} */
/** @name peers.c: other entries
 *
 * An entry with waiting tasks borrows idle credits from another entry by a
 * BORROW call. A credit permits the start of one task in a free slot of an
 * agent; the borrower may use it until its stamp is HS_LOAN_LIFETIME old (see
 * policy/agent_credits.h). @{ */

/** The first connection to another entry is up; the last one is lost. */
void hs_peers_conn_up (HsCore *core, HsConn *conn, HsNow now);
void hs_peers_conn_down (HsCore *core, uint64_t peer, HsNow now);

/** Handles a call from another entry. */
void hs_peers_handle_call (HsCore *core,
                           HsConn *conn,
                           uint32_t proc,
                           HsRpcCallId call,
                           void *args,
                           HsNow now);

/** Drops the BORROW calls that came by a closed connection. */
void hs_peers_drop_borrow_requests (HsCore *core, const HsConn *conn);
GArray *hs_peers_borrow_requests_new (void);

/**
 * Requests a promise of an entry; see promises.h.
 * @param duration 0: only makes this entry known to it
 */
void hs_peers_request_promise (HsCore *core,
                               uint64_t peer,
                               HsTime duration,
                               HsNow now);

/** Makes this entry known to all connected entries. */
void hs_peers_announce_to_all (HsCore *core);

/** Effects of the owner: calls BORROW; answers a peer's BORROW. */
void
hs_peers_send_borrow (void *arg, uint64_t peer, const hsx_borrow_args *args);
void
hs_peers_reply_borrow (void *arg, uint64_t peer, const hsx_borrow_reply *reply);

/** @} */
/** @name calls.c: requests of callers, direct or forwarded by entries @{ */

HsCalls *hs_calls_new (HsCore *core);

/** Routes a request that came by HTTP. */
void hs_calls_local (HsCalls *calls, HsJobRequest *call, HsNow now);

/** Passes a request that another entry forwarded to the owner. */
void hs_calls_remote (HsCalls *calls,
                      HsConn *conn,
                      HsRpcCallId call,
                      const hsx_forward_args *args,
                      HsNow now);

/** Drops the requests that were forwarded by a connection that is closed. */
void hs_calls_conn_down (HsCalls *calls, HsConn *conn);

/** Routes the waiting requests of a partition to its new owner. */
void hs_calls_part_moved (HsCalls *calls, uint32_t part, HsNow now);

/** Retries the requests that could not be routed. */
void hs_calls_tick (HsCalls *calls, HsNow now);

/** Effects of the owner: answer a request; route it again. */
void hs_calls_answer (void *arg, HsWaiter waiter, const hsx_answer *answer);
void hs_calls_reroute (void *arg, HsWaiter waiter);

/** The number of requests without an answer. */
uint32_t hs_calls_waiting (const HsCalls *calls);

/** @} */
/** @name lease_manager*.c: the lease, and the records in the store @{ */

HsLeaseManager *hs_lease_manager_new (HsCore *core);

/** Does what is due: leases, reads, takeovers, handovers. */
void hs_lease_manager_tick (HsLeaseManager *manager, HsNow now);

/** The incarnation of a partition's owner; 0 if none is known. */
uint64_t hs_lease_manager_owner_of (const HsLeaseManager *manager,
                                    uint32_t part);

/** Marks this entry as leaving, so that no partition is moved to it. */
void hs_lease_manager_announce_leaving (HsLeaseManager *manager);

/** Revokes the lease, after all partitions were handed over. */
void hs_lease_manager_revoke (HsLeaseManager *manager);

/** Reads the partition records again, as the outcome of a write is unknown. */
void hs_lease_manager_reread_parts (HsLeaseManager *manager);

/**
 * Applies partition records that this entry has written, without waiting for
 * the watch.
 * @param handed_over true: this entry was the owner and wrote them in a
 *        handover; false: it took the partitions over
 */
void hs_lease_manager_apply_own_write (HsLeaseManager *manager,
                                       const uint32_t *parts,
                                       uint32_t n,
                                       uint64_t owner,
                                       bool handed_over,
                                       int64_t revision);
const HsOwnership *hs_lease_manager_view (const HsLeaseManager *manager);

/** Whether the view was read under the lease that is held. */
bool hs_lease_manager_ready (const HsLeaseManager *manager);

/** Until when this entry may start tasks; not at all if 0 or in the past. */
HsTime hs_lease_manager_lease_until (const HsLeaseManager *manager);

/**
 * Answers another entry's request for a promise; see promises.h.
 * @return whether the promise is given
 */
bool hs_lease_manager_give_promise (HsLeaseManager *manager,
                                    uint64_t owner,
                                    HsTime duration,
                                    HsNow now);

/** Another entry's reply to a promise request that was sent at @p sent. */
void hs_lease_manager_promise_reply (HsLeaseManager *manager,
                                     uint64_t peer,
                                     bool promised,
                                     HsTime sent,
                                     HsNow now);

/** Another entry's process is known to have terminated. */
void hs_lease_manager_peer_terminated (HsLeaseManager *manager, uint64_t peer);

/**
 * Stops requiring the promise of another entry and stops redialling it, if it
 * is neither connected nor has a record in the store. If the records were last
 * read before it was last reported as known, they are read again first.
 */
void hs_lease_manager_peer_down (HsLeaseManager *manager, uint64_t peer);

/** @} */
/** @name handover.c: planned moves of partitions to other entries @{ */

HsHandovers *hs_handovers_new (HsCore *core);

/** Requests the move of a partition; ignored while it is being moved. */
void hs_handovers_request (HsHandovers *handovers,
                           uint64_t new_owner,
                           uint32_t part,
                           HsNow now);

/** Starts the moves requested since the last call. */
void hs_handovers_start (HsHandovers *handovers, HsNow now);

/**
 * The partition records were read again: takes the partitions back whose move
 * was given up and whose records are unchanged.
 */
void hs_handovers_parts_reread (HsHandovers *handovers, HsNow now);

/** @} */

/** @name records.c: the lists and the claims of opaque ids
 *
 * A job id that is not a UUIDv7 is opaque: it doesn't show when it was
 * created, so it is claimed in the store before its tasks start. @{ */

/** Starts to read and watch the lists. */
void hs_records_start (HsCore *core);

/** Loads the claims of a partition that is now owned; drops them when it no
 *  longer is. */
void hs_records_owned (HsCore *core, uint32_t part, int64_t revision);
void hs_records_disowned (HsCore *core, uint32_t part);

/** Effect of the owner: claims a job id in the store. */
void hs_records_claim (void *arg,
                       uint32_t part,
                       uint64_t epoch,
                       const char *customer,
                       const char *id,
                       const char digest[HSX_DIGEST_SIZE]);

/** @} */

/** @name report.c: status and metrics @{ */

HsReport *hs_report_new (HsCore *core);

/** The JSON of /v1/status and the text of /metrics, allocated below @p ctx. */
char *hs_report_status (void *arg, TALLOC_CTX *ctx, HsNow now);
char *hs_report_metrics (void *arg, TALLOC_CTX *ctx, HsNow now);

/** Counts the durations of a task (@p whole is 0) or of a job. */
void hs_report_measure (HsReport *report,
                        const char *customer,
                        HsTime queued,
                        HsTime run,
                        HsTime whole);

/** @} */

/** main() of `hibiscusspoke entry`. */
int hs_entry_main (int argc, char **argv);

#endif
