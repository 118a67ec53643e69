#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "config/json_check.h"

static void
expect_refused (const char *text, HsJsonDialect dialect, const char *message)
{
  g_autoptr (GError) error = NULL;
  HsJsonDoc *doc
      = hs_json_parse (NULL, text, strlen (text), dialect, NULL, &error);

  if (doc != NULL)
    fail_msg ("%s: was accepted", text);
  assert_true (g_error_matches (error, HS_ERROR, HS_ERROR_INVALID));
  if (strstr (error->message, message) == NULL)
    fail_msg ("%s: got: %s", text, error->message);
}

static void
expect_accepted (const char *text, HsJsonDialect dialect)
{
  g_autoptr (GError) error = NULL;
  HsJsonDoc *doc
      = hs_json_parse (NULL, text, strlen (text), dialect, NULL, &error);

  if (doc == NULL)
    fail_msg ("%s: %s", text, error->message);
  talloc_free (doc);
}

static void
well_formed_text_is_read (void **state)
{
  (void) state;
  expect_accepted ("{\"a\":1,\"b\":{\"a\":2},\"c\":[{\"a\":1},{\"a\":2}]}\n ",
                   HS_JSON_PLAIN);
  expect_accepted ("// one\n{\"a\": /* \"a\": */ 1} // last",
                   HS_JSON_WITH_COMMENTS);
  expect_accepted ("{\"a\":\"// \\\" /* not a comment\"}",
                   HS_JSON_WITH_COMMENTS);
  expect_accepted ("{\"a\":\"\\\"b\\\":1,{\",\"b\":2}", HS_JSON_PLAIN);
}

static void
lenient_json_c_input_is_rejected (void **state)
{
  (void) state;
  expect_refused ("{\"a\":1,\"a\":2}", HS_JSON_PLAIN, "a: the key is repeated");
  expect_refused ("{\"b\":[{\"x\":1,\"a\":1,\"x\":2}]}", HS_JSON_PLAIN,
                  "x: the key is repeated");
  expect_refused ("{\"a\":1,\"\\u0061\":2}", HS_JSON_PLAIN, "escape");
  expect_refused ("{\"a\":1} {}", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("{\"a\":1}x", HS_JSON_WITH_COMMENTS, "not well-formed");
  expect_refused ("{\"a\":1,}", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("{'a':1}", HS_JSON_WITH_COMMENTS, "single quote");
  expect_refused ("{\"a\":TRUE}", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("{\"a\":1/* no */}", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("{\"a\":1 /* open }", HS_JSON_WITH_COMMENTS, "not closed");
  expect_refused ("{\"a\":\"\xff\"}", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("{\"a\"", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("{\"a", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("", HS_JSON_PLAIN, "not well-formed");
  expect_refused ("null", HS_JSON_PLAIN, "no value");
  expect_refused ("[[[[[[[[[[[[[[[[[[[[", HS_JSON_PLAIN, "nested more");
}

static void
nul_bytes_are_rejected (void **state)
{
  g_autoptr (GError) error = NULL;

  (void) state;
  assert_null (hs_json_parse (NULL, "{}\0{}", 5, HS_JSON_PLAIN, NULL, &error));
  assert_non_null (strstr (error->message, "NUL"));
}

static void
lines_are_found_by_path (void **state)
{
  const char *text
      = "{ // first\n\"a\": {\n \"x\": 1},\n\"b\": {\n\n\"x\": 2}}";
  HsJsonDoc *doc;
  uint32_t line = 0;

  (void) state;
  doc = hs_json_parse (NULL, text, strlen (text), HS_JSON_WITH_COMMENTS, &line,
                       NULL);
  assert_non_null (doc);
  assert_int_equal (hs_json_line (doc, "a.x"), 3);
  assert_int_equal (hs_json_line (doc, "b.x"), 6);
  assert_int_equal (hs_json_line (doc, "b.absent"), 4);
  assert_int_equal (hs_json_line (doc, "absent"), 1);
  talloc_free (doc);
  text = "{\n\"a\": 1,\n\"b\" 2}";
  assert_null (
      hs_json_parse (NULL, text, strlen (text), HS_JSON_PLAIN, &line, NULL));
  assert_int_equal (line, 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (well_formed_text_is_read),
    cmocka_unit_test (lenient_json_c_input_is_rejected),
    cmocka_unit_test (nul_bytes_are_rejected),
    cmocka_unit_test (lines_are_found_by_path),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
