/**
 * @file
 * The entries that are connected to an agent, and the queues of results to
 * be sent to them.
 */
#ifndef HS_AGENT_CONNECTED_ENTRIES_H
#define HS_AGENT_CONNECTED_ENTRIES_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "agent/start_log.h"
#include "agent/stats.h"
#include "rpc/conn.h"

typedef struct HsConnectedEntries HsConnectedEntries;
typedef struct HsConnectedEntry HsConnectedEntry;

/** A result, or the refusal of a start, to be sent. */
typedef struct
{
  HsRecordHandle handle; /**< Record to send; 0: only a refusal. */
  hsx_task_key key;      /**< Used only without a record; copied. */
  hsx_refusal refusal;
  uint64_t epoch; /**< Of the refused start; 0 if none. */
  bool has_next_credit;
  hsx_credit next_credit; /**< The slot of the start, granted again. */
} HsPendingResult;

HsConnectedEntries *hs_connected_entries_new (TALLOC_CTX *ctx,
                                              struct tevent_context *ev,
                                              const HsStartLog *start_log,
                                              HsAgentStats *stats);

/**
 * Adds a new connection, which becomes the preferred one of its entry. An
 * entry may have several.
 * @param is_new set to whether it is the entry's first
 * @return NULL if the entry has too many connections already
 */
HsConnectedEntry *hs_connected_entries_add_conn (HsConnectedEntries *entries,
                                                 HsConn *conn,
                                                 bool *is_new);

/**
 * Removes a closed connection. Results that are queued for the entry are
 * dropped with its last one; the entry fetches them by RECOVER or SETTLE.
 * @return the entry's incarnation if this was its last connection, else 0
 */
uint64_t hs_connected_entries_remove_conn (HsConnectedEntries *entries,
                                           HsConn *conn);

/** The entry at the other end of a connection; NULL if it is not added. */
HsConnectedEntry *hs_connected_entries_from_conn (const HsConn *conn);

/** Finds a connected entry; NULL if it is not connected. */
HsConnectedEntry *hs_connected_entries_find (const HsConnectedEntries *entries,
                                             uint64_t incarnation);

/** Probes all connections to an entry; see rpc/probe.h. */
void hs_connected_entries_probe (const HsConnectedEntries *entries,
                                 uint64_t incarnation);

/** Finds a connection to the entry at an address; NULL if there is none. */
HsConn *hs_connected_entries_find_conn (const HsConnectedEntries *entries,
                                        const char *address);

uint64_t hs_connected_entry_incarnation (const HsConnectedEntry *entry);

/** Sets the connection that results and grants are sent on. */
void hs_connected_entry_set_preferred_conn (HsConnectedEntry *entry,
                                            HsConn *conn);

/** The connection to use for one-way calls to an entry. */
HsConn *hs_connected_entry_preferred_conn (const HsConnectedEntry *entry);

/** Queues a result, to be sent at the end of the loop's turn. */
void hs_connected_entry_queue_result (HsConnectedEntry *entry,
                                      const HsPendingResult *pending);

/** Sends all queued results now. */
void hs_connected_entries_flush (HsConnectedEntries *entries);

/** Tells all entries of a crash of the target. */
void hs_connected_entries_send_crash (const HsConnectedEntries *entries,
                                      const hsx_crash *crash);

/** Whether every result has been written to its connection. */
bool hs_connected_entries_all_sent (const HsConnectedEntries *entries);

/** Number of connected entries. */
uint32_t hs_connected_entries_count (const HsConnectedEntries *entries);

#endif
