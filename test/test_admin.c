/**
 * @file
 * Tests of the operators' HTTP server with the lists, the store client and the
 * stand-in store, all on one event loop. Requests run in their own threads.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "base/queue.h"
#include "entry/admin.h"
#include "http_caller.h"
#include "standin/store_server.h"

#define TOKEN "token-of-operators"
#define STORE_TIMEOUT (2 * HS_SEC)

typedef struct
{
  struct tevent_context *ev;
  HsStoreServer *server;
  HsStore *store;
  HsPublishedLists *box;
  HsListsSync *sync;
  HsAdmin *admin;
  HsQueue *wakeups;
  atomic_bool ended;
} Fixture;

static char *
status_page (void *arg, TALLOC_CTX *ctx, HsNow now)
{
  (void) arg;
  (void) now;
  return talloc_strdup (ctx, "{\"name\":\"e1\"}");
}

static char *
metrics_page (void *arg, TALLOC_CTX *ctx, HsNow now)
{
  (void) arg;
  (void) now;
  return talloc_strdup (ctx, "hs_up 1\n");
}

static void
ignore_wakeup (void *arg, struct cds_wfcq_node *node)
{
  (void) arg;
  (void) node;
}

static int
set_up (void **state)
{
  Fixture *f = g_new0 (Fixture, 1);
  const HsAdminPages pages = { status_page, metrics_page, f };
  const char *endpoints[2] = { NULL, NULL };
  g_autoptr (GError) error = NULL;

  f->ev = tevent_context_init (NULL);
  f->server = hs_store_server_new (f->ev, f->ev, "127.0.0.1", 0);
  endpoints[0] = talloc_asprintf (f->ev, "http://127.0.0.1:%u",
                                  hs_store_server_port (f->server));
  f->store = hs_store_new (f->ev, f->ev, endpoints, STORE_TIMEOUT);
  f->box = hs_published_lists_new (f->ev);
  f->sync = hs_lists_sync_new (f->ev, f->ev, f->store, f->box, NULL, NULL);
  f->wakeups = hs_queue_new (f->ev, f->ev, ignore_wakeup, NULL, &error);
  f->admin = hs_admin_new (f->ev, f->ev, "127.0.0.1:0", TOKEN, f->box, f->sync,
                           &pages, &error);
  assert_non_null (f->admin);
  while (!hs_lists_sync_loaded (f->sync))
    tevent_loop_once (f->ev);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *f = *state;

  talloc_free (f->admin);
  talloc_free (f->sync);
  talloc_free (f->store);
  talloc_free (f->ev);
  g_free (f);
  return 0;
}

static void
on_caller_done (void *arg)
{
  Fixture *f = arg;

  atomic_store (&f->ended, true);
  hs_queue_wake (f->wakeups);
}

/** Sends a request and runs the loop until it has its response. */
static Caller *
call (Fixture *f, const char *method, const char *path, const char *body)
{
  Caller *caller
      = caller_new (hs_admin_port (f->admin), method, path, body, TOKEN);

  caller->on_done = on_caller_done;
  caller->arg = f;
  atomic_store (&f->ended, false);
  caller_start (caller);
  while (!atomic_load (&f->ended))
    tevent_loop_once (f->ev);
  caller_join (caller);
  return caller;
}

static void
check_response (Caller *caller, long status, const char *text)
{
  if (caller->status != status || strstr (caller->text->str, text) == NULL)
    fail_msg ("%s %s: expected %ld %s, got %ld %s", caller->method, caller->url,
              status, text, caller->status, caller->text->str);
  caller_free (caller);
}

static void
expect_response (Fixture *f,
                 const char *method,
                 const char *path,
                 const char *body,
                 long status,
                 const char *text)
{
  check_response (call (f, method, path, body), status, text);
}

static int64_t
revision_of (Fixture *f, const char *customer)
{
  return hs_lists_plan (hs_published_lists_get (f->box), customer)->revision;
}

#define GOLD "{\"plan\":\"gold\",\"key\":\"key-of-customer-one\"}"
#define IRON "{\"plan\":\"iron\"}"
#define LIMITS "{\"in_flight\":8,\"starts_per_s\":50,\"queued\":100}"

static void
records_are_created_edited_and_deleted (void **state)
{
  Fixture *f = *state;
  g_autofree char *path = NULL;
  const HsPlan *plan;

  expect_response (f, "GET", "/v1/plans/c1", NULL, 404, "create it by PUT");
  expect_response (f, "PUT", "/v1/plans/c1?revision=0", GOLD, 200,
                   "\"applied\":true");
  expect_response (f, "PUT", "/v1/plans/c1?revision=0", IRON, 409,
                   "\"present\":{\"plan\":\"gold\"");
  path = g_strdup_printf ("/v1/plans/c1?revision=%d",
                          (int) revision_of (f, "c1"));
  expect_response (f, "PUT", path, IRON, 200, "\"applied\":true");
  plan = hs_lists_plan (hs_published_lists_get (f->box), "c1");
  assert_string_equal (plan->plan, "iron");
  assert_true (hs_plan_key_matches (plan, "key-of-customer-one"));
  expect_response (f, "DELETE", path, NULL, 409, "\"kind\":\"conflict\"");
  g_free (path);
  path = g_strdup_printf ("/v1/plans/c1?revision=%d",
                          (int) revision_of (f, "c1"));
  expect_response (f, "DELETE", path, NULL, 200, "\"applied\":true");
  expect_response (f, "GET", "/v1/plans", NULL, 200, "\"records\":{}}");
}

/** Writes a record into the store without notifying the watches. */
static void
put_without_notification (Fixture *f, const char *key, const char *value)
{
  HsKvOpResult result = { 0 };
  HsKvOp op = { .kind = HS_KV_PUT,
                .range = { key, NULL },
                .value = value,
                .value_len = strlen (value) };

  assert_int_equal (
      hs_kv_apply (hs_store_server_kv (f->server), &op, 1, &result), HS_KV_OK);
}

static void
a_concurrent_edit_is_a_conflict (void **state)
{
  Fixture *f = *state;
  g_autofree char *path = NULL;

  expect_response (f, "PUT", "/v1/plans/c1?revision=0", GOLD, 200,
                   "\"applied\":true");
  path = g_strdup_printf ("/v1/plans/c1?revision=%d",
                          (int) revision_of (f, "c1"));
  put_without_notification (f, "hs/plan/c1", IRON);
  expect_response (f, "PUT", path, GOLD, 409,
                   "\"present\":{\"plan\":\"iron\",\"rev");
}

static void
an_edit_with_a_lost_response_is_retried (void **state)
{
  Fixture *f = *state;

  hs_store_server_faults (f->server)->lose_answers = 1;
  expect_response (f, "PUT", "/v1/allowances/gold?revision=0", LIMITS, 200,
                   "\"applied\":true");
  expect_response (f, "GET", "/v1/allowances/gold", NULL, 200,
                   "\"in_flight\":8");
}

static void
lists_stay_readable_while_the_store_is_down (void **state)
{
  Fixture *f = *state;

  expect_response (f, "PUT", "/v1/plans/c1?revision=0", GOLD, 200,
                   "\"applied\":true");
  hs_store_server_faults (f->server)->down = true;
  expect_response (f, "PUT", "/v1/plans/c2?revision=0", GOLD, 504,
                   "\"kind\":\"unknown\"");
  expect_response (f, "GET", "/v1/plans/c1", NULL, 200, "\"plan\":\"gold\"");
}

static void
a_whole_list_is_applied (void **state)
{
  Fixture *f = *state;

  expect_response (f, "PUT", "/v1/plans/c1?revision=0", GOLD, 200,
                   "\"applied\":true");
  expect_response (f, "PUT", "/v1/plans/c2?revision=0", GOLD, 200,
                   "\"applied\":true");
  expect_response (f, "PUT", "/v1/plans/c3?revision=0", IRON, 200,
                   "\"applied\":true");
  expect_response (f, "POST", "/v1/plans:apply",
                   "{\"dry_run\":true,\"records\":{\"c1\":" IRON ",\"c4\":" GOLD
                   ",\"c3\":" IRON "}}",
                   200,
                   "\"dry_run\":true,\"added\":[\"c4\"],\"changed\":[\"c1\"],"
                   "\"removed\":[\"c2\"]}");
  assert_null (hs_lists_plan (hs_published_lists_get (f->box), "c4"));
  expect_response (
      f, "POST", "/v1/plans:apply",
      "{\"records\":{\"c1\":" IRON ",\"c4\":" GOLD ",\"c3\":" IRON "}}", 200,
      "\"outcomes\":{\"c1\":\"applied\",\"c2\":\"applied\","
      "\"c4\":\"applied\"}}");
  assert_null (hs_lists_plan (hs_published_lists_get (f->box), "c2"));
  assert_true (hs_plan_key_matches (
      hs_lists_plan (hs_published_lists_get (f->box), "c1"),
      "key-of-customer-one"));
  expect_response (f, "POST", "/v1/plans:apply",
                   "{\"records\":{\"c1\":{\"plan\":7}}}", 400,
                   "records.c1.plan: must be a string");
  expect_response (f, "POST", "/v1/plans:apply", "{\"records\":{\"c1\":null}}",
                   400, "records.c1.");
}

/** The list has more records than edits run at the same time. */
static void
a_list_larger_than_the_edit_limit_is_applied (void **state)
{
  enum
  {
    N = 50
  };
  Fixture *f = *state;
  GString *body = g_string_new ("{\"records\":{");
  size_t n;
  int i;

  for (i = 0; i < N; i++)
    g_string_append_printf (body, "%s\"p%d\":" LIMITS, i > 0 ? "," : "", i);
  g_string_append (body, "}}");
  expect_response (f, "POST", "/v1/allowances:apply", body->str, 200,
                   "\"p49\":\"applied\"");
  hs_lists_allowances (hs_published_lists_get (f->box), &n);
  assert_int_equal (n, N);
  g_string_free (body, TRUE);
}

static void
bad_requests_are_refused (void **state)
{
  Fixture *f = *state;
  Caller *caller;

  expect_response (f, "PUT", "/v1/plans/c1", GOLD, 400, "revision: give");
  expect_response (f, "DELETE", "/v1/plans/c1?revision=0", NULL, 400,
                   "revision: give");
  expect_response (f, "PUT", "/v1/plans/c1?revision=0", "{\"plam\":\"gold\"}",
                   400, "plam: unknown key");
  expect_response (f, "PUT", "/v1/plans/c1?revision=999", GOLD, 503,
                   "has not read that revision");
  expect_response (f, "PUT", "/v1/plans/.c1?revision=0", GOLD, 404,
                   "no such path");
  expect_response (f, "POST", "/v1/plans", GOLD, 405, "use GET");
  expect_response (f, "POST", "/v1/plans/c1", GOLD, 405,
                   "use GET, PUT, DELETE");
  expect_response (f, "GET", "/v1/plansx", NULL, 404, "no such path");
  caller = call (f, "GET", "/v1/status", NULL);
  check_response (caller, 200, "{\"name\":\"e1\"}");
  expect_response (f, "GET", "/metrics", NULL, 200, "hs_up 1\n");
}

static void
a_wrong_token_is_refused (void **state)
{
  Fixture *f = *state;
  Caller *caller = caller_new (hs_admin_port (f->admin), "GET", "/metrics",
                               NULL, "token-of-operatorz");

  caller->on_done = on_caller_done;
  caller->arg = f;
  atomic_store (&f->ended, false);
  caller_start (caller);
  while (!atomic_load (&f->ended))
    tevent_loop_once (f->ev);
  caller_join (caller);
  check_response (caller, 401, "send Authorization: Bearer TOKEN");
}

static void
edits_in_progress_complete_after_a_stop (void **state)
{
  Fixture *f = *state;
  Caller *caller = caller_new (hs_admin_port (f->admin), "PUT",
                               "/v1/plans/c1?revision=0", GOLD, TOKEN);

  caller_start (caller);
  while (hs_store_server_calls (f->server, HS_GATEWAY_TXN) == 0)
    tevent_loop_once (f->ev);
  TALLOC_FREE (f->admin);
  while (hs_lists_plan (hs_published_lists_get (f->box), "c1") == NULL)
    tevent_loop_once (f->ev);
  caller_join (caller);
  assert_int_equal (caller->status, 0);
  caller_free (caller);
}

#define ADMIN_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    ADMIN_TEST (records_are_created_edited_and_deleted),
    ADMIN_TEST (a_concurrent_edit_is_a_conflict),
    ADMIN_TEST (an_edit_with_a_lost_response_is_retried),
    ADMIN_TEST (lists_stay_readable_while_the_store_is_down),
    ADMIN_TEST (a_whole_list_is_applied),
    ADMIN_TEST (a_list_larger_than_the_edit_limit_is_applied),
    ADMIN_TEST (bad_requests_are_refused),
    ADMIN_TEST (a_wrong_token_is_refused),
    ADMIN_TEST (edits_in_progress_complete_after_a_stop),
  };

  rcu_register_thread ();
  curl_global_init (CURL_GLOBAL_ALL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
