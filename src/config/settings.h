/**
 * @file
 * Settings of a process: JSON with comments, read once at the start. The whole
 * file is checked before any of it takes effect.
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
  char *rpc_address;        /**< Sent to peers; default rpc_listen. */
  char *admin_token;        /**< Bearer token of operators; 16 bytes or more. */
  uint32_t threads;         /**< HTTP threads, 1 to 64; default 2. */
  uint32_t partitions;      /**< Power of two, 1 to 1024; default 256. */
  HsTime lease;             /**< Store lease, 2 s to 60 s; default 6 s. */
  HsTime retention;         /**< Of ids and finished jobs; default 600 s. */
  HsTime max_id_ahead;      /**< How far ahead of the clock the time in an id
                                    may be; default 1 s. */
  HsTime max_clock_skew;    /**< Between entries; default 0.25 s. */
  HsTime task_timeout;      /**< Limit on one task's run; default 60 s. */
  uint32_t max_connections; /**< From callers; default 4096. */
  uint32_t max_body;        /**< Bytes of one request body; default 8 MiB. */
  uint32_t memory_mb; /**< Memory of the host; 0, the default: 4096, or what
                           the other settings need; see entry_memory.h. */
  uint32_t max_fds;   /**< Descriptors of the process; 0, the default: its limit
                           on open files. */
  uint32_t claims_per_s; /**< Store writes a second for claims; default 20. */
  uint64_t kept_bytes;   /**< Limit on finished jobs; default 256 MiB. */
  char **store;          /**< Endpoints, NULL-terminated. */
} HsEntrySettings;

typedef struct
{
  char *name;
  char *target_listen; /**< "IP:port" for the target's announcement. */
  char *rpc_listen;
  char *rpc_address;
  char *rack;
  char **entries;        /**< RPC addresses to announce to, in order. */
  HsTime retention;      /**< Of starts and results; default 600 s. */
  uint64_t memory_bytes; /**< Limit on retained results; default 16 MiB. */
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
  char *cluster_key; /**< 16 or more bytes; the same in all processes. */
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
 * have the form "FILE:LINE: KEY: what is wrong; remedy".
 * @return talloc child of @p ctx, or NULL
 */
HsSettings *
hs_settings_load (TALLOC_CTX *ctx, const char *path, GError **error);

/** The same from text; @p name takes the file's place in messages. */
HsSettings *hs_settings_parse (TALLOC_CTX *ctx,
                               const char *name,
                               const char *text,
                               GError **error);

#endif
