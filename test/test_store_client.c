#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/proxy.h"
#include "standin/store_server.h"
#include "store/store.h"

#define TIMEOUT (2 * HS_SEC)

/* For calls without a response. */
#define SHORT_TIMEOUT (300 * HS_MSEC)

typedef struct
{
  struct tevent_context *ev;
  HsStoreServer *server;
  HsStoreFaults *faults;
  HsStore *store;
  unsigned int n_replies;
  HsStoreReply reply; /* The last one. */
  HsStoreKv kv;       /* Copy of its first key. */
  unsigned int n_updates[HS_STORE_WATCH_DISCONNECTED + 1];
  int64_t watch_revision;
  unsigned int n_events;
  char last_key[64];
  HsStoreWatch *watch_to_free; /* Freed in the next watch callback. */
  bool free_store;             /* In the next reply callback. */
} Fixture;

static char *
server_url (Fixture *fixture)
{
  return talloc_asprintf (fixture->ev, "http://127.0.0.1:%u",
                          hs_store_server_port (fixture->server));
}

static int
setup (void **state)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  const char *endpoints[2] = { NULL, NULL };

  fixture->ev = tevent_context_init (NULL);
  fixture->server
      = hs_store_server_new (fixture->ev, fixture->ev, "127.0.0.1", 0);
  fixture->faults = hs_store_server_faults (fixture->server);
  endpoints[0] = server_url (fixture);
  fixture->store = hs_store_new (fixture->ev, fixture->ev, endpoints, TIMEOUT);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;

  talloc_free (fixture->store);
  talloc_free (fixture->server);
  talloc_free (fixture->ev);
  g_free (fixture);
  return 0;
}

static void
on_reply (void *arg, const HsStoreReply *reply)
{
  Fixture *fixture = arg;

  fixture->n_replies++;
  fixture->reply = *reply;
  if (reply->n_kvs > 0)
    {
      fixture->kv = reply->kvs[0];
      fixture->kv.key = talloc_strdup (fixture->ev, reply->kvs[0].key);
      fixture->kv.value = talloc_strdup (fixture->ev, reply->kvs[0].value);
    }
  if (fixture->free_store)
    TALLOC_FREE (fixture->store);
}

static void
await_reply (Fixture *fixture)
{
  unsigned int before = fixture->n_replies;

  while (fixture->n_replies == before)
    assert_int_equal (tevent_loop_once (fixture->ev), 0);
}

static HsStoreStatus
put_if (Fixture *fixture, const char *key, int64_t revision, int64_t lease)
{
  const HsStoreCompare compare = { key, revision };
  const HsStoreOp put = { HS_STORE_PUT, key, "value", lease };
  const HsStoreOp get = { HS_STORE_RANGE, key, NULL, 0 };
  const HsStoreTxn txn = { 1, &compare, 1, &put, 1, &get };

  hs_store_txn (fixture->store, &txn, on_reply, fixture);
  await_reply (fixture);
  return fixture->reply.status;
}

static HsStoreStatus
range (Fixture *fixture, const char *prefix)
{
  hs_store_range (fixture->store, prefix, 0, on_reply, fixture);
  await_reply (fixture);
  return fixture->reply.status;
}

static void
on_watch_update (void *arg, const HsStoreWatchUpdate *update)
{
  Fixture *fixture = arg;

  fixture->n_updates[update->kind]++;
  fixture->watch_revision = update->revision;
  fixture->n_events += (unsigned int) update->n_events;
  if (update->n_events > 0)
    g_strlcpy (fixture->last_key, update->events[update->n_events - 1].kv.key,
               sizeof fixture->last_key);
  TALLOC_FREE (fixture->watch_to_free);
}

static void
await_updates (Fixture *fixture, HsStoreWatchUpdateKind kind, unsigned int n)
{
  while (fixture->n_updates[kind] < n)
    assert_int_equal (tevent_loop_once (fixture->ev), 0);
}

static void
txn_runs_the_branch_of_its_compare (void **state)
{
  Fixture *fixture = *state;

  assert_int_equal (put_if (fixture, "hs/a", 0, 0), HS_STORE_OK);
  assert_true (fixture->reply.succeeded);
  assert_int_equal (put_if (fixture, "hs/a", 0, 0), HS_STORE_OK);
  assert_false (fixture->reply.succeeded);
  assert_int_equal (fixture->reply.n_kvs, 1);
  assert_int_equal (fixture->kv.mod_revision, 2);
  assert_string_equal (fixture->kv.value, "value");
}

static void
range_reads_a_prefix_up_to_the_limit (void **state)
{
  Fixture *fixture = *state;

  put_if (fixture, "hs/a/2", 0, 0);
  put_if (fixture, "hs/a/1", 0, 0);
  put_if (fixture, "hs/b", 0, 0);
  assert_int_equal (range (fixture, "hs/a/"), HS_STORE_OK);
  assert_int_equal (fixture->reply.n_kvs, 2);
  assert_false (fixture->reply.more);
  hs_store_range (fixture->store, "hs/", 1, on_reply, fixture);
  await_reply (fixture);
  assert_int_equal (fixture->reply.n_kvs, 1);
  assert_string_equal (fixture->kv.key, "hs/a/1");
  assert_true (fixture->reply.more);
}

static void
lease_calls_report_ttl_and_revoke_deletes_keys (void **state)
{
  Fixture *fixture = *state;
  int64_t lease;

  hs_store_lease_grant (fixture->store, 60, on_reply, fixture);
  await_reply (fixture);
  lease = fixture->reply.lease;
  assert_int_equal (fixture->reply.ttl_s, 60);
  put_if (fixture, "hs/a", 0, lease);
  hs_store_lease_keepalive (fixture->store, lease, on_reply, fixture);
  await_reply (fixture);
  assert_int_equal (fixture->reply.ttl_s, 60);
  hs_store_lease_revoke (fixture->store, lease, on_reply, fixture);
  await_reply (fixture);
  assert_int_equal (fixture->reply.status, HS_STORE_OK);
  range (fixture, "hs/");
  assert_int_equal (fixture->reply.n_kvs, 0);
  hs_store_lease_keepalive (fixture->store, lease, on_reply, fixture);
  await_reply (fixture);
  assert_int_equal (fixture->reply.status, HS_STORE_OK);
  assert_int_equal (fixture->reply.ttl_s, 0);
  assert_int_equal (put_if (fixture, "hs/b", 0, lease), HS_STORE_NOT_APPLIED);
}

/* libcurl would send the request again on a second connection, where its
   compare fails although the first request took effect. */
static void
lost_reply_is_unknown_and_not_resent (void **state)
{
  Fixture *fixture = *state;

  assert_int_equal (range (fixture, "hs/"), HS_STORE_OK);
  fixture->faults->lose_answers = 1;
  assert_int_equal (put_if (fixture, "hs/a", 0, 0), HS_STORE_UNKNOWN);
  assert_int_equal (hs_store_server_calls (fixture->server, HS_GATEWAY_TXN), 1);
  assert_int_equal (range (fixture, "hs/a"), HS_STORE_OK);
  assert_int_equal (fixture->reply.n_kvs, 1);
}

/* Binds a socket that does not listen, so that connections are refused. */
static int
refusing_socket (char **url)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *) &address, len), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &address, &len), 0);
  *url
      = talloc_asprintf (NULL, "http://127.0.0.1:%u", ntohs (address.sin_port));
  return fd;
}

static void
refused_connection_is_not_applied_and_next_endpoint_is_used (void **state)
{
  Fixture *fixture = *state;
  char *url;
  int fd = refusing_socket (&url);
  const char *endpoints[] = { url, server_url (fixture), NULL };

  talloc_free (fixture->store);
  fixture->store = hs_store_new (fixture->ev, fixture->ev, endpoints, TIMEOUT);
  assert_int_equal (put_if (fixture, "hs/a", 0, 0), HS_STORE_NOT_APPLIED);
  assert_int_equal (put_if (fixture, "hs/a", 0, 0), HS_STORE_OK);
  assert_int_equal (hs_store_stats (fixture->store)->failures, 1);
  close (fd);
  talloc_free (url);
}

static void
timed_out_call_is_unknown (void **state)
{
  Fixture *fixture = *state;
  const char *endpoints[] = { server_url (fixture), NULL };

  talloc_free (fixture->store);
  fixture->store
      = hs_store_new (fixture->ev, fixture->ev, endpoints, SHORT_TIMEOUT);
  fixture->faults->delay = 60 * HS_SEC;
  assert_int_equal (put_if (fixture, "hs/a", 0, 0), HS_STORE_UNKNOWN);
}

static void
stale_ranges_and_delayed_watch_events (void **state)
{
  Fixture *fixture = *state;

  put_if (fixture, "hs/a", 0, 0);
  put_if (fixture, "hs/b", 0, 0);
  fixture->faults->stale_ranges = 1;
  range (fixture, "hs/");
  assert_int_equal (fixture->reply.n_kvs, 1);
  assert_int_equal (fixture->reply.revision, 2);
  range (fixture, "hs/");
  assert_int_equal (fixture->reply.n_kvs, 2);
  hs_store_watch (fixture->store, "hs/", 0, on_watch_update, fixture);
  await_updates (fixture, HS_STORE_WATCH_PROGRESS, 1);
  fixture->faults->lag_watches = 3600 * HS_SEC;
  put_if (fixture, "hs/c", 0, 0);
  assert_int_equal (fixture->n_events, 0);
  hs_store_server_close_watches (fixture->server);
  await_updates (fixture, HS_STORE_WATCH_EVENTS, 1);
  assert_string_equal (fixture->last_key, "hs/c");
}

static void
watch_reports_changes_and_resumes_after_disconnect (void **state)
{
  Fixture *fixture = *state;

  put_if (fixture, "hs/a", 0, 0);
  hs_store_watch (fixture->store, "hs/", 2, on_watch_update, fixture);
  await_updates (fixture, HS_STORE_WATCH_EVENTS, 1);
  assert_int_equal (fixture->watch_revision, 2);
  hs_store_server_close_watches (fixture->server);
  await_updates (fixture, HS_STORE_WATCH_DISCONNECTED, 1);
  put_if (fixture, "other", 0, 0);
  put_if (fixture, "hs/b", 0, 0);
  await_updates (fixture, HS_STORE_WATCH_EVENTS, 2);
  assert_int_equal (fixture->n_events, 2);
  assert_string_equal (fixture->last_key, "hs/b");
  assert_int_equal (fixture->watch_revision, 4);
}

/* The endpoint keeps its connections open and sends nothing. */
static void
watch_moves_away_from_an_unresponsive_endpoint (void **state)
{
  Fixture *fixture = *state;
  HsStoreServer *second
      = hs_store_server_new (fixture->ev, fixture->ev, "127.0.0.1", 0);
  char *url = talloc_asprintf (fixture->ev, "http://127.0.0.1:%u",
                               hs_store_server_port (second));
  const char *endpoints[] = { server_url (fixture), url, NULL };

  talloc_free (fixture->store);
  fixture->store
      = hs_store_new (fixture->ev, fixture->ev, endpoints, SHORT_TIMEOUT);
  hs_store_watch (fixture->store, "hs/", 0, on_watch_update, fixture);
  while (hs_store_server_watch_count (fixture->server) == 0)
    tevent_loop_once (fixture->ev);
  fixture->faults->delay = 3600 * HS_SEC;
  assert_int_equal (range (fixture, "hs/"), HS_STORE_UNKNOWN);
  while (hs_store_server_watch_count (second) == 0)
    tevent_loop_once (fixture->ev);
  assert_in_range (fixture->n_updates[HS_STORE_WATCH_DISCONNECTED], 1, 1000);
  TALLOC_FREE (fixture->store);
  talloc_free (second);
}

/* Guards against an old list in use: the connection of a watch goes silent and
   stays open. */
static void
silent_stream_is_opened_anew_within_the_time_for_a_change (void **state)
{
  Fixture *fixture = *state;
  HsStore *direct = fixture->store;
  HsStore *proxied;
  char address[32];
  const char *endpoints[2] = { NULL, NULL };
  unsigned int proxy;
  HsTime put_at;

  proxy_init ();
  proxy = proxy_add (server_url (fixture) + strlen ("http://"), address);
  endpoints[0] = talloc_asprintf (fixture->ev, "http://%s", address);
  fixture->store = hs_store_new (fixture->ev, fixture->ev, endpoints, TIMEOUT);
  hs_store_watch (fixture->store, "hs/", 0, on_watch_update, fixture);
  await_updates (fixture, HS_STORE_WATCH_PROGRESS, 1);
  proxy_set (proxy, PROXY_SILENCE, 0);
  g_usleep (50000);
  proxied = fixture->store;
  fixture->store = direct;
  put_at = hs_now ().mono;
  put_if (fixture, "hs/a", 0, 0);
  await_updates (fixture, HS_STORE_WATCH_EVENTS, 1);
  assert_true (hs_now ().mono - put_at < 6 * HS_SEC);
  talloc_free (proxied);
}

static void
watch_that_is_not_accepted_is_reconnected (void **state)
{
  Fixture *fixture = *state;
  const char *endpoints[] = { server_url (fixture), NULL };

  talloc_free (fixture->store);
  fixture->store
      = hs_store_new (fixture->ev, fixture->ev, endpoints, SHORT_TIMEOUT);
  fixture->faults->delay = 3600 * HS_SEC;
  hs_store_watch (fixture->store, "hs/", 0, on_watch_update, fixture);
  await_updates (fixture, HS_STORE_WATCH_DISCONNECTED, 1);
  fixture->faults->delay = 0;
  await_updates (fixture, HS_STORE_WATCH_PROGRESS, 1);
}

static void
compacted_watch_reports_it_and_ends (void **state)
{
  Fixture *fixture = *state;

  put_if (fixture, "hs/a", 0, 0);
  put_if (fixture, "hs/a", 2, 0);
  hs_kv_compact (hs_store_server_kv (fixture->server), 0);
  hs_store_watch (fixture->store, "hs/", 2, on_watch_update, fixture);
  await_updates (fixture, HS_STORE_WATCH_COMPACTED, 1);
  assert_int_equal (fixture->watch_revision, 3);
  while (hs_store_server_watch_count (fixture->server) > 0)
    tevent_loop_once (fixture->ev);
  assert_int_equal (hs_store_stats (fixture->store)->watches, 1);
}

static void
watch_may_be_freed_in_its_callback (void **state)
{
  Fixture *fixture = *state;

  put_if (fixture, "hs/a", 0, 0);
  fixture->watch_to_free
      = hs_store_watch (fixture->store, "hs/", 2, on_watch_update, fixture);
  await_updates (fixture, HS_STORE_WATCH_PROGRESS, 1);
  assert_null (fixture->watch_to_free);
  while (hs_store_server_watch_count (fixture->server) > 0)
    tevent_loop_once (fixture->ev);
  assert_int_equal (fixture->n_events, 0);
}

static void
store_may_be_freed_in_a_reply_callback (void **state)
{
  Fixture *fixture = *state;

  hs_store_watch (fixture->store, "hs/", 0, on_watch_update, fixture);
  hs_store_range (fixture->store, "hs/", 0, on_reply, fixture);
  hs_store_range (fixture->store, "hs/", 0, on_reply, fixture);
  fixture->free_store = true;
  await_reply (fixture);
  assert_null (fixture->store);
  assert_int_equal (fixture->n_replies, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (txn_runs_the_branch_of_its_compare, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (range_reads_a_prefix_up_to_the_limit,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        lease_calls_report_ttl_and_revoke_deletes_keys, setup, teardown),
    cmocka_unit_test_setup_teardown (lost_reply_is_unknown_and_not_resent,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        refused_connection_is_not_applied_and_next_endpoint_is_used, setup,
        teardown),
    cmocka_unit_test_setup_teardown (timed_out_call_is_unknown, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (stale_ranges_and_delayed_watch_events,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (
        watch_reports_changes_and_resumes_after_disconnect, setup, teardown),
    cmocka_unit_test_setup_teardown (
        watch_moves_away_from_an_unresponsive_endpoint, setup, teardown),
    cmocka_unit_test_setup_teardown (
        silent_stream_is_opened_anew_within_the_time_for_a_change, setup,
        teardown),
    cmocka_unit_test_setup_teardown (watch_that_is_not_accepted_is_reconnected,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (compacted_watch_reports_it_and_ends, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (watch_may_be_freed_in_its_callback, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (store_may_be_freed_in_a_reply_callback,
                                     setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
