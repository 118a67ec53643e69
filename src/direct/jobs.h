/**
 * @file
 * Direct jobs. The entry that receives a direct job runs it itself and keeps it
 * in memory only, for as long as its caller waits. Other jobs are forwarded to
 * their owner, the entry that owns the job's partition (see owner/owner.h). The
 * module only decides: admission, order, placement, retries, and when a job is
 * abandoned. It acts through HsJobsEffects.
 *
 * Load pattern: short jobs of 1 to 390 tasks that, for seconds at a time, need
 * more resources than are free; targets that fail, hang and disappear while
 * they run tasks. A job that can't start soon is refused while nothing of it
 * has run. As resources become free, they go to tasks of the waiting job with
 * the highest rank, and the rank rises with the share of the job that has been
 * started. A job that can no longer finish in time is stopped at once.
 */
#ifndef HS_DIRECT_JOBS_H
#define HS_DIRECT_JOBS_H

#include <talloc.h>

#include "direct/demand.h"
#include "direct/targets.h"
#include "policy/containment.h"

typedef struct HsJobs HsJobs;

/** A job as its caller submits it. Strings are copied. */
typedef struct
{
  uint64_t request; /**< The caller's handle; returned with the answer. */
  const char *id;
  const char *customer;
  const char *service;
  const char *spec;
  size_t spec_len;
  uint32_t n_tasks;
  hsx_room needs;           /**< Resources of each task. */
  HsTime declared_run_time; /**< Run time of a task; 0 if none was given. */
  HsTime time_left;         /**< Until the caller's deadline. */
  uint32_t max_failures;    /**< Failures of one task that fail the job. */
  double slack_factor;      /**< The objective for the job's total time is this
                                 times the expected run time... */
  HsTime slack;             /**< ...plus this. */
} HsSubmission;

typedef enum
{
  HS_ANSWER_COMPLETED,
  HS_ANSWER_FAILED,  /**< A task has failed max_failures times, or
                        HS_CRASHES_MAX targets have crashed under it. */
  HS_ANSWER_REFUSED, /**< No task has run, and none will. */
  HS_ANSWER_LOST,    /**< Tasks may have run; those that still run are being
                        stopped. */
  HS_ANSWER_CANCELLED
} HsAnswerKind;

/** Why a job ended, for logs. */
typedef enum
{
  HS_REASON_DONE,
  HS_REASON_TASK_FAILED,
  HS_REASON_CRASHES,   /**< Targets have crashed under a task; if the job isn't
                            answered as failed, not all of them for certain. */
  HS_REASON_CONTAINED, /**< Its customer's tasks crash targets, and as many as
                            they may take down are down. */
  HS_REASON_NO_TARGET, /**< No target has the capacity for a task. */
  HS_REASON_QUEUE,     /**< The predicted wait is too long. */
  HS_REASON_WAITED,    /**< It wasn't started within its longest wait. */
  HS_REASON_DEADLINE,  /**< The caller's deadline has passed. */
  HS_REASON_TOO_LATE,  /**< It can no longer finish in time. */
  HS_REASON_TARGET_LOST,
  HS_REASON_CALLER_GONE,
  HS_REASON_CANCELLED,
  HS_REASON_SENT_AGAIN, /**< The job goes on for a later request. */
  HS_REASON_ID_IN_USE,  /**< Another job has its id. */
  HS_REASON_EVACUATED   /**< The targets that could run it are in evacuated
                             data centres. */
} HsAnswerReason;

/** The name of a reason as log lines show it; a static string. */
const char *hs_answer_reason_name (HsAnswerReason reason);

/** How a job ended. Strings are valid during the call that passes it. */
typedef struct
{
  uint64_t request;
  HsAnswerKind kind;
  HsAnswerReason reason;
  uint32_t retry_after_ms; /**< If refused: when resources are likely to be
                                free. */
  /** @name For logs @{ */
  uint32_t n_tasks;
  uint32_t n_done;
  uint32_t n_starts;
  uint32_t n_waiting_jobs;
  bool trial; /**< Let in though it was predicted not to start in time. */
  const char *id;
  const char *customer;
  HsTime wait_time;  /**< Until the first start, or the end without one. */
  HsTime total_time; /**< From arrival to this answer. */
  HsTime objective;
  HsTime expected_run_time; /**< Of a task. */
  uint64_t free_milli;      /**< Free processors of the service's targets, in
                                 thousandths of a core, as far as known. */
  /** @} */
} HsJobAnswer;

typedef enum
{
  HS_TASK_WAITING,
  HS_TASK_SENT,
  HS_TASK_DONE
} HsTaskState;

/** One task of a job. */
typedef struct
{
  HsTaskState state;
  uint32_t index;
  uint32_t attempt;
  uint32_t failures;
  uint32_t target;       /**< If sent: where to. */
  uint32_t avoid_target; /**< Where it failed last, or HS_TARGET_NONE. */
  /** Where an earlier run of it hasn't ended, or HS_TARGET_NONE: it may be
   *  started there only, not before `start_after`. */
  uint32_t only_target;
  HsTime start_after;
  bool stopped_as_slow; /**< A target reported it as stalled or too slow. */
  uint64_t ref;         /**< If sent: identifies this start. */
  bool used_offer;      /**< If sent: on resources reserved for this entry. */
  HsTime sent_at;       /**< If sent. */
  HsTime report_age;    /**< If sent: age of the report that placement used. */
} HsTask;

/** The actions that the module takes; each gets the argument of
 *  hs_jobs_new(). */
typedef struct
{
  /** Sends one task to a target. Returns the number of the orders message that
   *  carries it, or 0 if it can't be sent. */
  uint32_t (*launch) (void *arg,
                      uint32_t target,
                      const hsx_launch *job,
                      const hsx_launch_task *task);
  /** Asks a target to stop the task started as @p ref. */
  void (*stop) (void *arg, uint32_t target, uint64_t ref);
  /** Reports the end of a job; called once for each. */
  void (*answer) (void *arg, const HsJobAnswer *answer);
  /** For logs: a task has ended in any other way than done. */
  void (*task_ended) (void *arg,
                      const char *id,
                      uint32_t target,
                      const HsTask *task,
                      const hsx_end *end);
  /** For logs: a task that was sent never started, as its agent doesn't know
   *  of it. */
  void (*task_not_held) (void *arg,
                         const char *id,
                         uint32_t target,
                         const HsTask *task);
  /** For logs: a customer was contained or released. */
  void (*contained) (void *arg, const HsContainmentChange *change);
} HsJobsEffects;

/**
 * @param targets this entry's view of the targets; must outlive the result
 * @param data_centre of this entry
 * @param effects must outlive the result
 * @param arg passed to every effect
 * @return the jobs of an entry, owned by @p ctx
 */
HsJobs *hs_jobs_new (TALLOC_CTX *ctx,
                     HsTargets *targets,
                     const char *data_centre,
                     const HsJobsEffects *effects,
                     void *arg);

/** Accepts or refuses a job; `answer` may be called before this returns. A job
 *  that is sent again while it is in progress goes on for the new request; the
 *  earlier one, which is broken for its caller, is answered as lost. */
void hs_jobs_submit (HsJobs *jobs, const HsSubmission *submission, HsTime now);

/** The caller has disconnected: stops its job, whose answer has the reason
 *  HS_REASON_CALLER_GONE. */
void hs_jobs_abandon (HsJobs *jobs, uint64_t request, HsTime now);

/** Cancels the customer's job with this id. @return false if there is none */
bool
hs_jobs_cancel (HsJobs *jobs, const char *customer, const char *id, HsTime now);

/** Handles the end of a task as its agent reports it. Ends of earlier starts
 *  are ignored. */
void hs_jobs_task_ended (HsJobs *jobs,
                         uint32_t target,
                         const hsx_end *end,
                         HsTime now);

/**
 * Compares the starts that an agent holds for this entry with those known here,
 * after a reconnection: tasks that were sent to it and that it doesn't hold
 * have never started and are queued again. Starts that it holds and whose jobs
 * are over are stopped, as the connection may have broken before their stops
 * arrived.
 * @param refs the starts that the agent holds
 * @param n their number
 * @return how many starts were stopped
 */
uint32_t hs_jobs_reconcile (HsJobs *jobs,
                            uint32_t target,
                            const uint64_t *refs,
                            uint32_t n);

/**
 * Handles the loss of an agent.
 * @param tasks_ended whether its tasks are known to have ended: they are then
 *        queued again; otherwise their jobs end
 */
void hs_jobs_target_lost (HsJobs *jobs,
                          uint32_t target,
                          bool tasks_ended,
                          HsTime now);

/**
 * Handles the crash of a target, as its agent or another entry reports it.
 * @return false if it is known already
 */
bool hs_jobs_target_crashed (HsJobs *jobs, const hsx_crash *crash, HsTime now);

/** Applies a change of the evacuated data centres: their targets get nothing
 *  more, and jobs that have no other target are refused by the next
 *  hs_jobs_tick(). @param evacuations as for hs_targets_set_evacuations() */
void hs_jobs_set_evacuations (HsJobs *jobs, const HsEvacuations *evacuations);

/** Starts the waiting tasks for which resources are free, in order of rank.
 *  Call it once after each batch of events. */
void hs_jobs_dispatch (HsJobs *jobs, HsTime now);

/** Ends the jobs that weren't started within their longest wait, or whose
 *  deadline has passed, or that can no longer finish in time.
 *  @return when it has to be called next */
HsTime hs_jobs_tick (HsJobs *jobs, HsTime now);

/** Returns whether any task waits to be started. */
bool hs_jobs_has_waiting_tasks (const HsJobs *jobs);

/** Returns, of the jobs that may run on the reserve or on the common targets,
 *  the number of waiting tasks, and the rank and needs of the waiting
 *  job with the highest rank, which is served first. The rank is 0 if no task
 *  waits, and at least 1 otherwise. */
hsx_want hs_jobs_backlog (const HsJobs *jobs, bool reserve, HsTime now);

/** Number of jobs that haven't been answered. */
uint32_t hs_jobs_count (const HsJobs *jobs);

/** Whether a job with this id is in progress, of whatever customer. */
bool hs_jobs_has_job (const HsJobs *jobs, const char *id);

#endif
