/**
 * @file
 * Internals of an entry's direct jobs, shared by jobs.c and jobs_rank.c.
 */
#ifndef HS_DIRECT_JOBS_PRIVATE_H
#define HS_DIRECT_JOBS_PRIVATE_H

#include "direct/jobs.h"
#include "direct/service_rate.h"

typedef struct
{
  bool in_use;
  uint64_t request;
  char *id; /**< Parent of the job's other allocations. */
  char *customer_name;
  char *service;
  char *spec;
  size_t spec_len;
  uint32_t customer; /**< Handle in HsDemand. */
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
  bool may_have_run; /**< A task may have ended after it had started. */
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
  uint32_t next_generation; /**< Of the next start; part of its ref. */
  HsServiceRate rate;       /**< Of processors given to waiting tasks. */
  uint32_t *by_rank;        /**< Handles of waiting jobs, highest rank first. */
  double *ranks;            /**< By handle. */
};

/** The order of waiting jobs: value that can still be earned for each
 *  core-second of work that hasn't been started. */
double hs_job_rank (const HsJobs *jobs, const HsJob *job, HsTime now);

/** The time until @p job would start behind the waiting jobs of higher rank;
 *  HS_NEVER if it isn't known. */
HsTime hs_jobs_predict_wait (const HsJobs *jobs, const HsJob *job, HsTime now);

#endif
