/*
 * Compares the dispatch rules in fake time and writes the figures as JSON
 * and as a Markdown table.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define LENGTH (120 * HS_SEC)
#define DELAY (1 * HS_MSEC)
#define FAULT_AT (20 * HS_SEC)
#define SEEDS 3
#define ANY_CUSTOMER UINT32_MAX
#define N_PERCENTILES 3

typedef struct
{
  const char *name;
  BenchMix mix;
  BenchFault fault;
  bool has_bad_customer;
  uint32_t measured; /* Customer whose jobs are measured. */
} Scenario;

typedef struct
{
  const char *name;
  HsDispatchRuleKind rule;
  HsJobOrder order;
  bool is_ideal;
} Contender;

/* Sums over the seeds. */
typedef struct
{
  double *response; /* Milliseconds. */
  size_t n;
  uint64_t n_tasks;
  uint64_t borrows;
  uint64_t grants;
  uint64_t refused;
  uint64_t failed;
  uint64_t n_late;
  uint64_t ejected_healthy;
  double percentiles[N_PERCENTILES];
} Sum;

static const double percentiles[N_PERCENTILES] = { 0.5, 0.99, 0.999 };

#define SINGLES .single_load = 20, .single_customer
#define BURST .burst_jobs = 3, .burst_period = 5 * HS_SEC

static const Scenario scenarios[] = {
  { "load 30%", { .load = 30 }, .measured = ANY_CUSTOMER },
  { "load 70%", { .load = 70 }, .measured = ANY_CUSTOMER },
  { "load 90%", { .load = 90 }, .measured = ANY_CUSTOMER },
  { "load 110%", { .load = 110 }, .measured = ANY_CUSTOMER },
  { "bursts", { .load = 30, BURST }, .measured = ANY_CUSTOMER },
  { "stragglers",
    { .load = 60, .straggler_ppm = 10000 },
    .measured = ANY_CUSTOMER },
  { "declared wrong",
    { .load = 90, .wrong_declared = true },
    .measured = ANY_CUSTOMER },
  { "skewed", { .load = 70, .skewed = true }, .measured = ANY_CUSTOMER },
  { "B alone", { SINGLES = 1 }, .measured = 1 },
  { "B, burst by A, other entry", { SINGLES = 1, BURST }, .measured = 1 },
  { "B', burst by A, same entry", { SINGLES = 3, BURST }, .measured = 3 },
  { "target fails fast",
    { .load = 70 },
    .fault = BENCH_FAULT_FAILS,
    .measured = ANY_CUSTOMER },
  { "slow target",
    { .load = 70 },
    .fault = BENCH_FAULT_SLOW,
    .measured = ANY_CUSTOMER },
  { "bad customer",
    { .load = 70 },
    .has_bad_customer = true,
    .measured = ANY_CUSTOMER },
};

static const Contender contenders[] = {
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
#define N_CONTENDERS (sizeof contenders / sizeof contenders[0])

static void
measure (TALLOC_CTX *ctx, const Scenario *s, const Contender *c, Sum *sum);
static void add_run (Sum *sum,
                     const Scenario *s,
                     const Contender *c,
                     const BenchWorkload *load,
                     const BenchResult *result);
static void find_percentiles (Sum *sum);
static int by_value (const void *a, const void *b);
static double per_task (const Sum *sum, uint64_t n);
static void write_json (FILE *out,
                        const Scenario *s,
                        const Contender *c,
                        const Sum *sum,
                        const Sum *ideal,
                        bool is_first);
static void write_row (FILE *out,
                       const Scenario *s,
                       const Contender *c,
                       const Sum *sum,
                       const Sum *ideal);

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
      fprintf (stderr, "dispatch: can't write %s or %s\n", argv[2], argv[3]);
      return 1;
    }
  fprintf (json, "{\"commit\":\"%s\",\"seeds\":%d,\"runs\":[", argv[1], SEEDS);
  fprintf (table,
           "Commit %s, %d seeds.\n\n"
           "| scenario | rule | p50 ms | p99 ms | p99.9 ms | p50/ideal | "
           "p99/ideal | p99.9/ideal | extra messages/task | failed |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
           argv[1], SEEDS);
  for (s = 0; s < N_SCENARIOS; s++)
    {
      Sum ideal = { 0 };

      for (c = 0; c < N_CONTENDERS; c++)
        {
          Sum sum = { 0 };

          measure (ctx, &scenarios[s], &contenders[c], &sum);
          if (c == 0)
            ideal = sum;
          write_json (json, &scenarios[s], &contenders[c], &sum, &ideal,
                      s + c == 0);
          write_row (table, &scenarios[s], &contenders[c], &sum, &ideal);
        }
    }
  fprintf (json, "\n]}\n");
  talloc_free (ctx);
  return fclose (json) == 0 && fclose (table) == 0 ? 0 : 1;
}

static void
measure (TALLOC_CTX *ctx, const Scenario *s, const Contender *c, Sum *sum)
{
  uint64_t seed;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      TALLOC_CTX *tmp = talloc_new (ctx);
      BenchMix mix = s->mix;
      BenchWorkload *load;
      BenchRun run = { .rule = c->rule,
                       .order = c->order,
                       .is_ideal = c->is_ideal,
                       .fault = s->fault,
                       .fault_at = FAULT_AT,
                       .delay = c->is_ideal ? 0 : DELAY,
                       .bad_customer = s->has_bad_customer ? 4 : ANY_CUSTOMER,
                       .seed = seed };

      mix.length = LENGTH;
      load = bench_workload_new (tmp, &mix, seed);
      add_run (sum, s, c, load, bench_fleet_run (tmp, load, &run));
      talloc_free (tmp);
    }
  find_percentiles (sum);
}

static void
add_run (Sum *sum,
         const Scenario *s,
         const Contender *c,
         const BenchWorkload *load,
         const BenchResult *result)
{
  uint32_t i;

  sum->response
      = realloc (sum->response, (sum->n + load->n_jobs) * sizeof (double));
  if (sum->response == NULL)
    abort ();
  for (i = 0; i < load->n_jobs; i++)
    if (s->measured == ANY_CUSTOMER
        || (load->jobs[i].customer == s->measured && load->jobs[i].n == 1))
      sum->response[sum->n++] = (double) result->response[i] / 1000.0;
  sum->n_tasks += load->n_tasks;
  if (c->rule == HS_DISPATCH_RULE_CREDITS && !c->is_ideal)
    {
      sum->borrows += result->borrows;
      sum->grants += result->grants;
    }
  sum->refused += result->refused;
  sum->failed += result->failed;
  sum->n_late += result->n_late;
  sum->ejected_healthy += result->ejected_healthy;
}

static void
find_percentiles (Sum *sum)
{
  size_t i;

  qsort (sum->response, sum->n, sizeof (double), by_value);
  for (i = 0; i < N_PERCENTILES; i++)
    sum->percentiles[i]
        = sum->response[(size_t) (percentiles[i] * (double) (sum->n - 1))];
  free (sum->response);
  sum->response = NULL;
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
per_task (const Sum *sum, uint64_t n)
{
  return (double) n / (double) sum->n_tasks;
}

static void
write_json (FILE *out,
            const Scenario *s,
            const Contender *c,
            const Sum *sum,
            const Sum *ideal,
            bool is_first)
{
  fprintf (out,
           "%s\n{\"scenario\":\"%s\",\"rule\":\"%s\",\"jobs\":%zu,"
           "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"p999_ms\":%.3f,"
           "\"p50_over_ideal\":%.4f,\"p99_over_ideal\":%.4f,"
           "\"p999_over_ideal\":%.4f,\"borrow_per_task\":%.5f,"
           "\"refresh_per_task\":%.5f,\"refused_per_task\":%.6f,"
           "\"failed_share\":%.5f,\"healthy_ejections\":%llu}",
           is_first ? "" : ",", s->name, c->name, sum->n, sum->percentiles[0],
           sum->percentiles[1], sum->percentiles[2],
           sum->percentiles[0] / ideal->percentiles[0],
           sum->percentiles[1] / ideal->percentiles[1],
           sum->percentiles[2] / ideal->percentiles[2],
           per_task (sum, sum->borrows), per_task (sum, sum->grants),
           per_task (sum, sum->refused),
           (double) sum->failed / (double) sum->n_late,
           (unsigned long long) sum->ejected_healthy);
}

static void
write_row (FILE *out,
           const Scenario *s,
           const Contender *c,
           const Sum *sum,
           const Sum *ideal)
{
  fprintf (out,
           "| %s | %s | %.1f | %.0f | %.0f | %.3f | %.3f | %.3f | %.3f | "
           "%.2f%% |\n",
           s->name, c->name, sum->percentiles[0], sum->percentiles[1],
           sum->percentiles[2], sum->percentiles[0] / ideal->percentiles[0],
           sum->percentiles[1] / ideal->percentiles[1],
           sum->percentiles[2] / ideal->percentiles[2],
           per_task (sum, sum->borrows + sum->grants + sum->refused),
           100.0 * (double) sum->failed / (double) sum->n_late);
}
