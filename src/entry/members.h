/**
 * @file
 * The agents that an entry knows, merged from their own announcements and
 * from the tables of other entries. No sockets, no clock.
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
 * Merges one record, which is copied. A record with the state left or lost
 * replaces one that is up or leaving, whatever the revisions. Otherwise the
 * higher revision wins, and of equal revisions the later state (up, leaving,
 * left, lost). A lost agent returns only with a higher revision; one that has
 * left never returns.
 * @return the record in the table if that changed it, else NULL; valid until
 *         the next call
 */
const hsx_member *
hs_members_merge (HsMembers *members, const hsx_member *member, HsTime now);

/** The record of an agent; NULL if unknown. */
const hsx_member *hs_members_find (const HsMembers *members,
                                   uint64_t incarnation);

/**
 * Sets the state of an agent to lost: its records of started tasks are lost
 * with it.
 * @return its record; NULL if it is unknown, left or lost already
 */
const hsx_member *
hs_members_set_lost (HsMembers *members, uint64_t incarnation, HsTime now);

/**
 * Sets the arguments of MEMBERS to all records. The array is allocated below
 * @p ctx; its strings belong to the table.
 */
void hs_members_list (const HsMembers *members,
                      TALLOC_CTX *ctx,
                      hsx_members_args *args);

/** Removes the agents that have been left or lost for @p retention. */
void hs_members_expire (HsMembers *members, HsTime retention, HsTime now);

uint32_t hs_members_count (const HsMembers *members);

/** The record at a position below hs_members_count(). */
const hsx_member *hs_members_at (const HsMembers *members, uint32_t i);

#endif
