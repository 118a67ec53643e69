/**
 * @file
 * Internals of an entry's direct jobs, shared by its source files.
 */
#ifndef HS_DIRECT_JOBS_PRIVATE_H
#define HS_DIRECT_JOBS_PRIVATE_H

#include "direct/jobs.h"
#include "direct/service_rate.h"
#include "direct/wait_forecast.h"
#include "policy/crash_counts.h"

/** A ref holds the task's index in the lowest bits, then the job's handle, then
 *  the generation of the start. */
#define REF_TASK_BITS 12
#define REF_JOB_BITS 20

/** After this multiple of its objective, the result of a job is of no use to
 *  its caller. */
#define HS_USELESS_FACTOR 3

typedef struct
{
  bool in_use;
  uint64_t request;
  char *id; /**< Parent of the job's other allocations. */
  char *customer_name;
  char *service;
  char *spec;
  size_t spec_len;
  uint32_t customer;    /**< Handle in HsDemand. */
  uint32_t containment; /**< Handle in HsContainment. */
  uint32_t n_crashes;   /**< Targets that crashed under one of its tasks. */
  hsx_room needs;
  HsTime declared_run_time;
  HsTime expected_run_time; /**< Of a task. */
  HsTime objective;
  HsTime arrived_at;
  HsTime deadline;
  HsTime wait_until;    /**< Refused then, if no task was sent. */
  HsTime useless_after; /**< Its result has no value after this. */
  HsTime first_sent_at; /**< 0 if no task was sent. */
  double work_core_s;   /**< Expected work of all tasks. */
  uint32_t max_failures;
  uint32_t n_tasks;
  uint32_t n_waiting;
  uint32_t n_sent;
  uint32_t n_done;
  uint32_t n_starts;
  bool may_have_run; /**< A task may have ended after it had started, or a run
                          of an earlier request for the job is left. */
  bool trial; /**< Let in though it was predicted not to start in time. */
  HsTask *tasks;
} HsJob;

struct HsJobs
{
  HsTargets *targets;
  HsDemand *demand;
  char *data_centre;
  const HsJobsEffects *effects;
  void *arg;
  HsJob *table;        /**< Indexed by the job's handle. */
  uint32_t table_size; /**< Including rows that aren't in use. */
  uint32_t n_active;
  uint32_t next_generation;   /**< Of the next start; part of its ref. */
  HsServiceRate rate;         /**< Of processors given to waiting tasks... */
  HsServiceRate reserve_rate; /**< ...and to those of contained customers. */
  HsWaitForecast forecast; /**< Of jobs of customers that aren't contained. */
  HsContainment *containment;
  HsCrashCounts *crash_counts;
  uint32_t *by_rank; /**< Handles of waiting jobs, highest rank first. */
  double *ranks;     /**< By handle. */
};

/** @name jobs_answer.c: how jobs end @{ */
/** Ends a job and answers it. Tasks that are still running are stopped, and
 *  their results ignored. */
void hs_job_finish (HsJobs *jobs,
                    HsJob *job,
                    HsAnswerKind kind,
                    HsAnswerReason reason,
                    HsTime now);

/** Ends a job that isn't completed: as refused, if nothing of it has run, and
 * as lost otherwise. */
void
hs_job_give_up (HsJobs *jobs, HsJob *job, HsAnswerReason reason, HsTime now);

/** Answers a job's request as lost, and lets the job go on for another one. */
void hs_job_hand_over (HsJobs *jobs,
                       HsJob *job,
                       const HsSubmission *submission,
                       HsTime now);
/** @} */

/** @name jobs_crash.c: tasks that crash their targets @{ */
/** Releases contained customers that are due.
 *  @return when to call it next */
HsTime hs_jobs_tick_crashes (HsJobs *jobs, HsTime now);

/** Ends a new job whose tasks have crashed too many targets before.
 *  @return whether it goes on */
bool hs_job_check_crashes (HsJobs *jobs, HsJob *job, HsTime now);

/** Whether no task of the job is started for now: it will have failed if the
 *  crashes under one of them are found certain. */
bool hs_job_is_held (const HsJob *job);

/** The targets on which the job's tasks may be started. */
HsTargetGroup hs_job_target_group (const HsJobs *jobs, const HsJob *job);

/** Whether the job's customer is contained. */
bool hs_job_is_contained (const HsJobs *jobs, const HsJob *job);

/** Whether the job's customer is contained and may start nothing for now. */
bool hs_job_is_shut_out (const HsJobs *jobs, const HsJob *job);
/** @} */

/** Whether a job of which nothing has run has no target because of evacuations
 *  (jobs_evacuation.c). */
bool hs_job_is_evacuated (const HsJobs *jobs, const HsJob *job);

/** The order of waiting jobs: value that can still be earned for each
 *  core-second of work that hasn't been started. */
double hs_job_rank (const HsJobs *jobs, const HsJob *job, HsTime now);

/** The time until @p job would start behind the waiting jobs of higher rank;
 *  HS_NEVER if it isn't known. */
HsTime hs_jobs_predict_wait (const HsJobs *jobs, const HsJob *job, HsTime now);

/** The time after which a refused job should be sent again: when all that waits
 *  has been started, and up to twice that, so that refused jobs don't return
 * all at once. The part depends on the job's id only. HS_NEVER if it isn't
 * known.
 */
HsTime
hs_jobs_predict_return (const HsJobs *jobs, const HsJob *job, HsTime now);

/** Whether @p job, of which nothing has been started, will start within the
 *  wait that it is allowed. */
HsForecast hs_jobs_forecast (HsJobs *jobs, const HsJob *job, HsTime now);

#endif
