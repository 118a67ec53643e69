/**
 * @file
 * Which entries know which agent. An entry starts nothing at an agent before
 * every other entry knows of it: the next owner must know whom to ask what
 * was started. A pure table.
 */
#ifndef HS_ENTRY_INTRODUCTIONS_H
#define HS_ENTRY_INTRODUCTIONS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "entry/ownership.h"

typedef struct HsIntroductions HsIntroductions;

HsIntroductions *hs_introductions_new (TALLOC_CTX *ctx);

/** An entry is known to know an agent. */
void
hs_introductions_known (HsIntroductions *table, uint64_t agent, uint64_t entry);

/**
 * Decides whether every entry of the view but @p self knows the agent. Once
 * true, it stays so: a later entry learns of all agents when it connects.
 */
bool hs_introductions_complete (HsIntroductions *table,
                                uint64_t agent,
                                const HsOwnership *view,
                                uint64_t self);

/** Forgets an agent that is gone. */
void hs_introductions_forget (HsIntroductions *table, uint64_t agent);

#endif
