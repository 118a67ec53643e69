/**
 * @file
 * Messages of the etcd v3 JSON gateway: requests to text, answers from text.
 * No input or output; any answer is safe to decode.
 */
#ifndef HS_STORE_CODEC_H
#define HS_STORE_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "store/store.h"

/** The most bytes that one answer may have. */
#define HS_STORE_RESPONSE_MAX_BYTES ((size_t) 8 * 1024 * 1024)

/** gRPC's code for an absent thing, as a lease that lapsed. */
#define HS_STORE_GRPC_NOT_FOUND 5

/** What one line of a watch says. */
typedef struct
{
  bool created;  /**< First line: the store has accepted the watch. */
  bool canceled; /**< The store ended the watch. */
  int64_t revision;
  int64_t compact_revision; /**< Not 0: the start revision is compacted. */
  size_t n_events;
  HsStoreEvent *events;
} HsStoreWatchResponse;

/** Requests; the text belongs to @p ctx. */
char *
hs_store_encode_range (TALLOC_CTX *ctx, const char *prefix, int64_t limit);
char *hs_store_encode_txn (TALLOC_CTX *ctx, const HsStoreTxn *txn);
char *hs_store_encode_grant (TALLOC_CTX *ctx, int64_t ttl_s);
char *hs_store_encode_lease (TALLOC_CTX *ctx, int64_t lease);
char *hs_store_encode_watch (TALLOC_CTX *ctx,
                             const char *prefix,
                             int64_t start_revision);

/**
 * Answers. Each fills @p reply but for its status, with memory of @p ctx, and
 * returns false if the text isn't such an answer.
 */
bool hs_store_decode_range (TALLOC_CTX *ctx,
                            const char *text,
                            size_t len,
                            HsStoreReply *reply);
bool hs_store_decode_txn (TALLOC_CTX *ctx,
                          const char *text,
                          size_t len,
                          HsStoreReply *reply);
bool hs_store_decode_grant (TALLOC_CTX *ctx,
                            const char *text,
                            size_t len,
                            HsStoreReply *reply);
bool hs_store_decode_keepalive (TALLOC_CTX *ctx,
                                const char *text,
                                size_t len,
                                HsStoreReply *reply);
bool hs_store_decode_revoke (TALLOC_CTX *ctx,
                             const char *text,
                             size_t len,
                             HsStoreReply *reply);

/** One line of a watch's answer, without the newline. */
bool hs_store_decode_watch (TALLOC_CTX *ctx,
                            const char *text,
                            size_t len,
                            HsStoreWatchResponse *response);

/** The gRPC code of an error answer; -1 if the text isn't one. */
int hs_store_decode_error (const char *text, size_t len);

#endif
