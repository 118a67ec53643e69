/**
 * @file
 * Parses and formats the records of both lists as JSON, and hashes and compares
 * customers' keys.
 */
#include "lists/lists.h"

#include <string.h>

#include <json-c/json.h>

#include "base/error.h"
#include "config/json_check.h"
#include "config/json_fields.h"
#include "proto/hspoke.h"

#define KEY_MIN_LEN 16
#define KEY_MAX_LEN 1024
#define RATE_MAX 1000000
#define QUEUE_MAX 10000000
#define WEIGHT_MAX 1000
#define DEFAULT_MEMORY_MB 1024

/** The fields of a plan record as an operator writes them. */
typedef struct
{
  char *plan;
  char *key;
  char *key_hash;
} PlanFields;

static bool is_key_hash (const char *text);

#define NAME_REMEDY                                                            \
  "use 1 to 64 characters from a-z, A-Z, 0-9, '.', '_' and '-', not starting " \
  "with '.'"

static const HsField PLAN_FIELDS[] = {
  { "plan", HS_FIELD_STRING, true, 1, HS_NAME_MAX, offsetof (PlanFields, plan),
    hs_name_valid, NAME_REMEDY },
  { "key", HS_FIELD_STRING, false, KEY_MIN_LEN, KEY_MAX_LEN,
    offsetof (PlanFields, key), NULL, NULL },
  { "key_hash", HS_FIELD_STRING, false, 0, HS_KEY_HASH_LEN,
    offsetof (PlanFields, key_hash), is_key_hash,
    "give the SHA-256 of the key as 64 lower-case hex digits" },
};

#define LIMIT_FIELD(member, needed, least, most)                               \
  {                                                                            \
#member, HS_FIELD_UINT32, needed, least, most,                             \
        offsetof(HsAllowance, member), NULL, NULL                              \
  }

static const HsField ALLOWANCE_FIELDS[] = {
  LIMIT_FIELD (in_flight, true, 0, RATE_MAX),
  LIMIT_FIELD (starts_per_s, true, 0, RATE_MAX),
  LIMIT_FIELD (burst, false, 0, RATE_MAX),
  LIMIT_FIELD (queued, true, 0, QUEUE_MAX),
  LIMIT_FIELD (tasks_per_job, false, 1, HSX_TASKS_MAX),
  LIMIT_FIELD (memory_mb, false, 0, UINT32_MAX),
  LIMIT_FIELD (accelerators, false, 0, 1024),
  LIMIT_FIELD (weight, false, 1, WEIGHT_MAX),
};

static bool read_record (TALLOC_CTX *ctx,
                         const char *json,
                         const HsField *fields,
                         size_t n_fields,
                         void *out,
                         GError **error);

bool
hs_plan_parse (const char *json,
               const char *customer,
               HsPlan *plan,
               GError **error)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  PlanFields text = { NULL, NULL, NULL };
  bool ok;

  ok = read_record (tmp, json, PLAN_FIELDS, G_N_ELEMENTS (PLAN_FIELDS), &text,
                    error);
  if (ok && text.key != NULL && text.key_hash != NULL)
    {
      g_set_error (
          error, HS_ERROR, HS_ERROR_INVALID,
          "key: cannot be given together with key_hash; give only one");
      ok = false;
    }
  if (ok)
    {
      memset (plan, 0, sizeof *plan);
      g_strlcpy (plan->customer, customer, sizeof plan->customer);
      g_strlcpy (plan->plan, text.plan, sizeof plan->plan);
      if (text.key != NULL)
        hs_key_hash (text.key, plan->key_hash);
      else if (text.key_hash != NULL)
        g_strlcpy (plan->key_hash, text.key_hash, sizeof plan->key_hash);
    }
  talloc_free (tmp);
  return ok;
}

bool
hs_allowance_parse (const char *json,
                    const char *plan,
                    HsAllowance *allowance,
                    GError **error)
{
  HsAllowance parsed = { .burst = UINT32_MAX,
                         .tasks_per_job = HSX_TASKS_MAX,
                         .memory_mb = DEFAULT_MEMORY_MB,
                         .weight = 1 };

  if (!read_record (NULL, json, ALLOWANCE_FIELDS,
                    G_N_ELEMENTS (ALLOWANCE_FIELDS), &parsed, error))
    return false;
  if (parsed.burst == UINT32_MAX)
    parsed.burst = parsed.starts_per_s;
  g_strlcpy (parsed.plan, plan, sizeof parsed.plan);
  *allowance = parsed;
  return true;
}

char *
hs_plan_to_json (TALLOC_CTX *ctx, const HsPlan *plan)
{
  return talloc_asprintf (ctx, "{\"plan\":\"%s\",\"key_hash\":\"%s\"}",
                          plan->plan, plan->key_hash);
}

char *
hs_allowance_to_json (TALLOC_CTX *ctx, const HsAllowance *allowance)
{
  return talloc_asprintf (
      ctx,
      "{\"in_flight\":%u,\"starts_per_s\":%u,\"burst\":%u,\"queued\":%u,"
      "\"tasks_per_job\":%u,\"memory_mb\":%u,\"accelerators\":%u,"
      "\"weight\":%u}",
      allowance->in_flight, allowance->starts_per_s, allowance->burst,
      allowance->queued, allowance->tasks_per_job, allowance->memory_mb,
      allowance->accelerators, allowance->weight);
}

bool
hs_plan_key_matches (const HsPlan *plan, const char *key)
{
  return hs_key_matches_hash (key, plan->key_hash);
}

bool
hs_key_matches_hash (const char *key, const char hash[HS_KEY_HASH_LEN + 1])
{
  char computed[HS_KEY_HASH_LEN + 1];
  unsigned char difference = 0;
  size_t i;

  hs_key_hash (key, computed);
  for (i = 0; i < HS_KEY_HASH_LEN; i++)
    difference |= (unsigned char) (computed[i] ^ hash[i]);
  return difference == 0;
}

void
hs_key_hash (const char *key, char hash[HS_KEY_HASH_LEN + 1])
{
  g_autofree char *hex
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

  g_strlcpy (hash, hex, HS_KEY_HASH_LEN + 1);
}

bool
hs_name_valid (const char *name)
{
  size_t i;

  for (i = 0; name[i] != '\0'; i++)
    if (i == HS_NAME_MAX
        || (!g_ascii_isalnum (name[i]) && strchr ("._-", name[i]) == NULL))
      return false;
  return i > 0 && name[0] != '.';
}

static bool
is_key_hash (const char *text)
{
  size_t len = strspn (text, "0123456789abcdef");

  return text[len] == '\0' && (len == 0 || len == HS_KEY_HASH_LEN);
}

static bool
read_record (TALLOC_CTX *ctx,
             const char *json,
             const HsField *fields,
             size_t n_fields,
             void *out,
             GError **error)
{
  HsFieldContext place = { .prefix = "" };
  HsJsonDoc *doc;
  bool ok;

  doc = hs_json_parse (ctx, json, strlen (json), HS_JSON_PLAIN, NULL, error);
  if (doc == NULL)
    return false;
  ok = hs_fields_read (ctx, doc->root, fields, n_fields, out, &place, error);
  talloc_free (doc);
  return ok;
}
