#include "faults.h"

#include <string.h>

#include "jobs.h"
#include "operators.h"
#include "world.h"

/** Longer than a lease, and than a call's timeout. */
#define BEYOND_LEASE (6 * HS_SEC)
/** The next call of the store only: no other comes within this. */
#define ONE_CALL (1 * HS_USEC)
#define TARGET_SPAN (4 * HS_SEC)

typedef struct
{
  Fault fault;
  uint32_t at; /* Strikes at this occurrence of the step. */
  bool struck;
} Armed;

static struct
{
  Step step;
  Fault column;
  Armed armed[2];
  uint32_t n_armed;
  uint32_t seen; /* Occurrences so far. */
  uint32_t struck;
  bool striking;
} state;

static const struct
{
  const char *name;
} STEPS[STEP_COUNT] = {
  { "accept" },     { "forward" },     { "claim" },         { "queue" },
  { "start-sent" }, { "start-gated" }, { "target-called" }, { "result" },
  { "answer" },     { "announce" },    { "leave" },         { "renewal" },
  { "takeover" },   { "recover" },     { "settle" },        { "borrow" },
  { "handover" },   { "promise" },     { "edit" },          { "watch" },
};

static const struct
{
  const char *name;
  const char *mark;
} FAULTS[FAULT_COUNT] = {
  { "none", "--" },
  { "kill-before", "kb" },
  { "kill-after", "ka" },
  { "host-lost", "hl" },
  { "kill-peer", "kp" },
  { "lost", "lo" },
  { "delayed", "de" },
  { "duplicated", "du" },
  { "reordered", "re" },
  { "crossed", "cr" },
  { "store-down", "sd" },
  { "store-slow", "ss" },
  { "store-answer-lost", "sl" },
  { "store-stale", "st" },
  { "pause", "pa" },
  { "pause-peer", "pp" },
  { "operators", "op" },
  { "target-failing", "tf" },
  { "target-straggling", "ts" },
  { "target-lying", "tl" },
  { "twice", "x2" },
  { "two", "ab" },
};

static bool is_store_step (Step step);
static bool is_caller_step (Step step);
static bool is_local_step (Step step);
static bool strikes_before (Fault fault, Step step);
static Fault draw (Step step);
static void strike (Fault fault, const Point *point);
static void strike_process (Fault fault, const Point *point);
static void strike_message (Fault fault, const Point *point);
static void strike_store_message (Fault fault);
static void strike_caller_message (Fault fault);
static void strike_store (Fault fault);
static void strike_target (Fault fault, const Point *point);
static void disturbed_until (HsTime at);

const char *
step_name (Step step)
{
  return STEPS[step].name;
}

const char *
fault_name (Fault fault)
{
  return FAULTS[fault].name;
}

const char *
fault_mark (Fault fault)
{
  return FAULTS[fault].mark;
}

const char *
fault_absent (Step step, Fault fault)
{
  switch (fault)
    {
    case FAULT_KILL_PEER:
    case FAULT_PAUSE_PEER:
      if (is_store_step (step))
        return "the peer is the store: see its own columns";
      if (is_caller_step (step))
        return "the peer is a caller, who only goes away: see lost";
      if (is_local_step (step))
        return "decided within one process, without a peer";
      return NULL;
    case FAULT_LOST:
    case FAULT_DELAYED:
    case FAULT_DUPLICATED:
    case FAULT_REORDERED:
      if (is_local_step (step))
        return "no message between hosts is part of this step";
      return NULL;
    case FAULT_CROSSED:
      if (is_local_step (step))
        return "no message between hosts is part of this step";
      if (is_store_step (step))
        return "an HTTP answer belongs to its request";
      return NULL;
    default:
      return NULL;
    }
}

void
faults_begin (Step step, Fault fault, bool first)
{
  uint32_t most = step >= STEP_ANNOUNCE ? 2 : 6;

  memset (&state, 0, sizeof state);
  state.step = step;
  state.column = fault;
  if (fault == FAULT_NONE)
    return;
  state.n_armed = fault == FAULT_TWICE || fault == FAULT_TWO ? 2 : 1;
  state.armed[0].fault = state.n_armed == 2 ? draw (step) : fault;
  state.armed[1].fault
      = fault == FAULT_TWO ? draw (step) : state.armed[0].fault;
  state.armed[0].at = first ? 1 : 1 + sim_random (most);
  state.armed[1].at = state.armed[0].at + 1 + sim_random (most);
}

uint32_t
faults_struck (void)
{
  return state.struck;
}

bool
faults_lossless (void)
{
  return state.column == FAULT_NONE && state.step != STEP_TAKEOVER
         && state.step != STEP_RECOVER && state.step != STEP_SETTLE
         && state.step != STEP_PROMISE;
}

bool
fault_before (Step step, Proc *actor, Proc *peer, HsConn *conn)
{
  Point point = { step, false, actor, peer, conn };

  if (proc_acts (actor))
    fault_point (&point);
  return proc_acts (actor);
}

void
fault_after (Step step, Proc *actor, Proc *peer, HsConn *conn)
{
  Point point = { step, true, actor, peer, conn };

  if (proc_acts (actor))
    fault_point (&point);
}

void
fault_point (const Point *point)
{
  uint32_t i;

  if (point->step != state.step || sim_now () < FAULTS_WARM_UP
      || state.striking)
    return;
  if (!point->after)
    state.seen++;
  for (i = 0; i < state.n_armed; i++)
    {
      Armed *armed = &state.armed[i];

      if (armed->struck || state.seen < armed->at
          || strikes_before (armed->fault, point->step) == point->after)
        continue;
      armed->struck = true;
      state.struck++;
      sim_trace ("FAULT %s %s %s of %s", fault_name (armed->fault),
                 point->after ? "after" : "before", step_name (point->step),
                 point->actor->name);
      state.striking = true;
      strike (armed->fault, point);
      state.striking = false;
      disturbed_until (sim_now ());
    }
}

static bool
is_store_step (Step step)
{
  return step == STEP_CLAIM || step == STEP_RENEWAL || step == STEP_TAKEOVER
         || step == STEP_EDIT || step == STEP_WATCH;
}

static bool
is_caller_step (Step step)
{
  return step == STEP_ACCEPT || step == STEP_ANSWER;
}

static bool
is_local_step (Step step)
{
  return step == STEP_QUEUE || step == STEP_TARGET_CALLED || step == STEP_LEAVE;
}

/* A message's fault strikes when it has been sent, but what befalls a call
   of the store or a request is set up before. */
static bool
strikes_before (Fault fault, Step step)
{
  if (fault == FAULT_KILL_BEFORE)
    return true;
  if (fault < FAULT_LOST || fault > FAULT_STORE_STALE)
    return false;
  return is_store_step (step) || is_caller_step (step)
         || fault >= FAULT_STORE_DOWN;
}

static Fault
draw (Step step)
{
  Fault fault;

  do
    fault = 1 + sim_random (FAULT_TARGET_LYING);
  while (fault_absent (step, fault) != NULL);
  return fault;
}

static void
strike (Fault fault, const Point *point)
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
  disturbed_until (sim_now () + span);
}

static void
strike_message (Fault fault, const Point *point)
{
  if (is_caller_step (point->step))
    {
      strike_caller_message (fault);
      return;
    }
  if (point->conn == NULL)
    {
      strike_store_message (fault);
      return;
    }
  disturbed_until (sim_now () + BEYOND_LEASE);
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

  disturbed_until (sim_now () + BEYOND_LEASE);
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
  disturbed_until (sim_now () + BEYOND_LEASE);
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

  disturbed_until (until + 2 * HS_SEC);
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
  disturbed_until (agent->target.mood_until);
  if (fault == FAULT_TARGET_STRAGGLING)
    agent->target.mood = TARGET_STRAGGLING;
  else if (fault == FAULT_TARGET_LYING)
    agent->target.mood = TARGET_LYING;
  else
    agent->target.mood = FAILURES[sim_random (G_N_ELEMENTS (FAILURES))];
}

static void
disturbed_until (HsTime at)
{
  world.calm_at = MAX (world.calm_at, at);
}
