/**
 * @file
 * Claims of submission ids in the store: drives HsClaimLog on an HsStore. All
 * functions and callbacks belong to the loop's thread.
 */
#ifndef HS_STORE_CLAIMS_H
#define HS_STORE_CLAIMS_H

#include "store/claim_log.h"

typedef struct HsClaims HsClaims;

/** Receives a partition's claims, in the order of their writes. */
typedef void (*HsClaimsLoadedFunc) (void *arg,
                                    uint32_t part,
                                    bool complete,
                                    size_t n_records,
                                    const HsClaimRecord *records);

/**
 * Creates the claims of an entry. Free it with talloc_free() before the store,
 * in no callback of its own; callbacks that are due are not called then.
 */
HsClaims *hs_claims_new (TALLOC_CTX *ctx,
                         struct tevent_context *ev,
                         HsStore *store,
                         const HsClaimLimits *limits);

/**
 * Reads all claims of a partition that this entry has just become the owner
 * of, and takes it up. Claims are refused as unavailable until then. Call it
 * anew where @p complete is false: the store didn't answer, or a key can't
 * be read.
 * @param revision the owner record's, as this entry wrote it
 */
void hs_claims_load_part (HsClaims *claims,
                          uint32_t part,
                          int64_t revision,
                          HsClaimsLoadedFunc loaded,
                          void *arg);

/** Lets go of a partition; see hs_claim_log_close_part(). */
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

/** Claims of a partition that have not ended. */
size_t hs_claims_n_pending (const HsClaims *claims, uint32_t part);

#endif
