#include "store/wire.h"

#include "platform/store_wire.h"

enum
{
  HTTP_OK = 200
};

static HsStoreMessage post (TALLOC_CTX *ctx, const char *path, char *body);
static HsStoreStatus judge_gateway (TALLOC_CTX *ctx,
                                    HsStoreCallKind kind,
                                    long http_status,
                                    const char *text,
                                    size_t len,
                                    HsStoreReply *reply);

HsStoreStatus
hs_store_wire_judge (HsStoreProtocol protocol,
                     TALLOC_CTX *ctx,
                     HsStoreCallKind kind,
                     long http_status,
                     const char *text,
                     size_t len,
                     HsStoreReply *reply)
{
  switch (protocol)
    {
    case HS_STORE_GATEWAY:
      return judge_gateway (ctx, kind, http_status, text, len, reply);
    case HS_STORE_PLATFORM:
      return hs_store_platform_decode_reply (ctx, kind, http_status, text, len,
                                             reply);
    }
  return HS_STORE_UNKNOWN;
}

HsStoreMessage
hs_store_wire_range (HsStoreProtocol protocol,
                     TALLOC_CTX *ctx,
                     const char *prefix,
                     int64_t limit)
{
  if (protocol == HS_STORE_PLATFORM)
    return hs_store_platform_range (ctx, prefix);
  return post (ctx, "/v3/kv/range", hs_store_encode_range (ctx, prefix, limit));
}

HsStoreMessage
hs_store_wire_txn (HsStoreProtocol protocol,
                   TALLOC_CTX *ctx,
                   const HsStoreTxn *txn)
{
  if (protocol == HS_STORE_PLATFORM)
    return hs_store_platform_txn (ctx, txn);
  return post (ctx, "/v3/kv/txn", hs_store_encode_txn (ctx, txn));
}

HsStoreMessage
hs_store_wire_grant (HsStoreProtocol protocol, TALLOC_CTX *ctx, int64_t ttl_s)
{
  if (protocol == HS_STORE_PLATFORM)
    return hs_store_platform_grant (ctx, ttl_s);
  return post (ctx, "/v3/lease/grant", hs_store_encode_grant (ctx, ttl_s));
}

HsStoreMessage
hs_store_wire_keepalive (HsStoreProtocol protocol,
                         TALLOC_CTX *ctx,
                         int64_t lease)
{
  if (protocol == HS_STORE_PLATFORM)
    return hs_store_platform_keepalive (ctx, lease);
  return post (ctx, "/v3/lease/keepalive", hs_store_encode_lease (ctx, lease));
}

HsStoreMessage
hs_store_wire_revoke (HsStoreProtocol protocol, TALLOC_CTX *ctx, int64_t lease)
{
  if (protocol == HS_STORE_PLATFORM)
    return hs_store_platform_revoke (ctx, lease);
  return post (ctx, "/v3/lease/revoke", hs_store_encode_lease (ctx, lease));
}

HsStoreMessage
hs_store_wire_watch (HsStoreProtocol protocol,
                     TALLOC_CTX *ctx,
                     const char *prefix,
                     int64_t start_revision,
                     HsTime wait)
{
  if (protocol == HS_STORE_PLATFORM)
    return hs_store_platform_watch (ctx, prefix, start_revision, wait);
  return post (ctx, "/v3/watch",
               hs_store_encode_watch (ctx, prefix, start_revision));
}

static HsStoreMessage
post (TALLOC_CTX *ctx, const char *path, char *body)
{
  HsStoreMessage message = { "POST", talloc_strdup (ctx, path), body };

  return message;
}

static bool
decode_gateway (TALLOC_CTX *ctx,
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

/* The store looks a call's lease up before it applies anything, so that only
   a call that names an absent lease is certain. */
static HsStoreStatus
judge_gateway (TALLOC_CTX *ctx,
               HsStoreCallKind kind,
               long http_status,
               const char *text,
               size_t len,
               HsStoreReply *reply)
{
  if (http_status == HTTP_OK)
    return decode_gateway (ctx, kind, text, len, reply) ? HS_STORE_OK
                                                        : HS_STORE_UNKNOWN;
  if (hs_store_decode_error (text, len) != HS_STORE_CODE_NOT_FOUND)
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
