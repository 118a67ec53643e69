/**
 * @file
 * Direct jobs: an entry runs them for as long as their caller waits, without
 * an owner and without the store. Decides only: admission, order, placement,
 * retries, and when a job is given up.
 *
 * Load pattern: short jobs of 1 to 390 tasks in demand above the room that is
 * there, for seconds; targets that fail, hang and vanish under them. A job
 * that can't start soon is refused while that is still true; tasks of the
 * best waiting job start as room comes free; what has been started goes
 * before what hasn't; a job that can no longer be done stops at once.
 */
#ifndef HS_DIRECT_JOBS_H
#define HS_DIRECT_JOBS_H

#include <talloc.h>

#include "direct/demand.h"
#include "direct/targets.h"

typedef struct HsJobs HsJobs;

/** A job as its caller hands it in. */
typedef struct
{
  uint64_t request; /**< The caller's handle, for the answer. */
  const char *id;
  const char *customer;
  const char *service;
  const char *spec;
  size_t spec_len;
  uint32_t n_tasks;
  hsx_room needs;        /**< Of each task. */
  HsTime estimate;       /**< Run time of a task; 0: not told. */
  HsTime time_left;      /**< Until the caller's deadline. */
  uint32_t max_failures; /**< Of a task; then the job has failed. */
  double slack_factor;   /**< Objective: this times the run time... */
  HsTime slack;          /**< ...and this. */
} HsSubmission;

typedef enum
{
  HS_ANSWER_COMPLETED,
  HS_ANSWER_FAILED,  /**< A task failed too often. */
  HS_ANSWER_REFUSED, /**< Nothing has run, nor ever will. */
  HS_ANSWER_LOST,    /**< Some of it may have run; all is being stopped. */
  HS_ANSWER_CANCELLED
} HsAnswerKind;

/** Why; for logs. */
typedef enum
{
  HS_REASON_DONE,
  HS_REASON_TASK_FAILED,
  HS_REASON_NO_TARGET, /**< No target could ever run it. */
  HS_REASON_QUEUE,     /**< The wait would be too long. */
  HS_REASON_WAITED,    /**< It has waited as long as it may. */
  HS_REASON_DEADLINE,
  HS_REASON_TOO_LATE, /**< It can't be done in time any more. */
  HS_REASON_TARGET_LOST,
  HS_REASON_CALLER_GONE,
  HS_REASON_CANCELLED
} HsAnswerReason;

const char *hs_answer_reason_name (HsAnswerReason reason);

typedef struct
{
  uint64_t request;
  HsAnswerKind kind;
  HsAnswerReason reason;
  uint32_t retry_after_ms; /**< Refused: when room is likely. */
  /** @name For logs @{ */
  uint32_t n_tasks;
  uint32_t n_done;
  uint32_t n_starts;
  uint32_t n_waiting_jobs; /**< Waiting jobs. */
  const char *id;
  const char *customer;
  HsTime wait_time; /**< Until the first start, or the end. */
  HsTime total_time;
  HsTime objective;
  HsTime expected_run_time;
  uint64_t free_milli; /**< Of the service, as far as known. */
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
  uint32_t target;       /**< Sent: where. */
  uint32_t avoid_target; /**< Where it failed last, or HS_TARGET_NONE. */
  bool stopped_as_slow;  /**< It has stood still, or was too slow, somewhere. */
  uint64_t ref;          /**< Sent: of this start. */
  bool used_offer;       /**< Sent: into room that was kept for this entry. */
  HsTime report_age;     /**< Sent: age of the report that showed the room. */
} HsTask;

typedef struct
{
  /** Sends one task to a target; returns the number of the orders. */
  uint32_t (*launch) (void *arg,
                      uint32_t target,
                      const hsx_launch *job,
                      const hsx_launch_task *task);
  void (*stop) (void *arg, uint32_t target, uint64_t ref);
  void (*answer) (void *arg, const HsJobAnswer *answer);
  /** A task ended otherwise than done; for logs. */
  void (*task_ended) (void *arg,
                      const char *id,
                      uint32_t target,
                      const HsTask *task,
                      const hsx_end *end);
  /** A task that was sent never started: its agent doesn't hold it. */
  void (*task_not_held) (void *arg,
                         const char *id,
                         uint32_t target,
                         const HsTask *task);
} HsJobsEffects;

HsJobs *hs_jobs_new (TALLOC_CTX *ctx,
                     HsTargets *targets,
                     const char *data_centre,
                     const HsJobsEffects *effects,
                     void *arg);

/** Takes a job; `answer` may be called before this returns. */
void hs_jobs_submit (HsJobs *jobs, const HsSubmission *submission, HsTime now);

/** The caller has gone: its job is stopped, nothing is answered. */
void hs_jobs_abandon (HsJobs *jobs, uint64_t request, HsTime now);

/** Cancels the job of this id; false if there is none. */
bool hs_jobs_cancel (HsJobs *jobs, const char *id, HsTime now);

/** What an agent says of a task. */
void hs_jobs_task_ended (HsJobs *jobs,
                         uint32_t target,
                         const hsx_end *end,
                         HsTime now);

/** After a new connection to the same agent: tasks sent to it and not in
 *  @p refs never started. */
void hs_jobs_reconcile (HsJobs *jobs,
                        uint32_t target,
                        const uint64_t *refs,
                        uint32_t n,
                        HsTime now);

/** An agent is gone. @param tasks_ended whether its tasks are known to have
 * ended */
void hs_jobs_target_lost (HsJobs *jobs,
                          uint32_t target,
                          bool tasks_ended,
                          HsTime now);

/** Starts what room allows; call once a batch of events is taken. */
void hs_jobs_dispatch (HsJobs *jobs, HsTime now);

/** Gives up what is due; returns when it has to be called next. */
HsTime hs_jobs_tick (HsJobs *jobs, HsTime now);

/** Whether tasks wait for room. */
bool hs_jobs_has_waiting_tasks (const HsJobs *jobs);

/** The best of what waits for room; rank 0 if nothing does. */
hsx_want hs_jobs_backlog (const HsJobs *jobs, HsTime now);

/** Jobs without an answer. */
uint32_t hs_jobs_count (const HsJobs *jobs);

#endif
