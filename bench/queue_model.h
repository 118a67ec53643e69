/**
 * @file
 * One queue for all targets of a load, in front of targets that take no
 * message to reach: a yardstick for the way the entries share the work.
 */
#ifndef HS_BENCH_QUEUE_MODEL_H
#define HS_BENCH_QUEUE_MODEL_H

#include "test/load_world.h"

/** Which job goes first, and where. */
typedef enum
{
  /** True run times are known: most worth for each core-second left, of jobs
   *  that can still be in time, to the target that is done first. Bad targets
   *  are known and left out. */
  QUEUE_IDEAL,
  /** The same, and jobs of which a task has started go first. */
  QUEUE_IDEAL_STARTED_FIRST,
  /** The same order; a job starts with all its tasks at one moment. */
  QUEUE_IDEAL_WHOLE_JOBS,
  /** As QUEUE_IDEAL_STARTED_FIRST; a job that waits ends the running one that
   * is worth least for each core-second it still takes, if less than half. */
  QUEUE_IDEAL_PREEMPTIVE,
  /** First come first served, any target with room at random. */
  QUEUE_FIFO
} QueueOrder;

LoadResult queue_simulate (const LoadPlan *plan, QueueOrder order);

#endif
