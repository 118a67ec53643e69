/* Distribution of the operators' configuration to an entry; the store and the
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
#define ASK_INTERVAL (400 * HS_MSEC)

typedef struct
{
  int64_t revision;
  uint32_t peer;
  bool has_text;
} SentConfig;

static HsDirectEntry *entry;
static SentConfig sent[64];
static uint32_t n_sent;

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  const hsx_configuration_args *config = args;

  (void) timeout;
  (void) done;
  (void) arg;
  assert_int_equal (proc, HSX_CONFIGURATION);
  sent[n_sent++]
      = (SentConfig){ config->revision, (uint32_t) ((uintptr_t) conn - 1),
                      config->text.text_len > 0 };
  return true;
}

void
hs_entry_schedule (HsDirectEntry *which, bool dispatch)
{
  (void) which;
  (void) dispatch;
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
receive (uint32_t peer, int64_t revision, const char *text)
{
  hsx_configuration_args args = { .revision = revision };

  args.text.text_val = (char *) text;
  args.text.text_len = text != NULL ? (u_int) strlen (text) : 0;
  hs_entry_config_receive (entry, &entry->peers[peer], &args);
}

static void
receive_version (uint32_t peer, int64_t revision)
{
  char text[200];

  snprintf (text, sizeof text,
            "{\"version\":%d,\"routes\":[],\"services\":[],\"limits\":{}}",
            (int) revision * 10);
  receive (peer, revision, text);
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
older_revision_is_ignored (void **state)
{
  (void) state;
  receive_version (0, 5);
  assert_int_equal (hs_routes_version (entry->routes), 50);
  receive_version (1, 4);
  receive_version (2, 5);
  assert_int_equal (entry->config_revision, 5);
  assert_int_equal (hs_routes_version (entry->routes), 50);
}

static void
malformed_configuration_is_ignored (void **state)
{
  (void) state;
  receive_version (0, 5);
  receive (1, 6, "{\"version\":");
  assert_int_equal (entry->config_revision, 5);
  assert_int_equal (hs_routes_version (entry->routes), 50);
}

/* Only one peer is asked at a time, because 390 KB from each of six peers over
   slow links delay all other messages. */
static void
newer_revision_is_requested_from_one_entry_at_a_time (void **state)
{
  HsTime now;
  uint32_t i;

  (void) state;
  receive_version (0, 5);
  n_sent = 0;
  for (i = 0; i < N_PEERS; i++)
    receive (i, 6, NULL);
  assert_int_equal (n_sent, 0);
  now = hs_now ().mono;
  hs_entry_config_tick (entry, now);
  assert_int_equal (n_sent, 0);
  now += ASK_INTERVAL;
  hs_entry_config_tick (entry, now);
  assert_int_equal (n_sent, 1);
  assert_int_equal (sent[0].revision, 5);
  assert_false (sent[0].has_text);
  /* No answer arrives, so another peer is asked. */
  hs_entry_config_tick (entry, now + ASK_INTERVAL / 2);
  assert_int_equal (n_sent, 1);
  hs_entry_config_tick (entry, now + ASK_INTERVAL);
  assert_int_equal (n_sent, 2);
  assert_int_not_equal (sent[1].peer, sent[0].peer);
}

static void
first_configuration_is_requested_at_once (void **state)
{
  (void) state;
  receive (3, 6, NULL);
  hs_entry_config_tick (entry, hs_now ().mono);
  assert_int_equal (n_sent, 1);
  assert_int_equal (sent[0].peer, 3);
}

/* A peer that reports an older revision is sent the text; the others only get
   the revision. */
static void
outdated_entries_get_the_revision_and_the_text_on_request (void **state)
{
  uint32_t i;

  (void) state;
  entry->peers[0].config_revision = 7;
  receive_version (0, 7);
  assert_int_equal (n_sent, N_PEERS - 1);
  for (i = 0; i < n_sent; i++)
    assert_false (sent[i].has_text);
  receive (4, 3, NULL);
  assert_int_equal (n_sent, N_PEERS);
  assert_true (sent[N_PEERS - 1].has_text);
  assert_int_equal (sent[N_PEERS - 1].peer, 4);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (older_revision_is_ignored),
    TEST (malformed_configuration_is_ignored),
    TEST (newer_revision_is_requested_from_one_entry_at_a_time),
    TEST (first_configuration_is_requested_at_once),
    TEST (outdated_entries_get_the_revision_and_the_text_on_request),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
