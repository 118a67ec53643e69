/**
 * @file
 * Part of an entry's connections is reset, among them those of callers whose
 * jobs run and those to agents that run them. The callers send their jobs
 * again 1.3 s later, to another entry. No task may then run twice at a time.
 */
#include <string.h>

#include "../common/support.h"
#include "test/prng.h"
#include "test/soak/proxy.h"

#define ENTRIES 3
#define AGENTS 6
#define CPU_MILLI 6000

#define ROUNDS 8
#define JOBS 6
#define TASKS 2
#define TASK_CPU_MILLI 1000
#define TASK_MS 1800
#define DEADLINE_MS 4000

/** Share of the machine's connections that are reset; the site's largest. */
#define RESET_PERCENT 55

/** The proxies reset connections within this time. */
#define PROXY_LATENCY_MS 3

/** After a broken connection a client sends its job again after this. */
#define RESEND_MS 1300

/** Lines of two targets may be printed this much late. */
#define TOLERANCE_US 5000

static unsigned int agent_proxies[AGENTS];
static char proxy_addresses[AGENTS][32];
static Call calls[JOBS];
static Prng prng;

/* Each agent is told to reach entry 0 through a proxy of its own. It connects
   there first if it starts before the entry, whose own address it doesn't know
   yet. Later it may connect directly, so that each round starts anew. */
static void
start_cluster (void)
{
  char address[32];
  unsigned int i;

  g_strlcpy (address, case_cluster.control_addresses[0], sizeof address);
  cluster_start (&case_cluster, CLUSTER_STORE, 0);
  cluster_sleep_ms (200);
  cluster_configure (&case_cluster, 1, "/more/");
  for (i = 0; i < AGENTS; i++)
    {
      g_strlcpy (case_cluster.control_dial_addresses[0], proxy_addresses[i],
                 sizeof case_cluster.control_dial_addresses[0]);
      cluster_start (&case_cluster, CLUSTER_AGENT, i);
      cluster_start (&case_cluster, CLUSTER_TARGET, i);
    }
  g_strlcpy (case_cluster.control_dial_addresses[0], address, sizeof address);
  cluster_sleep_ms (150);
  /* The other entries would tell the agents entry 0's own address. */
  cluster_start (&case_cluster, CLUSTER_ENTRY, 0);
  if (!cluster_await_ready (&case_cluster, 0, 5000))
    case_fail ("entry0 isn't ready");
  cluster_sleep_ms (100);
  case_start_all ();
}

static void
submit (unsigned int round, unsigned int job, unsigned int entry)
{
  g_autofree char *path = g_strdup_printf ("/more/%08x%08x", round + 1, job);
  g_autofree char *spec = g_strdup_printf ("ms=%d", TASK_MS);

  call_connect (&calls[job], case_cluster.addresses[CLUSTER_ENTRY][entry]);
  call_send_job (&calls[job], path, spec, TASKS, TASK_CPU_MILLI, TASK_MS,
                 DEADLINE_MS);
}

/* Resets RESET_PERCENT of the connections between entry 0 and its callers and
   agents, chosen at random. All are gone when the entry notices the first. */
static void
reset_connections (bool job_reset[JOBS])
{
  unsigned int order[JOBS + AGENTS];
  unsigned int n = JOBS + AGENTS;
  unsigned int n_reset = n * RESET_PERCENT / 100;
  unsigned int i;

  for (i = 0; i < n; i++)
    order[i] = i;
  for (i = 0; i < n_reset; i++)
    {
      unsigned int k = i + prng_below (&prng, n - i);
      unsigned int chosen = order[k];

      order[k] = order[i];
      order[i] = chosen;
      if (chosen < JOBS)
        {
          job_reset[chosen] = calls[chosen].fd >= 0;
          continue;
        }
      proxy_set (agent_proxies[chosen - JOBS], PROXY_RESET, 0);
      case_note ("reset: the connection of agent%u", chosen - JOBS);
    }
  cluster_sleep_ms (PROXY_LATENCY_MS);
  for (i = 0; i < JOBS; i++)
    if (job_reset[i])
      {
        call_close (&calls[i], true);
        case_note ("reset: the connection of %s", calls[i].what);
      }
}

static void
play_round (unsigned int round)
{
  bool job_reset[JOBS] = { false };
  unsigned int i;

  case_note ("round %u", round);
  for (i = 0; i < JOBS; i++)
    submit (round, i, 0);
  cluster_sleep_ms (50 + (int) prng_below (&prng, 150));
  if (!case_is_calm ())
    {
      reset_connections (job_reset);
      cluster_sleep_ms (RESEND_MS);
      for (i = 0; i < JOBS; i++)
        if (job_reset[i])
          submit (round, i, 1);
    }
  calls_read (calls, JOBS, DEADLINE_MS + 500);
  for (i = 0; i < JOBS; i++)
    call_close (&calls[i], false);
  cluster_sleep_ms (1000);
}

static unsigned int
count_overlaps (const GArray *runs)
{
  unsigned int n = 0;
  guint i;
  guint k;

  for (i = 0; i < runs->len; i++)
    for (k = i + 1; k < runs->len; k++)
      {
        const TaskRun *a = &g_array_index (runs, TaskRun, i);
        const TaskRun *b = &g_array_index (runs, TaskRun, k);
        gint64 since = MAX (a->start, b->start);
        gint64 until = MIN (a->end, b->end);

        if (strcmp (a->task, b->task) != 0 || until <= since + TOLERANCE_US)
          continue;
        case_note ("TWICE: %s ran on target%u and on target%u for %.1f ms at "
                   "the same time",
                   a->task, a->target, b->target,
                   (double) (until - since) / 1000);
        n++;
      }
  return n;
}

int
main (int argc, char **argv)
{
  GArray *runs;
  unsigned int completed = 0;
  unsigned int broken;
  unsigned int round;
  unsigned int i;

  case_begin (argc, argv, ENTRIES, AGENTS, CPU_MILLI);
  prng = prng_seeded (1);
  proxy_init ();
  for (i = 0; i < AGENTS; i++)
    agent_proxies[i]
        = proxy_add (case_cluster.control_addresses[0], proxy_addresses[i]);
  for (round = 0; round < ROUNDS; round++)
    {
      start_cluster ();
      play_round (round);
      for (i = 0; i < JOBS; i++)
        completed += calls[i].status == 200;
      cluster_kill_all (&case_cluster);
    }
  runs = case_read_runs ();
  case_note_runs (runs, "");
  case_note ("%u of %u jobs completed", completed, ROUNDS * JOBS);
  if (completed == 0)
    case_fail ("no job completed");
  broken = count_overlaps (runs);
  g_array_unref (runs);
  case_end (broken > 0 ? CASE_BROKEN : CASE_HELD);
}
