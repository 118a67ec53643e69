/**
 * @file
 * Evacuations of data centres during a soak, and the check that starts stop
 * reaching their targets in time.
 */
#ifndef HS_SOAK_EVACUATION_H
#define HS_SOAK_EVACUATION_H

#include <glib.h>

#include "../platform_cluster.h"
#include "../prng.h"
#include "base/time.h"

/** In the settings of the processes (`platform.bounds.evacuate_ms`). */
#define EVACUATE_MS 5000

/** Records that the store was down, or not reachable without faults, from
 *  @p from until now. */
void evacuation_note_store_fault (HsTime from);

/** Records that an agent was paused from @p from until now. */
void evacuation_note_pause (unsigned int agent, HsTime from);

/** Evacuates one data centre after the other until @p stopping is set; none is
 *  evacuated on return. */
void evacuation_run (Cluster *cluster, Prng *random, gint *stopping);

/**
 * Checks by the targets' logs that no start reached a target of an evacuated
 * data centre after the bound. Prints each violation and for how long starts
 * would have been violations.
 * @return number of violations
 */
unsigned int evacuation_check (const Cluster *cluster);

#endif
