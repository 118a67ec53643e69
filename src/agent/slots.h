/**
 * @file
 * The slots of one target and the credits granted for them. Pure: no I/O,
 * time is an argument.
 *
 * Each slot is free, granted to one entry, or busy with a task. Free slots
 * are granted so that connected entries hold about equally many slots,
 * granted and busy ones together. When a task ends, its slot is granted again
 * to the entry that gets the result, which is the one that used the slot
 * unless the partition has a new owner. Any entry may use a credit, because
 * entries lend them: the entry whose start was accepted then holds the slot,
 * and the lender is soon sent a list without that credit. When the last
 * connection of an entry ends, its idle credits are withdrawn and granted to
 * others.
 *
 * The generation of a slot rises each time the slot is granted or withdrawn,
 * so that a credit can be used only once. A refresh gives a granted slot a
 * new time stamp of the same generation. Older stamps of that generation
 * remain valid: the permit of a start, the time within which it must be
 * admitted, is counted from the stamp and so ends earlier with an older one.
 *
 * A list of credits replaces the idle credits of an entry. The entry must
 * ignore a listed credit if it has lent it or has a start in flight with the
 * same slot and generation. Of two credits for one slot it must keep the one
 * of the higher generation. Using a credit twice is safe, but costs a
 * message: the second start is refused with HSX_REFUSAL_CREDIT.
 */
#ifndef HS_AGENT_SLOTS_H
#define HS_AGENT_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** Maximum number of slots of a target. */
#define HS_SLOTS_MAX HSX_CREDITS_MAX
/** Age of the stamps at which the idle credits of an entry are first
 *  refreshed after a change of its list; the age doubles with each refresh.
 *  It starts low because an entry that did not know the agent yet has
 *  discarded the list. */
#define HS_SLOTS_REFRESH_AGE_MIN (4 * HS_SEC)
/** Upper limit of the refresh age: half of HS_STAMP_AGE_MAX, the age at which
 *  entries stop using a stamp, so that one list may be lost. Each age is
 *  reduced by a jitter of up to a quarter, so that agents started together
 *  do not refresh together. */
#define HS_SLOTS_REFRESH_AGE_MAX (120 * HS_SEC)
/** Delay from the use of a lent credit to the list that tells the lender;
 *  that list also covers further uses within the delay. */
#define HS_SLOTS_LOAN_NOTICE_DELAY (2 * HS_SEC)

typedef struct HsSlots HsSlots;

/** @param agent incarnation of the agent, copied into each credit */
HsSlots *hs_slots_new (TALLOC_CTX *ctx, uint64_t agent);

/**
 * Sets the number of slots that may be granted. Idle credits of slots above
 * it are withdrawn; busy ones are not granted again after their task ends.
 */
void hs_slots_set_count (HsSlots *slots, uint32_t count);

/**
 * Adds an entry. Idle credits of other entries beyond their equal share are
 * withdrawn, to be granted again by hs_slots_distribute().
 */
void hs_slots_add_entry (HsSlots *slots, uint64_t entry);

/** Removes a disconnected entry and withdraws its idle credits. */
void hs_slots_remove_entry (HsSlots *slots, uint64_t entry);

/** Whether a credit was issued, is the latest of its slot and is unused. */
bool hs_slots_credit_is_valid (const HsSlots *slots, const hsx_credit *credit);

/** Marks the slot of a valid credit as busy with a start from @p entry. */
void hs_slots_occupy (HsSlots *slots,
                      const hsx_credit *credit,
                      uint64_t entry,
                      HsTime now);

/**
 * Releases a busy slot, and grants it again to @p entry, which gets the
 * result, if that entry is connected and the slot may still be granted.
 * @param next the new credit, set if true is returned
 * @return whether the slot was granted again
 */
bool hs_slots_release (HsSlots *slots,
                       uint32_t slot_index,
                       uint64_t entry,
                       HsTime now,
                       hsx_credit *next);

/**
 * Grants a free or granted slot to @p entry under a new generation; this
 * returns the credit of a refused start to its sender.
 * @param next the new credit, set if true is returned
 * @return false if @p entry is not connected, or the slot is busy or may no
 *         longer be granted
 */
bool hs_slots_regrant (HsSlots *slots,
                       uint32_t slot_index,
                       uint64_t entry,
                       HsTime now,
                       hsx_credit *next);

/** Grants free slots evenly and marks the entries whose list is due. */
void hs_slots_distribute (HsSlots *slots, HsTime now);

/**
 * Takes the next entry whose list of credits is due.
 * @param credits filled with its idle credits; has HS_SLOTS_MAX elements
 * @return incarnation of the entry; 0 if no list is due
 */
uint64_t
hs_slots_next_grant (HsSlots *slots, hsx_credit *credits, uint32_t *n_credits);

/** Number of busy slots. */
uint32_t hs_slots_n_busy (const HsSlots *slots);

#endif
