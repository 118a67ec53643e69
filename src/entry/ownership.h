/**
 * @file
 * Which entry owns which partition: a pure view of the store's records and
 * the decisions on it (what to take, what to hand over to whom).
 */
#ifndef HS_ENTRY_OWNERSHIP_H
#define HS_ENTRY_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "base/time.h"

typedef struct HsOwnership HsOwnership;

/** An entry as its record in the store tells. */
typedef struct
{
  uint64_t incarnation;
  int64_t revision; /**< mod_revision of its record. */
  bool leaving;
  char address[64];
  char data_centre[65];
} HsEntryRecord;

/** A partition as its record in the store tells. */
typedef struct
{
  uint64_t owner;            /**< Incarnation; 0: never had one. */
  char address[64];          /**< Of the owner; "" if not told. */
  int64_t revision;          /**< mod_revision, the epoch; 0: no record. */
  int64_t previous_revision; /**< The revision before; 0: there was none. */
  int64_t handed_from; /**< The revision whose owner wrote this one; 0: none. */
} HsPartRecord;

/** What should be done about one partition. */
typedef enum
{
  HS_PART_NO_ACTION, /**< Nothing. */
  HS_PART_TAKE_OVER, /**< Its owner is gone and this entry is next. */
  HS_PART_HAND_OVER, /**< This entry owns it and another should. */
} HsPartAction;

HsOwnership *
hs_ownership_new (TALLOC_CTX *ctx, uint64_t self, uint32_t partitions);

/** Applies an entry's record; @p json NULL: it is gone. Old ones ignored. */
void hs_ownership_apply_entry (HsOwnership *view,
                               uint64_t incarnation,
                               const char *json,
                               int64_t revision);

/**
 * Applies a partition's record.
 * @return true if the view changed
 */
bool hs_ownership_apply_part (HsOwnership *view,
                              uint32_t part,
                              const char *json,
                              int64_t revision,
                              int64_t create_revision);

/** After a range at @p revision: entries not seen since are gone. */
void hs_ownership_retain_entries (HsOwnership *view,
                                  const uint64_t *incarnations,
                                  size_t n,
                                  int64_t revision);

const HsPartRecord *hs_ownership_part_record (const HsOwnership *view,
                                              uint32_t part);

const HsEntryRecord *hs_ownership_find_entry (const HsOwnership *view,
                                              uint64_t incarnation);

/** Entries known; the record at a position. */
uint32_t hs_ownership_entry_count (const HsOwnership *view);
const HsEntryRecord *hs_ownership_entry_at (const HsOwnership *view,
                                            uint32_t i);

/**
 * Decides about a partition. Every entry with the same view comes to the same
 * new_owner (highest random weight), and few partitions move when entries come
 * or go.
 * @param new_owner set for HS_PART_HAND_OVER: the incarnation to hand it to
 */
HsPartAction hs_ownership_decide (const HsOwnership *view,
                                  uint32_t part,
                                  uint64_t *new_owner);

/** The JSON of the two kinds of record. */
char *hs_ownership_entry_json (TALLOC_CTX *ctx, const HsEntryRecord *entry);
char *hs_ownership_part_json (TALLOC_CTX *ctx,
                              uint64_t owner,
                              const char *address,
                              int64_t handed_from);

/** Store keys, and back; the back ways return false if it isn't one. */
char *hs_ownership_entry_key (TALLOC_CTX *ctx, uint64_t incarnation);
char *hs_ownership_part_key (TALLOC_CTX *ctx, uint32_t part);
bool hs_ownership_parse_entry_key (const char *key, uint64_t *incarnation);
bool hs_ownership_parse_part_key (const char *key, uint32_t *part);

#endif
