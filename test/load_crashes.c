/* Tasks that crash their targets, and targets whose capacity changes. */
#include <string.h>

#include "load_private.h"

static void crash (Agent *agent);
static void restart (Agent *agent);

void
load_draw_crashing_jobs (const LoadPlan *plan)
{
  Prng random = prng_seeded (plan->seed + 2);
  guint i;

  for (i = 0; i < load_world.jobs->len; i++)
    {
      LoadJob *job = &g_array_index (load_world.jobs, LoadJob, i);

      if (plan->crash_percent == 0 || job->kind != plan->crash_kind
          || job->arrives_at < plan->crash_from
          || job->arrives_at >= plan->crash_to)
        continue;
      job->crashes = prng_below (&random, 100) < plan->crash_percent;
      job->crash_task = prng_below (&random, job->n_tasks);
    }
}

void
load_crash_after_start (Agent *agent, const HsRunKey *key)
{
  LoadJob *job = load_job_by_id (key->job);
  HsTime at = load_world.now + load_world.plan->crash_delay;

  if (!job->crashes || job->crash_task != key->index)
    return;
  if (agent->crash_at == 0 || at < agent->crash_at)
    agent->crash_at = at;
}

bool
load_agent_is_down (Agent *agent)
{
  return agent->down_until != 0;
}

void
load_step_crashes (Agent *agent)
{
  if (agent->crash_at != 0 && load_world.now >= agent->crash_at)
    crash (agent);
  if (agent->down_until != 0 && load_world.now >= agent->down_until)
    restart (agent);
}

/* Counts the crash for each task that would have caused it, and how many
   targets are down at once. */
static void
crash (Agent *agent)
{
  const GArray *running = agent->model.runs;
  unsigned int n_down = 1;
  unsigned int a;
  guint i;

  for (i = 0; i < running->len; i++)
    {
      const HsModelRun *run = &g_array_index (running, HsModelRun, i);
      LoadJob *job = load_job_by_id (run->key.job);

      if (!job->crashes || job->crash_task != run->key.index)
        continue;
      job->n_crashes++;
      load_world.result.task_crashes_max
          = MAX (load_world.result.task_crashes_max, job->n_crashes);
    }
  for (a = 0; a < load_world.plan->n_agents; a++)
    n_down += load_world.agents[a].down_until != 0;
  load_world.result.down_max = MAX (load_world.result.down_max, n_down);
  load_world.result.crashes++;
  agent->crash_at = 0;
  agent->down_until = load_world.now + load_world.plan->down_time;
  hs_target_model_restart (&agent->model, load_world.now);
}

static void
restart (Agent *agent)
{
  HsAnnouncement announcement = { .service = "s", .sequence = 1 };

  agent->down_until = 0;
  hs_target_model_restart (&agent->model, load_world.now);
  g_snprintf (announcement.name, sizeof announcement.name, "t%" G_GINT64_FORMAT,
              agent->model.started_ms);
  announcement.started_ms = agent->model.started_ms;
  announcement.capacity = (hsx_room){ agent->cpu_milli, 1000000, 0 };
  hs_runs_target_announced (agent->runs, &announcement, load_world.now);
}
