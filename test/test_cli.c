#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>
#include <microhttpd.h>

#include "base/uuid7.h"
#include "cli/cli.h"

#define REQUESTS_MAX 8
#define NOTHING_LISTENS "http://127.0.0.1:1"
#define DROP_CONNECTION 0 /* As a status: closes the connection. */
#define JOB_DONE                                                               \
  "{\"customer\":\"c1\",\"id\":\"i\",\"state\":\"complete\",\"tasks\":["       \
  "{\"state\":\"done\",\"status\":200,\"result\":\"r\"}]}"
#define JOB_FAILED                                                             \
  "{\"customer\":\"c1\",\"id\":\"i\",\"state\":\"failed\",\"tasks\":["         \
  "{\"state\":\"not_run\",\"kind\":\"deadline\"}]}"
#define ERROR_OF(kind)                                                         \
  "{\"error\":{\"kind\":\"" kind "\",\"message\":\"m\",\"not_run\":true}}"
#define HASH_OF_KEY                                                            \
  "9f9f5111f7b27a781f1f1ddde5ebc2dd2b796bfc7365c9c28b548e564176929f"

/** A server that sends the scripted responses in order and records the
 *  requests. */
static struct
{
  pthread_mutex_t lock;
  struct MHD_Daemon *daemon;
  char url[64];
  struct
  {
    unsigned int status;
    const char *body;
  } answers[REQUESTS_MAX];
  size_t n_answers;
  GString *requests[REQUESTS_MAX]; /**< "METHOD URL?QUERY BODY" */
  size_t n_requests;
  char *dir;
  char *secret;
} server = { .lock = PTHREAD_MUTEX_INITIALIZER };

static enum MHD_Result
add_query (void *arg,
           enum MHD_ValueKind kind,
           const char *key,
           const char *value)
{
  (void) kind;
  g_string_append_printf (arg, "?%s=%s", key, value);
  return MHD_YES;
}

static enum MHD_Result
give_answer (struct MHD_Connection *connection,
             unsigned int status,
             const char *body)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (body), (void *) body, MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle (void *arg,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *data,
        size_t *size,
        void **state)
{
  GString *recorded_request = *state;
  unsigned int status;
  const char *body;

  (void) arg;
  (void) version;
  if (recorded_request == NULL)
    {
      recorded_request = g_string_new (NULL);
      g_string_printf (recorded_request, "%s %s", method, url);
      MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_query,
                                 recorded_request);
      g_string_append_c (recorded_request, ' ');
      *state = recorded_request;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (recorded_request, data, (gssize) *size);
      *size = 0;
      return MHD_YES;
    }
  pthread_mutex_lock (&server.lock);
  status = server.answers[server.n_requests].status;
  body = server.answers[server.n_requests].body;
  server.requests[server.n_requests++] = recorded_request;
  pthread_mutex_unlock (&server.lock);
  return status == DROP_CONNECTION ? MHD_NO
                                   : give_answer (connection, status, body);
}

static void
expect_answer (unsigned int status, const char *body)
{
  pthread_mutex_lock (&server.lock);
  assert_true (server.n_answers < REQUESTS_MAX);
  server.answers[server.n_answers].status = status;
  server.answers[server.n_answers++].body = body;
  pthread_mutex_unlock (&server.lock);
}

/* The request number @p i; it must have been received. */
static const char *
recorded_request (size_t i)
{
  const char *text;

  pthread_mutex_lock (&server.lock);
  assert_true (i < server.n_requests);
  text = server.requests[i]->str;
  pthread_mutex_unlock (&server.lock);
  return text;
}

static size_t
n_requests (void)
{
  size_t n;

  pthread_mutex_lock (&server.lock);
  n = server.n_requests;
  pthread_mutex_unlock (&server.lock);
  return n;
}

static char *
write_file (const char *name, const char *text)
{
  char *path = g_build_filename (server.dir, name, NULL);

  assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Runs a command with the words of @p line as arguments. SERVER and SECRET
   stand for the URL of the server and the file with the secret. */
static int
run (int (*command) (int, char **), const char *line)
{
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  g_autofree char **argv = NULL;
  int argc = (int) g_strv_length (words);
  int i;

  argv = g_new0 (char *, argc + 1);
  for (i = 0; i < argc; i++)
    {
      argv[i] = words[i];
      if (strcmp (words[i], "SERVER") == 0)
        argv[i] = server.url;
      if (strcmp (words[i], "SECRET") == 0)
        argv[i] = server.secret;
    }
  return command (argc, argv);
}

static int
run_with_file (int (*command) (int, char **),
               const char *line,
               const char *text)
{
  g_autofree char *path = write_file ("input", text);
  g_autofree char *whole = g_strdup_printf ("%s %s", line, path);
  int code = run (command, whole);

  g_unlink (path);
  return code;
}

static int
start_server (void **state)
{
  const union MHD_DaemonInfo *info;

  (void) state;
  server.daemon = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
                                    NULL, handle, NULL, MHD_OPTION_END);
  if (server.daemon == NULL)
    return -1;
  info = MHD_get_daemon_info (server.daemon, MHD_DAEMON_INFO_BIND_PORT);
  g_snprintf (server.url, sizeof server.url, "http://127.0.0.1:%u", info->port);
  server.dir = g_dir_make_tmp ("hs-cli-XXXXXX", NULL);
  server.secret = write_file ("secret", "key\n");
  return 0;
}

static int
stop_server (void **state)
{
  (void) state;
  MHD_stop_daemon (server.daemon);
  while (server.n_requests > 0)
    g_string_free (server.requests[--server.n_requests], TRUE);
  server.n_answers = 0;
  g_unlink (server.secret);
  g_rmdir (server.dir);
  g_free (server.secret);
  g_free (server.dir);
  return 0;
}

#define SUBMIT "submit -c c1 -k SECRET -b text "

static void
wrong_arguments_are_usage_errors (void **state)
{
  (void) state;
  assert_int_equal (run (hs_cli_submit_main, SUBMIT), HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER --fetch i"),
                    HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER -i a/b"),
                    HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER --timeout 0"),
                    HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e ftp://x"),
                    HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_submit_main, "submit -c c1 -k /none -b t -e x"),
                    HS_CLI_USAGE);
  assert_int_equal (run_with_file (hs_cli_submit_main,
                                   "submit -c c1 -k SECRET -e SERVER -t",
                                   "[{\"bdy\":\"x\"}]"),
                    HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_plan_main, "plan list"), HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_plan_main, "plan -a SERVER -t SECRET get"),
                    HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_status_main, "status -a SERVER"), HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_check_main, "check"), HS_CLI_USAGE);
  assert_int_equal (run (hs_cli_check_main, "check --wrong"), HS_CLI_USAGE);
  assert_int_equal (n_requests (), 0);
}

static void
outcome_of_a_job_is_the_exit_code (void **state)
{
  (void) state;
  expect_answer (200, JOB_DONE);
  expect_answer (200, JOB_FAILED);
  expect_answer (429, ERROR_OF ("limit"));
  expect_answer (409, ERROR_OF ("conflict"));
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER -i i"),
                    HS_CLI_OK);
  assert_string_equal (recorded_request (0),
                       "POST /v1/jobs {\"customer\":\"c1\",\"id\":\"i\","
                       "\"tasks\":[{\"body\":\"text\"}]}");
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER"),
                    HS_CLI_FAILED);
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER -e SERVER"),
                    HS_CLI_FAILED);
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER -e SERVER"),
                    HS_CLI_CONFLICT);
  assert_int_equal (n_requests (), 4);
}

static void
next_entry_is_tried_with_the_same_id (void **state)
{
  char id[HS_UUID_SIZE];
  int64_t wall_ms;

  (void) state;
  expect_answer (503, ERROR_OF ("unavailable"));
  expect_answer (DROP_CONNECTION, NULL);
  expect_answer (200, JOB_DONE);
  assert_int_equal (run (hs_cli_submit_main,
                         SUBMIT "-e " NOTHING_LISTENS
                                " -e SERVER -e SERVER -e SERVER"),
                    HS_CLI_OK);
  assert_string_equal (recorded_request (0), recorded_request (1));
  assert_string_equal (recorded_request (0), recorded_request (2));
  g_strlcpy (id, strstr (recorded_request (0), "\"id\":\"") + 6, sizeof id);
  assert_true (hs_uuid7_parse (id, &wall_ms));
}

static void
unknown_outcome_is_reported (void **state)
{
  (void) state;
  expect_answer (DROP_CONNECTION, NULL);
  expect_answer (200,
                 "{\"customer\":\"c1\",\"id\":\"i\",\"state\":\"running\"}");
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e SERVER"),
                    HS_CLI_UNKNOWN);
  assert_int_equal (
      run (hs_cli_submit_main, "submit -c c1 -k SECRET -e SERVER --fetch i"),
      HS_CLI_UNKNOWN);
  assert_string_equal (recorded_request (1), "GET /v1/jobs/c1/i?wait=1 ");
  assert_int_equal (run (hs_cli_submit_main, SUBMIT "-e " NOTHING_LISTENS),
                    HS_CLI_UNKNOWN);
}

static void
cancel_succeeds_when_it_is_answered (void **state)
{
  (void) state;
  expect_answer (200, JOB_FAILED);
  expect_answer (404, ERROR_OF ("not_found"));
  assert_int_equal (
      run (hs_cli_submit_main, "submit -c c1 -k SECRET -e SERVER --cancel i"),
      HS_CLI_OK);
  assert_string_equal (recorded_request (0), "DELETE /v1/jobs/c1/i ");
  assert_int_equal (
      run (hs_cli_submit_main, "submit -c c1 -k SECRET -e SERVER --cancel i"),
      HS_CLI_FAILED);
}

#define PLAN "plan -a SERVER -t SECRET "

static void
put_replaces_the_expected_revision (void **state)
{
  const char *record = "{\"plan\":\"gold\",\"key\":\"0123456789abcdef\"}";

  (void) state;
  expect_answer (200, "{\"plan\":\"gold\",\"revision\":7}");
  expect_answer (200, "{}");
  expect_answer (404, ERROR_OF ("not_found"));
  expect_answer (409, ERROR_OF ("conflict"));
  expect_answer (200, "{}");
  assert_int_equal (run_with_file (hs_cli_plan_main, PLAN "put c1", record),
                    HS_CLI_OK);
  assert_string_equal (recorded_request (1),
                       "PUT /v1/plans/c1?revision=7 {\"plan\":\"gold\","
                       "\"key_hash\":\"" HASH_OF_KEY "\"}");
  assert_int_equal (run_with_file (hs_cli_plan_main, PLAN "put c1", record),
                    HS_CLI_CONFLICT);
  assert_non_null (strstr (recorded_request (3), "?revision=0 "));
  assert_int_equal (run (hs_cli_plan_main, PLAN "-r 9 delete c1"), HS_CLI_OK);
  assert_string_equal (recorded_request (4), "DELETE /v1/plans/c1?revision=9 ");
  expect_answer (404, ERROR_OF ("not_found"));
  assert_int_equal (run (hs_cli_plan_main, PLAN "delete c1"), HS_CLI_FAILED);
  assert_int_equal (n_requests (), 6);
}

#define RECORD(revision)                                                       \
  "{\"plan\":\"gold\",\"key_hash\":\"" HASH_OF_KEY "\",\"revision\":" revision \
  "}"
#define PLANS                                                                  \
  "{\"revision\":9,\"records\":{\"c1\":" RECORD ("3") ",\"c2\":" RECORD (      \
      "4") ",\"c3\":" RECORD ("5") "}}"
#define WANTED "{\"c1\":{\"plan\":\"gold\"},\"c2\":{\"plan\":\"silver\"}}"

static void
apply_writes_only_what_differs (void **state)
{
  (void) state;
  expect_answer (200, PLANS);
  expect_answer (200, PLANS);
  expect_answer (200, "{}");
  expect_answer (200, "{}");
  assert_int_equal (
      run_with_file (hs_cli_plan_main, PLAN "-n --prune apply", WANTED),
      HS_CLI_OK);
  assert_int_equal (n_requests (), 1);
  assert_int_equal (
      run_with_file (hs_cli_plan_main, PLAN "--prune apply", WANTED),
      HS_CLI_OK);
  assert_string_equal (recorded_request (2),
                       "PUT /v1/plans/c2?revision=4 {\"plan\":\"silver\","
                       "\"key_hash\":\"" HASH_OF_KEY "\"}");
  assert_string_equal (recorded_request (3), "DELETE /v1/plans/c3?revision=5 ");
}

static void
apply_validates_all_records_before_writing (void **state)
{
  (void) state;
  expect_answer (200, PLANS);
  assert_int_equal (
      run_with_file (hs_cli_plan_main, PLAN "apply",
                     "{\"c1\":{\"plan\":\"silver\"},\"c2\":{\"pln\":\"x\"}}"),
      HS_CLI_USAGE);
  assert_int_equal (n_requests (), 1);
}

static void
status_fails_if_one_entry_does (void **state)
{
  (void) state;
  expect_answer (
      200, "{\"name\":\"e1\",\"lists_revision\":9,\"lists_age_ms\":null}");
  expect_answer (
      200, "{\"name\":\"e1\",\"lists_revision\":9,\"lists_age_ms\":null}");
  assert_int_equal (run (hs_cli_status_main, "status -a SERVER -t SECRET"),
                    HS_CLI_OK);
  assert_int_equal (run (hs_cli_status_main,
                         "status -a " NOTHING_LISTENS " -a SERVER -t SECRET"),
                    HS_CLI_UNKNOWN);
  assert_int_equal (n_requests (), 2);
}

static void
check_accepts_only_valid_settings (void **state)
{
  const char *agent
      = "{\"role\":\"agent\",\"data_centre\":\"d1\",\"cluster_key\":"
        "\"0123456789abcdef\",\"agent\":{\"name\":\"a\",\"target_listen\":"
        "\"127.0.0.1:1\",\"rpc_listen\":\"127.0.0.1:2\",\"rack\":\"r\","
        "\"entries\":[\"127.0.0.1:3\"]}}";

  (void) state;
  assert_int_equal (run_with_file (hs_cli_check_main, "check", agent),
                    HS_CLI_OK);
  assert_int_equal (run_with_file (hs_cli_check_main, "check", "{\"role\":1}"),
                    HS_CLI_USAGE);
}

#define with_server(test)                                                      \
  cmocka_unit_test_setup_teardown (test, start_server, stop_server)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    with_server (wrong_arguments_are_usage_errors),
    with_server (outcome_of_a_job_is_the_exit_code),
    with_server (next_entry_is_tried_with_the_same_id),
    with_server (unknown_outcome_is_reported),
    with_server (cancel_succeeds_when_it_is_answered),
    with_server (put_replaces_the_expected_revision),
    with_server (apply_writes_only_what_differs),
    with_server (apply_validates_all_records_before_writing),
    with_server (status_fails_if_one_entry_does),
    with_server (check_accepts_only_valid_settings),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
