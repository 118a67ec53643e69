/**
 * @file
 * The JSON requests and answers of the etcd v3 gateway, applied to an HsKv.
 * No input or output.
 */
#ifndef HS_STANDIN_GATEWAY_H
#define HS_STANDIN_GATEWAY_H

#include "kv.h"

typedef enum
{
  HS_GATEWAY_RANGE,
  HS_GATEWAY_TXN,
  HS_GATEWAY_GRANT,
  HS_GATEWAY_KEEPALIVE,
  HS_GATEWAY_REVOKE,
  HS_GATEWAY_WATCH,
  HS_GATEWAY_N_CALLS
} HsGatewayCall;

/** The call that a path names; HS_GATEWAY_N_CALLS if none. */
HsGatewayCall hs_gateway_call_of_path (const char *path);

/** The word for a call, as "range"; static storage. */
const char *hs_gateway_call_name (HsGatewayCall call);

typedef struct
{
  unsigned int http_status;
  char *body;
} HsGatewayResponse;

/**
 * Carries out any call but a watch.
 * @param read_revision ranges answer as of this revision; 0: the present
 * @param ctx owner of the answer's body
 */
void hs_gateway_handle (TALLOC_CTX *ctx,
                        HsKv *kv,
                        HsGatewayCall call,
                        const char *text,
                        size_t len,
                        int64_t read_revision,
                        HsTime now,
                        HsGatewayResponse *response);

/** A watch as its request asks for it. */
typedef struct
{
  HsKvRange range;
  int64_t next_revision;
  bool created;  /**< The first line was written. */
  bool canceled; /**< The last line was written. */
} HsGatewayWatch;

/** False if the text isn't a watch's request. */
bool hs_gateway_parse_watch (TALLOC_CTX *ctx,
                             HsKv *kv,
                             const char *text,
                             size_t len,
                             HsGatewayWatch *watch);

/** The next line for a watch, newline included; NULL: nothing new. */
char *
hs_gateway_next_watch_line (TALLOC_CTX *ctx, HsKv *kv, HsGatewayWatch *watch);

#endif
