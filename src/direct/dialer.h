/**
 * @file
 * Keeps connections to the entries: dials each known address until it is
 * connected, and again when the connection ends.
 */
#ifndef HS_DIRECT_DIALER_H
#define HS_DIRECT_DIALER_H

#include "base/time.h"
#include "rpc/conn.h"

typedef struct HsDialer HsDialer;

/** @param own_address this process's own address, never dialled; or NULL */
HsDialer *hs_dialer_new (TALLOC_CTX *ctx, HsRpc *rpc, const char *own_address);

/** Keeps connections with about @p limit of the addresses only.
 *  @param own_name this process's name, the same in each life */
void
hs_dialer_set_limit (HsDialer *dialer, const char *own_name, uint32_t limit);

/** Whether a connection is one of those wanted; so is one that wasn't dialled
 *  here. */
bool hs_dialer_is_chosen (HsDialer *dialer, const HsConn *conn);

/** A connection that isn't wanted is being closed: its address stays known. */
void hs_dialer_release (HsDialer *dialer, const HsConn *conn, HsTime now);

/** Adds an address, or notes that it is still told of. @param seed it is kept
 *  though nobody ever answers */
void
hs_dialer_add (HsDialer *dialer, const char *address, bool seed, HsTime now);

/** A connection came up. */
void hs_dialer_connected (HsDialer *dialer, HsConn *conn);

/** A connection leads to a process that is connected already: it is closed,
 *  and its address isn't dialled again for a while. */
void hs_dialer_close_duplicate (HsDialer *dialer, HsConn *conn, HsTime now);

/** A connection ended; true if it was dialled here. */
bool hs_dialer_disconnected (HsDialer *dialer, HsConn *conn, HsTime now);

/** Dials what is due; returns when it has to be called next. */
HsTime hs_dialer_tick (HsDialer *dialer, HsTime now);

#endif
