/* How an entry learns evacuations and sends them on; the store and the
   connections are stubs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "direct/entry_private.h"
#include "platform/configuration.h"
#include "platform/evacuation_key.h"

#define N_PEERS 3
#define N_AGENTS 2

/** Connections: peers from 1 on, agents from 101 on. */
#define AGENT_CONN 101

typedef struct
{
  uintptr_t conn;
  int64_t revision;
  char data_centres[64]; /* "dc1 dc2 " */
} SentSet;

static HsDirectEntry *entry;
static HsPlatformSettings settings;
static SentSet sent[64];
static uint32_t n_sent;
static char last_read[64]; /* Prefix of the last read without a reply. */
static HsStoreReplyFunc read_done;
static char watched[64];
static int64_t watched_from;
static HsStoreWatchFunc watch_func;
static bool dispatched;
static uint32_t n_backlogs[N_AGENTS]; /* Sent to each agent. */

bool
hs_conn_call (HsConn *conn,
              uint32_t proc,
              const void *args,
              HsTime timeout,
              HsRpcReplyFunc done,
              void *arg)
{
  const hsx_evacuations_args *set = args;
  SentSet *one = &sent[n_sent];
  uint32_t i;

  (void) timeout;
  (void) done;
  (void) arg;
  if (proc == HSX_ORDERS && ((const hsx_orders_args *) args)->want.rank > 0)
    n_backlogs[(uintptr_t) conn - AGENT_CONN]++;
  if (proc != HSX_EVACUATIONS)
    return true;
  n_sent++;
  *one = (SentSet){ .conn = (uintptr_t) conn, .revision = set->revision };
  for (i = 0; i < set->data_centres.data_centres_len; i++)
    {
      g_strlcat (one->data_centres, set->data_centres.data_centres_val[i],
                 sizeof one->data_centres);
      g_strlcat (one->data_centres, " ", sizeof one->data_centres);
    }
  return true;
}

HsAgentLink *
hs_entry_links_at (HsDirectEntry *which, uint32_t target)
{
  return &which->links[target];
}

void
hs_entry_schedule (HsDirectEntry *which, bool dispatch)
{
  (void) which;
  dispatched |= dispatch;
}

void
hs_store_range (HsStore *store,
                const char *prefix,
                int64_t limit,
                HsStoreReplyFunc done,
                void *arg)
{
  (void) store;
  (void) limit;
  (void) arg;
  g_strlcpy (last_read, prefix, sizeof last_read);
  read_done = done;
}

HsStoreWatch *
hs_store_watch (HsStore *store,
                const char *prefix,
                int64_t start_revision,
                HsStoreWatchFunc func,
                void *arg)
{
  (void) store;
  (void) arg;
  g_strlcpy (watched, prefix, sizeof watched);
  watched_from = start_revision;
  watch_func = func;
  return NULL;
}

/* Answers the read that is in flight. @key: NULL for none */
static void
answer_read (HsStoreStatus status, int64_t revision, const char *key)
{
  HsStoreKv kv = { .key = key, .value = "", .mod_revision = revision };
  HsStoreReply reply = {
    .status = status, .revision = revision, .n_kvs = key != NULL, .kvs = &kv
  };
  HsStoreReplyFunc done = read_done;

  assert_non_null (done);
  read_done = NULL;
  done (entry, &reply);
}

/* Answers both reads of a start. */
static void
read_all (int64_t revision, const char *key)
{
  assert_string_equal (last_read, HS_EVACUATION_PREFIX);
  answer_read (HS_STORE_OK, revision, key);
  assert_string_equal (last_read, HS_CONFIGURATION_KEY);
  answer_read (HS_STORE_OK, revision + 1, NULL);
}

static void
watch_event (const char *key, int64_t revision, bool deleted)
{
  HsStoreEvent event
      = { .deleted = deleted,
          .kv = { .key = key, .value = "", .mod_revision = revision } };
  HsStoreWatchUpdate update = { .kind = HS_STORE_WATCH_EVENTS,
                                .revision = revision,
                                .n_events = 1,
                                .events = &event };

  watch_func (entry, &update);
}

static void
receive (uint32_t peer, int64_t revision, const char *data_centre)
{
  char *names[] = { (char *) data_centre };
  hsx_evacuations_args args
      = { .revision = revision,
          .data_centres = { data_centre != NULL, names } };

  hs_entry_evacuations_receive (entry, &entry->peers[peer], &args);
}

static bool
may_start (const char *data_centre)
{
  return hs_evacuations_may_start (entry->evacuations, data_centre);
}

static uint32_t
n_sent_to (uintptr_t conn)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < n_sent; i++)
    n += sent[i].conn == conn;
  return n;
}

static int
setup (void **state)
{
  uint32_t i;

  (void) state;
  n_sent = 0;
  memset (n_backlogs, 0, sizeof n_backlogs);
  dispatched = false;
  read_done = NULL;
  watch_func = NULL;
  settings = (HsPlatformSettings){ .evacuation_limit = 5 * HS_SEC };
  entry = talloc_zero (NULL, HsDirectEntry);
  entry->settings = &settings;
  entry->targets = hs_targets_new (entry);
  entry->jobs = hs_jobs_new (entry, entry->targets, "dc1", NULL, NULL);
  for (i = 0; i < N_PEERS; i++)
    {
      entry->peers[i].used = true;
      entry->peers[i].conn = (HsConn *) (uintptr_t) (i + 1);
    }
  entry->links = talloc_zero_array (entry, HsAgentLink, N_AGENTS);
  entry->n_links = N_AGENTS;
  for (i = 0; i < N_AGENTS; i++)
    entry->links[i].conn = (HsConn *) (uintptr_t) (AGENT_CONN + i);
  hs_entry_evacuations_start (entry);
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

/* Guards against starts before the read, and against a change that falls
   between the two reads and that the watch leaves out. */
static void
the_watch_follows_on_the_first_read (void **state)
{
  (void) state;
  assert_false (hs_entry_evacuations_allow_jobs (entry));
  hs_entry_evacuations_agent_connected (entry, entry->links[0].conn);
  assert_int_equal (n_sent, 0);
  read_all (5, "op/evacuate/dc1");
  assert_true (hs_entry_evacuations_allow_jobs (entry));
  assert_false (may_start ("dc1"));
  assert_string_equal (watched, HS_OPERATOR_PREFIX);
  assert_int_equal (watched_from, 6);
  assert_int_equal (n_sent, N_PEERS + N_AGENTS);
  assert_string_equal (sent[0].data_centres, "dc1 ");
}

static void
each_change_is_sent_to_agents_and_entries_at_once (void **state)
{
  uint32_t i;

  (void) state;
  read_all (5, NULL);
  n_sent = 0;
  watch_event ("op/evacuate/dc1", 7, false);
  assert_false (may_start ("dc1"));
  assert_true (dispatched);
  assert_int_equal (n_sent, N_PEERS + N_AGENTS);
  for (i = 0; i < n_sent; i++)
    {
      assert_int_equal (sent[i].revision, 7);
      assert_string_equal (sent[i].data_centres, "dc1 ");
    }
  watch_event ("op/evacuate/dc1", 8, true);
  assert_true (may_start ("dc1"));
  assert_int_equal (n_sent, 2 * (N_PEERS + N_AGENTS));
  assert_string_equal (sent[n_sent - 1].data_centres, "");
}

/* The store can't be reached by this entry: another one sends the set. It is
   passed on to entries that don't have it yet, not back to the sender. */
static void
an_entry_without_the_store_learns_the_set_from_another (void **state)
{
  (void) state;
  answer_read (HS_STORE_UNKNOWN, 0, NULL);
  assert_false (hs_entry_evacuations_allow_jobs (entry));
  receive (0, 9, "dc1");
  assert_true (hs_entry_evacuations_allow_jobs (entry));
  assert_false (may_start ("dc1"));
  assert_int_equal (n_sent_to (1), 0);
  assert_int_equal (n_sent_to (2), 1);
  assert_int_equal (n_sent_to (AGENT_CONN), 1);
  /* The store is asked again. */
  assert_int_not_equal (entry->config_read_at, HS_NEVER);
  n_sent = 0;
  receive (1, 9, "dc1");
  assert_int_equal (n_sent, 0);
}

/* Guards against starts in a data centre again, as the store or a slower entry
   tells an earlier state. */
static void
a_read_or_set_of_the_past_changes_nothing (void **state)
{
  (void) state;
  receive (0, 9, "dc1");
  n_sent = 0;
  receive (1, 8, NULL);
  read_all (7, NULL);
  watch_event ("op/evacuate/dc1", 8, true);
  assert_false (may_start ("dc1"));
  assert_int_equal (n_sent, 0);
}

/* The watch gets no answers while the key is set; another entry has seen it.
   Afterwards the watch delivers what was missed, and then what is new. */
static void
a_watch_that_receives_nothing_does_not_matter (void **state)
{
  (void) state;
  read_all (5, NULL);
  receive (2, 8, "dc2");
  assert_false (may_start ("dc2"));
  watch_event ("op/evacuate/dc1", 6, false);
  watch_event ("op/evacuate/dc1", 7, true);
  watch_event ("op/evacuate/dc2", 8, false);
  assert_true (may_start ("dc1"));
  assert_false (may_start ("dc2"));
  watch_event ("op/evacuate/dc2", 9, true);
  assert_true (may_start ("dc2"));
}

static void
a_dropped_history_is_read_again (void **state)
{
  HsStoreWatchUpdate update = { .kind = HS_STORE_WATCH_COMPACTED };

  (void) state;
  read_all (5, "op/evacuate/dc1");
  watch_func (entry, &update);
  assert_false (may_start ("dc1"));
  hs_entry_config_tick (entry, hs_now ().mono);
  read_all (20, "op/evacuate/dc2");
  assert_true (may_start ("dc1"));
  assert_false (may_start ("dc2"));
  assert_int_equal (watched_from, 21);
}

/* A reply that doesn't have all keys isn't the set. */
static void
an_incomplete_read_is_repeated (void **state)
{
  HsStoreReply reply = { .status = HS_STORE_OK, .revision = 5, .more = true };

  (void) state;
  read_done (entry, &reply);
  assert_false (hs_entry_evacuations_allow_jobs (entry));
  assert_int_not_equal (entry->config_read_at, HS_NEVER);
}

static void
invalid_and_other_keys_are_ignored (void **state)
{
  (void) state;
  read_all (5, "op/evacuate/a/b");
  assert_int_equal (hs_evacuations_count (entry->evacuations), 0);
  n_sent = 0;
  watch_event ("op/evacuate/", 6, false);
  watch_event ("op/evacuated", 7, false);
  watch_event (HS_CONFIGURATION_KEY, 8, true);
  assert_int_equal (n_sent, 0);
  watch_event ("op/evacuate/dc1", 9, false);
  assert_false (may_start ("dc1"));
}

/* An agent that starts, or connects again, may have missed the last change. */
static void
each_new_connection_gets_the_set (void **state)
{
  (void) state;
  read_all (5, "op/evacuate/dc1");
  n_sent = 0;
  hs_entry_evacuations_agent_connected (entry, entry->links[1].conn);
  hs_entry_evacuations_peer_connected (entry, &entry->peers[0]);
  assert_int_equal (n_sent, 2);
  assert_int_equal (n_sent_to (AGENT_CONN + 1), 1);
  assert_int_equal (n_sent_to (1), 1);
}

/* Guards against offers that nobody waits for: of the agents that are asked for
   resources, those in an evacuated data centre have none to give. */
static void
evacuated_agents_are_not_asked_for_resources (void **state)
{
  hsx_report_args report = { .state = HSX_TARGET_READY };
  hsx_target_info info = {
    (char *) "t", (char *) "s", (char *) "r", (char *) "h", { 4000, 1000, 0 }
  };
  HsSubmission job = { .id = "a",
                       .customer = "c",
                       .service = "s",
                       .spec = "",
                       .n_tasks = 1,
                       .needs = { 1000, 10, 0 },
                       .time_left = HS_SEC,
                       .slack_factor = 2,
                       .slack = HS_SEC };

  (void) state;
  report.info = &info;
  read_all (5, "op/evacuate/dc1");
  hs_targets_connect (entry->targets, 1, "dc1", HS_SEC);
  hs_targets_connect (entry->targets, 2, "dc2", HS_SEC);
  hs_targets_apply_report (entry->targets, 0, &report, HS_SEC);
  hs_targets_apply_report (entry->targets, 1, &report, HS_SEC);
  hs_jobs_submit (entry->jobs, &job, HS_SEC);
  hs_entry_orders_flush (entry, 2 * HS_SEC);
  assert_int_equal (n_backlogs[0], 0);
  assert_int_equal (n_backlogs[1], 1);
  /* It was asked before the evacuation. */
  entry->links[0].backlog_sent = true;
  hs_entry_orders_flush (entry, 3 * HS_SEC);
  assert_int_equal (n_backlogs[0], 0);
  assert_false (entry->links[0].backlog_sent);
}

/* Guards against changes for deployments whose settings don't have the key. */
static void
nothing_changes_where_evacuation_is_not_in_use (void **state)
{
  HsDirectEntry *other = talloc_zero (NULL, HsDirectEntry);

  (void) state;
  settings.evacuation_limit = 0;
  other->settings = &settings;
  hs_entry_evacuations_start (other);
  hs_entry_config_start (other);
  assert_string_equal (last_read, HS_CONFIGURATION_KEY);
  read_done (other, &(HsStoreReply){ .status = HS_STORE_OK, .revision = 5 });
  assert_string_equal (watched, HS_CONFIGURATION_KEY);
  assert_int_equal (watched_from, 6);
  assert_true (hs_entry_evacuations_allow_jobs (other));
  hs_entry_evacuations_receive (other, &entry->peers[0],
                                &(hsx_evacuations_args){ .revision = 7 });
  hs_entry_evacuations_agent_connected (other, entry->links[0].conn);
  assert_int_equal (n_sent, 0);
  talloc_free (other);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (the_watch_follows_on_the_first_read),
    TEST (each_change_is_sent_to_agents_and_entries_at_once),
    TEST (an_entry_without_the_store_learns_the_set_from_another),
    TEST (a_read_or_set_of_the_past_changes_nothing),
    TEST (a_watch_that_receives_nothing_does_not_matter),
    TEST (a_dropped_history_is_read_again),
    TEST (an_incomplete_read_is_repeated),
    TEST (invalid_and_other_keys_are_ignored),
    TEST (each_new_connection_gets_the_set),
    TEST (evacuated_agents_are_not_asked_for_resources),
    TEST (nothing_changes_where_evacuation_is_not_in_use),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
