/* Connections that go silent without a reset, between real processes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "platform_cluster.h"
#include "soak/proxy.h"

#define N_ENTRIES 3
#define N_AGENTS 1
#define CPU_MILLI 4000

/** The users' bounds: machines count as in touch this long after a reset of
 *  their connections, and a change is in force this long after it was made. */
#define CONTACT_MS 3000
#define CONFIG_APPLY_MS 2000

static Cluster cluster;
static unsigned int store_proxy;

static int
setup (void **state)
{
  unsigned int i;
  char build[256];
  g_autofree char *dir = NULL;

  (void) state;
  cluster_build_dir (build);
  dir = g_strdup_printf ("%s/silence-%d", build, (int) getpid ());
  cluster_init (&cluster, build, dir, N_ENTRIES, N_AGENTS, CPU_MILLI);
  proxy_init ();
  store_proxy = proxy_add (cluster.addresses[CLUSTER_STORE][0],
                           cluster.store_dial_address);
  cluster_start (&cluster, CLUSTER_STORE, 0);
  cluster_sleep_ms (200);
  cluster_configure (&cluster, 1, NULL);
  cluster_start_all (&cluster);
  for (i = 0; i < N_ENTRIES; i++)
    if (!cluster_await_ready (&cluster, i, 10000))
      return -1;
  return 0;
}

static int
teardown (void **state)
{
  (void) state;
  cluster_kill_all (&cluster);
  return 0;
}

static long
status_of_the_new_route (unsigned int entry)
{
  return cluster_call ("GET", cluster.addresses[CLUSTER_ENTRY][entry], "/more/",
                       NULL, 1000)
      .status;
}

/* Guards against an old configuration in use: all entries wait for a change on
   connections that have gone silent. */
static void
a_change_applies_after_the_connections_to_the_store_went_silent (void **state)
{
  unsigned int i;

  (void) state;
  /* Ends all waiting watches, so that the next ones begin together. */
  cluster_configure (&cluster, 3, NULL);
  cluster_sleep_ms (100);
  proxy_set (store_proxy, PROXY_SILENCE, 0);
  cluster_sleep_ms (CONTACT_MS);
  cluster_configure (&cluster, 5, "/more/");
  cluster_sleep_ms (CONFIG_APPLY_MS);
  for (i = 0; i < N_ENTRIES; i++)
    assert_int_equal (status_of_the_new_route (i), 200);
}

/* As above: what was idle when the connections went silent isn't used again. */
static void
a_change_applies_a_while_after_the_connections_went_silent (void **state)
{
  unsigned int i;

  (void) state;
  proxy_set (store_proxy, PROXY_SILENCE, 0);
  cluster_sleep_ms (2 * CONTACT_MS);
  cluster_configure (&cluster, 7, NULL);
  cluster_sleep_ms (CONFIG_APPLY_MS);
  for (i = 0; i < N_ENTRIES; i++)
    assert_int_equal (status_of_the_new_route (i), 404);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        a_change_applies_after_the_connections_to_the_store_went_silent),
    cmocka_unit_test (
        a_change_applies_a_while_after_the_connections_went_silent),
  };

  return cmocka_run_group_tests (tests, setup, teardown);
}
