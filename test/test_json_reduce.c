/* JSON texts whose trees would be large. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "platform/caller_job.h"
#include "platform/json.h"
#include "platform/json_reduce.h"

static const HsJsonField PARTS[] = { { .name = "n" }, { .name = NULL } };
static const HsJsonField FIELDS[]
    = { { .name = "a" },
        { .name = "list", .fields = PARTS, .n_elements = 2 },
        { .name = "part", .fields = PARTS },
        { .name = NULL } };

/* "invalid" if the text is. */
static char *
reduce (const char *text)
{
  GString *out = g_string_new (NULL);

  if (!hs_json_reduce (text, strlen (text), FIELDS, out))
    g_string_assign (out, "invalid");
  return g_string_free (out, FALSE);
}

static void
only_what_is_read_is_kept (void **state)
{
  static const char *const CASES[][2] = {
    { " {\"a\" : 1 , \"b\":2} ", "{\"a\":1}" },
    { "{\"b\":{\"a\":1},\"a\":\"x\\\"}\"}", "{\"a\":\"x\\\"}\"}" },
    { "{\"list\":[{\"n\":1,\"m\":[2]},{},{\"n\":3}],\"a\":null}",
      "{\"list\":[{\"n\":1},{}],\"a\":null}" },
    { "{\"a\":[1,2,3],\"part\":{\"n\":-1.5e+3,\"m\":0}}",
      "{\"a\":[1],\"part\":{\"n\":-1.5e+3}}" },
    { "{\"a\":{\"a\":1},\"b\":[]}", "{\"a\":{}}" },
    { "{\"\\u0061\":1}", "{}" },
    { "[[1,2],3]", "[[1]]" },
    { "{}", "{}" },
    { "7", "7" },
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      g_autofree char *out = reduce (CASES[i][0]);

      assert_string_equal (out, CASES[i][1]);
    }
}

/* Guards against malformed texts that pass because their faults are in members
   that are left out. */
static void
malformed_texts_are_invalid (void **state)
{
  static const char *const TEXTS[] = {
    "",
    "{",
    "{\"b\":}",
    "{\"b\":1,}",
    "{\"b\" 1}",
    "{b:1}",
    "{\"b\":[1,]}",
    "{\"b\":[1 2]}",
    "{\"b\":tru}",
    "{\"b\":-}",
    "{\"b\":1.}",
    "{\"b\":\"x}",
    "{\"b\":\"\\",
    "{} {}",
    "{\"b\":1e}",
    "{\"b\":\"\\q\"}",
    "{\"b\":\"\\u12\"}",
    "]",
    "{\"b\":[}",
    "{\"b\":@}",
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (TEXTS); i++)
    {
      g_autofree char *out = reduce (TEXTS[i]);

      if (strcmp (out, "invalid") != 0)
        fail_msg ("%s: %s", TEXTS[i], out);
    }
}

/* The same nesting is accepted with and without the reduction. */
static void
nesting_is_bounded_as_by_the_parser (void **state)
{
  unsigned int depth;

  (void) state;
  for (depth = 1; depth < HS_JSON_VALUE_DEPTH_MAX + 3; depth++)
    {
      g_autofree char *begin = g_strnfill (depth, '[');
      g_autofree char *end = g_strnfill (depth, ']');
      g_autofree char *empty = g_strconcat (begin, end, NULL);
      g_autofree char *full = g_strconcat (begin, "0", end, NULL);
      const char *texts[] = { empty, full };
      size_t i;

      for (i = 0; i < G_N_ELEMENTS (texts); i++)
        {
          struct json_object *value
              = hs_json_parse_value (texts[i], strlen (texts[i]));
          g_autofree char *out = reduce (texts[i]);

          assert_int_equal (value != NULL, strcmp (out, "invalid") != 0);
          json_object_put (value);
        }
    }
}

static void
long_strings_stay_too_long (void **state)
{
  g_autofree char *filler = g_strnfill (1000000, 'x');
  g_autofree char *text = g_strdup_printf ("{\"a\":\"%s\"}", filler);
  g_autofree char *out = reduce (text);

  (void) state;
  assert_in_range (strlen (out), 8000, 9000);
}

/* A job with a large member that isn't read. */
static GString *
large_job (const char *members)
{
  GString *text = g_string_new ("{\"more\":[{}");
  int i;

  for (i = 0; i < 80000; i++)
    g_string_append (text, ",{}");
  g_string_append_printf (text, "],%s}", members);
  return text;
}

/* Guards against members that are read, but missing in the table. */
static void
large_job_is_decoded_as_a_small_one (void **state)
{
  static const char *const MEMBERS[] = {
    "\"spec\":\"s\",\"best_effort\":true,\"steps\":[{\"count\":3,\"cpu\":100}]",
    "\"best_effort\":true,\"steps\":[{\"mem_mb\":7,\"gpu\":1}]",
    "\"best_effort\":true,\"steps\":[{\"estimate_ms\":50}]",
    "\"spec\":\"s\",\"steps\":[{},{}]",
    "\"spec\":\"s\",\"steps\":[]",
    "\"spec\":4,\"steps\":[{}]",
    "\"iterations\":2,\"steps\":[{}]",
    "\"steps\":[{\"long_running\":true}]",
    "\"steps\":[{\"start_at_ms\":5}]",
    "\"steps\":[{\"interval_ms\":5}]",
    "\"steps\":[{\"gang\":true}]",
    "\"steps\":[{\"requirements\":[[1,2],{\"x\":1}]}]",
    "\"steps\":[{\"affinity\":\"x\"}]",
    "\"steps\":[{\"anti_affinity\":\"x\"}]",
    "\"steps\":[{\"speculative\":true}]",
    "\"steps\":[{\"after\":[0]}]",
    "\"steps\":[{\"image\":\"x\"}]",
    "\"steps\":[{\"target_ms\":5}]",
    "\"steps\":[{\"fill_count\":5}]",
    "\"steps\":[{\"max_unavailable\":5}]",
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (MEMBERS); i++)
    {
      g_autofree char *small = g_strdup_printf ("{%s}", MEMBERS[i]);
      GString *large = large_job (MEMBERS[i]);
      struct json_object *roots[2] = {
        hs_json_parse_fields (small, strlen (small), HS_CALLER_JOB_FIELDS),
        hs_json_parse_fields (large->str, large->len, HS_CALLER_JOB_FIELDS)
      };
      HsCallerJob jobs[2];
      const char *problems[2];
      int j;

      for (j = 0; j < 2; j++)
        problems[j] = hs_caller_job_decode (roots[j], &jobs[j]);
      assert_ptr_equal (problems[0], problems[1]);
      assert_true (hs_json_get_member (roots[1], "more") == NULL);
      if (problems[0] == NULL)
        {
          assert_int_equal (jobs[0].best_effort, jobs[1].best_effort);
          assert_string_equal (jobs[0].spec, jobs[1].spec);
          assert_int_equal (jobs[0].n_tasks, jobs[1].n_tasks);
          assert_memory_equal (&jobs[0].needs, &jobs[1].needs,
                               sizeof jobs[0].needs);
          assert_int_equal (jobs[0].estimate, jobs[1].estimate);
          assert_ptr_equal (jobs[0].unsupported_feature,
                            jobs[1].unsupported_feature);
          assert_true (jobs[0].best_effort
                       || jobs[0].unsupported_feature != NULL);
        }
      json_object_put (roots[0]);
      json_object_put (roots[1]);
      g_string_free (large, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (only_what_is_read_is_kept),
    cmocka_unit_test (malformed_texts_are_invalid),
    cmocka_unit_test (nesting_is_bounded_as_by_the_parser),
    cmocka_unit_test (long_strings_stay_too_long),
    cmocka_unit_test (large_job_is_decoded_as_a_small_one),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
