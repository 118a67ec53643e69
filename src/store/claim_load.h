/**
 * @file
 * Reads all claims of a partition from the store, page by page.
 */
#ifndef HS_STORE_CLAIM_LOAD_H
#define HS_STORE_CLAIM_LOAD_H

#include "store/claim_log.h"

/** A claim key that was read. */
typedef struct
{
  uint64_t number;
  int64_t wall_ms;
} HsClaimLoadedKey;

/** A load under way; the arrays are whole once it is done. */
typedef struct HsClaimLoad HsClaimLoad;
struct HsClaimLoad
{
  HsStore *store;
  uint32_t part;
  int64_t min_revision; /**< Revision from which on the answers are complete. */
  uint64_t page;
  size_t n_keys;
  HsClaimLoadedKey *keys;
  size_t n_records;
  HsClaimRecord *records;
  /** Called once; @p load is freed after it. */
  void (*done) (void *arg, const HsClaimLoad *load, bool complete);
  void *arg;
};

/**
 * Starts a load; it belongs to the store. An answer of a replica that has not
 * reached @p at_least ends it as incomplete.
 */
HsClaimLoad *hs_claim_load_start (HsStore *store,
                                  uint32_t part,
                                  int64_t min_revision,
                                  void (*done) (void *arg,
                                                const HsClaimLoad *load,
                                                bool complete),
                                  void *arg);

/** Ends a load without calling `done`; the store frees it later. */
void hs_claim_load_cancel (HsClaimLoad *load);

#endif
