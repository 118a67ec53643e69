/**
 * @file
 * Internals of the load simulation, shared by the load_*.c files.
 */
#ifndef HS_TEST_LOAD_PRIVATE_H
#define HS_TEST_LOAD_PRIVATE_H

#include <glib.h>

#include "direct/crash_message.h"
#include "direct/jobs.h"
#include "direct/resources.h"
#include "direct/runs.h"
#include "load_jobs.h"
#include "load_world.h"
#include "prng.h"
#include "target_model.h"

#define ENTRIES_MAX LOAD_ENTRIES_MAX
#define AGENTS_MAX 256

/** One-way delay of a message, unless the plan has a longer one between data
 *  centres. */
#define MESSAGE_DELAY (1 * HS_MSEC)

/** As in the real processes; see direct/liveness.h and
 *  platform/target_client.c. */
#define HEARTBEAT_INTERVAL (150 * HS_MSEC)
#define START_TIMEOUT (20 * HS_MSEC)

typedef enum
{
  MSG_ORDERS,
  MSG_REPORT,
  MSG_STARTED,
  MSG_POLL,
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
  HsTargetPoll poll;
  HsRunKey key;
  uint64_t token;
  HsTime sent;
  hsx_orders_args orders; /* Its arrays are allocated with g_malloc. */
  hsx_report_args report;
  HsCrash crash; /* Reported if its number isn't 0. */
} Msg;

typedef struct
{
  unsigned int number;
  HsTargets *targets;
  HsJobs *jobs;
  GArray *launches[AGENTS_MAX]; /* Launch. */
  GArray *stops[AGENTS_MAX];
  HsTime ordered_at[AGENTS_MAX];
  bool orders_due[AGENTS_MAX];
  bool backlog_sent[AGENTS_MAX];
  unsigned int next_backlog_agent;
  bool linked[AGENTS_MAX]; /* Connected to this agent. */
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
  HsTargetModel model;
  GArray *ends[ENTRIES_MAX];
  uint32_t orders_seen[ENTRIES_MAX];
  HsTime reported_at[ENTRIES_MAX];
  bool report_due[ENTRIES_MAX];
  bool offer_due[ENTRIES_MAX];
  bool crash_due[ENTRIES_MAX];
  uint32_t cpu_milli;
  HsTime tick_at;
  HsTime crash_at;   /* A running task crashes the target then; 0: none. */
  HsTime down_until; /* Of a target that has crashed; 0: it is up. */
} Agent;

typedef struct
{
  const LoadPlan *plan;
  Prng random;
  HsTime now;
  HsTime start; /* Start of the load. */
  Entry entries[ENTRIES_MAX];
  Agent agents[AGENTS_MAX];
  GArray *messages; /* Msg *. */
  GArray *jobs;     /* LoadJob. */
  LoadResult result;
  double value_offered;
  double value_earned;
  double useful_core_s; /* Used by jobs that were completed. */
  void *ctx;
} World;

extern World load_world;

/** Sends a message. @return the message, for the caller to fill in; owned by
 *  the simulation */
Msg *load_send_message (MsgKind kind, HsTime delay);

/** Data centre of an entry or of an agent. */
unsigned int load_entry_data_centre (const LoadPlan *plan, unsigned int entry);
unsigned int load_agent_data_centre (const LoadPlan *plan, unsigned int agent);

/** Number of entries that each agent is connected to. */
unsigned int load_links_per_agent (const LoadPlan *plan);

/** Free processors of an agent's target, in thousandths of a core. */
unsigned int load_free_milli (unsigned int agent);

/** The job with this id. */
LoadJob *load_job_by_id (const char *id);

/** @name load_effects.c: actions of the scheduling modules @{ */
extern const HsRunsEffects LOAD_RUNS_EFFECTS;
extern const HsJobsEffects LOAD_JOBS_EFFECTS;
/** @} */

/** @name load_crashes.c: crashes of targets @{ */
/** Draws the jobs that crash their targets. */
void load_draw_crashing_jobs (const LoadPlan *plan);
/** A run has started: notes when it crashes the target, if it does. */
void load_crash_after_start (Agent *agent, const HsRunKey *key);
/** Whether the target has crashed and not restarted yet. */
bool load_agent_is_down (Agent *agent);
/** Crashes or restarts the target if that is due. */
void load_step_crashes (Agent *agent);
/** @} */

/** @name load_messages.c: messages, and the steps of the processes @{ */
void load_deliver_messages (void);
void load_step_agent (Agent *agent);
void load_step_entry (Entry *entry);
/** @} */

#endif
