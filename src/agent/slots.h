/**
 * @file
 * The slots of one target and the credits granted for them. Pure: no I/O,
 * time is an argument.
 *
 * Each slot is free, granted to one entry, or busy. Free slots are granted
 * so that connected entries hold (granted and busy) about equally many. A
 * finished slot is granted again to the entry that gets the result, which
 * is the one that used it unless the partition has a new owner. Any entry may
 * use a credit, because entries lend them; the entry whose start was
 * accepted then holds the slot, and the one that lent its credit is sent a
 * list without it soon. If an entry's last connection ends, its
 * idle credits are withdrawn and granted to others.
 *
 * The generation of a slot rises each time it is granted or withdrawn, so
 * a credit can be used once. A refresh gives a granted slot a new stamp and
 * leaves its generation: the older stamps of a generation stay valid,
 * because a permit counted from an older stamp ends earlier.
 *
 * A list of credits replaces the idle ones an entry has. An entry must skip
 * a listed credit if it has a start with the same slot and generation under
 * way, or has lent it, and of two credits of a slot keep the one of the
 * higher generation; using it twice is safe (the second start is refused
 * with HSX_REFUSAL_CREDIT) but costs a message.
 */
#ifndef HS_AGENT_SLOTS_H
#define HS_AGENT_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

/** The most slots a target may announce. */
#define HS_SLOTS_MAX HSX_CREDITS_MAX
/** Age at which idle credits of an entry are refreshed after a change of its
 *  list, which the entry may have dropped as it didn't know the agent yet.
 *  Doubles with each refresh. */
#define HS_SLOTS_REFRESH_AGE_MIN (4 * HS_SEC)
/** The longest such age: two fit into the age at which entries no longer use
 *  a stamp, HS_STAMP_AGE_MAX. A part of up to a quarter is taken off, so
 *  that agents started together don't refresh together. */
#define HS_SLOTS_REFRESH_AGE_MAX (120 * HS_SEC)
/** Span from the use of an entry's credit by another to the list without it;
 *  further uses within the span are told by the same list. */
#define HS_SLOTS_LOAN_NOTICE_DELAY (2 * HS_SEC)

typedef struct HsSlots HsSlots;

/** @param agent incarnation of the agent, written into each credit */
HsSlots *hs_slots_new (TALLOC_CTX *ctx, uint64_t agent);

/**
 * Sets the number of slots that may be granted. Idle credits of slots above
 * it are withdrawn; busy ones finish and are not granted again.
 */
void hs_slots_set_count (HsSlots *slots, uint32_t count);

/** Counts an entry in; idle credits above the even share move to it. */
void hs_slots_add_entry (HsSlots *slots, uint64_t entry);

/** Withdraws the idle credits of an entry that is gone. */
void hs_slots_remove_entry (HsSlots *slots, uint64_t entry);

/** Whether a credit was issued, is the slot's newest and is unused. */
bool hs_slots_credit_is_valid (const HsSlots *slots, const hsx_credit *credit);

/** Uses a valid credit for a start that @p entry sent. */
void hs_slots_occupy (HsSlots *slots,
                      const hsx_credit *credit,
                      uint64_t entry,
                      HsTime now);

/**
 * Ends the use of a busy slot. It is granted again to @p entry, the one that
 * gets the result, if that is connected and the slot still counts.
 * @param next the new credit, set if true is returned
 */
bool hs_slots_release (HsSlots *slots,
                       uint32_t slot,
                       uint64_t entry,
                       HsTime now,
                       hsx_credit *next);

/**
 * Grants a free or granted slot to @p entry anew: the credit of a refused
 * start is returned to its sender this way. False if @p entry isn't
 * connected or the slot no longer counts.
 */
bool hs_slots_regrant (HsSlots *slots,
                       uint32_t slot,
                       uint64_t entry,
                       HsTime now,
                       hsx_credit *next);

/** Grants free slots evenly and marks the entries that are due a list. */
void hs_slots_distribute (HsSlots *slots, HsTime now);

/**
 * Takes the next entry that is due a list of its credits; 0 if none.
 * @param credits filled with what is granted to it; HS_SLOTS_MAX of them
 */
uint64_t
hs_slots_next_grant (HsSlots *slots, hsx_credit *credits, uint32_t *n_credits);

/** Slots in use now. */
uint32_t hs_slots_n_busy (const HsSlots *slots);

#endif
