/**
 * @file
 * The entries connected to an agent, and the results on their way to them.
 */
#ifndef HS_AGENT_PEERS_H
#define HS_AGENT_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "agent/start_log.h"
#include "agent/stats.h"
#include "rpc/conn.h"

typedef struct HsPeers HsPeers;
typedef struct HsPeer HsPeer;

/** One result to be sent. */
typedef struct
{
  HsRecordHandle handle; /**< Its record; 0: a refusal of `key`. */
  hsx_task_key key;      /**< Without record only; copied. */
  hsx_refusal refusal;
  uint64_t epoch; /**< Of the start refused; 0: none was. */
  bool has_next_credit;
  hsx_credit next_credit; /**< The freed slot, granted again. */
} HsPendingResult;

HsPeers *hs_peers_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const HsStartLog *start_log,
                       HsAgentStats *stats);

/**
 * Takes in a connection that came up. One entry may have several.
 * @param is_new set if the entry had none before
 * @return NULL if the entry has too many connections already
 */
HsPeer *hs_peers_add_conn (HsPeers *peers, HsConn *conn, bool *is_new);

/**
 * Takes out a connection that ended.
 * @return the entry's incarnation if that was its last, else 0
 */
uint64_t hs_peers_remove_conn (HsPeers *peers, HsConn *conn);

/** The entry at the other end of a connection; NULL if it isn't one. */
HsPeer *hs_peers_from_conn (const HsConn *conn);

/** Finds a connected entry; NULL if there is none. */
HsPeer *hs_peers_find (const HsPeers *peers, uint64_t incarnation);

/** Checks the connections to an entry; see rpc/probe.h. */
void hs_peers_probe (const HsPeers *peers, uint64_t incarnation);
HsConn *hs_peers_find_conn (const HsPeers *peers, const char *address);

uint64_t hs_peer_incarnation (const HsPeer *peer);

/** Results go out on the connection that last brought a start. */
void hs_peer_set_preferred_conn (HsPeer *peer, HsConn *conn);

/** The connection for one-way calls to an entry. */
HsConn *hs_peer_preferred_conn (const HsPeer *peer);

/** Queues a result; it is sent at the end of the loop's turn. */
void hs_peer_queue_result (HsPeer *peer, const HsPendingResult *pending);

/** Sends what is queued now. */
void hs_peers_flush (HsPeers *peers);

/** Whether every result has been written to its connection. */
bool hs_peers_all_sent (const HsPeers *peers);

uint32_t hs_peers_count (const HsPeers *peers);

#endif
