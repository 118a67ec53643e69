/**
 * @file
 * Internals of the simulated connections between processes, shared by net*.c.
 */
#ifndef HS_MATRIX_NET_PRIVATE_H
#define HS_MATRIX_NET_PRIVATE_H

#include "rpc/conn.h"
#include "world.h"

typedef struct
{
  HsConn *ends[2];         /* NULL: closed, or not up yet. */
  HsTime last_at[2];       /* When the last message arrives at a side. */
  HsTime delayed_until[2]; /* Nothing arrives at a side before this. */
  bool lost[2];            /* Messages in flight to a side are lost. */
  HsTime host_died_at;     /* When the host of one side died; 0: none. */
} Pipe;

typedef struct PendingCall PendingCall;

struct HsRpc
{
  Proc *proc;
  char address[HSX_ADDRESS_MAX + 1];
  hsx_hello self;
  HsRpcHandler handler;
  void *arg;
  GPtrArray *conns;
  HsRpcStats stats;
};

struct HsConn
{
  HsRpc *rpc;
  Pipe *pipe;
  int side;
  bool up;
  bool ended;
  HsConnKeepalive watch;
  void *data;
  hsx_hello peer;
  Proc *peer_proc;
  PendingCall *pending;
  HsRpcCallId next_call;
};

typedef struct
{
  Pipe *pipe;
  int side;
} PipeEnd;

/** Ends one side of a connection at @p at or once everything that was sent to
 *  it has arrived, whichever is later. */
void net_close_end_later (Pipe *pipe, int side, HsTime at);

/** Checks that the peer's host has not been dead for longer than
 *  NET_DEAD_HOST_NOTICE_MAX; called when a START is sent. */
void net_check_peer_host (const HsConn *conn);

/** Ends all calls that wait for a reply with HS_RPC_DISCONNECTED. */
void net_fail_pending (HsConn *conn);

#endif
