/**
 * @file
 * The runs on an agent's target: grants resources, starts, monitors and stops
 * runs, and resolves starts whose answer was lost. Only makes decisions: calls
 * to the target are made through HsRunsEffects, and their results are passed
 * in as events.
 *
 * Load pattern: a steady stream of starts of 10 to 1000 ms, in which a few
 * calls in a hundred get no answer and may be carried out seconds later, and
 * targets that hang, die and come back. Resources are never granted twice: a
 * start without an answer holds its resources until the target has seen a
 * higher fencing token.
 */
#ifndef HS_DIRECT_RUNS_H
#define HS_DIRECT_RUNS_H

#include <talloc.h>

#include "direct/target.h"

typedef struct HsRuns HsRuns;

/** Why a launch is refused; sent in hsx_end.reason. */
typedef enum
{
  HS_REFUSAL_NONE,
  HS_REFUSAL_STALE,      /**< The order is older than ORDER_AGE_MAX. */
  HS_REFUSAL_LEAVING,    /**< Target or agent accepts no new tasks. */
  HS_REFUSAL_RESOURCES,  /**< Not enough free resources. */
  HS_REFUSAL_NO_TARGET,  /**< No target that is known and listens. */
  HS_REFUSAL_TARGET,     /**< The target refused the start or is lost. */
  HS_REFUSAL_UNANSWERED, /**< No answer; fenced, so that it never starts. */
  HS_REFUSAL_DUPLICATE,  /**< This task runs here already. */
  HS_REFUSAL_DEADLINE,   /**< The job's deadline has passed. */
  HS_REFUSAL_EVACUATED   /**< The target's data centre is evacuated, or whether
                              it is isn't known yet. */
} HsRefusal;

/** What showed that a run is over. */
typedef enum
{
  HS_EVIDENCE_NONE,     /**< It was refused before it was started. */
  HS_EVIDENCE_ANSWER,   /**< The answer to its start. */
  HS_EVIDENCE_LISTED,   /**< A list has its end. */
  HS_EVIDENCE_MISSING,  /**< It was running, and a list doesn't have it. */
  HS_EVIDENCE_FENCED,   /**< Its start had no answer, and the list of a poll
                             with a raised token doesn't have it. */
  HS_EVIDENCE_REPLACED, /**< Another incarnation answered a poll. */
  HS_EVIDENCE_LEASE     /**< The lease has expired. */
} HsEvidenceKind;

typedef struct
{
  HsEvidenceKind kind;
  uint32_t poll;          /**< The last poll answered. */
  int64_t list_clock_ms;  /**< The target's clock in that answer; 0: none. */
  uint32_t start_poll;    /**< The first poll sent after the start. */
  uint32_t first_poll;    /**< The first poll that had to list the run; 0: it
                               wasn't known to run. */
  int64_t shown_clock_ms; /**< The target's clock in the list that showed the
                               run first; 0: its start was answered. */
} HsEvidence;

/** Names for log lines. */
const char *hs_refusal_name (HsRefusal refusal);
const char *hs_end_name (hsx_end_how how);
const char *hs_evidence_name (HsEvidenceKind kind);
const char *hs_crash_stage_name (hsx_crash_stage stage);

typedef struct
{
  HsTime lease;        /**< Length of the lease that the agent requests; the
                            target grants at least this. */
  HsTime max_lease;    /**< The longest that the target grants. */
  HsTime stop_timeout; /**< How long the target takes for a stop at most. */
} HsRunsOptions;

/** A task that ran, or may have run, on a target when it crashed. */
typedef struct
{
  HsRunKey key;
  bool certain; /**< If the target crashed, it ran then: the target had answered
                     its start, and it can't have ended before. */
  char customer[HSX_NAME_MAX + 1];
  HsTime age;                 /**< Time from its start to the crash. */
  HsTime young_until;         /**< It can't have ended before. */
  double customer_jobs_per_s; /**< That usually start on this target. */
} HsCrashTask;

/** A crash of the target: it ended without having announced that it leaves. */
typedef struct
{
  uint32_t number; /**< Counts the crashes that this agent has seen, from 1. */
  hsx_crash_stage stage;
  HsTime at;   /**< First call that failed. */
  bool silent; /**< Its connections didn't break, so that `at` is known to
                    the length of a poll only. */
  uint32_t n_tasks;
  HsCrashTask tasks[HSX_CRASH_TASKS_MAX]; /**< The youngest ones. */
} HsCrash;

/** Calls that the module makes. The results of `start` and `poll` are passed
 *  to hs_runs_start_done() and hs_runs_poll_done(). */
typedef struct
{
  void (*start) (void *arg, uint32_t run, const HsTargetStart *start);
  /** Gives up the start call of @p run; its result is no longer needed. */
  void (*abandon_start) (void *arg, uint32_t run);
  void (*stop) (void *arg, const HsRunKey *key, uint64_t token);
  void (*poll) (void *arg, const HsTargetPoll *poll);
  void (*ended) (void *arg,
                 uint32_t entry,
                 const HsRunKey *key,
                 const hsx_end *end);
  /** The free resources or the target's state have changed. */
  void (*changed) (void *arg);
  /** Resources are reserved for an entry until it answers; the offer is to be
   *  sent to it at once. */
  void (*offered) (void *arg, uint32_t entry);
  /** The target seems to have crashed; called once for each crash. */
  void (*crashed) (void *arg, const HsCrash *crash);
  /** The stage of the last crash has changed. */
  void (*crash_settled) (void *arg, const HsCrash *crash);
  /** A list shows a run, or an end, that this agent doesn't know, or knows as
   *  over; for log lines. May be NULL.
   *  @param list_clock_ms the target's clock in the list */
  void (*unmatched) (void *arg,
                     const HsRunKey *key,
                     bool ended,
                     uint32_t poll,
                     int64_t list_clock_ms);
} HsRunsEffects;

/** @param first_token above all tokens of earlier incarnations of the agent */
HsRuns *hs_runs_new (TALLOC_CTX *ctx,
                     const HsRunsOptions *options,
                     uint64_t first_token,
                     const HsRunsEffects *effects,
                     void *arg);

/** The target announced itself. An announcement that is late or repeated
 *  changes nothing.
 *  @return false if the announcement is no newer than what is known */
bool hs_runs_target_announced (HsRuns *runs,
                               const HsAnnouncement *announcement,
                               HsTime now);

/** The target of this name left. */
void hs_runs_target_left (HsRuns *runs, const char *name, HsTime now);

/** The target's last announcement, owned by @p runs; NULL before the first. */
const HsAnnouncement *hs_runs_target (const HsRuns *runs);

/**
 * Handles an entry's launch of one task. When this returns, either the start
 * call is under way, or `ended` was called with a refusal.
 * @param entry the entry's handle, a small number
 * @param sent when the entry sent the launch, on this host's clock
 */
void hs_runs_launch (HsRuns *runs,
                     uint32_t entry,
                     const hsx_launch *launch,
                     const hsx_launch_task *task,
                     HsTime sent,
                     HsTime now);

/** An entry stops its task; `ended` follows unless it has ended already.
 *  @param over_since when the task's job may have ended, at the earliest, on
 *         this host's clock: its caller may be gone for longer than the order
 *         took */
void hs_runs_stop (HsRuns *runs,
                   uint32_t entry,
                   uint64_t ref,
                   HsTime over_since,
                   HsTime now);

/** An entry is lost: its tasks are stopped, and their ends aren't reported. */
void hs_runs_entry_lost (HsRuns *runs, uint32_t entry, HsTime now);

/** Lists an entry's tasks that haven't ended.
 *  @param refs receives the first @p n of their refs
 *  @return how many were stored */
uint32_t hs_runs_active_refs (const HsRuns *runs,
                              uint32_t entry,
                              uint64_t *refs,
                              uint32_t n);

/** Records an entry's backlog as its orders state it.
 *  @param report_time as for hs_offers_set_backlog() */
void hs_runs_set_backlog (HsRuns *runs,
                          uint32_t entry,
                          const hsx_want *backlog,
                          HsTime report_time);

/** Refuses all launches from now on. */
void hs_runs_drain (HsRuns *runs);

/** Sets whether the target's data centre is evacuated: then all launches are
 *  refused, nothing is offered, and start calls aren't repeated. What runs goes
 *  on. */
void hs_runs_set_evacuated (HsRuns *runs, bool evacuated);

/** The result of a start call. */
void hs_runs_start_done (HsRuns *runs,
                         uint32_t run,
                         HsTargetResult result,
                         HsTime now);

/** The result of a poll.
 *  @param number of the poll
 *  @param list NULL unless the result is HS_TARGET_OK */
void hs_runs_poll_done (HsRuns *runs,
                        uint32_t number,
                        HsTargetResult result,
                        const HsTargetList *list,
                        HsTime now);

/** The agent goes on after a pause. Its host may have been suspended, with a
 *  target whose clock didn't count that time: leases count from now on, and
 *  none is granted before a list tells the target's clock.
 *  @param length of the pause */
void hs_runs_resume (HsRuns *runs, HsTime length, HsTime now);

/** Performs what is due.
 *  @return when it has to be called next */
HsTime hs_runs_tick (HsRuns *runs, HsTime now);

/** The resources that an entry would be granted if it launched tasks now. */
hsx_room hs_runs_available (const HsRuns *runs, uint32_t entry, HsTime now);

/** Time until the target has warmed up, as it announced last; 0: it has. */
HsTime hs_runs_warmup_left (const HsRuns *runs, HsTime now);

hsx_target_state hs_runs_target_state (const HsRuns *runs);

/** Why the target isn't ready, as a word for log lines. */
const char *hs_runs_unavailable_reason (const HsRuns *runs);

/** The key of a run, for log lines; NULL if the run has ended. */
const HsRunKey *hs_runs_key (const HsRuns *runs, uint32_t run);

/** What ended the last run that ended, for log lines; valid during `ended`. */
const HsEvidence *hs_runs_last_evidence (const HsRuns *runs);

/** The last crash of the target, owned by @p runs; NULL before the first. */
const HsCrash *hs_runs_last_crash (const HsRuns *runs);

/** Number of runs that haven't ended. */
uint32_t hs_runs_count (const HsRuns *runs);

#endif
