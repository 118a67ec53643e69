/**
 * @file
 * Which entries know which agent. An entry starts nothing at an agent before
 * every other entry knows of it: the next owner must know whom to ask what
 * was started. A pure table.
 */
#ifndef HS_ENTRY_VISIBILITY_H
#define HS_ENTRY_VISIBILITY_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "entry/ownership.h"

typedef struct HsVisibility HsVisibility;

HsVisibility *hs_visibility_new (TALLOC_CTX *ctx);

/** An entry is known to know an agent. */
void hs_visibility_add (HsVisibility *table, uint64_t agent, uint64_t entry);

/**
 * Decides whether every entry of the view but @p self knows the agent. Once
 * true, it stays so: a later entry learns of all agents when it connects.
 */
bool hs_visibility_complete (HsVisibility *table,
                             uint64_t agent,
                             const HsOwnership *view,
                             uint64_t self);

/** Forgets an agent that is gone. */
void hs_visibility_remove (HsVisibility *table, uint64_t agent);

#endif
