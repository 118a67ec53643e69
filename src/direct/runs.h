/**
 * @file
 * What runs on an agent's target: grants room, starts, watches and stops
 * runs, and settles starts whose answer is lost. Decides only; calls to the
 * target leave through effects and their results come back as events.
 *
 * Load pattern: a steady stream of starts of 10 to 1000 ms, in which a few
 * orders in a hundred get no answer and may be carried out seconds later, and
 * targets that hang, die and come back. Room is never granted twice: a start
 * without an answer keeps its room until a higher fencing token has been seen
 * by the target.
 */
#ifndef HS_DIRECT_RUNS_H
#define HS_DIRECT_RUNS_H

#include <talloc.h>

#include "direct/target.h"

typedef struct HsRuns HsRuns;

/** Why a launch is refused; carried in hsx_end.reason. */
typedef enum
{
  HS_REFUSAL_NONE,
  HS_REFUSAL_STALE,      /**< The order is older than ORDER_AGE_MAX. */
  HS_REFUSAL_LEAVING,    /**< Target or agent takes nothing new. */
  HS_REFUSAL_RESOURCES,  /**< Not enough room. */
  HS_REFUSAL_NO_TARGET,  /**< No target that is known and listens. */
  HS_REFUSAL_TARGET,     /**< The target refused or is gone. */
  HS_REFUSAL_UNANSWERED, /**< No answer; fenced, so that it never starts. */
  HS_REFUSAL_DUPLICATE,  /**< This task runs here already. */
  HS_REFUSAL_DEADLINE    /**< No time is left. */
} HsRefusal;

/** Words for logs. */
const char *hs_refusal_name (HsRefusal refusal);
const char *hs_end_name (hsx_end_how how);

typedef struct
{
  HsTime lease;        /**< The longest that the target grants. */
  HsTime stop_timeout; /**< The target's bound on a stop. */
} HsRunsOptions;

/** What the module asks for. Calls are answered by the functions below. */
typedef struct
{
  void (*start) (void *arg, uint32_t run, const HsTargetStart *start);
  /** Gives up the start call of @p run; its result isn't wanted. */
  void (*abandon_start) (void *arg, uint32_t run);
  void (*stop) (void *arg, const HsRunKey *key, uint64_t token);
  void (*poll) (void *arg, const HsTargetPoll *poll);
  void (*ended) (void *arg,
                 uint32_t peer,
                 const HsRunKey *key,
                 const hsx_end *end);
  /** Room or state have changed. */
  void (*changed) (void *arg);
  /** Room is kept for an entry until it answers; it is told at once. */
  void (*offered) (void *arg, uint32_t peer);
} HsRunsEffects;

/** @param first_token above all tokens of earlier lives of the agent */
HsRuns *hs_runs_new (TALLOC_CTX *ctx,
                     const HsRunsOptions *options,
                     uint64_t first_token,
                     const HsRunsEffects *effects,
                     void *arg);

/** The target announced itself; a late or repeated word changes nothing.
 *  Returns false if the announcement is older than what is known. */
bool hs_runs_target_announced (HsRuns *runs,
                               const HsAnnouncement *announcement,
                               HsTime now);

/** The target of this name left. */
void hs_runs_target_left (HsRuns *runs, const char *name, HsTime now);

/** What is known of the target; NULL before its first word. */
const HsAnnouncement *hs_runs_target (const HsRuns *runs);

/**
 * An entry's launch of one task. Either it is under way when this returns,
 * or `ended` was called with a refusal.
 * @param peer the entry, a small handle
 * @param sent when the entry sent it, by this host's clock
 */
void hs_runs_launch (HsRuns *runs,
                     uint32_t peer,
                     const hsx_launch *launch,
                     const hsx_launch_task *task,
                     HsTime sent,
                     HsTime now);

/** An entry stops its task; `ended` follows unless it has ended already. */
void hs_runs_stop (HsRuns *runs, uint32_t peer, uint64_t ref, HsTime now);

/** An entry is gone: its tasks are stopped, nothing more is told to it. */
void hs_runs_peer_lost (HsRuns *runs, uint32_t peer, HsTime now);

/** The refs of an entry's tasks that haven't ended. */
uint32_t hs_runs_active_refs (const HsRuns *runs,
                              uint32_t peer,
                              uint64_t *refs,
                              uint32_t n);

/** What waits at an entry, as its orders say. @param report_time the time of
 * the last report that the entry had */
void hs_runs_set_backlog (HsRuns *runs,
                          uint32_t peer,
                          const hsx_want *backlog,
                          HsTime report_time);

/** Takes nothing new from here on. */
void hs_runs_drain (HsRuns *runs);

void hs_runs_start_done (HsRuns *runs,
                         uint32_t run,
                         HsTargetResult result,
                         HsTime now);

/** @param list NULL unless the result is HS_TARGET_OK */
void hs_runs_poll_done (HsRuns *runs,
                        uint32_t number,
                        HsTargetResult result,
                        const HsTargetList *list,
                        HsTime now);

/** Does what is due; returns when it has to be called next. */
HsTime hs_runs_tick (HsRuns *runs, HsTime now);

/** Room that is granted to an entry, if it asks now. */
hsx_room hs_runs_available (const HsRuns *runs, uint32_t peer, HsTime now);

hsx_target_state hs_runs_target_state (const HsRuns *runs);

/** Why the target takes nothing; a word for logs. */
const char *hs_runs_unavailable_reason (const HsRuns *runs);

/** Which start a run is, for logs; NULL if it has ended. */
const HsRunKey *hs_runs_key (const HsRuns *runs, uint32_t run);

/** Tasks that have not ended. */
uint32_t hs_runs_count (const HsRuns *runs);

#endif
