/* The whole path with real processes: callers, entries, agents, targets, the
   store. */
#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "platform_cluster.h"

#define ENTRIES 2
#define AGENTS 3
#define CPU 4000

static Cluster cluster;
static unsigned int next_id;

static ClusterReply
submit (unsigned int entry, const char *spec, unsigned int n, long left_ms)
{
  char id[20];

  g_snprintf (id, sizeof id, "%016x", ++next_id);
  return cluster_submit (&cluster, entry, id, spec, n, 1000, left_ms);
}

static int
setup (void **state)
{
  unsigned int i;
  char build[256];
  g_autofree char *dir = NULL;

  (void) state;
  cluster_build_dir (build);
  dir = g_strdup_printf ("%s/path-%d", build, (int) getpid ());
  cluster_init (&cluster, build, dir, ENTRIES, AGENTS, CPU);
  cluster_start (&cluster, CLUSTER_STORE, 0);
  cluster_pause (200);
  cluster_configure (&cluster, 1, NULL);
  cluster_start_all (&cluster);
  for (i = 0; i < ENTRIES; i++)
    if (!cluster_await_ready (&cluster, i, 10000))
      return -1;
  /* Every agent has its target by now, or soon. */
  cluster_pause (600);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  cluster_end (&cluster);
  return 0;
}

static void
a_job_is_run_whole (void **state)
{
  ClusterReply reply = submit (0, "ms=50", 5, 3000);

  (void) state;
  assert_int_equal (reply.status, 200);
  assert_string_equal (reply.body, "{\"state\":\"completed\"}");
}

static void
what_is_not_served_is_refused_at_once (void **state)
{
  const char *entry = cluster.addresses[CLUSTER_ENTRY][0];
  ClusterReply reply;

  (void) state;
  reply = cluster_call ("POST", entry, "/none/00ff", "{}", 2000);
  assert_int_equal (reply.status, 404);
  reply = cluster_call ("POST", entry, "/q/00ff",
                        "{\"spec\":\"\",\"steps\":[{\"count\":1}]}", 2000);
  assert_int_equal (reply.status, 503);
  assert_true (atoi (reply.retry_after) > 0);
  reply = cluster_call ("POST", entry, "/q/00ff", "{", 2000);
  assert_int_equal (reply.status, 400);
  reply = cluster_call ("GET", entry, "/q/00ff", NULL, 2000);
  assert_int_equal (reply.status, 410);
  reply = cluster_call ("GET", entry, "/q/", NULL, 2000);
  assert_string_equal (reply.body, "{\"pending\":0}");
}

static void
a_change_of_the_configuration_is_in_force_in_two_seconds (void **state)
{
  unsigned int i;

  (void) state;
  cluster_configure (&cluster, 3, "/more/");
  cluster_pause (2000);
  for (i = 0; i < ENTRIES; i++)
    assert_int_equal (cluster_call ("GET", cluster.addresses[CLUSTER_ENTRY][i],
                                    "/more/", NULL, 1000)
                          .status,
                      200);
  cluster_configure (&cluster, 5, NULL);
  cluster_pause (2000);
  for (i = 0; i < ENTRIES; i++)
    assert_int_equal (cluster_call ("GET", cluster.addresses[CLUSTER_ENTRY][i],
                                    "/more/", NULL, 1000)
                          .status,
                      404);
}

static void
without_the_store_an_entry_starts_on_its_peers_configuration (void **state)
{
  (void) state;
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault",
                "{\"down\":true}", 1000);
  cluster_kill (&cluster, CLUSTER_ENTRY, 1);
  cluster_start (&cluster, CLUSTER_ENTRY, 1);
  assert_true (cluster_await_ready (&cluster, 1, 3000));
  cluster_pause (300);
  assert_int_equal (submit (1, "ms=50", 2, 3000).status, 200);
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault", "{}",
                1000);
}

static void
a_killed_agent_serves_again (void **state)
{
  unsigned int i;

  (void) state;
  for (i = 0; i < AGENTS; i++)
    cluster_kill (&cluster, CLUSTER_AGENT, i);
  for (i = 0; i < AGENTS; i++)
    cluster_start (&cluster, CLUSTER_AGENT, i);
  cluster_pause (1200);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

static void
a_stopping_entry_answers_what_it_has (void **state)
{
  (void) state;
  cluster_signal (&cluster, CLUSTER_ENTRY, 1, SIGTERM);
  cluster_pause (50);
  assert_int_equal (
      cluster_call ("GET", cluster.ready[1], "/-/readyz", NULL, 500).status,
      503);
  assert_int_equal (submit (1, "ms=300", 2, 3000).status, 200);
  assert_true (cluster_await_end (&cluster, CLUSTER_ENTRY, 1, 6000));
  cluster_start (&cluster, CLUSTER_ENTRY, 1);
  assert_true (cluster_await_ready (&cluster, 1, 3000));
}

static void
the_tasks_of_a_caller_that_leaves_are_stopped (void **state)
{
  long running = 0;
  unsigned int i;
  char id[20];
  g_autofree char *path = NULL;

  (void) state;
  g_snprintf (id, sizeof id, "%016x", ++next_id);
  path = g_strdup_printf ("/q/%s", id);
  cluster_call ("POST", cluster.addresses[CLUSTER_ENTRY][0], path,
                "{\"spec\":\"ms=5000 cpu=1000\",\"best_effort\":true,"
                "\"steps\":[{\"count\":3,\"cpu\":1000,\"estimate_ms\":5000}]}",
                300);
  cluster_pause (500);
  for (i = 0; i < AGENTS; i++)
    running += cluster_state (&cluster, i, "running");
  assert_int_equal (running, 0);
}

static void
lost_and_late_orders_never_overfill_a_target (void **state)
{
  unsigned int done = 0;
  unsigned int i;

  (void) state;
  for (i = 0; i < AGENTS; i++)
    cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault",
                  "{\"late_percent\":10,\"lost_percent\":10}", 1000);
  for (i = 0; i < 40; i++)
    done += submit (i % ENTRIES, "ms=40", 8, 3000).status == 200;
  for (i = 0; i < AGENTS; i++)
    cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault", "{}",
                  1000);
  assert_true (done >= 36);
  cluster_pause (1000);
  assert_false (cluster_log_has (&cluster, CLUSTER_TARGET, "BROKEN"));
  for (i = 0; i < AGENTS; i++)
    assert_true (cluster_state (&cluster, i, "most") <= CPU);
}

/* A caller that waits longer than its route's timeout is served. */
static void
a_caller_may_wait_longer_than_its_route_says (void **state)
{
  (void) state;
  assert_int_equal (submit (0, "ms=1800", 1, 4000).status, 200);
}

/* Calls to the earlier place are under way when the next one is told. */
static void
an_agent_outlives_changes_of_its_targets_place (void **state)
{
  unsigned int i;

  (void) state;
  cluster_signal (&cluster, CLUSTER_TARGET, 0, SIGSTOP);
  for (i = 1; i <= 8; i++)
    {
      g_autofree char *path = g_strdup_printf ("/-/instances/other%u", i);
      g_autofree char *body = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"slots\":8,"
          "\"state\":\"ready\",\"sequence\":1,\"born\":%" PRId64
          ",\"capacity\":{\"cpu\":4000,\"mem_mb\":1000,\"gpu\":0},"
          "\"labels\":[]}",
          cluster.addresses[CLUSTER_TARGET][0], g_get_real_time () / 1000);

      cluster_pause (15);
      assert_int_equal (cluster_call ("PUT",
                                      cluster.addresses[CLUSTER_AGENT][0], path,
                                      body, 500)
                                .status
                            / 100,
                        2);
    }
  cluster_signal (&cluster, CLUSTER_TARGET, 0, SIGCONT);
  cluster_pause (300);
  assert_int_equal (waitpid (cluster.pids[CLUSTER_AGENT][0], NULL, WNOHANG), 0);
  cluster_kill (&cluster, CLUSTER_TARGET, 0);
  cluster_start (&cluster, CLUSTER_TARGET, 0);
  cluster_pause (2000);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

static void
a_target_that_leaves_gets_nothing_new (void **state)
{
  long before;

  (void) state;
  cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][0], "/fault",
                "{\"draining\":true}", 1000);
  cluster_pause (400);
  before = cluster_state (&cluster, 0, "started");
  assert_int_equal (submit (0, "ms=30", 6, 3000).status, 200);
  assert_int_equal (cluster_state (&cluster, 0, "started"), before);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_job_is_run_whole),
    cmocka_unit_test (what_is_not_served_is_refused_at_once),
    cmocka_unit_test (a_change_of_the_configuration_is_in_force_in_two_seconds),
    cmocka_unit_test (
        without_the_store_an_entry_starts_on_its_peers_configuration),
    cmocka_unit_test (a_killed_agent_serves_again),
    cmocka_unit_test (a_stopping_entry_answers_what_it_has),
    cmocka_unit_test (the_tasks_of_a_caller_that_leaves_are_stopped),
    cmocka_unit_test (lost_and_late_orders_never_overfill_a_target),
    cmocka_unit_test (a_caller_may_wait_longer_than_its_route_says),
    cmocka_unit_test (an_agent_outlives_changes_of_its_targets_place),
    cmocka_unit_test (a_target_that_leaves_gets_nothing_new),
  };

  return cmocka_run_group_tests (tests, setup, teardown);
}
