#include "config/json_fields.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/time.h"

/** One read of one member. */
typedef struct
{
  TALLOC_CTX *ctx;
  const HsField *field;
  struct json_object *value;
  void *slot;
  HsFieldPlace *place;
} Reading;

static const HsField *
find_field (const HsField *fields, size_t n_fields, const char *name);
static bool read_member (Reading *reading, GError **error);
static bool fail (HsFieldPlace *place,
                  const char *key,
                  HsErrorKind kind,
                  GError **error,
                  const char *format,
                  ...) G_GNUC_PRINTF (5, 6);

bool
hs_fields_read (TALLOC_CTX *ctx,
                struct json_object *object,
                const HsField *fields,
                size_t n_fields,
                void *out,
                HsFieldPlace *place,
                GError **error)
{
  struct json_object_iterator at;
  struct json_object_iterator end;
  const char *name;
  Reading reading = { .ctx = ctx, .place = place };
  size_t i;

  if (!json_object_is_type (object, json_type_object))
    return fail (place, "", HS_ERROR_INVALID, error,
                 "must be an object; write {...}");
  at = json_object_iter_begin (object);
  end = json_object_iter_end (object);
  for (; !json_object_iter_equal (&at, &end); json_object_iter_next (&at))
    {
      name = json_object_iter_peek_name (&at);
      reading.field = find_field (fields, n_fields, name);
      if (reading.field == NULL)
        return fail (place, name, HS_ERROR_INVALID, error,
                     "unknown key; remove it or correct its name");
      reading.value = json_object_iter_peek_value (&at);
      reading.slot = (char *) out + reading.field->offset;
      if (!read_member (&reading, error))
        return false;
    }
  for (i = 0; i < n_fields; i++)
    if (fields[i].required
        && !json_object_object_get_ex (object, fields[i].name, NULL))
      return fail (place, fields[i].name, HS_ERROR_INVALID, error,
                   "the key is missing; add it");
  return true;
}

static const HsField *
find_field (const HsField *fields, size_t n_fields, const char *name)
{
  size_t i;

  for (i = 0; i < n_fields; i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

static bool
fail (HsFieldPlace *place,
      const char *key,
      HsErrorKind kind,
      GError **error,
      const char *format,
      ...)
{
  char what[256];
  va_list args;

  va_start (args, format);
  g_vsnprintf (what, sizeof what, format, args);
  va_end (args);
  g_snprintf (place->key, sizeof place->key, "%s%s", place->prefix, key);
  if (key[0] == '\0')
    g_strlcpy (place->key, place->prefix, sizeof place->key);
  if (g_str_has_suffix (place->key, "."))
    place->key[strlen (place->key) - 1] = '\0';
  g_set_error (error, HS_ERROR, kind, "%s%s%s", place->key,
               place->key[0] != '\0' ? ": " : "", what);
  return false;
}

static bool
wrong_type (Reading *reading, const char *wanted, GError **error)
{
  return fail (reading->place, reading->field->name, HS_ERROR_INVALID, error,
               "must be %s; correct the value", wanted);
}

static bool
check_text (Reading *reading, struct json_object *value, GError **error)
{
  const HsField *field = reading->field;
  const char *text;
  int64_t len;

  if (!json_object_is_type (value, json_type_string))
    return wrong_type (reading, "a string", error);
  text = json_object_get_string (value);
  len = json_object_get_string_len (value);
  if (field->type == HS_FIELD_STRING || field->type == HS_FIELD_TEXT)
    {
      if (len > field->max)
        return fail (reading->place, field->name, HS_ERROR_TOO_LARGE, error,
                     "is %" PRId64 " bytes long; keep to %" PRId64, len,
                     field->max);
      if (len < field->min)
        return fail (reading->place, field->name, HS_ERROR_INVALID, error,
                     "is %" PRId64 " bytes long; give at least %" PRId64, len,
                     field->min);
    }
  if (field->type != HS_FIELD_TEXT && strlen (text) != (size_t) len)
    return wrong_type (reading, "text without a NUL character", error);
  if (field->check != NULL && !field->check (text))
    return fail (reading->place, field->name, HS_ERROR_INVALID, error,
                 "\"%.64s\" can't be used; %s", text, field->remedy);
  return true;
}

static bool
read_int (Reading *reading, int64_t *value, GError **error)
{
  const HsField *field = reading->field;

  if (!json_object_is_type (reading->value, json_type_int))
    return wrong_type (reading, "a whole number", error);
  *value = json_object_get_int64 (reading->value);
  if (*value >= field->min && *value <= field->max)
    return true;
  return fail (reading->place, field->name, HS_ERROR_INVALID, error,
               "%" PRId64 " is out of range; use %" PRId64 " to %" PRId64,
               *value, field->min, field->max);
}

static bool
check_count (Reading *reading, GError **error)
{
  const HsField *field = reading->field;
  int64_t n;

  if (!json_object_is_type (reading->value, json_type_array))
    return wrong_type (reading, "an array", error);
  n = (int64_t) json_object_array_length (reading->value);
  if (n > field->max)
    return fail (reading->place, field->name, HS_ERROR_TOO_LARGE, error,
                 "has %" PRId64 " elements; give at most %" PRId64, n,
                 field->max);
  if (n < field->min)
    return fail (reading->place, field->name, HS_ERROR_INVALID, error,
                 "has %" PRId64 " elements; give at least %" PRId64, n,
                 field->min);
  return true;
}

static bool
read_strings (Reading *reading, GError **error)
{
  struct json_object *value;
  char **strings;
  size_t n;
  size_t i;

  if (!check_count (reading, error))
    return false;
  n = json_object_array_length (reading->value);
  strings = talloc_zero_array (reading->ctx, char *, n + 1);
  for (i = 0; i < n; i++)
    {
      value = json_object_array_get_idx (reading->value, i);
      if (!check_text (reading, value, error))
        return false;
      strings[i] = talloc_strdup (strings, json_object_get_string (value));
    }
  *(char ***) reading->slot = strings;
  return true;
}

static bool
read_member (Reading *reading, GError **error)
{
  struct json_object *value = reading->value;
  int64_t number = 0;

  switch (reading->field->type)
    {
    case HS_FIELD_STRING:
      if (!check_text (reading, value, error))
        return false;
      *(char **) reading->slot
          = talloc_strdup (reading->ctx, json_object_get_string (value));
      return true;
    case HS_FIELD_STRINGS:
      return read_strings (reading, error);
    case HS_FIELD_UINT32:
      if (!read_int (reading, &number, error))
        return false;
      *(uint32_t *) reading->slot = (uint32_t) number;
      return true;
    case HS_FIELD_INT64:
      return read_int (reading, reading->slot, error);
    case HS_FIELD_MSEC:
      if (!read_int (reading, &number, error))
        return false;
      *(HsTime *) reading->slot = number * HS_MSEC;
      return true;
    case HS_FIELD_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return wrong_type (reading, "true or false", error);
      *(bool *) reading->slot = json_object_get_boolean (value);
      return true;
    case HS_FIELD_OBJECT:
      if (!json_object_is_type (value, json_type_object))
        return wrong_type (reading, "an object", error);
      break;
    case HS_FIELD_ARRAY:
      if (!check_count (reading, error))
        return false;
      break;
    case HS_FIELD_TEXT:
      if (!check_text (reading, value, error))
        return false;
      break;
    default:
      g_assert_not_reached ();
    }
  *(struct json_object **) reading->slot = value;
  return true;
}
