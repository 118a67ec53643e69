#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "standin/gateway.h"
#include "standin/store_server.h"
#include "store/claims.h"
#include "store/codec.h"

#define CLAIM_TIMEOUT (2 * HS_SEC)
#define RETENTION (600 * HS_SEC)
#define WRITES_PER_S 20
#define IDS_MAX 4000

static const HsClaimLimits LIMITS = { WRITES_PER_S, CLAIM_TIMEOUT, RETENTION };

/* What goes wrong with a transaction between the log and the store. */
typedef enum
{
  FAULT_NONE,
  FAULT_REPLY_LOST,      /* Applied, but the reply is lost. */
  FAULT_NOT_SENT,        /* The connection was refused. */
  FAULT_REQUEST_LOST,    /* Sent, but never applied. */
  FAULT_REQUEST_DELAYED, /* No reply; applied by deliver_delayed(). */
  N_FAULTS
} Fault;

typedef struct
{
  HsKv *kv;
  HsClaimLog *log;
  HsNow now;
  char *delayed[64]; /* Requests that are still to be applied. */
  size_t n_delayed;
  unsigned int n_writes;
  int outcomes[IDS_MAX]; /* By id; -1: none yet. */
  unsigned int n_ended;
} Fixture;

typedef struct
{
  Fixture *fixture;
  unsigned int id;
} ClaimArg;

static int
setup (void **state)
{
  Fixture *fixture = talloc_zero (NULL, Fixture);

  fixture->kv = hs_kv_new (fixture);
  fixture->log = hs_claim_log_new (fixture, &LIMITS);
  fixture->now.mono = HS_SEC;
  fixture->now.wall_ms = 1700000000000;
  memset (fixture->outcomes, -1, sizeof fixture->outcomes);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  talloc_free (*state);
  return 0;
}

static void
advance_clock (Fixture *fixture, HsTime span)
{
  fixture->now.mono += span;
  fixture->now.wall_ms += span / HS_MSEC;
}

/* Writes the owner record of a partition and returns its revision. */
static int64_t
write_owner_record (HsKv *kv, uint32_t part)
{
  g_autofree char *key = g_strdup_printf ("hs/part/%u", part);
  const HsKvOp put
      = { HS_KV_PUT, { key, NULL }, "owner", strlen ("owner"), 0, 0 };
  HsKvOpResult result;

  assert_int_equal (hs_kv_apply (kv, &put, 1, &result), HS_KV_OK);
  return hs_kv_revision (kv);
}

static int64_t
open_part (Fixture *fixture, uint32_t part)
{
  int64_t revision = write_owner_record (fixture->kv, part);

  hs_claim_log_open_part (fixture->log, part, revision, 1);
  return revision;
}

static void
on_ended (void *arg, HsClaimOutcome outcome)
{
  ClaimArg *claim = arg;
  Fixture *fixture = claim->fixture;

  assert_int_equal (fixture->outcomes[claim->id], -1);
  fixture->outcomes[claim->id] = (int) outcome;
  fixture->n_ended++;
}

static void
add_claim (Fixture *fixture, uint32_t part, int64_t revision, unsigned int id)
{
  ClaimArg *claim = talloc_zero (fixture, ClaimArg);
  char text[16];

  claim->fixture = fixture;
  claim->id = id;
  g_snprintf (text, sizeof text, "id-%u", id);
  hs_claim_log_add (fixture->log, part, revision, "customer", text, "digest",
                    &fixture->now, on_ended, claim);
}

static void
apply_request (Fixture *fixture, const char *request, HsStoreReply *reply)
{
  HsGatewayResponse answer;

  hs_gateway_handle (fixture, fixture->kv, HS_GATEWAY_TXN, request,
                     strlen (request), 0, fixture->now.mono, &answer);
  assert_int_equal (answer.http_status, 200);
  memset (reply, 0, sizeof *reply);
  assert_true (
      hs_store_decode_txn (fixture, answer.body, strlen (answer.body), reply));
}

/* Sends the log's next transaction with a fault; false if there is none. */
static bool
write_once (Fixture *fixture, Fault fault)
{
  const HsStoreTxn *txn = hs_claim_log_next_txn (fixture->log, &fixture->now);
  HsStoreReply reply = { 0 };
  char *request;

  if (txn == NULL)
    return false;
  assert_in_range (txn->n_success, 1, HS_STORE_TXN_MAX_OPS);
  assert_in_range (txn->n_failure, 1, HS_STORE_TXN_MAX_OPS);
  fixture->n_writes++;
  request = hs_store_encode_txn (fixture, txn);
  if (fault == FAULT_NONE || fault == FAULT_REPLY_LOST)
    apply_request (fixture, request, &reply);
  if (fault == FAULT_REQUEST_DELAYED
      && fixture->n_delayed < G_N_ELEMENTS (fixture->delayed))
    fixture->delayed[fixture->n_delayed++] = request;
  if (fault == FAULT_NOT_SENT)
    reply.status = HS_STORE_NOT_APPLIED;
  else if (fault != FAULT_NONE)
    {
      memset (&reply, 0, sizeof reply);
      reply.status = HS_STORE_UNKNOWN;
    }
  hs_claim_log_handle_reply (fixture->log, &reply, &fixture->now);
  return true;
}

static void
deliver_delayed (Fixture *fixture)
{
  HsStoreReply reply;
  size_t i;

  for (i = 0; i < fixture->n_delayed; i++)
    apply_request (fixture, fixture->delayed[i], &reply);
  fixture->n_delayed = 0;
}

/* Counts the claims of an id in all claim keys of the store. */
static unsigned int
count_stored (Fixture *fixture, unsigned int id)
{
  const HsKvRange span = { "hs/claim/", "hs/claim0" };
  g_autofree char *text = g_strdup_printf ("id-%u", id);
  HsKvOpResult result;
  unsigned int n = 0;
  unsigned int i;
  size_t j;

  hs_kv_range (fixture->kv, &span, 0, 0, &result);
  for (i = 0; i < result.records->len; i++)
    {
      const HsKvRecord *record = result.records->pdata[i];
      HsClaimRecord *claims;
      size_t n_claims;
      int64_t wall_ms;

      assert_true (hs_claim_decode (fixture, record->value, record->value_len,
                                    &claims, &n_claims, &wall_ms));
      for (j = 0; j < n_claims; j++)
        n += strcmp (claims[j].id, text) == 0;
      talloc_free (claims);
    }
  g_ptr_array_unref (result.records);
  return n;
}

static void
pending_claims_of_all_parts_share_a_write (void **state)
{
  Fixture *fixture = *state;
  int64_t one = open_part (fixture, 1);
  int64_t two = open_part (fixture, 2);
  unsigned int id;

  for (id = 0; id < 10; id++)
    add_claim (fixture, id % 2 ? 1 : 2, id % 2 ? one : two, id);
  assert_true (write_once (fixture, FAULT_NONE));
  assert_false (write_once (fixture, FAULT_NONE));
  for (id = 0; id < 10; id++)
    {
      assert_int_equal (fixture->outcomes[id], HS_CLAIM_COMMITTED);
      assert_int_equal (count_stored (fixture, id), 1);
    }
}

static void
write_without_reply_is_retried_until_known (void **state)
{
  const Fault faults[]
      = { FAULT_REPLY_LOST, FAULT_REQUEST_LOST, FAULT_NOT_SENT };
  Fixture *fixture = *state;
  int64_t revision = open_part (fixture, 1);
  unsigned int i;

  for (i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      add_claim (fixture, 1, revision, i);
      assert_true (write_once (fixture, faults[i]));
      assert_int_equal (fixture->outcomes[i], -1);
      advance_clock (fixture, HS_SEC);
      assert_true (write_once (fixture, FAULT_NONE));
      assert_int_equal (fixture->outcomes[i], HS_CLAIM_COMMITTED);
      assert_int_equal (count_stored (fixture, i), 1);
    }
}

static void
former_owner_writes_nothing_and_other_parts_continue (void **state)
{
  Fixture *fixture = *state;
  int64_t lost = open_part (fixture, 1);
  int64_t kept = open_part (fixture, 2);

  write_owner_record (fixture->kv, 1);
  add_claim (fixture, 1, lost, 0);
  add_claim (fixture, 2, kept, 1);
  assert_true (write_once (fixture, FAULT_NONE));
  assert_int_equal (fixture->outcomes[0], HS_CLAIM_NOT_OWNER);
  assert_true (write_once (fixture, FAULT_NONE));
  assert_int_equal (fixture->outcomes[1], HS_CLAIM_COMMITTED);
  assert_int_equal (count_stored (fixture, 0), 0);
  add_claim (fixture, 1, lost, 2);
  assert_int_equal (fixture->outcomes[2], HS_CLAIM_UNAVAILABLE);
}

static void
outage_ends_claims_as_unavailable_or_unknown (void **state)
{
  Fixture *fixture = *state;
  int64_t revision = open_part (fixture, 1);

  add_claim (fixture, 1, revision, 0);
  assert_true (write_once (fixture, FAULT_NOT_SENT));
  advance_clock (fixture, CLAIM_TIMEOUT);
  assert_false (write_once (fixture, FAULT_NOT_SENT));
  assert_int_equal (fixture->outcomes[0], HS_CLAIM_UNAVAILABLE);
  add_claim (fixture, 1, revision, 1);
  assert_true (write_once (fixture, FAULT_REQUEST_LOST));
  advance_clock (fixture, CLAIM_TIMEOUT);
  assert_false (write_once (fixture, FAULT_NOT_SENT));
  assert_int_equal (fixture->outcomes[1], HS_CLAIM_UNKNOWN);
}

/* A delayed transaction is applied after its claim has ended as unknown, and
   uses the key number that the next claim would have got. */
static void
delayed_write_uses_up_a_key_number (void **state)
{
  Fixture *fixture = *state;
  int64_t revision = open_part (fixture, 1);

  add_claim (fixture, 1, revision, 0);
  assert_true (write_once (fixture, FAULT_REQUEST_DELAYED));
  advance_clock (fixture, CLAIM_TIMEOUT);
  add_claim (fixture, 1, revision, 1);
  deliver_delayed (fixture);
  assert_true (write_once (fixture, FAULT_NONE));
  assert_int_equal (fixture->outcomes[0], HS_CLAIM_UNKNOWN);
  assert_int_equal (fixture->outcomes[1], -1);
  assert_true (write_once (fixture, FAULT_NONE));
  assert_int_equal (fixture->outcomes[1], HS_CLAIM_COMMITTED);
  assert_int_equal (count_stored (fixture, 0), 1);
}

static void
writes_stay_below_the_rate_limit (void **state)
{
  Fixture *fixture = *state;
  int64_t revision = open_part (fixture, 1);
  unsigned int id;

  for (id = 0; id < 2000; id++)
    {
      add_claim (fixture, 1, revision, id);
      write_once (fixture, FAULT_NONE);
      advance_clock (fixture, 5 * HS_MSEC);
    }
  assert_in_range (fixture->n_writes, 10 * WRITES_PER_S, 10 * WRITES_PER_S + 4);
  while (fixture->n_ended < 2000)
    {
      fixture->now.mono
          = hs_claim_log_next_wakeup (fixture->log, &fixture->now);
      write_once (fixture, FAULT_NONE);
    }
  assert_int_equal (fixture->outcomes[1999], HS_CLAIM_COMMITTED);
}

static void
expired_keys_are_deleted_with_a_write_or_later_alone (void **state)
{
  Fixture *fixture = *state;
  int64_t revision = open_part (fixture, 1);

  add_claim (fixture, 1, revision, 0);
  assert_true (write_once (fixture, FAULT_NONE));
  advance_clock (fixture, RETENTION + HS_SEC);
  assert_false (write_once (fixture, FAULT_NONE));
  add_claim (fixture, 1, revision, 1);
  assert_true (write_once (fixture, FAULT_NONE));
  assert_int_equal (count_stored (fixture, 0), 0);
  assert_int_equal (count_stored (fixture, 1), 1);
  fixture->now.wall_ms
      += (hs_claim_log_next_wakeup (fixture->log, &fixture->now)
          - fixture->now.mono)
         / HS_MSEC;
  assert_true (write_once (fixture, FAULT_NONE));
  assert_int_equal (count_stored (fixture, 1), 0);
  assert_int_equal (hs_claim_log_next_wakeup (fixture->log, &fixture->now),
                    HS_NEVER);
}

static void
run_random_faults (Fixture *fixture, unsigned int seed)
{
  const unsigned int n_ids = 200;
  GRand *rand = g_rand_new_with_seed (seed);
  int64_t revisions[4];
  unsigned int id;
  uint32_t part;

  for (part = 0; part < 4; part++)
    revisions[part] = open_part (fixture, part);
  for (id = 0; id < n_ids; id++)
    {
      part = (uint32_t) g_rand_int_range (rand, 0, 4);
      add_claim (fixture, part, revisions[part], id);
      write_once (fixture, (Fault) g_rand_int_range (rand, 0, N_FAULTS));
      advance_clock (fixture, g_rand_int_range (rand, 0, 400) * HS_MSEC);
      if (g_rand_int_range (rand, 0, 8) == 0)
        deliver_delayed (fixture);
      if (id % 64 == 63)
        write_owner_record (fixture->kv, id / 64);
    }
  while (fixture->n_ended < n_ids)
    {
      advance_clock (fixture, HS_SEC);
      write_once (fixture, FAULT_NONE);
    }
  deliver_delayed (fixture);
  g_rand_free (rand);
  for (id = 0; id < n_ids; id++)
    {
      if (fixture->outcomes[id] == HS_CLAIM_COMMITTED)
        assert_in_range (count_stored (fixture, id), 1, 2);
      if (fixture->outcomes[id] == HS_CLAIM_UNAVAILABLE)
        assert_int_equal (count_stored (fixture, id), 0);
    }
}

/* Each claim ends once. A committed claim is stored, and an unavailable one is
   never stored, not even later. */
static void
outcomes_match_the_store_under_random_faults (void **state)
{
  unsigned int seed;

  (void) state;
  for (seed = 1; seed <= 40; seed++)
    {
      void *fixture;

      setup (&fixture);
      run_random_faults (fixture, seed);
      teardown (&fixture);
    }
}

typedef struct
{
  unsigned int n_loads;
  bool complete;
  size_t n_records;
  char last_id[16];
  unsigned int n_committed;
} DriverResults;

static void
on_loaded (void *arg,
           uint32_t part,
           bool complete,
           size_t n_records,
           const HsClaimRecord *records)
{
  DriverResults *results = arg;

  assert_int_equal (part, 7);
  results->n_loads++;
  results->complete = complete;
  results->n_records = n_records;
  if (n_records > 0)
    g_strlcpy (results->last_id, records[n_records - 1].id,
               sizeof results->last_id);
}

static void
on_committed (void *arg, HsClaimOutcome outcome)
{
  DriverResults *results = arg;

  assert_int_equal (outcome, HS_CLAIM_COMMITTED);
  results->n_committed++;
}

static void
put_claim (HsKv *kv, uint64_t number)
{
  g_autofree char *id = g_strdup_printf ("old-%u", (unsigned int) number);
  const HsClaimRecord record = { "customer", id, "digest", 0 };
  HsKvOp put = { .kind = HS_KV_PUT };
  HsKvOpResult result;
  TALLOC_CTX *ctx = talloc_new (NULL);

  put.range.key = hs_claim_key (ctx, 7, number);
  put.value = hs_claim_encode (ctx, 1, hs_now ().wall_ms, &record, 1);
  put.value_len = strlen (put.value);
  hs_kv_apply (kv, &put, 1, &result);
  talloc_free (ctx);
}

static void
claims_load_in_pages_and_retry_after_a_lost_reply (void **state)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  HsStoreServer *server = hs_store_server_new (ev, ev, "127.0.0.1", 0);
  HsKv *kv = hs_store_server_kv (server);
  char *url = talloc_asprintf (ev, "http://127.0.0.1:%u",
                               hs_store_server_port (server));
  const char *endpoints[] = { url, NULL };
  HsStore *store = hs_store_new (ev, ev, endpoints, HS_SEC);
  HsClaims *claims = hs_claims_new (ev, ev, store, &LIMITS);
  int64_t revision = write_owner_record (kv, 7);
  DriverResults results = { 0 };
  uint64_t number;
  HsNow now;

  (void) state;
  for (number = 95; number < 225; number++)
    put_claim (kv, number);
  /* A reply from before the takeover may lack claims. */
  hs_claims_load_part (claims, 7, hs_kv_revision (kv) + 1, on_loaded, &results);
  while (results.n_loads == 0)
    tevent_loop_once (ev);
  assert_false (results.complete);
  hs_claims_load_part (claims, 7, revision, on_loaded, &results);
  while (results.n_loads == 1)
    tevent_loop_once (ev);
  assert_true (results.complete);
  assert_int_equal (results.n_records, 130);
  assert_string_equal (results.last_id, "old-224");
  hs_store_server_faults (server)->lose_answers = 1;
  now = hs_now ();
  hs_claims_add (claims, 7, revision, "customer", "id", "digest", &now,
                 on_committed, &results);
  while (results.n_committed == 0)
    tevent_loop_once (ev);
  assert_non_null (hs_kv_get (kv, "hs/claim/7/000000000225"));
  assert_null (hs_kv_get (kv, "hs/claim/7/000000000226"));
  now = hs_now ();
  hs_claims_add (claims, 7, revision, "customer", "id2", "digest", &now,
                 on_committed, &results);
  talloc_free (claims);
  while (hs_store_server_calls (server, HS_GATEWAY_TXN) < 3)
    tevent_loop_once (ev);
  talloc_free (store);
  talloc_free (server);
  talloc_free (ev);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (pending_claims_of_all_parts_share_a_write,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (write_without_reply_is_retried_until_known,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        former_owner_writes_nothing_and_other_parts_continue, setup, teardown),
    cmocka_unit_test_setup_teardown (
        outage_ends_claims_as_unavailable_or_unknown, setup, teardown),
    cmocka_unit_test_setup_teardown (delayed_write_uses_up_a_key_number, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (writes_stay_below_the_rate_limit, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        expired_keys_are_deleted_with_a_write_or_later_alone, setup, teardown),
    cmocka_unit_test (outcomes_match_the_store_under_random_faults),
    cmocka_unit_test (claims_load_in_pages_and_retry_after_a_lost_reply),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
