#include "direct/demand.h"

#include <math.h>

#include <glib.h>

/** Time constant of the average rates of arrivals. */
#define RATE_WINDOW (5 * HS_SEC)

/** Lower bound on a customer's rate of jobs when its jobs are valued. */
#define RATE_MIN_PER_S 0.01

/** Weight of a new sample in the averages of work, run time, and share
 *  served. */
#define WORK_WEIGHT 0.05
#define RUN_TIME_WEIGHT 0.05
#define SERVED_WEIGHT 0.05

/** Of the value of a job, this share is fixed, and the rest is in proportion to
 *  its size relative to its customer's mean job; the total is bounded. */
#define VALUE_FLAT_SHARE 0.3
#define VALUE_MAX 4.0

/** If less than this share of a customer's jobs is served in time, their rank
 *  is raised by this factor. */
#define SERVED_SHARE_MIN 0.55
#define BOOST_FACTOR 3.0

/** Jobs with more than this multiple of the customer's mean work are large. */
#define LARGE_JOB_FACTOR 1.7

/** Expected run time of a task without a declared one, of a customer without
 *  runs. */
#define RUN_TIME_DEFAULT (200 * HS_MSEC)

/** Weight of a declared run time against the customer's mean run time, which is
 *  equally inaccurate. */
#define DECLARED_WEIGHT 0.5

/** Spread of run times before the first run, and its bound. */
#define SPREAD_DEFAULT 0.4
#define SPREAD_MAX 1.0

/** Runs after which a customer's expected run time is relied on. With
 *  RUN_TIME_WEIGHT they make up most of the average. */
#define RUNS_KNOWN_MIN 20

/** Bound on the factor by which a single run counts as longer or shorter than
 *  declared. */
#define BIAS_FACTOR_MAX 8.0

typedef struct
{
  double jobs_per_s;
  HsTime rate_updated_at;
  double mean_work_core_s; /* Of a job; 0 before the first. */
  double mean_log_run;     /* Of log (run time in us). */
  double mean_log_bias;    /* Of log (run time / declared run time). */
  double log_error2;       /* Mean square of log (run / expected). */
  uint32_t n_runs;
  double served_share;
  double large_served_share;
} Customer;

struct HsDemand
{
  GHashTable *handle_by_name;
  Customer *customers;
  uint32_t n_customers;
  double jobs_per_s; /* Of all customers. */
  HsTime rate_updated_at;
};

static int free_demand (HsDemand *demand);
static bool is_large_job (const Customer *c, double work);

HsDemand *
hs_demand_new (TALLOC_CTX *ctx)
{
  HsDemand *demand = talloc_zero (ctx, HsDemand);

  demand->handle_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (demand, free_demand);
  return demand;
}

uint32_t
hs_demand_customer_handle (HsDemand *demand, const char *name)
{
  void *stored;
  uint32_t handle = demand->n_customers;

  if (g_hash_table_lookup_extended (demand->handle_by_name, name, NULL,
                                    &stored))
    return GPOINTER_TO_UINT (stored);
  demand->customers = talloc_realloc (demand, demand->customers, Customer,
                                      demand->n_customers + 1);
  demand->customers[handle]
      = (Customer){ .served_share = 1, .large_served_share = 1 };
  demand->n_customers++;
  g_hash_table_insert (demand->handle_by_name, g_strdup (name),
                       GUINT_TO_POINTER (handle));
  return handle;
}

void
hs_demand_job_arrived (HsDemand *demand,
                       uint32_t customer,
                       double work,
                       HsTime now)
{
  Customer *c = &demand->customers[customer];
  double window_s = (double) RATE_WINDOW / HS_SEC;
  double past_s = (double) (now - c->rate_updated_at) / HS_SEC;

  /* An exponentially decaying count, divided by its time constant. */
  c->jobs_per_s = c->jobs_per_s * exp (-past_s / window_s) + 1 / window_s;
  c->rate_updated_at = now;
  past_s = (double) (now - demand->rate_updated_at) / HS_SEC;
  demand->jobs_per_s
      = demand->jobs_per_s * exp (-past_s / window_s) + 1 / window_s;
  demand->rate_updated_at = now;
  if (c->mean_work_core_s <= 0)
    c->mean_work_core_s = work;
  c->mean_work_core_s += (work - c->mean_work_core_s) * WORK_WEIGHT;
}

void
hs_demand_add_run_time (HsDemand *demand,
                        uint32_t customer,
                        HsTime declared,
                        HsTime run)
{
  Customer *c = &demand->customers[customer];
  double weight = MAX (RUN_TIME_WEIGHT, 1.0 / (c->n_runs + 1));
  double log_run = log ((double) MAX (run, 1));
  HsTime expected = hs_demand_expected_run_time (demand, customer, declared);
  double error = log_run - log ((double) MAX (expected, 1));

  c->log_error2 += (error * error - c->log_error2) * weight;
  if (c->n_runs < UINT32_MAX)
    c->n_runs++;
  c->mean_log_run += (log_run - c->mean_log_run) * weight;
  if (declared > 0)
    {
      double bias = CLAMP (log_run - log ((double) declared),
                           -log (BIAS_FACTOR_MAX), log (BIAS_FACTOR_MAX));

      c->mean_log_bias += (bias - c->mean_log_bias) * weight;
    }
}

void
hs_demand_job_ended (HsDemand *demand,
                     uint32_t customer,
                     double work,
                     bool served)
{
  Customer *c = &demand->customers[customer];

  c->served_share += ((served ? 1.0 : 0.0) - c->served_share) * SERVED_WEIGHT;
  if (is_large_job (c, work))
    c->large_served_share
        += ((served ? 1.0 : 0.0) - c->large_served_share) * SERVED_WEIGHT * 2;
}

HsTime
hs_demand_expected_run_time (const HsDemand *demand,
                             uint32_t customer,
                             HsTime declared)
{
  const Customer *c = &demand->customers[customer];
  double log_run;

  if (c->n_runs == 0)
    return declared > 0 ? declared : RUN_TIME_DEFAULT;
  log_run = c->mean_log_run;
  if (declared > 0)
    log_run = log_run * (1 - DECLARED_WEIGHT)
              + (log ((double) declared) + c->mean_log_bias) * DECLARED_WEIGHT;
  return (HsTime) exp (log_run);
}

double
hs_demand_run_time_spread (const HsDemand *demand, uint32_t customer)
{
  const Customer *c = &demand->customers[customer];

  if (!hs_demand_run_time_is_known (demand, customer))
    return SPREAD_DEFAULT;
  return MIN (sqrt (c->log_error2), SPREAD_MAX);
}

bool
hs_demand_run_time_is_known (const HsDemand *demand, uint32_t customer)
{
  return demand->customers[customer].n_runs >= RUNS_KNOWN_MIN;
}

double
hs_demand_job_value (const HsDemand *demand, uint32_t customer, double work)
{
  const Customer *c = &demand->customers[customer];
  double size = c->mean_work_core_s > 0 ? work / c->mean_work_core_s : 1;
  double size_value = VALUE_FLAT_SHARE + (1 - VALUE_FLAT_SHARE) * size;

  /* The rate is relative to that of all jobs at this entry, so that jobs rank
     the same at entries with fewer callers. */
  return MIN (size_value, VALUE_MAX) * demand->jobs_per_s
         / MAX (c->jobs_per_s, RATE_MIN_PER_S);
}

double
hs_demand_priority_boost (const HsDemand *demand,
                          uint32_t customer,
                          double work)
{
  const Customer *c = &demand->customers[customer];
  double boost = 1;

  if (c->served_share < SERVED_SHARE_MIN)
    boost *= BOOST_FACTOR;
  if (is_large_job (c, work)
      && c->large_served_share < c->served_share * SERVED_SHARE_MIN)
    boost *= BOOST_FACTOR;
  return boost;
}

static int
free_demand (HsDemand *demand)
{
  g_hash_table_destroy (demand->handle_by_name);
  return 0;
}

static bool
is_large_job (const Customer *c, double work)
{
  return work > c->mean_work_core_s * LARGE_JOB_FACTOR;
}
