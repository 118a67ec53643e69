/**
 * @file
 * Connections between processes, as the files that make them up see them.
 */
#ifndef HS_MATRIX_NET_PRIVATE_H
#define HS_MATRIX_NET_PRIVATE_H

#include "rpc/conn.h"
#include "world.h"

typedef struct
{
  HsConn *ends[2];      /* NULL: that side has closed, or is not up. */
  HsTime last_at[2];    /* Arrival of the last message to a side. */
  HsTime held_until[2]; /* Nothing arrives at a side before. */
  bool lost[2];         /* What is in flight to a side is lost. */
  HsTime host_died_at;  /* Of one side; 0: both live. */
} Pipe;

typedef struct Pending Pending;

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
  Pending *pending;
  HsRpcCallId next_call;
};

typedef struct
{
  Pipe *pipe;
  int side;
} PipeEnd;

/** Ends one side of a connection after what was sent to it has arrived. */
void net_end_later (Pipe *pipe, int side, HsTime at);

/** Checks that no work is sent to a host that died a while ago. */
void net_check_work (const HsConn *conn);

/** Ends all calls that wait for a reply, as HS_RPC_DISCONNECTED. */
void net_fail_pending (HsConn *conn);

#endif
