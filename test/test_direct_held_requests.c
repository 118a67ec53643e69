/* Requests that arrive before an entry's first configuration. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"

#define T0 (1000 * HS_SEC)
#define HOLD_TIME_MAX (100 * HS_MSEC)

static HsDirectEntry *entry;
static HsCallerRequest handled[300];
static uint32_t n_handled;
static char first_path[32];

void
hs_entry_handle_request (HsDirectEntry *which, const HsCallerRequest *request)
{
  (void) which;
  if (n_handled == 0)
    g_strlcpy (first_path, request->path, sizeof first_path);
  handled[n_handled++] = *request;
}

void
hs_entry_schedule (HsDirectEntry *which, bool dispatch)
{
  (void) which;
  (void) dispatch;
}

static bool
hold (uint64_t handle, HsTime now)
{
  HsCallerRequest request
      = { .handle = handle, .host = "h", .path = "/q/1", .time_left = HS_SEC };

  return hs_entry_held_requests_add (entry, &request, now);
}

static int
setup (void **state)
{
  (void) state;
  entry = talloc_zero (NULL, HsDirectEntry);
  entry->held_requests = g_ptr_array_new ();
  n_handled = 0;
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  while (entry->held_requests->len > 0)
    talloc_free (g_ptr_array_remove_index (entry->held_requests, 0));
  g_ptr_array_unref (entry->held_requests);
  talloc_free (entry);
  return 0;
}

static void
held_requests_are_handled_once_configured (void **state)
{
  HsTime now = T0 + 30 * HS_MSEC;

  (void) state;
  assert_true (hold (1, T0));
  assert_true (hold (2, T0));
  hs_entry_held_requests_tick (entry, now);
  assert_int_equal (n_handled, 0);
  entry->routes = (HsRoutes *) entry;
  assert_true (hs_entry_held_requests_tick (entry, now) == HS_NEVER);
  entry->routes = NULL;
  assert_int_equal (n_handled, 2);
  assert_int_equal (handled[0].handle, 1);
  assert_string_equal (first_path, "/q/1");
  /* The holding time counts against the caller's deadline. */
  assert_int_equal (handled[0].time_left, HS_SEC - 30 * HS_MSEC);
}

/* The request handler then refuses them, as there are no routes. */
static void
holding_time_is_bounded (void **state)
{
  (void) state;
  assert_true (hold (1, T0));
  assert_int_equal (hs_entry_held_requests_tick (entry, T0),
                    T0 + HOLD_TIME_MAX);
  hs_entry_held_requests_tick (entry, T0 + HOLD_TIME_MAX);
  assert_int_equal (n_handled, 1);
}

static void
nothing_is_held_after_a_failed_read (void **state)
{
  (void) state;
  assert_true (hold (1, T0));
  entry->config_read_failed = true;
  assert_false (hold (2, T0));
  hs_entry_held_requests_tick (entry, T0);
  assert_int_equal (n_handled, 1);
}

static void
request_of_a_lost_caller_is_dropped (void **state)
{
  (void) state;
  assert_true (hold (1, T0));
  assert_true (hold (2, T0));
  hs_entry_held_requests_drop (entry, 1);
  hs_entry_held_requests_tick (entry, T0 + HOLD_TIME_MAX);
  assert_int_equal (n_handled, 1);
  assert_int_equal (handled[0].handle, 2);
}

static void
number_of_held_requests_is_bounded (void **state)
{
  uint64_t i;

  (void) state;
  for (i = 0; i < 200; i++)
    assert_true (hold (i, T0));
  assert_false (hold (200, T0));
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (held_requests_are_handled_once_configured),
    TEST (holding_time_is_bounded),
    TEST (nothing_is_held_after_a_failed_read),
    TEST (request_of_a_lost_caller_is_dropped),
    TEST (number_of_held_requests_is_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
