/**
 * @file
 * The jobs of a simulated load. They are drawn from a seed before the
 * simulation starts, so that every scheduler under comparison gets the same
 * jobs.
 */
#ifndef HS_TEST_LOAD_JOBS_H
#define HS_TEST_LOAD_JOBS_H

#include <glib.h>

#include "load_world.h"
#include "proto/hspoke.h"

/** One job, with its true run times. */
typedef struct
{
  unsigned int kind;
  unsigned int entry;   /**< The entry that it is submitted to. */
  unsigned int n_tasks; /**< At least 1. */
  hsx_room needs;       /**< Resources of each task. */
  HsTime arrives_at;    /**< Since the start of the load. */
  HsTime *run_times;    /**< True run time of each task. */
  HsTime estimate;      /**< Run time of a task as the caller estimates it. */
  HsTime objective;     /**< For the total time, from the true run times. */
  double value;         /**< If completed within the objective. */
  double held_core_s;   /**< Used by its tasks so far. */
  bool crashes;         /**< Its task `crash_task` crashes its targets. */
  unsigned int crash_task;
  unsigned int n_crashes; /**< Of targets, under that task. */
  bool large;             /**< About the largest tenth of its kind, by work. */
  bool started;           /**< One of its tasks has. */
} LoadJob;

/** A job that takes longer than its objective has this share of its value, and
 *  none after LOAD_LATE_FACTOR times the objective. */
#define LOAD_LATE_VALUE_FACTOR 0.2
#define LOAD_LATE_FACTOR 3

/** The jobs of a load: LoadJob, in order of arrival. The caller owns the
 *  array. */
GArray *load_jobs_draw (const LoadPlan *plan);

/** The value of a job that is completed after @p took. */
double load_job_value_earned (const LoadJob *job, HsTime took);

/** @name Results of the entry that a job was submitted to @{ */
/** @param at since the start of the load */
void load_note_start (LoadResult *result, LoadJob *job, HsTime at);
/** @param took from arrival to the answer */
void load_note_refusal (LoadResult *result, const LoadJob *job, HsTime took);
void load_note_completion (LoadResult *result, const LoadJob *job, HsTime took);
void load_note_arrival (LoadResult *result, const LoadJob *job);
/** @} */

/** Capacity of a target, in thousandths of a core. */
unsigned int load_target_capacity (const LoadPlan *plan, unsigned int target);

/** Core-seconds that all targets have while jobs arrive. */
double load_total_core_seconds (const LoadPlan *plan);

/**
 * The true run time on a target that neither fails nor hangs.
 * @param run run time of the task on a normal target
 * @param at time of the start, since the start of the load
 */
HsTime load_actual_run_time (const LoadPlan *plan,
                             unsigned int target,
                             HsTime run,
                             HsTime at);

#endif
