/**
 * @file
 * The owner of partitions: admits jobs, deduplicates submissions, enforces the
 * customers' limits, starts tasks on agents and collects their results.
 *
 * It is a pure state machine. Every message or event that arrives is a function
 * call with the current time; every message to be sent leaves through
 * HsOwnerEffects. The owner reads no clock and does no input or output, so that
 * tests and the fault matrix drive the same code as the entry's core thread.
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

/** Identifies one request that waits for its answer; chosen by the caller. */
typedef uint64_t HsWaiter;

typedef struct
{
  uint32_t partitions; /**< Number of partitions, a power of two. */
  HsTime retention;    /**< How long ids and answers are retained. */
  HsTime id_ahead_max; /**< How far in the future the time of an id may be. */
  HsTime
      clock_skew_max;  /**< Bound on the difference of entries' wall clocks. */
  HsTime task_timeout; /**< Bound on the run time of a task. */
  uint64_t retained_bytes_max;   /**< Bound on the memory of finished jobs. */
  uint64_t unfinished_bytes_max; /**< Bound on the bodies of tasks of jobs that
                                      aren't finished; 0: none. */
  uint64_t seed;                 /**< Of the random generators. */
} HsOwnerConfig;

/**
 * What the owner asks its caller to do. All members are required. An agent or
 * a peer (another entry) is identified by its incarnation.
 */
typedef struct
{
  /** Sends a start to an agent. If it can't be sent, the caller calls
   *  hs_owner_agent_disconnected(). @p start is valid during the call. */
  void (*start) (void *arg, uint64_t agent, const hsx_start *start);
  /** Calls RECOVER on an agent; the caller passes the reply to
   *  hs_owner_recover_reply(). */
  void (*recover) (void *arg, uint64_t agent, const hsx_recover_args *args);
  /** Calls SETTLE on an agent; the caller passes the reply to
   *  hs_owner_settle_reply(). */
  void (*settle) (void *arg, uint64_t agent, const hsx_settle_args *args);
  /** Sends the final answer to a request. @p answer is valid during the
   *  call. */
  void (*answer) (void *arg, HsWaiter waiter, const hsx_answer *answer);
  /** Routes a request again, as this entry does not own its partition or its
   *  lease has expired. */
  void (*reroute) (void *arg, HsWaiter waiter);
  /** Writes a durable claim of an opaque id to the store; the caller passes
   *  the outcome to hs_owner_claim_completed(). An opaque id is one that is
   *  not a UUIDv7, so that it does not show when it was created. */
  void (*claim) (void *arg,
                 uint32_t part,
                 uint64_t epoch,
                 const char *customer,
                 const char *id,
                 const char digest[HSX_DIGEST_SIZE]);
  /** Asks a peer entry for credits; the caller passes the reply to
   *  hs_owner_borrow_reply(). */
  void (*borrow) (void *arg, uint64_t peer, const hsx_borrow_args *args);
  /** Replies to a peer's request, which hs_owner_borrow_request() passed. */
  void (*lend) (void *arg, uint64_t peer, const hsx_borrow_reply *reply);
  /** Records durations for the histograms; HsTime is in microseconds. Called
   *  for each finished task, with @p total 0, and for each finished job, with
   *  @p run 0 and in @p queued the longest wait of its tasks. */
  void (*measure) (void *arg,
                   const char *customer,
                   HsTime queued,
                   HsTime run,
                   HsTime total);
} HsOwnerEffects;

/** A partition that this entry has acquired. */
typedef struct
{
  uint32_t part;
  uint64_t epoch;
  uint64_t previous_epoch; /**< 0: it never had an owner. */
  bool handed_over;        /**< The previous owner wrote the epoch record to
                                the store in a handover; false: taken over, or
                                never owned before. */
} HsOwnedPartition;

/** Outcome of a claim. */
typedef enum
{
  HS_OWNER_CLAIM_WRITTEN,     /**< Durable under the current epoch. */
  HS_OWNER_CLAIM_NOT_OWNER,   /**< Another entry owns the partition. */
  HS_OWNER_CLAIM_NOT_WRITTEN, /**< It was certainly not written. */
  HS_OWNER_CLAIM_UNKNOWN      /**< It may have been written; no task of the
                                      id has been started. */
} HsOwnerClaimOutcome;

/** Counters, to be read in the thread that drives the owner. Those marked
 *  "Wasted" are exported as hibiscusspoke_wasted_messages_total. */
typedef struct
{
  uint64_t jobs;
  uint64_t tasks;
  uint64_t resubmissions; /**< Submissions of an id that is already known. */
  uint64_t refused_jobs;
  uint64_t starts;
  uint64_t refused_starts; /**< Wasted: starts that an agent refused. */
  uint64_t results;
  uint64_t evicted_jobs;   /**< Finished jobs removed early for memory. */
  uint64_t late_results;   /**< Wasted: results that no task waits for. */
  uint64_t empty_loans;    /**< Wasted: replies of peers without credits. */
  uint64_t needless_polls; /**< Wasted: fetches of a job still running. */
  uint64_t done;
  uint64_t failed;
  uint64_t not_run;
  uint64_t may_have_run;
  uint64_t contained; /**< Customers contained, as their tasks crash targets. */
  uint64_t takeovers;
  uint64_t handovers;
  uint64_t recovered_records; /**< Start records in RECOVER replies. */
} HsOwnerStats;

/**
 * Creates an owner of no partitions.
 * @param config is copied
 * @param effects is copied; its functions are called with @p arg
 * @return talloc object, child of @p ctx
 */
HsOwner *hs_owner_new (TALLOC_CTX *ctx,
                       const HsOwnerConfig *config,
                       const HsOwnerEffects *effects,
                       void *arg);

/** The number of the partition that all jobs of a customer belong to. */
uint32_t hs_partition_of (const char *customer, uint32_t partitions);

/**
 * Applies new lists of plans and allowances.
 * @param lists is copied
 */
void hs_owner_set_lists (HsOwner *owner, const HsLists *lists, HsNow now);

/** Sets the monotonic time until which the lease is valid (0: no lease). */
void hs_owner_set_lease (HsOwner *owner, HsTime valid_until);

/**
 * Sets the wall time since which the caller knows every agent that existed.
 * An agent lost before may have run tasks that nobody can report.
 */
void hs_owner_set_agents_known_since (HsOwner *owner, int64_t wall_ms);

/** @name Partitions @{ */

/**
 * Acquires partitions and recovers the state of their tasks from the agents.
 * Jobs staged by hs_owner_import() are used only for a partition that was
 * handed over: in a takeover the staged copy may be stale.
 */
void hs_owner_acquire (HsOwner *owner,
                       uint32_t n,
                       const HsOwnedPartition *parts,
                       HsNow now);

/** Releases a partition: reroutes its requests and drops its jobs. */
void hs_owner_release (HsOwner *owner, uint32_t part, HsNow now);

/** True if the partition is owned and neither recovering nor frozen. */
bool hs_owner_is_serving (const HsOwner *owner, uint32_t part);

/** True if the partition is owned, whatever its state. */
bool hs_owner_owns (const HsOwner *owner, uint32_t part);

/** Number of partitions owned. */
uint32_t hs_owner_n_partitions (const HsOwner *owner);

/** Stops starts and admissions in a partition, before it is handed over. */
void hs_owner_freeze (HsOwner *owner, uint32_t part);

/** Resumes a frozen partition whose handover failed. */
void hs_owner_unfreeze (HsOwner *owner, uint32_t part, HsNow now);

/**
 * Exports the state of a frozen partition as messages of bounded size.
 * @param n receives the number of messages
 * @return talloc array, child of @p ctx; the messages refer to data of the
 *   owner and are valid until its next call
 */
hsx_handover_args *hs_owner_export (HsOwner *owner,
                                    TALLOC_CTX *ctx,
                                    uint32_t part,
                                    HsNow now,
                                    size_t *n);

/**
 * Stages one exported message. The staged jobs are used if the message with
 * `last` has arrived and the partition is then acquired by a handover from
 * the epoch of the messages.
 * @return false if the partition number is invalid or the partition is owned
 */
bool hs_owner_import (HsOwner *owner, const hsx_handover_args *args, HsNow now);

/** @} */
/** @name Requests @{ */

/**
 * Serves a request to submit, fetch or cancel a job. A request for a partition
 * that is not owned here is rerouted.
 * @param args must stay valid until the waiter is answered, rerouted or removed
 */
void hs_owner_request (HsOwner *owner,
                       HsWaiter waiter,
                       const hsx_forward_args *args,
                       HsNow now);

/** Removes a waiter, which gets no answer; its job continues. */
void hs_owner_remove_waiter (HsOwner *owner, HsWaiter waiter);

/** Passes the outcome of a claim that the claim effect asked for. */
void hs_owner_claim_completed (HsOwner *owner,
                               const char *customer,
                               const char *id,
                               HsOwnerClaimOutcome outcome,
                               HsNow now);

/**
 * Reports that hs_owner_add_claim() was called for all claims of earlier
 * owners of the partition. Submissions of unknown opaque ids wait until then.
 */
void hs_owner_claims_loaded (HsOwner *owner, uint32_t part, HsNow now);

/** Adds an id that was claimed under an earlier epoch of a partition. */
void hs_owner_add_claim (HsOwner *owner,
                         uint32_t part,
                         const char *customer,
                         const char *id,
                         int64_t claimed_ms,
                         HsNow now);

/** @} */
/** @name Agents @{ */

/**
 * Adds or updates an agent. In state LEFT or LOST, the tasks sent to it end as
 * "may have run"; UP makes a lost agent usable again.
 */
void
hs_owner_update_agent (HsOwner *owner, const hsx_member *member, HsNow now);

/**
 * Reports that every other entry knows the agent, which may be used from now
 * on. If it were used before, the next owner of a partition might not know that
 * it has to ask this agent for its starts.
 */
void hs_owner_agent_visible (HsOwner *owner, uint64_t agent, HsNow now);

/** Reports that a connection to the agent is up. */
void hs_owner_agent_connected (HsOwner *owner, uint64_t agent, HsNow now);

/**
 * Reports that the connection to the agent is lost. Starts that were sent on it
 * are settled once the agent is connected again.
 */
void hs_owner_agent_disconnected (HsOwner *owner, uint64_t agent, HsNow now);

/** Takes a GRANT: its credits replace the idle ones of that agent. */
void hs_owner_grant (HsOwner *owner, const hsx_grant_args *args, HsNow now);

/** Takes results of tasks that an agent sent, with the credits they return. */
void hs_owner_results (HsOwner *owner,
                       uint64_t agent,
                       const hsx_result_args *args,
                       HsNow now);

/** Takes the reply to RECOVER; NULL if the agent did not answer. */
void hs_owner_recover_reply (HsOwner *owner,
                             uint64_t agent,
                             const hsx_recover_reply *reply,
                             HsNow now);

/** Takes the reply to SETTLE; NULL if the agent did not answer. */
void hs_owner_settle_reply (HsOwner *owner,
                            uint64_t agent,
                            const hsx_settle_reply *reply,
                            HsNow now);

/** @} */
/** @name Credits between entries @{ */

/**
 * Adds a peer entry, from which credits may be borrowed and to which credits
 * may be lent.
 * @param peer incarnation of the entry
 */
void hs_owner_peer_connected (HsOwner *owner, uint64_t peer, HsNow now);

/** Removes a peer entry. */
void hs_owner_peer_disconnected (HsOwner *owner, uint64_t peer, HsNow now);

/**
 * Takes a request of a peer for credits. The lend effect replies to it,
 * possibly later.
 */
void hs_owner_borrow_request (HsOwner *owner,
                              uint64_t peer,
                              const hsx_borrow_args *args,
                              HsNow now);

/** Takes the reply to the borrow effect; NULL if the peer did not answer. */
void hs_owner_borrow_reply (HsOwner *owner,
                            uint64_t peer,
                            const hsx_borrow_reply *reply,
                            HsNow now);

/** Number of idle credits that this entry holds. */
uint32_t hs_owner_idle_credits (const HsOwner *owner);

/** @} */

/** Handles the crash of a target, as its agent reports it: a customer whose
 * tasks crash targets is served on a few of them only. */
void
hs_owner_target_crashed (HsOwner *owner, const hsx_crash *crash, HsNow now);

/**
 * Handles what is due: deadlines, timeouts, rate limits that allow starts
 * again, recoveries and the end of retention.
 */
void hs_owner_tick (HsOwner *owner, HsNow now);

/** When hs_owner_tick() must be called next, or HS_NEVER. */
HsTime hs_owner_next_tick (const HsOwner *owner);

/** Number of jobs that are not finished. */
uint32_t hs_owner_unfinished_jobs (const HsOwner *owner);

/** Memory that finished jobs take. */
uint64_t hs_owner_retained_bytes (const HsOwner *owner);

/**
 * Number of agents that are known and not lost.
 * @param connected receives the number of connected agents
 */
uint32_t hs_owner_count_agents (const HsOwner *owner, uint32_t *connected);

const HsOwnerStats *hs_owner_stats (const HsOwner *owner);

#endif
