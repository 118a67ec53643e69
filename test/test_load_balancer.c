#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "load/balancer.h"

static void
an_entry_that_refused_is_passed_over (void **state)
{
  Balancer *balancer = balancer_new (NULL, 3);

  (void) state;
  assert_int_equal (balancer_pick (balancer, 4, HS_SEC), 1);
  balancer_refused (balancer, 1, HS_SEC);
  assert_int_equal (balancer_pick (balancer, 1, HS_SEC), 2);
  balancer_refused (balancer, 2, HS_SEC);
  assert_int_equal (balancer_pick (balancer, 1, HS_SEC), 0);
  talloc_free (balancer);
}

static void
an_entry_comes_back (void **state)
{
  Balancer *balancer = balancer_new (NULL, 2);

  (void) state;
  balancer_refused (balancer, 0, 5 * HS_SEC);
  assert_int_equal (balancer_pick (balancer, 0, 6 * HS_SEC - 1), 1);
  assert_int_equal (balancer_pick (balancer, 0, 6 * HS_SEC), 0);
  talloc_free (balancer);
}

static void
without_an_entry_the_wanted_one_is_tried (void **state)
{
  Balancer *balancer = balancer_new (NULL, 2);

  (void) state;
  balancer_refused (balancer, 0, 0);
  assert_true (balancer_has_entry (balancer, 0));
  balancer_refused (balancer, 1, 0);
  assert_false (balancer_has_entry (balancer, 0));
  assert_int_equal (balancer_pick (balancer, 3, 0), 1);
  assert_true (balancer_has_entry (balancer, HS_SEC));
  talloc_free (balancer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_entry_that_refused_is_passed_over),
    cmocka_unit_test (an_entry_comes_back),
    cmocka_unit_test (without_an_entry_the_wanted_one_is_tried),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
