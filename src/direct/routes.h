/**
 * @file
 * The routes of the platform's configuration: which customer a request belongs
 * to, by its host and path, and which service runs its jobs.
 */
#ifndef HS_DIRECT_ROUTES_H
#define HS_DIRECT_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** One route. Strings in a table belong to it. */
typedef struct
{
  const char *customer;    /**< Customer that the request belongs to; also
                                the name of the route. */
  const char *host;        /**< Of the request. */
  const char *path_prefix; /**< The path before the job's id. */
  size_t path_prefix_len;  /**< Set by hs_routes_add(). */
  const char *service;
  uint32_t max_failures; /**< Failures of one task that fail its job. */
  double slack_factor;   /**< The objective for a job's total time is this
                              times the expected run time... */
  HsTime slack;          /**< ...plus this. */
  HsTime timeout;        /**< Of a request; HS_NEVER if it has none. */
} HsRoute;

typedef struct HsRoutes HsRoutes;

/** Creates an empty table. @param version the `version` in the text of the
 *  configuration, for logs; the store counts its revisions apart from it */
HsRoutes *hs_routes_new (TALLOC_CTX *ctx, int64_t version);

/** Adds a copy of a route. */
void hs_routes_add (HsRoutes *routes, const HsRoute *route);

/**
 * Finds the route of a host with the longest prefix of @p path.
 * @param host may have a port, which is ignored
 * @return a route owned by the table, or NULL
 */
const HsRoute *
hs_routes_find (const HsRoutes *routes, const char *host, const char *path);

/** Returns the `version` in the text of the configuration. */
int64_t hs_routes_version (const HsRoutes *routes);

uint32_t hs_routes_count (const HsRoutes *routes);

#endif
