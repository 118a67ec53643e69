/**
 * @file
 * ONC RPC over TCP on a tevent loop: record marking, call and reply headers
 * from libtirpc, and a message authentication code on each record. Either
 * end may call. All functions belong to the loop's thread.
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

/** At most this many accepted connections wait for their HELLO. */
#define HS_RPC_HANDSHAKES_MAX 384

/** Why a call ended. */
typedef enum
{
  HS_RPC_OK,           /**< The reply is in the result. */
  HS_RPC_UNSENT,       /**< Never left this process; the peer did nothing. */
  HS_RPC_DISCONNECTED, /**< Connection lost; the peer may have acted. */
  HS_RPC_TIMEOUT,      /**< No reply in time; the peer may have acted. */
  HS_RPC_REJECTED      /**< The peer refused to decode or to authenticate. */
} HsRpcStatus;

/**
 * Receives the reply to a call. @p result is decoded by the call's own XDR
 * function, valid during the callback only, and NULL unless HS_RPC_OK.
 */
typedef void (*HsRpcReplyFunc) (void *arg,
                                HsRpcStatus status,
                                const void *result);

/** Identifies a call that waits for hs_conn_reply(). */
typedef uint32_t HsRpcCallId;

/** What the owner of an HsRpc wants to hear. Any member may be NULL. */
typedef struct
{
  /** HELLO was exchanged, and the peer has proved that it knows the key;
   *  hs_conn_peer() is valid from here on. */
  void (*connected) (void *arg, HsConn *conn);
  /** The connection ended; @p conn is freed after the callback. For one
   *  that this side dialled and that never came up, `refused` tells that the
   *  peer's host answered that nothing listens there. */
  void (*disconnected) (void *arg, HsConn *conn, bool refused);
  /** A call of procedure @p proc; @p args points to the decoded argument
   *  struct, valid during the callback. One-way procedures have
   *  @p call zero; others must be answered by hs_conn_reply(), now or
   *  later. */
  void (*call) (void *arg,
                HsConn *conn,
                uint32_t proc,
                HsRpcCallId call,
                void *args);
} HsRpcHandler;

/** Counters of one HsRpc; bytes include headers. */
typedef struct
{
  uint64_t sent_by_proc[HS_PROC_COUNT];
  uint64_t received_by_proc[HS_PROC_COUNT];
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t rejected_records; /**< Wrong key, replayed, malformed, oversized. */
  uint64_t dropped_handshakes; /**< Too many connections without a HELLO. */
} HsRpcStats;

/**
 * Creates the endpoint of a process.
 * @param self what HELLO says of this process; copied
 * @param key the cluster key, at least 16 bytes; copied
 */
HsRpc *hs_rpc_new (TALLOC_CTX *ctx,
                   struct tevent_context *ev,
                   const hsx_hello *self,
                   const char *key,
                   const HsRpcHandler *handler,
                   void *arg);

/** Listens on "IP:port"; port 0 takes a free one. Errors: HS_ERROR_IO. */
bool hs_rpc_listen (HsRpc *rpc, const char *address, GError **error);

/** The port listened on, 0 if none. */
uint16_t hs_rpc_port (const HsRpc *rpc);

/** Stops accepting; what is connected stays. */
void hs_rpc_stop_listening (HsRpc *rpc);

/** Replaces the address that later HELLOs announce. */
void hs_rpc_set_address (HsRpc *rpc, const char *address);

/** Starts to connect; `up` or `down` follows. Never NULL. */
HsConn *hs_rpc_dial (HsRpc *rpc, const char *address);

const HsRpcStats *hs_rpc_stats (const HsRpc *rpc);

/** What the peer said in HELLO; NULL before `up`. */
const hsx_hello *hs_conn_peer (const HsConn *conn);

/** Caller's pointer kept with the connection. */
void hs_conn_set_data (HsConn *conn, void *data);
void *hs_conn_data (const HsConn *conn);

/** How soon the kernel's keepalive ends a connection whose peer is silent. */
typedef enum
{
  HS_CONN_KEEPALIVE_SHORT, /**< 3 s; each new connection. */
  HS_CONN_KEEPALIVE_LONG   /**< Minutes: others watch the peer, see probe.h. */
} HsConnKeepalive;

void hs_conn_set_keepalive (HsConn *conn, HsConnKeepalive keepalive);

/** Closes at once; `down` is called before this returns. */
void hs_conn_close (HsConn *conn);

/** Closes once all that was queued has been written. */
void hs_conn_close_when_flushed (HsConn *conn);

/** Bytes queued but not yet written. */
size_t hs_conn_unsent_bytes (const HsConn *conn);

/**
 * Sends a call. For one-way procedures pass @p done NULL.
 * Records are written at the end of the loop's turn, together.
 * @param args the procedure's argument struct; encoded before returning
 * @param timeout span until HS_RPC_TIMEOUT, or HS_NEVER
 * @return false if the connection isn't up or args is too large to encode;
 *         @p done isn't called then
 */
bool hs_conn_call (HsConn *conn,
                   uint32_t proc,
                   const void *args,
                   HsTime timeout,
                   HsRpcReplyFunc done,
                   void *arg);

/** Answers a call; ignored if the connection is gone. */
bool hs_conn_reply (HsConn *conn,
                    HsRpcCallId call,
                    uint32_t proc,
                    const void *result);

#endif
