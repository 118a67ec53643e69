/**
 * @file
 * Shared by the files of the RPC part only.
 */
#ifndef HS_RPC_ENDPOINT_PRIVATE_H
#define HS_RPC_ENDPOINT_PRIVATE_H

#include "rpc/conn.h"
#include "rpc/record.h"

/** A connection that was accepted and whose peer has not proved that it
 *  knows the key. */
typedef struct HsHandshake
{
  HsConn *conn; /**< NULL: in no list. */
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
  int listen_fd;
  uint16_t port;
  struct tevent_fd *listen_event;
  HsHandshake *oldest_handshake;
  HsHandshake *newest_handshake;
  uint32_t n_handshakes;
};

typedef enum
{
  HS_CONN_CONNECTING,  /* TCP connect under way. */
  HS_CONN_HANDSHAKE,   /* HELLO under way. */
  HS_CONN_UNCONFIRMED, /* HELLO answered; the dialler has to use the key that
                      only this connection has. */
  HS_CONN_ESTABLISHED,
  HS_CONN_CLOSED
} HsConnState;

/** Wraps a socket; dialled tells which side this is. */
HsConn *hs_conn_new (HsRpc *rpc, int fd, bool dialled);

/** Enters a connection; ends the one that has waited longest if there are
 *  too many. */
void hs_handshakes_add (HsRpc *rpc, HsHandshake *handshake, HsConn *conn);
void hs_handshakes_remove (HsRpc *rpc, HsHandshake *handshake);

/** Fails a dial that could not even start, after returning to the loop. */
HsConn *hs_conn_new_failed (HsRpc *rpc, bool refused);

#endif
