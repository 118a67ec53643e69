#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "agent/start_log.h"

#define RETENTION (10 * HS_SEC)
#define BODY_LIMIT 100

static hsx_task_key make_key (uint32_t part, uint32_t index);
static HsTaskCompletion completion_of (const char *body);

static HsStartLog *start_log;

static int
setup (void **state)
{
  (void) state;
  start_log = hs_start_log_new (NULL, RETENTION, BODY_LIMIT);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (start_log);
  return 0;
}

static void
a_start_is_recorded_and_then_its_result (void **state)
{
  hsx_task_key key = make_key (3, 7);
  hsx_task_key other = make_key (3, 8);
  HsRecordHandle handle = hs_start_log_add_start (start_log, &key, 0);
  HsTaskCompletion completion = completion_of ("yes");
  hsx_result result;

  (void) state;
  assert_int_equal (hs_start_log_find (start_log, &key), handle);
  assert_int_equal (hs_start_log_find (start_log, &other), 0);
  hs_start_log_get_result (start_log, handle, &result);
  assert_int_equal (result.outcome, HSX_RUNNING);
  hs_start_log_finish (start_log, handle, &completion);
  hs_start_log_get_result (start_log, handle, &result);
  assert_int_equal (result.outcome, HSX_DONE);
  assert_int_equal (result.http_status, 200);
  assert_int_equal (result.key.part, 3);
  assert_int_equal (result.body.body_len, 3);
  assert_memory_equal (result.body.body_val, "yes", 3);
}

static void
only_records_past_the_retention_expire (void **state)
{
  hsx_task_key ended = make_key (0, 1);
  hsx_task_key running = make_key (0, 2);
  hsx_task_key fenced = make_key (0, 3);
  HsTaskCompletion completion = completion_of ("");

  (void) state;
  hs_start_log_finish (start_log, hs_start_log_add_start (start_log, &ended, 0),
                       &completion);
  hs_start_log_add_start (start_log, &running, 0);
  hs_start_log_add_fence (start_log, &fenced, 1);
  hs_start_log_expire (start_log, RETENTION);
  assert_int_equal (hs_start_log_count (start_log), 3);
  hs_start_log_expire (start_log, RETENTION + 1);
  assert_int_equal (hs_start_log_find (start_log, &ended), 0);
  assert_int_not_equal (hs_start_log_find (start_log, &running), 0);
  assert_int_not_equal (hs_start_log_find (start_log, &fenced), 0);
  hs_start_log_expire (start_log, RETENTION + 2);
  assert_int_equal (hs_start_log_find (start_log, &fenced), 0);
  assert_int_equal (hs_start_log_count (start_log), 1);
}

static void
the_oldest_body_is_evicted_first_and_reads_maybe (void **state)
{
  static const char body[51] = "fifty bytes";
  HsTaskCompletion completion = completion_of (body);
  HsRecordHandle handles[3];
  hsx_result result;
  uint32_t i;

  (void) state;
  completion.body_len = 50;
  for (i = 0; i < 3; i++)
    {
      hsx_task_key key = make_key (0, i);

      handles[i] = hs_start_log_add_start (start_log, &key, 0);
      hs_start_log_finish (start_log, handles[i], &completion);
    }
  assert_int_equal (hs_start_log_count (start_log), 3);
  assert_int_equal (hs_start_log_body_bytes (start_log), 100);
  hs_start_log_get_result (start_log, handles[0], &result);
  assert_int_equal (result.outcome, HSX_MAYBE);
  assert_int_equal (result.body.body_len, 0);
  hs_start_log_get_result (start_log, handles[1], &result);
  assert_int_equal (result.outcome, HSX_DONE);
}

static void
iteration_finds_each_record_of_the_partitions (void **state)
{
  static bool parts[HSX_PARTS_MAX];
  HsRecordHandle handle = 0;
  uint32_t found = 0;
  uint32_t i;

  (void) state;
  parts[1] = true;
  for (i = 0; i < 300; i++)
    {
      hsx_task_key key = make_key (i % 3, i);

      hs_start_log_add_start (start_log, &key, 0);
    }
  while ((handle = hs_start_log_next (start_log, handle, parts)) != 0)
    {
      hsx_result result;

      hs_start_log_get_result (start_log, handle, &result);
      assert_int_equal (result.key.part, 1);
      if (found++ == 10)
        hs_start_log_remove (start_log, handle);
    }
  assert_int_equal (found, 100);
  assert_int_equal (hs_start_log_count (start_log), 299);
}

static void
a_fenced_task_reads_refused (void **state)
{
  hsx_task_key key = make_key (0, 0);
  hsx_result result;

  (void) state;
  hs_start_log_get_result (
      start_log, hs_start_log_add_fence (start_log, &key, 0), &result);
  assert_int_equal (result.outcome, HSX_REFUSED);
  assert_int_equal (result.refusal, HSX_REFUSAL_FENCED);
}

static hsx_task_key
make_key (uint32_t part, uint32_t index)
{
  return (hsx_task_key){
    .part = part, .customer = "c1", .id = "job", .index = index
  };
}

static HsTaskCompletion
completion_of (const char *body)
{
  return (HsTaskCompletion){ .outcome = HSX_DONE,
                             .http_status = 200,
                             .run_us = 5,
                             .body = body,
                             .body_len = strlen (body) };
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_start_is_recorded_and_then_its_result,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (only_records_past_the_retention_expire,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        the_oldest_body_is_evicted_first_and_reads_maybe, setup, teardown),
    cmocka_unit_test_setup_teardown (
        iteration_finds_each_record_of_the_partitions, setup, teardown),
    cmocka_unit_test_setup_teardown (a_fenced_task_reads_refused, setup,
                                     teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
