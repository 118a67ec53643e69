#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/uuid7.h"

/* The example in appendix A.6 of RFC 9562. */
#define RFC_MS 0x017f22e279b0
#define RFC_TEXT "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"

static void
the_example_of_the_rfc_is_formatted (void **state)
{
  const uint8_t random[HS_UUID7_RANDOM_SIZE]
      = { 0x0c, 0xc3, 0x18, 0xc4, 0xdc, 0x0c, 0x0c, 0x07, 0x39, 0x8f };
  char text[HS_UUID_SIZE];

  (void) state;
  hs_uuid7_format (RFC_MS, random, text);
  assert_string_equal (text, RFC_TEXT);
}

static void
formatted_timestamps_are_parsed_back (void **state)
{
  const uint8_t random[HS_UUID7_RANDOM_SIZE]
      = { 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff };
  const int64_t times[] = { 0, RFC_MS, 0xffffffffffff };
  char text[HS_UUID_SIZE];
  int64_t ms;
  size_t i;

  (void) state;
  for (i = 0; i < sizeof times / sizeof times[0]; i++)
    {
      hs_uuid7_format (times[i], random, text);
      assert_true (hs_uuid7_parse (text, &ms));
      assert_int_equal (ms, times[i]);
    }
}

static void
other_texts_are_rejected (void **state)
{
  static const char *const OTHERS[] = {
    "",
    "order-17",
    "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
    "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
    "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
    "017f22e2079b0-7cc3-98c4-dc0c0c07398f",
    "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
  };
  int64_t ms = -1;
  size_t i;

  (void) state;
  for (i = 0; i < sizeof OTHERS / sizeof OTHERS[0]; i++)
    assert_false (hs_uuid7_parse (OTHERS[i], &ms));
  assert_int_equal (ms, -1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_example_of_the_rfc_is_formatted),
    cmocka_unit_test (formatted_timestamps_are_parsed_back),
    cmocka_unit_test (other_texts_are_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
