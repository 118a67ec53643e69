#include "gateway.h"

#include <string.h>

#include "jsonpb.h"

enum
{
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  GRPC_INVALID = 3,
  GRPC_NOT_FOUND = 5,
  GRPC_OUT_OF_RANGE = 11
};

typedef struct json_object Json;

static const struct
{
  const char *path;
  const char *name;
} CALLS[] = {
  [HS_GATEWAY_RANGE] = { "/v3/kv/range", "range" },
  [HS_GATEWAY_TXN] = { "/v3/kv/txn", "txn" },
  [HS_GATEWAY_GRANT] = { "/v3/lease/grant", "lease_grant" },
  [HS_GATEWAY_KEEPALIVE] = { "/v3/lease/keepalive", "lease_keepalive" },
  [HS_GATEWAY_REVOKE] = { "/v3/lease/revoke", "lease_revoke" },
  [HS_GATEWAY_WATCH] = { "/v3/watch", "watch" },
};

static Json *handle_range (TALLOC_CTX *ctx,
                           HsKv *kv,
                           Json *request,
                           int64_t revision,
                           HsKvStatus *status);
static Json *
handle_txn (TALLOC_CTX *ctx, HsKv *kv, Json *request, HsKvStatus *status);
static Json *handle_lease (HsKv *kv,
                           HsGatewayCall call,
                           Json *request,
                           HsTime now,
                           HsKvStatus *status);
static void
set_error (TALLOC_CTX *ctx, HsKvStatus status, HsGatewayResponse *response);
static bool parse_key_range (TALLOC_CTX *ctx, Json *object, HsKvRange *range);
static Json *new_response (int64_t revision);
static Json *record_json (const HsKvRecord *record);

HsGatewayCall
hs_gateway_call_of_path (const char *path)
{
  HsGatewayCall call;

  for (call = 0; call < HS_GATEWAY_N_CALLS; call++)
    if (strcmp (path, CALLS[call].path) == 0)
      break;
  return call;
}

const char *
hs_gateway_call_name (HsGatewayCall call)
{
  return CALLS[call].name;
}

void
hs_gateway_handle (TALLOC_CTX *ctx,
                   HsKv *kv,
                   HsGatewayCall call,
                   const char *text,
                   size_t len,
                   int64_t read_revision,
                   HsTime now,
                   HsGatewayResponse *response)
{
  TALLOC_CTX *scratch = talloc_new (ctx);
  Json *request = hs_jsonpb_parse (text, len);
  Json *result = NULL;
  HsKvStatus status = HS_KV_OK;

  if (request != NULL && call == HS_GATEWAY_RANGE)
    result = handle_range (scratch, kv, request, read_revision, &status);
  else if (request != NULL && call == HS_GATEWAY_TXN)
    result = handle_txn (scratch, kv, request, &status);
  else if (request != NULL)
    result = handle_lease (kv, call, request, now, &status);
  if (result != NULL)
    {
      response->http_status = HTTP_OK;
      response->body = talloc_strdup (
          ctx, json_object_to_json_string_ext (result, JSON_C_TO_STRING_PLAIN));
    }
  else
    set_error (ctx, status, response);
  json_object_put (result);
  json_object_put (request);
  talloc_free (scratch);
}

bool
hs_gateway_parse_watch (TALLOC_CTX *ctx,
                        HsKv *kv,
                        const char *text,
                        size_t len,
                        HsGatewayWatch *watch)
{
  Json *request = hs_jsonpb_parse (text, len);
  Json *create
      = request != NULL ? hs_jsonpb_object (request, "create_request") : NULL;
  bool ok = create != NULL && parse_key_range (ctx, create, &watch->range);

  if (ok)
    watch->next_revision = hs_jsonpb_int64 (create, "start_revision");
  if (ok && watch->next_revision == 0)
    watch->next_revision = hs_kv_revision (kv) + 1;
  watch->created = false;
  watch->canceled = false;
  json_object_put (request);
  return ok;
}

static Json *
event_json (const HsKvEvent *event)
{
  Json *object = json_object_new_object ();
  Json *kv;

  if (event->current != NULL)
    {
      json_object_object_add (object, "kv", record_json (event->current));
      return object;
    }
  kv = json_object_new_object ();
  json_object_object_add (object, "type", json_object_new_string ("DELETE"));
  hs_jsonpb_add_bytes (kv, "key", event->previous->key,
                       strlen (event->previous->key));
  hs_jsonpb_add_int64 (kv, "mod_revision", event->revision);
  json_object_object_add (object, "kv", kv);
  return object;
}

/* Returns the `result` of a watch's next line; NULL if there is none yet. */
static Json *
watch_result (HsKv *kv, HsGatewayWatch *watch)
{
  g_autoptr (GPtrArray) events = g_ptr_array_new ();
  Json *result;
  Json *array;
  unsigned int i;

  if (!watch->created)
    {
      watch->created = true;
      result = new_response (hs_kv_revision (kv));
      json_object_object_add (result, "created",
                              json_object_new_boolean (true));
      return result;
    }
  if (hs_kv_history (kv, &watch->range, watch->next_revision, events)
      == HS_KV_COMPACTED)
    {
      watch->canceled = true;
      result = json_object_new_object ();
      json_object_object_add (result, "canceled",
                              json_object_new_boolean (true));
      hs_jsonpb_add_int64 (result, "compact_revision",
                           hs_kv_compact_revision (kv));
      return result;
    }
  watch->next_revision = MAX (watch->next_revision, hs_kv_revision (kv) + 1);
  if (events->len == 0)
    return NULL;
  result = new_response (hs_kv_revision (kv));
  array = json_object_new_array ();
  for (i = 0; i < events->len; i++)
    json_object_array_add (array, event_json (events->pdata[i]));
  json_object_object_add (result, "events", array);
  return result;
}

char *
hs_gateway_next_watch_line (TALLOC_CTX *ctx, HsKv *kv, HsGatewayWatch *watch)
{
  Json *line;
  Json *result;
  char *text;

  if (watch->canceled)
    return NULL;
  result = watch_result (kv, watch);
  if (result == NULL)
    return NULL;
  line = json_object_new_object ();
  json_object_object_add (line, "result", result);
  text = talloc_asprintf (
      ctx, "%s\n",
      json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
  return text;
}

static bool
parse_key_range (TALLOC_CTX *ctx, Json *object, HsKvRange *range)
{
  size_t len;

  range->key = hs_jsonpb_bytes (ctx, object, "key", &len);
  range->end = hs_jsonpb_bytes (ctx, object, "range_end", &len);
  return range->key != NULL;
}

static Json *
new_response (int64_t revision)
{
  Json *response = json_object_new_object ();
  Json *header = json_object_new_object ();

  hs_jsonpb_add_int64 (header, "cluster_id", 1);
  hs_jsonpb_add_int64 (header, "member_id", 1);
  hs_jsonpb_add_int64 (header, "revision", revision);
  hs_jsonpb_add_int64 (header, "raft_term", 1);
  json_object_object_add (response, "header", header);
  return response;
}

static Json *
record_json (const HsKvRecord *record)
{
  Json *object = json_object_new_object ();

  hs_jsonpb_add_bytes (object, "key", record->key, strlen (record->key));
  hs_jsonpb_add_int64 (object, "create_revision", record->create_revision);
  hs_jsonpb_add_int64 (object, "mod_revision", record->mod_revision);
  hs_jsonpb_add_int64 (object, "version", record->version);
  if (record->value_len > 0)
    hs_jsonpb_add_bytes (object, "value", record->value, record->value_len);
  if (record->lease != 0)
    hs_jsonpb_add_int64 (object, "lease", record->lease);
  return object;
}

/* Adds the records that a range request found, and releases them. */
static void
add_range (Json *response, HsKvOpResult *result)
{
  Json *array = json_object_new_array ();
  unsigned int i;

  for (i = 0; i < result->records->len; i++)
    json_object_array_add (array, record_json (result->records->pdata[i]));
  if (result->records->len > 0)
    json_object_object_add (response, "kvs", array);
  else
    json_object_put (array);
  if (result->more)
    json_object_object_add (response, "more", json_object_new_boolean (true));
  hs_jsonpb_add_int64 (response, "count", result->records->len);
  g_ptr_array_unref (result->records);
}

static Json *
handle_range (TALLOC_CTX *ctx,
              HsKv *kv,
              Json *request,
              int64_t revision,
              HsKvStatus *status)
{
  HsKvRange range;
  HsKvOpResult result;
  Json *response;

  if (!parse_key_range (ctx, request, &range))
    return NULL;
  *status = hs_kv_range (kv, &range, revision,
                         hs_jsonpb_int64 (request, "limit"), &result);
  if (*status != HS_KV_OK)
    return NULL;
  response = new_response (revision != 0 ? revision : hs_kv_revision (kv));
  add_range (response, &result);
  return response;
}

static int
find_enumerator (Json *object, const char *name, const char *const *names)
{
  Json *member;
  int i;

  if (!json_object_object_get_ex (object, name, &member))
    return 0;
  for (i = 0; names[i] != NULL; i++)
    if (strcmp (json_object_get_string (member), names[i]) == 0)
      return i;
  return -1;
}

static bool
parse_compare (TALLOC_CTX *ctx, Json *object, HsKvCompare *compare)
{
  static const char *const TARGETS[] = { "VERSION", "CREATE", "MOD", NULL };
  static const char *const RESULTS[]
      = { "EQUAL", "NOT_EQUAL", "GREATER", "LESS", NULL };
  static const char *const FIELDS[]
      = { "version", "create_revision", "mod_revision" };
  int target = find_enumerator (object, "target", TARGETS);
  int result = find_enumerator (object, "result", RESULTS);
  size_t len;

  compare->key = hs_jsonpb_bytes (ctx, object, "key", &len);
  if (target < 0 || result < 0 || compare->key == NULL)
    return false;
  compare->target = (HsKvTarget) target;
  compare->result = (HsKvResult) result;
  compare->value = hs_jsonpb_int64 (object, FIELDS[target]);
  return true;
}

static bool
parse_op (TALLOC_CTX *ctx, Json *object, HsKvOp *op)
{
  Json *body;

  memset (op, 0, sizeof *op);
  if ((body = hs_jsonpb_object (object, "request_put")) != NULL)
    {
      op->kind = HS_KV_PUT;
      op->value = hs_jsonpb_bytes (ctx, body, "value", &op->value_len);
      op->lease = hs_jsonpb_int64 (body, "lease");
    }
  else if ((body = hs_jsonpb_object (object, "request_delete_range")) != NULL)
    op->kind = HS_KV_DELETE;
  else if ((body = hs_jsonpb_object (object, "request_range")) != NULL)
    {
      op->kind = HS_KV_RANGE;
      op->limit = hs_jsonpb_int64 (body, "limit");
    }
  return body != NULL && parse_key_range (ctx, body, &op->range);
}

static Json *
member_array (Json *object, const char *name, size_t *n)
{
  Json *array;

  *n = 0;
  if (!json_object_object_get_ex (object, name, &array)
      || !json_object_is_type (array, json_type_array))
    return NULL;
  *n = json_object_array_length (array);
  return array;
}

static Json *
op_response (const HsKvOp *op, HsKvOpResult *result)
{
  Json *response = json_object_new_object ();
  Json *body = json_object_new_object ();

  switch (op->kind)
    {
    case HS_KV_PUT:
      json_object_object_add (response, "response_put", body);
      break;
    case HS_KV_DELETE:
      hs_jsonpb_add_int64 (body, "deleted", result->deleted);
      json_object_object_add (response, "response_delete_range", body);
      break;
    case HS_KV_RANGE:
      add_range (body, result);
      json_object_object_add (response, "response_range", body);
      break;
    }
  return response;
}

static Json *
apply_ops (TALLOC_CTX *ctx, HsKv *kv, Json *array, size_t n, HsKvStatus *status)
{
  HsKvOp *ops = talloc_array (ctx, HsKvOp, n);
  HsKvOpResult *results = talloc_array (ctx, HsKvOpResult, n);
  Json *responses;
  size_t i;

  for (i = 0; i < n; i++)
    if (!parse_op (ctx, json_object_array_get_idx (array, i), &ops[i]))
      return NULL;
  *status = hs_kv_apply (kv, ops, n, results);
  if (*status != HS_KV_OK)
    return NULL;
  responses = json_object_new_array ();
  for (i = 0; i < n; i++)
    json_object_array_add (responses, op_response (&ops[i], &results[i]));
  return responses;
}

static Json *
handle_txn (TALLOC_CTX *ctx, HsKv *kv, Json *request, HsKvStatus *status)
{
  HsKvCompare *compares;
  Json *array;
  Json *responses;
  Json *response;
  size_t n;
  size_t i;
  bool holds;

  array = member_array (request, "compare", &n);
  compares = talloc_array (ctx, HsKvCompare, n);
  for (i = 0; i < n; i++)
    if (!parse_compare (ctx, json_object_array_get_idx (array, i),
                        &compares[i]))
      return NULL;
  holds = hs_kv_compare_all (kv, compares, n);
  array = member_array (request, holds ? "success" : "failure", &n);
  responses = apply_ops (ctx, kv, array, n, status);
  if (responses == NULL)
    return NULL;
  response = new_response (hs_kv_revision (kv));
  if (holds)
    json_object_object_add (response, "succeeded",
                            json_object_new_boolean (true));
  json_object_object_add (response, "responses", responses);
  return response;
}

static Json *
handle_lease (HsKv *kv,
              HsGatewayCall call,
              Json *request,
              HsTime now,
              HsKvStatus *status)
{
  int64_t id = hs_jsonpb_int64 (request, "ID");
  int64_t ttl_s = hs_jsonpb_int64 (request, "TTL");
  Json *response;
  Json *outer;

  if (call == HS_GATEWAY_REVOKE)
    {
      *status = hs_kv_lease_revoke (kv, id);
      return *status == HS_KV_OK ? new_response (hs_kv_revision (kv)) : NULL;
    }
  if (call == HS_GATEWAY_GRANT && ttl_s <= 0)
    return NULL;
  if (call == HS_GATEWAY_GRANT)
    id = hs_kv_lease_grant (kv, id, ttl_s, now);
  else
    ttl_s = hs_kv_lease_keepalive (kv, id, now);
  response = new_response (hs_kv_revision (kv));
  hs_jsonpb_add_int64 (response, "ID", id);
  if (ttl_s > 0)
    hs_jsonpb_add_int64 (response, "TTL", ttl_s);
  if (call == HS_GATEWAY_GRANT)
    return response;
  outer = json_object_new_object ();
  json_object_object_add (outer, "result", response);
  return outer;
}

static void
set_error (TALLOC_CTX *ctx, HsKvStatus status, HsGatewayResponse *response)
{
  int code = GRPC_INVALID;
  const char *message = "malformed request";

  response->http_status = HTTP_BAD_REQUEST;
  switch (status)
    {
    case HS_KV_OK:
      break;
    case HS_KV_NO_LEASE:
      response->http_status = HTTP_NOT_FOUND;
      code = GRPC_NOT_FOUND;
      message = "requested lease not found";
      break;
    case HS_KV_COMPACTED:
      code = GRPC_OUT_OF_RANGE;
      message = "required revision has been compacted";
      break;
    case HS_KV_FUTURE:
      code = GRPC_OUT_OF_RANGE;
      message = "required revision is a future revision";
      break;
    case HS_KV_DUPLICATE_KEY:
      message = "duplicate key given in txn request";
      break;
    }
  response->body = talloc_asprintf (
      ctx, "{\"error\":\"%s\",\"code\":%d,\"message\":\"%s\"}", message, code,
      message);
}
