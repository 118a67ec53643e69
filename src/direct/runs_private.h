/**
 * @file
 * Shared by the files that keep an agent's runs.
 */
#ifndef HS_DIRECT_RUNS_PRIVATE_H
#define HS_DIRECT_RUNS_PRIVATE_H

#include "direct/offers.h"
#include "direct/progress_rate.h"
#include "direct/runs.h"
#include "direct/breaker.h"

/** At most this many runs, however small they are. */
#define HS_RUNS_MAX 1024

/** Looks whose token is remembered; more than are ever under way. */
#define HS_POLL_TOKENS_MAX 16

typedef enum
{
  HS_RUN_FREE,
  HS_RUN_STARTING,      /**< The start was sent; no answer yet. */
  HS_RUN_START_UNKNOWN, /**< No answer came; waits for the fence. */
  HS_RUN_RUNNING,
  HS_RUN_STOPPING
} HsRunState;

typedef struct
{
  HsRunState state;
  HsRunKey key;
  uint32_t peer; /**< HS_RUNS_NO_PEER: nothing is told of it. */
  uint64_t ref;
  hsx_room needs;
  char *spec;
  size_t spec_len;
  HsTime called_at; /**< Start call, or last stop call. */
  HsTime started_at;
  HsTime deadline;
  HsTime expected_time;
  uint64_t fence_token;   /**< Unsettled: settled by a look with this token. */
  uint32_t first_poll;    /**< On: a later look has to list it. */
  uint32_t n_start_calls; /**< Start calls so far. */
  bool stop_requested;
  hsx_end_how stop_reported_as; /**< What a listed stop is told as. */
  int percent;
  HsTime progress_at;
  HsTime
      slow_threshold; /**< Taking longer shows a slow target; 0: it doesn't. */
  HsProgressRate progress_rate;
  bool slow;   /**< At its pace it takes longer than `slow_threshold`. */
  bool listed; /**< By the list that is being read. */
} HsRun;

#define HS_RUNS_NO_PEER UINT32_MAX

struct HsRuns
{
  HsRunsOptions options;
  const HsRunsEffects *effects;
  void *arg;
  bool announced;
  bool draining; /**< The agent itself. */
  HsAnnouncement target;
  bool list_known;  /**< The target's list is known. */
  bool target_lost; /**< It left, or another incarnation listens there. */
  uint32_t n_unknown_runs; /**< Runs listed that this agent didn't start. */
  uint64_t token;
  uint64_t acked_end;
  int64_t target_clock_ms; /**< The target's clock... */
  HsTime target_clock_at;  /**< ...at this time; 0: not known. */
  uint32_t next_poll;
  uint32_t newest_poll;     /**< Number of the newest look answered. */
  uint32_t polls_in_flight; /**< Looks without a result. */
  uint64_t token_in_flight; /**< The highest token among them. */
  uint64_t poll_tokens[HS_POLL_TOKENS_MAX]; /**< By number of the look. */
  HsTime poll_due;                          /**< Not sooner, after a failure. */
  HsTime answered_at;                       /**< Last answer of the target. */
  HsTime lease_renewed_at; /**< Last look or start that carried a lease. */
  uint32_t n_failed_polls; /**< Looks without an answer in a row. */
  bool unresponsive;       /**< It is taken for silent. */
  HsOffers offers;
  HsBreaker breaker;
  HsBreakerState breaker_state; /**< Of trust, as last told. */
  uint32_t n_runs;
  HsRun runs[HS_RUNS_MAX];
};

/** Ends a run, tells its entry and gives its room back. */
void hs_run_end (HsRuns *runs,
                 HsRun *run,
                 hsx_end_how how,
                 HsRefusal reason,
                 HsTime now);

/** Calls the target to start a run. */
void hs_run_call_start (HsRuns *runs, HsRun *run, HsTime now);

/** Calls the target to stop a run. */
void hs_run_call_stop (HsRuns *runs, HsRun *run, HsTime now);

/** The run of a key, or NULL. */
HsRun *hs_run_find (HsRuns *runs, const HsRunKey *key);

/** All runs of the target's earlier life are gone. */
void hs_runs_end_incarnation (HsRuns *runs, HsTime now);

/** The target's clock, estimated. */
int64_t hs_runs_target_clock (const HsRuns *runs, HsTime now);

/** Sends looks that are due; returns when the next one is. */
HsTime hs_runs_send_due_polls (HsRuns *runs, HsTime now);

#endif
