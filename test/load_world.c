#include "load_world.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "direct/jobs.h"
#include "direct/room.h"
#include "direct/runs.h"
#include "random_walk.h"
#include "runner_model.h"

#define ENTRIES_MAX 16
#define AGENTS_MAX 80
#define STEP (1 * HS_MSEC)
#define MESSAGE_DELAY (1 * HS_MSEC)
#define PULSE (150 * HS_MSEC)
#define START_TIMEOUT (35 * HS_MSEC)
#define LATE_FACTOR 3

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

typedef enum
{
  MSG_ORDERS,
  MSG_REPORT,
  MSG_STARTED,
  MSG_LOOKED,
  MSG_STOP
} MsgKind;

typedef struct
{
  MsgKind kind;
  HsTime due;
  unsigned int entry;
  unsigned int agent;
  uint32_t run;
  HsTargetResult result;
  HsTargetLook look;
  HsRunKey key;
  uint64_t token;
  HsTime sent;
  hsx_orders_args orders; /* Arrays are g_malloc'ed. */
  hsx_report_args report;
} Msg;

typedef struct
{
  unsigned int number;
  HsTargets *targets;
  HsJobs *jobs;
  GArray *launches[AGENTS_MAX]; /* Launch. */
  GArray *stops[AGENTS_MAX];
  HsTime ordered_at[AGENTS_MAX];
  bool answer_due[AGENTS_MAX];
  bool asked[AGENTS_MAX];
} Entry;

typedef struct
{
  hsx_launch launch;
  hsx_launch_task task;
} Launch;

typedef struct
{
  unsigned int number;
  HsRuns *runs;
  HsRunnerModel model;
  GArray *ends[ENTRIES_MAX];
  uint32_t orders_seen[ENTRIES_MAX];
  HsTime reported_at[ENTRIES_MAX];
  bool report_due[ENTRIES_MAX];
  bool offer_due[ENTRIES_MAX];
  uint32_t cpu_milli;
  HsTime tick_at;
} Agent;

typedef struct
{
  unsigned int kind;
  HsTime arrived;
  HsTime objective; /* By true run times. */
  double worth;
  hsx_room needs;
} Job;

typedef struct
{
  const LoadPlan *plan;
  RandomWalk random;
  HsTime now;
  Entry entries[ENTRIES_MAX];
  Agent agents[AGENTS_MAX];
  GArray *messages;   /* Msg *. */
  GArray *jobs;       /* Job. */
  GHashTable *run_us; /* Task's name to its true run time. */
  LoadResult result;
  double owed;
  double earned;
  void *ctx;
} World;

static World world;

static double
uniform (void)
{
  return (random_pick (&world.random, 1000000) + 0.5) / 1000000;
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

static Msg *
post (MsgKind kind, HsTime delay)
{
  Msg *msg = g_new0 (Msg, 1);

  msg->kind = kind;
  msg->due = world.now + delay;
  g_array_append_val (world.messages, msg);
  return msg;
}

/* What an agent's runs ask of the target. */

static bool
is_lost (void)
{
  return random_pick (&world.random, 100) < world.plan->lost_percent;
}

static HsTime
true_run (const Agent *agent, const HsRunKey *key)
{
  g_autofree char *name = g_strdup_printf ("%s.%u", key->job, key->index);
  HsTime run = GPOINTER_TO_SIZE (g_hash_table_lookup (world.run_us, name));

  if (agent->number < world.plan->failing)
    return 5 * HS_MSEC;
  if (agent->number >= world.plan->agents - world.plan->slow)
    run *= 6;
  return MAX (run, HS_MSEC);
}

static bool
hangs (const Agent *agent)
{
  unsigned int at = agent->number - world.plan->failing;

  return agent->number >= world.plan->failing && at < world.plan->hanging;
}

static const Job *
job_of (const char *id)
{
  return &g_array_index (world.jobs, Job, g_ascii_strtoull (id, NULL, 16));
}

static void
on_start (void *arg, uint32_t run, const HsTargetStart *start)
{
  Agent *agent = arg;
  Msg *msg;
  HsTargetResult result = HS_TARGET_UNANSWERED;
  bool lost = is_lost ();

  if (!lost || random_pick (&world.random, 2) == 0)
    result = hs_runner_model_start (
        &agent->model, start, true_run (agent, &start->key), hangs (agent),
        job_of (start->key.job)->needs.cpu_milli, world.now);
  if (agent->model.cpu_milli > agent->cpu_milli)
    world.result.overfilled++;
  msg = post (MSG_STARTED, lost ? START_TIMEOUT : HS_MSEC);
  msg->agent = agent->number;
  msg->run = run;
  msg->result = lost ? HS_TARGET_UNANSWERED : result;
}

static void
on_forget (void *arg, uint32_t run)
{
  (void) arg;
  (void) run;
}

static void
on_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  Agent *agent = arg;

  if (!is_lost ())
    hs_runner_model_stop (&agent->model, key, token, world.now);
}

static void
on_look (void *arg, const HsTargetLook *look)
{
  Agent *agent = arg;
  Msg *msg = post (MSG_LOOKED, 0);
  bool lost = is_lost ();

  msg->agent = agent->number;
  msg->look = *look;
  msg->sent = world.now;
  msg->result = lost ? HS_TARGET_UNANSWERED : HS_TARGET_OK;
  if (lost)
    msg->due = world.now + look->timeout_ms * HS_MSEC;
}

static void
on_ended (void *arg, uint32_t peer, const HsRunKey *key, const hsx_end *end)
{
  Agent *agent = arg;
  hsx_end told = *end;

  (void) key;
  if (agent->number < world.plan->failing && told.how == HSX_END_DONE)
    told.how = HSX_END_FAILED;
  if (told.how == HSX_END_FAILED || told.how == HSX_END_STALLED)
    world.result.bad_ends++;
  if (told.how == HSX_END_REFUSED && told.reason == HS_REFUSAL_ROOM)
    world.result.refused_room++;
  g_array_append_val (agent->ends[peer], told);
}

static void
on_changed (void *arg)
{
  Agent *agent = arg;
  unsigned int e;

  for (e = 0; e < world.plan->entries; e++)
    agent->report_due[e] = true;
}

static void
on_offered (void *arg, uint32_t peer)
{
  Agent *agent = arg;

  agent->offer_due[peer] = true;
}

static const HsRunsEffects RUNS_EFFECTS = { on_start,  on_forget, on_stop,
                                            on_look,   on_ended,  on_changed,
                                            on_offered };

/* What an entry's jobs ask for. */

static uint32_t
on_launch (void *arg,
           uint32_t target,
           const hsx_launch *job,
           const hsx_launch_task *task)
{
  Entry *entry = arg;
  Launch launch = { *job, *task };

  launch.launch.job = g_strdup (job->job);
  launch.launch.spec.spec_val = NULL;
  launch.launch.spec.spec_len = 0;
  g_array_append_val (entry->launches[target], launch);
  world.result.launches++;
  return hs_targets_get (entry->targets, target)->sent + 1;
}

static void
on_job_stop (void *arg, uint32_t target, uint64_t ref)
{
  Entry *entry = arg;

  g_array_append_val (entry->stops[target], ref);
}

/* Whether a task would have fitted somewhere where tasks run well. */
static bool
fits_somewhere (const Job *job)
{
  unsigned int a;

  for (a = world.plan->failing + world.plan->hanging; a < world.plan->agents;
       a++)
    if (world.agents[a].model.cpu_milli + job->needs.cpu_milli
        <= world.agents[a].cpu_milli)
      return true;
  return false;
}

static void
on_answer (void *arg, const HsJobAnswer *answer)
{
  const Job *job = &g_array_index (world.jobs, Job, answer->request);
  LoadKind *kind = &world.result.kinds[job->kind];

  (void) arg;
  switch (answer->kind)
    {
    case HS_ANSWER_COMPLETED:
      if (answer->took <= job->objective)
        {
          kind->in_time++;
          world.earned += job->worth;
        }
      else
        {
          kind->late++;
          if (answer->took <= LATE_FACTOR * job->objective)
            world.earned += job->worth / 5;
        }
      return;
    case HS_ANSWER_REFUSED:
      kind->refused++;
      kind->waited_ms += (double) answer->took / HS_MSEC;
      world.result.refused_free += fits_somewhere (job);
      return;
    default:
      kind->lost++;
      return;
    }
}

static void
on_task_ended (void *arg,
               const char *id,
               uint32_t target,
               const HsTask *task,
               const hsx_end *end)
{
  (void) arg;
  (void) id;
  (void) target;
  (void) task;
  (void) end;
}

static void
on_not_held (void *arg, const char *id, uint32_t target, const HsTask *task)
{
  (void) arg;
  (void) id;
  (void) target;
  (void) task;
}

static const HsJobsEffects JOBS_EFFECTS
    = { on_launch, on_job_stop, on_answer, on_task_ended, on_not_held };

/* Messages. */

static void
send_orders (Entry *entry, unsigned int a, const hsx_want *want)
{
  HsTarget *target = hs_targets_get (entry->targets, a);
  Msg *msg = post (MSG_ORDERS, world.plan->central ? 0 : MESSAGE_DELAY);
  GArray *launches = entry->launches[a];
  GArray *stops = entry->stops[a];

  msg->entry = entry->number;
  msg->agent = a;
  msg->sent = world.now;
  msg->orders.number = ++target->sent;
  msg->orders.stamp_us = target->stamp_us;
  msg->orders.want = *want;
  msg->orders.stops.stops_len = stops->len;
  msg->orders.stops.stops_val = g_memdup2 (stops->data, stops->len * 8);
  /* Each launch is one task here. */
  msg->orders.launches.launches_len = launches->len;
  msg->orders.launches.launches_val = (hsx_launch *) g_memdup2 (
      launches->data, launches->len * sizeof (Launch));
  g_array_set_size (launches, 0);
  g_array_set_size (stops, 0);
  entry->ordered_at[a] = world.now;
  entry->answer_due[a] = false;
  entry->asked[a] = want->rank > 0;
}

static void
take_orders (Agent *agent, Msg *msg)
{
  const Launch *launches
      = (const Launch *) (const void *) msg->orders.launches.launches_val;
  u_int i;

  agent->orders_seen[msg->entry] = msg->orders.number;
  hs_runs_want (agent->runs, msg->entry, &msg->orders.want,
                msg->orders.stamp_us);
  for (i = 0; i < msg->orders.stops.stops_len; i++)
    hs_runs_stop (agent->runs, msg->entry, msg->orders.stops.stops_val[i],
                  world.now);
  for (i = 0; i < msg->orders.launches.launches_len; i++)
    {
      hs_runs_launch (agent->runs, msg->entry, &launches[i].launch,
                      &launches[i].task, msg->sent, world.now);
      g_free (launches[i].launch.job);
    }
  g_free (msg->orders.launches.launches_val);
  g_free (msg->orders.stops.stops_val);
}

static void
send_report (Agent *agent, unsigned int e)
{
  Msg *msg = post (MSG_REPORT, world.plan->central ? 0 : MESSAGE_DELAY);
  GArray *ends = agent->ends[e];

  msg->entry = e;
  msg->agent = agent->number;
  msg->report.agent = agent->number + 1;
  msg->report.stamp_us = world.now;
  msg->report.orders_seen = agent->orders_seen[e];
  msg->report.state = hs_runs_state (agent->runs);
  msg->report.free = hs_runs_free (agent->runs, e, world.now);
  msg->report.offer = agent->offer_due[e];
  msg->report.ends.ends_len = ends->len;
  msg->report.ends.ends_val
      = g_memdup2 (ends->data, ends->len * sizeof (hsx_end));
  g_array_set_size (ends, 0);
  agent->offer_due[e] = false;
  agent->report_due[e] = false;
  agent->reported_at[e] = world.now;
}

static void
take_report (Entry *entry, Msg *msg)
{
  hsx_target_info info
      = { (char *) "t", (char *) "s", (char *) "r", (char *) "h", { 0 } };
  u_int i;

  info.capacity.cpu_milli = world.agents[msg->agent].cpu_milli;
  info.capacity.memory_mb = 1000000;
  msg->report.info = &info;
  hs_targets_report (entry->targets, msg->agent, &msg->report, world.now);
  for (i = 0; i < msg->report.ends.ends_len; i++)
    hs_jobs_ended (entry->jobs, msg->agent, &msg->report.ends.ends_val[i],
                   world.now);
  g_free (msg->report.ends.ends_val);
  entry->answer_due[msg->agent] |= msg->report.offer;
  hs_jobs_pump (entry->jobs, world.now);
}

/* A look is answered at the first end, or when its wait is over. */
static bool
try_look (Agent *agent, const Msg *msg)
{
  HsTargetList list;
  HsTargetResult result;

  if (msg->result == HS_TARGET_UNANSWERED)
    {
      hs_runs_looked (agent->runs, msg->look.number, msg->result, NULL,
                      world.now);
      return true;
    }
  if (agent->model.ends->len == 0
      && world.now < msg->sent + msg->look.wait_ms * HS_MSEC)
    return false;
  result = hs_runner_model_look (&agent->model, &msg->look, &list, world.now);
  hs_runs_looked (agent->runs, msg->look.number, result,
                  result == HS_TARGET_OK ? &list : NULL, world.now);
  if (result == HS_TARGET_OK)
    {
      g_free (list.running);
      g_free (list.ends);
    }
  return true;
}

static void
deliver (void)
{
  guint i = 0;

  while (i < world.messages->len)
    {
      Msg *msg = g_array_index (world.messages, Msg *, i);
      bool taken = true;

      if (msg->due > world.now)
        {
          i++;
          continue;
        }
      switch (msg->kind)
        {
        case MSG_ORDERS:
          take_orders (&world.agents[msg->agent], msg);
          break;
        case MSG_REPORT:
          take_report (&world.entries[msg->entry], msg);
          break;
        case MSG_STARTED:
          hs_runs_started (world.agents[msg->agent].runs, msg->run, msg->result,
                           world.now);
          break;
        case MSG_LOOKED:
          taken = try_look (&world.agents[msg->agent], msg);
          break;
        case MSG_STOP:
          break;
        }
      if (!taken)
        {
          i++;
          continue;
        }
      g_array_remove_index (world.messages, i);
      g_free (msg);
    }
}

/* Turns of the processes. */

static void
turn_agent (Agent *agent)
{
  HsTime span = MIN (7 * HS_MSEC * world.plan->entries, PULSE);
  unsigned int e;

  hs_runner_model_advance (&agent->model, world.now);
  hs_runs_tick (agent->runs, world.now);
  for (e = 0; e < world.plan->entries; e++)
    if (agent->ends[e]->len > 0 || agent->offer_due[e]
        || world.now - agent->reported_at[e]
               >= (agent->report_due[e] ? span : PULSE))
      send_report (agent, e);
}

static void
turn_entry (Entry *entry)
{
  hsx_want none = { 0 };
  hsx_want want;
  unsigned int asked = 0;
  unsigned int a;

  hs_jobs_tick (entry->jobs, world.now);
  hs_targets_tick (entry->targets, world.now);
  want = hs_jobs_want (entry->jobs, world.now);
  for (a = 0; a < world.plan->agents; a++)
    asked += entry->asked[a];
  for (a = 0; a < world.plan->agents; a++)
    {
      bool ask = want.rank > 0 && !entry->asked[a] && asked < 16;

      if (!ask && entry->launches[a]->len == 0 && entry->stops[a]->len == 0
          && !entry->answer_due[a] && world.now - entry->ordered_at[a] < PULSE)
        continue;
      asked += ask;
      send_orders (entry, a, ask || entry->asked[a] ? &want : &none);
    }
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
  g_snprintf (id, sizeof id, "%x", world.jobs->len);
  for (i = 0; i < out.n_tasks; i++)
    {
      double run = spread (mean, 0.15);

      g_hash_table_insert (world.run_us, g_strdup_printf ("%s.%u", id, i),
                           GSIZE_TO_POINTER ((gsize) (run * HS_MSEC)));
      longest = MAX (longest, run);
      all += run;
    }
  job.arrived = world.now;
  job.objective = (HsTime) (1.6 * longest * HS_MSEC) + 60 * HS_MSEC;
  job.worth
      = kind->worth * MIN (0.3 + 0.7 * all / (kind->width * kind->run_ms), 4);
  world.owed += job.worth;
  world.result.kinds[job.kind].asked++;
  out.request = world.jobs->len;
  g_array_append_val (world.jobs, job);
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
  entry = random_pick (&world.random, world.plan->entries + 1)
          % world.plan->entries;
  hs_jobs_submit (world.entries[world.plan->central ? 0 : entry].jobs, &out,
                  world.now);
}

static void
set_up (const LoadPlan *plan)
{
  HsRunsOptions options = { .lease = HS_SEC, .stop_timeout = 50 * HS_MSEC };
  unsigned int a;
  unsigned int e;

  memset (&world, 0, sizeof world);
  world.plan = plan;
  world.random = random_walk (plan->seed);
  world.now = 1000 * HS_SEC;
  world.ctx = talloc_new (NULL);
  world.messages = g_array_new (FALSE, FALSE, sizeof (Msg *));
  world.jobs = g_array_new (FALSE, FALSE, sizeof (Job));
  world.run_us = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (a = 0; a < plan->agents; a++)
    {
      Agent *agent = &world.agents[a];
      HsAnnouncement said = { .name = "t", .service = "s", .sequence = 1 };

      agent->number = a;
      agent->cpu_milli
          = plan->cpu_milli + (a % 3 == 2 ? plan->cpu_milli / 2 : 0);
      hs_runner_model_init (&agent->model, world.now);
      agent->runs
          = hs_runs_new (world.ctx, &options, 1000, &RUNS_EFFECTS, agent);
      said.born_ms = agent->model.born_ms;
      said.capacity = (hsx_room){ agent->cpu_milli, 1000000, 0 };
      for (e = 0; e < plan->entries; e++)
        agent->ends[e] = g_array_new (FALSE, FALSE, sizeof (hsx_end));
      hs_runs_announce (agent->runs, &said, world.now);
    }
  for (e = 0; e < plan->entries; e++)
    {
      Entry *entry = &world.entries[e];

      entry->number = e;
      entry->targets = hs_targets_new (world.ctx);
      entry->jobs
          = hs_jobs_new (world.ctx, entry->targets, "dc", &JOBS_EFFECTS, entry);
      for (a = 0; a < plan->agents; a++)
        {
          hs_targets_connect (entry->targets, a + 1, "dc", NULL, world.now);
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

  for (a = 0; a < world.plan->agents; a++)
    {
      hs_runner_model_clear (&world.agents[a].model);
      for (e = 0; e < world.plan->entries; e++)
        {
          g_array_unref (world.agents[a].ends[e]);
          if (a > 0)
            continue;
        }
      for (e = 0; e < world.plan->entries; e++)
        {
          g_array_unref (world.entries[e].launches[a]);
          g_array_unref (world.entries[e].stops[a]);
        }
    }
  for (a = 0; a < world.messages->len; a++)
    g_free (g_array_index (world.messages, Msg *, a));
  g_array_unref (world.messages);
  g_array_unref (world.jobs);
  g_hash_table_destroy (world.run_us);
  talloc_free (world.ctx);
}

LoadResult
load_play (const LoadPlan *plan)
{
  HsTime start;
  HsTime end;
  double due = 0;
  unsigned int i;

  set_up (plan);
  start = world.now + 300 * HS_MSEC;
  end = start + plan->length;
  while (world.now < end + 5 * HS_SEC)
    {
      HsTime at = world.now - start;

      world.now += STEP;
      if (at >= 0 && world.now < end)
        due += plan->jobs_per_s * STEP / HS_SEC
               * (at >= plan->burst_from && at < plan->burst_to ? plan->burst
                                                                : 1);
      for (i = 0; i < plan->agents; i++)
        turn_agent (&world.agents[i]);
      deliver ();
      while (due > 0)
        {
          /* Gaps are exponential in the mean. */
          due -= -log (uniform ());
          arrive ();
        }
      for (i = 0; i < plan->entries; i++)
        turn_entry (&world.entries[i]);
    }
  for (i = 0; i < LOAD_KINDS; i++)
    if (world.result.kinds[i].refused > 0)
      world.result.kinds[i].waited_ms /= world.result.kinds[i].refused;
  world.result.worth = world.earned / world.owed;
  tear_down ();
  return world.result;
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
