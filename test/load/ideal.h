/**
 * @file
 * The ideal that measured response times are compared with: one global queue
 * in front of all slots, in the order that owners use (shared between the
 * customers, short jobs first), where messages cost nothing. Pure.
 */
#ifndef LOAD_IDEAL_H
#define LOAD_IDEAL_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

typedef struct
{
  HsTime arrival;
  uint32_t customer;      /**< A small number; all weigh the same. */
  const uint32_t *run_ms; /**< Of each task; declared correctly. */
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
