#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "load/balancer.h"

static void
refusing_entry_is_skipped (void **state)
{
  Balancer *balancer = balancer_new (NULL, 3);

  (void) state;
  assert_int_equal (balancer_pick (balancer, 4, HS_SEC), 1);
  balancer_connection_refused (balancer, 1, HS_SEC);
  assert_int_equal (balancer_pick (balancer, 1, HS_SEC), 2);
  balancer_connection_refused (balancer, 2, HS_SEC);
  assert_int_equal (balancer_pick (balancer, 1, HS_SEC), 0);
  talloc_free (balancer);
}

static void
skipped_entry_is_used_again (void **state)
{
  Balancer *balancer = balancer_new (NULL, 2);

  (void) state;
  balancer_connection_refused (balancer, 0, 5 * HS_SEC);
  assert_int_equal (balancer_pick (balancer, 0, 6 * HS_SEC - 1), 1);
  assert_int_equal (balancer_pick (balancer, 0, 6 * HS_SEC), 0);
  talloc_free (balancer);
}

static void
preferred_entry_is_used_if_all_refuse (void **state)
{
  Balancer *balancer = balancer_new (NULL, 2);

  (void) state;
  balancer_connection_refused (balancer, 0, 0);
  assert_true (balancer_has_usable_entry (balancer, 0));
  balancer_connection_refused (balancer, 1, 0);
  assert_false (balancer_has_usable_entry (balancer, 0));
  assert_int_equal (balancer_pick (balancer, 3, 0), 1);
  assert_true (balancer_has_usable_entry (balancer, HS_SEC));
  talloc_free (balancer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (refusing_entry_is_skipped),
    cmocka_unit_test (skipped_entry_is_used_again),
    cmocka_unit_test (preferred_entry_is_used_if_all_refuse),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
