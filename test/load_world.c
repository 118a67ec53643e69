#include "load_world.h"

#include <math.h>
#include <string.h>

#include "load_private.h"

#define STEP (1 * HS_MSEC)

const char *const LOAD_KIND_NAMES[LOAD_KINDS] = { "wide", "long", "small" };

typedef struct
{
  double share;  /* Of the jobs. */
  double width;  /* Mean tasks. */
  double run_ms; /* Mean run time. */
  double worth;  /* Of a mean job, in time. */
} Kind;

/* One day's mix of the users' sites. */
static const Kind KINDS[LOAD_KINDS] = { { 0.245, 8, 60, 0.0291 },
                                        { 0.044, 4, 900, 0.16 },
                                        { 0.711, 2, 200, 0.01 } };

World load_world;

static double
uniform (void)
{
  return (random_pick (&load_world.random, 1000000) + 0.5) / 1000000;
}

/* Log-normal around a mean. */
static double
spread (double mean, double sigma)
{
  double normal = sqrt (-2 * log (uniform ())) * cos (2 * G_PI * uniform ());

  return mean * exp (sigma * normal - sigma * sigma / 2);
}

static double
bounded (double x, double least, double most)
{
  return CLAMP (x, least, most);
}

Msg *
load_post (MsgKind kind, HsTime delay)
{
  Msg *msg = g_new0 (Msg, 1);

  msg->kind = kind;
  msg->due = load_world.now + delay;
  g_array_append_val (load_world.messages, msg);
  return msg;
}

static void
arrive (void)
{
  double pick = uniform ();
  Job job = { 0 };
  HsSubmission out = { 0 };
  const Kind *kind;
  char id[20];
  double mean;
  double longest = 0;
  double all = 0;
  unsigned int entry;
  unsigned int i;

  while (job.kind < LOAD_KINDS - 1 && pick > KINDS[job.kind].share)
    pick -= KINDS[job.kind++].share;
  kind = &KINDS[job.kind];
  mean = bounded (spread (kind->run_ms, 0.4), 2, kind->run_ms * 4);
  out.n_tasks
      = (uint32_t) bounded (spread (kind->width, 0.4), 1, kind->width * 4);
  job.needs
      = (hsx_room){ (unsigned int) bounded (spread (1600, 0.2), 400, 2300), 64,
                    0 };
  g_snprintf (id, sizeof id, "%x", load_world.jobs->len);
  for (i = 0; i < out.n_tasks; i++)
    {
      double run = spread (mean, 0.15);

      g_hash_table_insert (load_world.run_us, g_strdup_printf ("%s.%u", id, i),
                           GSIZE_TO_POINTER ((gsize) (run * HS_MSEC)));
      longest = MAX (longest, run);
      all += run;
    }
  job.arrived = load_world.now;
  job.objective = (HsTime) (1.6 * longest * HS_MSEC) + 60 * HS_MSEC;
  job.worth
      = kind->worth * MIN (0.3 + 0.7 * all / (kind->width * kind->run_ms), 4);
  load_world.owed += job.worth;
  load_world.result.kinds[job.kind].asked++;
  out.request = load_world.jobs->len;
  g_array_append_val (load_world.jobs, job);
  out.id = id;
  out.customer = LOAD_KIND_NAMES[job.kind];
  out.service = "s";
  out.spec = "";
  out.needs = job.needs;
  out.estimate = (HsTime) (spread (mean, 0.4) * HS_MSEC);
  out.left = 4 * HS_SEC;
  out.max_failures = 3;
  out.slack_factor = 1.6;
  out.slack = 60 * HS_MSEC;
  /* Shares of the callers are uneven. */
  entry = random_pick (&load_world.random, load_world.plan->entries + 1)
          % load_world.plan->entries;
  hs_jobs_submit (load_world.entries[load_world.plan->central ? 0 : entry].jobs,
                  &out, load_world.now);
}

static void
set_up (const LoadPlan *plan)
{
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };
  unsigned int a;
  unsigned int e;

  memset (&load_world, 0, sizeof load_world);
  load_world.plan = plan;
  load_world.random = random_walk (plan->seed);
  load_world.now = 1000 * HS_SEC;
  load_world.ctx = talloc_new (NULL);
  load_world.messages = g_array_new (FALSE, FALSE, sizeof (Msg *));
  load_world.jobs = g_array_new (FALSE, FALSE, sizeof (Job));
  load_world.run_us
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (a = 0; a < plan->agents; a++)
    {
      Agent *agent = &load_world.agents[a];
      HsAnnouncement said = { .name = "t", .service = "s", .sequence = 1 };

      agent->number = a;
      agent->cpu_milli
          = plan->cpu_milli + (a % 3 == 2 ? plan->cpu_milli / 2 : 0);
      hs_runner_model_init (&agent->model, load_world.now);
      agent->runs = hs_runs_new (load_world.ctx, &options, 1000,
                                 &LOAD_RUNS_EFFECTS, agent);
      said.born_ms = agent->model.born_ms;
      said.capacity = (hsx_room){ agent->cpu_milli, 1000000, 0 };
      for (e = 0; e < plan->entries; e++)
        agent->ends[e] = g_array_new (FALSE, FALSE, sizeof (hsx_end));
      hs_runs_announce (agent->runs, &said, load_world.now);
    }
  for (e = 0; e < plan->entries; e++)
    {
      Entry *entry = &load_world.entries[e];

      entry->number = e;
      entry->targets = hs_targets_new (load_world.ctx);
      entry->jobs = hs_jobs_new (load_world.ctx, entry->targets, "dc",
                                 &LOAD_JOBS_EFFECTS, entry);
      for (a = 0; a < plan->agents; a++)
        {
          hs_targets_connect (entry->targets, a + 1, "dc", load_world.now);
          entry->launches[a] = g_array_new (FALSE, FALSE, sizeof (Launch));
          entry->stops[a] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
        }
    }
}

static void
tear_down (void)
{
  unsigned int a;
  unsigned int e;

  for (a = 0; a < load_world.plan->agents; a++)
    {
      hs_runner_model_clear (&load_world.agents[a].model);
      for (e = 0; e < load_world.plan->entries; e++)
        {
          g_array_unref (load_world.agents[a].ends[e]);
          if (a > 0)
            continue;
        }
      for (e = 0; e < load_world.plan->entries; e++)
        {
          g_array_unref (load_world.entries[e].launches[a]);
          g_array_unref (load_world.entries[e].stops[a]);
        }
    }
  for (a = 0; a < load_world.messages->len; a++)
    g_free (g_array_index (load_world.messages, Msg *, a));
  g_array_unref (load_world.messages);
  g_array_unref (load_world.jobs);
  g_hash_table_destroy (load_world.run_us);
  talloc_free (load_world.ctx);
}

LoadResult
load_play (const LoadPlan *plan)
{
  HsTime start;
  HsTime end;
  double due = 0;
  unsigned int i;

  set_up (plan);
  start = load_world.now + 300 * HS_MSEC;
  end = start + plan->length;
  while (load_world.now < end + 5 * HS_SEC)
    {
      HsTime at = load_world.now - start;

      load_world.now += STEP;
      if (at >= 0 && load_world.now < end)
        due += plan->jobs_per_s * STEP / HS_SEC
               * (at >= plan->burst_from && at < plan->burst_to ? plan->burst
                                                                : 1);
      for (i = 0; i < plan->agents; i++)
        load_turn_agent (&load_world.agents[i]);
      load_deliver ();
      while (due > 0)
        {
          /* Gaps are exponential in the mean. */
          due -= -log (uniform ());
          arrive ();
        }
      for (i = 0; i < plan->entries; i++)
        load_turn_entry (&load_world.entries[i]);
    }
  for (i = 0; i < LOAD_KINDS; i++)
    if (load_world.result.kinds[i].refused > 0)
      load_world.result.kinds[i].waited_ms
          /= load_world.result.kinds[i].refused;
  load_world.result.worth = load_world.earned / load_world.owed;
  tear_down ();
  return load_world.result;
}

LoadPlan
load_plan_default (uint32_t seed)
{
  LoadPlan plan = { .seed = seed,
                    .entries = 3,
                    .agents = 11,
                    .cpu_milli = 16000,
                    .jobs_per_s = 141,
                    .burst = 1,
                    .length = 12 * HS_SEC };

  return plan;
}
