/**
 * @file
 * Shared by the files of the RPC part only.
 */
#ifndef HS_RPC_INTERNAL_H
#define HS_RPC_INTERNAL_H

#include "rpc/conn.h"
#include "rpc/record.h"

/** A connection that was accepted and whose peer has not proved that it
 *  knows the key. */
typedef struct HsGreeting
{
  HsConn *conn; /**< NULL: in no list. */
  struct HsGreeting *older;
  struct HsGreeting *newer;
} HsGreeting;

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
  HsGreeting *oldest;
  HsGreeting *newest;
  uint32_t n_greetings;
};

typedef enum
{
  HS_CONN_CONNECTING, /* TCP connect under way. */
  HS_CONN_GREETING,   /* HELLO under way. */
  HS_CONN_PROVING,    /* HELLO answered; the dialler has to use the key that
                         only this connection has. */
  HS_CONN_UP,
  HS_CONN_CLOSED
} HsConnState;

/** Wraps a socket; dialled tells which side this is. */
HsConn *hs_conn_new (HsRpc *rpc, int fd, bool dialled);

/** Enters a connection; ends the one that has waited longest if there are
 *  too many. */
void hs_greetings_add (HsRpc *rpc, HsGreeting *greeting, HsConn *conn);
void hs_greetings_remove (HsRpc *rpc, HsGreeting *greeting);

/** Fails a dial that could not even start, after returning to the loop. */
HsConn *hs_conn_new_failed (HsRpc *rpc, bool refused);

#endif
