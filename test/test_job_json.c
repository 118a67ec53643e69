#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "entry/job_json.h"

#define JOB(task) "{\"customer\":\"c1\",\"id\":\"i1\",\"tasks\":[" task "]}"

static hsx_forward_args *
expect_job (const char *text)
{
  g_autoptr (GError) error = NULL;
  hsx_forward_args *args = hs_job_parse (NULL, text, strlen (text), &error);

  if (args == NULL)
    fail_msg ("%s: %s", text, error->message);
  return args;
}

static void
expect_refused (const char *text, HsErrorKind kind, const char *message)
{
  g_autoptr (GError) error = NULL;

  assert_null (hs_job_parse (NULL, text, strlen (text), &error));
  if (strstr (error->message, message) == NULL)
    fail_msg ("expected: %s\ngot: %s", message, error->message);
  assert_int_equal (error->code, kind);
}

static void
all_members_are_parsed (void **state)
{
  hsx_forward_args *args = expect_job (
      JOB ("{\"body\":\"x\\u0000y\",\"idempotent\":true,\"run_ms\":200,"
           "\"deadline_ms\":5000,\"needs\":{\"memory_mb\":64,"
           "\"accelerators\":1}},{\"body\":\"\"}"));
  const hsx_task *task = args->tasks.tasks_val;

  (void) state;
  assert_int_equal (args->verb, HSX_SUBMIT);
  assert_string_equal (args->customer, "c1");
  assert_string_equal (args->id, "i1");
  assert_int_equal (args->tasks.tasks_len, 2);
  assert_int_equal (task->body.body_len, 3);
  assert_memory_equal (task->body.body_val, "x\0y", 3);
  assert_true (task->idempotent);
  assert_int_equal (task->run_ms, 200);
  assert_int_equal (task->deadline_ms, 5000);
  assert_int_equal (task->needs.memory_mb, 64);
  assert_int_equal (task->needs.accelerators, 1);
  assert_false (task[1].idempotent);
  assert_int_equal (task[1].body.body_len, 0);
  talloc_free (args);
}

static void
malformed_jobs_are_refused (void **state)
{
  g_autofree char *big = g_strnfill (HSX_BODY_MAX + 1, 'x');
  g_autofree char *big_job = g_strdup_printf (JOB ("{\"body\":\"%s\"}"), big);
  g_autofree char *id = g_strnfill (HSX_ID_MAX + 1, 'x');
  g_autofree char *id_job
      = g_strdup_printf ("{\"customer\":\"c\",\"id\":\"%s\",\"tasks\":[]}", id);
  GString *many
      = g_string_new ("{\"customer\":\"c1\",\"id\":\"i\",\"tasks\":[");
  int i;

  (void) state;
  expect_refused ("", HS_ERROR_INVALID, "not well-formed");
  expect_refused ("[]", HS_ERROR_INVALID, "must be an object");
  expect_refused (JOB (""), HS_ERROR_INVALID, "tasks: has 0 elements");
  expect_refused (JOB ("{}"), HS_ERROR_INVALID, "tasks[0].body: the key is");
  expect_refused (JOB ("{\"body\":\"\",\"boddy\":1}"), HS_ERROR_INVALID,
                  "tasks[0].boddy: unknown key");
  expect_refused (JOB ("{\"body\":\"\",\"body\":\"\"}"), HS_ERROR_INVALID,
                  "body: the key is repeated");
  expect_refused (JOB ("{\"body\":\"\",\"needs\":{\"memory\":1}}"),
                  HS_ERROR_INVALID, "tasks[0].needs.memory: unknown key");
  expect_refused (JOB ("{\"body\":\"\",\"run_ms\":-1}"), HS_ERROR_INVALID,
                  "tasks[0].run_ms: -1 is out of range");
  expect_refused (JOB ("{\"body\":\"\"},7"), HS_ERROR_INVALID,
                  "tasks[1]: must be an object");
  expect_refused ("{\"customer\":\"c1\",\"id\":\"a/b\",\"tasks\":[]}",
                  HS_ERROR_INVALID, "id: \"a/b\" can't be used");
  expect_refused ("{\"customer\":\"../c\",\"id\":\"a\",\"tasks\":[]}",
                  HS_ERROR_INVALID, "customer: ");
  expect_refused (big_job, HS_ERROR_TOO_LARGE, "keep to 262144");
  expect_refused (id_job, HS_ERROR_TOO_LARGE, "keep to 128");
  for (i = 0; i <= HSX_TASKS_MAX; i++)
    g_string_append (many, i == 0 ? "{\"body\":\"\"}" : ",{\"body\":\"\"}");
  g_string_append (many, "]}");
  expect_refused (many->str, HS_ERROR_TOO_LARGE, "give at most 390");
  g_string_free (many, TRUE);
}

static void
the_digest_covers_all_fields_of_the_tasks (void **state)
{
  static const char *const JOBS[] = {
    JOB ("{\"body\":\"a\"},{\"body\":\"b\"}"),
    JOB ("{\"body\":\"b\"},{\"body\":\"a\"}"),
    JOB ("{\"body\":\"ab\"}"),
    JOB ("{\"body\":\"ab\"},{\"body\":\"\"}"),
    JOB ("{\"body\":\"ab\",\"idempotent\":true}"),
    JOB ("{\"body\":\"ab\",\"run_ms\":1}"),
    JOB ("{\"body\":\"ab\",\"deadline_ms\":1}"),
    JOB ("{\"body\":\"ab\",\"needs\":{\"memory_mb\":1}}"),
    JOB ("{\"body\":\"ab\",\"needs\":{\"accelerators\":1}}"),
  };
  hsx_forward_args *args[G_N_ELEMENTS (JOBS)];
  hsx_forward_args *same;
  size_t i;
  size_t j;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (JOBS); i++)
    args[i] = expect_job (JOBS[i]);
  for (i = 0; i < G_N_ELEMENTS (JOBS); i++)
    for (j = 0; j < i; j++)
      assert_memory_not_equal (args[i]->digest, args[j]->digest,
                               HSX_DIGEST_SIZE);
  same = expect_job ("{ \"tasks\":[{\"run_ms\":0,\"body\":\"\\u0061b\"}],"
                     "\"id\":\"i1\",\"customer\":\"c1\"}");
  assert_memory_equal (same->digest, args[2]->digest, HSX_DIGEST_SIZE);
  talloc_free (same);
  for (i = 0; i < G_N_ELEMENTS (JOBS); i++)
    talloc_free (args[i]);
}

static void
answers_are_rendered_completely (void **state)
{
  hsx_forward_args *args = expect_job (JOB ("{\"body\":\"\"}"));
  hsx_task_answer tasks[] = {
    { .state = HSX_TASK_DONE, .http_status = 200, .body = { 4, "a\"/b" } },
    { .state = HSX_TASK_FAILED, .http_status = 500, .body = { 2, "\xff\xfe" } },
    { .state = HSX_TASK_NOT_RUN, .kind = HS_ERROR_DEADLINE },
    { .state = HSX_TASK_MAY_HAVE_RUN, .kind = 4711 },
  };
  hsx_answer answer = { .state = HSX_JOB_FAILED, .tasks = { 4, tasks } };
  size_t len;
  char *text = hs_job_answer_to_json (args, args, &answer, &len);

  (void) state;
  assert_string_equal (
      text, "{\"customer\":\"c1\",\"id\":\"i1\",\"state\":\"failed\","
            "\"tasks\":[{\"state\":\"done\",\"status\":200,"
            "\"result\":\"a\\\"/b\"},{\"state\":\"failed\",\"status\":500,"
            "\"result_base64\":\"//4=\"},{\"state\":\"not_run\","
            "\"kind\":\"deadline\"},{\"state\":\"may_have_run\","
            "\"kind\":\"internal\"}]}");
  assert_int_equal (len, strlen (text));
  assert_int_equal (hs_job_answer_http_status (&answer), 200);

  answer = (hsx_answer){ .state = HSX_JOB_RUNNING };
  text = hs_job_answer_to_json (args, args, &answer, &len);
  assert_string_equal (
      text, "{\"customer\":\"c1\",\"id\":\"i1\",\"state\":\"running\"}");
  assert_int_equal (hs_job_answer_http_status (&answer), 202);

  answer = (hsx_answer){ .state = HSX_JOB_REFUSED,
                         .kind = HS_ERROR_LIMIT,
                         .not_run = TRUE,
                         .reason = "full; retry" };
  text = hs_job_answer_to_json (args, args, &answer, &len);
  assert_string_equal (text, "{\"error\":{\"kind\":\"limit\","
                             "\"message\":\"full; retry\",\"not_run\":true}}");
  assert_int_equal (hs_job_answer_http_status (&answer), 429);
  talloc_free (args);
}

/* A job with as many tasks, whose bodies look like JSON. */
static GString *
large_job (unsigned int n_tasks)
{
  GString *text
      = g_string_new ("{\"customer\":\"c1\",\"id\":\"i1\",\"tasks\":[");
  g_autofree char *body = g_strnfill (10000, '{');
  unsigned int i;

  for (i = 0; i < n_tasks; i++)
    g_string_append_printf (
        text,
        "%s{\"body\":\"%s\\\"\",\"idempotent\":true,\"run_ms\":200,"
        "\"deadline_ms\":5000,\"needs\":{\"memory_mb\":64,"
        "\"accelerators\":1}}",
        i > 0 ? "," : "", body);
  g_string_append (text, "]}");
  return text;
}

static void
only_jobs_of_too_many_values_are_refused (void **state)
{
  GString *text = large_job (HSX_TASKS_MAX);

  (void) state;
  talloc_free (expect_job (text->str));
  g_string_free (text, TRUE);
  text = large_job (3 * HSX_TASKS_MAX);
  expect_refused (text->str, HS_ERROR_TOO_LARGE, "more values than a job of");
  g_string_free (text, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (all_members_are_parsed),
    cmocka_unit_test (malformed_jobs_are_refused),
    cmocka_unit_test (only_jobs_of_too_many_values_are_refused),
    cmocka_unit_test (the_digest_covers_all_fields_of_the_tasks),
    cmocka_unit_test (answers_are_rendered_completely),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
