/**
 * @file
 * Shared by the files that keep an entry's direct jobs.
 */
#ifndef HS_DIRECT_JOBS_PRIVATE_H
#define HS_DIRECT_JOBS_PRIVATE_H

#include "direct/jobs.h"

typedef struct
{
  bool in_use;
  uint64_t request;
  char *id;
  char *customer_name;
  char *service;
  char *spec;
  size_t spec_len;
  uint32_t customer;
  hsx_room needs;
  HsTime estimate;
  HsTime expected_run_time;
  HsTime objective;
  HsTime arrived_at;
  HsTime deadline;
  HsTime wait_until;    /**< Refused then, if nothing of it was sent. */
  HsTime useless_after; /**< Worth nothing after this. */
  HsTime first_sent_at; /**< 0: nothing yet. */
  double work_core_s;   /**< Expected core-seconds. */
  uint32_t max_failures;
  uint32_t n_tasks;
  uint32_t n_waiting;
  uint32_t n_sent;
  uint32_t n_done;
  uint32_t n_starts;
  bool may_have_run; /**< A task has ended after it had started. */
  HsTask *tasks;
} HsJob;

struct HsJobs
{
  HsTargets *targets;
  HsDemand *demand;
  char *data_centre;
  const HsJobsEffects *effects;
  void *arg;
  HsJob *table;
  uint32_t table_size; /**< Size of the table. */
  uint32_t n_active;
  uint32_t next_generation;
  double placed_milli; /**< Thousandths of a core that come free a second. */
  HsTime placed_at;
  uint32_t *by_rank; /**< Handles of waiting jobs, best first. */
  double *ranks;     /**< By handle. */
};

/** Whether tasks of a job may be placed, and which goes first. */
double hs_job_rank (const HsJobs *jobs, const HsJob *job, HsTime now);

/** How long until a job that arrives now would start. */
HsTime hs_jobs_predict_wait (const HsJobs *jobs, const HsJob *job, HsTime now);

/** Notes room that was given to waiting work. */
void hs_jobs_note_placed (HsJobs *jobs, uint32_t cpu_milli, HsTime now);

#endif
