/**
 * @file
 * The ideal that measured response times are compared with: one global FIFO
 * queue in front of all slots, where messages cost nothing. Pure.
 */
#ifndef LOAD_IDEAL_H
#define LOAD_IDEAL_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

typedef struct
{
  HsTime arrival;
  const uint32_t *run_ms; /**< Of each task. */
  uint32_t n_tasks;
  HsTime response; /**< Set: from the arrival to the last task's end. */
} IdealJob;

/**
 * Sets each job's response.
 * @param jobs ordered by arrival
 * @param slots tasks that run at once, at least 1
 */
void ideal_run (IdealJob *jobs, size_t n_jobs, uint32_t slots);

#endif
