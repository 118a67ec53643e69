/**
 * @file
 * Simulates a deployment in virtual time: the real scheduling modules of
 * entries and agents, connected by messages with a delay, with models of the
 * targets, under a random load drawn from a seed. Tests check its results, and
 * the bench compares schedulers with it.
 */
#ifndef HS_TEST_LOAD_WORLD_H
#define HS_TEST_LOAD_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

#define LOAD_KINDS 3

/** Maximum number of entries. */
#define LOAD_ENTRIES_MAX 64

/** Number of entries for which a plan can state where they are and how much of
 *  the demand they get. */
#define LOAD_ENTRIES_STATED 8

/** A refusal after no more than this tells the caller at once. */
#define LOAD_AT_ONCE (5 * HS_MSEC)

/** What is simulated. Jobs are of the users' three kinds: wide and short, few
 *  and long, many and small. */
typedef struct
{
  uint32_t seed;
  unsigned int n_entries;
  unsigned int n_agents;
  unsigned int n_links; /**< Entries that each agent is connected to, drawn at
                             random; 0: all. */
  unsigned int task_milli; /**< Mean processors of a task. */
  unsigned int
      cpu_milli; /**< Of a target; every third target has half as much again. */
  double jobs_per_s;
  double burst; /**< Factor on the load from burst_from... */
  HsTime burst_from;
  HsTime burst_to;                  /**< ...to burst_to. */
  double kind_burst[LOAD_KINDS];    /**< Factor on the jobs of one kind during
                                         the burst; 0 as 1. */
  HsTime arrival_span;              /**< Time during which jobs arrive. */
  unsigned int lost_answer_percent; /**< Calls to targets that get no answer. */
  HsTime faults_from;               /**< Until then all targets are healthy. */
  unsigned int n_failing; /**< Targets on which every task fails at once. */
  unsigned int n_hanging; /**< Targets on which every task hangs. */
  unsigned int n_slow;    /**< Targets on which tasks take six times as long. */
  double fast_factor; /**< Speed of every third target relative to the others; 0
                          if all are equal. */
  unsigned int crash_percent; /**< Of the jobs of crash_kind that arrive from
                                   crash_from to crash_to: one of their tasks
                                   crashes each target that starts it. */
  unsigned int crash_kind;
  HsTime crash_from;
  HsTime crash_to;
  HsTime crash_delay; /**< From the start of the task to the crash. */
  HsTime down_time;   /**< From a crash to the target's restart. */
  /** Of 1000 jobs, those submitted to each of the first entries; all 0: the
   *  first entry gets twice as many as each other. */
  unsigned int entry_permille[LOAD_ENTRIES_STATED];
  unsigned int n_data_centres; /**< The agents take turns; 0: a single one. */
  unsigned int entry_data_centre[LOAD_ENTRIES_STATED];
  HsTime remote_delay;    /**< Of a message to another data centre; 0: as within
                               one. */
  HsTime last_entry_from; /**< The last entry starts then; its callers use the
                               first one until then. 0: with the others. */
  double slow_third; /**< Factor on the run times on targets 1, 4, 7...; 0: as
                          on the others. */
  bool central;      /**< A single entry, whose messages have no delay. */
} LoadPlan;

typedef struct
{
  unsigned int submitted;
  unsigned int in_time; /**< Completed within the objective. */
  unsigned int late;
  unsigned int refused;
  unsigned int refused_at_once; /**< Within LOAD_AT_ONCE of its arrival. */
  unsigned int lost;
  unsigned int large_submitted; /**< Of about the largest tenth by work... */
  unsigned int large_in_time;   /**< ...and completed within the objective. */
  double mean_refusal_ms;       /**< From arrival to refusal. */
} LoadKindResult;

/** What the callers of one entry get. */
typedef struct
{
  unsigned int submitted;
  unsigned int started;
  unsigned int in_time;
  unsigned int refused_at_once; /**< Within LOAD_AT_ONCE of the arrival. */
  unsigned int refused_later;
  double wait_ms; /**< Until the first start; the sum of all started jobs. */
  double value_offered;
  double value_earned;
  unsigned int orders; /**< Messages that the entry sent to agents. */
} LoadEntryResult;

typedef struct
{
  LoadKindResult kinds[LOAD_KINDS];
  LoadEntryResult entries[LOAD_ENTRIES_MAX];
  unsigned int launches;
  unsigned int
      refused_no_capacity; /**< Launches refused for lack of resources. */
  unsigned int refused_while_free; /**< Jobs refused while one of their tasks
                                      would have fitted on a healthy target. */
  unsigned int trials; /**< Jobs that were let in though they were predicted not
                            to start in time... */
  unsigned int trials_started; /**< ...and did: wrong predictions. */
  unsigned int trials_in_time;
  unsigned int bad_ends; /**< Tasks that failed, stalled or were too slow. */
  double value_share; /**< Value earned, of what all jobs in time would earn. */
  double busy_core_s; /**< Used by tasks. */
  double capacity_core_s;        /**< Available while jobs arrive. */
  double wasted_core_s;          /**< Used by jobs that were not completed. */
  double fragment_core_s;        /**< Free, while a job waits, in pieces smaller
                                      than a mean task. */
  double free_core_s;            /**< Free while a job waits. */
  unsigned int crashing_jobs;    /**< Not counted in `kinds`. */
  unsigned int crashes;          /**< Of targets. */
  unsigned int down_max;         /**< Most targets down at once. */
  unsigned int task_crashes_max; /**< Most crashes under one task. */
  unsigned int overcommitted; /**< Starts that exceeded a target's capacity. */
} LoadResult;

extern const char *const LOAD_KIND_NAMES[LOAD_KINDS];

LoadResult load_simulate (const LoadPlan *plan);

/** The size of the users' first site: 3 entries, 11 targets of 16 or 24 cores,
 *  141 jobs a second. */
LoadPlan load_plan_default (uint32_t seed);

/**
 * 8 entries in 4 data centres, one of which is alone in its data centre and has
 * 28% of the demand; 50 targets of 64 or 96 cores, a third of them 1.3 times as
 * slow.
 * @param load demand for cores relative to the capacity at the targets' speeds
 */
LoadPlan load_plan_uneven (uint32_t seed, double load);

#endif
