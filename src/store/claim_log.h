/**
 * @file
 * Builds the transactions that claim submission ids in the store, and works out
 * from the replies how each claim ended. It does no I/O and takes the time as
 * an argument; HsClaims connects it to an HsStore.
 *
 * A partition's log is a sequence of keys with ascending numbers. All pending
 * claims of a partition are committed together as the next key. The transaction
 * compares the revision of the owner record, so that the write of a former
 * owner fails, and requires that the key is absent, so that a write whose reply
 * was lost can be retried: the retry either takes effect or reads back the key
 * that the first attempt wrote.
 *
 * A submission id is the id under which a customer submits a job. A partition
 * is a share of the customers, see hs_partition_of(); its owner record is the
 * key hs/part/NUMBER in the store.
 */
#ifndef HS_STORE_CLAIM_LOG_H
#define HS_STORE_CLAIM_LOG_H

#include "store/store.h"

typedef struct HsClaimLog HsClaimLog;

/** How a claim ended. */
typedef enum
{
  HS_CLAIM_COMMITTED,   /**< Stored: the submission may start. */
  HS_CLAIM_NOT_OWNER,   /**< Another entry owns the partition. */
  HS_CLAIM_UNAVAILABLE, /**< Certainly not stored, or the partition is not
                           loaded. */
  HS_CLAIM_UNKNOWN      /**< It may be stored now or later. */
} HsClaimOutcome;

/** Called once when a claim ends. */
typedef void (*HsClaimDoneFunc) (void *arg, HsClaimOutcome outcome);

/** A claim as it is stored. */
typedef struct
{
  const char *customer;
  const char *id;
  const char *digest; /**< SHA-256 of the submitted job, in hexadecimal. */
  int64_t wall_ms; /**< Unix time of the write in ms, by the writer's clock. */
} HsClaimRecord;

/** Maximum size of a key's value, unless a single claim is larger. */
#define HS_CLAIM_VALUE_MAX_BYTES ((size_t) 48 * 1024)

/** Number of digits of a key's number, including leading zeros. */
#define HS_CLAIM_NUMBER_DIGITS 12

typedef struct
{
  uint32_t writes_per_s; /**< Limit on transactions, including retries. */
  HsTime timeout;        /**< A claim that is pending for longer ends. */
  HsTime retention;      /**< Keys older than this are deleted. */
} HsClaimLimits;

/** Creates a log without partitions. @p limits is copied. */
HsClaimLog *hs_claim_log_new (TALLOC_CTX *ctx, const HsClaimLimits *limits);

/**
 * Opens a partition whose claim keys have all been read, so that claims can be
 * added. If it is open already, it is closed first.
 * @param revision revision of the owner record, as this entry wrote it
 * @param next_key_number one more than the number of the last key
 */
void hs_claim_log_open_part (HsClaimLog *log,
                             uint32_t part_number,
                             int64_t revision,
                             uint64_t next_key_number);

/**
 * Adds a key that was found when the partition was loaded, so that it is
 * deleted after the retention time. Keys are added in ascending order.
 */
void hs_claim_log_add_key (HsClaimLog *log,
                           uint32_t part_number,
                           uint64_t number,
                           int64_t wall_ms);

/** Closes a partition: its pending claims end as HS_CLAIM_NOT_OWNER. */
void hs_claim_log_close_part (HsClaimLog *log, uint32_t part_number);

/**
 * Claims a submission id.
 * @param revision revision of the owner record under which the caller owns the
 *        partition; if the partition was opened with another one, the claim
 *        ends as HS_CLAIM_NOT_OWNER
 * @param done called once, from this function or a later one of the log; it may
 *        call any function of the log but must not free it
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
 * Returns the transaction to send now, or NULL if there is none. It is owned by
 * the log and valid until hs_claim_log_handle_reply() is called with its reply;
 * until then there is no further transaction.
 */
const HsStoreTxn *hs_claim_log_next_txn (HsClaimLog *log, const HsNow *now);

/** Handles the reply to the transaction last returned. */
void hs_claim_log_handle_reply (HsClaimLog *log,
                                const HsStoreReply *reply,
                                const HsNow *now);

/** Returns when to call hs_claim_log_next_txn() again, or HS_NEVER. */
HsTime hs_claim_log_next_wakeup (const HsClaimLog *log, const HsNow *now);

/** Returns how many claims of a partition have not ended. */
size_t hs_claim_log_n_pending (const HsClaimLog *log, uint32_t part_number);

/** Returns the store key of the claim key numbered @p number in a partition's
 *  log; owned by @p ctx. */
char *hs_claim_key (TALLOC_CTX *ctx, uint32_t part, uint64_t number);

/**
 * Encodes the value of a key as JSON, owned by @p ctx.
 * @param revision revision of the owner record of the writer
 * @param wall_ms Unix time of the write in ms, by the writer's clock
 */
char *hs_claim_encode (TALLOC_CTX *ctx,
                       int64_t revision,
                       int64_t wall_ms,
                       const HsClaimRecord *records,
                       size_t n_records);

/**
 * Decodes the value of a key.
 * @param records set to an array owned by @p ctx
 * @param wall_ms set to the Unix time of the write in ms, by the writer's clock
 * @return false if the value is malformed
 */
bool hs_claim_decode (TALLOC_CTX *ctx,
                      const char *text,
                      size_t len,
                      HsClaimRecord **records,
                      size_t *n_records,
                      int64_t *wall_ms);

#endif
