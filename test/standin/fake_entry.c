#include "fake_entry.h"

#include <string.h>

static hsx_task_key key_of (uint32_t index);
static void up (void *arg, HsConn *conn);
static void down (void *arg, HsConn *conn, bool refused);
static void
call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId id, void *args);
static void see (FakeEntry *entry, FakeResult *seen, const hsx_result *result);
static void recovered (void *arg, HsRpcStatus status, const void *result);
static void settled (void *arg, HsRpcStatus status, const void *result);

FakeEntry *
fake_entry_new (struct tevent_context *ev,
                const char *key,
                uint64_t incarnation)
{
  FakeEntry *entry = talloc_zero (ev, FakeEntry);
  HsRpcHandler handler = { .up = up, .down = down, .call = call };
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
    .key = key_of (index),
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

  for (i = 0; i < entry->n_seen; i++)
    if (entry->seen[i].index == index)
      return &entry->seen[i];
  return NULL;
}

bool
fake_entry_recover (FakeEntry *entry, uint64_t epoch)
{
  hsx_part_epoch part = { .part = FAKE_PART, .epoch = epoch };
  hsx_recover_args args = { .parts = { .parts_len = 1, .parts_val = &part },
                            .cursor = entry->next };

  return hs_conn_call (entry->conn, HSX_RECOVER, &args, HS_NEVER, recovered,
                       entry);
}

bool
fake_entry_settle (FakeEntry *entry, const uint32_t *indexes, uint32_t n)
{
  hsx_task_key *keys = talloc_array (entry, hsx_task_key, n);
  hsx_settle_args args = { .keys = { .keys_len = n, .keys_val = keys } };
  uint32_t i;
  bool sent;

  for (i = 0; i < n; i++)
    keys[i] = key_of (indexes[i]);
  sent
      = hs_conn_call (entry->conn, HSX_SETTLE, &args, HS_NEVER, settled, entry);
  talloc_free (keys);
  return sent;
}

static hsx_task_key
key_of (uint32_t index)
{
  return (hsx_task_key){
    .part = FAKE_PART, .customer = FAKE_CUSTOMER, .id = FAKE_ID, .index = index
  };
}

static void
up (void *arg, HsConn *conn)
{
  ((FakeEntry *) arg)->conn = conn;
}

static void
down (void *arg, HsConn *conn, bool refused)
{
  FakeEntry *own = arg;

  (void) refused;
  if (own->conn == conn)
    own->conn = NULL;
  own->n_credits = 0;
}

static void
call (void *arg, HsConn *conn, uint32_t proc, HsRpcCallId id, void *args)
{
  FakeEntry *own = arg;
  const hsx_result_args *results = args;
  const hsx_grant_args *grant = args;
  const hsx_announce_args *announce = args;
  hsx_announce_reply reply = { .accepted = TRUE };
  uint32_t i;

  switch (proc)
    {
    case HSX_ANNOUNCE:
      own->member = announce->self.state;
      own->announced_slots = announce->self.slots;
      own->revision = announce->self.revision;
      hs_conn_reply (conn, id, proc, &reply);
      return;
    case HSX_GRANT:
      own->n_credits = grant->credits.credits_len;
      for (i = 0; i < own->n_credits; i++)
        own->credits[i] = grant->credits.credits_val[i];
      return;
    case HSX_RESULT:
      for (i = 0; i < results->results.results_len; i++)
        see (own, &own->seen[own->n_seen++], &results->results.results_val[i]);
      return;
    case HSX_PROBE:
      own->n_probes++;
      return;
    default:
      hs_conn_close (conn);
    }
}

static void
see (FakeEntry *own, FakeResult *seen, const hsx_result *result)
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
    own->credits[own->n_credits++] = *result->next;
}

static void
recovered (void *arg, HsRpcStatus status, const void *result)
{
  FakeEntry *own = arg;
  const hsx_recover_reply *reply = result;
  uint32_t i;

  if (status != HS_RPC_OK)
    return;
  own->next = reply->next;
  own->remembers_s = reply->remembers_s;
  for (i = 0; i < reply->records.records_len; i++)
    see (own, &own->replied[own->n_replied++], &reply->records.records_val[i]);
  own->replies++;
}

static void
settled (void *arg, HsRpcStatus status, const void *result)
{
  FakeEntry *own = arg;
  const hsx_settle_reply *reply = result;
  uint32_t i;

  if (status != HS_RPC_OK)
    return;
  for (i = 0; i < reply->results.results_len; i++)
    see (own, &own->replied[own->n_replied++], &reply->results.results_val[i]);
  own->replies++;
}
