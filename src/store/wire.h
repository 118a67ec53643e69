/**
 * @file
 * What the store client sends and receives, in either of the two protocols
 * that it speaks.
 */
#ifndef HS_STORE_WIRE_H
#define HS_STORE_WIRE_H

#include "store/codec.h"
#include "store/store.h"

/** One request, with memory of its context. */
typedef struct
{
  const char *method; /**< "GET", "POST" or "DELETE". */
  char *path;         /**< With its query. */
  char *body;         /**< NULL: none. */
} HsStoreHttpRequest;

/** Kinds of call. */
typedef enum
{
  HS_STORE_CALL_RANGE,
  HS_STORE_CALL_TXN,
  HS_STORE_CALL_GRANT,
  HS_STORE_CALL_KEEPALIVE,
  HS_STORE_CALL_REVOKE
} HsStoreCallKind;

/**
 * Judges an answer and reads it into @p reply, with memory of @p ctx.
 * @param http_status of the answer
 */
HsStoreStatus hs_store_wire_read_response (HsStoreProtocol protocol,
                                           TALLOC_CTX *ctx,
                                           HsStoreCallKind kind,
                                           long http_status,
                                           const char *text,
                                           size_t len,
                                           HsStoreReply *reply);

HsStoreHttpRequest hs_store_wire_range (HsStoreProtocol protocol,
                                        TALLOC_CTX *ctx,
                                        const char *prefix,
                                        int64_t limit);
HsStoreHttpRequest hs_store_wire_txn (HsStoreProtocol protocol,
                                      TALLOC_CTX *ctx,
                                      const HsStoreTxn *txn);
HsStoreHttpRequest
hs_store_wire_grant (HsStoreProtocol protocol, TALLOC_CTX *ctx, int64_t ttl_s);
HsStoreHttpRequest hs_store_wire_keepalive (HsStoreProtocol protocol,
                                            TALLOC_CTX *ctx,
                                            int64_t lease);
HsStoreHttpRequest
hs_store_wire_revoke (HsStoreProtocol protocol, TALLOC_CTX *ctx, int64_t lease);
HsStoreHttpRequest hs_store_wire_watch (HsStoreProtocol protocol,
                                        TALLOC_CTX *ctx,
                                        const char *prefix,
                                        int64_t start_revision,
                                        HsTime wait);

#endif
