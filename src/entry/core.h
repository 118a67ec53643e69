/**
 * @file
 * The core thread of an entry: connects the owner's decisions to sockets,
 * the store and the HTTP threads. Shared by the files of this part only.
 */
#ifndef HS_ENTRY_CORE_H
#define HS_ENTRY_CORE_H

#include <urcu/wfcqueue.h>

#include "config/settings.h"
#include "entry/front.h"
#include "entry/members.h"
#include "entry/ownership.h"
#include "lists/publish.h"
#include "owner/owner.h"
#include "rpc/conn.h"
#include "store/store.h"

/** Reason of an answer that tells the other entry to route anew. */
#define HS_MOVED_REASON "moved"

typedef struct HsCore HsCore;
typedef struct HsLinks HsLinks;
typedef struct HsLink HsLink;
typedef struct HsCalls HsCalls;
typedef struct HsKeeper HsKeeper;
typedef struct HsHandovers HsHandovers;
typedef struct HsReport HsReport;

struct HsCore
{
  struct tevent_context *ev;
  const HsSettings *settings;
  const HsEntrySettings *entry;
  uint64_t incarnation;
  int64_t started_ms;
  int64_t complete_since_ms; /* Since when all agents are known. */
  HsRpc *rpc;
  HsStore *store;
  HsOwner *owner;
  HsMembers *members;
  HsLinks *links;
  HsCalls *calls;
  HsKeeper *keeper;
  HsHandovers *handovers;
  HsPublishedLists *lists;
  HsFront *front;
  struct cds_wfcq_head inbox_head;
  struct cds_wfcq_tail inbox_tail;
  int inbox_fd;
  struct tevent_timer *tick;
  HsTime tick_at;
  GArray *questions; /* Of peers for credits; see peers.c. */
  struct HsClaims *claims;
  struct HsListsSync *sync;
  HsReport *report;
  struct HsIntroductions *introductions;
  struct HsAdmin *admin;
  bool leaving;
  bool drained;
  HsTime leave_until;
  bool finished;
};

/** @name core.c @{ */

HsCore *hs_core_new (TALLOC_CTX *ctx,
                     struct tevent_context *ev,
                     const HsSettings *settings,
                     GError **error);

/** Begins a planned stop: hand over, drain, then `finished`. */
void hs_core_leave (HsCore *core);

/** Whether an entry that isn't leaving is known besides this one. */
bool hs_core_other_entry_stays (const HsCore *core);

/** Sets the timer for the owner's next tick; after each input. */
void hs_core_rearm (HsCore *core, HsNow now);

/** @} */
/** @name links.c: connections to agents and other entries @{ */

HsLinks *hs_links_new (HsCore *core);
void hs_links_rpc_handler (HsRpcHandler *handler);

/** Keeps a connection to a process up until hs_links_forget(). */
void hs_links_want (HsLinks *links,
                    hsx_role role,
                    uint64_t incarnation,
                    const char *address,
                    HsTime now);
void hs_links_forget (HsLinks *links, uint64_t incarnation);

/** A connection that is up, or NULL. */
HsConn *hs_links_conn (const HsLinks *links, uint64_t incarnation);

/** Redials what is due; returns when to call again. */
HsTime hs_links_tick (HsLinks *links, HsTime now);

/** Since when there is no connection; 0: there is one, or unknown. */
HsTime hs_links_down_since (const HsLinks *links, uint64_t incarnation);

/** Calls back for each process of a role that is connected. */
void hs_links_each (HsLinks *links,
                    hsx_role role,
                    void (*func) (void *arg, HsConn *conn),
                    void *arg);

/** Checks the connections to a process; see rpc/probe.h. */
void
hs_links_probe (HsLinks *links, uint64_t incarnation, uint64_t suspected_by);

/** Sets the keepalive of the connections to a process. */
void hs_links_watch (HsLinks *links, uint64_t incarnation, HsConnWatch watch);

/** Queues a start; sent with others at the end of the turn. */
void hs_links_start (HsLinks *links, uint64_t agent, const hsx_start *start);

/** @} */
/** @name agents.c: membership and the owner's calls to agents @{ */

void hs_agents_conn_up (HsCore *core, HsConn *conn, HsNow now);
void hs_agents_conn_down (HsCore *core, uint64_t agent, HsNow now);

/** The agent's process is gone for certain. */
void hs_agents_gone (HsCore *core, uint64_t agent, HsNow now);
void hs_agents_called (HsCore *core,
                       HsConn *conn,
                       uint32_t proc,
                       HsRpcCallId call,
                       void *args,
                       HsNow now);
void hs_agents_members (HsCore *core,
                        uint64_t entry,
                        const hsx_members_args *args,
                        HsNow now);
void hs_agents_send_members (HsCore *core, HsConn *conn);
void
hs_agents_recover (void *arg, uint64_t agent, const hsx_recover_args *args);
void hs_agents_settle (void *arg, uint64_t agent, const hsx_settle_args *args);
void hs_agents_tick (HsCore *core, HsNow now);

/** @} */
/** @name suspicions.c: who watches whom, and what a loss leads to @{ */

/** The keepalive of this entry's connections to an agent. */
HsConnWatch hs_suspicions_watch (const HsCore *core, uint64_t agent);

/** There is no connection to an agent, or to an entry, any more. */
void hs_suspicions_agent_down (HsCore *core, uint64_t agent);
void hs_suspicions_entry_down (HsCore *core, uint64_t entry);

/** Another entry has lost a process. */
void
hs_suspicions_told (HsCore *core, uint64_t from, const hsx_suspect_args *args);

/** An agent or entry checks its connection to this entry. */
void hs_suspicions_probed (HsCore *core,
                           HsConn *conn,
                           HsRpcCallId call,
                           const hsx_probe_args *args);

/** @} */
/** @name peers.c: other entries @{ */

void hs_peers_conn_up (HsCore *core, HsConn *conn, HsNow now);
void hs_peers_conn_down (HsCore *core, uint64_t peer, HsNow now);
void hs_peers_called (HsCore *core,
                      HsConn *conn,
                      uint32_t proc,
                      HsRpcCallId call,
                      void *args,
                      HsNow now);
/** Drops questions that came by a connection that is gone. */
void hs_peers_forget_conn (HsCore *core, const HsConn *conn);
GArray *hs_peers_questions_new (void);
/** Asks for a promise; a span of 0 only makes this entry known. */
void hs_peers_ask_promise (HsCore *core, uint64_t peer, HsTime span, HsNow now);
void hs_peers_greet_all (HsCore *core);
void hs_entry_borrow (void *arg, uint64_t peer, const hsx_borrow_args *args);
void hs_entry_lend (void *arg, uint64_t peer, const hsx_borrow_reply *reply);

/** @} */
/** @name calls.c: requests of callers, here and from other entries @{ */

HsCalls *hs_calls_new (HsCore *core);
void hs_calls_local (HsCalls *calls, HsFrontCall *call, HsNow now);
void hs_calls_remote (HsCalls *calls,
                      HsConn *conn,
                      HsRpcCallId call,
                      const hsx_forward_args *args,
                      HsNow now);

/** The connection is gone: nobody waits for those answers any more. */
void hs_calls_conn_down (HsCalls *calls, HsConn *conn);

/** The partition has another owner: what was forwarded goes there. */
void hs_calls_part_moved (HsCalls *calls, uint32_t part, HsNow now);

/** Tries again what could not be routed. */
void hs_calls_tick (HsCalls *calls, HsNow now);
void hs_calls_answer (void *arg, HsWaiter waiter, const hsx_answer *answer);
void hs_calls_reroute (void *arg, HsWaiter waiter);
uint32_t hs_calls_waiting (const HsCalls *calls);

/** @} */
/** @name keeper*.c: lease, ownership records and watches in the store @{ */

HsKeeper *hs_keeper_new (HsCore *core);
void hs_keeper_tick (HsKeeper *keeper, HsNow now);

/** The owner of a partition; 0 if none is known. */
uint64_t hs_keeper_owner_of (const HsKeeper *keeper, uint32_t part);

/** Announces that this entry is leaving, so that nothing moves here. */
void hs_keeper_leave (HsKeeper *keeper);

/** Ends the lease at once, after everything was handed over. */
void hs_keeper_revoke (HsKeeper *keeper);
/** Reads the records of partitions anew: a write's outcome is not known. */
void hs_keeper_reread (HsKeeper *keeper);

/** Applies owner records that this entry wrote, ahead of the watch. */
void hs_keeper_wrote (HsKeeper *keeper,
                      const uint32_t *parts,
                      uint32_t n,
                      uint64_t owner,
                      bool handed_over,
                      int64_t revision);
const HsOwnership *hs_keeper_view (const HsKeeper *keeper);
/** Whether the view was read under the lease that is held. */
bool hs_keeper_ready (const HsKeeper *keeper);

/** Until when this entry may start tasks; 0 or past: it may not. */
HsTime hs_keeper_lease_until (const HsKeeper *keeper);

/** Another entry asks for a promise; see promises.h. */
bool
hs_keeper_promise (HsKeeper *keeper, uint64_t owner, HsTime span, HsNow now);

/** Another entry's answer to a question sent at @p sent. */
void hs_keeper_promised (HsKeeper *keeper,
                         uint64_t peer,
                         bool promised,
                         HsTime sent,
                         HsNow now);

/** Another entry's process is gone for certain. */
void hs_keeper_peer_gone (HsKeeper *keeper, uint64_t peer);

/** There is no connection to another entry any more. */
void hs_keeper_peer_down (HsKeeper *keeper, uint64_t peer);

/** @} */
/** @name handover.c: planned moves of partitions @{ */

HsHandovers *hs_handovers_new (HsCore *core);

/** Notes that a partition should move; ignored while it is moving. */
void hs_handovers_want (HsHandovers *handovers,
                        uint64_t target,
                        uint32_t part,
                        HsNow now);

/** Begins the moves wanted since the last call. */
void hs_handovers_start (HsHandovers *handovers, HsNow now);

/** The view is fresh: moves whose write did not show are called off. */
void hs_handovers_reread (HsHandovers *handovers, HsNow now);

/** @} */

/** @name records.c: the lists and the claims of opaque ids @{ */

void hs_records_start (HsCore *core);
void hs_records_owned (HsCore *core, uint32_t part, int64_t revision);
void hs_records_disowned (HsCore *core, uint32_t part);
void hs_records_claim (void *arg,
                       uint32_t part,
                       uint64_t epoch,
                       const char *customer,
                       const char *id,
                       const char digest[HSX_DIGEST_SIZE]);

/** @} */

/** @name report.c: status and metrics @{ */

HsReport *hs_report_new (HsCore *core);
char *hs_report_status (void *arg, TALLOC_CTX *ctx, HsNow now);
char *hs_report_metrics (void *arg, TALLOC_CTX *ctx, HsNow now);

/** Counts the times of a task (@p whole 0) or of a job. */
void hs_report_measure (HsReport *report,
                        const char *customer,
                        HsTime queued,
                        HsTime run,
                        HsTime whole);

/** @} */

/** int main of `hibiscusspoke entry`. */
int hs_entry_main (int argc, char **argv);

#endif
