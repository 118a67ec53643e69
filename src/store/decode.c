#include "store/codec.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

/* Limit for the nesting of a response; a range in a txn has seven levels. */
enum
{
  JSON_DEPTH_MAX = 16
};

static struct json_object *parse_object (const char *text, size_t len);
static bool
get_int64 (struct json_object *object, const char *name, int64_t *value);
static bool
get_bool (struct json_object *object, const char *name, bool *value);
static bool get_array (struct json_object *object,
                       const char *name,
                       struct json_object **array,
                       size_t *n);
static bool get_revision (struct json_object *message, int64_t *revision);
static bool
decode_kv (TALLOC_CTX *ctx, struct json_object *object, HsStoreKv *kv);
static bool
append_kvs (TALLOC_CTX *ctx, struct json_object *range, HsStoreReply *reply);
static bool decode_responses (TALLOC_CTX *ctx,
                              struct json_object *message,
                              HsStoreReply *reply);
static bool decode_lease (struct json_object *message, HsStoreReply *reply);
static bool decode_watch_result (TALLOC_CTX *ctx,
                                 struct json_object *result,
                                 HsStoreWatchResponse *response);

bool
hs_store_decode_range (TALLOC_CTX *ctx,
                       const char *text,
                       size_t len,
                       HsStoreReply *reply)
{
  struct json_object *message = parse_object (text, len);
  bool ok;

  if (message == NULL)
    return false;
  ok = get_revision (message, &reply->revision)
       && get_bool (message, "more", &reply->more)
       && append_kvs (ctx, message, reply);
  json_object_put (message);
  return ok;
}

bool
hs_store_decode_txn (TALLOC_CTX *ctx,
                     const char *text,
                     size_t len,
                     HsStoreReply *reply)
{
  struct json_object *message = parse_object (text, len);
  bool ok;

  if (message == NULL)
    return false;
  ok = get_revision (message, &reply->revision)
       && get_bool (message, "succeeded", &reply->succeeded)
       && decode_responses (ctx, message, reply);
  json_object_put (message);
  return ok;
}

bool
hs_store_decode_grant (TALLOC_CTX *ctx,
                       const char *text,
                       size_t len,
                       HsStoreReply *reply)
{
  struct json_object *message = parse_object (text, len);
  bool ok;

  (void) ctx;
  if (message == NULL)
    return false;
  ok = decode_lease (message, reply) && reply->lease != 0;
  json_object_put (message);
  return ok;
}

bool
hs_store_decode_keepalive (TALLOC_CTX *ctx,
                           const char *text,
                           size_t len,
                           HsStoreReply *reply)
{
  struct json_object *message = parse_object (text, len);
  struct json_object *result;
  bool ok;

  (void) ctx;
  if (message == NULL)
    return false;
  ok = json_object_object_get_ex (message, "result", &result)
       && json_object_is_type (result, json_type_object)
       && decode_lease (result, reply);
  json_object_put (message);
  return ok;
}

bool
hs_store_decode_revoke (TALLOC_CTX *ctx,
                        const char *text,
                        size_t len,
                        HsStoreReply *reply)
{
  struct json_object *message = parse_object (text, len);
  bool ok;

  (void) ctx;
  if (message == NULL)
    return false;
  ok = get_revision (message, &reply->revision);
  json_object_put (message);
  return ok;
}

bool
hs_store_decode_watch (TALLOC_CTX *ctx,
                       const char *text,
                       size_t len,
                       HsStoreWatchResponse *response)
{
  struct json_object *message = parse_object (text, len);
  struct json_object *result;
  bool ok;

  if (message == NULL)
    return false;
  ok = json_object_object_get_ex (message, "result", &result)
       && json_object_is_type (result, json_type_object)
       && decode_watch_result (ctx, result, response);
  json_object_put (message);
  return ok;
}

int
hs_store_decode_error (const char *text, size_t len)
{
  struct json_object *message = parse_object (text, len);
  struct json_object *code;
  int value = -1;

  if (message == NULL)
    return -1;
  if (json_object_object_get_ex (message, "code", &code)
      && json_object_is_type (code, json_type_int))
    value = json_object_get_int (code);
  json_object_put (message);
  return value;
}

static struct json_object *
parse_object (const char *text, size_t len)
{
  struct json_tokener *tokener;
  struct json_object *object;
  size_t end;

  while (len > 0 && g_ascii_isspace (text[len - 1]))
    len--;
  if (len == 0 || len > HS_STORE_RESPONSE_MAX_BYTES)
    return NULL;
  tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  object = json_tokener_parse_ex (tokener, text, (int) len);
  end = json_tokener_get_parse_end (tokener);
  if (json_tokener_get_error (tokener) == json_tokener_success && end == len
      && json_object_is_type (object, json_type_object))
    {
      json_tokener_free (tokener);
      return object;
    }
  json_object_put (object);
  json_tokener_free (tokener);
  return NULL;
}

/* An absent field has its default value, as in proto3's JSON mapping. */
static bool
get_int64 (struct json_object *object, const char *name, int64_t *value)
{
  struct json_object *field;
  const char *text;
  char *end;

  *value = 0;
  if (!json_object_object_get_ex (object, name, &field))
    return true;
  if (json_object_is_type (field, json_type_int))
    {
      *value = json_object_get_int64 (field);
      return true;
    }
  if (!json_object_is_type (field, json_type_string))
    return false;
  text = json_object_get_string (field);
  if (*text != '-' && !g_ascii_isdigit (*text))
    return false;
  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && *end == '\0' && end != text;
}

static bool
get_bool (struct json_object *object, const char *name, bool *value)
{
  struct json_object *field;

  *value = false;
  if (!json_object_object_get_ex (object, name, &field))
    return true;
  if (!json_object_is_type (field, json_type_boolean))
    return false;
  *value = json_object_get_boolean (field);
  return true;
}

static bool
get_array (struct json_object *object,
           const char *name,
           struct json_object **array,
           size_t *n)
{
  *n = 0;
  if (!json_object_object_get_ex (object, name, array))
    return true;
  if (!json_object_is_type (*array, json_type_array))
    return false;
  *n = json_object_array_length (*array);
  return true;
}

static bool
get_revision (struct json_object *message, int64_t *revision)
{
  struct json_object *header;

  return json_object_object_get_ex (message, "header", &header)
         && json_object_is_type (header, json_type_object)
         && get_int64 (header, "revision", revision) && *revision > 0;
}

/* Returns the decoded bytes with a NUL appended, or NULL if the text is not
   base64. */
static char *
decode_base64 (TALLOC_CTX *ctx, const char *text, size_t len, size_t *out_len)
{
  size_t pad = 0;
  size_t i;
  char *out;
  int state = 0;
  unsigned int save = 0;

  if (len % 4 != 0)
    return NULL;
  while (pad < 2 && pad < len && text[len - 1 - pad] == '=')
    pad++;
  for (i = 0; i < len - pad; i++)
    if (!g_ascii_isalnum (text[i]) && text[i] != '+' && text[i] != '/')
      return NULL;
  out = talloc_size (ctx, len / 4 * 3 + 1);
  *out_len = g_base64_decode_step (text, len, (guchar *) out, &state, &save);
  out[*out_len] = '\0';
  return out;
}

static bool
get_base64 (TALLOC_CTX *ctx,
            struct json_object *object,
            const char *name,
            const char **value,
            size_t *len)
{
  struct json_object *field;

  *value = "";
  *len = 0;
  if (!json_object_object_get_ex (object, name, &field))
    return true;
  if (!json_object_is_type (field, json_type_string))
    return false;
  *value = decode_base64 (ctx, json_object_get_string (field),
                          json_object_get_string_len (field), len);
  return *value != NULL;
}

static bool
decode_kv (TALLOC_CTX *ctx, struct json_object *object, HsStoreKv *kv)
{
  size_t key_len;

  return json_object_is_type (object, json_type_object)
         && get_base64 (ctx, object, "key", &kv->key, &key_len) && key_len > 0
         && strlen (kv->key) == key_len
         && get_base64 (ctx, object, "value", &kv->value, &kv->value_len)
         && get_int64 (object, "create_revision", &kv->create_revision)
         && get_int64 (object, "mod_revision", &kv->mod_revision)
         && get_int64 (object, "lease", &kv->lease);
}

static bool
append_kvs (TALLOC_CTX *ctx, struct json_object *range, HsStoreReply *reply)
{
  struct json_object *array = NULL;
  HsStoreKv *kvs;
  size_t n;
  size_t i;

  if (!get_array (range, "kvs", &array, &n))
    return false;
  if (n == 0)
    return true;
  kvs = talloc_realloc (ctx, (HsStoreKv *) reply->kvs, HsStoreKv,
                        reply->n_kvs + n);
  reply->kvs = kvs;
  for (i = 0; i < n; i++)
    {
      if (!decode_kv (kvs, json_object_array_get_idx (array, i),
                      &kvs[reply->n_kvs]))
        return false;
      reply->n_kvs++;
    }
  return true;
}

static bool
decode_responses (TALLOC_CTX *ctx,
                  struct json_object *message,
                  HsStoreReply *reply)
{
  struct json_object *array = NULL;
  struct json_object *range;
  size_t n;
  size_t i;

  if (!get_array (message, "responses", &array, &n))
    return false;
  for (i = 0; i < n; i++)
    {
      struct json_object *op = json_object_array_get_idx (array, i);

      if (!json_object_is_type (op, json_type_object))
        return false;
      if (!json_object_object_get_ex (op, "response_range", &range))
        continue;
      if (!json_object_is_type (range, json_type_object)
          || !append_kvs (ctx, range, reply))
        return false;
    }
  return true;
}

static bool
decode_lease (struct json_object *message, HsStoreReply *reply)
{
  return get_revision (message, &reply->revision)
         && get_int64 (message, "ID", &reply->lease)
         && get_int64 (message, "TTL", &reply->ttl_s);
}

static bool
decode_event (TALLOC_CTX *ctx, struct json_object *object, HsStoreEvent *event)
{
  struct json_object *field;

  if (!json_object_is_type (object, json_type_object))
    return false;
  event->deleted = false;
  if (json_object_object_get_ex (object, "type", &field))
    event->deleted = json_object_is_type (field, json_type_string)
                     && strcmp (json_object_get_string (field), "DELETE") == 0;
  return json_object_object_get_ex (object, "kv", &field)
         && decode_kv (ctx, field, &event->kv) && event->kv.mod_revision > 0;
}

static bool
decode_watch_result (TALLOC_CTX *ctx,
                     struct json_object *result,
                     HsStoreWatchResponse *response)
{
  struct json_object *array = NULL;
  size_t i;

  memset (response, 0, sizeof *response);
  if (!get_bool (result, "created", &response->created)
      || !get_bool (result, "canceled", &response->canceled)
      || !get_int64 (result, "compact_revision", &response->compact_revision)
      || !get_array (result, "events", &array, &response->n_events))
    return false;
  /* The response that cancels a watch may lack a revision. */
  if (!get_revision (result, &response->revision) && !response->canceled)
    return false;
  response->events = talloc_zero_array (ctx, HsStoreEvent, response->n_events);
  for (i = 0; i < response->n_events; i++)
    if (!decode_event (response->events, json_object_array_get_idx (array, i),
                       &response->events[i]))
      return false;
  return true;
}
