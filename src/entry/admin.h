/**
 * @file
 * The HTTP server for operators, on the core's event loop: both lists,
 * status and metrics.
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

/** Writes a page; talloc child of @p ctx. */
typedef char *(*HsAdminPage) (void *arg, TALLOC_CTX *ctx, HsNow now);

/** What the rest of the entry has to show. */
typedef struct
{
  HsAdminPage status;  /**< JSON. */
  HsAdminPage metrics; /**< Prometheus text. */
  void *arg;
} HsAdminPages;

/**
 * Starts the server; talloc_free() stops it, before @p sync is freed. Edits
 * under way then go on, but are not answered. Errors: HS_ERROR_INVALID for
 * the address, HS_ERROR_IO.
 * @param listen "IP:port"
 * @param token what operators show as Authorization: Bearer TOKEN
 */
HsAdmin *hs_admin_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const char *listen,
                       const char *token,
                       HsPublishedLists *box,
                       HsListsSync *sync,
                       const HsAdminPages *pages,
                       GError **error);

uint16_t hs_admin_port (const HsAdmin *admin);

#endif
