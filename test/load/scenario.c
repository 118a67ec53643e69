#include "scenario.h"

#include <math.h>
#include <stdio.h>

static double mean_size (const Scenario *scenario);
static void draw_job (PlannedJob *job,
                      TALLOC_CTX *ctx,
                      const Scenario *scenario,
                      GRand *rand);

bool
scenario_parse_sizes (Scenario *scenario, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);
  double sum = 0;
  uint32_t i;

  scenario->n_sizes = 0;
  for (i = 0; parts[i] != NULL; i++)
    {
      ScenarioSize *size = &scenario->sizes[i];
      g_auto (GStrv) pair = g_strsplit (parts[i], ":", 2);
      guint64 n_tasks;

      if (i == SCENARIO_SIZES_MAX || g_strv_length (pair) != 2
          || !g_ascii_string_to_unsigned (pair[0], 10, 1, UINT16_MAX, &n_tasks,
                                          NULL))
        return false;
      size->n_tasks = (uint32_t) n_tasks;
      size->share = g_ascii_strtod (pair[1], NULL);
      sum += size->share;
    }
  scenario->n_sizes = i;
  for (i = 0; i < scenario->n_sizes; i++)
    scenario->sizes[i].share /= sum;
  return scenario->n_sizes > 0 && sum > 0;
}

bool
scenario_parse_run_ms (Scenario *scenario, const char *text)
{
  g_auto (GStrv) pair = g_strsplit (text, "-", 2);
  guint64 min;
  guint64 max;

  if (g_strv_length (pair) != 2
      || !g_ascii_string_to_unsigned (pair[0], 10, 1, UINT32_MAX, &min, NULL)
      || !g_ascii_string_to_unsigned (pair[1], 10, min, UINT32_MAX, &max, NULL))
    return false;
  scenario->run_min_ms = (uint32_t) min;
  scenario->run_max_ms = (uint32_t) max;
  return true;
}

PlannedJob *
scenario_plan (TALLOC_CTX *ctx, const Scenario *scenario, size_t *n)
{
  GRand *rand = g_rand_new_with_seed (scenario->seed);
  double rate = scenario->tasks_per_s > 0
                    ? scenario->tasks_per_s / mean_size (scenario)
                    : scenario->jobs_per_s;
  size_t capacity = 64;
  PlannedJob *jobs = talloc_array (ctx, PlannedJob, capacity);
  double at = 0;

  *n = 0;
  for (;;)
    {
      at -= log (1 - g_rand_double (rand)) / rate;
      if (at >= scenario->seconds)
        break;
      if (*n == capacity)
        {
          capacity *= 2;
          jobs = talloc_realloc (ctx, jobs, PlannedJob, capacity);
        }
      jobs[*n].at = (HsTime) (at * (double) HS_SEC);
      draw_job (&jobs[*n], ctx, scenario, rand);
      (*n)++;
    }
  g_rand_free (rand);
  return jobs;
}

static double
mean_size (const Scenario *scenario)
{
  double mean = 0;
  uint32_t i;

  for (i = 0; i < scenario->n_sizes; i++)
    mean += scenario->sizes[i].share * scenario->sizes[i].n_tasks;
  return mean;
}

static uint32_t
draw_size (const Scenario *scenario, GRand *rand)
{
  double left = g_rand_double (rand);
  uint32_t i;

  for (i = 0; i + 1 < scenario->n_sizes; i++)
    {
      left -= scenario->sizes[i].share;
      if (left < 0)
        break;
    }
  return scenario->sizes[i].n_tasks;
}

/**
 * Returns, for the given share of the jobs, a random delay of up to @p max;
 * else a negative value.
 */
static HsTime
draw_delay (double share, HsTime max, GRand *rand)
{
  bool chosen = g_rand_double (rand) < share;
  HsTime delay = (HsTime) (g_rand_double (rand) * (double) max);

  return chosen ? delay : -1;
}

static void
draw_job (PlannedJob *job,
          TALLOC_CTX *ctx,
          const Scenario *scenario,
          GRand *rand)
{
  double min = log (scenario->run_min_ms);
  double span = log (scenario->run_max_ms) - min;
  /* Lasts longer than most jobs, so that both running and finished jobs are
     resubmitted or cancelled. */
  HsTime max_delay = 2 * scenario->run_max_ms * HS_MSEC;
  uint32_t i;

  job->customer = (uint32_t) g_rand_int_range (
      rand, 0, (gint32) g_strv_length (scenario->customers));
  job->entry = (uint32_t) g_rand_int_range (
      rand, 0, (gint32) g_strv_length (scenario->entries));
  job->n_tasks = draw_size (scenario, rand);
  job->run_ms = talloc_array (ctx, uint32_t, job->n_tasks);
  for (i = 0; i < job->n_tasks; i++)
    job->run_ms[i] = (uint32_t) exp (min + span * g_rand_double (rand));
  job->opaque = g_rand_double (rand) < scenario->opaque_share;
  job->resubmit_after = draw_delay (scenario->resubmit_share, max_delay, rand);
  job->cancel_after = draw_delay (scenario->cancel_share, max_delay / 2, rand);
}
