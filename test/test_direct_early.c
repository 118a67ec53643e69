/* Requests that come before an entry's first configuration. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"

#define T0 (1000 * HS_SEC)
#define KEEP_SPAN (100 * HS_MSEC)

static HsDirectEntry *entry;
static HsCallerRequest taken[300];
static uint32_t n_taken;
static char first_path[32];

void
hs_entry_request (HsDirectEntry *which, const HsCallerRequest *request)
{
  (void) which;
  if (n_taken == 0)
    g_strlcpy (first_path, request->path, sizeof first_path);
  taken[n_taken++] = *request;
}

void
hs_entry_schedule (HsDirectEntry *which, bool pump)
{
  (void) which;
  (void) pump;
}

static bool
keep (uint64_t handle, HsTime now)
{
  HsCallerRequest request
      = { .handle = handle, .host = "h", .path = "/q/1", .time_left = HS_SEC };

  return hs_entry_early_keep (entry, &request, now);
}

static int
setup (void **state)
{
  (void) state;
  entry = talloc_zero (NULL, HsDirectEntry);
  entry->early = g_ptr_array_new ();
  n_taken = 0;
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  while (entry->early->len > 0)
    talloc_free (g_ptr_array_remove_index (entry->early, 0));
  g_ptr_array_unref (entry->early);
  talloc_free (entry);
  return 0;
}

static void
they_are_taken_once_there_is_a_configuration (void **state)
{
  HsTime now = T0 + 30 * HS_MSEC;

  (void) state;
  assert_true (keep (1, T0));
  assert_true (keep (2, T0));
  hs_entry_early_tick (entry, now);
  assert_int_equal (n_taken, 0);
  entry->routes = (HsRoutes *) entry;
  assert_true (hs_entry_early_tick (entry, now) == HS_NEVER);
  entry->routes = NULL;
  assert_int_equal (n_taken, 2);
  assert_int_equal (taken[0].handle, 1);
  assert_string_equal (first_path, "/q/1");
  /* Their time runs on meanwhile. */
  assert_int_equal (taken[0].time_left, HS_SEC - 30 * HS_MSEC);
}

/* Whoever takes them then refuses them. */
static void
they_wait_no_longer_than_is_of_use (void **state)
{
  (void) state;
  assert_true (keep (1, T0));
  assert_int_equal (hs_entry_early_tick (entry, T0), T0 + KEEP_SPAN);
  hs_entry_early_tick (entry, T0 + KEEP_SPAN);
  assert_int_equal (n_taken, 1);
}

static void
after_a_read_that_failed_none_waits (void **state)
{
  (void) state;
  assert_true (keep (1, T0));
  entry->read_failed = true;
  assert_false (keep (2, T0));
  hs_entry_early_tick (entry, T0);
  assert_int_equal (n_taken, 1);
}

static void
a_caller_that_leaves_is_dropped (void **state)
{
  (void) state;
  assert_true (keep (1, T0));
  assert_true (keep (2, T0));
  hs_entry_early_drop (entry, 1);
  hs_entry_early_tick (entry, T0 + KEEP_SPAN);
  assert_int_equal (n_taken, 1);
  assert_int_equal (taken[0].handle, 2);
}

static void
there_is_a_bound (void **state)
{
  uint64_t i;

  (void) state;
  for (i = 0; i < 200; i++)
    assert_true (keep (i, T0));
  assert_false (keep (200, T0));
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (they_are_taken_once_there_is_a_configuration),
    TEST (they_wait_no_longer_than_is_of_use),
    TEST (after_a_read_that_failed_none_waits),
    TEST (a_caller_that_leaves_is_dropped),
    TEST (there_is_a_bound),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
