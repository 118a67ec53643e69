/* Which requests in progress are dropped when their memory is exhausted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "http/body_budget.h"

#define KB ((size_t) 1024)
#define N_CLIENTS 40
#define BUDGET_BYTES (N_CLIENTS * HS_CONNECTION_BYTES + 512 * KB)
#define MAX_SOCKETS 1024
#define RANDOM_STEPS 20000

/** A host, in MB, and the sockets of its servers. */
#define HOST_MB 160
#define N_RECEIVERS 4000

typedef struct
{
  HsBodyShare *share;
  size_t bytes;
  bool dropped;
  bool closed;
  bool complete;
} Client;

static HsBodyBudget *budget;
static HsBodyServer server;
static Client clients[N_CLIENTS];

static void
on_drop (void *arg)
{
  Client *client = arg;

  assert_false (client->complete);
  client->dropped = true;
  client->bytes = 0;
}

static void
on_close (void *arg)
{
  Client *client = arg;

  assert_false (client->complete);
  client->closed = true;
}

static const HsBodyEffects EFFECTS = { on_drop, on_close };

static int
set_up (void **state)
{
  (void) state;
  memset (clients, 0, sizeof clients);
  server = (HsBodyServer){ .max_connections = N_CLIENTS,
                           .connection_bytes = HS_CONNECTION_BYTES };
  budget = hs_body_budget_new (NULL, BUDGET_BYTES, MAX_SOCKETS);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  talloc_free (budget);
  return 0;
}

static void
connect_client (Client *client, HsTime now)
{
  memset (client, 0, sizeof *client);
  client->share
      = hs_body_share_new (budget, budget, &server, &EFFECTS, client, now);
}

/* Begins a body and receives a part of it; returns whether it was held. */
static bool
receive (Client *client, size_t n, size_t missing, HsTime now)
{
  hs_body_share_begin (client->share, now);
  hs_body_share_received (client->share, n, now);
  hs_body_share_expect (client->share, missing);
  if (!hs_body_share_reserve (client->share, client->bytes + n, now))
    {
      client->bytes = 0;
      return false;
    }
  client->bytes += n;
  return true;
}

static void
connect_all (void)
{
  unsigned int i;

  for (i = 0; i < N_CLIENTS; i++)
    connect_client (&clients[i], 0);
}

/* Guards against limits that refuse what the smallest known hosts must serve,
   or that exceed them. */
static void
limits_follow_the_host (void **state)
{
  HsBodyLimits limits = hs_body_limits (160, 4100);

  (void) state;
  assert_int_equal (limits.connections, 3500);
  assert_int_equal (limits.handshakes, 128);
  assert_int_equal (hs_body_limits (160, 10250).handshakes, 384);
  assert_true (limits.bytes >= 3500 * (HS_CONNECTION_BYTES + 10000));
  assert_true (limits.bytes <= 130 * KB * KB);
  assert_int_equal (hs_body_limits (0, 0).bytes, limits.bytes);
  limits = hs_body_limits (120, 3075);
  assert_in_range (limits.connections, 2000, 2475);
  assert_true (limits.bytes < 90 * KB * KB);
  /* Two whole announcements, at an agent. */
  assert_true (hs_body_limits (128, 4100).bytes > 8192 * KB);
  assert_true (hs_body_limits (1, 1).bytes >= 8192 * KB);
  assert_true (hs_body_limits (1, 1).connections > 0);
}

static void
a_silent_body_is_dropped_for_one_that_arrives (void **state)
{
  (void) state;
  connect_all ();
  assert_true (receive (&clients[0], 250 * KB, 5, 0));
  assert_true (receive (&clients[1], 250 * KB, 5, 2 * HS_SEC));
  assert_true (receive (&clients[2], 100 * KB, 100 * KB, 3 * HS_SEC));
  assert_true (clients[0].dropped);
  assert_false (clients[1].dropped);
}

static void
bytes_missing_and_rate_tell_progress (void **state)
{
  unsigned int i;

  (void) state;
  connect_all ();
  assert_true (receive (&clients[0], 150 * KB, 5, 0));
  assert_true (receive (&clients[1], 150 * KB, 100 * KB, 0));
  assert_true (receive (&clients[2], 150 * KB, 100 * KB, 0));
  /* Both go on receiving, one of them a byte at a time. */
  for (i = 1; i <= 20; i++)
    {
      hs_body_share_received (clients[0].share, 1, i * 100 * HS_MSEC);
      hs_body_share_received (clients[1].share, 1, i * 100 * HS_MSEC);
      hs_body_share_received (clients[2].share, 1 * KB, i * 100 * HS_MSEC);
    }
  assert_true (receive (&clients[3], 100 * KB, 1, 2 * HS_SEC));
  assert_false (clients[0].dropped);
  assert_true (clients[1].dropped);
  assert_false (clients[2].dropped);
}

static void
the_body_that_grows_may_be_the_one_to_drop (void **state)
{
  (void) state;
  connect_all ();
  assert_true (receive (&clients[0], 200 * KB, 200 * KB, 0));
  assert_true (receive (&clients[1], 300 * KB, 10, 4 * HS_SEC));
  hs_body_share_received (clients[0].share, 1, 4 * HS_SEC);
  assert_false (hs_body_share_reserve (clients[0].share, 300 * KB, 4 * HS_SEC));
  assert_false (clients[1].dropped);
  assert_int_equal (hs_body_budget_stats (budget).dropped_bodies, 1);
  assert_int_equal (hs_body_budget_stats (budget).bytes,
                    N_CLIENTS * HS_CONNECTION_BYTES + 300 * KB);
}

/* Guards against ordinary callers that suffer from large bodies. */
static void
ordinary_bodies_are_kept_for_large_ones (void **state)
{
  unsigned int i;

  (void) state;
  connect_all ();
  for (i = 0; i < N_CLIENTS - 1; i++)
    assert_true (receive (&clients[i], 13 * KB, 1 * KB, 0));
  assert_false (receive (&clients[N_CLIENTS - 1], 200 * KB, 1, HS_SEC));
  for (i = 0; i < N_CLIENTS - 1; i++)
    assert_false (clients[i].dropped);
  /* Another one of ordinary size takes the place of a silent one. */
  assert_true (receive (&clients[N_CLIENTS - 1], 10 * KB, 1, 20 * HS_SEC));
  assert_int_equal (hs_body_budget_stats (budget).dropped_bodies, 2);
}

static void
a_complete_request_is_never_dropped (void **state)
{
  unsigned int i;

  (void) state;
  connect_all ();
  assert_true (receive (&clients[0], 400 * KB, 0, 0));
  hs_body_share_complete (clients[0].share);
  clients[0].complete = true;
  assert_false (receive (&clients[1], 200 * KB, 1, 60 * HS_SEC));
  for (i = 2; i < N_CLIENTS; i++)
    TALLOC_FREE (clients[i].share);
  server.max_connections = 1;
  connect_client (&clients[2], 60 * HS_SEC);
  assert_true (clients[1].closed);
  assert_int_equal (server.n_connections, 2);
}

static void
the_connection_that_waits_longest_is_closed (void **state)
{
  (void) state;
  server.max_connections = 3;
  connect_client (&clients[0], 0);
  connect_client (&clients[1], 0);
  connect_client (&clients[2], HS_SEC);
  /* Answered, so that it waits for its next request only since then. */
  hs_body_share_begin (clients[0].share, 2 * HS_SEC);
  hs_body_share_complete (clients[0].share);
  hs_body_share_end (clients[0].share, 2 * HS_SEC);
  connect_client (&clients[3], 3 * HS_SEC);
  assert_true (clients[1].closed);
  assert_false (clients[0].closed || clients[2].closed || clients[3].closed);
  assert_int_equal (server.n_connections, 3);
  TALLOC_FREE (clients[1].share);
  assert_int_equal (server.n_connections, 3);
  assert_int_equal (hs_body_budget_stats (budget).bytes,
                    3 * HS_CONNECTION_BYTES);
}

/* Guards against a pass over all connections for each new one. */
static void
a_pass_closes_more_of_the_silent_connections (void **state)
{
  static Client many[200];
  unsigned int n_closed = 0;
  unsigned int i;

  (void) state;
  server.max_connections = G_N_ELEMENTS (many) - 1;
  for (i = 0; i < G_N_ELEMENTS (many); i++)
    connect_client (&many[i], i < 100 ? 0 : 2 * HS_SEC);
  for (i = 0; i < G_N_ELEMENTS (many); i++)
    n_closed += many[i].closed;
  assert_int_equal (n_closed, 1 + (G_N_ELEMENTS (many) - 1) / 64);
  assert_false (many[G_N_ELEMENTS (many) - 1].closed);
}

static void
reports_come_once_a_second (void **state)
{
  HsBodyStats stats;
  unsigned int i;

  (void) state;
  server.max_connections = 1;
  assert_false (hs_body_budget_report (budget, 0, &stats));
  for (i = 0; i < 3; i++)
    connect_client (&clients[i], 0);
  assert_true (hs_body_budget_report (budget, 0, &stats));
  assert_int_equal (stats.closed_connections, 2);
  connect_client (&clients[3], HS_MSEC);
  assert_false (hs_body_budget_report (budget, HS_MSEC, &stats));
  assert_true (hs_body_budget_report (budget, HS_SEC, &stats));
  assert_int_equal (stats.closed_connections, 1);
  assert_false (hs_body_budget_report (budget, 3 * HS_SEC, &stats));
}

/* Guards against a budget that is exceeded, or whose count drifts. */
static void
random_bodies_stay_within_the_budget (void **state)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  HsTime now = 0;
  unsigned int step;

  (void) state;
  connect_all ();
  for (step = 0; step < RANDOM_STEPS; step++)
    {
      Client *client = &clients[g_rand_int_range (rand, 0, N_CLIENTS)];
      size_t sum = N_CLIENTS * HS_CONNECTION_BYTES;
      unsigned int i;

      now += g_rand_int_range (rand, 0, 20 * HS_MSEC);
      if (client->complete || client->dropped
          || g_rand_int_range (rand, 0, 9) == 0)
        {
          hs_body_share_end (client->share, now);
          client->bytes = 0;
          client->complete = client->dropped = false;
        }
      else if (g_rand_int_range (rand, 0, 9) == 0)
        {
          hs_body_share_begin (client->share, now);
          hs_body_share_complete (client->share);
          client->complete = true;
        }
      else
        receive (client, (size_t) g_rand_int_range (rand, 1, 50000),
                 (size_t) g_rand_int_range (rand, 0, 250000), now);
      for (i = 0; i < N_CLIENTS; i++)
        sum += clients[i].bytes;
      assert_int_equal (hs_body_budget_stats (budget).bytes, sum);
      assert_true (sum <= BUDGET_BYTES);
    }
  assert_true (hs_body_budget_stats (budget).dropped_bodies > 0);
}

/* Guards against received bytes that no bound counts, and against narrow
   windows while few connections are open. */
static void
few_connections_have_large_receive_buffers (void **state)
{
  size_t bytes = hs_body_limits (HOST_MB, 0).bytes;
  HsBodyBudget *host = hs_body_budget_new (NULL, bytes, N_RECEIVERS);
  size_t base = hs_body_budget_receive_bytes (host);
  HsBodyShare *shares[N_RECEIVERS];
  unsigned int n_large = 0;
  size_t sum = 0;
  unsigned int i;

  (void) state;
  server.max_connections = N_RECEIVERS;
  for (i = 0; i < N_RECEIVERS; i++)
    {
      shares[i] = hs_body_share_new (host, host, &server, &EFFECTS, NULL, 0);
      sum += hs_body_share_receive_bytes (shares[i]);
      n_large += hs_body_share_receive_bytes (shares[i]) > base;
    }
  assert_int_equal (n_large, 128);
  assert_true (hs_body_share_receive_bytes (shares[0]) >= 64 * KB);
  /* With the budget, it leaves the process its 32 MB. */
  assert_true (sum + bytes <= (HOST_MB - 32) * KB * KB);
  talloc_free (shares[0]);
  shares[0] = hs_body_share_new (host, host, &server, &EFFECTS, NULL, 0);
  assert_true (hs_body_share_receive_bytes (shares[0]) > base);
  for (i = 0; i < N_RECEIVERS; i++)
    talloc_free (shares[i]);
  talloc_free (host);
}

/* Guards against decoded requests whose memory no bound counts, and against
   kept memory that leaves none for ordinary bodies. */
static void
kept_bodies_leave_memory_to_ordinary_ones (void **state)
{
  static const struct
  {
    size_t bytes;
    bool kept;
  } cases[] = { { 300 * KB, true }, { 100 * KB, false }, { 10 * KB, true } };
  size_t n_kept = 0;
  size_t i;

  (void) state;
  connect_all ();
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t bytes = 0;

      assert_true (receive (&clients[i], cases[i].bytes, 0, 0));
      hs_body_share_complete (clients[i].share);
      assert_int_equal (hs_body_share_keep (clients[i].share, &bytes),
                        cases[i].kept);
      assert_int_equal (bytes, cases[i].kept ? cases[i].bytes : 0);
      hs_body_share_end (clients[i].share, 0);
      n_kept += bytes;
      assert_int_equal (hs_body_budget_stats (budget).bytes,
                        N_CLIENTS * HS_CONNECTION_BYTES + n_kept);
    }
  hs_body_budget_release (budget, n_kept);
  assert_int_equal (hs_body_budget_stats (budget).bytes,
                    N_CLIENTS * HS_CONNECTION_BYTES);
}

/* Guards against memory that is kept while few connections are open, and that
   leaves none for ordinary bodies when there are more. */
static void
kept_bodies_leave_memory_to_later_connections (void **state)
{
  size_t n_kept = 0;
  size_t bytes = 0;
  unsigned int i;

  (void) state;
  connect_client (&clients[0], 0);
  while (receive (&clients[0], 50 * KB, 0, 0)
         && hs_body_share_keep (clients[0].share, &bytes))
    {
      n_kept += bytes;
      hs_body_share_end (clients[0].share, 0);
      clients[0].bytes = 0;
    }
  hs_body_share_end (clients[0].share, 0);
  for (i = 1; i < N_CLIENTS; i++)
    connect_client (&clients[i], 0);
  assert_true (receive (&clients[1], 10 * KB, 0, 0));
  hs_body_budget_release (budget, n_kept);
}

#define BUDGET_TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    BUDGET_TEST (few_connections_have_large_receive_buffers),
    BUDGET_TEST (kept_bodies_leave_memory_to_ordinary_ones),
    BUDGET_TEST (kept_bodies_leave_memory_to_later_connections),
    BUDGET_TEST (limits_follow_the_host),
    BUDGET_TEST (a_silent_body_is_dropped_for_one_that_arrives),
    BUDGET_TEST (bytes_missing_and_rate_tell_progress),
    BUDGET_TEST (the_body_that_grows_may_be_the_one_to_drop),
    BUDGET_TEST (ordinary_bodies_are_kept_for_large_ones),
    BUDGET_TEST (a_complete_request_is_never_dropped),
    BUDGET_TEST (the_connection_that_waits_longest_is_closed),
    BUDGET_TEST (a_pass_closes_more_of_the_silent_connections),
    BUDGET_TEST (reports_come_once_a_second),
    BUDGET_TEST (random_bodies_stay_within_the_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
