/**
 * @file
 * The owner of partitions: admits jobs, deduplicates submissions, keeps
 * customers' limits, starts tasks on agents and collects their results.
 *
 * A pure state machine. Everything that arrives is a function call with the
 * present time; everything to be sent leaves through HsOwnerEffects. It reads
 * no clock and does no input or output, so that tests and the fault matrix
 * drive the same code as the entry's core thread.
 */
#ifndef HS_OWNER_OWNER_H
#define HS_OWNER_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "base/time.h"
#include "lists/lists.h"
#include "policy/health.h"
#include "proto/hspoke.h"

typedef struct HsOwner HsOwner;

/** Names one request that waits for its answer; chosen by the caller. */
typedef uint64_t HsWaiter;

typedef struct
{
  uint32_t partitions;   /**< Power of two. */
  HsTime retention;      /**< Ids and answers are kept this long. */
  HsTime id_ahead_max;   /**< Ids may be minted this far in the future. */
  HsTime clock_skew_max; /**< Largest difference of entries' wall clocks. */
  HsTime task_timeout;   /**< Bound on the run time of a task. */
  uint64_t retained_bytes_max; /**< Bound on what is kept of finished jobs. */
  uint64_t seed;               /**< Of the generators used for spreading. */
} HsOwnerConfig;

/** What the owner asks its surroundings to do. All members are required. */
typedef struct
{
  /** Sends a start; a start that can't be sent comes back through
   *  hs_owner_agent_disconnected(). Arguments are valid during the call. */
  void (*start) (void *arg, uint64_t agent, const hsx_start *start);
  /** Calls RECOVER; answered by hs_owner_recover_reply(). */
  void (*recover) (void *arg, uint64_t agent, const hsx_recover_args *args);
  /** Calls SETTLE; answered by hs_owner_settle_reply(). */
  void (*settle) (void *arg, uint64_t agent, const hsx_settle_args *args);
  /** The final answer to a request; valid during the call. */
  void (*answer) (void *arg, HsWaiter waiter, const hsx_answer *answer);
  /** The partition of this request is owned elsewhere now. */
  void (*reroute) (void *arg, HsWaiter waiter);
  /** Asks for a durable claim; answered by hs_owner_claim_completed(). */
  void (*claim) (void *arg,
                 uint32_t part,
                 uint64_t epoch,
                 const char *customer,
                 const char *id,
                 const char digest[HSX_DIGEST_SIZE]);
  /** Asks a peer entry for credits; answered by hs_owner_borrow_reply(). */
  void (*borrow) (void *arg, uint64_t peer, const hsx_borrow_args *args);
  /** Answers hs_owner_borrow_request(). */
  void (*lend) (void *arg, uint64_t peer, const hsx_borrow_reply *reply);
  /** Times of a finished task, for histograms; spans in microseconds. */
  void (*measure) (void *arg,
                   const char *customer,
                   HsTime queued,
                   HsTime run,
                   HsTime total);
} HsOwnerEffects;

/** A partition that this entry has come to own. */
typedef struct
{
  uint32_t part;
  uint64_t epoch;
  uint64_t previous_epoch; /**< The epoch before; 0: it never had an owner. */
  bool handed_over; /**< The owner of that epoch wrote this one's record. */
} HsOwnedPartition;

/** What became of a claim. */
typedef enum
{
  HS_OWNER_CLAIM_WRITTEN,     /**< Durable under this epoch. */
  HS_OWNER_CLAIM_NOT_OWNER,   /**< Another entry owns the partition. */
  HS_OWNER_CLAIM_NOT_WRITTEN, /**< Certain that it was not written. */
  HS_OWNER_CLAIM_UNKNOWN /**< May have been written; the id isn't started. */
} HsOwnerClaimOutcome;

/** Counters; read by the owner's thread. */
typedef struct
{
  uint64_t jobs;
  uint64_t tasks;
  uint64_t resubmissions; /**< Resubmissions that found their job. */
  uint64_t refused_jobs;
  uint64_t starts;
  uint64_t refused_starts; /**< Wasted: the agent refused the start. */
  uint64_t results;
  uint64_t evicted_jobs;   /**< Finished jobs forgotten early, for room. */
  uint64_t late_results;   /**< Wasted: the task was not waiting for it. */
  uint64_t empty_loans;    /**< Wasted: a peer had no credit to lend. */
  uint64_t needless_polls; /**< Wasted: fetched while still running. */
  uint64_t done;
  uint64_t failed;
  uint64_t not_run;
  uint64_t may_have_run;
  uint64_t takeovers;
  uint64_t handovers;
  uint64_t recovered_records; /**< Records that agents gave after a takeover. */
} HsOwnerStats;

HsOwner *hs_owner_new (TALLOC_CTX *ctx,
                       const HsOwnerConfig *config,
                       const HsOwnerEffects *effects,
                       void *arg);

/** The partition of a customer. */
uint32_t hs_partition_of (const char *customer, uint32_t partitions);

/**
 * Takes over new lists; records are copied, so @p lists may go afterwards.
 */
void hs_owner_set_lists (HsOwner *owner, const HsLists *lists, HsNow now);

/** The lease is certain until this monotonic time (0: there is none). */
void hs_owner_set_lease (HsOwner *owner, HsTime valid_until);

/**
 * Since when the caller knows every agent that existed, in wall time.
 */
void hs_owner_set_agents_known_since (HsOwner *owner, int64_t wall_ms);

/** @name Partitions @{ */

/**
 * Begins to own partitions. What was staged by hs_owner_import() counts only
 * for one that was handed over: a copy may be stale in a takeover.
 */
void hs_owner_acquire (HsOwner *owner,
                       uint32_t n,
                       const HsOwnedPartition *parts,
                       HsNow now);

/** Stops to own a partition; its waiters are rerouted, its jobs dropped. */
void hs_owner_release (HsOwner *owner, uint32_t part, HsNow now);

/** True while the partition is owned and neither recovering nor frozen. */
bool hs_owner_is_serving (const HsOwner *owner, uint32_t part);

/** True if the partition is owned in any state. */
bool hs_owner_owns (const HsOwner *owner, uint32_t part);

/** Partitions owned. */
uint32_t hs_owner_n_partitions (const HsOwner *owner);

/** Stops starts and admissions of a partition, before it is handed over. */
void hs_owner_freeze (HsOwner *owner, uint32_t part);

/** Ends a freeze when the handover failed. */
void hs_owner_unfreeze (HsOwner *owner, uint32_t part, HsNow now);

/**
 * The state of a frozen partition in messages of bounded size.
 * @return talloc array of *n messages, children of @p ctx
 */
hsx_handover_args *hs_owner_export (HsOwner *owner,
                                    TALLOC_CTX *ctx,
                                    uint32_t part,
                                    HsNow now,
                                    size_t *n);

/**
 * Stages one such message. It counts only if the partition is then owned as
 * its next epoch, after the message with `last`.
 */
bool hs_owner_import (HsOwner *owner, const hsx_handover_args *args, HsNow now);

/** @} */
/** @name Requests @{ */

/**
 * A request for a customer whose partition is owned here.
 * @param args stays valid until the waiter is answered, rerouted or withdrawn
 */
void hs_owner_request (HsOwner *owner,
                       HsWaiter waiter,
                       const hsx_forward_args *args,
                       HsNow now);

/** Nobody waits for this answer any more; the job goes on. */
void hs_owner_remove_waiter (HsOwner *owner, HsWaiter waiter);

/** Outcome of a claim asked for by the claim effect. */
void hs_owner_claim_completed (HsOwner *owner,
                               const char *customer,
                               const char *id,
                               HsOwnerClaimOutcome outcome,
                               HsNow now);

/**
 * All claims of earlier owners were told by hs_owner_add_claim(). Opaque
 * ids wait until then.
 */
void hs_owner_claims_loaded (HsOwner *owner, uint32_t part, HsNow now);

/** An id that was claimed under an earlier epoch of a partition. */
void hs_owner_add_claim (HsOwner *owner,
                         uint32_t part,
                         const char *customer,
                         const char *id,
                         int64_t claimed_ms,
                         HsNow now);

/** @} */
/** @name Agents @{ */

/** Learns or updates an agent. */
void
hs_owner_update_agent (HsOwner *owner, const hsx_member *member, HsNow now);

/**
 * Every other entry knows the agent: it may be used from now on. Before, the
 * next owner might not know whom to ask what was started.
 */
void hs_owner_agent_visible (HsOwner *owner, uint64_t agent, HsNow now);

/** A connection to the agent is up; credits may come. */
void hs_owner_agent_connected (HsOwner *owner, uint64_t agent, HsNow now);

/** The connection is gone; what was sent is settled when it is back. */
void hs_owner_agent_disconnected (HsOwner *owner, uint64_t agent, HsNow now);

void hs_owner_grant (HsOwner *owner, const hsx_grant_args *args, HsNow now);

void hs_owner_results (HsOwner *owner,
                       uint64_t agent,
                       const hsx_result_args *args,
                       HsNow now);

/** Reply to RECOVER; NULL if the agent could not answer. */
void hs_owner_recover_reply (HsOwner *owner,
                             uint64_t agent,
                             const hsx_recover_reply *reply,
                             HsNow now);

/** Reply to SETTLE; NULL if the agent could not answer. */
void hs_owner_settle_reply (HsOwner *owner,
                            uint64_t agent,
                            const hsx_settle_reply *reply,
                            HsNow now);

/** @} */
/** @name Credits between entries @{ */

/** A peer entry can be asked and may ask; named by its incarnation. */
void hs_owner_peer_connected (HsOwner *owner, uint64_t peer, HsNow now);
void hs_owner_peer_disconnected (HsOwner *owner, uint64_t peer, HsNow now);

/** A peer asks for credits; answered by the lend effect, perhaps later. */
void hs_owner_borrow_request (HsOwner *owner,
                              uint64_t peer,
                              const hsx_borrow_args *args,
                              HsNow now);

/** A peer's answer to the borrow effect; NULL if there was none. */
void hs_owner_borrow_reply (HsOwner *owner,
                            uint64_t peer,
                            const hsx_borrow_reply *reply,
                            HsNow now);

/** Idle credits here. */
uint32_t hs_owner_idle_credits (const HsOwner *owner);

/** @} */

/** Deadlines, timeouts, limits that are open again, retention. */
void hs_owner_tick (HsOwner *owner, HsNow now);

/** When hs_owner_tick() is next needed; HS_NEVER if not. */
HsTime hs_owner_next_tick (const HsOwner *owner);

/** Jobs that are not finished. */
uint32_t hs_owner_unfinished_jobs (const HsOwner *owner);

/** What is kept of finished jobs. */
uint64_t hs_owner_retained_bytes (const HsOwner *owner);

/** Agents known and not gone; connected ones in *connected. */
uint32_t hs_owner_count_agents (const HsOwner *owner, uint32_t *connected);

const HsOwnerStats *hs_owner_stats (const HsOwner *owner);

#endif
