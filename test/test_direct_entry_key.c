/* The entry's key in the store; the store is a stub. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"

static HsDirectEntry *entry;
static HsPlatformSettings settings;
static uint32_t n_writes;
static uint32_t n_renewals;

void
hs_entry_schedule (HsDirectEntry *which, bool dispatch)
{
  (void) which;
  (void) dispatch;
}

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t limit,
                HsStoreReplyFunc done,
                void *arg)
{
  (void) store;
  (void) prefix;
  (void) limit;
  (void) done;
  (void) arg;
}

void
hs_store_txn (HsStore *store,
              const HsStoreTxn *txn,
              HsStoreReplyFunc done,
              void *arg)
{
  HsStoreReply reply = { .status = HS_STORE_OK, .succeeded = true };

  (void) store;
  assert_int_equal (txn->n_success, 1);
  assert_int_equal (txn->success[0].lease, 7);
  n_writes++;
  done (arg, &reply);
}

void
hs_store_lease_grant (HsStore *store,
                      int64_t ttl_s,
                      HsStoreReplyFunc done,
                      void *arg)
{
  HsStoreReply reply = { .status = HS_STORE_OK, .lease = 7, .ttl_s = ttl_s };

  (void) store;
  done (arg, &reply);
}

void
hs_store_lease_keepalive (HsStore *store,
                          int64_t lease,
                          HsStoreReplyFunc done,
                          void *arg)
{
  HsStoreReply reply = { .status = HS_STORE_OK, .ttl_s = 10 };

  (void) store;
  assert_int_equal (lease, 7);
  n_renewals++;
  done (arg, &reply);
}

void
hs_store_lease_revoke (HsStore *store,
                       int64_t lease,
                       HsStoreReplyFunc done,
                       void *arg)
{
  (void) store;
  (void) lease;
  (void) done;
  (void) arg;
}

/* Guards against an entry that nobody finds: its key was taken away, and its
   lease lives on. */
static void
the_key_is_written_again_while_its_lease_lives (void **state)
{
  HsTime now = hs_now ().mono;

  (void) state;
  entry = talloc_zero (NULL, HsDirectEntry);
  settings.host = (char *) "h";
  settings.control_listen = (char *) "10.0.0.1:7000";
  entry->settings = &settings;
  hs_entry_key_tick (entry, now);
  assert_int_equal (n_writes, 1);
  hs_entry_key_tick (entry, now + 30 * HS_SEC);
  assert_int_equal (n_renewals, 1);
  assert_int_equal (n_writes, 1);
  hs_entry_key_tick (entry, now + 61 * HS_SEC);
  assert_int_equal (n_writes, 2);
  talloc_free (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (the_key_is_written_again_while_its_lease_lives) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
