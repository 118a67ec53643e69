/**
 * @file
 * Checks of the system's guarantees against the targets' logs and the answers
 * that callers received.
 */
#ifndef HS_SOAK_HISTORY_H
#define HS_SOAK_HISTORY_H

#include "../platform_cluster.h"

/** A job and the outcome that its caller was told. */
typedef struct
{
  char id[20];
  unsigned int n_tasks;
  bool completed;
  bool refused; /**< Every attempt was refused as not run. */
} SoakJob;

/** Records that a target was killed by a signal, which ended all its runs. */
void history_note_kill (unsigned int target);

/**
 * Reads the targets' logs and checks that no target exceeded its capacity, that
 * no task ran twice at once or crashed too many targets, that every task of a
 * completed job was done, and that no task of a refused job started. Prints
 * each violation.
 * @return number of violations
 */
unsigned int history_check (const Cluster *cluster,
                            const SoakJob *jobs,
                            unsigned int n_jobs);

#endif
