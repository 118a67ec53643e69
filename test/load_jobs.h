/**
 * @file
 * The jobs of a load, drawn from a seed before anything is played, so that
 * every way of serving a load meets the same one.
 */
#ifndef HS_TEST_LOAD_JOBS_H
#define HS_TEST_LOAD_JOBS_H

#include <glib.h>

#include "load_world.h"
#include "proto/hspoke.h"

/** One job and what is true of it. */
typedef struct
{
  unsigned int kind;
  unsigned int entry;   /**< Where its caller sends it. */
  unsigned int n_tasks; /**< At least 1. */
  hsx_room needs;       /**< Of each task. */
  HsTime arrives_at;    /**< After the load's start. */
  HsTime *run_times;    /**< True run time of each task. */
  HsTime estimate;      /**< Of a task, as its caller says. */
  HsTime objective;     /**< By true run times. */
  double value;         /**< When answered in time. */
  double held_core_s;   /**< Core-seconds that its tasks have held. */
} LoadJob;

/** A job that takes longer than its objective is worth this part, and nothing
 *  past LOAD_LATE_FACTOR times its objective. */
#define LOAD_LATE_VALUE_FACTOR 0.2
#define LOAD_LATE_FACTOR 3

/** LoadJob by time of arrival. */
GArray *load_jobs_draw (const LoadPlan *plan);

/** What it has earned when it is answered after @p took. */
double load_job_value_earned (const LoadJob *job, HsTime took);

/** Capacity of a target, in thousandths of a core. */
unsigned int load_target_capacity (const LoadPlan *plan, unsigned int target);

/** Core-seconds of all targets while jobs arrive. */
double load_total_core_seconds (const LoadPlan *plan);

/** True run time on a target that works. @param at since the load's start */
HsTime load_actual_run_time (const LoadPlan *plan,
                             unsigned int target,
                             HsTime run,
                             HsTime at);

#endif
