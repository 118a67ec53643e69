/* The effect of each fault at the point where it is injected. */

#include "faults.h"
#include "callers.h"
#include "operators.h"
#include "world.h"

/** Longer than a lease and than the timeout of a call. */
#define BEYOND_LEASE (6 * HS_SEC)
/** Limits a fault to the next store call: no other call follows within this
 *  time. */
#define ONE_CALL_WINDOW (1 * HS_USEC)
#define TARGET_FAULT_DURATION (4 * HS_SEC)

static void inject_process_fault (Fault fault, const FaultPoint *point);
static void inject_message_fault (Fault fault, const FaultPoint *point);
static void inject_store_call_fault (Fault fault);
static void inject_caller_message_fault (Fault fault);
static void inject_store_fault (Fault fault);
static void inject_target_fault (Fault fault, const FaultPoint *point);

void
fault_inject (Fault fault, const FaultPoint *point)
{
  switch (fault)
    {
    case FAULT_KILL_BEFORE:
    case FAULT_KILL_AFTER:
    case FAULT_HOST_LOST:
    case FAULT_KILL_PEER:
    case FAULT_PAUSE:
    case FAULT_PAUSE_PEER:
      inject_process_fault (fault, point);
      return;
    case FAULT_LOST:
    case FAULT_DELAYED:
    case FAULT_DUPLICATED:
    case FAULT_REORDERED:
    case FAULT_CROSSED:
      inject_message_fault (fault, point);
      return;
    case FAULT_STORE_DOWN:
    case FAULT_STORE_SLOW:
    case FAULT_STORE_ANSWER_LOST:
    case FAULT_STORE_STALE:
      inject_store_fault (fault);
      return;
    case FAULT_OPERATORS:
      operators_edit_concurrently ();
      return;
    case FAULT_TARGET_FAILING:
    case FAULT_TARGET_STRAGGLING:
    case FAULT_TARGET_LYING:
      inject_target_fault (fault, point);
      return;
    case FAULT_NONE:
    case FAULT_TWICE:
    case FAULT_TWO:
    case FAULT_COUNT:
      return;
    }
}

static void
inject_process_fault (Fault fault, const FaultPoint *point)
{
  bool at_peer = fault == FAULT_KILL_PEER || fault == FAULT_PAUSE_PEER;
  Proc *victim = at_peer ? point->peer : point->actor;
  HsTime span;

  if (victim == NULL || !victim->alive)
    return;
  if (fault == FAULT_PAUSE || fault == FAULT_PAUSE_PEER)
    {
      span = sim_random_time (HS_SEC, BEYOND_LEASE + HS_SEC);
      world_pause (victim, span);
    }
  else
    {
      bool with_host = fault == FAULT_HOST_LOST;

      span = sim_random_time (HS_SEC / 10, 4 * HS_SEC);
      world_kill (victim, with_host);
      world_restart_later (victim, span);
    }
  world_faults_last_until (sim_now () + span);
}

static void
inject_message_fault (Fault fault, const FaultPoint *point)
{
  if (step_faces_caller (point->step))
    {
      inject_caller_message_fault (fault);
      return;
    }
  if (point->conn == NULL)
    {
      inject_store_call_fault (fault);
      return;
    }
  world_faults_last_until (sim_now () + BEYOND_LEASE);
  switch (fault)
    {
    case FAULT_LOST:
      net_break (point->conn);
      return;
    case FAULT_DELAYED:
      net_delay (point->conn, BEYOND_LEASE);
      return;
    case FAULT_DUPLICATED:
      callers_resubmit_pending ();
      return;
    case FAULT_REORDERED:
      net_delay (point->conn, sim_random_time (HS_SEC / 10, HS_SEC));
      net_open_second (point->conn);
      return;
    case FAULT_CROSSED:
      net_break_one_side (point->conn,
                          sim_random_time (HS_SEC / 10, 3 * HS_SEC));
      return;
    default:
      return;
    }
}

static void
inject_store_call_fault (Fault fault)
{
  HsTime until = sim_now () + ONE_CALL_WINDOW;

  world_faults_last_until (sim_now () + BEYOND_LEASE);
  switch (fault)
    {
    case FAULT_LOST:
      store_faults.drop_requests_until = until;
      return;
    case FAULT_DELAYED:
      store_faults.delay_writes_until = until;
      return;
    case FAULT_DUPLICATED:
      store_faults.duplicate_until = until;
      return;
    case FAULT_REORDERED:
      store_faults.slow_until = sim_now () + HS_SEC / 5;
      return;
    default:
      return;
    }
}

static void
inject_caller_message_fault (Fault fault)
{
  world_faults_last_until (sim_now () + BEYOND_LEASE);
  switch (fault)
    {
    case FAULT_LOST:
      callers_lose_next_message ();
      return;
    case FAULT_DELAYED:
      callers_delay_next_message (BEYOND_LEASE);
      return;
    case FAULT_DUPLICATED:
      callers_resubmit_pending ();
      return;
    case FAULT_REORDERED:
    case FAULT_CROSSED:
      callers_resubmit_pending ();
      callers_delay_next_message (sim_random_time (HS_SEC / 10, HS_SEC));
      return;
    default:
      return;
    }
}

static void
inject_store_fault (Fault fault)
{
  HsTime now = sim_now ();
  HsTime until = now + sim_random_time (HS_SEC / 10, BEYOND_LEASE + HS_SEC);

  world_faults_last_until (until + 2 * HS_SEC);
  switch (fault)
    {
    case FAULT_STORE_DOWN:
      store_faults.down_until = until;
      store_faults.hangs = sim_random (2) == 0;
      return;
    case FAULT_STORE_SLOW:
      store_faults.slow_until = until;
      return;
    case FAULT_STORE_ANSWER_LOST:
      store_faults.lose_answers_until = MIN (until, now + 2 * HS_SEC);
      return;
    case FAULT_STORE_STALE:
      store_faults.watch_cut_until = now + sim_random_time (0, 2 * HS_SEC);
      store_faults.stale_until = until;
      if (sim_random (2) == 0)
        hs_kv_compact (world.kv, 0);
      return;
    default:
      return;
    }
}

static void
inject_target_fault (Fault fault, const FaultPoint *point)
{
  static const TargetFault FAILURES[]
      = { TARGET_FAILING, TARGET_BREAKING_CONNECTION, TARGET_REFUSING };
  Proc *agent = point->actor;

  if (agent->kind != PROC_AGENT)
    agent = point->peer;
  if (agent == NULL || agent->kind != PROC_AGENT)
    agent = world_agent (sim_random (WORLD_AGENTS));
  agent->target.fault_until = sim_now () + TARGET_FAULT_DURATION;
  world_faults_last_until (agent->target.fault_until);
  if (fault == FAULT_TARGET_STRAGGLING)
    agent->target.fault = TARGET_STRAGGLING;
  else if (fault == FAULT_TARGET_LYING)
    agent->target.fault = TARGET_WRONG_TASK;
  else
    agent->target.fault = FAILURES[sim_random (G_N_ELEMENTS (FAILURES))];
}
