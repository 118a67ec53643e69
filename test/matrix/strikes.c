/* What each fault does where it strikes. */

#include "faults.h"
#include "jobs.h"
#include "operators.h"
#include "world.h"

/** Longer than a lease, and than a call's timeout. */
#define BEYOND_LEASE (6 * HS_SEC)
/** The next call of the store only: no other comes within this. */
#define ONE_CALL (1 * HS_USEC)
#define TARGET_SPAN (4 * HS_SEC)

static void strike_process (Fault fault, const Point *point);
static void strike_message (Fault fault, const Point *point);
static void strike_store_message (Fault fault);
static void strike_caller_message (Fault fault);
static void strike_store (Fault fault);
static void strike_target (Fault fault, const Point *point);

void
fault_strike (Fault fault, const Point *point)
{
  switch (fault)
    {
    case FAULT_KILL_BEFORE:
    case FAULT_KILL_AFTER:
    case FAULT_HOST_LOST:
    case FAULT_KILL_PEER:
    case FAULT_PAUSE:
    case FAULT_PAUSE_PEER:
      strike_process (fault, point);
      return;
    case FAULT_LOST:
    case FAULT_DELAYED:
    case FAULT_DUPLICATED:
    case FAULT_REORDERED:
    case FAULT_CROSSED:
      strike_message (fault, point);
      return;
    case FAULT_STORE_DOWN:
    case FAULT_STORE_SLOW:
    case FAULT_STORE_ANSWER_LOST:
    case FAULT_STORE_STALE:
      strike_store (fault);
      return;
    case FAULT_OPERATORS:
      operators_race ();
      return;
    case FAULT_TARGET_FAILING:
    case FAULT_TARGET_STRAGGLING:
    case FAULT_TARGET_LYING:
      strike_target (fault, point);
      return;
    case FAULT_NONE:
    case FAULT_TWICE:
    case FAULT_TWO:
    case FAULT_COUNT:
      return;
    }
}

static void
strike_process (Fault fault, const Point *point)
{
  bool of_peer = fault == FAULT_KILL_PEER || fault == FAULT_PAUSE_PEER;
  Proc *victim = of_peer ? point->peer : point->actor;
  HsTime span;

  if (victim == NULL || !victim->alive)
    return;
  if (fault == FAULT_PAUSE || fault == FAULT_PAUSE_PEER)
    {
      span = sim_between (HS_SEC, BEYOND_LEASE + HS_SEC);
      world_pause (victim, span);
    }
  else
    {
      bool with_host = fault == FAULT_HOST_LOST;

      span = sim_between (HS_SEC / 10, 4 * HS_SEC);
      world_kill (victim, with_host);
      world_restart_later (victim, span);
    }
  world_disturbed_until (sim_now () + span);
}

static void
strike_message (Fault fault, const Point *point)
{
  if (step_is_caller (point->step))
    {
      strike_caller_message (fault);
      return;
    }
  if (point->conn == NULL)
    {
      strike_store_message (fault);
      return;
    }
  world_disturbed_until (sim_now () + BEYOND_LEASE);
  switch (fault)
    {
    case FAULT_LOST:
      net_break (point->conn);
      return;
    case FAULT_DELAYED:
      net_hold (point->conn, BEYOND_LEASE);
      return;
    case FAULT_DUPLICATED:
      jobs_duplicate ();
      return;
    case FAULT_REORDERED:
      net_hold (point->conn, sim_between (HS_SEC / 10, HS_SEC));
      net_second (point->conn);
      return;
    case FAULT_CROSSED:
      net_cross (point->conn, sim_between (HS_SEC / 10, 3 * HS_SEC));
      return;
    default:
      return;
    }
}

static void
strike_store_message (Fault fault)
{
  HsTime until = sim_now () + ONE_CALL;

  world_disturbed_until (sim_now () + BEYOND_LEASE);
  switch (fault)
    {
    case FAULT_LOST:
      store_mood.drop_until = until;
      return;
    case FAULT_DELAYED:
      store_mood.late_until = until;
      return;
    case FAULT_DUPLICATED:
      store_mood.twice_until = until;
      return;
    case FAULT_REORDERED:
      store_mood.slow_until = sim_now () + HS_SEC / 5;
      return;
    default:
      return;
    }
}

static void
strike_caller_message (Fault fault)
{
  world_disturbed_until (sim_now () + BEYOND_LEASE);
  switch (fault)
    {
    case FAULT_LOST:
      jobs_lose_next ();
      return;
    case FAULT_DELAYED:
      jobs_delay_next (BEYOND_LEASE);
      return;
    case FAULT_DUPLICATED:
      jobs_duplicate ();
      return;
    case FAULT_REORDERED:
    case FAULT_CROSSED:
      jobs_duplicate ();
      jobs_delay_next (sim_between (HS_SEC / 10, HS_SEC));
      return;
    default:
      return;
    }
}

static void
strike_store (Fault fault)
{
  HsTime now = sim_now ();
  HsTime until = now + sim_between (HS_SEC / 10, BEYOND_LEASE + HS_SEC);

  world_disturbed_until (until + 2 * HS_SEC);
  switch (fault)
    {
    case FAULT_STORE_DOWN:
      store_mood.down_until = until;
      store_mood.silent = sim_random (2) == 0;
      return;
    case FAULT_STORE_SLOW:
      store_mood.slow_until = until;
      return;
    case FAULT_STORE_ANSWER_LOST:
      store_mood.lose_until = MIN (until, now + 2 * HS_SEC);
      return;
    case FAULT_STORE_STALE:
      store_mood.cut_until = now + sim_between (0, 2 * HS_SEC);
      store_mood.stale_until = until;
      if (sim_random (2) == 0)
        hs_kv_compact (world.kv, 0);
      return;
    default:
      return;
    }
}

static void
strike_target (Fault fault, const Point *point)
{
  static const TargetMood FAILURES[]
      = { TARGET_FAILING, TARGET_CUTTING, TARGET_REFUSING };
  Proc *agent = point->actor;

  if (agent->kind != PROC_AGENT)
    agent = point->peer;
  if (agent == NULL || agent->kind != PROC_AGENT)
    agent = world_agent (sim_random (WORLD_AGENTS));
  agent->target.mood_until = sim_now () + TARGET_SPAN;
  world_disturbed_until (agent->target.mood_until);
  if (fault == FAULT_TARGET_STRAGGLING)
    agent->target.mood = TARGET_STRAGGLING;
  else if (fault == FAULT_TARGET_LYING)
    agent->target.mood = TARGET_LYING;
  else
    agent->target.mood = FAILURES[sim_random (G_N_ELEMENTS (FAILURES))];
}
