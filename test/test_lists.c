#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "lists/lists.h"

#define GOLD "{\"in_flight\":8,\"starts_per_s\":50,\"queued\":100}"

static bool
put_plan (HsLists *lists, const char *customer, const char *plan, int64_t rev)
{
  g_autofree char *json = g_strdup_printf ("{\"plan\":\"%s\"}", plan);

  return hs_lists_apply (lists, HS_LIST_PLANS, customer, json, rev, NULL);
}

static void
older_revisions_are_ignored (void **state)
{
  HsLists *lists = hs_lists_new (NULL);

  (void) state;
  assert_true (put_plan (lists, "c1", "gold", 5));
  assert_false (put_plan (lists, "c1", "iron", 4));
  assert_false (put_plan (lists, "c1", "iron", 5));
  assert_string_equal (hs_lists_plan (lists, "c1")->plan, "gold");
  assert_true (put_plan (lists, "c1", "iron", 6));
  assert_string_equal (hs_lists_plan (lists, "c1")->plan, "iron");
  assert_int_equal (hs_lists_plan (lists, "c1")->revision, 6);

  assert_true (hs_lists_apply (lists, HS_LIST_PLANS, "c1", NULL, 9, NULL));
  assert_false (put_plan (lists, "c1", "gold", 8));
  assert_null (hs_lists_plan (lists, "c1"));
  assert_true (put_plan (lists, "c1", "gold", 10));
  assert_false (hs_lists_apply (lists, HS_LIST_PLANS, "c1", NULL, 9, NULL));
  assert_non_null (hs_lists_plan (lists, "c1"));
  assert_int_equal (hs_lists_revision (lists), 10);
  hs_lists_advance_revision (lists, 3);
  assert_int_equal (hs_lists_revision (lists), 10);
  talloc_free (lists);
}

static void
deletion_of_an_absent_record_hides_older_revisions (void **state)
{
  HsLists *lists = hs_lists_new (NULL);

  (void) state;
  assert_false (hs_lists_apply (lists, HS_LIST_PLANS, "c1", NULL, 9, NULL));
  assert_false (put_plan (lists, "c1", "gold", 8));
  assert_null (hs_lists_plan (lists, "c1"));
  talloc_free (lists);
}

static void
invalid_record_keeps_the_previous_one (void **state)
{
  HsLists *lists = hs_lists_new (NULL);
  g_autoptr (GError) error = NULL;

  (void) state;
  assert_true (
      hs_lists_apply (lists, HS_LIST_ALLOWANCES, "gold", GOLD, 2, &error));
  assert_false (hs_lists_apply (lists, HS_LIST_ALLOWANCES, "gold",
                                "{\"in_flight\":-1}", 3, &error));
  assert_true (g_error_matches (error, HS_ERROR, HS_ERROR_INVALID));
  assert_int_equal (hs_lists_allowance (lists, "gold")->in_flight, 8);
  talloc_free (lists);
}

static void
copy_is_independent_of_the_original (void **state)
{
  HsLists *lists = hs_lists_new (NULL);
  HsLists *copy;
  const HsPlan *const *plans;
  size_t n;

  (void) state;
  put_plan (lists, "b", "gold", 1);
  put_plan (lists, "a", "gold", 2);
  put_plan (lists, "c", "gold", 3);
  hs_lists_apply (lists, HS_LIST_PLANS, "c", NULL, 4, NULL);
  hs_lists_apply (lists, HS_LIST_ALLOWANCES, "gold", GOLD, 5, NULL);
  copy = hs_lists_copy (NULL, lists);
  talloc_free (lists);
  plans = hs_lists_plans (copy, &n);
  assert_int_equal (n, 2);
  assert_string_equal (plans[0]->customer, "a");
  assert_string_equal (plans[1]->customer, "b");
  assert_false (put_plan (copy, "c", "gold", 3));
  assert_int_equal (hs_lists_customer_allowance (copy, "a")->queued, 100);
  assert_null (hs_lists_customer_allowance (copy, "c"));
  assert_int_equal (hs_lists_revision (copy), 5);
  talloc_free (copy);
}

static void
allowance_defaults_and_limits (void **state)
{
  g_autoptr (GError) error = NULL;
  HsAllowance gold;
  HsAllowance again;
  char *json;

  (void) state;
  assert_true (hs_allowance_parse (GOLD, "gold", &gold, &error));
  assert_int_equal (gold.burst, 50);
  assert_int_equal (gold.tasks_per_job, 390);
  assert_int_equal (gold.weight, 1);
  json = hs_allowance_to_json (NULL, &gold);
  assert_true (hs_allowance_parse (json, "gold", &again, &error));
  assert_memory_equal (&gold, &again, sizeof gold);
  talloc_free (json);
  assert_false (hs_allowance_parse ("{\"in_flight\":8,\"starts_per_s\":50,"
                                    "\"queued\":1,\"weight\":0}",
                                    "gold", &gold, &error));
  assert_string_equal (error->message,
                       "weight: 0 is out of range; use 1 to 1000");
}

static void
keys_are_stored_as_hashes (void **state)
{
  g_autoptr (GError) error = NULL;
  HsPlan plan;
  HsPlan again;
  char *json;

  (void) state;
  assert_true (
      hs_plan_parse ("{\"plan\":\"gold\",\"key\":\"a-long-enough-key\"}", "c1",
                     &plan, &error));
  assert_true (hs_plan_key_matches (&plan, "a-long-enough-key"));
  assert_false (hs_plan_key_matches (&plan, "a-long-enough-kez"));
  json = hs_plan_to_json (NULL, &plan);
  assert_null (strstr (json, "a-long-enough-key"));
  assert_true (hs_plan_parse (json, "c1", &again, &error));
  assert_string_equal (again.key_hash, plan.key_hash);
  talloc_free (json);
  assert_true (hs_plan_parse ("{\"plan\":\"gold\"}", "c1", &plan, &error));
  assert_false (hs_plan_key_matches (&plan, ""));
  assert_false (hs_plan_parse ("{\"plan\":\"gold\",\"plan\":\"x\"}", "c1",
                               &plan, &error));
  g_clear_error (&error);
  assert_false (hs_plan_parse ("{\"plan\":\"../x\"}", "c1", &plan, &error));
}

static void
record_names_are_validated (void **state)
{
  g_autofree char *longest = g_strnfill (HS_NAME_MAX, 'a');
  g_autofree char *longer = g_strnfill (HS_NAME_MAX + 1, 'a');

  (void) state;
  assert_true (hs_name_valid ("c1_x.Y-z"));
  assert_true (hs_name_valid (longest));
  assert_false (hs_name_valid (longer));
  assert_false (hs_name_valid (""));
  assert_false (hs_name_valid (".c"));
  assert_false (hs_name_valid ("a/b"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (older_revisions_are_ignored),
    cmocka_unit_test (deletion_of_an_absent_record_hides_older_revisions),
    cmocka_unit_test (invalid_record_keeps_the_previous_one),
    cmocka_unit_test (copy_is_independent_of_the_original),
    cmocka_unit_test (allowance_defaults_and_limits),
    cmocka_unit_test (keys_are_stored_as_hashes),
    cmocka_unit_test (record_names_are_validated),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
