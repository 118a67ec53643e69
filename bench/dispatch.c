/* Compares the dispatch rules in simulations and writes the results as JSON
   and as a Markdown table. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_sim.h"

#define DURATION (120 * HS_SEC)
#define MESSAGE_DELAY (1 * HS_MSEC)
#define FAULT_AT (20 * HS_SEC)
#define N_SEEDS 3
#define ANY_CUSTOMER UINT32_MAX
#define N_PERCENTILES 3

typedef struct
{
  const char *name;
  BenchMix mix;
  BenchFault fault;
  bool has_bad_customer;
  uint32_t measured_customer; /* Customer whose jobs of one task are measured;
                                 ANY_CUSTOMER: all jobs. */
} Scenario;

typedef struct
{
  const char *name;
  HsDispatchRuleKind rule;
  HsJobOrder order;
  bool is_ideal;
} Scheduler;

/* Sums over all seeds. */
typedef struct
{
  double *response_times_ms;
  size_t n_jobs;
  uint64_t n_tasks;
  uint64_t borrow_messages;
  uint64_t grant_messages;
  uint64_t refused_starts;
  uint64_t failed_after_fault;
  uint64_t ended_after_fault;
  uint64_t ejected_healthy;
  double percentiles_ms[N_PERCENTILES];
} Totals;

static const double percentiles[N_PERCENTILES] = { 0.5, 0.99, 0.999 };

#define SINGLE_TASK_JOBS .single_load_percent = 20, .single_customer
#define BURSTS .burst_jobs = 3, .burst_period = 5 * HS_SEC

static const Scenario scenarios[] = {
  { "load 30%", { .load_percent = 30 }, .measured_customer = ANY_CUSTOMER },
  { "load 70%", { .load_percent = 70 }, .measured_customer = ANY_CUSTOMER },
  { "load 90%", { .load_percent = 90 }, .measured_customer = ANY_CUSTOMER },
  { "load 110%", { .load_percent = 110 }, .measured_customer = ANY_CUSTOMER },
  { "bursts",
    { .load_percent = 30, BURSTS },
    .measured_customer = ANY_CUSTOMER },
  { "stragglers",
    { .load_percent = 60, .straggler_ppm = 10000 },
    .measured_customer = ANY_CUSTOMER },
  { "declared wrong",
    { .load_percent = 90, .has_wrong_declared = true },
    .measured_customer = ANY_CUSTOMER },
  { "skewed",
    { .load_percent = 70, .is_skewed = true },
    .measured_customer = ANY_CUSTOMER },
  { "B alone", { SINGLE_TASK_JOBS = 1 }, .measured_customer = 1 },
  { "B, burst by A, other entry",
    { SINGLE_TASK_JOBS = 1, BURSTS },
    .measured_customer = 1 },
  { "B', burst by A, same entry",
    { SINGLE_TASK_JOBS = 3, BURSTS },
    .measured_customer = 3 },
  { "target fails fast",
    { .load_percent = 70 },
    .fault = BENCH_FAULT_FAILS,
    .measured_customer = ANY_CUSTOMER },
  { "slow target",
    { .load_percent = 70 },
    .fault = BENCH_FAULT_SLOW,
    .measured_customer = ANY_CUSTOMER },
  { "bad customer",
    { .load_percent = 70 },
    .has_bad_customer = true,
    .measured_customer = ANY_CUSTOMER },
};

static const Scheduler schedulers[] = {
  { "ideal", HS_DISPATCH_RULE_CREDITS, HS_JOBS_EARLIEST_END, true },
  { "random", HS_DISPATCH_RULE_RANDOM, HS_JOBS_EARLIEST_END, false },
  { "round robin", HS_DISPATCH_RULE_ROUND_ROBIN, HS_JOBS_EARLIEST_END, false },
  { "two choices", HS_DISPATCH_RULE_TWO_CHOICES, HS_JOBS_EARLIEST_END, false },
  { "least outstanding", HS_DISPATCH_RULE_LEAST_OUTSTANDING,
    HS_JOBS_EARLIEST_END, false },
  { "credits", HS_DISPATCH_RULE_CREDITS, HS_JOBS_EARLIEST_END, false },
  { "credits, jobs in turn", HS_DISPATCH_RULE_CREDITS, HS_JOBS_ROUND_ROBIN,
    false },
  { "credits, jobs FIFO", HS_DISPATCH_RULE_CREDITS, HS_JOBS_FIFO, false },
};

#define N_SCENARIOS (sizeof scenarios / sizeof scenarios[0])
#define N_SCHEDULERS (sizeof schedulers / sizeof schedulers[0])

static void measure (TALLOC_CTX *ctx,
                     const Scenario *scenario,
                     const Scheduler *scheduler,
                     Totals *totals);
static void add_run (Totals *totals,
                     const Scenario *scenario,
                     const Scheduler *scheduler,
                     const BenchWorkload *workload,
                     const BenchSimResult *result);
static void compute_percentiles (Totals *totals);
static int compare_doubles (const void *a, const void *b);
static double per_task (const Totals *totals, uint64_t n);
static void write_json (FILE *out,
                        const Scenario *scenario,
                        const Scheduler *scheduler,
                        const Totals *totals,
                        const Totals *ideal,
                        bool is_first);
static void write_row (FILE *out,
                       const Scenario *scenario,
                       const Scheduler *scheduler,
                       const Totals *totals,
                       const Totals *ideal);

int
main (int argc, char **argv)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  FILE *json;
  FILE *table;
  size_t s;
  size_t c;

  if (argc != 4)
    {
      fprintf (stderr, "usage: dispatch COMMIT JSON TABLE\n");
      return 2;
    }
  json = fopen (argv[2], "w");
  table = fopen (argv[3], "w");
  if (json == NULL || table == NULL)
    {
      fprintf (stderr, "dispatch: cannot write %s or %s\n", argv[2], argv[3]);
      return 1;
    }
  fprintf (json, "{\"commit\":\"%s\",\"seeds\":%d,\"runs\":[", argv[1],
           N_SEEDS);
  fprintf (table,
           "Commit %s, %d seeds.\n\n"
           "| scenario | rule | p50 ms | p99 ms | p99.9 ms | p50/ideal | "
           "p99/ideal | p99.9/ideal | extra messages/task | failed |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
           argv[1], N_SEEDS);
  for (s = 0; s < N_SCENARIOS; s++)
    {
      Totals ideal = { 0 };

      for (c = 0; c < N_SCHEDULERS; c++)
        {
          Totals totals = { 0 };

          measure (ctx, &scenarios[s], &schedulers[c], &totals);
          if (c == 0)
            ideal = totals;
          write_json (json, &scenarios[s], &schedulers[c], &totals, &ideal,
                      s + c == 0);
          write_row (table, &scenarios[s], &schedulers[c], &totals, &ideal);
        }
    }
  fprintf (json, "\n]}\n");
  talloc_free (ctx);
  return fclose (json) == 0 && fclose (table) == 0 ? 0 : 1;
}

static void
measure (TALLOC_CTX *ctx,
         const Scenario *scenario,
         const Scheduler *scheduler,
         Totals *totals)
{
  uint64_t seed;

  for (seed = 1; seed <= N_SEEDS; seed++)
    {
      TALLOC_CTX *tmp = talloc_new (ctx);
      BenchMix mix = scenario->mix;
      BenchWorkload *workload;
      BenchSimConfig config
          = { .rule = scheduler->rule,
              .order = scheduler->order,
              .is_ideal = scheduler->is_ideal,
              .fault = scenario->fault,
              .fault_at = FAULT_AT,
              .message_delay = scheduler->is_ideal ? 0 : MESSAGE_DELAY,
              .bad_customer = scenario->has_bad_customer ? 4 : ANY_CUSTOMER,
              .seed = seed };

      mix.duration = DURATION;
      workload = bench_workload_new (tmp, &mix, seed);
      add_run (totals, scenario, scheduler, workload,
               bench_sim_run (tmp, workload, &config));
      talloc_free (tmp);
    }
  compute_percentiles (totals);
}

static void
add_run (Totals *totals,
         const Scenario *scenario,
         const Scheduler *scheduler,
         const BenchWorkload *workload,
         const BenchSimResult *result)
{
  uint32_t i;

  totals->response_times_ms
      = realloc (totals->response_times_ms,
                 (totals->n_jobs + workload->n_jobs) * sizeof (double));
  if (totals->response_times_ms == NULL)
    abort ();
  for (i = 0; i < workload->n_jobs; i++)
    if (scenario->measured_customer == ANY_CUSTOMER
        || (workload->jobs[i].customer == scenario->measured_customer
            && workload->jobs[i].n_tasks == 1))
      totals->response_times_ms[totals->n_jobs++]
          = (double) result->response_times[i] / 1000.0;
  totals->n_tasks += workload->n_tasks;
  if (scheduler->rule == HS_DISPATCH_RULE_CREDITS && !scheduler->is_ideal)
    {
      totals->borrow_messages += result->borrow_messages;
      totals->grant_messages += result->grant_messages;
    }
  totals->refused_starts += result->refused_starts;
  totals->failed_after_fault += result->failed_after_fault;
  totals->ended_after_fault += result->ended_after_fault;
  totals->ejected_healthy += result->ejected_healthy;
}

static void
compute_percentiles (Totals *totals)
{
  size_t i;

  qsort (totals->response_times_ms, totals->n_jobs, sizeof (double),
         compare_doubles);
  for (i = 0; i < N_PERCENTILES; i++)
    totals->percentiles_ms[i] = totals->response_times_ms[(
        size_t) (percentiles[i] * (double) (totals->n_jobs - 1))];
  free (totals->response_times_ms);
  totals->response_times_ms = NULL;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
per_task (const Totals *totals, uint64_t n)
{
  return (double) n / (double) totals->n_tasks;
}

static void
write_json (FILE *out,
            const Scenario *scenario,
            const Scheduler *scheduler,
            const Totals *totals,
            const Totals *ideal,
            bool is_first)
{
  fprintf (out,
           "%s\n{\"scenario\":\"%s\",\"rule\":\"%s\",\"jobs\":%zu,"
           "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"p999_ms\":%.3f,"
           "\"p50_over_ideal\":%.4f,\"p99_over_ideal\":%.4f,"
           "\"p999_over_ideal\":%.4f,\"borrow_per_task\":%.5f,"
           "\"refresh_per_task\":%.5f,\"refused_per_task\":%.6f,"
           "\"failed_share\":%.5f,\"healthy_ejections\":%llu}",
           is_first ? "" : ",", scenario->name, scheduler->name, totals->n_jobs,
           totals->percentiles_ms[0], totals->percentiles_ms[1],
           totals->percentiles_ms[2],
           totals->percentiles_ms[0] / ideal->percentiles_ms[0],
           totals->percentiles_ms[1] / ideal->percentiles_ms[1],
           totals->percentiles_ms[2] / ideal->percentiles_ms[2],
           per_task (totals, totals->borrow_messages),
           per_task (totals, totals->grant_messages),
           per_task (totals, totals->refused_starts),
           (double) totals->failed_after_fault
               / (double) totals->ended_after_fault,
           (unsigned long long) totals->ejected_healthy);
}

static void
write_row (FILE *out,
           const Scenario *scenario,
           const Scheduler *scheduler,
           const Totals *totals,
           const Totals *ideal)
{
  fprintf (out,
           "| %s | %s | %.1f | %.0f | %.0f | %.3f | %.3f | %.3f | %.3f | "
           "%.2f%% |\n",
           scenario->name, scheduler->name, totals->percentiles_ms[0],
           totals->percentiles_ms[1], totals->percentiles_ms[2],
           totals->percentiles_ms[0] / ideal->percentiles_ms[0],
           totals->percentiles_ms[1] / ideal->percentiles_ms[1],
           totals->percentiles_ms[2] / ideal->percentiles_ms[2],
           per_task (totals, totals->borrow_messages + totals->grant_messages
                                 + totals->refused_starts),
           100.0 * (double) totals->failed_after_fault
               / (double) totals->ended_after_fault);
}
