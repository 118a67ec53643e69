/**
 * @file
 * Builds the HTTP requests of the store client and reads the responses, in
 * either of its two protocols.
 */
#ifndef HS_STORE_WIRE_H
#define HS_STORE_WIRE_H

#include "store/codec.h"
#include "store/store.h"

/** An HTTP request; its strings are owned by the context it was built with. */
typedef struct
{
  const char *method; /**< "GET", "POST" or "DELETE". */
  char *path;         /**< Including the query string. */
  char *body;         /**< NULL: none. */
} HsStoreHttpRequest;

/** Kinds of call to the store, other than watches. */
typedef enum
{
  HS_STORE_CALL_RANGE,
  HS_STORE_CALL_TXN,
  HS_STORE_CALL_GRANT,
  HS_STORE_CALL_KEEPALIVE,
  HS_STORE_CALL_REVOKE
} HsStoreCallKind;

/**
 * Reads a response into @p reply, with memory owned by @p ctx.
 * @param http_status HTTP status of the response
 * @return the status of the call; @p reply is meaningful only for HS_STORE_OK
 */
HsStoreStatus hs_store_wire_read_response (HsStoreProtocol protocol,
                                           TALLOC_CTX *ctx,
                                           HsStoreCallKind kind,
                                           long http_status,
                                           const char *text,
                                           size_t len,
                                           HsStoreReply *reply);

/** Build the requests of the calls and of a watch, owned by @p ctx. */
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
/** @param wait how long the platform may hold a long poll's response back */
HsStoreHttpRequest hs_store_wire_watch (HsStoreProtocol protocol,
                                        TALLOC_CTX *ctx,
                                        const char *prefix,
                                        int64_t start_revision,
                                        HsTime wait);

#endif
