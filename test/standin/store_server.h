/**
 * @file
 * Serves an HsKv over HTTP as the etcd v3 JSON gateway does, on a tevent
 * loop, with faults on demand. POST /fault and GET /calls steer it.
 */
#ifndef HS_STANDIN_STORE_SERVER_H
#define HS_STANDIN_STORE_SERVER_H

#include <tevent.h>

#include "gateway.h"

typedef struct HsStoreServer HsStoreServer;

/** Faults in force; may be changed at any time. */
typedef struct
{
  bool down;                 /**< Close each connection, apply nothing. */
  HsTime delay;              /**< Wait before each call is carried out. */
  unsigned int lose_answers; /**< Next writes: apply, close, no answer. */
  HsTime lag_watches;        /**< Tell watches of changes this much later. */
  unsigned int stale_ranges; /**< Next ranges: answer as of before the last
                                  change, where history has it. */
} HsStoreFaults;

/** Listens on @p ip and @p port, 0: a free one. NULL if that fails. */
HsStoreServer *hs_store_server_new (TALLOC_CTX *ctx,
                                    struct tevent_context *ev,
                                    const char *ip,
                                    uint16_t port);

uint16_t hs_store_server_port (const HsStoreServer *server);
HsKv *hs_store_server_kv (HsStoreServer *server);
HsStoreFaults *hs_store_server_faults (HsStoreServer *server);

/** Closes the connection of every watch. */
void hs_store_server_close_watches (HsStoreServer *server);

/** Calls of a kind that have arrived, those that were lost included. */
uint64_t hs_store_server_calls (const HsStoreServer *server,
                                HsGatewayCall call);

unsigned int hs_store_server_watch_count (const HsStoreServer *server);

#endif
