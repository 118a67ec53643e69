/**
 * @file
 * Visibility tracking: which entries know which agent. An entry starts nothing
 * at an agent before every other entry knows that agent, because the next
 * owner of a partition has to ask all agents what was started. Does no I/O.
 */
#ifndef HS_ENTRY_VISIBILITY_H
#define HS_ENTRY_VISIBILITY_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "entry/ownership.h"

typedef struct HsVisibility HsVisibility;

HsVisibility *hs_visibility_new (TALLOC_CTX *ctx);

/** Notes that @p entry knows @p agent. */
void hs_visibility_add (HsVisibility *table, uint64_t agent, uint64_t entry);

/**
 * Whether every entry of the view other than @p self knows the agent. Once
 * true it stays true: an entry that starts later receives all agents when it
 * connects.
 */
bool hs_visibility_complete (HsVisibility *table,
                             uint64_t agent,
                             const HsOwnership *view,
                             uint64_t self);

/** Removes an agent that has left or is lost. */
void hs_visibility_remove (HsVisibility *table, uint64_t agent);

#endif
