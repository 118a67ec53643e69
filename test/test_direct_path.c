/* End-to-end tests with real processes: callers, entries, agents, targets and
   the store. */
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

#define N_ENTRIES 2
#define N_AGENTS 3
#define CPU_MILLI 4000

static Cluster cluster;
static unsigned int next_id;

static ClusterReply
submit (unsigned int entry, const char *spec, unsigned int n, long deadline_ms)
{
  char id[20];

  g_snprintf (id, sizeof id, "%016x", ++next_id);
  return cluster_submit (&cluster, entry, id, spec, n, 1000, deadline_ms);
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
  cluster_init (&cluster, build, dir, N_ENTRIES, N_AGENTS, CPU_MILLI);
  cluster_start (&cluster, CLUSTER_STORE, 0);
  cluster_sleep_ms (200);
  cluster_configure (&cluster, 1, NULL);
  cluster_start_all (&cluster);
  for (i = 0; i < N_ENTRIES; i++)
    if (!cluster_await_ready (&cluster, i, 10000))
      return -1;
  /* Gives every agent time to learn its target's address. */
  cluster_sleep_ms (600);
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  cluster_kill_all (&cluster);
  return 0;
}

static void
job_completes (void **state)
{
  ClusterReply reply = submit (0, "ms=50", 5, 3000);

  (void) state;
  assert_int_equal (reply.status, 200);
  assert_string_equal (reply.body, "{\"state\":\"completed\"}");
}

static void
unserved_requests_are_refused_at_once (void **state)
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
configuration_change_applies_within_two_seconds (void **state)
{
  unsigned int i;

  (void) state;
  cluster_configure (&cluster, 3, "/more/");
  cluster_sleep_ms (2000);
  for (i = 0; i < N_ENTRIES; i++)
    assert_int_equal (cluster_call ("GET", cluster.addresses[CLUSTER_ENTRY][i],
                                    "/more/", NULL, 1000)
                          .status,
                      200);
  cluster_configure (&cluster, 5, NULL);
  cluster_sleep_ms (2000);
  for (i = 0; i < N_ENTRIES; i++)
    assert_int_equal (cluster_call ("GET", cluster.addresses[CLUSTER_ENTRY][i],
                                    "/more/", NULL, 1000)
                          .status,
                      404);
}

static void
entry_starts_from_a_peers_configuration_without_the_store (void **state)
{
  (void) state;
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault",
                "{\"down\":true}", 1000);
  cluster_kill (&cluster, CLUSTER_ENTRY, 1);
  cluster_start (&cluster, CLUSTER_ENTRY, 1);
  assert_true (cluster_await_ready (&cluster, 1, 3000));
  cluster_sleep_ms (300);
  assert_int_equal (submit (1, "ms=50", 2, 3000).status, 200);
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault", "{}",
                1000);
}

static void
killed_agent_recovers (void **state)
{
  unsigned int i;

  (void) state;
  for (i = 0; i < N_AGENTS; i++)
    cluster_kill (&cluster, CLUSTER_AGENT, i);
  for (i = 0; i < N_AGENTS; i++)
    cluster_start (&cluster, CLUSTER_AGENT, i);
  cluster_sleep_ms (1200);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

static void
stopping_entry_answers_its_jobs (void **state)
{
  (void) state;
  cluster_signal (&cluster, CLUSTER_ENTRY, 1, SIGTERM);
  cluster_sleep_ms (50);
  assert_int_equal (
      cluster_call ("GET", cluster.ready_addresses[1], "/-/readyz", NULL, 500)
          .status,
      503);
  assert_int_equal (submit (1, "ms=300", 2, 3000).status, 200);
  assert_true (cluster_await_exit (&cluster, CLUSTER_ENTRY, 1, 6000));
  cluster_start (&cluster, CLUSTER_ENTRY, 1);
  assert_true (cluster_await_ready (&cluster, 1, 3000));
}

static void
tasks_of_a_disconnected_caller_are_stopped (void **state)
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
  cluster_sleep_ms (500);
  for (i = 0; i < N_AGENTS; i++)
    running += cluster_target_counter (&cluster, i, "running");
  assert_int_equal (running, 0);
}

static void
lost_and_late_orders_never_overload_a_target (void **state)
{
  unsigned int done = 0;
  unsigned int i;

  (void) state;
  for (i = 0; i < N_AGENTS; i++)
    cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault",
                  "{\"late_percent\":10,\"lost_percent\":10}", 1000);
  for (i = 0; i < 40; i++)
    done += submit (i % N_ENTRIES, "ms=40", 8, 3000).status == 200;
  for (i = 0; i < N_AGENTS; i++)
    cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault", "{}",
                  1000);
  assert_true (done >= 36);
  cluster_sleep_ms (1000);
  assert_false (cluster_logs_contain (&cluster, CLUSTER_TARGET, "BROKEN"));
  for (i = 0; i < N_AGENTS; i++)
    assert_true (cluster_target_counter (&cluster, i, "most") <= CPU_MILLI);
}

/* A caller that waits longer than its route's timeout is served. */
static void
caller_deadline_overrides_the_route_timeout (void **state)
{
  (void) state;
  assert_int_equal (submit (0, "ms=1800", 1, 4000).status, 200);
}

static void *
submit_long_job (void *reply)
{
  *(ClusterReply *) reply = cluster_submit (&cluster, 0, "00000000000e0001",
                                            "ms=4000", 3, 1000, 8000);
  return NULL;
}

/* Guards against tasks that are started and run on although their job was
   cancelled: the DELETE reached another entry than the job. */
static void
a_job_is_cancelled_at_any_entry (void **state)
{
  static ClusterReply reply; /* The caller may outlive a failed check. */
  const char *other = cluster.addresses[CLUSTER_ENTRY][1];
  GThread *caller = g_thread_new ("caller", submit_long_job, &reply);

  (void) state;
  cluster_sleep_ms (500);
  assert_int_equal (
      cluster_call ("DELETE", other, "/q/00000000000e0001", NULL, 2000).status,
      200);
  g_thread_join (caller);
  assert_int_equal (reply.status, 200);
  assert_string_equal (reply.body, "{\"state\":\"cancelled\"}");
  assert_true (reply.seconds < 3);
  assert_int_equal (
      cluster_call ("DELETE", other, "/q/00000000000e0001", NULL, 2000).status,
      410);
}

static void *
submit_to_paused_entry (void *reply)
{
  *(ClusterReply *) reply = submit (0, "ms=50", 1, 4000);
  return NULL;
}

/* Guards against a job that starts after its caller has sent it again: an entry
   that was paused takes what waited for it as new. */
static void
requests_that_waited_for_a_paused_entry_are_refused (void **state)
{
  unsigned int i;

  (void) state;
  for (i = 0; i < 8; i++)
    {
      ClusterReply reply;
      GThread *caller;

      cluster_signal (&cluster, CLUSTER_ENTRY, 0, SIGSTOP);
      caller = g_thread_new ("caller", submit_to_paused_entry, &reply);
      cluster_sleep_ms (700);
      cluster_signal (&cluster, CLUSTER_ENTRY, 0, SIGCONT);
      g_thread_join (caller);
      assert_int_equal (reply.status, 503);
      cluster_sleep_ms (600);
    }
}

/* Calls to the previous address are in flight when the next one is announced.
 */
static void
agent_survives_changes_of_its_targets_address (void **state)
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

      cluster_sleep_ms (15);
      assert_int_equal (cluster_call ("PUT",
                                      cluster.addresses[CLUSTER_AGENT][0], path,
                                      body, 500)
                                .status
                            / 100,
                        2);
    }
  cluster_signal (&cluster, CLUSTER_TARGET, 0, SIGCONT);
  cluster_sleep_ms (300);
  assert_int_equal (waitpid (cluster.pids[CLUSTER_AGENT][0], NULL, WNOHANG), 0);
  cluster_kill (&cluster, CLUSTER_TARGET, 0);
  cluster_start (&cluster, CLUSTER_TARGET, 0);
  cluster_sleep_ms (2000);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

static void
draining_target_gets_no_new_tasks (void **state)
{
  long before;

  (void) state;
  cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][0], "/fault",
                "{\"draining\":true}", 1000);
  cluster_sleep_ms (400);
  before = cluster_target_counter (&cluster, 0, "started");
  assert_int_equal (submit (0, "ms=30", 6, 3000).status, 200);
  assert_int_equal (cluster_target_counter (&cluster, 0, "started"), before);
}

static void
set_capacities (const char *fault)
{
  unsigned int i;

  for (i = 0; i < N_AGENTS; i++)
    cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault", fault,
                  1000);
  /* Until they are announced and reported. */
  cluster_sleep_ms (900);
}

static void
capacity_that_shrinks_and_grows_is_followed (void **state)
{
  ClusterReply reply;
  unsigned int done = 0;
  unsigned int i;

  (void) state;
  set_capacities ("{\"cpu_milli\":1000}");
  reply = cluster_submit (&cluster, 0, "00000000000c0001", "ms=20", 1, 2000,
                          3000);
  assert_int_equal (reply.status, 503);
  assert_true (reply.seconds < 0.5);
  cluster_sleep_ms (1500);
  for (i = 0; i < 20; i++)
    done += submit (i % N_ENTRIES, "ms=20", 3, 3000).status == 200;
  assert_true (done > 0);
  set_capacities ("{}");
  reply = cluster_submit (&cluster, 1, "00000000000c0002", "ms=20", 1, 2000,
                          3000);
  assert_int_equal (reply.status, 200);
  assert_false (cluster_logs_contain (&cluster, CLUSTER_TARGET, "BROKEN"));
}

static unsigned int
restart_crashed_targets (void)
{
  unsigned int n = 0;
  unsigned int i;

  for (i = 0; i < N_AGENTS; i++)
    if (waitpid (cluster.pids[CLUSTER_TARGET][i], NULL, WNOHANG) > 0)
      {
        cluster.pids[CLUSTER_TARGET][i] = 0;
        n++;
      }
  cluster_start_all (&cluster);
  cluster_sleep_ms (1000);
  return n;
}

/* A route whose jobs have no earlier run times, so that a job's own estimate of
   2 s counts. The caller sends the job again and again, to one entry after the
   other; targets that have crashed meanwhile are started again if @restart.
   @n_crashed receives their number. */
static ClusterReply
submit_crashing_job (const char *path,
                     const char *spec,
                     bool restart,
                     unsigned int *n_crashed)
{
  ClusterReply reply = { 0 };
  unsigned int i;

  *n_crashed = 0;
  for (i = 0; i < 4; i++)
    {
      reply = cluster_submit_to (&cluster, i % N_ENTRIES, path, spec, 1, 1000,
                                 2000, 6000);
      if (restart)
        *n_crashed += restart_crashed_targets ();
      cluster_sleep_ms (restart ? 300 : 1300);
    }
  *n_crashed += restart_crashed_targets ();
  return reply;
}

static void
crashing_task_takes_down_two_targets_whoever_is_asked (void **state)
{
  ClusterReply reply;
  unsigned int n_crashed;

  (void) state;
  cluster_configure (&cluster, 7, "/more/");
  cluster_sleep_ms (1000);
  reply = submit_crashing_job ("/more/00000000000d0001",
                               "ms=1900 cpu=1000 crash=30", true, &n_crashed);
  assert_int_equal (reply.status, 200);
  assert_string_equal (reply.body, "{\"state\":\"failed\"}");
  assert_true (reply.seconds < 0.5);
  assert_int_equal (n_crashed, 2);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

/* Nobody has answered in their place, so that they may go on behind a path that
   refuses connections. */
static void
targets_that_stay_away_may_not_have_crashed (void **state)
{
  ClusterReply reply;
  unsigned int n_crashed;

  (void) state;
  reply = submit_crashing_job ("/more/00000000000d0004",
                               "ms=1900 cpu=1000 crash=30", false, &n_crashed);
  assert_int_equal (reply.status, 503);
  assert_true (reply.seconds < 0.5);
  assert_int_equal (n_crashed, 2);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

/* Its target answers nothing for longer than its lease before its port is
   closed, so that the task may have been ended before the crash. */
static void
crashes_of_silent_targets_fail_no_job (void **state)
{
  unsigned int n_crashed;
  ClusterReply reply = submit_crashing_job ("/more/00000000000d0003",
                                            "ms=1900 cpu=1000 crash=30 "
                                            "silent=1200",
                                            true, &n_crashed);

  (void) state;
  assert_int_equal (reply.status, 503);
  assert_true (reply.seconds < 0.5);
  assert_in_range (n_crashed, 2, N_AGENTS);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

/* By its estimate the task may have ended before it crashes its target. */
static void
suspected_task_takes_down_two_targets_and_has_not_failed (void **state)
{
  unsigned int n_crashed;
  ClusterReply reply
      = submit_crashing_job ("/more/00000000000d0002",
                             "ms=1900 cpu=1000 crash=1200", true, &n_crashed);

  (void) state;
  assert_int_equal (reply.status, 503);
  assert_true (reply.seconds < 0.5);
  assert_int_equal (n_crashed, 2);
  assert_int_equal (submit (0, "ms=50", 3, 3000).status, 200);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (job_completes),
    cmocka_unit_test (unserved_requests_are_refused_at_once),
    cmocka_unit_test (configuration_change_applies_within_two_seconds),
    cmocka_unit_test (
        entry_starts_from_a_peers_configuration_without_the_store),
    cmocka_unit_test (killed_agent_recovers),
    cmocka_unit_test (stopping_entry_answers_its_jobs),
    cmocka_unit_test (tasks_of_a_disconnected_caller_are_stopped),
    cmocka_unit_test (lost_and_late_orders_never_overload_a_target),
    cmocka_unit_test (caller_deadline_overrides_the_route_timeout),
    cmocka_unit_test (a_job_is_cancelled_at_any_entry),
    cmocka_unit_test (requests_that_waited_for_a_paused_entry_are_refused),
    cmocka_unit_test (agent_survives_changes_of_its_targets_address),
    cmocka_unit_test (capacity_that_shrinks_and_grows_is_followed),
    cmocka_unit_test (crashing_task_takes_down_two_targets_whoever_is_asked),
    cmocka_unit_test (targets_that_stay_away_may_not_have_crashed),
    cmocka_unit_test (suspected_task_takes_down_two_targets_and_has_not_failed),
    cmocka_unit_test (crashes_of_silent_targets_fail_no_job),
    cmocka_unit_test (draining_target_gets_no_new_tasks),
  };

  return cmocka_run_group_tests (tests, setup, teardown);
}
