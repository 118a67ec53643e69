/**
 * @file
 * The agents that an entry knows, merged from their own announcements and
 * from other entries. A pure table: no sockets, no clock.
 */
#ifndef HS_ENTRY_MEMBERS_H
#define HS_ENTRY_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

typedef struct HsMembers HsMembers;

HsMembers *hs_members_new (TALLOC_CTX *ctx);

/**
 * Merges one record. A higher revision wins, also over a loss; of equal ones
 * the later state (up, leaving, left or lost). Who has left stays so.
 * @return the table's record if that changed it, else NULL; valid until the
 *         next call
 */
const hsx_member *
hs_members_merge (HsMembers *members, const hsx_member *member, HsTime now);

/** The record of an agent; NULL if unknown. */
const hsx_member *hs_members_find (const HsMembers *members,
                                   uint64_t incarnation);

/**
 * Marks an agent as gone with its records.
 * @return its record if that changed it
 */
const hsx_member *
hs_members_set_lost (HsMembers *members, uint64_t incarnation, HsTime now);

/** All records, for MEMBERS; strings belong to the table. */
void hs_members_list (const HsMembers *members,
                      TALLOC_CTX *ctx,
                      hsx_members_args *args);

/** Forgets agents that are gone for longer than @p retention. */
void hs_members_expire (HsMembers *members, HsTime retention, HsTime now);

uint32_t hs_members_count (const HsMembers *members);

/** The record at a position below hs_members_count(). */
const hsx_member *hs_members_at (const HsMembers *members, uint32_t i);

#endif
