#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "store/claim_log.h"
#include "store/codec.h"

#define HEADER "\"header\":{\"revision\":\"7\"}"

static TALLOC_CTX *ctx;

static int
setup (void **state)
{
  (void) state;
  ctx = talloc_new (NULL);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (ctx);
  return 0;
}

static void
range_covers_exactly_the_prefix (void **state)
{
  (void) state;
  assert_string_equal (hs_store_encode_range (ctx, "hs/", 0),
                       "{\"key\":\"aHMv\",\"range_end\":\"aHMw\"}");
  assert_string_equal (hs_store_encode_range (ctx, "", 5),
                       "{\"key\":\"AA==\",\"range_end\":\"AA==\","
                       "\"limit\":\"5\"}");
  assert_string_equal (hs_store_encode_range (ctx, "a\xff", 0),
                       "{\"key\":\"Yf8=\",\"range_end\":\"Yg==\"}");
}

static void
txn_has_compares_and_both_branches (void **state)
{
  const HsStoreCompare compare = { "a", 3 };
  const HsStoreOp success[]
      = { { HS_STORE_PUT, "a", "v", 9 }, { HS_STORE_DELETE, "b", NULL, 0 } };
  const HsStoreOp failure = { HS_STORE_RANGE, "a", NULL, 0 };
  const HsStoreTxn txn = { 1, &compare, 2, success, 1, &failure };

  (void) state;
  assert_string_equal (
      hs_store_encode_txn (ctx, &txn),
      "{\"compare\":[{\"target\":\"MOD\",\"result\":\"EQUAL\",\"key\":\"YQ==\","
      "\"mod_revision\":\"3\"}],\"success\":[{\"request_put\":{\"key\":"
      "\"YQ==\",\"value\":\"dg==\",\"lease\":\"9\"}},"
      "{\"request_delete_range\":{\"key\":\"Yg==\"}}],"
      "\"failure\":[{\"request_range\":{\"key\":\"YQ==\"}}]}");
}

static bool
decode_range (const char *text, HsStoreReply *reply)
{
  memset (reply, 0, sizeof *reply);
  return hs_store_decode_range (ctx, text, strlen (text), reply);
}

static void
range_response_is_decoded (void **state)
{
  HsStoreReply reply;

  (void) state;
  assert_true (decode_range (
      "{" HEADER ",\"kvs\":[{\"key\":\"YQ==\",\"value\":\"dgB3\","
      "\"create_revision\":\"2\",\"mod_revision\":\"5\",\"lease\":\"-4\"}],"
      "\"more\":true,\"count\":\"2\",\"later\":{}}\n",
      &reply));
  assert_int_equal (reply.revision, 7);
  assert_true (reply.more);
  assert_int_equal (reply.n_kvs, 1);
  assert_string_equal (reply.kvs[0].key, "a");
  assert_int_equal (reply.kvs[0].value_len, 3);
  assert_memory_equal (reply.kvs[0].value, "v\0w", 4);
  assert_int_equal (reply.kvs[0].mod_revision, 5);
  assert_int_equal (reply.kvs[0].lease, -4);
}

static void
malformed_responses_are_rejected (void **state)
{
  static const char *const TEXTS[] = {
    "",
    "{}",
    "[]",
    "null",
    "{" HEADER,
    "{" HEADER "} {}",
    "{\"header\":{\"revision\":\"0\"}}",
    "{\"header\":{\"revision\":\"7x\"}}",
    "{\"header\":{\"revision\":\"99999999999999999999\"}}",
    "{\"header\":{\"revision\":true}}",
    "{" HEADER ",\"more\":\"true\"}",
    "{" HEADER ",\"kvs\":{}}",
    "{" HEADER ",\"kvs\":[7]}",
    "{" HEADER ",\"kvs\":[{\"value\":\"dg==\"}]}",
    "{" HEADER ",\"kvs\":[{\"key\":\"YQ=\"}]}",
    "{" HEADER ",\"kvs\":[{\"key\":\"Y!==\"}]}",
    "{" HEADER ",\"kvs\":[{\"key\":\"YQBi\"}]}",
    "{" HEADER ",\"kvs\":[{\"key\":\"YQ==\",\"value\":7}]}",
    "[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]",
  };
  HsStoreReply reply;
  HsStoreWatchResponse response;
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (TEXTS); i++)
    {
      if (decode_range (TEXTS[i], &reply))
        fail_msg ("accepted: %s", TEXTS[i]);
      assert_false (
          hs_store_decode_watch (ctx, TEXTS[i], strlen (TEXTS[i]), &response));
    }
}

static void
watch_responses_are_decoded (void **state)
{
  const char *events
      = "{\"result\":{" HEADER ",\"events\":[{\"kv\":{\"key\":\"YQ==\","
        "\"value\":\"dg==\",\"mod_revision\":\"6\"}},{\"type\":\"DELETE\","
        "\"kv\":{\"key\":\"YQ==\",\"mod_revision\":\"7\"}}]}}";
  const char *compacted = "{\"result\":{\"header\":{},\"canceled\":true,"
                          "\"compact_revision\":\"4\"}}";
  HsStoreWatchResponse response;

  (void) state;
  assert_true (hs_store_decode_watch (ctx, events, strlen (events), &response));
  assert_int_equal (response.n_events, 2);
  assert_false (response.events[0].deleted);
  assert_true (response.events[1].deleted);
  assert_int_equal (response.events[1].kv.mod_revision, 7);
  assert_true (
      hs_store_decode_watch (ctx, compacted, strlen (compacted), &response));
  assert_true (response.canceled);
  assert_int_equal (response.compact_revision, 4);
}

static void
error_code_is_decoded (void **state)
{
  const char *text = "{\"error\":\"no lease\",\"code\":5,\"message\":\"\"}";

  (void) state;
  assert_int_equal (hs_store_decode_error (text, strlen (text)),
                    HS_STORE_GRPC_NOT_FOUND);
  assert_int_equal (hs_store_decode_error ("oops", 4), -1);
}

static void
claims_survive_encoding_and_decoding (void **state)
{
  const HsClaimRecord claims[]
      = { { "c\"1", "id/\\", "ab", 0 }, { "c2", "", "cd", 0 } };
  char *text = hs_claim_encode (ctx, 5, 1234, claims, 2);
  HsClaimRecord *read;
  size_t n;
  int64_t wall_ms;

  (void) state;
  assert_true (hs_claim_decode (ctx, text, strlen (text), &read, &n, &wall_ms));
  assert_int_equal (n, 2);
  assert_string_equal (read[0].customer, "c\"1");
  assert_string_equal (read[0].id, "id/\\");
  assert_string_equal (read[1].digest, "cd");
  assert_int_equal (read[1].wall_ms, 1234);
  assert_false (
      hs_claim_decode (ctx, text, strlen (text) - 1, &read, &n, &wall_ms));
}

/* Calls each decoder with the text; returns how many accept it. */
static unsigned int
decode_all (const char *text, size_t len)
{
  bool (*const decoders[]) (TALLOC_CTX *, const char *, size_t, HsStoreReply *)
      = { hs_store_decode_range, hs_store_decode_txn, hs_store_decode_grant,
          hs_store_decode_keepalive, hs_store_decode_revoke };
  TALLOC_CTX *scratch = talloc_new (ctx);
  HsClaimRecord *claims;
  HsStoreWatchResponse response;
  unsigned int n_read = 0;
  int64_t wall_ms;
  size_t n;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (decoders); i++)
    {
      HsStoreReply reply = { 0 };

      n_read += decoders[i](scratch, text, len, &reply);
    }
  n_read += hs_store_decode_watch (scratch, text, len, &response);
  n_read += hs_claim_decode (scratch, text, len, &claims, &n, &wall_ms);
  hs_store_decode_error (text, len);
  talloc_free (scratch);
  return n_read;
}

/* Decodes damaged copies of a text; the sanitizer finds invalid accesses. */
static void
check_damaged_copies (const char *whole, unsigned int n_decoders)
{
  const size_t size = strlen (whole);
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  unsigned int n_read = 0;
  unsigned int i;

  for (i = 0; i < 10000; i++)
    {
      size_t len = (size_t) g_rand_int_range (rand, 0, (gint32) size);
      g_autofree char *text = g_strndup (whole, size);

      text[g_rand_int_range (rand, 0, (gint32) size)]
          = "\"{}[],:0-x=\xff"[g_rand_int_range (rand, 0, 13)];
      n_read += decode_all (text, i % 2 == 0 ? size : len);
    }
  assert_int_equal (decode_all (whole, size), n_decoders);
  assert_in_range (n_read, 100, n_decoders * 10000 - 1);
}

static void
damaged_responses_are_safe (void **state)
{
  (void) state;
  check_damaged_copies (
      "{\"result\":{" HEADER ",\"ID\":\"3\",\"TTL\":\"4\",\"events\":[{"
      "\"type\":\"PUT\",\"kv\":{\"key\":\"YQ==\",\"mod_revision\":\"6\"}}]"
      "}," HEADER ",\"succeeded\":true,\"kvs\":[{\"key\":\"YQ==\"}],"
      "\"ID\":\"3\",\"responses\":[{\"response_range\":{\"kvs\":[{"
      "\"key\":\"YQ==\"}]}}]}",
      6);
  check_damaged_copies (
      "{\"time_ms\":1,\"claims\":[{\"customer\":\"c\",\"id\":\"i\","
      "\"digest\":\"d\"},{\"customer\":\"c\",\"id\":\"j\","
      "\"digest\":\"d\"}]}",
      1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (range_covers_exactly_the_prefix),
    cmocka_unit_test (txn_has_compares_and_both_branches),
    cmocka_unit_test (range_response_is_decoded),
    cmocka_unit_test (malformed_responses_are_rejected),
    cmocka_unit_test (watch_responses_are_decoded),
    cmocka_unit_test (error_code_is_decoded),
    cmocka_unit_test (claims_survive_encoding_and_decoding),
    cmocka_unit_test (damaged_responses_are_safe),
  };

  return cmocka_run_group_tests (tests, setup, teardown);
}
