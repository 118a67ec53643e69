/* Decoding of the routes in a configuration, and the route of a request. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "platform/configuration.h"

static const char TEXT[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"a.example\",\"path_prefix\":\"/x/\","
      "\"service\":\"s1\",\"max_attempts\":2,\"slack_factor\":1.6,"
      "\"target_latency_ms\":60,\"timeout_ms\":1500},"
      "{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/x/y/\","
      "\"service\":\"s2\"},"
      "{\"name\":\"r3\",\"path_prefix\":\"/z/\",\"service\":\"s2\"},"
      "{\"name\":\"r4\",\"host\":\"b.example\",\"path_prefix\":\"/x/\","
      "\"service\":\"s2\",\"slack_factor\":\"much\"}],"
      "\"services\":[],\"limits\":{}}";

static HsRoutes *routes;
static uint32_t n_invalid;

static int
setup (void **state)
{
  (void) state;
  routes = hs_configuration_decode (NULL, TEXT, strlen (TEXT), &n_invalid);
  assert_non_null (routes);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (routes);
  return 0;
}

static void
all_fields_of_a_route_are_decoded (void **state)
{
  const HsRoute *route = hs_routes_find (routes, "a.example", "/x/00ff");

  (void) state;
  assert_int_equal (hs_routes_version (routes), 7);
  assert_string_equal (route->customer, "r1");
  assert_string_equal (route->service, "s1");
  assert_int_equal (route->max_failures, 2);
  assert_true (route->slack_factor > 1.59 && route->slack_factor < 1.61);
  assert_int_equal (route->slack, 60 * HS_MSEC);
  assert_int_equal (route->timeout, 1500 * HS_MSEC);
}

static void
the_longest_matching_prefix_of_the_host_wins (void **state)
{
  (void) state;
  assert_string_equal (hs_routes_find (routes, "a.example", "/x/y/1")->customer,
                       "r2");
  assert_string_equal (
      hs_routes_find (routes, "A.Example:8161", "/x/1")->customer, "r1");
  assert_null (hs_routes_find (routes, "b.example", "/x/1"));
  assert_null (hs_routes_find (routes, "a.example", "/w/1"));
}

static void
invalid_routes_are_skipped_and_counted (void **state)
{
  (void) state;
  assert_int_equal (hs_routes_count (routes), 2);
  assert_int_equal (n_invalid, 2);
}

static void
malformed_configurations_are_rejected (void **state)
{
  static const char *const texts[] = { "",
                                       "[]",
                                       "{}",
                                       "{\"version\":1}",
                                       "{\"version\":1,\"routes\":3}",
                                       "{\"version\":\"x\",\"routes\":[]}",
                                       "{\"version\":1,\"routes\":[]" };
  size_t i;

  (void) state;
  for (i = 0; i < sizeof texts / sizeof *texts; i++)
    assert_null (hs_configuration_decode (NULL, texts[i], strlen (texts[i]),
                                          &n_invalid));
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (all_fields_of_a_route_are_decoded),
    TEST (the_longest_matching_prefix_of_the_host_wins),
    TEST (invalid_routes_are_skipped_and_counted),
    TEST (malformed_configurations_are_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
