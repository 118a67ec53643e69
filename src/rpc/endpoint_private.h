/**
 * @file
 * An endpoint, and the connection functions that it uses. Shared by the files
 * in this folder only.
 */
#ifndef HS_RPC_ENDPOINT_PRIVATE_H
#define HS_RPC_ENDPOINT_PRIVATE_H

#include "rpc/conn.h"
#include "rpc/record.h"

/** List element for an accepted connection whose peer hasn't yet proved that it
 *  knows the cluster key. */
typedef struct HsHandshake
{
  HsConn *conn; /**< NULL: not in the list. */
  struct HsHandshake *older;
  struct HsHandshake *newer;
} HsHandshake;

struct HsRpc
{
  struct tevent_context *ev;
  hsx_hello self;
  char self_address[HSX_ADDRESS_MAX + 1];
  char self_data_centre[HSX_NAME_MAX + 1];
  uint8_t *key;
  size_t key_len;
  HsRpcHandler handler;
  void *arg;
  HsRpcStats stats;
  uint64_t rejected_reported; /* Of the rejected records. */
  HsTime rejected_reported_at;
  int listen_fd;
  uint16_t port;
  struct tevent_fd *listen_event;
  HsHandshake *oldest_handshake;
  HsHandshake *newest_handshake;
  uint32_t n_handshakes;
  uint32_t max_handshakes;
};

typedef enum
{
  HS_CONN_CONNECTING,  /* TCP connect in progress. */
  HS_CONN_HANDSHAKE,   /* HELLO exchange in progress. */
  HS_CONN_UNCONFIRMED, /* HELLO answered; no record under the session key has
                          been received from the dialling side yet. */
  HS_CONN_ESTABLISHED,
  HS_CONN_CLOSED
} HsConnState;

/** Creates a connection on a socket.
 *  @param dialled whether this side dialled the peer or accepted it */
HsConn *hs_conn_new (HsRpc *rpc, int fd, bool dialled);

/** Adds a connection to the handshakes in progress. If there are
 *  too many, the oldest is closed. */
void hs_handshakes_add (HsRpc *rpc, HsHandshake *handshake, HsConn *conn);
void hs_handshakes_remove (HsRpc *rpc, HsHandshake *handshake);

/** Creates the connection of a dial that failed at once; `disconnected` is
 *  called from the event loop. */
HsConn *hs_conn_new_failed (HsRpc *rpc, bool refused);

#endif
