/**
 * @file
 * Shared by the files of the RPC part only.
 */
#ifndef HS_RPC_INTERNAL_H
#define HS_RPC_INTERNAL_H

#include "rpc/conn.h"
#include "rpc/record.h"

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
};

typedef enum
{
  HS_CONN_CONNECTING, /* TCP connect under way. */
  HS_CONN_GREETING,   /* HELLO under way. */
  HS_CONN_UP,
  HS_CONN_CLOSED
} HsConnState;

/** Wraps a socket; dialled tells which side this is. */
HsConn *hs_conn_new (HsRpc *rpc, int fd, bool dialled);

/** Fails a dial that could not even start, after returning to the loop. */
HsConn *hs_conn_new_failed (HsRpc *rpc, bool refused);

#endif
