/**
 * @file
 * soak: runs the real programs on loopback, injects faults from outside as a
 * seed determines, and checks the system's guarantees by what callers and
 * targets observe.
 *
 *   soak --seed N [--seconds S] [--entries N] [--agents N] [--faults N]
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "../prng.h"
#include "evacuation.h"
#include "history.h"
#include "proxy.h"
#include "stalled.h"
#include "tally.h"

#define CPU_MILLI 6000
#define TASK_CPU_MILLI 200
#define CALLERS 64
#define FAULT_INJECTORS_MAX 4
#define JOBS_MAX 20000

/** One in so many jobs crashes the targets that start its task. */
#define CRASHING_JOB_ODDS 300

/** A caller whose request failed submits it again after this. */
#define RESUBMIT_DELAY_MS 1300

/** After the last fault every entry must serve again within this. */
#define RECOVERY_TIMEOUT_MS 12000

typedef struct
{
  Prng random;
  unsigned int number;
} Caller;

static Cluster cluster;
static SoakJob jobs[JOBS_MAX];
static unsigned int n_jobs;
static GMutex lock;
static GMutex restart_lock;
static gint stopping;
static unsigned int control_proxies[CLUSTER_PROCESSES_MAX];
static unsigned int app_proxies[CLUSTER_PROCESSES_MAX];
static unsigned int caller_proxies[CLUSTER_PROCESSES_MAX];
static unsigned int store_proxy;

static SoakJob *
new_job (unsigned int n_tasks)
{
  SoakJob *job;

  g_mutex_lock (&lock);
  job = n_jobs < JOBS_MAX ? &jobs[n_jobs++] : NULL;
  g_mutex_unlock (&lock);
  if (job == NULL)
    return NULL;
  g_snprintf (job->id, sizeof job->id, "%016x", (unsigned int) (job - jobs));
  job->n_tasks = n_tasks;
  job->refused = true;
  return job;
}

/* Submits one job, again and to another entry while its outcome is unknown. */
static void
submit_job (Caller *caller)
{
  static const char *const specs[] = { "ms=20",  "ms=20",  "ms=30",  "ms=40",
                                       "ms=40",  "ms=60",  "ms=60",  "ms=100",
                                       "ms=100", "ms=200", "ms=200", "ms=400",
                                       "ms=900", "ms=1800" };
  SoakJob *job = new_job (1 + prng_below (&caller->random, 8));
  const char *spec = specs[prng_below (&caller->random, G_N_ELEMENTS (specs))];
  bool crashes = prng_below (&caller->random, CRASHING_JOB_ODDS) == 0;
  long timeout_ms = 500 + prng_below (&caller->random, 2500);
  int attempt;

  if (job == NULL)
    return;
  if (crashes)
    {
      job->n_tasks = 1;
      spec = "ms=400 crash=20";
    }
  if (prng_below (&caller->random, 20) == 0)
    timeout_ms = 50; /* This caller gives up early. */
  for (attempt = 0; attempt < 3 && !g_atomic_int_get (&stopping); attempt++)
    {
      unsigned int entry = prng_below (&caller->random, cluster.n_entries);
      ClusterReply reply
          = cluster_submit (&cluster, entry, job->id, spec, job->n_tasks,
                            TASK_CPU_MILLI, timeout_ms);

      job->completed
          |= reply.status == 200 && strstr (reply.body, "completed") != NULL;
      if (reply.status == 503)
        return;
      job->refused = false;
      if (reply.status == 200)
        return;
      cluster_sleep_ms (RESUBMIT_DELAY_MS);
    }
}

static void *
run_caller (void *arg)
{
  Caller *caller = arg;

  while (!g_atomic_int_get (&stopping))
    {
      submit_job (caller);
      cluster_sleep_ms ((int) prng_below (&caller->random, 30));
    }
  return NULL;
}

/* Starts targets again that have crashed. */
static void
restart_crashed_targets (void)
{
  unsigned int i;

  g_mutex_lock (&restart_lock);
  for (i = 0; i < cluster.n_agents; i++)
    if (cluster.pids[CLUSTER_TARGET][i] > 0
        && waitpid (cluster.pids[CLUSTER_TARGET][i], NULL, WNOHANG) > 0)
      {
        printf ("  target %u has crashed\n", i);
        cluster.pids[CLUSTER_TARGET][i] = 0;
        cluster_start (&cluster, CLUSTER_TARGET, i);
      }
  g_mutex_unlock (&restart_lock);
}

static void
restart (ClusterKind kind, unsigned int i, int down_ms, bool renamed)
{
  g_mutex_lock (&restart_lock);
  if (kind == CLUSTER_TARGET && cluster.pids[kind][i] > 0)
    history_note_kill (i);
  cluster_kill (&cluster, kind, i);
  cluster_sleep_ms (down_ms);
  if (kind == CLUSTER_TARGET && renamed)
    cluster.generations[i]++;
  cluster_start (&cluster, kind, i);
  g_mutex_unlock (&restart_lock);
}

static void
pause_process (ClusterKind kind, unsigned int i, int ms)
{
  HsTime from = hs_now ().mono;

  cluster_signal (&cluster, kind, i, SIGSTOP);
  cluster_sleep_ms (ms);
  cluster_signal (&cluster, kind, i, SIGCONT);
  if (kind == CLUSTER_AGENT)
    evacuation_note_pause (i, from);
}

static void
inject_process_fault (Prng *random)
{
  static const ClusterKind kinds[]
      = { CLUSTER_ENTRY, CLUSTER_AGENT, CLUSTER_TARGET };
  ClusterKind kind = kinds[prng_below (random, 3)];
  unsigned int n = kind == CLUSTER_ENTRY ? cluster.n_entries : cluster.n_agents;
  unsigned int i = prng_below (random, n);
  int ms = 100 + (int) prng_below (random, 2500);

  switch (prng_below (random, 4))
    {
    case 0:
      printf ("  kill %d %u\n", (int) kind, i);
      restart (kind, i, ms / 4, false);
      return;
    case 1:
      if (kind == CLUSTER_TARGET)
        return;
      printf ("  stop %d %u\n", (int) kind, i);
      cluster_signal (&cluster, kind, i, SIGTERM);
      cluster_await_exit (&cluster, kind, i, 7000);
      restart (kind, i, 0, false);
      return;
    default:
      /* Time in the model of a target goes on while its process is stopped. */
      if (kind == CLUSTER_TARGET)
        return;
      printf ("  pause %d %u for %d ms\n", (int) kind, i, ms);
      pause_process (kind, i, ms);
      return;
    }
}

static void
inject_link_fault (Prng *random)
{
  unsigned int proxy = prng_below (random, proxy_count ());
  ProxyMode mode = 1 + prng_below (random, PROXY_SILENCE);
  int ms = 100 + (int) prng_below (random, 3000);
  HsTime from = hs_now ().mono;

  printf ("  proxy %u mode %d for %d ms\n", proxy, (int) mode, ms);
  proxy_set (proxy, mode, 5 + (int) prng_below (random, 80));
  cluster_sleep_ms (ms);
  proxy_set (proxy, PROXY_PASS, 0);
  if (proxy == store_proxy)
    evacuation_note_store_fault (from);
}

static void
inject_target_fault (Prng *random)
{
  static const char *const faults[]
      = { "{\"late_percent\":15}",  "{\"lost_percent\":15}",
          "{\"hangs\":true}",       "{\"mute\":true}",
          "{\"slow_percent\":500}", "{\"draining\":true}",
          "{\"cpu_milli\":1500}",   "{\"cpu_milli\":3000}" };
  unsigned int i = prng_below (random, cluster.n_agents);
  const char *fault = faults[prng_below (random, G_N_ELEMENTS (faults))];

  printf ("  target %u %s\n", i, fault);
  cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault", fault,
                500);
  cluster_sleep_ms (300 + (int) prng_below (random, 3000));
  cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault", "{}",
                500);
}

static void
inject_store_fault (Prng *random, int *version)
{
  static const char *const faults[]
      = { "{\"down\":true}", "{\"silent\":true}", "{\"compact\":true}",
          "{\"lose_answers\":3}" };
  unsigned int k = prng_below (random, G_N_ELEMENTS (faults));
  const char *fault = faults[k];
  HsTime from = hs_now ().mono;

  printf ("  store %s\n", fault);
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault", fault,
                500);
  *version += 1 + (int) prng_below (random, 3);
  cluster_configure (&cluster, *version, "/more/");
  cluster_sleep_ms (300 + (int) prng_below (random, 2000));
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault", "{}",
                500);
  if (k < 2) /* Down or silent. */
    evacuation_note_store_fault (from);
}

static void
inject_stalled_callers (Prng *random)
{
  unsigned int i = prng_below (random, cluster.n_entries);

  printf ("  callers of entry %u that stop short of the end of a body\n", i);
  stalled_callers_run (cluster.addresses[CLUSTER_ENTRY][i]);
}

static void *
run_fault_injector (void *arg)
{
  Prng *random = arg;
  int version = 2;

  while (!g_atomic_int_get (&stopping))
    {
      switch (prng_below (random, 6))
        {
        case 0:
        case 1:
          inject_process_fault (random);
          break;
        case 2:
          inject_link_fault (random);
          break;
        case 3:
          inject_target_fault (random);
          break;
        case 4:
          inject_stalled_callers (random);
          break;
        default:
          inject_store_fault (random, &version);
          break;
        }
      restart_crashed_targets ();
      cluster_sleep_ms ((int) prng_below (random, 800));
    }
  return NULL;
}

/* Makes calls and answers of a target overtake each other. */
static void
set_crossing (Prng *random, unsigned int target)
{
  bool narrow = prng_below (random, 3) > 0;
  g_autofree char *text = g_strdup_printf (
      "{\"call_percent\":%u,\"call_ms\":%u,\"answer_percent\":%u,"
      "\"answer_ms\":%u,\"withheld_percent\":%u,\"cut_percent\":%u,"
      "\"lists_only\":%s,\"stop_ms\":%u,\"seed\":%u}",
      prng_below (random, narrow ? 15 : 50),
      1 + prng_below (random, narrow ? 8 : 400), 30 + prng_below (random, 70),
      8 + prng_below (random, narrow ? 10 : 60),
      prng_below (random, narrow ? 40 : 10),
      prng_below (random, narrow ? 40 : 15), narrow ? "true" : "false",
      narrow ? 10 + prng_below (random, 200) : 0, prng_below (random, 1000000));

  cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][target], "/crossing",
                text, 500);
}

/* A fault while calls and answers of the target wait. */
static void
disturb_crossing (Prng *random, unsigned int target)
{
  int ms = 5 + (int) prng_below (random, 700);

  switch (prng_below (random, 8))
    {
    case 0:
      printf ("  crossing: restart target %u\n", target);
      restart (CLUSTER_TARGET, target, ms / 10, false);
      set_crossing (random, target);
      break;
    case 1:
      printf ("  crossing: replace target %u\n", target);
      restart (CLUSTER_TARGET, target, ms / 10, true);
      set_crossing (random, target);
      break;
    case 2:
    case 3:
      printf ("  crossing: pause agent %u for %d ms\n", target, ms);
      pause_process (CLUSTER_AGENT, target, ms);
      break;
    case 4:
      proxy_set (app_proxies[target], PROXY_RESET, 0);
      break;
    case 5:
      proxy_set (control_proxies[prng_below (random, cluster.n_entries)],
                 PROXY_RESET, 0);
      break;
    case 6:
      proxy_set (caller_proxies[prng_below (random, cluster.n_entries)],
                 PROXY_RESET, 0);
      break;
    default:
      set_crossing (random, target);
      break;
    }
}

/* Delays calls, answers and messages by connection, with further faults
   meanwhile, and ends some of the connections with data on its way. */
static void
inject_crossing (Prng *random)
{
  unsigned int n_faults = 2 + prng_below (random, 8);
  unsigned int i;

  for (i = 0; i < cluster.n_agents; i++)
    if (prng_below (random, 4) > 0)
      set_crossing (random, i);
  for (i = 0; i < cluster.n_entries; i++)
    {
      if (prng_below (random, 2) == 0)
        proxy_set (control_proxies[i], PROXY_SCATTER,
                   5
                       + (int) prng_below (
                           random, prng_below (random, 4) == 0 ? 300 : 40));
      if (prng_below (random, 2) == 0)
        proxy_set (caller_proxies[i], PROXY_SCATTER,
                   5 + (int) prng_below (random, 300));
    }
  for (i = 0; i < n_faults && !g_atomic_int_get (&stopping); i++)
    {
      cluster_sleep_ms (50 + (int) prng_below (random, 500));
      disturb_crossing (random, prng_below (random, cluster.n_agents));
      restart_crashed_targets ();
    }
  for (i = 0; i < cluster.n_agents; i++)
    cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/crossing",
                  "{}", 500);
  for (i = 0; i < cluster.n_entries; i++)
    {
      bool broken = prng_below (random, 2) == 0;

      proxy_set (control_proxies[i], broken ? PROXY_RESET : PROXY_PASS, 0);
      proxy_set (caller_proxies[i], broken ? PROXY_RESET : PROXY_PASS, 0);
    }
}

static void *
run_crossing_injector (void *arg)
{
  Prng *random = arg;

  while (!g_atomic_int_get (&stopping))
    {
      inject_crossing (random);
      restart_crashed_targets ();
      cluster_sleep_ms ((int) prng_below (random, 500));
    }
  return NULL;
}

static void *
run_evacuations (void *arg)
{
  evacuation_run (&cluster, arg, &stopping);
  return NULL;
}

static void
create_proxies (uint32_t seed)
{
  unsigned int i;

  proxy_seed (seed);
  proxy_init ();
  store_proxy = proxy_add (cluster.addresses[CLUSTER_STORE][0],
                           cluster.store_dial_address);
  for (i = 0; i < cluster.n_entries; i++)
    {
      control_proxies[i] = proxy_add (cluster.control_addresses[i],
                                      cluster.control_dial_addresses[i]);
      caller_proxies[i] = proxy_add (cluster.addresses[CLUSTER_ENTRY][i],
                                     cluster.caller_dial_addresses[i]);
    }
  for (i = 0; i < cluster.n_agents; i++)
    app_proxies[i] = proxy_add (cluster.addresses[CLUSTER_TARGET][i],
                                cluster.app_dial_addresses[i]);
}

/* Ends all faults and checks that each entry serves again. */
static unsigned int
check_recovery (void)
{
  unsigned int violations = 0;
  unsigned int i;

  for (i = 0; i < proxy_count (); i++)
    proxy_set (i, PROXY_PASS, 0);
  cluster_call ("POST", cluster.addresses[CLUSTER_STORE][0], "/fault", "{}",
                500);
  for (i = 0; i < cluster.n_agents; i++)
    {
      cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/fault",
                    "{}", 500);
      cluster_call ("POST", cluster.addresses[CLUSTER_TARGET][i], "/crossing",
                    "{}", 500);
    }
  restart_crashed_targets ();
  cluster_start_all (&cluster);
  for (i = 0; i < cluster.n_entries; i++)
    {
      int waited;
      SoakJob *job;
      long status = 0;

      for (waited = 0; waited < RECOVERY_TIMEOUT_MS && status != 200;
           waited += 500)
        {
          job = new_job (3);
          if (job == NULL)
            return violations;
          status = cluster_submit (&cluster, i, job->id, "ms=20", 3, 700, 2000)
                       .status;
          job->completed = status == 200;
          job->refused = status == 503;
          if (status != 200)
            cluster_sleep_ms (500);
        }
      if (status != 200)
        {
          printf (
              "entry%u does not serve %d ms after the last fault: status %ld\n",
              i, RECOVERY_TIMEOUT_MS, status);
          violations++;
        }
    }
  return violations;
}

static unsigned int
run (uint32_t seed, int seconds, unsigned int n_fault_injectors)
{
  GThread *threads[CALLERS + FAULT_INJECTORS_MAX + 2];
  Caller callers[CALLERS];
  Prng injector_prngs[FAULT_INJECTORS_MAX + 1];
  Prng evacuation_prng = prng_seeded (seed + 2000000);
  unsigned int n_threads = 0;
  unsigned int violations;
  unsigned int i;

  cluster_start (&cluster, CLUSTER_STORE, 0);
  cluster_sleep_ms (200);
  cluster_configure (&cluster, 1, NULL);
  cluster_start_all (&cluster);
  if (!cluster_await_ready (&cluster, 0, 10000))
    {
      printf ("seed %u: entry0 is not ready after 10 s\n", seed);
      cluster_kill_all (&cluster);
      return 1;
    }
  for (i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ prng_seeded (seed * 100 + i + 10), i };
      threads[n_threads++] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  /* More than one injector, so that faults also overlap. */
  for (i = 0; i < n_fault_injectors; i++)
    {
      injector_prngs[i] = prng_seeded (seed * 2 + i);
      threads[n_threads++] = g_thread_new ("fault injector", run_fault_injector,
                                           &injector_prngs[i]);
    }
  injector_prngs[i] = prng_seeded (seed + 1000000);
  threads[n_threads++] = g_thread_new (
      "crossing injector", run_crossing_injector, &injector_prngs[i]);
  if (n_fault_injectors > 0)
    threads[n_threads++]
        = g_thread_new ("evacuations", run_evacuations, &evacuation_prng);
  cluster_sleep_ms (seconds * 1000);
  g_atomic_int_set (&stopping, 1);
  for (i = 0; i < n_threads; i++)
    g_thread_join (threads[i]);
  violations = check_recovery ();
  cluster_sleep_ms (500);
  for (i = 0; i < cluster.n_agents; i++)
    history_note_kill (i);
  cluster_kill_all (&cluster);
  violations += history_check (&cluster, jobs, n_jobs);
  violations += evacuation_check (&cluster);
  return violations;
}

int
main (int argc, char **argv)
{
  int seed = 1;
  int seconds = 20;
  int entries = 3;
  int agents = 5;
  int faults = 2;
  const GOptionEntry options[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the faults and jobs",
      "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Duration of the run", "S" },
    { "entries", 0, 0, G_OPTION_ARG_INT, &entries, "Number of such processes",
      "N" },
    { "agents", 0, 0, G_OPTION_ARG_INT, &agents, "Number of such processes",
      "N" },
    { "faults", 0, 0, G_OPTION_ARG_INT, &faults,
      "Number of series of faults beside what crosses", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  g_autofree char *dir = NULL;
  char build[256];
  unsigned int completed = 0;
  unsigned int violations;
  unsigned int i;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || entries < 1
      || entries > CLUSTER_PROCESSES_MAX || agents < 1
      || agents > CLUSTER_PROCESSES_MAX || faults < 0
      || faults > FAULT_INJECTORS_MAX)
    {
      fprintf (stderr, "soak: %s\n",
               error != NULL
                   ? error->message
                   : "the numbers of entries and agents must be from 1 to 16, "
                     "that of faults from 0 to 4");
      return 2;
    }
  g_option_context_free (context);
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_ALL);
  cluster_build_dir (build);
  dir = g_strdup_printf ("%s/soak-%d", build, seed);
  /* Logs are appended to, and jobs of all runs have the same ids. */
  if (g_file_test (dir, G_FILE_TEST_EXISTS))
    {
      fprintf (stderr, "soak: %s exists: remove it first\n", dir);
      return 2;
    }
  cluster_init (&cluster, build, dir, (unsigned int) entries,
                (unsigned int) agents, CPU_MILLI);
  cluster.evacuate_ms = EVACUATE_MS;
  create_proxies ((uint32_t) seed);
  violations = run ((uint32_t) seed, seconds, (unsigned int) faults);
  for (i = 0; i < n_jobs; i++)
    completed += jobs[i].completed;
  printf ("seed %d: %u jobs, %u completed, %u violations\n", seed, n_jobs,
          completed, violations);
  tally_print (&cluster);
  return violations > 0 ? 1 : 0;
}
