/**
 * @file
 * A connection, as the files that make it up see it.
 */
#ifndef HS_RPC_CONN_PRIVATE_H
#define HS_RPC_CONN_PRIVATE_H

#include "rpc/endpoint_private.h"

struct HsConn
{
  HsRpc *rpc;
  int fd;
  bool dialled;
  bool refused;
  bool close_when_flushed;
  HsConnState state;
  struct tevent_fd *event;
  struct tevent_timer *handshake_timer;
  HsHandshake handshake; /* Accepted, and not up yet. */
  struct tevent_immediate *flush_event;
  struct tevent_immediate *free_event;
  bool flush_scheduled;
  GByteArray *in_buffer;
  GByteArray *out_buffer;
  size_t out_written; /* Bytes of `out` already written. */
  HsRecordChannel send_channel;
  HsRecordChannel receive_channel;
  char nonce[HSX_NONCE_SIZE];
  hsx_hello peer;
  char peer_address[HSX_ADDRESS_MAX + 1];
  char peer_data_centre[HSX_NAME_MAX + 1];
  uint32_t next_xid;
  GHashTable *pending_calls; /* By call number; see pending.c. */
  void *data;
};

/** @name conn.c: the socket and the records on it @{ */

/** Writes what is queued at the end of the loop's turn. */
void hs_conn_schedule_flush (HsConn *conn);

/** @} */
/** @name greeting.c: HELLO and the keys @{ */

/** Sets the nonce, the keys of HELLO and the bound on its exchange. */
void hs_conn_begin_handshake (HsConn *conn);

/** Sends HELLO, as the side that dialled. */
bool hs_conn_send_hello (HsConn *conn);

/** Answers HELLO, as the side that listens. */
bool hs_conn_handle_hello (HsConn *conn, uint32_t xid, const hsx_hello *hello);

/** The peer has proved that it knows the key. */
void hs_conn_establish (HsConn *conn);

/** @} */
/** @name pending.c: calls of this side that wait for a reply @{ */

/** Sends a call in any state of the connection; see hs_conn_call(). */
bool hs_conn_send_call (HsConn *conn,
                        uint32_t proc,
                        const void *args,
                        HsTime timeout,
                        HsRpcReplyFunc done,
                        void *arg);

/** Ends the call that a reply belongs to; false for a malformed reply. */
bool hs_conn_handle_reply (HsConn *conn,
                           const HsRecordHeader *header,
                           const uint8_t *body,
                           size_t n);

/** Ends all calls that wait, as HS_RPC_DISCONNECTED. */
void hs_conn_fail_pending (HsConn *conn);

/** @} */

#endif
