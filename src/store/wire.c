#include "store/wire.h"

#include "platform/store_wire.h"

enum
{
  HTTP_OK = 200
};

static HsStoreHttpRequest
etcd_request (TALLOC_CTX *ctx, const char *path, char *body);
static HsStoreStatus read_etcd_response (TALLOC_CTX *ctx,
                                         HsStoreCallKind kind,
                                         long http_status,
                                         const char *text,
                                         size_t len,
                                         HsStoreReply *reply);

HsStoreStatus
hs_store_wire_read_response (HsStoreProtocol protocol,
                             TALLOC_CTX *ctx,
                             HsStoreCallKind kind,
                             long http_status,
                             const char *text,
                             size_t len,
                             HsStoreReply *reply)
{
  switch (protocol)
    {
    case HS_STORE_PROTOCOL_ETCD:
      return read_etcd_response (ctx, kind, http_status, text, len, reply);
    case HS_STORE_PROTOCOL_PLATFORM:
      return hs_store_platform_decode_reply (ctx, kind, http_status, text, len,
                                             reply);
    }
  return HS_STORE_UNKNOWN;
}

HsStoreHttpRequest
hs_store_wire_range (HsStoreProtocol protocol,
                     TALLOC_CTX *ctx,
                     const char *prefix,
                     int64_t limit)
{
  if (protocol == HS_STORE_PROTOCOL_PLATFORM)
    return hs_store_platform_range (ctx, prefix);
  return etcd_request (ctx, "/v3/kv/range",
                       hs_store_encode_range (ctx, prefix, limit));
}

HsStoreHttpRequest
hs_store_wire_txn (HsStoreProtocol protocol,
                   TALLOC_CTX *ctx,
                   const HsStoreTxn *txn)
{
  if (protocol == HS_STORE_PROTOCOL_PLATFORM)
    return hs_store_platform_txn (ctx, txn);
  return etcd_request (ctx, "/v3/kv/txn", hs_store_encode_txn (ctx, txn));
}

HsStoreHttpRequest
hs_store_wire_grant (HsStoreProtocol protocol, TALLOC_CTX *ctx, int64_t ttl_s)
{
  if (protocol == HS_STORE_PROTOCOL_PLATFORM)
    return hs_store_platform_grant (ctx, ttl_s);
  return etcd_request (ctx, "/v3/lease/grant",
                       hs_store_encode_grant (ctx, ttl_s));
}

HsStoreHttpRequest
hs_store_wire_keepalive (HsStoreProtocol protocol,
                         TALLOC_CTX *ctx,
                         int64_t lease)
{
  if (protocol == HS_STORE_PROTOCOL_PLATFORM)
    return hs_store_platform_keepalive (ctx, lease);
  return etcd_request (ctx, "/v3/lease/keepalive",
                       hs_store_encode_lease (ctx, lease));
}

HsStoreHttpRequest
hs_store_wire_revoke (HsStoreProtocol protocol, TALLOC_CTX *ctx, int64_t lease)
{
  if (protocol == HS_STORE_PROTOCOL_PLATFORM)
    return hs_store_platform_revoke (ctx, lease);
  return etcd_request (ctx, "/v3/lease/revoke",
                       hs_store_encode_lease (ctx, lease));
}

HsStoreHttpRequest
hs_store_wire_watch (HsStoreProtocol protocol,
                     TALLOC_CTX *ctx,
                     const char *prefix,
                     int64_t start_revision,
                     HsTime wait)
{
  if (protocol == HS_STORE_PROTOCOL_PLATFORM)
    return hs_store_platform_watch (ctx, prefix, start_revision, wait);
  return etcd_request (ctx, "/v3/watch",
                       hs_store_encode_watch (ctx, prefix, start_revision));
}

static HsStoreHttpRequest
etcd_request (TALLOC_CTX *ctx, const char *path, char *body)
{
  HsStoreHttpRequest request = { "POST", talloc_strdup (ctx, path), body };

  return request;
}

static bool
decode_etcd_response (TALLOC_CTX *ctx,
                      HsStoreCallKind kind,
                      const char *text,
                      size_t len,
                      HsStoreReply *reply)
{
  switch (kind)
    {
    case HS_STORE_CALL_RANGE:
      return hs_store_decode_range (ctx, text, len, reply);
    case HS_STORE_CALL_TXN:
      return hs_store_decode_txn (ctx, text, len, reply);
    case HS_STORE_CALL_GRANT:
      return hs_store_decode_grant (ctx, text, len, reply);
    case HS_STORE_CALL_KEEPALIVE:
      return hs_store_decode_keepalive (ctx, text, len, reply);
    case HS_STORE_CALL_REVOKE:
      return hs_store_decode_revoke (ctx, text, len, reply);
    }
  return false;
}

/* The store looks up the lease of a call before it applies anything, so that
   the outcome is certain only when the lease does not exist. */
static HsStoreStatus
read_etcd_response (TALLOC_CTX *ctx,
                    HsStoreCallKind kind,
                    long http_status,
                    const char *text,
                    size_t len,
                    HsStoreReply *reply)
{
  if (http_status == HTTP_OK)
    return decode_etcd_response (ctx, kind, text, len, reply)
               ? HS_STORE_OK
               : HS_STORE_UNKNOWN;
  if (hs_store_decode_error (text, len) != HS_STORE_GRPC_NOT_FOUND)
    return HS_STORE_UNKNOWN;
  switch (kind)
    {
    case HS_STORE_CALL_TXN:
      return HS_STORE_NOT_APPLIED;
    case HS_STORE_CALL_REVOKE:
      return HS_STORE_OK;
    default:
      return HS_STORE_UNKNOWN;
    }
}
