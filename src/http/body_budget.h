/**
 * @file
 * Memory of the requests in progress of one process, and what is dropped when
 * it is exhausted: decisions only, without sockets or a clock.
 *
 * Each connection has a share. It counts the fixed memory of the connection and
 * the memory allocated for the body that it is receiving. If a share needs more
 * than is left, bodies are dropped, those with the least progress first; if a
 * server has too many connections, the ones with the least progress are closed.
 * A request that has been received completely is never touched.
 */
#ifndef HS_HTTP_BODY_BUDGET_H
#define HS_HTTP_BODY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

typedef struct HsBodyBudget HsBodyBudget;

/** The share of one connection. */
typedef struct HsBodyShare HsBodyShare;

/** Memory of a host for which the settings give none: the smallest for which
 *  HS_CALLERS_MAX was chosen. */
#define HS_MEMORY_MB_DEFAULT 160

/** Descriptors of a host for which the settings give none. */
#define HS_FDS_DEFAULT 4100

/** Largest number of callers' connections, regardless of the host's limits. */
#define HS_CALLERS_MAX 3500

/** Memory of libmicrohttpd for each connection, which limits the size of the
 *  headers. 3,500 connections with bodies of 10 kB fit into a host of 160 MB.
 */
#define HS_CONNECTION_POOL_BYTES ((size_t) 12 * 1024)

/** Memory of a connection besides its pool and its body: the structures of
 *  libmicrohttpd and of the server, and the allocator's overhead. */
#define HS_CONNECTION_OVERHEAD_BYTES ((size_t) 2048)

/** Memory of a connection without its body, with that pool. */
#define HS_CONNECTION_BYTES                                                    \
  (HS_CONNECTION_POOL_BYTES + HS_CONNECTION_OVERHEAD_BYTES)

/** Limits of a process. */
typedef struct
{
  size_t bytes;             /**< For requests in progress. */
  unsigned int connections; /**< Of callers. */
  unsigned int handshakes;  /**< Of RPC peers that haven't sent HELLO. */
} HsBodyLimits;

/** A server whose connections have shares. */
typedef struct
{
  unsigned int max_connections;
  unsigned int n_connections; /**< Without those that are being closed. */
  size_t connection_bytes;    /**< Memory of each without its body. */
} HsBodyServer;

/** Counts since the budget was created. */
typedef struct
{
  size_t bytes; /**< Held now. */
  uint64_t dropped_bodies;
  uint64_t closed_connections;
} HsBodyStats;

/** Asks the owner of a share to release memory. Both may be called during any
 *  call for another share. */
typedef struct
{
  /** Release the body and refuse its request. */
  void (*drop_body) (void *arg);
  /** Close the connection; the share is freed with it, later. */
  void (*close) (void *arg);
} HsBodyEffects;

/**
 * Derives limits from a host's memory and descriptors.
 * @param memory_mb 0: HS_MEMORY_MB_DEFAULT
 * @param max_fds 0: HS_FDS_DEFAULT
 */
HsBodyLimits hs_body_limits (unsigned int memory_mb, unsigned int max_fds);

/**
 * Creates a budget. A third as much in addition is for bytes that the kernel
 * has received and the process hasn't read: it is divided among the sockets.
 * @param max_sockets connections of all servers, and those that wait to be
 *        accepted
 * @return talloc child of @p ctx, to be freed after its shares
 */
HsBodyBudget *
hs_body_budget_new (TALLOC_CTX *ctx, size_t max_bytes, size_t max_sockets);

/** Receive buffer, in bytes, of a connection that hasn't been accepted by a
 *  server whose budget is created with the same parameters. */
size_t hs_body_receive_bytes (size_t max_bytes, size_t max_sockets);

/** The same, of the budget. */
size_t hs_body_budget_receive_bytes (const HsBodyBudget *budget);

HsBodyStats hs_body_budget_stats (const HsBodyBudget *budget);

/**
 * Whether to log: something was dropped or closed since the last report, which
 * is at least a second ago.
 * @param out the counts since the last report
 */
bool hs_body_budget_report (HsBodyBudget *budget, HsTime now, HsBodyStats *out);

/**
 * Creates the share of a new connection, which waits for a request. If its
 * server has too many connections, closes those with the least progress.
 * @param server of the connection; outlives the share
 * @param arg of the effects
 * @return talloc child of @p ctx, to be freed with the connection
 */
HsBodyShare *hs_body_share_new (TALLOC_CTX *ctx,
                                HsBodyBudget *budget,
                                HsBodyServer *server,
                                const HsBodyEffects *effects,
                                void *arg,
                                HsTime now);

/** Receive buffer of the connection, in bytes: larger than that of the budget
 *  while few connections are open. */
size_t hs_body_share_receive_bytes (const HsBodyShare *share);

/** The headers of a request have been received. */
void hs_body_share_begin (HsBodyShare *share, HsTime now);

/** Sets how many bytes of the body are still missing: exactly, or at most. */
void hs_body_share_expect (HsBodyShare *share, size_t missing);

/** A part of the body was received. */
void hs_body_share_received (HsBodyShare *share, size_t n, HsTime now);

/**
 * Asks for memory before it is allocated.
 * @param bytes that the body will have in all
 * @return false if it must not have them; the share holds nothing then, and the
 *         caller releases the body and refuses its request
 */
bool hs_body_share_reserve (HsBodyShare *share, size_t bytes, HsTime now);

/**
 * Keeps the memory of a complete body reserved for what was decoded from it,
 * also after its request has ended. Refused if too much is kept already; some
 * of the budget is left for ordinary requests.
 * @param bytes set to what is kept, for hs_body_budget_release()
 * @return false if it isn't kept; the share's memory is unchanged then
 */
bool hs_body_share_keep (HsBodyShare *share, size_t *bytes);

/** Releases what hs_body_share_keep() has kept. */
void hs_body_budget_release (HsBodyBudget *budget, size_t bytes);

/** The body's memory was released. */
void hs_body_share_release (HsBodyShare *share);

/** The request has been received completely. */
void hs_body_share_complete (HsBodyShare *share);

/** The request is over; the connection waits for the next one. */
void hs_body_share_end (HsBodyShare *share, HsTime now);

#endif
