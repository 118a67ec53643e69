#include "workload.h"

#include <math.h>
#include <stdlib.h>

#include "policy/random.h"

#define MEDIAN_RUN_US 200000.0
#define RUN_SIGMA 0.8
#define RUN_MIN (20 * HS_MSEC)
#define RUN_MAX (8 * HS_SEC)

#define STRAGGLER_FACTOR 10

#define N_SIZES 3
static const uint32_t job_sizes[N_SIZES] = { 1, 30, 390 };

typedef struct
{
  BenchWorkload *workload;
  const BenchMix *mix;
  uint64_t random_state;
  double mean_run; /* In microseconds. */
} Generator;

static double random_normal (uint64_t *state);
static HsTime random_run_time (Generator *gen);
static HsTime random_declared_time (Generator *gen, HsTime run);
static void add_job (Generator *gen, HsTime at, uint32_t customer, uint32_t n);
static uint32_t random_customer (Generator *gen);
static void
add_stream (Generator *gen, double load, uint32_t n_tasks, int32_t customer);
static int compare_arrivals (const void *a, const void *b);

BenchWorkload *
bench_workload_new (TALLOC_CTX *ctx, const BenchMix *mix, uint64_t seed)
{
  Generator gen
      = { .workload = talloc_zero (ctx, BenchWorkload),
          .mix = mix,
          .random_state = seed,
          .mean_run = MEDIAN_RUN_US * exp (RUN_SIGMA * RUN_SIGMA / 2) };
  uint32_t i;
  HsTime at;

  for (i = 0; i < N_SIZES; i++)
    add_stream (&gen, mix->load_percent / 100.0 / N_SIZES, job_sizes[i], -1);
  add_stream (&gen, mix->single_load_percent / 100.0, 1,
              (int32_t) mix->single_customer);
  if (mix->burst_jobs > 0)
    for (at = mix->burst_period; at < mix->duration; at += mix->burst_period)
      for (i = 0; i < mix->burst_jobs; i++)
        add_job (&gen, at + i, 0, job_sizes[N_SIZES - 1]);
  qsort (gen.workload->jobs, gen.workload->n_jobs, sizeof (BenchJob),
         compare_arrivals);
  for (i = 0; i < gen.workload->n_jobs; i++)
    {
      uint32_t k;

      for (k = 0; k < gen.workload->jobs[i].n_tasks; k++)
        gen.workload->tasks[gen.workload->jobs[i].first_task + k].job = i;
    }
  return gen.workload;
}

static double
random_normal (uint64_t *state)
{
  double a = 1.0 - hs_random_unit (state);
  double b = hs_random_unit (state);

  return sqrt (-2.0 * log (a)) * cos (2.0 * M_PI * b);
}

static HsTime
random_run_time (Generator *gen)
{
  HsTime run
      = (HsTime) (MEDIAN_RUN_US
                  * exp (RUN_SIGMA * random_normal (&gen->random_state)));

  run = run < RUN_MIN ? RUN_MIN : run;
  run = run > RUN_MAX ? RUN_MAX : run;
  if (hs_random_below (&gen->random_state, 1000000) < gen->mix->straggler_ppm)
    run *= STRAGGLER_FACTOR;
  return run;
}

static HsTime
random_declared_time (Generator *gen, HsTime run)
{
  if (!gen->mix->has_wrong_declared)
    return run;
  return (HsTime) ((double) run
                   * pow (10.0,
                          2.0 * hs_random_unit (&gen->random_state) - 1.0))
         + 1;
}

static void
add_job (Generator *gen, HsTime at, uint32_t customer, uint32_t n)
{
  BenchWorkload *w = gen->workload;
  uint32_t i;

  if (w->n_jobs == talloc_array_length (w->jobs))
    w->jobs = talloc_realloc (w, w->jobs, BenchJob, w->n_jobs * 2 + 1024);
  if (w->n_tasks + n > talloc_array_length (w->tasks))
    w->tasks
        = talloc_realloc (w, w->tasks, BenchTask, w->n_tasks * 2 + n + 1024);
  w->jobs[w->n_jobs++] = (BenchJob){
    .arrival = at, .customer = customer, .first_task = w->n_tasks, .n_tasks = n
  };
  for (i = 0; i < n; i++)
    {
      BenchTask *task = &w->tasks[w->n_tasks++];

      task->run_time = random_run_time (gen);
      task->declared_run_time = random_declared_time (gen, task->run_time);
    }
}

static uint32_t
random_customer (Generator *gen)
{
  uint32_t customer = hs_random_below (&gen->random_state, BENCH_CUSTOMERS);

  if (gen->mix->is_skewed && hs_random_below (&gen->random_state, 10) < 7)
    customer -= customer % BENCH_ENTRIES;
  return customer;
}

/* Adds jobs with Poisson arrivals. A customer of -1 stands for random ones. */
static void
add_stream (Generator *gen, double load, uint32_t n_tasks, int32_t customer)
{
  double slots = (double) BENCH_TARGETS * BENCH_SLOTS;
  double gap;
  double at = 0;

  if (load <= 0)
    return;
  gap = gen->mean_run * n_tasks / (load * slots);
  for (;;)
    {
      at -= gap * log (1.0 - hs_random_unit (&gen->random_state));
      if (at >= (double) gen->mix->duration)
        return;
      add_job (gen, (HsTime) at,
               customer >= 0 ? (uint32_t) customer : random_customer (gen),
               n_tasks);
    }
}

static int
compare_arrivals (const void *a, const void *b)
{
  const BenchJob *x = a;
  const BenchJob *y = b;

  if (x->arrival != y->arrival)
    return x->arrival < y->arrival ? -1 : 1;
  return (x->first_task > y->first_task) - (x->first_task < y->first_task);
}
