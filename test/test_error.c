#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/error.h"

static void
every_kind_has_a_name_and_an_http_status (void **state)
{
  int kind;

  (void) state;
  for (kind = HS_ERROR_INVALID; kind <= HS_ERROR_INTERNAL; kind++)
    {
      assert_non_null (hs_error_kind_name (kind));
      assert_in_range (hs_error_http_status (kind), 400, 599);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (every_kind_has_a_name_and_an_http_status),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
