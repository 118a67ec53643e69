/**
 * @file
 * Declarations shared by the files that implement runs.h.
 */
#ifndef HS_DIRECT_RUNS_PRIVATE_H
#define HS_DIRECT_RUNS_PRIVATE_H

#include "direct/breaker.h"
#include "direct/offers.h"
#include "direct/progress_rate.h"
#include "direct/runs.h"
#include "policy/start_rates.h"

/** At most this many runs, however small they are. */
#define HS_RUNS_MAX 1024

/** Polls whose token is remembered. None is sent while the one that many before
 *  it is in flight. */
#define HS_POLL_TOKENS_MAX 16

typedef enum
{
  HS_RUN_FREE,
  HS_RUN_STARTING,      /**< The start call has no result yet. */
  HS_RUN_REPEATING,     /**< The same after earlier ones got no answer, of
                             which one may have been carried out. */
  HS_RUN_START_UNKNOWN, /**< No start call got an answer; waits for a poll
                             with `fence_token`. */
  HS_RUN_RUNNING,
  HS_RUN_STOPPING
} HsRunState;

typedef struct
{
  HsRunState state;
  HsRunKey key;
  char customer[HSX_NAME_MAX + 1];
  uint32_t entry; /**< HS_RUNS_NO_ENTRY: its end is reported to no entry. */
  uint64_t ref;
  hsx_room needs;
  char *spec;
  size_t spec_len;
  HsTime called_at;       /**< When the start call, or the last stop call, was
                               made. */
  HsTime first_called_at; /**< When its first start call was made. */
  HsTime started_at;      /**< At the earliest; 0: the first start call has no
                               result yet. */
  HsTime deadline;
  HsTime expected_time;
  uint64_t fence_token;   /**< In HS_RUN_START_UNKNOWN: the answer to a
                               poll with this token resolves it. */
  uint32_t first_poll;    /**< In HS_RUN_RUNNING: the first poll sent after
                               it was known to run. This one and later ones
                               have to list it. */
  uint64_t start_token;   /**< The lowest among the start calls that may have
                               been carried out. */
  uint32_t start_poll;    /**< The first poll after the last start call. */
  int64_t shown_clock_ms; /**< Of the list that ended HS_RUN_START_UNKNOWN; 0:
                               none. */
  uint32_t n_start_calls; /**< So far. */
  bool stop_requested;
  bool repeated;     /**< Its start got no answer and was called again. The
                          incarnation that runs it may not be the one that got
                          the first call. */
  bool may_have_run; /**< Before its start is answered: it may have run, and
                          no list will tell: the incarnation that was called
                          is over, or its end wasn't read. */
  bool end_read;     /**< A list has its end, as `ended_as`, but not for certain
                          that of the incarnation that runs it. */
  hsx_end_how ended_as;
  uint32_t endpoint;  /**< HsRuns.endpoint when it was started or listed. */
  HsTime renew_until; /**< The lease isn't renewed from then on while the run
                           hasn't ended, as its job may be sent again, which
                           counts from when its caller may have left; 0: no
                           limit. */
  hsx_end_how stop_reported_as; /**< Reported to the entry when the target
                                    lists the run as stopped. */
  int percent;
  HsTime progress_at;
  HsTime slow_threshold; /**< Run time above which the run counts as slow,
                              which the circuit breaker records; 0: none. */
  HsProgressRate progress_rate;
  bool slow;   /**< At its progress rate it exceeds `slow_threshold`. */
  bool listed; /**< In the list that is being processed. */
} HsRun;

#define HS_RUNS_NO_ENTRY UINT32_MAX

struct HsRuns
{
  HsRunsOptions options;
  const HsRunsEffects *effects;
  void *arg;
  bool announced;
  bool draining;  /**< The agent itself. */
  bool evacuated; /**< The target's data centre. */
  HsAnnouncement target;
  HsTime warm_at;            /**< When it has warmed up, by that. */
  uint32_t endpoint;         /**< Counts the targets that were announced. */
  int64_t listed_started_ms; /**< Start of the incarnation that sent the last
                                  list; 0: none. */
  bool list_known;           /**< The target's list has been received. */
  bool target_lost;          /**< It left, or another incarnation listens. */
  bool target_left;          /**< It said that it leaves for good. */
  uint32_t n_unknown_runs;   /**< Listed runs that this agent didn't start. */
  uint64_t token;
  uint64_t acked_end;
  int64_t target_clock_ms; /**< The target's clock... */
  HsTime target_clock_at;  /**< ...at this time; 0: not known. */
  int64_t lease_until_ms;  /**< The last lease requested of this target, on its
                                clock. */
  uint64_t lease_token;   /**< Calls with a lower one may have asked for a lease
                               on the clock of another incarnation. */
  bool lease_token_seen;  /**< The target has seen `lease_token`, and carries
                               out no lower one any more. */
  HsTime other_lease_end; /**< Leases of such calls have expired by then. */
  uint32_t next_poll;
  uint32_t newest_poll;     /**< Number of the newest poll answered, at least
                                 `foreign_poll`. */
  uint32_t foreign_poll;    /**< Polls up to this one may have been answered by
                                 another incarnation. */
  uint32_t polls_in_flight; /**< Polls without a result. */
  uint64_t token_in_flight; /**< The highest token among them. */
  uint64_t min_poll_token;  /**< A poll with this token, or a higher one, has to
                                 be sent although others are in flight. */
  uint64_t poll_tokens[HS_POLL_TOKENS_MAX]; /**< By number of the poll. */
  bool poll_in_flight[HS_POLL_TOKENS_MAX];  /**< The same. */
  HsTime polled_at;                         /**< When the last poll was sent. */
  HsTime poll_not_before; /**< Set after a failed poll; 0: no limit. */
  HsTime answered_at;     /**< Last answer of the target. */
  /** When calls that carried a lease, and may have reached the target, were
   *  made: each of the last polls by its number, and the last of all others. */
  HsTime poll_renewed_at[HS_POLL_TOKENS_MAX];
  HsTime renewed_at;
  uint32_t n_failed_polls;  /**< Consecutive polls without an answer. */
  bool unresponsive;        /**< Polls have failed for too long. */
  HsTime failing_since;     /**< First call without an answer since the last
                                 answer; 0: none. */
  HsTime no_listener_since; /**< First such call for which nothing listened at
                                 the target's address; 0: none. */
  bool announced_since;     /**< It announced itself after that. */
  bool snapshot_taken;      /**< `snapshot` is of this incarnation. */
  bool crash_reported;      /**< The crash of this incarnation was reported. */
  HsCrash snapshot;         /**< What ran when the target stopped answering. */
  HsCrash crash;            /**< The last one that was reported. */
  HsEvidence evidence;      /**< Of the last end. */
  HsStartRates *start_rates;
  HsOffers offers;
  HsBreaker breaker;
  HsBreakerState breaker_state; /**< As last reported by `changed`. */
  uint32_t n_runs;
  HsRun runs[HS_RUNS_MAX];
};

/** Ends a run, reports it to its entry and releases its resources. */
void hs_run_end (HsRuns *runs,
                 HsRun *run,
                 hsx_end_how how,
                 HsRefusal reason,
                 HsEvidenceKind evidence,
                 HsTime now);

/** Calls the target to start a run. */
void hs_run_call_start (HsRuns *runs, HsRun *run, HsTime now);

/** Whether a start call of the run is in progress. */
static inline bool
hs_run_is_starting (const HsRun *run)
{
  return run->state == HS_RUN_STARTING || run->state == HS_RUN_REPEATING;
}

/** Calls the target to stop a run. */
void hs_run_call_stop (HsRuns *runs, HsRun *run, HsTime now);

/** The run with a key, or NULL. */
HsRun *hs_run_find (HsRuns *runs, const HsRunKey *key);

bool hs_run_key_equal (const HsRunKey *a, const HsRunKey *b);

/** Records whether the target answered a call: an answer ends the search for a
 *  crash. */
void hs_runs_note_call_result (HsRuns *runs, HsTargetResult result, HsTime now);

/** The target announced itself, in the incarnation that is known: refused
 *  connections before that are no sign of its end. */
void hs_runs_note_announcement (HsRuns *runs);

/** Reports a crash of the target when nobody listens at its port.
 *  @return when to call it next */
HsTime hs_runs_check_crash (HsRuns *runs, HsTime now);

/** Another incarnation has replaced the target's, which has crashed unless it
 *  had announced that it leaves.
 *  @param list of the other one, NULL if none was read
 *  @param number of the poll that it answers
 *  @param over_before when it was over at the latest; HS_NEVER: not known */
void hs_runs_incarnation_over (HsRuns *runs,
                               const HsTargetList *list,
                               uint32_t number,
                               HsTime over_before);

/** Forgets what is known of the target, as another incarnation seems to listen.
 *  Runs don't end by that; see docs/design/evidence.md. */
void hs_runs_forget_target (HsRuns *runs);

/** Polls sent so far may have been answered by another incarnation. */
void hs_runs_distrust_sent_polls (HsRuns *runs);

/** Whether calls may renew the lease of what runs on the target. */
bool hs_runs_may_renew_lease (const HsRuns *runs, HsTime now);

/** The end of the lease for the next call, on the target's clock in
 *  milliseconds: the last one, unless it may be renewed. */
int64_t hs_runs_next_lease_end (HsRuns *runs, HsTime now);

/** The target has carried out a call with a token. */
void hs_runs_note_token (HsRuns *runs, uint64_t token, HsTime now);

/** Calls sent so far may ask for a lease on the clock of another incarnation.
 */
void hs_runs_distrust_sent_leases (HsRuns *runs);

/** Ends the runs of an unresponsive target once their lease has expired on the
 *  target's own clock. */
void hs_runs_check_lease (HsRuns *runs, HsTime now);

/** Sends polls that are due.
 *  @return when the next one is */
HsTime hs_runs_send_due_polls (HsRuns *runs, HsTime now);

#endif
