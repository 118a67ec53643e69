/* How an entry comes by the operators' configuration; the store and the
   connections are stubs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"

#define N_PEERS 6
#define ASK_SPAN (400 * HS_MSEC)

typedef struct
{
  int64_t revision;
  uint32_t peer;
  bool text;
} Sent;

static HsDirectEntry *entry;
static Sent sent[64];
static uint32_t n_sent;

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcDone done,
              void *arg)
{
  const hsx_configuration_args *told = args;

  (void) timeout;
  (void) done;
  (void) arg;
  assert_int_equal (proc, HSX_CONFIGURATION);
  sent[n_sent++] = (Sent){ told->revision, (uint32_t) ((uintptr_t) conn - 1),
                           told->text.text_len > 0 };
  return true;
}

void
hs_entry_schedule (HsDirectEntry *which, bool pump)
{
  (void) which;
  (void) pump;
}

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t revision,
                HsStoreReplyFunc done,
                void *arg)
{
  (void) store;
  (void) prefix;
  (void) revision;
  (void) done;
  (void) arg;
}

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t from,
                HsStoreWatchFunc note,
                void *arg)
{
  (void) store;
  (void) prefix;
  (void) from;
  (void) note;
  (void) arg;
  return NULL;
}

static void
take (uint32_t peer, int64_t revision, const char *text)
{
  hsx_configuration_args args = { .revision = revision };

  args.text.text_val = (char *) text;
  args.text.text_len = text != NULL ? (u_int) strlen (text) : 0;
  hs_entry_config_take (entry, &entry->peers[peer], &args);
}

static void
take_version (uint32_t peer, int64_t revision)
{
  char text[200];

  snprintf (text, sizeof text,
            "{\"version\":%d,\"routes\":[],\"services\":[],\"limits\":{}}",
            (int) revision * 10);
  take (peer, revision, text);
}

static int
setup (void **state)
{
  uint32_t i;

  (void) state;
  entry = talloc_zero (NULL, HsDirectEntry);
  n_sent = 0;
  for (i = 0; i < N_PEERS; i++)
    {
      entry->peers[i].used = true;
      entry->peers[i].conn = (HsConn *) (uintptr_t) (i + 1);
    }
  hs_entry_config_start (entry);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  talloc_free (entry);
  return 0;
}

static void
an_older_one_changes_nothing (void **state)
{
  (void) state;
  take_version (0, 5);
  assert_int_equal (hs_routes_version (entry->routes), 50);
  take_version (1, 4);
  take_version (2, 5);
  assert_int_equal (entry->config_revision, 5);
  assert_int_equal (hs_routes_version (entry->routes), 50);
}

static void
one_that_is_unreadable_changes_nothing (void **state)
{
  (void) state;
  take_version (0, 5);
  take (1, 6, "{\"version\":");
  assert_int_equal (entry->config_revision, 5);
  assert_int_equal (hs_routes_version (entry->routes), 50);
}

/* 390 KB from each of six, over slow links, once delayed everything else. */
static void
a_newer_one_is_asked_of_one_entry_at_a_time (void **state)
{
  HsTime now;
  uint32_t i;

  (void) state;
  take_version (0, 5);
  n_sent = 0;
  for (i = 0; i < N_PEERS; i++)
    take (i, 6, NULL);
  assert_int_equal (n_sent, 0);
  now = hs_now ().mono;
  hs_entry_config_tick (entry, now);
  assert_int_equal (n_sent, 0);
  now += ASK_SPAN;
  hs_entry_config_tick (entry, now);
  assert_int_equal (n_sent, 1);
  assert_int_equal (sent[0].revision, 5);
  assert_false (sent[0].text);
  /* It doesn't answer: another is asked. */
  hs_entry_config_tick (entry, now + ASK_SPAN / 2);
  assert_int_equal (n_sent, 1);
  hs_entry_config_tick (entry, now + ASK_SPAN);
  assert_int_equal (n_sent, 2);
  assert_int_not_equal (sent[1].peer, sent[0].peer);
}

static void
without_any_one_is_asked_at_once (void **state)
{
  (void) state;
  take (3, 6, NULL);
  hs_entry_config_tick (entry, hs_now ().mono);
  assert_int_equal (n_sent, 1);
  assert_int_equal (sent[0].peer, 3);
}

/* Whoever tells of an older one is sent the text, others the revision only. */
static void
those_behind_hear_of_it_and_get_it_when_they_ask (void **state)
{
  uint32_t i;

  (void) state;
  entry->peers[0].revision = 7;
  take_version (0, 7);
  assert_int_equal (n_sent, N_PEERS - 1);
  for (i = 0; i < n_sent; i++)
    assert_false (sent[i].text);
  take (4, 3, NULL);
  assert_int_equal (n_sent, N_PEERS);
  assert_true (sent[N_PEERS - 1].text);
  assert_int_equal (sent[N_PEERS - 1].peer, 4);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (an_older_one_changes_nothing),
    TEST (one_that_is_unreadable_changes_nothing),
    TEST (a_newer_one_is_asked_of_one_entry_at_a_time),
    TEST (without_any_one_is_asked_at_once),
    TEST (those_behind_hear_of_it_and_get_it_when_they_ask),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
