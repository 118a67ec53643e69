/**
 * @file
 * Serves an HsKv over HTTP like the etcd v3 JSON gateway, on a tevent loop.
 * POST /fault injects faults; GET /calls reports the number of calls.
 */
#ifndef HS_STANDIN_STORE_SERVER_H
#define HS_STANDIN_STORE_SERVER_H

#include <tevent.h>

#include "gateway.h"

typedef struct HsStoreServer HsStoreServer;

/** Active faults; may be changed at any time. */
typedef struct
{
  bool down;                 /**< Close each connection and apply nothing. */
  HsTime delay;              /**< Delay before each call is executed. */
  unsigned int lose_answers; /**< Number of next writes to apply without an
                                  answer; the connection is closed. */
  HsTime lag_watches;        /**< Delay of the events of watches. */
  unsigned int stale_ranges; /**< Number of next ranges to answer as of the
                                  revision before the current one, if it hasn't
                                  been compacted. */
} HsStoreFaults;

/** Listens on @p ip and @p port; 0: a free port. NULL if that fails. */
HsStoreServer *hs_store_server_new (TALLOC_CTX *ctx,
                                    struct tevent_context *ev,
                                    const char *ip,
                                    uint16_t port);

uint16_t hs_store_server_port (const HsStoreServer *server);
HsKv *hs_store_server_kv (HsStoreServer *server);
HsStoreFaults *hs_store_server_faults (HsStoreServer *server);

/** Closes the connection of every watch. */
void hs_store_server_close_watches (HsStoreServer *server);

/** Returns the number of received calls of a kind, including those whose answer
 *  was lost. */
uint64_t hs_store_server_calls (const HsStoreServer *server,
                                HsGatewayCall call);

unsigned int hs_store_server_watch_count (const HsStoreServer *server);

#endif
