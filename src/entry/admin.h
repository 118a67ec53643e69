/**
 * @file
 * The HTTP server for operators: plans, allowances, status and metrics. It
 * runs on the core thread's event loop.
 */
#ifndef HS_ENTRY_ADMIN_H
#define HS_ENTRY_ADMIN_H

#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/time.h"
#include "lists/publish.h"
#include "lists/sync.h"

typedef struct HsAdmin HsAdmin;

/**
 * Renders a page of the server.
 * @param arg the `arg` of HsAdminPages
 * @return NUL-terminated text, a talloc child of @p ctx
 */
typedef char *(*HsAdminRenderFunc) (void *arg, TALLOC_CTX *ctx, HsNow now);

/** The pages that other modules of the entry render. */
typedef struct
{
  HsAdminRenderFunc status;  /**< JSON of GET /v1/status. */
  HsAdminRenderFunc metrics; /**< Prometheus text of GET /metrics. */
  void *arg;
} HsAdminPages;

/**
 * Starts the server. talloc_free() stops it and must be called before
 * @p sync is freed; edits in progress then continue, but their requests get
 * no response. Errors: HS_ERROR_INVALID for the address, HS_ERROR_IO.
 * @param listen "IP:port"
 * @param token that operators send as Authorization: Bearer TOKEN
 * @param box the published lists
 * @param sync writes edits to the store
 * @param pages copied
 */
HsAdmin *hs_admin_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const char *listen,
                       const char *token,
                       HsPublishedLists *box,
                       HsListsSync *sync,
                       const HsAdminPages *pages,
                       GError **error);

/** The port that the server listens on. */
uint16_t hs_admin_port (const HsAdmin *admin);

#endif
