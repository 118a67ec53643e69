/**
 * @file
 * Applies JSON requests of the etcd v3 gateway to an HsKv and formats the
 * responses. Does no input or output.
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

/** Returns the call for a URL path; HS_GATEWAY_N_CALLS if there is none. */
HsGatewayCall hs_gateway_call_of_path (const char *path);

/** Returns the name of a call, such as "range"; static storage. */
const char *hs_gateway_call_name (HsGatewayCall call);

typedef struct
{
  unsigned int http_status;
  char *body;
} HsGatewayResponse;

/**
 * Executes any call except a watch.
 * @param read_revision ranges are read as of this revision; 0: the current one
 * @param ctx owner of the response's body
 */
void hs_gateway_handle (TALLOC_CTX *ctx,
                        HsKv *kv,
                        HsGatewayCall call,
                        const char *text,
                        size_t len,
                        int64_t read_revision,
                        HsTime now,
                        HsGatewayResponse *response);

/** The state of a watch. */
typedef struct
{
  HsKvRange range;
  int64_t next_revision;
  bool created;  /**< The first line has been returned. */
  bool canceled; /**< The last line has been returned. */
} HsGatewayWatch;

/** Parses a watch request; false if it is malformed. */
bool hs_gateway_parse_watch (TALLOC_CTX *ctx,
                             HsKv *kv,
                             const char *text,
                             size_t len,
                             HsGatewayWatch *watch);

/** Returns the next line of a watch, with its newline; NULL if nothing has
 *  changed. The caller owns it through @p ctx. */
char *
hs_gateway_next_watch_line (TALLOC_CTX *ctx, HsKv *kv, HsGatewayWatch *watch);

#endif
