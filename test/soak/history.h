/**
 * @file
 * What targets and callers saw, and whether the promises held.
 */
#ifndef HS_SOAK_HISTORY_H
#define HS_SOAK_HISTORY_H

#include "../platform_cluster.h"

/** What a caller was told last of a job. */
typedef struct
{
  char id[20];
  unsigned int n_tasks;
  bool completed;
  bool refused; /**< Every attempt was refused as not run. */
} SoakJob;

/** Notes a target's end by a signal: what ran there is over. */
void history_note_kill (unsigned int target);

/**
 * Reads the targets' logs: no more ran than there was room for, no task ran
 * twice at once, every task of a completed job was done, nothing of a refused
 * job has started. Prints each violation; returns how many.
 */
unsigned int history_check (const Cluster *cluster,
                            const SoakJob *jobs,
                            unsigned int n_jobs);

#endif
