/**
 * @file
 * Simulates the ideal that response times are compared with: one central queue
 * for all slots, with the order of the entries (fair between customers, short
 * jobs first) and messages that take no time. No I/O.
 */
#ifndef LOAD_IDEAL_H
#define LOAD_IDEAL_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

typedef struct
{
  HsTime arrival;
  uint32_t customer; /**< Index; all customers have the same weight. */
  const uint32_t
      *run_ms; /**< Run time of each task; also its declared run time. */
  uint32_t n_tasks;
  HsTime response; /**< Set by ideal_run(): from the arrival to the end of the
                      last task. */
} IdealJob;

/**
 * Computes the response time of each job.
 * @param jobs ordered by arrival
 * @param slots number of tasks that run at once, at least 1
 */
void ideal_run (IdealJob *jobs, size_t n_jobs, uint32_t slots);

#endif
