/**
 * @file
 * Fuzzers of the store's responses and of the claims stored in it.
 */
#include <string.h>

#include "fuzz.h"
#include "store/claim_log.h"
#include "store/codec.h"

static void check_kv (const HsStoreKv *kv);
static void check_reply (const HsStoreReply *reply);
static void check_watch (TALLOC_CTX *ctx, const char *text, size_t n);

/** The first byte selects the call whose response the rest is. */
int
hs_fuzz_store (const uint8_t *data, size_t n)
{
  static bool (*const DECODE[]) (TALLOC_CTX *, const char *, size_t,
                                 HsStoreReply *)
      = { hs_store_decode_range, hs_store_decode_txn, hs_store_decode_grant,
          hs_store_decode_keepalive, hs_store_decode_revoke };
  TALLOC_CTX *ctx = talloc_new (NULL);
  HsStoreReply reply = { 0 };
  const char *text = (const char *) data + 1;

  if (n > 0 && data[0] % 8 < G_N_ELEMENTS (DECODE)
      && DECODE[data[0] % 8](ctx, text, n - 1, &reply))
    check_reply (&reply);
  if (n > 0 && data[0] % 8 == G_N_ELEMENTS (DECODE))
    check_watch (ctx, text, n - 1);
  if (n > 0)
    hs_store_decode_error (text, n - 1);
  talloc_free (ctx);
  return 0;
}

int
hs_fuzz_claim (const uint8_t *data, size_t n)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  HsClaimRecord *records = NULL;
  HsClaimRecord *decoded_again = NULL;
  size_t n_records = 0;
  size_t n_again = 0;
  int64_t wall_ms = 0;
  int64_t wall_again = 0;
  char *text;
  size_t i;

  if (hs_claim_decode (ctx, (const char *) data, n, &records, &n_records,
                       &wall_ms))
    {
      text = hs_claim_encode (ctx, 1, wall_ms, records, n_records);
      HS_FUZZ_REQUIRE (hs_claim_decode (ctx, text, strlen (text),
                                        &decoded_again, &n_again, &wall_again));
      HS_FUZZ_REQUIRE (n_again == n_records && wall_again == wall_ms);
      for (i = 0; i < n_records; i++)
        HS_FUZZ_REQUIRE (
            strcmp (records[i].customer, decoded_again[i].customer) == 0
            && strcmp (records[i].id, decoded_again[i].id) == 0
            && strcmp (records[i].digest, decoded_again[i].digest) == 0
            && records[i].wall_ms == wall_ms);
    }
  talloc_free (ctx);
  return 0;
}

static void
check_kv (const HsStoreKv *kv)
{
  HS_FUZZ_REQUIRE (kv->key != NULL && kv->key[0] != '\0');
  HS_FUZZ_REQUIRE (kv->value != NULL && kv->value[kv->value_len] == '\0');
}

static void
check_reply (const HsStoreReply *reply)
{
  size_t i;

  HS_FUZZ_REQUIRE (reply->revision > 0);
  HS_FUZZ_REQUIRE (reply->n_kvs == 0 || reply->kvs != NULL);
  for (i = 0; i < reply->n_kvs; i++)
    check_kv (&reply->kvs[i]);
}

static void
check_watch (TALLOC_CTX *ctx, const char *text, size_t n)
{
  HsStoreWatchResponse line;
  size_t i;

  if (!hs_store_decode_watch (ctx, text, n, &line))
    return;
  HS_FUZZ_REQUIRE (line.revision > 0 || line.canceled);
  for (i = 0; i < line.n_events; i++)
    {
      HS_FUZZ_REQUIRE (line.events[i].kv.mod_revision > 0);
      check_kv (&line.events[i].kv);
    }
}
