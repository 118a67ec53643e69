/**
 * @file
 * Decides what is written to the store to claim submission ids, and what the
 * store's answers mean for each claim. No input or output, and time is an
 * argument: HsClaims drives it.
 *
 * Claims of a partition that wait are committed together as one key of the
 * partition's log, numbered upward. The write compares the owner record's
 * revision and the key's absence, so that a deposed owner's write fails and a
 * write whose answer was lost may be repeated: the repetition either takes
 * effect or reads the key back.
 */
#ifndef HS_STORE_CLAIM_LOG_H
#define HS_STORE_CLAIM_LOG_H

#include "store/store.h"

typedef struct HsClaimLog HsClaimLog;

/** How a claim ended. */
typedef enum
{
  HS_CLAIM_COMMITTED,   /**< In the store: the submission may start. */
  HS_CLAIM_NOT_OWNER,   /**< Another entry owns the partition. */
  HS_CLAIM_UNAVAILABLE, /**< Certain: not written; or not loaded yet. */
  HS_CLAIM_UNKNOWN      /**< It may be in the store, or still get there. */
} HsClaimOutcome;

typedef void (*HsClaimDoneFunc) (void *arg, HsClaimOutcome outcome);

/** A claim as the log has it. */
typedef struct
{
  const char *customer;
  const char *id;
  const char *digest;
  int64_t wall_ms; /**< When it was written, by its writer's clock. */
} HsClaimRecord;

/** The most bytes of one key's value, unless one claim is larger. */
#define HS_CLAIM_VALUE_MAX_BYTES ((size_t) 48 * 1024)

/** Digits of a key's number, leading zeros included. */
#define HS_CLAIM_NUMBER_DIGITS 12

typedef struct
{
  uint32_t writes_per_s; /**< Bound on writes, repetitions included. */
  HsTime timeout;        /**< A claim that waits longer ends. */
  HsTime retention;      /**< Older keys are deleted. */
} HsClaimLimits;

HsClaimLog *hs_claim_log_new (TALLOC_CTX *ctx, const HsClaimLimits *limits);

/**
 * Takes up a partition of which all claim keys were read. A partition taken up
 * before under another revision is dropped first.
 * @param revision the owner record's, as this owner wrote it
 * @param next_number one more than the last key's number
 */
void hs_claim_log_open_part (HsClaimLog *log,
                             uint32_t part_number,
                             int64_t revision,
                             uint64_t next_key_number);

/** Notes a key found while loading, so that it is deleted when it is old. */
void hs_claim_log_add_key (HsClaimLog *log,
                           uint32_t part_number,
                           uint64_t number,
                           int64_t wall_ms);

/** Lets go of a partition: its claims that wait end as deposed. */
void hs_claim_log_close_part (HsClaimLog *log, uint32_t part_number);

/**
 * Claims a submission id. @p done is called once, from this function or from
 * a later one; it may call any function but talloc_free() on the log.
 * @param revision the owner record's under which the caller owns the
 *        partition; one other than was opened is refused
 */
void hs_claim_log_add (HsClaimLog *log,
                       uint32_t part_number,
                       int64_t revision,
                       const char *customer,
                       const char *id,
                       const char *digest,
                       const HsNow *now,
                       HsClaimDoneFunc done,
                       void *arg);

/**
 * The write to send now; NULL: none. It belongs to the log and is valid until
 * hs_claim_log_handle_reply(), which must follow before the next write is
 * given.
 */
const HsStoreTxn *hs_claim_log_next_txn (HsClaimLog *log, const HsNow *now);

/** Judges the answer to the last write given. */
void hs_claim_log_handle_reply (HsClaimLog *log,
                                const HsStoreReply *reply,
                                const HsNow *now);

/** When hs_claim_log_next_txn() is to be called again, or HS_NEVER. */
HsTime hs_claim_log_next_wakeup (const HsClaimLog *log, const HsNow *now);

/** Claims of a partition that have not ended. */
size_t hs_claim_log_n_pending (const HsClaimLog *log, uint32_t part_number);

/** The key of a partition's log, of @p ctx. */
char *hs_claim_key (TALLOC_CTX *ctx, uint32_t part, uint64_t number);

/** Text of a key's value; claims are appended until it is full. */
char *hs_claim_encode (TALLOC_CTX *ctx,
                       int64_t revision,
                       int64_t wall_ms,
                       const HsClaimRecord *records,
                       size_t n_records);

/**
 * Reads a key's value.
 * @param records set to an array that belongs to @p ctx
 * @return false if it is malformed
 */
bool hs_claim_decode (TALLOC_CTX *ctx,
                      const char *text,
                      size_t len,
                      HsClaimRecord **records,
                      size_t *n_records,
                      int64_t *wall_ms);

#endif
