/**
 * @file
 * The operators' configuration as an entry uses it: which customer a request
 * belongs to, by host and path, and which service runs its jobs.
 */
#ifndef HS_DIRECT_ROUTES_H
#define HS_DIRECT_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** One route; strings belong to the table. */
typedef struct
{
  const char *customer;    /**< The route's name. */
  const char *host;        /**< Of the request. */
  const char *path_prefix; /**< Of the path, up to the job's id. */
  size_t path_prefix_len;
  const char *service;
  uint32_t max_failures; /**< Of one task. */
  double slack_factor;   /**< The objective: this times the run time... */
  HsTime slack;          /**< ...and this. */
  HsTime timeout;        /**< Bound on a request; HS_NEVER: none. */
} HsRoute;

typedef struct HsRoutes HsRoutes;

/** An empty table. @param version as the operators count, for logs */
HsRoutes *hs_routes_new (TALLOC_CTX *ctx, int64_t version);

/** Adds a copy of a route. */
void hs_routes_add (HsRoutes *routes, const HsRoute *route);

/** The route of the longest prefix of @p path for a host, or NULL. A port
 *  in @p host is passed over. */
const HsRoute *
hs_routes_find (const HsRoutes *routes, const char *host, const char *path);

int64_t hs_routes_version (const HsRoutes *routes);
uint32_t hs_routes_count (const HsRoutes *routes);

#endif
