/**
 * @file
 * Which entry owns which partition: a view of the entry and partition records
 * in the store, and the decisions that follow from it (which partitions to
 * take over, which to hand over and to whom). Does no I/O.
 */
#ifndef HS_ENTRY_OWNERSHIP_H
#define HS_ENTRY_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "base/time.h"

typedef struct HsOwnership HsOwnership;

/** The record of an entry in the store. */
typedef struct
{
  uint64_t incarnation;
  int64_t revision; /**< mod_revision of its record. */
  bool leaving;
  char address[64];
  char data_centre[65];
} HsEntryRecord;

/** The record of a partition in the store. */
typedef struct
{
  uint64_t owner;   /**< Incarnation; 0: it never had an owner. */
  char address[64]; /**< Of the owner; "" if unknown. */
  int64_t revision; /**< mod_revision, which is the epoch; 0: no record. */
  int64_t previous_revision; /**< mod_revision of the version that this entry
                                knew before, or, if none, the create_revision;
                                0: there was no version before. */
  int64_t handed_from;       /**< The revision whose owner wrote this record in
                                        a handover; 0: there was no handover. */
} HsPartRecord;

/** What this entry should do about a partition. */
typedef enum
{
  HS_PART_NO_ACTION,
  HS_PART_TAKE_OVER, /**< It has no owner, or its owner has no record, and this
                        entry is chosen as the new owner. */
  HS_PART_HAND_OVER, /**< The record names this entry as owner (which may have
                        released it), but another entry should own it. */
} HsPartAction;

HsOwnership *
hs_ownership_new (TALLOC_CTX *ctx, uint64_t self, uint32_t partitions);

/**
 * Applies an entry's record; an older one than that of the view is ignored.
 * @param json NULL: the record was deleted
 */
void hs_ownership_apply_entry (HsOwnership *view,
                               uint64_t incarnation,
                               const char *json,
                               int64_t revision);

/**
 * Applies a partition's record; one that is no newer than that of the view is
 * ignored.
 * @param create_revision of the store: the first revision of the record
 * @return whether the view changed
 */
bool hs_ownership_apply_part (HsOwnership *view,
                              uint32_t part,
                              const char *json,
                              int64_t revision,
                              int64_t create_revision);

/**
 * Removes the entries that were missing when all entry records were read.
 * @param incarnations those that the read returned
 * @param revision of the read; newer records are retained
 */
void hs_ownership_retain_entries (HsOwnership *view,
                                  const uint64_t *incarnations,
                                  size_t n,
                                  int64_t revision);

const HsPartRecord *hs_ownership_part_record (const HsOwnership *view,
                                              uint32_t part);

const HsEntryRecord *hs_ownership_find_entry (const HsOwnership *view,
                                              uint64_t incarnation);

/** The number of entries in the view, and the record at a position. */
uint32_t hs_ownership_entry_count (const HsOwnership *view);
const HsEntryRecord *hs_ownership_entry_at (const HsOwnership *view,
                                            uint32_t i);

/**
 * Decides about a partition by rendezvous hashing (highest random weight):
 * entries with the same view choose the same owner, and few partitions move
 * when an entry is added or removed.
 * @param new_owner set for HS_PART_HAND_OVER: the incarnation of the new owner
 */
HsPartAction hs_ownership_decide (const HsOwnership *view,
                                  uint32_t part,
                                  uint64_t *new_owner);

/** The JSON of the two kinds of record; allocated below @p ctx. */
char *hs_ownership_entry_json (TALLOC_CTX *ctx, const HsEntryRecord *entry);
char *hs_ownership_part_json (TALLOC_CTX *ctx,
                              uint64_t owner,
                              const char *address,
                              int64_t handed_from);

/** The store keys of records; parsing returns false for any other key. */
char *hs_ownership_entry_key (TALLOC_CTX *ctx, uint64_t incarnation);
char *hs_ownership_part_key (TALLOC_CTX *ctx, uint32_t part);
bool hs_ownership_parse_entry_key (const char *key, uint64_t *incarnation);
bool hs_ownership_parse_part_key (const char *key, uint32_t *part);

#endif
