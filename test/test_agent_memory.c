#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "agent/memory.h"

#define RETENTION (10 * HS_SEC)
#define BODY_LIMIT 100

static hsx_task_key key_of (uint32_t part, uint32_t index);
static HsFinish done (const char *body);

static HsMemory *memory;

static int
setup (void **state)
{
  (void) state;
  memory = hs_memory_new (NULL, RETENTION, BODY_LIMIT);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (memory);
  return 0;
}

static void
a_start_is_remembered_until_its_result (void **state)
{
  hsx_task_key key = key_of (3, 7);
  hsx_task_key other = key_of (3, 8);
  HsTaskHandle handle = hs_memory_start (memory, &key, 0);
  HsFinish finish = done ("yes");
  hsx_result result;

  (void) state;
  assert_int_equal (hs_memory_find (memory, &key), handle);
  assert_int_equal (hs_memory_find (memory, &other), 0);
  hs_memory_result (memory, handle, &result);
  assert_int_equal (result.outcome, HSX_RUNNING);
  hs_memory_finish (memory, handle, &finish);
  hs_memory_result (memory, handle, &result);
  assert_int_equal (result.outcome, HSX_DONE);
  assert_int_equal (result.http_status, 200);
  assert_int_equal (result.key.part, 3);
  assert_int_equal (result.body.body_len, 3);
  assert_memory_equal (result.body.body_val, "yes", 3);
}

static void
only_what_is_older_than_the_window_expires (void **state)
{
  hsx_task_key ended = key_of (0, 1);
  hsx_task_key running = key_of (0, 2);
  hsx_task_key fenced = key_of (0, 3);
  HsFinish finish = done ("");

  (void) state;
  hs_memory_finish (memory, hs_memory_start (memory, &ended, 0), &finish);
  hs_memory_start (memory, &running, 0);
  hs_memory_fence (memory, &fenced, 1);
  hs_memory_expire (memory, RETENTION);
  assert_int_equal (hs_memory_count (memory), 3);
  hs_memory_expire (memory, RETENTION + 1);
  assert_int_equal (hs_memory_find (memory, &ended), 0);
  assert_int_not_equal (hs_memory_find (memory, &running), 0);
  assert_int_not_equal (hs_memory_find (memory, &fenced), 0);
  hs_memory_expire (memory, RETENTION + 2);
  assert_int_equal (hs_memory_find (memory, &fenced), 0);
  assert_int_equal (hs_memory_count (memory), 1);
}

static void
the_oldest_body_goes_first_and_reads_maybe (void **state)
{
  static const char body[51] = "fifty bytes";
  HsFinish finish = done (body);
  HsTaskHandle handles[3];
  hsx_result result;
  uint32_t i;

  (void) state;
  finish.body_len = 50;
  for (i = 0; i < 3; i++)
    {
      hsx_task_key key = key_of (0, i);

      handles[i] = hs_memory_start (memory, &key, 0);
      hs_memory_finish (memory, handles[i], &finish);
    }
  assert_int_equal (hs_memory_count (memory), 3);
  assert_int_equal (hs_memory_body_bytes (memory), 100);
  hs_memory_result (memory, handles[0], &result);
  assert_int_equal (result.outcome, HSX_MAYBE);
  assert_int_equal (result.body.body_len, 0);
  hs_memory_result (memory, handles[1], &result);
  assert_int_equal (result.outcome, HSX_DONE);
}

static void
iteration_finds_each_record_of_the_partitions (void **state)
{
  static bool parts[HSX_PARTS_MAX];
  HsTaskHandle handle = 0;
  uint32_t found = 0;
  uint32_t i;

  (void) state;
  parts[1] = true;
  for (i = 0; i < 300; i++)
    {
      hsx_task_key key = key_of (i % 3, i);

      hs_memory_start (memory, &key, 0);
    }
  while ((handle = hs_memory_next (memory, handle, parts)) != 0)
    {
      hsx_result result;

      hs_memory_result (memory, handle, &result);
      assert_int_equal (result.key.part, 1);
      if (found++ == 10)
        hs_memory_remove (memory, handle);
    }
  assert_int_equal (found, 100);
  assert_int_equal (hs_memory_count (memory), 299);
}

static void
a_fenced_task_reads_refused (void **state)
{
  hsx_task_key key = key_of (0, 0);
  hsx_result result;

  (void) state;
  hs_memory_result (memory, hs_memory_fence (memory, &key, 0), &result);
  assert_int_equal (result.outcome, HSX_REFUSED);
  assert_int_equal (result.refusal, HSX_REFUSAL_FENCED);
}

static hsx_task_key
key_of (uint32_t part, uint32_t index)
{
  return (hsx_task_key){
    .part = part, .customer = "c1", .id = "job", .index = index
  };
}

static HsFinish
done (const char *body)
{
  return (HsFinish){ .outcome = HSX_DONE,
                     .http_status = 200,
                     .run_us = 5,
                     .body = body,
                     .body_len = strlen (body) };
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_start_is_remembered_until_its_result,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (only_what_is_older_than_the_window_expires,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (the_oldest_body_goes_first_and_reads_maybe,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        iteration_finds_each_record_of_the_partitions, setup, teardown),
    cmocka_unit_test_setup_teardown (a_fenced_task_reads_refused, setup,
                                     teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
