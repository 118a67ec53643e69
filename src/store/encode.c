#include "store/codec.h"

#include <string.h>

#include <glib.h>
#include <json-c/json.h>

static void add_base64 (struct json_object *object,
                        const char *name,
                        const void *data,
                        size_t len);
static void
add_int64 (struct json_object *object, const char *name, int64_t value);
static void add_prefix (struct json_object *object, const char *prefix);
static struct json_object *encode_compare (const HsStoreCompare *compare);
static struct json_object *encode_ops (const HsStoreOp *ops, size_t n);
static char *to_text (TALLOC_CTX *ctx, struct json_object *object);

char *
hs_store_encode_range (TALLOC_CTX *ctx, const char *prefix, int64_t limit)
{
  struct json_object *request = json_object_new_object ();

  add_prefix (request, prefix);
  if (limit > 0)
    add_int64 (request, "limit", limit);
  return to_text (ctx, request);
}

char *
hs_store_encode_txn (TALLOC_CTX *ctx, const HsStoreTxn *txn)
{
  struct json_object *request = json_object_new_object ();
  struct json_object *compares = json_object_new_array ();
  size_t i;

  for (i = 0; i < txn->n_compares; i++)
    json_object_array_add (compares, encode_compare (&txn->compares[i]));
  json_object_object_add (request, "compare", compares);
  json_object_object_add (request, "success",
                          encode_ops (txn->success, txn->n_success));
  json_object_object_add (request, "failure",
                          encode_ops (txn->failure, txn->n_failure));
  return to_text (ctx, request);
}

char *
hs_store_encode_grant (TALLOC_CTX *ctx, int64_t ttl_s)
{
  struct json_object *request = json_object_new_object ();

  add_int64 (request, "TTL", ttl_s);
  return to_text (ctx, request);
}

char *
hs_store_encode_lease (TALLOC_CTX *ctx, int64_t lease)
{
  struct json_object *request = json_object_new_object ();

  add_int64 (request, "ID", lease);
  return to_text (ctx, request);
}

char *
hs_store_encode_watch (TALLOC_CTX *ctx,
                       const char *prefix,
                       int64_t start_revision)
{
  struct json_object *request = json_object_new_object ();
  struct json_object *create = json_object_new_object ();

  add_prefix (create, prefix);
  if (start_revision > 0)
    add_int64 (create, "start_revision", start_revision);
  json_object_object_add (create, "progress_notify",
                          json_object_new_boolean (true));
  json_object_object_add (request, "create_request", create);
  return to_text (ctx, request);
}

static void
add_base64 (struct json_object *object,
            const char *name,
            const void *data,
            size_t len)
{
  g_autofree char *text = g_base64_encode (data, len);

  json_object_object_add (object, name, json_object_new_string (text));
}

/* 64-bit integers are strings in proto3's JSON mapping. */
static void
add_int64 (struct json_object *object, const char *name, int64_t value)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, value);
  json_object_object_add (object, name, json_object_new_string (text));
}

/* Adds the range of all keys that begin with the prefix: it ends before the
   prefix with its last byte incremented. A single NUL as range_end means up to
   the last key. */
static void
add_prefix (struct json_object *object, const char *prefix)
{
  size_t len = strlen (prefix);
  g_autofree char *end = g_strdup (prefix);

  if (len == 0)
    add_base64 (object, "key", "", 1);
  else
    add_base64 (object, "key", prefix, len);
  while (len > 0 && (unsigned char) end[len - 1] == 0xff)
    len--;
  if (len == 0)
    {
      add_base64 (object, "range_end", "", 1);
      return;
    }
  end[len - 1]++;
  add_base64 (object, "range_end", end, len);
}

static struct json_object *
encode_compare (const HsStoreCompare *compare)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "target", json_object_new_string ("MOD"));
  json_object_object_add (object, "result", json_object_new_string ("EQUAL"));
  add_base64 (object, "key", compare->key, strlen (compare->key));
  add_int64 (object, "mod_revision", compare->mod_revision);
  return object;
}

static struct json_object *
encode_op (const HsStoreOp *op)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *body = json_object_new_object ();

  add_base64 (body, "key", op->key, strlen (op->key));
  switch (op->kind)
    {
    case HS_STORE_PUT:
      add_base64 (body, "value", op->value, strlen (op->value));
      if (op->lease != 0)
        add_int64 (body, "lease", op->lease);
      json_object_object_add (object, "request_put", body);
      break;
    case HS_STORE_DELETE:
      json_object_object_add (object, "request_delete_range", body);
      break;
    case HS_STORE_RANGE:
      json_object_object_add (object, "request_range", body);
      break;
    }
  return object;
}

static struct json_object *
encode_ops (const HsStoreOp *ops, size_t n)
{
  struct json_object *array = json_object_new_array ();
  size_t i;

  for (i = 0; i < n; i++)
    json_object_array_add (array, encode_op (&ops[i]));
  return array;
}

static char *
to_text (TALLOC_CTX *ctx, struct json_object *object)
{
  char *text
      = talloc_strdup (ctx, json_object_to_json_string_ext (
                                object, JSON_C_TO_STRING_PLAIN
                                            | JSON_C_TO_STRING_NOSLASHESCAPE));

  json_object_put (object);
  return text;
}
