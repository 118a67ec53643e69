/**
 * @file
 * Settings of a process: JSON with comments, read once at the start and
 * checked whole before anything else happens.
 */
#ifndef HS_CONFIG_SETTINGS_H
#define HS_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "base/log.h"
#include "base/time.h"

typedef struct
{
  char *name;               /**< For logs and status; unique by convention. */
  char *http_listen;        /**< "IP:port" for callers. */
  char *admin_listen;       /**< "IP:port" for operators and metrics. */
  char *rpc_listen;         /**< "IP:port" for entries and agents. */
  char *rpc_address;        /**< Announced to peers; default rpc_listen. */
  char *admin_token;        /**< At least 16 characters. */
  uint32_t threads;         /**< HTTP threads, 1 to 64; default 2. */
  uint32_t partitions;      /**< Power of two, 1 to 1024; default 256. */
  HsTime lease;             /**< Store lease, 2 s to 60 s; default 6 s. */
  HsTime retention;         /**< Answers and ids are kept; default 600 s. */
  HsTime max_id_ahead;      /**< Ids may be minted this far ahead; 1 s. */
  HsTime max_clock_skew;    /**< Largest clock skew between entries; 0.25 s. */
  HsTime task_timeout;      /**< Bound on one task's run; default 60 s. */
  uint32_t max_connections; /**< From callers; default 4096. */
  uint32_t max_body;        /**< Bytes of one request body; default 8 MiB. */
  uint32_t claims_per_s;    /**< Store writes for claims; default 20. */
  uint64_t kept_bytes;      /**< Of finished jobs; default 256 MiB. */
  char **store;             /**< Endpoints, NULL-terminated. */
} HsEntrySettings;

typedef struct
{
  char *name;
  char *target_listen; /**< "IP:port" for the target's announcement. */
  char *rpc_listen;
  char *rpc_address;
  char *rack;
  char **entries;        /**< RPC addresses to announce to, in order. */
  HsTime retention;      /**< Starts and results are kept; default 600 s. */
  uint64_t memory_bytes; /**< Bound on kept results; default 16 MiB. */
} HsAgentSettings;

typedef enum
{
  HS_ROLE_ENTRY,
  HS_ROLE_AGENT
} HsRole;

typedef struct
{
  HsRole role;
  char *data_centre;
  char *cluster_key; /**< At least 16 characters; shared by all. */
  HsLogFormat log_format;
  GLogLevelFlags log_level;
  union
  {
    HsEntrySettings entry;
    HsAgentSettings agent;
  } u;
} HsSettings;

/**
 * Reads and checks a settings file. Errors (HS_ERROR_INVALID, HS_ERROR_IO)
 * read "FILE:LINE: KEY: what is wrong; remedy".
 * @return talloc child of @p ctx, or NULL
 */
HsSettings *
hs_settings_load (TALLOC_CTX *ctx, const char *path, GError **error);

/** The same from text; @p name stands in for the file in messages. */
HsSettings *hs_settings_parse (TALLOC_CTX *ctx,
                               const char *name,
                               const char *text,
                               GError **error);

#endif
