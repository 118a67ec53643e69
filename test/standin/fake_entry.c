#include "fake_entry.h"

#include <string.h>

static hsx_task_key make_key (uint32_t index);
static void on_connected (void *arg, HsConn *conn);
static void on_disconnected (void *arg, HsConn *conn, bool refused);
static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId id, void *args);
static void
store_result (FakeEntry *entry, FakeResult *seen, const hsx_result *result);
static void
on_recover_reply (void *arg, HsRpcStatus status, const void *result);
static void on_settle_reply (void *arg, HsRpcStatus status, const void *result);

FakeEntry *
fake_entry_new (struct tevent_context *ev,
                const char *key,
                uint64_t incarnation)
{
  FakeEntry *entry = talloc_zero (ev, FakeEntry);
  HsRpcHandler handler = { .connected = on_connected,
                           .disconnected = on_disconnected,
                           .call = on_call };
  hsx_hello self = { .role = HSX_ROLE_ENTRY,
                     .incarnation = incarnation,
                     .address = "127.0.0.1:1",
                     .data_centre = "dc1" };

  entry->rpc = hs_rpc_new (entry, ev, &self, key, &handler, entry);
  return hs_rpc_listen (entry->rpc, "127.0.0.1:0", NULL) ? entry : NULL;
}

bool
fake_entry_start (FakeEntry *entry,
                  uint64_t epoch,
                  uint32_t index,
                  const char *body,
                  uint32_t timeout_ms)
{
  hsx_start one = {
    .key = make_key (index),
    .epoch = epoch,
    .permit_us = 60 * HS_SEC,
    .timeout_ms = timeout_ms,
    .body = { .body_len = (u_int) strlen (body), .body_val = (char *) body },
  };
  hsx_start_args args = { .starts = { .starts_len = 1, .starts_val = &one } };

  if (entry->n_credits == 0)
    return false;
  one.credit = entry->credits[--entry->n_credits];
  return hs_conn_call (entry->conn, HSX_START, &args, HS_NEVER, NULL, NULL);
}

const FakeResult *
fake_entry_result (const FakeEntry *entry, uint32_t index)
{
  uint32_t i;

  for (i = 0; i < entry->n_results; i++)
    if (entry->results[i].index == index)
      return &entry->results[i];
  return NULL;
}

bool
fake_entry_recover (FakeEntry *entry, uint64_t epoch)
{
  hsx_part_epoch part = { .part = FAKE_PART, .epoch = epoch };
  hsx_recover_args args = { .parts = { .parts_len = 1, .parts_val = &part },
                            .cursor = entry->cursor };

  return hs_conn_call (entry->conn, HSX_RECOVER, &args, HS_NEVER,
                       on_recover_reply, entry);
}

bool
fake_entry_settle (FakeEntry *entry, const uint32_t *indexes, uint32_t n)
{
  hsx_task_key *keys = talloc_array (entry, hsx_task_key, n);
  hsx_settle_args args = { .keys = { .keys_len = n, .keys_val = keys } };
  uint32_t i;
  bool sent;

  for (i = 0; i < n; i++)
    keys[i] = make_key (indexes[i]);
  sent = hs_conn_call (entry->conn, HSX_SETTLE, &args, HS_NEVER,
                       on_settle_reply, entry);
  talloc_free (keys);
  return sent;
}

static hsx_task_key
make_key (uint32_t index)
{
  return (hsx_task_key){
    .part = FAKE_PART, .customer = FAKE_CUSTOMER, .id = FAKE_ID, .index = index
  };
}

static void
on_connected (void *arg, HsConn *conn)
{
  ((FakeEntry *) arg)->conn = conn;
}

static void
on_disconnected (void *arg, HsConn *conn, bool refused)
{
  FakeEntry *entry = arg;

  (void) refused;
  if (entry->conn == conn)
    entry->conn = NULL;
  entry->n_credits = 0;
}

static void
on_call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId id, void *args)
{
  FakeEntry *entry = arg;
  const hsx_result_args *results = args;
  const hsx_grant_args *grant = args;
  const hsx_announce_args *announce = args;
  hsx_announce_reply reply = { .accepted = TRUE };
  uint32_t i;

  switch (proc)
    {
    case HSX_ANNOUNCE:
      entry->member_state = announce->self.state;
      entry->announced_slots = announce->self.slots;
      entry->revision = announce->self.revision;
      hs_conn_reply (conn, id, proc, &reply);
      return;
    case HSX_GRANT:
      entry->n_credits = grant->credits.credits_len;
      for (i = 0; i < entry->n_credits; i++)
        entry->credits[i] = grant->credits.credits_val[i];
      return;
    case HSX_RESULT:
      for (i = 0; i < results->results.results_len; i++)
        store_result (entry, &entry->results[entry->n_results++],
                      &results->results.results_val[i]);
      return;
    case HSX_CRASH:
      entry->n_crashes++;
      entry->crash_customers
          = ((const hsx_crash_args *) args)->crash.customers.customers_len;
      return;
    case HSX_PROBE:
      entry->n_probes++;
      return;
    default:
      hs_conn_close (conn);
    }
}

static void
store_result (FakeEntry *entry, FakeResult *seen, const hsx_result *result)
{
  *seen = (FakeResult){ .outcome = result->outcome,
                        .refusal = result->refusal,
                        .epoch = result->epoch,
                        .index = result->key.index,
                        .http_status = result->http_status,
                        .has_next = result->next != NULL };
  if (result->body.body_len > 0)
    memcpy (seen->body, result->body.body_val,
            MIN (result->body.body_len, sizeof seen->body - 1));
  if (result->next != NULL)
    entry->credits[entry->n_credits++] = *result->next;
}

static void
on_recover_reply (void *arg, HsRpcStatus status, const void *result)
{
  FakeEntry *entry = arg;
  const hsx_recover_reply *reply = result;
  uint32_t i;

  if (status != HS_RPC_OK)
    return;
  entry->cursor = reply->next;
  entry->remembers_s = reply->remembers_s;
  for (i = 0; i < reply->records.records_len; i++)
    store_result (entry, &entry->reply_results[entry->n_reply_results++],
                  &reply->records.records_val[i]);
  entry->n_replies++;
}

static void
on_settle_reply (void *arg, HsRpcStatus status, const void *result)
{
  FakeEntry *entry = arg;
  const hsx_settle_reply *reply = result;
  uint32_t i;

  if (status != HS_RPC_OK)
    return;
  for (i = 0; i < reply->results.results_len; i++)
    store_result (entry, &entry->reply_results[entry->n_reply_results++],
                  &reply->results.results_val[i]);
  entry->n_replies++;
}
