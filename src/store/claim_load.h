/**
 * @file
 * Loads all claims of a partition from the store, one page of keys at a time.
 */
#ifndef HS_STORE_CLAIM_LOAD_H
#define HS_STORE_CLAIM_LOAD_H

#include "store/claim_log.h"

/** A claim key found in the store, and when its value was written. */
typedef struct
{
  uint64_t number;
  int64_t wall_ms; /**< Unix time of the write in ms, by the writer's clock. */
} HsClaimLoadedKey;

/** A load in progress; the arrays are complete once `done` is called with
 *  `complete` true. */
typedef struct HsClaimLoad HsClaimLoad;
struct HsClaimLoad
{
  HsStore *store;
  uint32_t part;
  int64_t min_revision; /**< Replies at an older revision are rejected. */
  uint64_t page;        /**< Index of the page that is read. */
  size_t n_keys;
  HsClaimLoadedKey *keys;
  size_t n_records;
  HsClaimRecord *records;
  /** Called once; the load is freed when it returns. */
  void (*done) (void *arg, const HsClaimLoad *load, bool complete);
  void *arg;
};

/**
 * Starts loading a partition's claims. The load is owned by @p store.
 * @param part the partition
 * @param min_revision a reply at an older revision, as from a replica that lags
 *        behind, ends the load as incomplete
 * @param done called once with the load, unless it is cancelled; @p complete is
 *        false if a read failed, a reply was older than @p min_revision, or a
 *        key or its value is malformed
 */
HsClaimLoad *hs_claim_load_start (HsStore *store,
                                  uint32_t part,
                                  int64_t min_revision,
                                  void (*done) (void *arg,
                                                const HsClaimLoad *load,
                                                bool complete),
                                  void *arg);

/** Cancels a load: `done` is not called, and the load is freed when the reply
 *  that it waits for arrives, or with the store. */
void hs_claim_load_cancel (HsClaimLoad *load);

#endif
