/**
 * @file
 * State of the claim log, shared by its files: claim_log.c manages the claims
 * and their deadlines, claim_txn.c builds transactions and handles replies.
 */
#ifndef HS_STORE_CLAIM_LOG_PRIVATE_H
#define HS_STORE_CLAIM_LOG_PRIVATE_H

#include "store/claim_log.h"

/* Expired keys of a partition without new claims are deleted after this delay,
   so that one transaction deletes several of them. */
#define HS_CLAIM_DELETE_DELAY (10 * HS_SEC)

/** A claim that has not ended, or whose callback is still to be called. */
typedef struct
{
  char *customer;
  char *id;
  char *digest;
  size_t size; /* Approximate size in the key's value. */
  HsTime deadline;
  bool maybe_written; /* A transaction with it got no reply. */
  HsClaimDoneFunc done;
  void *arg;
  HsClaimOutcome outcome; /* Set when the claim ends. */
} HsClaim;

/** A claim key that is in the store. */
typedef struct
{
  uint64_t number;
  int64_t wall_ms; /* Unix time of the write in ms, by the writer's clock. */
} HsClaimKey;

/** A partition that this entry owns. */
typedef struct
{
  uint32_t part;
  int64_t revision; /* Of the owner record. */
  uint64_t next_key_number;
  char *owner_key;
  GQueue pending; /* HsClaim *, not in the batch yet. */
  GQueue batch;   /* HsClaim *, encoded in batch_text. */
  char *batch_text;
  int64_t batch_wall_ms;
  GQueue keys;           /* HsClaimKey *, oldest first. */
  char *claim_store_key; /* Put by the current transaction; NULL: none. */
  size_t n_deletes;      /* Keys deleted by the current transaction. */
} HsClaimPart;

struct HsClaimLog
{
  HsClaimLimits limits;
  GHashTable *parts; /* uint32_t * to HsClaimPart *. */
  GQueue part_queue; /* HsClaimPart *, round robin: next one first. */
  GPtrArray *parts_in_txn;
  HsStoreTxn *txn;        /* Waits for its reply; NULL: none. */
  size_t txn_bytes;       /* Total size of the values in txn. */
  HsTime rate_limit_time; /* When the next write is due at the steady rate. */
  HsTime retry_time;      /* No transaction before this. */
  HsTime retry_delay;
  GQueue ended; /* HsClaim *, callbacks still to be called. */
  bool notifying;
};

/** Ends claims; their callbacks are called later. */
void hs_claim_log_end_claims (HsClaimLog *log,
                              GQueue *claims,
                              HsClaimOutcome outcome);

/** Removes a partition and ends its claims as HS_CLAIM_NOT_OWNER. */
void hs_claim_log_remove_part (HsClaimLog *log, HsClaimPart *part);

/** Frees the text of a batch, which has no claims any more. */
void hs_claim_part_clear_batch (HsClaimPart *part);

/** Adds a key that is in the store. */
void
hs_claim_part_add_key (HsClaimPart *part, uint64_t number, int64_t wall_ms);

/** Builds the next transaction, if any partition needs one. */
void hs_claim_log_build_txn (HsClaimLog *log, const HsNow *now);

/**
 * Handles the reply for one of the partitions in the transaction.
 * @return false if the partition's part of the transaction has to be retried
 */
bool hs_claim_log_handle_part_reply (HsClaimLog *log,
                                     HsClaimPart *part,
                                     const HsStoreReply *reply);

#endif
