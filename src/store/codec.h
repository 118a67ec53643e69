/**
 * @file
 * Encodes requests and decodes responses of the etcd v3 JSON gateway. Does no
 * I/O; any text is safe to decode.
 */
#ifndef HS_STORE_CODEC_H
#define HS_STORE_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "store/store.h"

/** Maximum size of a response. */
#define HS_STORE_RESPONSE_MAX_BYTES ((size_t) 8 * 1024 * 1024)

/** gRPC status code NOT_FOUND, as for a lease that has expired. */
#define HS_STORE_GRPC_NOT_FOUND 5

/** A watch response: one line of the stream. */
typedef struct
{
  bool created;  /**< First response: the store accepted the watch. */
  bool canceled; /**< The store cancelled the watch. */
  int64_t revision;
  int64_t compact_revision; /**< Not 0: the start revision was compacted. */
  size_t n_events;
  HsStoreEvent *events;
} HsStoreWatchResponse;

/** Encode requests; the text is owned by @p ctx. */
char *
hs_store_encode_range (TALLOC_CTX *ctx, const char *prefix, int64_t limit);
char *hs_store_encode_txn (TALLOC_CTX *ctx, const HsStoreTxn *txn);
char *hs_store_encode_grant (TALLOC_CTX *ctx, int64_t ttl_s);
char *hs_store_encode_lease (TALLOC_CTX *ctx, int64_t lease);
char *hs_store_encode_watch (TALLOC_CTX *ctx,
                             const char *prefix,
                             int64_t start_revision);

/**
 * Decode responses. Each sets @p reply except its status, with memory owned by
 * @p ctx, and returns false if the text is not a valid response of its kind.
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

/** Decodes one line of a watch's stream, without the newline. */
bool hs_store_decode_watch (TALLOC_CTX *ctx,
                            const char *text,
                            size_t len,
                            HsStoreWatchResponse *response);

/** Returns the gRPC status code of an error response, or -1 if it has none. */
int hs_store_decode_error (const char *text, size_t len);

#endif
