/**
 * @file
 * Counts in the agents' logs how often calls and answers crossed in a run.
 */
#ifndef HS_SOAK_TALLY_H
#define HS_SOAK_TALLY_H

#include "../platform_cluster.h"

/** Prints one line: lists that were overtaken, starts without an answer, and
 *  ends of tasks by what showed them. */
void tally_print (const Cluster *cluster);

#endif
