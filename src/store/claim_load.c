#include "store/claim_load.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

/* A page is the keys that differ only in the last two digits, so that a range
   over a prefix reads it. With the limit on a value's size it stays below
   HS_STORE_RESPONSE_MAX_BYTES. */
#define KEYS_PER_PAGE 100u
#define PAGE_SUFFIX_DIGITS 2

static void on_first_key (void *arg, const HsStoreReply *reply);
static void on_page (void *arg, const HsStoreReply *reply);

HsClaimLoad *
hs_claim_load_start (HsStore *store,
                     uint32_t part,
                     int64_t min_revision,
                     void (*done) (void *arg,
                                   const HsClaimLoad *load,
                                   bool complete),
                     void *arg)
{
  HsClaimLoad *load = talloc_zero (store, HsClaimLoad);
  char *prefix = talloc_asprintf (load, "hs/claim/%" PRIu32 "/", part);

  load->store = store;
  load->part = part;
  load->min_revision = min_revision;
  load->done = done;
  load->arg = arg;
  hs_store_range (store, prefix, 1, on_first_key, load);
  talloc_free (prefix);
  return load;
}

void
hs_claim_load_cancel (HsClaimLoad *load)
{
  load->done = NULL;
}

static void
finish_load (HsClaimLoad *load, bool complete)
{
  load->done (load->arg, load, complete);
  talloc_free (load);
}

/* Returns false if the load has ended or was cancelled, and frees it. */
static bool
check_reply (HsClaimLoad *load, const HsStoreReply *reply)
{
  if (load->done == NULL)
    {
      talloc_free (load);
      return false;
    }
  if (reply->status != HS_STORE_OK || reply->revision < load->min_revision)
    {
      finish_load (load, false);
      return false;
    }
  return true;
}

static void
read_page (HsClaimLoad *load)
{
  char *prefix = talloc_asprintf (
      load, "hs/claim/%" PRIu32 "/%0*" PRIu64, load->part,
      HS_CLAIM_NUMBER_DIGITS - PAGE_SUFFIX_DIGITS, load->page);

  hs_store_range (load->store, prefix, 0, on_page, load);
  talloc_free (prefix);
}

/* Reads the number at the end of a key; false if it is not a claim key. */
static bool
parse_number (const char *key, uint64_t *number)
{
  const char *digits = strrchr (key, '/');

  if (digits == NULL || strlen (digits + 1) != HS_CLAIM_NUMBER_DIGITS
      || strspn (digits + 1, "0123456789") != HS_CLAIM_NUMBER_DIGITS)
    return false;
  *number = strtoull (digits + 1, NULL, 10);
  return true;
}

static void
on_first_key (void *arg, const HsStoreReply *reply)
{
  HsClaimLoad *load = arg;
  uint64_t number;

  if (!check_reply (load, reply))
    return;
  if (reply->n_kvs == 0)
    {
      finish_load (load, true);
      return;
    }
  if (!parse_number (reply->kvs[0].key, &number))
    {
      hs_warn ("store", "claim key %s is malformed; delete it by hand",
               reply->kvs[0].key);
      finish_load (load, false);
      return;
    }
  load->page = number / KEYS_PER_PAGE;
  read_page (load);
}

static bool
append_kv (HsClaimLoad *load, const HsStoreKv *kv)
{
  HsClaimRecord *records;
  HsClaimLoadedKey key;
  size_t n;

  if (!parse_number (kv->key, &key.number)
      || !hs_claim_decode (load, kv->value, kv->value_len, &records, &n,
                           &key.wall_ms))
    return false;
  load->keys
      = talloc_realloc (load, load->keys, HsClaimLoadedKey, load->n_keys + 1);
  load->keys[load->n_keys++] = key;
  if (n == 0)
    return true;
  load->records = talloc_realloc (load, load->records, HsClaimRecord,
                                  load->n_records + n);
  memcpy (&load->records[load->n_records], records, n * sizeof *records);
  load->n_records += n;
  return true;
}

static void
on_page (void *arg, const HsStoreReply *reply)
{
  HsClaimLoad *load = arg;
  size_t i;

  if (!check_reply (load, reply))
    return;
  if (reply->n_kvs == 0)
    {
      finish_load (load, true);
      return;
    }
  for (i = 0; i < reply->n_kvs; i++)
    {
      if (append_kv (load, &reply->kvs[i]))
        continue;
      hs_warn ("store", "claim key %s is malformed; delete it by hand",
               reply->kvs[i].key);
      finish_load (load, false);
      return;
    }
  load->page++;
  read_page (load);
}
