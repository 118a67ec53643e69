/**
 * @file
 * Claims submission ids in the store: sends the transactions of an HsClaimLog
 * through an HsStore. All functions and callbacks run in the event loop's
 * thread.
 */
#ifndef HS_STORE_CLAIMS_H
#define HS_STORE_CLAIMS_H

#include "store/claim_log.h"

typedef struct HsClaims HsClaims;

/**
 * Receives the claims of a partition, in the order in which they were written.
 * @param complete false if a read failed, a reply was older than the owner
 *        record, or a key or its value is malformed
 * @param records valid during the callback
 */
typedef void (*HsClaimsLoadedFunc) (void *arg,
                                    uint32_t part,
                                    bool complete,
                                    size_t n_records,
                                    const HsClaimRecord *records);

/**
 * Creates the object through which an entry claims submission ids; no
 * partition is open yet. Free it with
 * talloc_free() before the store, and not from one of its callbacks; callbacks
 * of claims that have not ended are not called then.
 */
HsClaims *hs_claims_new (TALLOC_CTX *ctx,
                         struct tevent_context *ev,
                         HsStore *store,
                         const HsClaimLimits *limits);

/**
 * Loads all claims of a partition that this entry has just become the owner of,
 * and opens the partition. Until then, claims end as HS_CLAIM_UNAVAILABLE. If
 * @p loaded is called with `complete` false, call this function again.
 * @param revision revision of the owner record, as this entry wrote it
 */
void hs_claims_load_part (HsClaims *claims,
                          uint32_t part,
                          int64_t revision,
                          HsClaimsLoadedFunc loaded,
                          void *arg);

/** Closes a partition; see hs_claim_log_close_part(). */
void hs_claims_close_part (HsClaims *claims, uint32_t part);

/** Claims a submission id; see hs_claim_log_add(). */
void hs_claims_add (HsClaims *claims,
                    uint32_t part,
                    int64_t revision,
                    const char *customer,
                    const char *id,
                    const char *digest,
                    const HsNow *now,
                    HsClaimDoneFunc done,
                    void *arg);

/** Returns how many claims of a partition have not ended. */
size_t hs_claims_n_pending (const HsClaims *claims, uint32_t part);

#endif
