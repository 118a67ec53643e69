#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "store/claim_log.h"

/* A value nests an object in an array in an object. */
enum
{
  JSON_DEPTH_MAX = 4
};

static bool decode_value (TALLOC_CTX *ctx,
                          struct json_object *object,
                          HsClaimRecord **records,
                          size_t *n_records,
                          int64_t *wall_ms);
static const char *
copy_string (TALLOC_CTX *ctx, struct json_object *object, const char *name);

char *
hs_claim_key (TALLOC_CTX *ctx, uint32_t part, uint64_t number)
{
  return talloc_asprintf (ctx, "hs/claim/%" PRIu32 "/%0*" PRIu64, part,
                          HS_CLAIM_NUMBER_DIGITS, number);
}

static void
add_string (struct json_object *object, const char *name, const char *value)
{
  json_object_object_add (object, name, json_object_new_string (value));
}

char *
hs_claim_encode (TALLOC_CTX *ctx,
                 int64_t revision,
                 int64_t wall_ms,
                 const HsClaimRecord *records,
                 size_t n_records)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *claims = json_object_new_array ();
  char *text;
  size_t i;

  json_object_object_add (object, "epoch", json_object_new_int64 (revision));
  json_object_object_add (object, "time_ms", json_object_new_int64 (wall_ms));
  for (i = 0; i < n_records; i++)
    {
      struct json_object *claim = json_object_new_object ();

      add_string (claim, "customer", records[i].customer);
      add_string (claim, "id", records[i].id);
      add_string (claim, "digest", records[i].digest);
      json_object_array_add (claims, claim);
    }
  json_object_object_add (object, "claims", claims);
  text = talloc_strdup (
      ctx, json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

bool
hs_claim_decode (TALLOC_CTX *ctx,
                 const char *text,
                 size_t len,
                 HsClaimRecord **records,
                 size_t *n_records,
                 int64_t *wall_ms)
{
  struct json_tokener *tokener;
  struct json_object *object;
  bool ok;

  if (len == 0 || len > INT32_MAX)
    return false;
  tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  object = json_tokener_parse_ex (tokener, text, (int) len);
  ok = json_object_is_type (object, json_type_object)
       && json_tokener_get_parse_end (tokener) == len
       && decode_value (ctx, object, records, n_records, wall_ms);
  json_object_put (object);
  json_tokener_free (tokener);
  return ok;
}

static bool
decode_value (TALLOC_CTX *ctx,
              struct json_object *object,
              HsClaimRecord **records,
              size_t *n_records,
              int64_t *wall_ms)
{
  struct json_object *field;
  size_t i;

  if (!json_object_object_get_ex (object, "time_ms", &field)
      || !json_object_is_type (field, json_type_int))
    return false;
  *wall_ms = json_object_get_int64 (field);
  if (!json_object_object_get_ex (object, "claims", &field)
      || !json_object_is_type (field, json_type_array))
    return false;
  *n_records = json_object_array_length (field);
  *records = talloc_zero_array (ctx, HsClaimRecord, *n_records);
  for (i = 0; i < *n_records; i++)
    {
      struct json_object *claim = json_object_array_get_idx (field, i);
      HsClaimRecord *record = &(*records)[i];

      record->customer = copy_string (*records, claim, "customer");
      record->id = copy_string (*records, claim, "id");
      record->digest = copy_string (*records, claim, "digest");
      record->wall_ms = *wall_ms;
      if (record->customer == NULL || record->id == NULL
          || record->digest == NULL)
        return false;
    }
  return true;
}

static const char *
copy_string (TALLOC_CTX *ctx, struct json_object *object, const char *name)
{
  struct json_object *field;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &field)
      || !json_object_is_type (field, json_type_string))
    return NULL;
  return talloc_strdup (ctx, json_object_get_string (field));
}
