/**
 * @file
 * Fuzzer of the settings file. Valid settings must stay the same when they are
 * rendered and parsed again.
 */
#include <string.h>

#include <json-c/json.h>

#include "config/settings.h"
#include "fuzz.h"

static char *render (const HsSettings *settings);
static void check_same (const HsSettings *a, const HsSettings *b);

int
hs_fuzz_settings (const uint8_t *data, size_t n)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  g_autofree char *text = g_strndup ((const char *) data, n);
  g_autoptr (GError) error = NULL;
  HsSettings *settings = hs_settings_parse (ctx, "f", text, &error);
  g_autofree char *rendered = NULL;
  HsSettings *reparsed;

  HS_FUZZ_REQUIRE ((settings == NULL) == (error != NULL));
  if (settings == NULL)
    {
      hs_fuzz_require_error (error);
      HS_FUZZ_REQUIRE (g_str_has_prefix (error->message, "f:"));
      HS_FUZZ_REQUIRE (talloc_total_blocks (ctx) == 1);
    }
  else
    {
      rendered = render (settings);
      reparsed = hs_settings_parse (ctx, "g", rendered, &error);
      if (reparsed == NULL)
        hs_fuzz_fail (__FILE__, __LINE__, error->message);
      check_same (settings, reparsed);
    }
  talloc_free (ctx);
  return 0;
}

static void
add_text (struct json_object *object, const char *key, const char *value)
{
  if (value != NULL)
    json_object_object_add (object, key, json_object_new_string (value));
}

static void
add_number (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

static void
add_texts (struct json_object *object, const char *key, char *const *values)
{
  struct json_object *array = json_object_new_array ();

  for (; *values != NULL; values++)
    json_object_array_add (array, json_object_new_string (*values));
  json_object_object_add (object, key, array);
}

static struct json_object *
entry_object (const HsEntrySettings *entry)
{
  struct json_object *object = json_object_new_object ();

  add_text (object, "name", entry->name);
  add_text (object, "http_listen", entry->http_listen);
  add_text (object, "admin_listen", entry->admin_listen);
  add_text (object, "rpc_listen", entry->rpc_listen);
  add_text (object, "rpc_address", entry->rpc_address);
  add_text (object, "admin_token", entry->admin_token);
  add_number (object, "threads", entry->threads);
  add_number (object, "partitions", entry->partitions);
  add_number (object, "lease_ms", entry->lease / HS_MSEC);
  add_number (object, "retention_ms", entry->retention / HS_MSEC);
  add_number (object, "ahead_ms", entry->max_id_ahead / HS_MSEC);
  add_number (object, "skew_ms", entry->max_clock_skew / HS_MSEC);
  add_number (object, "task_timeout_ms", entry->task_timeout / HS_MSEC);
  add_number (object, "max_connections", entry->max_connections);
  add_number (object, "max_body", entry->max_body);
  if (entry->memory_mb > 0)
    add_number (object, "memory_mb", entry->memory_mb);
  if (entry->max_fds > 0)
    add_number (object, "max_fds", entry->max_fds);
  add_number (object, "claims_per_s", entry->claims_per_s);
  add_number (object, "kept_bytes", (int64_t) entry->kept_bytes);
  add_texts (object, "store", entry->store);
  return object;
}

static struct json_object *
agent_object (const HsAgentSettings *agent)
{
  struct json_object *object = json_object_new_object ();

  add_text (object, "name", agent->name);
  add_text (object, "target_listen", agent->target_listen);
  add_text (object, "rpc_listen", agent->rpc_listen);
  add_text (object, "rpc_address", agent->rpc_address);
  add_text (object, "rack", agent->rack);
  add_texts (object, "entries", agent->entries);
  add_number (object, "retention_ms", agent->retention / HS_MSEC);
  add_number (object, "memory_bytes", (int64_t) agent->memory_bytes);
  return object;
}

static char *
render (const HsSettings *settings)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  add_text (root, "data_centre", settings->data_centre);
  add_text (root, "cluster_key", settings->cluster_key);
  switch (settings->role)
    {
    case HS_ROLE_ENTRY:
      add_text (root, "role", "entry");
      json_object_object_add (root, "entry", entry_object (&settings->u.entry));
      break;
    case HS_ROLE_AGENT:
      add_text (root, "role", "agent");
      json_object_object_add (root, "agent", agent_object (&settings->u.agent));
      break;
    }
  text = g_strdup (json_object_to_json_string (root));
  json_object_put (root);
  return text;
}

static void
check_same (const HsSettings *a, const HsSettings *b)
{
  g_autofree char *first = render (a);
  g_autofree char *second = render (b);

  HS_FUZZ_REQUIRE (a->role == b->role);
  HS_FUZZ_REQUIRE (strcmp (first, second) == 0);
}
