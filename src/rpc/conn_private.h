/**
 * @file
 * A connection, shared by the files that implement it.
 */
#ifndef HS_RPC_CONN_PRIVATE_H
#define HS_RPC_CONN_PRIVATE_H

#include "rpc/endpoint_private.h"

struct HsConn
{
  HsRpc *rpc;
  int fd;
  bool dialled; /* This side dialled. */
  bool refused; /* A dial that the peer's host refused. */
  bool close_when_flushed;
  HsConnState state;
  struct tevent_fd *event;
  struct tevent_timer *handshake_timer;
  HsHandshake handshake; /* In the endpoint's list until established. */
  struct tevent_immediate *flush_event;
  struct tevent_immediate *free_event;
  bool flush_scheduled;
  GByteArray *in_buffer;
  GByteArray *out_buffer;
  size_t out_written; /* Bytes of out_buffer already written. */
  HsRecordChannel send_channel;
  HsRecordChannel receive_channel;
  char nonce[HSX_NONCE_SIZE];
  hsx_hello peer;
  char peer_address[HSX_ADDRESS_MAX + 1];
  char peer_data_centre[HSX_NAME_MAX + 1];
  uint32_t next_xid;
  GHashTable *pending_calls; /* By transaction id (xid); see pending.c. */
  void *data;
};

/** @name conn.c: the socket and its records @{ */

/** Schedules out_buffer to be written at the end of the loop's iteration. */
void hs_conn_schedule_flush (HsConn *conn);

/** @} */
/** @name handshake.c: the HELLO exchange and the keys @{ */

/** Draws the nonce, sets the handshake's keys and starts its timeout. If
 *  getrandom() fails, it only warns and goes on with the nonce as it is. */
void hs_conn_begin_handshake (HsConn *conn);

/** Sends HELLO from the side that dialled.
 *  @return false if the arguments exceed the limits of the protocol or the
 *          record would be too large; nothing is sent then */
bool hs_conn_send_hello (HsConn *conn);

/** Answers HELLO on the listening side.
 *  @return false if the reply exceeds the limits of the protocol or the record
 *          would be too large; nothing is sent then */
bool hs_conn_handle_hello (HsConn *conn, uint32_t xid, const hsx_hello *hello);

/** Marks the connection as established, once the peer has proved that it knows
 *  the cluster key, and calls the `connected` callback. */
void hs_conn_establish (HsConn *conn);

/** @} */
/** @name pending.c: sent calls that wait for their reply @{ */

/** Sends a call in any state of the connection; see hs_conn_call().
 *  @return false if the arguments exceed the limits of the protocol or the
 *          record would be too large; nothing is sent then */
bool hs_conn_send_call (HsConn *conn,
                        uint32_t proc,
                        const void *args,
                        HsTime timeout,
                        HsRpcReplyFunc done,
                        void *arg);

/** Ends the call that a reply belongs to.
 *  @return false for a malformed reply, or one to a call that was never sent */
bool hs_conn_handle_reply (HsConn *conn,
                           const HsRecordHeader *header,
                           const uint8_t *body,
                           size_t n);

/** Ends all pending calls as HS_RPC_DISCONNECTED. */
void hs_conn_fail_pending (HsConn *conn);

/** @} */

#endif
