#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "http/curl_loop.h"
#include "standin/store_server.h"

typedef struct
{
  struct tevent_context *ev;
  HsStoreServer *server;
  HsCurl *curl;
  char answer[512];
  unsigned int n_done;
  CURLcode result;
  bool sent;
  CURL *remove_in_write;
  CURL *add_in_write;
  bool free_in_done;
} Fixture;

static int
setup (void **state)
{
  Fixture *fixture = talloc_zero (NULL, Fixture);

  fixture->ev = tevent_context_init (fixture);
  fixture->server = hs_store_server_new (fixture, fixture->ev, "127.0.0.1", 0);
  fixture->curl = hs_curl_new (fixture, fixture->ev);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;

  talloc_free (fixture->curl);
  talloc_free (fixture->server);
  talloc_free (fixture);
  return 0;
}

static void
on_done (void *arg, CURL *easy, CURLcode result, bool sent)
{
  Fixture *fixture = arg;

  fixture->n_done++;
  fixture->result = result;
  fixture->sent = sent;
  curl_easy_cleanup (easy);
  if (fixture->free_in_done)
    TALLOC_FREE (fixture->curl);
}

static size_t
on_data (char *data, size_t size, size_t n, void *arg)
{
  Fixture *fixture = arg;
  size_t used = strlen (fixture->answer);

  assert_in_range (used + size * n, 0, sizeof fixture->answer - 1);
  memcpy (fixture->answer + used, data, size * n);
  if (fixture->add_in_write != NULL)
    hs_curl_add (fixture->curl, fixture->add_in_write, on_done, fixture);
  fixture->add_in_write = NULL;
  if (fixture->remove_in_write != NULL)
    hs_curl_remove (fixture->curl, fixture->remove_in_write);
  fixture->remove_in_write = NULL;
  return size * n;
}

static CURL *
new_request (Fixture *fixture, const char *path, const char *body)
{
  CURL *easy = curl_easy_init ();
  g_autofree char *url = g_strdup_printf (
      "http://127.0.0.1:%u%s", hs_store_server_port (fixture->server), path);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, fixture);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
  return easy;
}

static void
run_until_done (Fixture *fixture, unsigned int n_done)
{
  while (fixture->n_done < n_done)
    assert_int_equal (tevent_loop_once (fixture->ev), 0);
}

static void
a_request_is_not_sent_twice (void **state)
{
  Fixture *fixture = *state;
  const HsStoreFaults *faults = hs_store_server_faults (fixture->server);

  hs_curl_add (fixture->curl,
               new_request (fixture, "/fault",
                            "{\"down\":true,\"delay_ms\":3,\"lose_answers\":2,"
                            "\"lag_watches_ms\":4,\"stale_range\":5}"),
               on_done, fixture);
  run_until_done (fixture, 1);
  assert_true (faults->down);
  assert_int_equal (faults->delay, 3 * HS_MSEC);
  assert_int_equal (faults->lose_answers, 2);
  assert_int_equal (faults->lag_watches, 4 * HS_MSEC);
  assert_int_equal (faults->stale_ranges, 5);
  hs_curl_add (fixture->curl, new_request (fixture, "/v3/kv/range", "{}"),
               on_done, fixture);
  run_until_done (fixture, 2);
  /* The server closed the reused connection; the request isn't repeated. */
  assert_int_equal (fixture->result, CURLE_ABORTED_BY_CALLBACK);
  assert_true (fixture->sent);
  fixture->answer[0] = '\0';
  hs_curl_add (fixture->curl, new_request (fixture, "/calls", NULL), on_done,
               fixture);
  run_until_done (fixture, 3);
  assert_non_null (strstr (fixture->answer, "\"waiting_watches\": 0"));
  assert_non_null (strstr (fixture->answer, "\"range\": 0"));
}

static void
transfers_may_be_removed_and_added_in_a_write_callback (void **state)
{
  Fixture *fixture = *state;
  CURL *watch = new_request (fixture, "/v3/watch",
                             "{\"create_request\":{\"key\":\"YQ==\"}}");

  fixture->remove_in_write = watch;
  fixture->add_in_write = new_request (fixture, "/calls", NULL);
  hs_curl_add (fixture->curl, watch, on_done, fixture);
  run_until_done (fixture, 1);
  assert_int_equal (fixture->result, CURLE_OK);
  while (hs_store_server_watch_count (fixture->server) > 0)
    tevent_loop_once (fixture->ev);
  assert_int_equal (fixture->n_done, 1);
}

static void
a_transfer_may_be_removed_before_it_starts (void **state)
{
  Fixture *fixture = *state;
  CURL *easy = new_request (fixture, "/calls", NULL);

  fixture->add_in_write = new_request (fixture, "/calls", NULL);
  fixture->remove_in_write = fixture->add_in_write;
  hs_curl_add (fixture->curl, easy, on_done, fixture);
  run_until_done (fixture, 1);
  hs_curl_add (fixture->curl, new_request (fixture, "/calls", NULL), on_done,
               fixture);
  fixture->answer[0] = '\0';
  run_until_done (fixture, 2);
  assert_int_equal (fixture->n_done, 2);
}

static void
the_loop_may_be_freed_in_a_done_callback (void **state)
{
  Fixture *fixture = *state;
  unsigned int i;

  fixture->free_in_done = true;
  for (i = 0; i < 3; i++)
    hs_curl_add (fixture->curl, new_request (fixture, "/fault", "{}"), on_done,
                 fixture);
  run_until_done (fixture, 1);
  assert_null (fixture->curl);
  assert_int_equal (fixture->n_done, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_request_is_not_sent_twice, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (
        transfers_may_be_removed_and_added_in_a_write_callback, setup,
        teardown),
    cmocka_unit_test_setup_teardown (a_transfer_may_be_removed_before_it_starts,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (the_loop_may_be_freed_in_a_done_callback,
                                     setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
