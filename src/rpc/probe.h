/**
 * @file
 * Checks a connection by a call. A connection whose keepalive is long is
 * checked when another process says that it has lost its own to the peer.
 */
#ifndef HS_RPC_PROBE_H
#define HS_RPC_PROBE_H

#include "rpc/conn.h"

/** A peer that leaves PROBE unanswered for so long is taken for gone. */
#define HS_PROBE_TIMEOUT (700 * HS_MSEC)

/**
 * Calls PROBE and closes the connection if no reply comes in time.
 * @param suspected_by who has lost the peer; 0: nobody
 */
void hs_probe (HsConn *conn, uint64_t suspected_by);

/** Answers PROBE. */
void hs_probe_reply (HsConn *conn, HsRpcCallId call);

#endif
