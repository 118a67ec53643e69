/* Evacuations with real processes: operators' keys, entries, agents, targets.
   Agent 0 is in data centre z0, agent 1 in z1 and so on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "platform_cluster.h"

#define N_ENTRIES 2
#define N_AGENTS 3
#define CPU_MILLI 4000

/** A key is in force in less time in calm, also on a busy machine. */
#define CALM_MS 1000

static Cluster cluster;
static unsigned int next_id;

static ClusterReply
submit (unsigned int entry, const char *spec, unsigned int n)
{
  char id[20];

  g_snprintf (id, sizeof id, "%016x", ++next_id);
  return cluster_submit (&cluster, entry, id, spec, n, 1000, 3000);
}

static void
operate (const char *method, unsigned int data_centre)
{
  g_autofree char *path = g_strdup_printf ("/op/evacuate/z%u", data_centre);

  cluster_call (method, cluster.addresses[CLUSTER_STORE][0], path, "{}", 1000);
}

static long
n_started (unsigned int target)
{
  return cluster_target_counter (&cluster, target, "started");
}

static void
set_store_fault (const char *fault)
{
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault", fault,
                1000);
}

static int
setup (void **state)
{
  unsigned int i;
  char build[256];
  g_autofree char *dir = NULL;

  (void) state;
  cluster_build_dir (build);
  dir = g_strdup_printf ("%s/evacuation-%d", build, (int) getpid ());
  cluster_init (&cluster, build, dir, N_ENTRIES, N_AGENTS, CPU_MILLI);
  cluster.evacuate_ms = 5000;
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

/* Guards against starts in an evacuated data centre, and against one that stays
   unused after its evacuation. Eight tasks fill the two other targets. */
static void
jobs_run_elsewhere_until_the_key_is_deleted (void **state)
{
  unsigned int i;
  long before;

  (void) state;
  assert_int_equal (submit (0, "ms=100", 12).status, 200);
  assert_true (n_started (1) > 0);
  operate ("PUT", 1);
  cluster_sleep_ms (CALM_MS);
  before = n_started (1);
  for (i = 0; i < 6; i++)
    assert_int_equal (submit (i % N_ENTRIES, "ms=100", 8).status, 200);
  assert_int_equal (n_started (1), before);
  operate ("DELETE", 1);
  cluster_sleep_ms (CALM_MS);
  assert_int_equal (submit (1, "ms=100", 12).status, 200);
  assert_true (n_started (1) > before);
}

/* Guards against processes that start without the evacuations in force, as the
   store can't be read: they learn them from the other entry. */
static void
restarted_processes_know_the_evacuations_without_the_store (void **state)
{
  unsigned int i;
  long before;

  (void) state;
  operate ("PUT", 1);
  cluster_sleep_ms (CALM_MS);
  before = n_started (1);
  set_store_fault ("{\"down\":true}");
  cluster_kill (&cluster, CLUSTER_ENTRY, 1);
  cluster_kill (&cluster, CLUSTER_AGENT, 1);
  cluster_start_all (&cluster);
  assert_true (cluster_await_ready (&cluster, 1, 3000));
  cluster_sleep_ms (1500);
  for (i = 0; i < 6; i++)
    assert_int_equal (submit (1, "ms=100", 8).status, 200);
  assert_int_equal (n_started (1), before);
  set_store_fault ("{}");
  operate ("DELETE", 1);
  cluster_sleep_ms (4000);
  assert_int_equal (submit (1, "ms=100", 12).status, 200);
  assert_true (n_started (1) > before);
}

/* Guards against evacuations that are lost or kept for ever when the history of
   the store doesn't reach back to what the entries have seen. */
static void
changes_in_a_dropped_history_take_effect (void **state)
{
  long before;

  (void) state;
  operate ("PUT", 0);
  cluster_sleep_ms (CALM_MS);
  set_store_fault ("{\"silent\":true}");
  cluster_sleep_ms (500);
  operate ("DELETE", 0);
  operate ("PUT", 2);
  set_store_fault ("{\"compact\":true}");
  cluster_sleep_ms (4000);
  before = n_started (2);
  assert_int_equal (submit (0, "ms=100", 8).status, 200);
  assert_int_equal (submit (1, "ms=100", 8).status, 200);
  assert_int_equal (n_started (2), before);
  operate ("DELETE", 2);
  cluster_sleep_ms (CALM_MS);
}

static void *
submit_long_job (void *reply)
{
  *(ClusterReply *) reply = submit (0, "ms=1800", 12);
  return NULL;
}

/* Guards against tasks that are stopped by an evacuation, against jobs that
   wait for nothing, and against entries that leave the platform's rotation. */
static void
with_all_evacuated_running_tasks_end_and_new_jobs_are_refused (void **state)
{
  static ClusterReply running; /* The caller may outlive a failed check. */
  GThread *caller = g_thread_new ("caller", submit_long_job, &running);
  ClusterReply reply;
  unsigned int i;

  (void) state;
  cluster_sleep_ms (300);
  for (i = 0; i < N_AGENTS; i++)
    operate ("PUT", i);
  operate ("PUT", 7);
  cluster_call ("PUT", cluster.addresses[CLUSTER_STORE][0], "/op/evacuate/a/b",
                "{}", 1000);
  cluster_sleep_ms (CALM_MS);
  for (i = 0; i < N_ENTRIES; i++)
    {
      reply = submit (i, "ms=50", 1);
      assert_int_equal (reply.status, 503);
      assert_true (atoi (reply.retry_after) > 0);
      assert_true (reply.seconds < 0.5);
      assert_int_equal (cluster_call ("GET", cluster.ready_addresses[i],
                                      "/-/readyz", NULL, 500)
                            .status,
                        200);
    }
  g_thread_join (caller);
  assert_int_equal (running.status, 200);
  assert_true (cluster_logs_contain (&cluster, CLUSTER_ENTRY,
                                     "data_centre=op/evacuate/a/b "));
  assert_true (cluster_logs_contain (&cluster, CLUSTER_ENTRY, "why=evacuated"));
  for (i = 0; i < N_AGENTS; i++)
    operate ("DELETE", i);
  cluster_sleep_ms (CALM_MS);
  assert_int_equal (submit (0, "ms=50", 12).status, 200);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (jobs_run_elsewhere_until_the_key_is_deleted),
    cmocka_unit_test (
        restarted_processes_know_the_evacuations_without_the_store),
    cmocka_unit_test (changes_in_a_dropped_history_take_effect),
    cmocka_unit_test (
        with_all_evacuated_running_tasks_end_and_new_jobs_are_refused),
  };

  return cmocka_run_group_tests (tests, setup, teardown);
}
