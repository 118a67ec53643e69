#include "config/settings.h"

#include <string.h>

#include "base/address.h"
#include "base/error.h"
#include "config/entry_memory.h"
#include "config/json_check.h"
#include "config/json_fields.h"

#define NAME_MAX_LEN 64
#define ADDRESS_MAX_LEN 64
#define SECRET_MIN_LEN 16
#define SECRET_MAX_LEN 1024
#define PEERS_MAX 64
#define MSEC_PER_DAY 86400000
#define MIB ((int64_t) 1024 * 1024)

/** Top level of the file. */
typedef struct
{
  char *role;
  char *data_centre;
  char *cluster_key;
  struct json_object *log;
  struct json_object *entry;
  struct json_object *agent;
} TopLevel;

typedef struct
{
  char *format;
  char *level;
} LogSettings;

static bool is_role (const char *text);
static bool is_format (const char *text);
static bool is_level (const char *text);
static bool is_listen_address (const char *text);
static bool is_peer_address (const char *text);
static bool is_store_endpoint (const char *text);
static bool read_top (HsSettings *settings,
                      const HsJsonDoc *doc,
                      HsFieldContext *context,
                      GError **error);
static void prefix_error (GError **error, const char *name, uint32_t line);

#define LISTEN_REMEDY "write an IP address and a port, as 127.0.0.1:8080"
#define PEER_REMEDY                                                            \
  "write the IP address and port that other hosts reach, as 192.0.2.1:7000"

#define TEXT_FIELD(type, member, required, min, max, check, remedy)            \
  {                                                                            \
#member, HS_FIELD_STRING, required, min, max, offsetof(type, member),      \
        check, remedy                                                          \
  }
#define LISTEN_FIELD(type, member)                                             \
  TEXT_FIELD (type, member, true, 1, ADDRESS_MAX_LEN, is_listen_address,       \
              LISTEN_REMEDY)
#define PEER_FIELD(type, member)                                               \
  TEXT_FIELD (type, member, false, 1, ADDRESS_MAX_LEN, is_peer_address,        \
              PEER_REMEDY)
#define NUMBER_FIELD(type, kind, member, key, min, max)                        \
  {                                                                            \
    key, kind, false, min, max, offsetof (type, member), NULL, NULL            \
  }

static const HsField TOP_FIELDS[] = {
  TEXT_FIELD (TopLevel,
              role,
              true,
              1,
              16,
              is_role,
              "use \"entry\" or \"agent\""),
  TEXT_FIELD (TopLevel, data_centre, true, 1, NAME_MAX_LEN, NULL, NULL),
  TEXT_FIELD (TopLevel,
              cluster_key,
              true,
              SECRET_MIN_LEN,
              SECRET_MAX_LEN,
              NULL,
              NULL),
  { "log", HS_FIELD_OBJECT, false, 0, 0, offsetof (TopLevel, log), NULL, NULL },
  { "entry", HS_FIELD_OBJECT, false, 0, 0, offsetof (TopLevel, entry), NULL,
    NULL },
  { "agent", HS_FIELD_OBJECT, false, 0, 0, offsetof (TopLevel, agent), NULL,
    NULL },
};

static const HsField LOG_FIELDS[] = {
  TEXT_FIELD (LogSettings,
              format,
              false,
              1,
              8,
              is_format,
              "use \"text\" or \"json\""),
  TEXT_FIELD (LogSettings,
              level,
              false,
              1,
              8,
              is_level,
              "use \"error\", \"warning\", \"info\" or \"debug\""),
};

#define ENTRY(kind, member, key, min, max)                                     \
  NUMBER_FIELD (HsEntrySettings, kind, member, key, min, max)

static const HsField ENTRY_FIELDS[] = {
  TEXT_FIELD (HsEntrySettings, name, true, 1, NAME_MAX_LEN, NULL, NULL),
  LISTEN_FIELD (HsEntrySettings, http_listen),
  LISTEN_FIELD (HsEntrySettings, admin_listen),
  LISTEN_FIELD (HsEntrySettings, rpc_listen),
  PEER_FIELD (HsEntrySettings, rpc_address),
  TEXT_FIELD (HsEntrySettings,
              admin_token,
              true,
              SECRET_MIN_LEN,
              SECRET_MAX_LEN,
              NULL,
              NULL),
  ENTRY (HS_FIELD_UINT32, threads, "threads", 1, 64),
  ENTRY (HS_FIELD_UINT32, partitions, "partitions", 1, 1024),
  ENTRY (HS_FIELD_MSEC, lease, "lease_ms", 2000, 60000),
  ENTRY (HS_FIELD_MSEC, retention, "retention_ms", 1000, MSEC_PER_DAY),
  ENTRY (HS_FIELD_MSEC, max_id_ahead, "ahead_ms", 0, 60000),
  ENTRY (HS_FIELD_MSEC, max_clock_skew, "skew_ms", 0, 60000),
  ENTRY (HS_FIELD_MSEC, task_timeout, "task_timeout_ms", 100, 3600000),
  ENTRY (HS_FIELD_UINT32, max_connections, "max_connections", 1, 1000000),
  ENTRY (HS_FIELD_UINT32, max_body, "max_body", 1024, 256 * MIB),
  ENTRY (HS_FIELD_UINT32, memory_mb, "memory_mb", 1, 1048576),
  ENTRY (HS_FIELD_UINT32, max_fds, "max_fds", 1, 1048576),
  ENTRY (HS_FIELD_UINT32, claims_per_s, "claims_per_s", 1, 1000),
  ENTRY (HS_FIELD_INT64, kept_bytes, "kept_bytes", MIB, 65536 * MIB),
  { "store", HS_FIELD_STRINGS, true, 1, PEERS_MAX,
    offsetof (HsEntrySettings, store), is_store_endpoint,
    "write each endpoint as http://IP:port" },
};

static const HsField AGENT_FIELDS[] = {
  TEXT_FIELD (HsAgentSettings, name, true, 1, NAME_MAX_LEN, NULL, NULL),
  LISTEN_FIELD (HsAgentSettings, target_listen),
  LISTEN_FIELD (HsAgentSettings, rpc_listen),
  PEER_FIELD (HsAgentSettings, rpc_address),
  TEXT_FIELD (HsAgentSettings, rack, false, 0, NAME_MAX_LEN, NULL, NULL),
  { "entries", HS_FIELD_STRINGS, true, 1, PEERS_MAX,
    offsetof (HsAgentSettings, entries), is_peer_address, PEER_REMEDY },
  NUMBER_FIELD (HsAgentSettings,
                HS_FIELD_MSEC,
                retention,
                "retention_ms",
                1000,
                MSEC_PER_DAY),
  NUMBER_FIELD (HsAgentSettings,
                HS_FIELD_INT64,
                memory_bytes,
                "memory_bytes",
                MIB,
                4096 * MIB),
};

static const struct
{
  const char *name;
  GLogLevelFlags level;
} LEVELS[] = {
  { "error", G_LOG_LEVEL_CRITICAL },
  { "warning", G_LOG_LEVEL_WARNING },
  { "info", G_LOG_LEVEL_INFO },
  { "debug", G_LOG_LEVEL_DEBUG },
};

HsSettings *
hs_settings_load (TALLOC_CTX *ctx, const char *path, GError **error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) cause = NULL;

  if (!g_file_get_contents (path, &text, NULL, &cause))
    {
      g_set_error (error, HS_ERROR, HS_ERROR_IO,
                   "%s:0: file: %s; name a file that can be read", path,
                   cause->message);
      return NULL;
    }
  return hs_settings_parse (ctx, path, text, error);
}

HsSettings *
hs_settings_parse (TALLOC_CTX *ctx,
                   const char *name,
                   const char *text,
                   GError **error)
{
  HsSettings *settings = talloc_zero (ctx, HsSettings);
  HsFieldContext context = { .prefix = "" };
  HsJsonDoc *doc;
  uint32_t line = 1;
  bool ok;

  doc = hs_json_parse (settings, text, strlen (text), HS_JSON_WITH_COMMENTS,
                       &line, error);
  ok = doc != NULL && read_top (settings, doc, &context, error);
  if (!ok && doc != NULL)
    line = hs_json_line (doc, context.key);
  talloc_free (doc);
  if (ok)
    return settings;
  prefix_error (error, name, line);
  talloc_free (settings);
  return NULL;
}

static void
prefix_error (GError **error, const char *name, uint32_t line)
{
  g_prefix_error (error, "%s:%u: ", name, line);
}

static bool
set_invalid (HsFieldContext *context,
             const char *key,
             const char *what,
             GError **error)
{
  g_strlcpy (context->key, key, sizeof context->key);
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID, "%s: %s", key, what);
  return false;
}

static bool
read_log (HsSettings *settings,
          struct json_object *object,
          HsFieldContext *context,
          GError **error)
{
  LogSettings log = { NULL, NULL };
  size_t i;

  settings->log_format = HS_LOG_TEXT;
  settings->log_level = G_LOG_LEVEL_INFO;
  if (object == NULL)
    return true;
  context->prefix = "log.";
  if (!hs_fields_read (settings, object, LOG_FIELDS, G_N_ELEMENTS (LOG_FIELDS),
                       &log, context, error))
    return false;
  if (log.format != NULL && strcmp (log.format, "json") == 0)
    settings->log_format = HS_LOG_JSON;
  for (i = 0; log.level != NULL && i < G_N_ELEMENTS (LEVELS); i++)
    if (strcmp (log.level, LEVELS[i].name) == 0)
      settings->log_level = LEVELS[i].level;
  return true;
}

/** Sets an absent rpc_address to the listening address, which then has to name
 *  this host: peers connect to it. */
static bool
set_default_rpc_address (TALLOC_CTX *ctx,
                         const char *listen,
                         char **address,
                         const char *key,
                         HsFieldContext *context,
                         GError **error)
{
  struct sockaddr_storage parsed;
  socklen_t len;

  if (*address != NULL)
    return true;
  if (hs_address_parse (listen, &parsed, &len) && hs_address_is_any (&parsed))
    return set_invalid (context, key,
                        "is needed because rpc_listen names no host; "
                        "write the IP address and port that other hosts reach",
                        error);
  *address = talloc_strdup (ctx, listen);
  return true;
}

static bool
read_entry (HsSettings *settings,
            struct json_object *object,
            HsFieldContext *context,
            GError **error)
{
  HsEntrySettings *entry = &settings->u.entry;
  uint32_t memory_mb;
  char problem[160];

  *entry = (HsEntrySettings){ .threads = 2,
                              .partitions = 256,
                              .lease = 6 * HS_SEC,
                              .retention = 600 * HS_SEC,
                              .max_id_ahead = HS_SEC,
                              .max_clock_skew = 250 * HS_MSEC,
                              .task_timeout = 60 * HS_SEC,
                              .max_connections = 4096,
                              .max_body = 8 * MIB,
                              .claims_per_s = 20,
                              .kept_bytes = 256 * MIB };
  context->prefix = "entry.";
  if (!hs_fields_read (settings, object, ENTRY_FIELDS,
                       G_N_ELEMENTS (ENTRY_FIELDS), entry, context, error))
    return false;
  if ((entry->partitions & (entry->partitions - 1)) != 0)
    return set_invalid (context, "entry.partitions",
                        "is not a power of two; use 256, for example", error);
  if (entry->lease % HS_SEC != 0)
    return set_invalid (context, "entry.lease_ms",
                        "is not a whole number of seconds; "
                        "use a multiple of 1000",
                        error);
  if (entry->retention <= entry->max_id_ahead + 2 * entry->max_clock_skew)
    return set_invalid (context, "entry.retention_ms",
                        "is not longer than ahead_ms and twice skew_ms; "
                        "raise it",
                        error);
  memory_mb = hs_entry_memory_min_mb (entry);
  if (entry->memory_mb > 0 && entry->memory_mb < memory_mb)
    {
      g_snprintf (problem, sizeof problem,
                  "is too low for kept_bytes, max_body and threads; raise it "
                  "to %u or more, or lower these",
                  memory_mb);
      return set_invalid (context, "entry.memory_mb", problem, error);
    }
  return set_default_rpc_address (settings, entry->rpc_listen,
                                  &entry->rpc_address, "entry.rpc_address",
                                  context, error);
}

static bool
read_agent (HsSettings *settings,
            struct json_object *object,
            HsFieldContext *context,
            GError **error)
{
  HsAgentSettings *agent = &settings->u.agent;

  *agent = (HsAgentSettings){ .retention = 600 * HS_SEC,
                              .memory_bytes = 16 * MIB };
  context->prefix = "agent.";
  if (!hs_fields_read (settings, object, AGENT_FIELDS,
                       G_N_ELEMENTS (AGENT_FIELDS), agent, context, error))
    return false;
  if (agent->rack == NULL)
    agent->rack = talloc_strdup (settings, "");
  return set_default_rpc_address (settings, agent->rpc_listen,
                                  &agent->rpc_address, "agent.rpc_address",
                                  context, error);
}

static bool
read_top (HsSettings *settings,
          const HsJsonDoc *doc,
          HsFieldContext *context,
          GError **error)
{
  TopLevel top = { NULL };

  if (!hs_fields_read (settings, doc->root, TOP_FIELDS,
                       G_N_ELEMENTS (TOP_FIELDS), &top, context, error))
    return false;
  settings->data_centre = top.data_centre;
  settings->cluster_key = top.cluster_key;
  settings->role
      = strcmp (top.role, "entry") == 0 ? HS_ROLE_ENTRY : HS_ROLE_AGENT;
  if (!read_log (settings, top.log, context, error))
    return false;
  switch (settings->role)
    {
    case HS_ROLE_ENTRY:
      if (top.entry == NULL)
        return set_invalid (context, "entry", "the key is missing; add it",
                            error);
      if (top.agent != NULL)
        return set_invalid (context, "agent",
                            "the role is \"entry\"; remove this object", error);
      return read_entry (settings, top.entry, context, error);
    case HS_ROLE_AGENT:
      if (top.agent == NULL)
        return set_invalid (context, "agent", "the key is missing; add it",
                            error);
      if (top.entry != NULL)
        return set_invalid (context, "entry",
                            "the role is \"agent\"; remove this object", error);
      return read_agent (settings, top.agent, context, error);
    default:
      return false;
    }
}

static bool
is_role (const char *text)
{
  return strcmp (text, "entry") == 0 || strcmp (text, "agent") == 0;
}

static bool
is_format (const char *text)
{
  return strcmp (text, "text") == 0 || strcmp (text, "json") == 0;
}

static bool
is_level (const char *text)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (LEVELS); i++)
    if (strcmp (text, LEVELS[i].name) == 0)
      return true;
  return false;
}

static bool
is_listen_address (const char *text)
{
  struct sockaddr_storage address;
  socklen_t len;

  return hs_address_parse (text, &address, &len);
}

static bool
is_peer_address (const char *text)
{
  struct sockaddr_storage address;
  socklen_t len;

  return hs_address_parse (text, &address, &len)
         && hs_address_port (&address) != 0 && !hs_address_is_any (&address);
}

static bool
is_store_endpoint (const char *text)
{
  return g_str_has_prefix (text, "http://") && is_peer_address (text + 7);
}
