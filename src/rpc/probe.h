/**
 * @file
 * Checks by a call whether a peer still responds. Connections with a long
 * keepalive interval are checked when another process reports that it has lost
 * its own connection to the peer.
 */
#ifndef HS_RPC_PROBE_H
#define HS_RPC_PROBE_H

#include "rpc/conn.h"

/** A peer that doesn't answer PROBE in this time is considered unreachable. */
#define HS_PROBE_TIMEOUT (700 * HS_MSEC)

/**
 * Calls PROBE and closes the connection if no reply comes within
 * HS_PROBE_TIMEOUT or the peer rejects the call.
 * @param suspected_by incarnation (number that identifies one run of a
 *                     process) of the process that has lost its connection
 *                     to the peer; 0: none
 */
void hs_probe (HsConn *conn, uint64_t suspected_by);

/** Answers PROBE. */
void hs_probe_reply (HsConn *conn, HsRpcCallId call);

#endif
