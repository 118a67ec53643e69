/**
 * @file
 * A deployment in fake time: the deciding modules of entries and agents, joined
 * by messages with a delay, against models of the targets, under a load that a
 * seed draws. Replays loads for tests, and compares ways in the bench.
 */
#ifndef HS_TEST_LOAD_WORLD_H
#define HS_TEST_LOAD_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

#define LOAD_KINDS 3

/** What is played. The kinds are the users' three: wide and short, few and
 *  long, many and small. */
typedef struct
{
  uint32_t seed;
  unsigned int n_entries;
  unsigned int n_agents;
  unsigned int cpu_milli; /**< Of a target; each third has half as much more. */
  double jobs_per_s;
  double burst; /**< Times the load from `burst_from` on... */
  HsTime burst_from;
  HsTime burst_to;                  /**< ...to here. */
  HsTime arrival_span;              /**< Of the arrivals. */
  unsigned int lost_answer_percent; /**< Orders to targets without an answer. */
  HsTime faults_from;     /**< The targets below are sound until then. */
  unsigned int n_failing; /**< Targets that fail all they start, at once. */
  unsigned int n_hanging; /**< Targets on which everything stands still. */
  unsigned int n_slow;    /**< Targets that take six times as long. */
  double fast_factor; /**< Speed of each third target against the others; 0: as
                         they. */
  bool central;       /**< One entry that sees all at once. */
} LoadPlan;

typedef struct
{
  unsigned int submitted;
  unsigned int in_time; /**< Within the objective. */
  unsigned int late;
  unsigned int refused;
  unsigned int lost;
  double mean_refusal_ms; /**< Mean time to a refusal. */
} LoadKindResult;

typedef struct
{
  LoadKindResult kinds[LOAD_KINDS];
  unsigned int launches;
  unsigned int refused_no_capacity; /**< Launches refused for want of room. */
  unsigned int refused_while_free;  /**< Jobs refused while a task of theirs
                                   would  have fitted on a trusted target. */
  unsigned int bad_ends;            /**< Tasks that failed or stood still. */
  double value_share;               /**< Part of what all was worth in time. */
  double busy_core_s;               /**< Core-seconds that tasks held. */
  double capacity_core_s;     /**< Core-seconds there are while jobs come. */
  double wasted_core_s;       /**< Those that no answer came of. */
  unsigned int overcommitted; /**< Times that a target held too much. */
} LoadResult;

extern const char *const LOAD_KIND_NAMES[LOAD_KINDS];

LoadResult load_simulate (const LoadPlan *plan);

/** The users' first site: 3 entries, 11 targets of 16 or 24 cores, 141 jobs a
 *  second. */
LoadPlan load_plan_default (uint32_t seed);

#endif
