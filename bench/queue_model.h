/**
 * @file
 * Simulates one central queue for all targets of a load, with messages that
 * take no time: the reference for how well the entries distribute the work.
 */
#ifndef HS_BENCH_QUEUE_MODEL_H
#define HS_BENCH_QUEUE_MODEL_H

#include "test/load_world.h"

/** Order of the jobs, and choice of the target. */
typedef enum
{
  /**
   * True run times and bad targets are known. Of the jobs that can still end in
   * time, the one with the most value (see LoadJob) for each core-second that
   * it still needs is first; each task goes to the target that ends it first.
   * Bad targets are not used.
   */
  QUEUE_IDEAL,
  /** As QUEUE_IDEAL, but jobs with a started task come first. */
  QUEUE_IDEAL_STARTED_FIRST,
  /** As QUEUE_IDEAL, but all tasks of a job start at the same time. */
  QUEUE_IDEAL_WHOLE_JOBS,
  /**
   * As QUEUE_IDEAL_STARTED_FIRST, but a waiting job ends the running job with
   * the least value for each core-second that it still needs, if that is less
   * than half of its own.
   */
  QUEUE_IDEAL_PREEMPTIVE,
  /** First come first served; a random target with enough free capacity. */
  QUEUE_FIFO
} QueueOrder;

/** Simulates a load. The result depends only on the arguments. */
LoadResult queue_simulate (const LoadPlan *plan, QueueOrder order);

#endif
