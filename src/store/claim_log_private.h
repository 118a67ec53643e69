/**
 * @file
 * State of the claim log, shared by its files: claim_log.c keeps the claims
 * and their deadlines, claim_txn.c makes and judges writes.
 */
#ifndef HS_STORE_CLAIM_LOG_PRIVATE_H
#define HS_STORE_CLAIM_LOG_PRIVATE_H

#include "store/claim_log.h"

/* Old keys without claims to go along wait this long to be deleted together. */
#define HS_CLAIM_DELETE_DELAY (10 * HS_SEC)

/** A claim that has not ended, or is to be told so. */
typedef struct
{
  char *customer;
  char *id;
  char *digest;
  size_t size; /* In the value, about. */
  HsTime deadline;
  bool maybe_written; /* A write that had it was not answered. */
  HsClaimDoneFunc done;
  void *arg;
  HsClaimOutcome outcome; /* Once ended. */
} HsClaim;

/** A key known to be in the store. */
typedef struct
{
  uint64_t number;
  int64_t wall_ms;
} HsClaimKey;

/** A partition of which this entry is the owner. */
typedef struct
{
  uint32_t part;
  int64_t revision;
  uint64_t next_key_number;
  char *owner_key;
  GQueue pending; /* HsClaim *, not in a batch. */
  GQueue batch;   /* HsClaim *, with their text fixed. */
  char *batch_text;
  int64_t batch_wall_ms;
  GQueue keys;           /* HsClaimKey *, the oldest first. */
  char *claim_store_key; /* In the write under way; NULL: deletions only. */
  size_t n_deletes;      /* In the write under way. */
} HsClaimPart;

struct HsClaimLog
{
  HsClaimLimits limits;
  GHashTable *parts; /* uint32_t * to HsClaimPart *. */
  GQueue part_queue; /* HsClaimPart *, whose turn it is first. */
  GPtrArray *parts_in_txn;
  HsStoreTxn *txn;        /* NULL: none under way. */
  size_t txn_bytes;       /* Of the values in it. */
  HsTime rate_limit_time; /* When the writes given are paid for. */
  HsTime retry_time;      /* No write before this. */
  HsTime retry_delay;
  GQueue ended; /* HsClaim *, to be told. */
  bool notifying;
};

/** Moves claims to those that are to be told of their end. */
void hs_claim_log_end_claims (HsClaimLog *log,
                              GQueue *claims,
                              HsClaimOutcome outcome);

/** Frees a part and ends its claims as deposed. */
void hs_claim_log_remove_part (HsClaimLog *log, HsClaimPart *part);

/** Forgets the text of a batch without claims. */
void hs_claim_part_clear_batch (HsClaimPart *part);

/** Notes a key that is in the store. */
void
hs_claim_part_add_key (HsClaimPart *part, uint64_t number, int64_t wall_ms);

/** Makes the next write, if anything waits for one. */
void hs_claim_log_build_txn (HsClaimLog *log, const HsNow *now);

/** Judges the answer for one part; false if it has to be asked again. */
bool hs_claim_log_handle_part_reply (HsClaimLog *log,
                                     HsClaimPart *part,
                                     const HsStoreReply *reply);

#endif
