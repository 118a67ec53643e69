/**
 * @file
 * Measures running entries: many agents with simulated targets run in one
 * thread, a client that submits jobs in another, and the processor time of the
 * entries is read from /proc. Prints one JSON object for the measured time.
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <glib.h>

#include "client.h"
#include "agent_pool.h"
#include "tcp_stats.h"

/** Time given to the agents to announce themselves and to connect. */
#define CONNECT_TIME (3 * HS_SEC)
#define DRAIN_TIMEOUT (20 * HS_SEC)

typedef struct
{
  double cpu_s;
  long rss_kb;
} Usage;

static char *name;
static char *entries_rpc;
static char *entries_http;
static char *customers;
static char *pids;
static char *key;
static char *cluster_key;
static int agents = 11;
static int slots = 8;
static int run_us;
static int tasks = 1;
static int connections = 64;
static double rate;
static double seconds = 5;
static double warmup = 2;

static const GOptionEntry OPTIONS[] = {
  { "name", 0, 0, G_OPTION_ARG_STRING, &name, "Name of the run in the output",
    "TEXT" },
  { "rpc", 0, 0, G_OPTION_ARG_STRING, &entries_rpc,
    "RPC addresses of the entries", "LIST" },
  { "http", 0, 0, G_OPTION_ARG_STRING, &entries_http,
    "HTTP addresses of the entries", "LIST" },
  { "customers", 0, 0, G_OPTION_ARG_STRING, &customers,
    "Names of the customers", "LIST" },
  { "pids", 0, 0, G_OPTION_ARG_STRING, &pids, "Process ids of the entries",
    "LIST" },
  { "key", 0, 0, G_OPTION_ARG_STRING, &key, "API key of the customers",
    "TEXT" },
  { "cluster-key", 0, 0, G_OPTION_ARG_STRING, &cluster_key, "Cluster key",
    "TEXT" },
  { "agents", 0, 0, G_OPTION_ARG_INT, &agents, "Number of agents", "N" },
  { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Slots of each target", "N" },
  { "run-us", 0, 0, G_OPTION_ARG_INT, &run_us,
    "Run time of a task in microseconds", "N" },
  { "tasks", 0, 0, G_OPTION_ARG_INT, &tasks, "Tasks of a job", "N" },
  { "connections", 0, 0, G_OPTION_ARG_INT, &connections,
    "Client connections; 0: no load", "N" },
  { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate,
    "Jobs per second; 0: the next job after each answer", "N" },
  { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds, "Time measured", "N" },
  { "warmup", 0, 0, G_OPTION_ARG_DOUBLE, &warmup,
    "Time under load before the measurement", "N" },
  G_OPTION_ENTRY_NULL,
};

static void start_agents (void);
static void open_client (void);
static void run_load (double span, BenchClientResult *result);
static Usage read_usage (const char *pid);
static void print_result (double span,
                          const BenchClientResult *result,
                          const BenchAgentPoolStats *before,
                          const BenchAgentPoolStats *after,
                          const Usage *used,
                          const Usage *used_after);
static void print_tcp_stats (double span,
                             const BenchTcpStats *before,
                             const BenchTcpStats *after);
static double percentile (const HsTime *sorted, uint32_t n, double share);
static int compare_times (const void *a, const void *b);

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) pid_list = NULL;
  BenchClientResult result = { 0 };
  BenchAgentPoolStats before;
  BenchAgentPoolStats after;
  BenchTcpStats tcp_before;
  BenchTcpStats tcp_after;
  Usage sums[2] = { { 0, 0 }, { 0, 0 } };
  HsTime begin;
  int i;

  g_option_context_add_main_entries (context, OPTIONS, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || entries_rpc == NULL || entries_http == NULL || pids == NULL
      || customers == NULL || key == NULL || cluster_key == NULL)
    g_error ("bench-system: %s",
             error != NULL ? error->message : "missing options, see --help");
  g_option_context_free (context);
  pid_list = g_strsplit (pids, ",", -1);
  start_agents ();
  g_usleep (CONNECT_TIME);
  open_client ();
  run_load (warmup, &result);
  g_free (result.latencies);
  g_free (result.send_delays);
  before = bench_agent_pool_stats ();
  tcp_before = bench_tcp_stats ();
  for (i = 0; pid_list[i] != NULL; i++)
    {
      Usage usage = read_usage (pid_list[i]);

      sums[0].cpu_s += usage.cpu_s;
    }
  begin = hs_now ().mono;
  run_load (seconds, &result);
  seconds = (double) (hs_now ().mono - begin) / (double) HS_SEC;
  for (i = 0; pid_list[i] != NULL; i++)
    {
      Usage usage = read_usage (pid_list[i]);

      sums[1].cpu_s += usage.cpu_s;
      sums[1].rss_kb += usage.rss_kb;
    }
  after = bench_agent_pool_stats ();
  tcp_after = bench_tcp_stats ();
  print_result (seconds, &result, &before, &after, &sums[0], &sums[1]);
  print_tcp_stats (seconds, &tcp_before, &tcp_after);
  if (connections > 0 && !bench_client_drain (DRAIN_TIMEOUT))
    fprintf (stderr, "bench-system: jobs open 20 s after measurement\n");
  return 0;
}

static void
start_agents (void)
{
  BenchAgentPoolConfig config
      = { .agents = (uint32_t) agents,
          .slots = (uint32_t) slots,
          .run_time = run_us * HS_USEC,
          .key = cluster_key,
          .entries = g_strsplit (entries_rpc, ",", -1) };

  bench_agent_pool_start (&config);
}

static void
open_client (void)
{
  BenchClientConfig config = { .entries = g_strsplit (entries_http, ",", -1),
                               .customers = g_strsplit (customers, ",", -1),
                               .key = key,
                               .connections = (uint32_t) connections,
                               .tasks = (uint32_t) tasks,
                               .run_ms = (uint32_t) (run_us / 1000),
                               .jobs_per_s = rate };

  bench_client_open (&config);
}

static void
run_load (double span, BenchClientResult *result)
{
  memset (result, 0, sizeof *result);
  if (connections == 0)
    g_usleep ((gulong) (span * HS_SEC));
  else
    bench_client_run ((HsTime) (span * HS_SEC), result);
}

static Usage
read_usage (const char *pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%s/stat", pid);
  g_autofree char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;
  long pages = 0;

  if (!g_file_get_contents (path, &text, NULL, NULL)
      || sscanf (strrchr (text, ')') + 1,
                 " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d "
                 "%*d %*d %*d %*d %*d %*u %*u %ld",
                 &user, &system, &pages)
             != 3)
    g_error ("bench-system: cannot read the usage of process %s", pid);
  return (Usage){ (double) (user + system) / (double) sysconf (_SC_CLK_TCK),
                  pages * (sysconf (_SC_PAGESIZE) / 1024) };
}

static void
print_result (double span,
              const BenchClientResult *result,
              const BenchAgentPoolStats *before,
              const BenchAgentPoolStats *after,
              const Usage *used,
              const Usage *used_after)
{
  uint64_t starts = after->starts - before->starts;
  uint64_t bytes = after->rpc.bytes_sent - before->rpc.bytes_sent
                   + after->rpc.bytes_received - before->rpc.bytes_received;
  double cpu = used_after->cpu_s - used->cpu_s;
  uint64_t messages = 0;
  uint64_t grants = after->rpc.sent_by_proc[HSX_GRANT]
                    - before->rpc.sent_by_proc[HSX_GRANT];
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (after->rpc.sent_by_proc); i++)
    messages += after->rpc.sent_by_proc[i] - before->rpc.sent_by_proc[i]
                + after->rpc.received_by_proc[i]
                - before->rpc.received_by_proc[i];
  qsort (result->latencies, result->n_latencies, sizeof (HsTime),
         compare_times);
  qsort (result->send_delays, result->n_send_delays, sizeof (HsTime),
         compare_times);
  printf ("{\"name\":\"%s\",\"agents\":%d,\"slots\":%d,\"run_us\":%d,"
          "\"tasks\":%d,\"connections\":%d,\"rate\":%.0f,\"seconds\":%.2f,",
          name, agents, slots, run_us, tasks, connections, rate, span);
  printf ("\"jobs\":%lu,\"not_complete\":%lu,\"starts\":%lu,\"refused\":%lu,"
          "\"starts_per_s\":%.0f,",
          result->complete, result->not_complete, starts,
          after->refused - before->refused, (double) starts / span);
  printf ("\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"max_ms\":%.3f,",
          percentile (result->latencies, result->n_latencies, 0.5),
          percentile (result->latencies, result->n_latencies, 0.99),
          percentile (result->latencies, result->n_latencies, 1));
  /* The part of the response time before the client sent the request. */
  printf ("\"caller_late_p50_ms\":%.3f,\"caller_late_p99_ms\":%.3f,",
          percentile (result->send_delays, result->n_send_delays, 0.5),
          percentile (result->send_delays, result->n_send_delays, 0.99));
  printf ("\"entry_cores\":%.3f,\"entry_us_per_start\":%.1f,"
          "\"entry_rss_kb\":%ld,\"agents_cores\":%.3f,",
          cpu / span, starts > 0 ? cpu * 1e6 / (double) starts : 0,
          used_after->rss_kb,
          (double) (after->cpu_us - before->cpu_us) / 1e6 / span);
  printf ("\"inner_messages\":%lu,\"start_messages\":%lu,"
          "\"result_messages\":%lu,\"grant_messages\":%lu,"
          "\"inner_bytes_per_s\":%.0f,\"bytes_per_start\":%.0f,",
          messages,
          after->rpc.received_by_proc[HSX_START]
              - before->rpc.received_by_proc[HSX_START],
          after->rpc.sent_by_proc[HSX_RESULT]
              - before->rpc.sent_by_proc[HSX_RESULT],
          grants, (double) bytes / span,
          starts > 0 ? (double) bytes / (double) starts : 0);
}

/* Covers the connections between agents and entries, and, with a load, those
   between the client and the entries. */
static void
print_tcp_stats (double span,
                 const BenchTcpStats *before,
                 const BenchTcpStats *after)
{
  printf (
      "\"tcp_connections\":%u,\"tcp_segments_per_s\":%.1f,"
      "\"tcp_bytes_per_s\":%.0f}\n",
      after->n_connections,
      (double) (after->segments - before->segments) / span,
      (double) (bench_tcp_stats_bytes (after) - bench_tcp_stats_bytes (before))
          / span);
}

static double
percentile (const HsTime *sorted, uint32_t n, double share)
{
  uint32_t at = (uint32_t) (share * n);

  if (n == 0)
    return 0;
  return (double) sorted[MIN (at, n - 1)] / (double) HS_MSEC;
}

static int
compare_times (const void *a, const void *b)
{
  HsTime x = *(const HsTime *) a;
  HsTime y = *(const HsTime *) b;

  return x < y ? -1 : x > y;
}
