/* The messages of a target, and the local HTTP interface that accepts them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "agent/target_api.h"
#include "base/error.h"
#include "http/curl_loop.h"

#define KEY "a key of the test's cluster"
#define VALID_ANNOUNCEMENT                                                     \
  "{\"address\":\"127.0.0.1:9000\",\"slots\":8,\"memory_mb\":4096,"            \
  "\"accelerators\":1,\"ttl_ms\":3000}"

static bool
announce (void *arg, const HsTargetAnnouncement *given, GError **error);
static bool leave (void *arg);
static char *metrics (void *arg, TALLOC_CTX *ctx);
static CURL *request (const char *method,
                      const char *path,
                      const char *body,
                      bool is_signed);
static long
status_of (const char *method, const char *path, const char *body, bool sign);
static void done (void *arg, CURL *easy, CURLcode result, bool sent);
static size_t store_answer (char *data, size_t size, size_t n, void *arg);

static struct tevent_context *ev;
static HsTargetApi *api;
static HsCurl *curl;
static HsTargetAnnouncement announced;
static bool busy;
static uint32_t announcements;
static uint32_t leaves;
static long status;
static char answer[1024];
static GPtrArray *header_lists; /* In use until the transfers have ended. */

static int
setup (void **state)
{
  HsTargetApiHandler handler = { announce, leave, metrics };

  (void) state;
  announcements = 0;
  leaves = 0;
  busy = false;
  header_lists
      = g_ptr_array_new_with_free_func ((GDestroyNotify) curl_slist_free_all);
  ev = tevent_context_init (NULL);
  api = hs_target_api_new (ev, ev, "127.0.0.1:0", KEY, &handler, NULL, NULL);
  curl = hs_curl_new (ev, ev);
  assert_non_null (api);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  TALLOC_FREE (curl);
  TALLOC_FREE (api);
  TALLOC_FREE (ev);
  g_ptr_array_unref (header_lists);
  return 0;
}

static void
an_announcement_is_parsed_completely (void **state)
{
  (void) state;
  assert_int_equal (
      status_of ("POST", HS_TARGET_PATH, VALID_ANNOUNCEMENT, true), 200);
  assert_int_equal (announcements, 1);
  assert_string_equal (announced.address, "127.0.0.1:9000");
  assert_int_equal (announced.slots, 8);
  assert_int_equal (announced.capacity.memory_mb, 4096);
  assert_int_equal (announced.capacity.accelerators, 1);
  assert_int_equal (announced.ttl, 3 * HS_SEC);
}

static void
an_invalid_announcement_is_rejected (void **state)
{
  static const char *const invalid[] = {
    "",
    "[]",
    "{\"address\":\"127.0.0.1:9000\",\"slots\":8}",
    "{\"address\":\"127.0.0.1:9000\",\"slots\":0,\"ttl_ms\":3000}",
    "{\"address\":\"127.0.0.1:9000\",\"slots\":5000,\"ttl_ms\":3000}",
    "{\"address\":\"127.0.0.1:9000\",\"slots\":\"8\",\"ttl_ms\":3000}",
    "{\"address\":\"host:9000\",\"slots\":8,\"ttl_ms\":3000}",
    "{\"address\":\"127.0.0.1:0\",\"slots\":8,\"ttl_ms\":3000}",
    "{\"address\":\"127.0.0.1:9000\",\"slots\":8,\"slots\":9,\"ttl_ms\":3000}",
    "{\"address\":\"127.0.0.1:9000\",\"slots\":8,\"ttl_ms\":3000,\"x\":1}",
    "{\"address\":\"127.0.0.1:9000\",\"slots\":8,\"ttl_ms\":3000} {}",
  };
  size_t i;

  (void) state;
  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      assert_int_equal (status_of ("POST", HS_TARGET_PATH, invalid[i], true),
                        400);
      assert_non_null (strstr (answer, "\"kind\":\"invalid\""));
    }
  assert_int_equal (announcements, 0);
}

static void
a_wrong_signature_size_or_path_is_rejected (void **state)
{
  char large[HS_TARGET_BODY_MAX + 2];

  (void) state;
  memset (large, ' ', sizeof large - 1);
  large[sizeof large - 1] = '\0';
  assert_int_equal (
      status_of ("POST", HS_TARGET_PATH, VALID_ANNOUNCEMENT, false), 401);
  assert_int_equal (status_of ("DELETE", HS_TARGET_PATH, "", false), 401);
  assert_int_equal (status_of ("POST", HS_TARGET_PATH, large, true), 413);
  assert_int_equal (status_of ("POST", "/v1/other", VALID_ANNOUNCEMENT, true),
                    404);
  assert_int_equal (status_of ("PUT", HS_TARGET_PATH, VALID_ANNOUNCEMENT, true),
                    404);
  assert_int_equal (announcements, 0);
  assert_int_equal (leaves, 0);
}

static void
a_leave_is_answered_when_no_task_runs (void **state)
{
  (void) state;
  assert_int_equal (status_of ("DELETE", HS_TARGET_PATH, "", true), 200);
  busy = true;
  status = 0;
  hs_curl_add (curl, request ("DELETE", HS_TARGET_PATH, "", true), done, NULL);
  while (leaves < 2)
    tevent_loop_once (ev);
  assert_int_equal (status_of ("GET", "/metrics", NULL, false), 200);
  assert_string_equal (answer, "counters");
  status = 0;
  hs_target_api_answer_leaves (api);
  while (status == 0)
    tevent_loop_once (ev);
  assert_int_equal (status, 200);
}

static void
a_signature_covers_method_path_and_body (void **state)
{
  char a[HS_TARGET_SIGNATURE_SIZE];
  char b[HS_TARGET_SIGNATURE_SIZE];

  (void) state;
  hs_target_sign (KEY, "POST", HS_TARGET_PATH, "x", 1, a);
  hs_target_sign (KEY, "POST", HS_TARGET_PATH, "x", 1, b);
  assert_true (hs_target_signature_matches (a, b));
  assert_false (hs_target_signature_matches (NULL, b));
  assert_false (hs_target_signature_matches ("", b));
  hs_target_sign (KEY, "POST", HS_TARGET_PATH, "y", 1, b);
  assert_false (hs_target_signature_matches (a, b));
  hs_target_sign (KEY, "DELETE", HS_TARGET_PATH, "x", 1, b);
  assert_false (hs_target_signature_matches (a, b));
  hs_target_sign ("another key", "POST", HS_TARGET_PATH, "x", 1, b);
  assert_false (hs_target_signature_matches (a, b));
}

static bool
announce (void *arg, const HsTargetAnnouncement *given, GError **error)
{
  (void) arg;
  (void) error;
  announced = *given;
  announcements++;
  return true;
}

static bool
leave (void *arg)
{
  (void) arg;
  leaves++;
  return !busy;
}

static char *
metrics (void *arg, TALLOC_CTX *ctx)
{
  (void) arg;
  return talloc_strdup (ctx, "counters");
}

static CURL *
request (const char *method, const char *path, const char *body, bool is_signed)
{
  CURL *easy = curl_easy_init ();
  char auth[HS_TARGET_SIGNATURE_SIZE];
  char *url = talloc_asprintf (ev, "http://127.0.0.1:%u%s",
                               hs_target_api_port (api), path);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, store_answer);
  if (body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
    }
  if (is_signed)
    {
      struct curl_slist *headers;

      hs_target_sign (KEY, method, path, body, strlen (body), auth);
      headers = curl_slist_append (
          NULL, talloc_asprintf (ev, HS_TARGET_AUTH_HEADER ": %s", auth));
      g_ptr_array_add (header_lists, headers);
      curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
    }
  return easy;
}

static long
status_of (const char *method, const char *path, const char *body, bool sign)
{
  status = 0;
  answer[0] = '\0';
  hs_curl_add (curl, request (method, path, body, sign), done, NULL);
  while (status == 0)
    tevent_loop_once (ev);
  return status;
}

static void
done (void *arg, CURL *easy, CURLcode result, bool sent)
{
  (void) arg;
  (void) sent;
  assert_int_equal (result, CURLE_OK);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
}

static size_t
store_answer (char *data, size_t size, size_t n, void *arg)
{
  size_t len = MIN (size * n, sizeof answer - 1);

  (void) arg;
  memcpy (answer, data, len);
  answer[len] = '\0';
  return size * n;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (an_announcement_is_parsed_completely,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (an_invalid_announcement_is_rejected, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (a_wrong_signature_size_or_path_is_rejected,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (a_leave_is_answered_when_no_task_runs,
                                     setup, teardown),
    cmocka_unit_test (a_signature_covers_method_path_and_body),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
