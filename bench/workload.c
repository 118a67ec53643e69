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
  BenchWorkload *load;
  const BenchMix *mix;
  uint64_t random;
  double mean_run; /* Microseconds. */
} Maker;

static double normal (uint64_t *random);
static HsTime run_time (Maker *m);
static HsTime declared_time (Maker *m, HsTime run);
static void add_job (Maker *m, HsTime at, uint32_t customer, uint32_t n);
static uint32_t pick_customer (Maker *m);
static void add_stream (Maker *m, double load, uint32_t size, int32_t customer);
static int by_time (const void *a, const void *b);

BenchWorkload *
bench_workload_new (TALLOC_CTX *ctx, const BenchMix *mix, uint64_t seed)
{
  Maker m = { .load = talloc_zero (ctx, BenchWorkload),
              .mix = mix,
              .random = seed,
              .mean_run = MEDIAN_RUN_US * exp (RUN_SIGMA * RUN_SIGMA / 2) };
  uint32_t i;
  HsTime at;

  for (i = 0; i < N_SIZES; i++)
    add_stream (&m, mix->load / 100.0 / N_SIZES, job_sizes[i], -1);
  add_stream (&m, mix->single_load / 100.0, 1, (int32_t) mix->single_customer);
  if (mix->burst_jobs > 0)
    for (at = mix->burst_period; at < mix->length; at += mix->burst_period)
      for (i = 0; i < mix->burst_jobs; i++)
        add_job (&m, at + i, 0, job_sizes[N_SIZES - 1]);
  qsort (m.load->jobs, m.load->n_jobs, sizeof (BenchJob), by_time);
  for (i = 0; i < m.load->n_jobs; i++)
    {
      uint32_t k;

      for (k = 0; k < m.load->jobs[i].n; k++)
        m.load->tasks[m.load->jobs[i].first + k].job = i;
    }
  return m.load;
}

static double
normal (uint64_t *random)
{
  double a = 1.0 - hs_random_unit (random);
  double b = hs_random_unit (random);

  return sqrt (-2.0 * log (a)) * cos (2.0 * M_PI * b);
}

static HsTime
run_time (Maker *m)
{
  HsTime run = (HsTime) (MEDIAN_RUN_US * exp (RUN_SIGMA * normal (&m->random)));

  run = run < RUN_MIN ? RUN_MIN : run;
  run = run > RUN_MAX ? RUN_MAX : run;
  if (hs_random_below (&m->random, 1000000) < m->mix->straggler_ppm)
    run *= STRAGGLER_FACTOR;
  return run;
}

static HsTime
declared_time (Maker *m, HsTime run)
{
  if (!m->mix->wrong_declared)
    return run;
  return (HsTime) ((double) run
                   * pow (10.0, 2.0 * hs_random_unit (&m->random) - 1.0))
         + 1;
}

static void
add_job (Maker *m, HsTime at, uint32_t customer, uint32_t n)
{
  BenchWorkload *w = m->load;
  uint32_t i;

  if (w->n_jobs == talloc_array_length (w->jobs))
    w->jobs = talloc_realloc (w, w->jobs, BenchJob, w->n_jobs * 2 + 1024);
  if (w->n_tasks + n > talloc_array_length (w->tasks))
    w->tasks
        = talloc_realloc (w, w->tasks, BenchTask, w->n_tasks * 2 + n + 1024);
  w->jobs[w->n_jobs++] = (BenchJob){
    .at = at, .customer = customer, .first = w->n_tasks, .n = n
  };
  for (i = 0; i < n; i++)
    {
      BenchTask *task = &w->tasks[w->n_tasks++];

      task->run = run_time (m);
      task->declared = declared_time (m, task->run);
    }
}

static uint32_t
pick_customer (Maker *m)
{
  uint32_t customer = hs_random_below (&m->random, BENCH_CUSTOMERS);

  if (m->mix->skewed && hs_random_below (&m->random, 10) < 7)
    customer -= customer % BENCH_ENTRIES;
  return customer;
}

/* Poisson arrivals; customer -1: any. */
static void
add_stream (Maker *m, double load, uint32_t size, int32_t customer)
{
  double slots = (double) BENCH_TARGETS * BENCH_SLOTS;
  double gap;
  double at = 0;

  if (load <= 0)
    return;
  gap = m->mean_run * size / (load * slots);
  for (;;)
    {
      at -= gap * log (1.0 - hs_random_unit (&m->random));
      if (at >= (double) m->mix->length)
        return;
      add_job (m, (HsTime) at,
               customer >= 0 ? (uint32_t) customer : pick_customer (m), size);
    }
}

static int
by_time (const void *a, const void *b)
{
  const BenchJob *x = a;
  const BenchJob *y = b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return (x->first > y->first) - (x->first < y->first);
}
