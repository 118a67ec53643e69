/**
 * @file
 * Maintains connections to the entries: dials each known address until it is
 * connected, and again when the connection ends. All times are monotonic.
 */
#ifndef HS_DIRECT_DIALER_H
#define HS_DIRECT_DIALER_H

#include "base/time.h"
#include "rpc/conn.h"

typedef struct HsDialer HsDialer;

/**
 * Creates a dialer without addresses.
 * @param rpc opens the connections; its owner forwards their events to the
 *        functions below
 * @param own_address this process's address, which is never dialled, or NULL;
 *        copied
 */
HsDialer *hs_dialer_new (TALLOC_CTX *ctx, HsRpc *rpc, const char *own_address);

/**
 * Restricts the connections to about @p limit of the addresses, which are
 * chosen by rendezvous hashing.
 * @param own_name the name of this process, the same in each incarnation;
 *        copied
 */
void
hs_dialer_set_limit (HsDialer *dialer, const char *own_name, uint32_t limit);

/** Whether the address of a connection is among those chosen. True as well for
 *  a connection that this dialer didn't open. */
bool hs_dialer_is_chosen (HsDialer *dialer, const HsConn *conn);

/** Detaches a connection that the caller is about to close because its address
 *  isn't chosen. The address stays known. */
void hs_dialer_release (HsDialer *dialer, const HsConn *conn, HsTime now);

/** Adds an address, or records that it has been reported again.
 *  @param address "IP:port"; copied
 *  @param seed whether the address is kept even if nobody ever answers
 *  @return false if nobody can be dialled there: it isn't an address, or has no
 *          port */
bool
hs_dialer_add (HsDialer *dialer, const char *address, bool seed, HsTime now);

/** Records that a connection was established. */
void hs_dialer_connected (HsDialer *dialer, HsConn *conn);

/** Closes a connection to a process that is already connected under another
 *  address. The address of @p conn isn't dialled again for a second. */
void hs_dialer_close_duplicate (HsDialer *dialer, HsConn *conn, HsTime now);

/** Records that a connection ended. @return whether this dialer opened it */
bool hs_dialer_disconnected (HsDialer *dialer, HsConn *conn, HsTime now);

/** Dials addresses that are due, gives up dials that take too long and forgets
 *  expired addresses. @return when it has to be called next, or HS_NEVER */
HsTime hs_dialer_tick (HsDialer *dialer, HsTime now);

#endif
