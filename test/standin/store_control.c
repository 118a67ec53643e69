#include "jsonpb.h"
#include "store_server_private.h"

static bool
has (struct json_object *object, const char *name)
{
  return json_object_object_get_ex (object, name, NULL);
}

static bool
is_true (struct json_object *object, const char *name)
{
  struct json_object *member;

  return json_object_object_get_ex (object, name, &member)
         && json_object_get_boolean (member);
}

enum MHD_Result
hs_store_server_set_faults (HsStoreRequest *request)
{
  HsStoreServer *server = request->server;
  HsStoreFaults *faults = &server->faults;
  struct json_object *object = hs_jsonpb_parse (
      (const char *) request->body->data, request->body->len);

  if (object == NULL)
    return hs_store_server_respond (request->connection, MHD_HTTP_BAD_REQUEST,
                                    "{}");
  if (has (object, "down"))
    faults->down = is_true (object, "down");
  if (has (object, "delay_ms"))
    faults->delay = hs_jsonpb_int64 (object, "delay_ms") * HS_MSEC;
  if (has (object, "lose_answers"))
    faults->lose_answers
        = (unsigned int) hs_jsonpb_int64 (object, "lose_answers");
  if (has (object, "lag_watches_ms"))
    faults->lag_watches = hs_jsonpb_int64 (object, "lag_watches_ms") * HS_MSEC;
  if (has (object, "stale_range"))
    faults->stale_ranges
        = (unsigned int) hs_jsonpb_int64 (object, "stale_range");
  if (is_true (object, "compact"))
    hs_kv_compact (server->kv, 0);
  if (is_true (object, "cut_watches") || faults->down)
    hs_store_server_close_watches (server);
  json_object_put (object);
  return hs_store_server_respond (request->connection, MHD_HTTP_OK, "{}");
}

enum MHD_Result
hs_store_server_report_calls (HsStoreRequest *request)
{
  HsStoreServer *server = request->server;
  struct json_object *object = json_object_new_object ();
  enum MHD_Result result;
  HsGatewayCall call;

  for (call = 0; call < HS_GATEWAY_N_CALLS; call++)
    json_object_object_add (object, hs_gateway_call_name (call),
                            json_object_new_uint64 (server->calls[call]));
  json_object_object_add (object, "waiting_watches",
                          json_object_new_int64 (server->watches->len));
  json_object_object_add (object, "revision",
                          json_object_new_int64 (hs_kv_revision (server->kv)));
  result = hs_store_server_respond (request->connection, MHD_HTTP_OK,
                                    json_object_to_json_string (object));
  json_object_put (object);
  return result;
}
