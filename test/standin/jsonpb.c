#include "jsonpb.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

struct json_object *
hs_jsonpb_parse (const char *text, size_t len)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object = json_tokener_parse_ex (tokener, text, (int) len);

  json_tokener_free (tokener);
  if (json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  return NULL;
}

struct json_object *
hs_jsonpb_object (struct json_object *object, const char *name)
{
  struct json_object *member;

  if (!json_object_object_get_ex (object, name, &member)
      || !json_object_is_type (member, json_type_object))
    return NULL;
  return member;
}

int64_t
hs_jsonpb_int64 (struct json_object *object, const char *name)
{
  struct json_object *member;

  if (!json_object_object_get_ex (object, name, &member))
    return 0;
  return strtoll (json_object_get_string (member), NULL, 10);
}

char *
hs_jsonpb_bytes (TALLOC_CTX *ctx,
                 struct json_object *object,
                 const char *name,
                 size_t *len)
{
  struct json_object *member;
  g_autofree guchar *bytes = NULL;
  char *copy;

  *len = 0;
  if (!json_object_object_get_ex (object, name, &member)
      || !json_object_is_type (member, json_type_string))
    return NULL;
  bytes = g_base64_decode (json_object_get_string (member), len);
  copy = talloc_size (ctx, *len + 1);
  if (*len > 0)
    memcpy (copy, bytes, *len);
  copy[*len] = '\0';
  return copy;
}

void
hs_jsonpb_add_int64 (struct json_object *object,
                     const char *name,
                     int64_t value)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, value);
  json_object_object_add (object, name, json_object_new_string (text));
}

void
hs_jsonpb_add_bytes (struct json_object *object,
                     const char *name,
                     const void *data,
                     size_t len)
{
  g_autofree char *text = g_base64_encode (data, len);

  json_object_object_add (object, name, json_object_new_string (text));
}
