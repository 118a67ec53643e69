/**
 * @file
 * A connection, as the files that make it up see it.
 */
#ifndef HS_RPC_CONN_PRIVATE_H
#define HS_RPC_CONN_PRIVATE_H

#include "rpc/internal.h"

struct HsConn
{
  HsRpc *rpc;
  int fd;
  bool dialled;
  bool refused;
  bool close_when_flushed;
  HsConnState state;
  struct tevent_fd *event;
  struct tevent_timer *greeting_timer;
  HsGreeting greeting; /* Accepted, and not up yet. */
  struct tevent_immediate *flush;
  struct tevent_immediate *end;
  bool flush_scheduled;
  GByteArray *in;
  GByteArray *out;
  size_t out_at; /* Bytes of `out` already written. */
  HsRecordChannel sending;
  HsRecordChannel receiving;
  char nonce[HSX_NONCE_SIZE];
  hsx_hello peer;
  char peer_address[HSX_ADDRESS_MAX + 1];
  char peer_data_centre[HSX_NAME_MAX + 1];
  uint32_t next_xid;
  GHashTable *pending; /* By call number; see pending.c. */
  void *data;
};

/** @name conn.c: the socket and the records on it @{ */

/** Writes what is queued at the end of the loop's turn. */
void hs_conn_schedule_flush (HsConn *conn);

/** @} */
/** @name greeting.c: HELLO and the keys @{ */

/** Sets the nonce, the keys of HELLO and the bound on its exchange. */
void hs_conn_begin_greeting (HsConn *conn);

/** Sends HELLO, as the side that dialled. */
bool hs_conn_send_hello (HsConn *conn);

/** Answers HELLO, as the side that listens. */
bool hs_conn_take_hello (HsConn *conn, uint32_t xid, const hsx_hello *hello);

/** The peer has proved that it knows the key. */
void hs_conn_become_up (HsConn *conn);

/** @} */
/** @name pending.c: calls of this side that wait for a reply @{ */

/** Sends a call in any state of the connection; see hs_conn_call(). */
bool hs_conn_send_call (HsConn *conn,
                        uint32_t proc,
                        const void *args,
                        HsTime timeout,
                        HsRpcDone done,
                        void *arg);

/** Ends the call that a reply belongs to; false for a malformed reply. */
bool hs_conn_take_reply (HsConn *conn,
                         const HsRecordHead *head,
                         const uint8_t *body,
                         size_t n);

/** Ends all calls that wait, as HS_RPC_BROKEN. */
void hs_conn_end_pending (HsConn *conn);

/** @} */

#endif
