#include "world.h"

#include <string.h>

#include "agent/internal.h"
#include "checks.h"
#include "callers.h"
#include "mutants.h"
#include "operators.h"

/** Short, so that even a pause longer than the lease is short. */
#define LEASE (3 * HS_SEC)
#define RETENTION (300 * HS_SEC)
#define TASK_TIMEOUT (8 * HS_SEC)
#define SKEW (250 * HS_MSEC)
/** Interval at which planned stops are checked for their end. */
#define LEAVE_CHECK_PERIOD (50 * HS_MSEC)
/** A process that has stopped as planned starts again after this. */
#define PLANNED_DOWNTIME (4 * HS_SEC)
#define LISTS_CHECK_PERIOD (100 * HS_MSEC)
/** With so many unfinished jobs at an entry some of its tasks wait. */
#define QUEUED_JOBS_MIN 2
#define QUEUE_CHECK_PERIOD (37 * HS_MSEC)

World world;

static void proc_init (Proc *proc, uint32_t number);
static void fill_settings (Proc *proc);
static void on_start (void *arg);
static void on_restart (void *arg);
static void on_leave (void *arg);
static void on_leave_check (void *arg);
static void proc_reap (Proc *proc);
static void on_lists_check (void *arg);
static void on_queue_check (void *arg);

void
world_begin (uint64_t seed, bool trace)
{
  uint32_t i;

  sim_begin (seed, trace);
  memset (&world, 0, sizeof world);
  store_begin ();
  checks_begin ();
  operators_begin ();
  for (i = 0; i < WORLD_PROCS; i++)
    proc_init (&world.procs[i], i);
  for (i = 0; i < WORLD_AGENTS; i++)
    target_begin (world_agent (i));
  on_lists_check (NULL);
}

void
world_end (void)
{
  uint32_t i;

  for (i = 0; i < WORLD_PROCS; i++)
    if (world.procs[i].alive)
      world_kill (&world.procs[i], false);
  sim_end ();
}

void
world_start (Proc *proc)
{
  proc->alive = true;
  proc->dying = false;
  proc->host_dead = false;
  proc->leaving = false;
  proc->leave_at = HS_NEVER;
  proc->target.leaving = false;
  proc->target.left_at = HS_NEVER;
  proc->paused_until = 0;
  proc->mono_offset = sim_random_time (HS_SEC, 100000 * HS_SEC);
  proc->wall_skew_ms = sim_random_time (0, SKEW / HS_MSEC) - SKEW / HS_MSEC / 2;
  proc->started_at = sim_now ();
  memset (proc->seen_revision, 0, sizeof proc->seen_revision);
  proc->ev.proc = proc;
  proc->memory = talloc_new (NULL);
  fill_settings (proc);
  sim_schedule (sim_now (), proc, on_start, proc, false);
}

void
world_kill (Proc *proc, bool with_host)
{
  if (!proc->alive || proc->dying)
    return;
  proc->host_dead = with_host;
  proc->dying = true;
  sim_trace ("%s dies%s", proc->name, with_host ? " with its host" : "");
  if (proc != sim_current ())
    proc_reap (proc);
}

void
world_reap (void)
{
  uint32_t i;

  for (i = 0; i < WORLD_PROCS; i++)
    if (world.procs[i].alive && world.procs[i].dying)
      proc_reap (&world.procs[i]);
}

void
world_pause (Proc *proc, HsTime span)
{
  sim_trace ("%s is paused for %.1f s", proc->name,
             (double) span / (double) HS_SEC);
  proc->paused_until = MAX (proc->paused_until, sim_now () + span);
}

void
world_restart_later (Proc *proc, HsTime span)
{
  sim_schedule (sim_now () + span, NULL, on_restart, proc, false);
}

void
world_stop_planned (Proc *proc)
{
  if (!proc->alive || proc->leaving)
    return;
  proc->leaving = true;
  proc->leave_at = sim_now ();
  sim_schedule (sim_now (), proc, on_leave, proc, false);
  sim_schedule (sim_now () + LEAVE_CHECK_PERIOD, proc, on_leave_check, proc,
                false);
}

void
world_faults_last_until (HsTime at)
{
  world.faults_end_at = MAX (world.faults_end_at, at);
}

Proc *
world_entry (uint32_t i)
{
  return &world.procs[i % WORLD_ENTRIES];
}

Proc *
world_agent (uint32_t i)
{
  return &world.procs[WORLD_ENTRIES + i % WORLD_AGENTS];
}

Proc *
world_find (const char *address)
{
  uint32_t i;

  for (i = 0; i < WORLD_PROCS; i++)
    if (strcmp (world.procs[i].address, address) == 0)
      return &world.procs[i];
  return NULL;
}

bool
proc_is_running (const Proc *proc)
{
  return proc->alive && !proc->dying;
}

static void
proc_init (Proc *proc, uint32_t number)
{
  proc->number = number;
  proc->kind = number < WORLD_ENTRIES ? PROC_ENTRY : PROC_AGENT;
  g_snprintf (proc->name, sizeof proc->name, "%s%u",
              proc->kind == PROC_ENTRY ? "entry" : "agent",
              number < WORLD_ENTRIES ? number : number - WORLD_ENTRIES);
  g_snprintf (proc->address, sizeof proc->address, "10.0.0.%u:7000",
              number + 1);
  proc->leave_at = HS_NEVER;
}

static void
fill_settings (Proc *proc)
{
  HsSettings *settings = &proc->settings;
  HsEntrySettings *entry = &settings->u.entry;
  HsAgentSettings *agent = &settings->u.agent;
  uint32_t i;

  memset (settings, 0, sizeof *settings);
  settings->data_centre = talloc_strdup (proc->memory, "dc1");
  settings->cluster_key = talloc_strdup (proc->memory, "0123456789abcdef");
  if (proc->kind == PROC_ENTRY)
    {
      settings->role = HS_ROLE_ENTRY;
      entry->name = proc->name;
      entry->http_listen = proc->address;
      entry->admin_listen = proc->address;
      entry->rpc_listen = proc->address;
      entry->rpc_address = proc->address;
      entry->threads = 1;
      entry->partitions = WORLD_PARTITIONS;
      entry->lease = LEASE;
      entry->retention = RETENTION;
      entry->max_id_ahead = HS_SEC;
      entry->max_clock_skew = SKEW;
      entry->task_timeout = TASK_TIMEOUT;
      entry->claims_per_s = 20;
      entry->kept_bytes = UINT64_C (256) << 20;
      entry->store = talloc_zero_array (proc->memory, char *, 1);
      return;
    }
  settings->role = HS_ROLE_AGENT;
  agent->name = proc->name;
  agent->target_listen = proc->address;
  agent->rpc_listen = proc->address;
  agent->rpc_address = proc->address;
  agent->rack = talloc_strdup (proc->memory, "r1");
  agent->retention = RETENTION;
  agent->memory_bytes = 1 << 20;
  agent->entries = talloc_zero_array (proc->memory, char *, WORLD_ENTRIES + 1);
  for (i = 0; i < WORLD_ENTRIES; i++)
    agent->entries[i] = world_entry (proc->number + i)->address;
}

static void
on_start (void *arg)
{
  Proc *proc = arg;
  GError *error = NULL;

  if (proc->kind == PROC_ENTRY)
    proc->core = hs_core_new (proc->memory, &proc->ev, &proc->settings, &error);
  else
    proc->agent
        = hs_agent_new (proc->memory, &proc->ev, &proc->settings, &error);
  if (error != NULL)
    g_error ("%s: %s", proc->name, error->message);
  sim_trace ("%s starts", proc->name);
  if (proc->kind == PROC_ENTRY)
    sim_schedule (sim_now () + QUEUE_CHECK_PERIOD, proc, on_queue_check, proc,
                  false);
}

/* STEP_QUEUE has no message; it occurs while tasks wait, which is assumed from
   the number of unfinished jobs. */
static void
on_queue_check (void *arg)
{
  Proc *proc = arg;

  if (hs_owner_unfinished_jobs (proc->core->owner) >= QUEUED_JOBS_MIN
      && fault_before (STEP_QUEUE, proc, NULL, NULL))
    fault_after (STEP_QUEUE, proc, NULL, NULL);
  sim_schedule (sim_now () + QUEUE_CHECK_PERIOD, proc, on_queue_check, proc,
                false);
}

static void
on_restart (void *arg)
{
  Proc *proc = arg;

  if (!proc->alive)
    world_start (proc);
}

static void
on_leave (void *arg)
{
  Proc *proc = arg;

  sim_trace ("%s begins a planned stop", proc->name);
  if (proc->core != NULL)
    hs_core_leave (proc->core);
  else if (proc->agent != NULL)
    hs_agent_leave (proc->agent);
}

static void
on_leave_check (void *arg)
{
  Proc *proc = arg;
  bool left = proc->core != NULL ? proc->core->finished
                                 : hs_agent_has_left (proc->agent);

  if (!left && !mutant_is_active (MUTANT_DRAIN))
    {
      sim_schedule (sim_now () + LEAVE_CHECK_PERIOD, proc, on_leave_check, proc,
                    false);
      return;
    }
  if (proc->kind == PROC_ENTRY && frontend_open_requests (proc) > 0)
    checks_report_violation ("%s stopped with %u requests unanswered",
                             proc->name, frontend_open_requests (proc));
  if (proc->kind == PROC_AGENT && checks_count_running (proc) > 0)
    checks_report_violation ("%s stopped with %u tasks running", proc->name,
                             checks_count_running (proc));
  world_kill (proc, false);
  world_restart_later (proc, PLANNED_DOWNTIME);
}

static void
proc_reap (Proc *proc)
{
  net_proc_died (proc, proc->host_dead);
  if (proc->kind == PROC_ENTRY)
    frontend_proc_died (proc);
  else if (proc->host_dead)
    checks_host_died (proc);
  else
    checks_agent_died (proc);
  memset (&proc->target.handler, 0, sizeof proc->target.handler);
  proc->core = NULL;
  proc->agent = NULL;
  TALLOC_FREE (proc->memory);
  proc->alive = false;
  proc->dying = false;
  proc->incarnation++;
}

static void
on_lists_check (void *arg)
{
  (void) arg;
  checks_check_lists ();
  sim_schedule (sim_now () + LISTS_CHECK_PERIOD, NULL, on_lists_check, NULL,
                false);
}
