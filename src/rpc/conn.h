/**
 * @file
 * ONC RPC over TCP on a tevent loop, with the record marking of RFC 5531, call
 * and reply headers from libtirpc, and a message authentication code on each
 * record. Either side of a connection may call the other. All functions must
 * be called from the loop's thread.
 */
#ifndef HS_RPC_CONN_H
#define HS_RPC_CONN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/time.h"
#include "proto/hspoke.h"
#include "proto/procs.h"

typedef struct HsRpc HsRpc;
typedef struct HsConn HsConn;

/** Limit on accepted connections that haven't completed their handshake; above
 *  it the oldest is closed. */
#define HS_RPC_HANDSHAKES_MAX 384

/** Outcome of a call. */
typedef enum
{
  HS_RPC_OK,           /**< The result holds the reply. */
  HS_RPC_UNSENT,       /**< Not sent; the peer hasn't acted on it. */
  HS_RPC_DISCONNECTED, /**< Connection lost; the peer may have acted. */
  HS_RPC_TIMEOUT,      /**< No reply in time; the peer may have acted. */
  HS_RPC_REJECTED      /**< The peer couldn't decode the call. */
} HsRpcStatus;

/**
 * Called when a call has ended.
 * @param result the decoded reply, valid during the callback only; NULL unless
 *               @p status is HS_RPC_OK
 */
typedef void (*HsRpcReplyFunc) (void *arg,
                                HsRpcStatus status,
                                const void *result);

/** Identifies a received call that is to be answered by hs_conn_reply(). */
typedef uint32_t HsRpcCallId;

/** Callbacks of an endpoint. Any member may be NULL. */
typedef struct
{
  /** The handshake is complete: HELLO was exchanged and the peer has proved
   *  that it knows the cluster key. hs_conn_peer() is valid from here on. */
  void (*connected) (void *arg, HsConn *conn);
  /** The connection has ended; @p conn is freed after the callback.
   *  @p refused is true for a dial that the peer's host refused because
   *  nothing listens on the address. */
  void (*disconnected) (void *arg, HsConn *conn, bool refused);
  /** A call of procedure @p proc has arrived. @p args points to the decoded
   *  argument struct, valid during the callback only. @p call is 0 for one-way
   *  procedures; all others must be answered by hs_conn_reply(), in the
   *  callback or later. */
  void (*call) (void *arg,
                HsConn *conn,
                uint32_t proc,
                HsRpcCallId call,
                void *args);
} HsRpcHandler;

/** Counters of an endpoint; bytes include headers. */
typedef struct
{
  uint64_t sent_by_proc[HS_PROC_COUNT];
  uint64_t received_by_proc[HS_PROC_COUNT];
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t rejected_records;   /**< Dropped on receipt: wrong key, replayed,
                                  malformed, oversized; not HS_RPC_REJECTED. */
  uint64_t dropped_handshakes; /**< Too many connections without a HELLO. */
} HsRpcStats;

/**
 * Creates the RPC endpoint of a process.
 * @param self the HELLO message that describes this process; copied
 * @param key the cluster key, at least 16 bytes; copied
 * @param handler the callbacks; copied
 * @param arg passed to each callback
 */
HsRpc *hs_rpc_new (TALLOC_CTX *ctx,
                   struct tevent_context *ev,
                   const hsx_hello *self,
                   const char *key,
                   const HsRpcHandler *handler,
                   void *arg);

/**
 * Listens on "IP:port"; the kernel chooses the port if it is 0.
 * Errors: HS_ERROR_INVALID, HS_ERROR_IO.
 */
bool hs_rpc_listen (HsRpc *rpc, const char *address, GError **error);

/** Returns the port that the endpoint listens on, 0 if it never listened. */
uint16_t hs_rpc_port (const HsRpc *rpc);

/** Stops accepting connections; established ones stay open. */
void hs_rpc_stop_listening (HsRpc *rpc);

/** Replaces HS_RPC_HANDSHAKES_MAX as the limit of this endpoint; to be called
 *  before it listens. */
void hs_rpc_set_max_handshakes (HsRpc *rpc, uint32_t max);

/** Replaces the address that HELLO announces on later connections. */
void hs_rpc_set_address (HsRpc *rpc, const char *address);

/**
 * Starts to connect to "IP:port". Either the `connected` or the `disconnected`
 * callback follows, after this function has returned.
 * @return the connection, owned by @p rpc; never NULL
 */
HsConn *hs_rpc_dial (HsRpc *rpc, const char *address);

const HsRpcStats *hs_rpc_stats (const HsRpc *rpc);

/** Returns the peer's HELLO; NULL until the connection is established. */
const hsx_hello *hs_conn_peer (const HsConn *conn);

/** Associates a pointer of the caller with the connection. */
void hs_conn_set_data (HsConn *conn, void *data);
void *hs_conn_data (const HsConn *conn);

/** How soon TCP keepalive ends a connection whose peer is unresponsive. */
typedef enum
{
  HS_CONN_KEEPALIVE_SHORT, /**< 3 s; the default. */
  HS_CONN_KEEPALIVE_LONG   /**< About 2.5 min (KEEPALIVE_LONG_IDLE_S, then
                                probes); for peers that other processes
                                monitor, see probe.h. */
} HsConnKeepalive;

void hs_conn_set_keepalive (HsConn *conn, HsConnKeepalive keepalive);

/** Closes at once; `disconnected` is called before this returns. */
void hs_conn_close (HsConn *conn);

/** Closes once all queued records have been written. */
void hs_conn_close_when_flushed (HsConn *conn);

/** Returns the number of bytes that are queued but not yet written. */
size_t hs_conn_unsent_bytes (const HsConn *conn);

/**
 * Sends a call. All records queued during one iteration of the event loop are
 * written together at its end.
 * @param args the procedure's argument struct; encoded before returning
 * @param timeout time until the call ends as HS_RPC_TIMEOUT, or HS_NEVER
 * @param done called once when the call has ended; NULL for one-way procedures
 * @return false if the connection isn't established or @p args exceeds the
 *         limits of the protocol; @p done isn't called then
 */
bool hs_conn_call (HsConn *conn,
                   uint32_t proc,
                   const void *args,
                   HsTime timeout,
                   HsRpcReplyFunc done,
                   void *arg);

/**
 * Answers a call. A @p result that can't be encoded is answered as a rejected
 * call.
 * @return false if the connection is closed
 */
bool hs_conn_reply (HsConn *conn,
                    HsRpcCallId call,
                    uint32_t proc,
                    const void *result);

#endif
