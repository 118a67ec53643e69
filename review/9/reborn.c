/**
 * @file
 * A target is cut off for a moment, crashes meanwhile and starts again under
 * its id, with less capacity. Then a job arrives that fills a target of the
 * earlier kind.
 */
#include <string.h>

#include "../../test/soak/proxy.h"
#include "../common-2/case.h"

/** Two kinds of the site's workers, and a usual task. */
#define FULL_CPU_MILLI 24000
#define SMALL_CPU_MILLI 16000
#define TASK_CPU_MILLI 1600
#define N_TASKS (FULL_CPU_MILLI / TASK_CPU_MILLI)
#define RUN_MS 200
#define DEADLINE_MS 1500

/** In each round the target is cut off at another phase of its agent's polls.
 */
#define ROUNDS 6

#define CUT_MS 300

/** Time in which a target that has started again is known to all. */
#define SETTLE_MS 2500

/* Ends the target's process and starts one under the same id. */
static void
restart_target (Case *c, unsigned int cpu_milli)
{
  cluster_kill (&c->cluster, CLUSTER_TARGET, 0);
  c->cluster.cpu_milli = cpu_milli;
  cluster_start (&c->cluster, CLUSTER_TARGET, 0);
}

static bool
await_target (Case *c)
{
  int i;

  for (i = 0; i < 100; i++)
    {
      if (cluster_target_counter (&c->cluster, 0, "started") >= 0)
        return true;
      cluster_sleep_ms (5);
    }
  return false;
}

/* Returns the most of the target's processor that was in use, as the target
   counts it, or -1 if the round couldn't run. */
static long
run_round (Case *c, unsigned int heartbeats, unsigned int round)
{
  g_autofree char *path = g_strdup_printf ("/q/%016x", 0x9000 + round);
  ClusterReply reply;
  long most;

  if (c->trouble)
    {
      case_note (c, "the target is cut off and crashes");
      proxy_set (heartbeats, PROXY_DROP, 0);
      restart_target (c, SMALL_CPU_MILLI);
      cluster_sleep_ms (CUT_MS);
      proxy_set (heartbeats, PROXY_PASS, 0);
      if (!await_target (c))
        return -1;
      case_note (c, "it is back under its id, with %d thousandths of a core",
                 SMALL_CPU_MILLI);
    }
  case_note (c, "POST %s: %d tasks of %d thousandths", path, N_TASKS,
             TASK_CPU_MILLI);
  reply = cluster_submit_to (&c->cluster, 0, path, "ms=200", N_TASKS,
                             TASK_CPU_MILLI, RUN_MS, DEADLINE_MS);
  most = cluster_target_counter (&c->cluster, 0, "most");
  case_note (c, "POST %s: %ld %s; the target had %ld thousandths in use", path,
             reply.status, reply.body, most);
  if (c->trouble)
    restart_target (c, FULL_CPU_MILLI);
  /* Not a multiple of the interval of polls. */
  cluster_sleep_ms (SETTLE_MS + (int) round * 170);
  return most;
}

int
main (int argc, char **argv)
{
  unsigned int n_exceeded = 0;
  unsigned int heartbeats;
  char agent[32];
  Case c;
  unsigned int i;

  if (argc != 4)
    return CASE_NOT_RUN;
  case_prepare (&c, argv, 1, 1);
  proxy_init ();
  g_strlcpy (agent, c.cluster.addresses[CLUSTER_AGENT][0], sizeof agent);
  heartbeats = proxy_add (agent, agent);
  c.cluster.cpu_milli = FULL_CPU_MILLI;
  cluster_start (&c.cluster, CLUSTER_AGENT, 0);
  /* The target, which is started next, calls its agent through the proxy. */
  g_strlcpy (c.cluster.addresses[CLUSTER_AGENT][0], agent, sizeof agent);
  case_start (&c);
  for (i = 0; i < ROUNDS; i++)
    {
      long most = run_round (&c, heartbeats, i);

      if (most < 0)
        return case_end (&c, CASE_NOT_RUN, "the target didn't start again");
      n_exceeded += c.trouble && most > SMALL_CPU_MILLI;
      n_exceeded += !c.trouble && most > FULL_CPU_MILLI;
    }
  case_note (&c, "the capacity was exceeded in %u of %d rounds", n_exceeded,
             ROUNDS);
  return case_end (&c, n_exceeded > 0 ? CASE_BROKEN : CASE_HELD,
                   n_exceeded > 0 ? "starts took a target over its capacity"
                                  : "no start took a target over its capacity");
}
