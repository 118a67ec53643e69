#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "standin/kv.h"

static const HsKvRange ALL = { "", "" };

static int
setup (void **state)
{
  *state = hs_kv_new (NULL);
  return 0;
}

static int
teardown (void **state)
{
  talloc_free (*state);
  return 0;
}

static HsKvStatus
put (HsKv *kv, const char *key, const char *value, int64_t lease)
{
  const HsKvOp op
      = { HS_KV_PUT, { key, NULL }, value, strlen (value), lease, 0 };
  HsKvOpResult result;

  return hs_kv_apply (kv, &op, 1, &result);
}

static int64_t
delete_key (HsKv *kv, const char *key)
{
  const HsKvOp op = { HS_KV_DELETE, { key, NULL }, NULL, 0, 0, 0 };
  HsKvOpResult result;

  hs_kv_apply (kv, &op, 1, &result);
  return result.deleted;
}

static void
revisions_versions_and_creation_are_counted (void **state)
{
  HsKv *kv = *state;
  const HsKvRecord *record;

  put (kv, "a", "1", 0);
  put (kv, "a", "2", 0);
  record = hs_kv_get (kv, "a");
  assert_int_equal (record->create_revision, 2);
  assert_int_equal (record->mod_revision, 3);
  assert_int_equal (record->version, 2);
  assert_int_equal (delete_key (kv, "a"), 1);
  assert_int_equal (hs_kv_revision (kv), 4);
  assert_int_equal (delete_key (kv, "a"), 0);
  assert_int_equal (hs_kv_revision (kv), 4);
  put (kv, "a", "3", 0);
  assert_int_equal (hs_kv_get (kv, "a")->create_revision, 5);
  assert_int_equal (hs_kv_get (kv, "a")->version, 1);
}

static void
compares_use_the_current_record (void **state)
{
  HsKv *kv = *state;
  const HsKvCompare absent = { "a", HS_KV_TARGET_MOD, HS_KV_EQUAL, 0 };
  const HsKvCompare second = { "a", HS_KV_TARGET_VERSION, HS_KV_EQUAL, 2 };
  const HsKvCompare created = { "a", HS_KV_TARGET_CREATE, HS_KV_LESS, 3 };
  const HsKvCompare both[] = { second, created };

  assert_true (hs_kv_compare_all (kv, &absent, 1));
  put (kv, "a", "1", 0);
  assert_false (hs_kv_compare_all (kv, &absent, 1));
  assert_false (hs_kv_compare_all (kv, both, 2));
  put (kv, "a", "2", 0);
  assert_true (hs_kv_compare_all (kv, both, 2));
}

static void
keys_are_deleted_with_their_lease (void **state)
{
  HsKv *kv = *state;
  int64_t lease = hs_kv_lease_grant (kv, 0, 4, 0);
  int64_t other = hs_kv_lease_grant (kv, 0, 100, 0);

  put (kv, "a", "1", lease);
  put (kv, "b", "1", lease);
  put (kv, "c", "1", lease);
  put (kv, "c", "2", other);
  assert_int_equal (hs_kv_lease_keepalive (kv, lease, 3 * HS_SEC), 4);
  hs_kv_expire_leases (kv, 6 * HS_SEC);
  assert_non_null (hs_kv_get (kv, "a"));
  assert_int_equal (hs_kv_next_expiry (kv), 7 * HS_SEC);
  hs_kv_expire_leases (kv, 7 * HS_SEC);
  assert_null (hs_kv_get (kv, "a"));
  assert_null (hs_kv_get (kv, "b"));
  assert_non_null (hs_kv_get (kv, "c"));
  assert_int_equal (hs_kv_revision (kv), 6);
  assert_int_equal (hs_kv_lease_keepalive (kv, lease, 7 * HS_SEC), 0);
  assert_int_equal (put (kv, "d", "1", lease), HS_KV_NO_LEASE);
  assert_int_equal (hs_kv_lease_revoke (kv, other), HS_KV_OK);
  assert_null (hs_kv_get (kv, "c"));
}

static void
earlier_revisions_can_be_read_until_compacted (void **state)
{
  HsKv *kv = *state;
  HsKvOpResult result;

  put (kv, "a", "1", 0);
  put (kv, "b", "1", 0);
  put (kv, "a", "2", 0);
  delete_key (kv, "b");
  assert_int_equal (hs_kv_range (kv, &ALL, 3, 0, &result), HS_KV_OK);
  assert_int_equal (result.records->len, 2);
  assert_string_equal (((HsKvRecord *) result.records->pdata[0])->value, "1");
  g_ptr_array_unref (result.records);
  hs_kv_compact (kv, 4);
  assert_int_equal (hs_kv_range (kv, &ALL, 3, 0, &result), HS_KV_COMPACTED);
  assert_int_equal (hs_kv_range (kv, &ALL, 6, 0, &result), HS_KV_FUTURE);
  assert_int_equal (hs_kv_range (kv, &ALL, 4, 0, &result), HS_KV_OK);
  assert_int_equal (result.records->len, 2);
  assert_string_equal (((HsKvRecord *) result.records->pdata[0])->value, "2");
  g_ptr_array_unref (result.records);
}

static void
history_starts_at_the_given_revision (void **state)
{
  HsKv *kv = *state;
  const HsKvRange range = { "a", "b" };
  g_autoptr (GPtrArray) events = g_ptr_array_new ();

  put (kv, "a", "1", 0);
  put (kv, "b", "1", 0);
  put (kv, "ab", "1", 0);
  delete_key (kv, "a");
  assert_int_equal (hs_kv_history (kv, &range, 3, events), HS_KV_OK);
  assert_int_equal (events->len, 2);
  assert_string_equal (((HsKvEvent *) events->pdata[0])->current->key, "ab");
  assert_null (((HsKvEvent *) events->pdata[1])->current);
  hs_kv_compact (kv, 0);
  assert_int_equal (hs_kv_history (kv, &range, 4, events), HS_KV_COMPACTED);
}

static void
operations_of_a_txn_see_earlier_ones_and_share_a_revision (void **state)
{
  HsKv *kv = *state;
  const HsKvOp ops[] = {
    { HS_KV_PUT, { "a", NULL }, "1", 1, 0, 0 },
    { HS_KV_PUT, { "b", NULL }, "1", 1, 0, 0 },
    { HS_KV_RANGE, { "", "" }, NULL, 0, 0, 1 },
  };
  const HsKvOp twice[] = { ops[0], ops[0] };
  HsKvOpResult results[3];

  assert_int_equal (hs_kv_apply (kv, ops, 3, results), HS_KV_OK);
  assert_int_equal (results[2].records->len, 1);
  assert_true (results[2].more);
  g_ptr_array_unref (results[2].records);
  assert_int_equal (hs_kv_get (kv, "a")->mod_revision, 2);
  assert_int_equal (hs_kv_get (kv, "b")->mod_revision, 2);
  assert_int_equal (hs_kv_apply (kv, twice, 2, results), HS_KV_DUPLICATE_KEY);
  assert_int_equal (hs_kv_revision (kv), 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        revisions_versions_and_creation_are_counted, setup, teardown),
    cmocka_unit_test_setup_teardown (compares_use_the_current_record, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (keys_are_deleted_with_their_lease, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        earlier_revisions_can_be_read_until_compacted, setup, teardown),
    cmocka_unit_test_setup_teardown (history_starts_at_the_given_revision,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        operations_of_a_txn_see_earlier_ones_and_share_a_revision, setup,
        teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
