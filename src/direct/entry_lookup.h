/**
 * @file
 * When an agent reads the entries' addresses from the store.
 *
 * Load pattern: all hosts lose power at once, and hundreds of agents start
 * within a second while their seeds are still down or have been replaced. The
 * keys that the entries wrote before are still in the store, so one read at the
 * start finds those that are back, where waiting for the seeds first would cost
 * the callers that time.
 */
#ifndef HS_DIRECT_ENTRY_LOOKUP_H
#define HS_DIRECT_ENTRY_LOOKUP_H

#include <stdbool.h>

#include "base/time.h"

/** Zeroed memory is an agent that has just started. */
typedef struct
{
  HsTime asked_at;    /**< Last read; 0: none. */
  HsTime alone_since; /**< Since when no entry is connected; 0: one is. */
  bool pending;       /**< A read is in flight. */
} HsEntryLookup;

/** Whether a read is due: at the start, while no entry is connected, and each
 *  HS_ENTRIES_REFRESH_INTERVAL. If so, it counts as sent. */
bool hs_entry_lookup_due (HsEntryLookup *lookup, bool connected, HsTime now);

/** The read has been answered, or has failed. */
void hs_entry_lookup_done (HsEntryLookup *lookup);

#endif
