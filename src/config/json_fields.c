#include "config/json_fields.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/time.h"

/** The member being read. */
typedef struct
{
  TALLOC_CTX *ctx;
  const HsField *field;
  struct json_object *value;
  void *dest;
  HsFieldContext *context;
} MemberReader;

static const HsField *
find_field (const HsField *fields, size_t n_fields, const char *name);
static bool read_member (MemberReader *reader, GError **error);
static bool set_field_error (HsFieldContext *context,
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
                HsFieldContext *context,
                GError **error)
{
  struct json_object_iterator iter;
  struct json_object_iterator end;
  const char *name;
  MemberReader reader = { .ctx = ctx, .context = context };
  size_t i;

  if (!json_object_is_type (object, json_type_object))
    return set_field_error (context, "", HS_ERROR_INVALID, error,
                            "must be an object; write {...}");
  iter = json_object_iter_begin (object);
  end = json_object_iter_end (object);
  for (; !json_object_iter_equal (&iter, &end); json_object_iter_next (&iter))
    {
      name = json_object_iter_peek_name (&iter);
      reader.field = find_field (fields, n_fields, name);
      if (reader.field == NULL)
        return set_field_error (context, name, HS_ERROR_INVALID, error,
                                "unknown key; remove it or correct its name");
      reader.value = json_object_iter_peek_value (&iter);
      reader.dest = (char *) out + reader.field->offset;
      if (!read_member (&reader, error))
        return false;
    }
  for (i = 0; i < n_fields; i++)
    if (fields[i].required
        && !json_object_object_get_ex (object, fields[i].name, NULL))
      return set_field_error (context, fields[i].name, HS_ERROR_INVALID, error,
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
set_field_error (HsFieldContext *context,
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
  g_snprintf (context->key, sizeof context->key, "%s%s", context->prefix, key);
  if (key[0] == '\0')
    g_strlcpy (context->key, context->prefix, sizeof context->key);
  if (g_str_has_suffix (context->key, "."))
    context->key[strlen (context->key) - 1] = '\0';
  g_set_error (error, HS_ERROR, kind, "%s%s%s", context->key,
               context->key[0] != '\0' ? ": " : "", what);
  return false;
}

static bool
wrong_type (MemberReader *reader, const char *wanted, GError **error)
{
  return set_field_error (reader->context, reader->field->name,
                          HS_ERROR_INVALID, error,
                          "must be %s; correct the value", wanted);
}

static bool
check_text (MemberReader *reader, struct json_object *value, GError **error)
{
  const HsField *field = reader->field;
  const char *text;
  int64_t len;

  if (!json_object_is_type (value, json_type_string))
    return wrong_type (reader, "a string", error);
  text = json_object_get_string (value);
  len = json_object_get_string_len (value);
  if (field->type == HS_FIELD_STRING || field->type == HS_FIELD_TEXT)
    {
      if (len > field->max)
        return set_field_error (
            reader->context, field->name, HS_ERROR_TOO_LARGE, error,
            "is %" PRId64 " bytes long; keep to %" PRId64, len, field->max);
      if (len < field->min)
        return set_field_error (
            reader->context, field->name, HS_ERROR_INVALID, error,
            "is %" PRId64 " bytes long; give at least %" PRId64, len,
            field->min);
    }
  if (field->type != HS_FIELD_TEXT && strlen (text) != (size_t) len)
    return wrong_type (reader, "text without a NUL character", error);
  if (field->check != NULL && !field->check (text))
    return set_field_error (reader->context, field->name, HS_ERROR_INVALID,
                            error, "\"%.64s\" can't be used; %s", text,
                            field->remedy);
  return true;
}

static bool
read_int (MemberReader *reader, int64_t *value, GError **error)
{
  const HsField *field = reader->field;

  if (!json_object_is_type (reader->value, json_type_int))
    return wrong_type (reader, "a whole number", error);
  *value = json_object_get_int64 (reader->value);
  if (*value >= field->min && *value <= field->max)
    return true;
  return set_field_error (reader->context, field->name, HS_ERROR_INVALID, error,
                          "%" PRId64 " is out of range; use %" PRId64
                          " to %" PRId64,
                          *value, field->min, field->max);
}

static bool
check_count (MemberReader *reader, GError **error)
{
  const HsField *field = reader->field;
  int64_t n;

  if (!json_object_is_type (reader->value, json_type_array))
    return wrong_type (reader, "an array", error);
  n = (int64_t) json_object_array_length (reader->value);
  if (n > field->max)
    return set_field_error (
        reader->context, field->name, HS_ERROR_TOO_LARGE, error,
        "has %" PRId64 " elements; give at most %" PRId64, n, field->max);
  if (n < field->min)
    return set_field_error (
        reader->context, field->name, HS_ERROR_INVALID, error,
        "has %" PRId64 " elements; give at least %" PRId64, n, field->min);
  return true;
}

static bool
read_strings (MemberReader *reader, GError **error)
{
  struct json_object *value;
  char **strings;
  size_t n;
  size_t i;

  if (!check_count (reader, error))
    return false;
  n = json_object_array_length (reader->value);
  strings = talloc_zero_array (reader->ctx, char *, n + 1);
  for (i = 0; i < n; i++)
    {
      value = json_object_array_get_idx (reader->value, i);
      if (!check_text (reader, value, error))
        return false;
      strings[i] = talloc_strdup (strings, json_object_get_string (value));
    }
  *(char ***) reader->dest = strings;
  return true;
}

static bool
read_member (MemberReader *reader, GError **error)
{
  struct json_object *value = reader->value;
  int64_t number = 0;

  switch (reader->field->type)
    {
    case HS_FIELD_STRING:
      if (!check_text (reader, value, error))
        return false;
      *(char **) reader->dest
          = talloc_strdup (reader->ctx, json_object_get_string (value));
      return true;
    case HS_FIELD_STRINGS:
      return read_strings (reader, error);
    case HS_FIELD_UINT32:
      if (!read_int (reader, &number, error))
        return false;
      *(uint32_t *) reader->dest = (uint32_t) number;
      return true;
    case HS_FIELD_INT64:
      return read_int (reader, reader->dest, error);
    case HS_FIELD_MSEC:
      if (!read_int (reader, &number, error))
        return false;
      *(HsTime *) reader->dest = number * HS_MSEC;
      return true;
    case HS_FIELD_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return wrong_type (reader, "true or false", error);
      *(bool *) reader->dest = json_object_get_boolean (value);
      return true;
    case HS_FIELD_OBJECT:
      if (!json_object_is_type (value, json_type_object))
        return wrong_type (reader, "an object", error);
      break;
    case HS_FIELD_ARRAY:
      if (!check_count (reader, error))
        return false;
      break;
    case HS_FIELD_TEXT:
      if (!check_text (reader, value, error))
        return false;
      break;
    default:
      g_assert_not_reached ();
    }
  *(struct json_object **) reader->dest = value;
  return true;
}
