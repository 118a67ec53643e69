#include "faults.h"

#include <string.h>

#include "world.h"

typedef struct
{
  Step step;
  Fault fault;
  uint32_t occurrence;       /* Injected at this occurrence of the step. */
  uint32_t occurrences_seen; /* Occurrences in this run so far. */
  bool injected;
} ArmedFault;

/* The processes whose connection breaks. */
typedef struct
{
  Proc *entry;
  Proc *agent;
} EntryAgentPair;

static struct
{
  Step step;
  ArmedFault armed[FAULTS_PER_MIXED_RUN];
  uint32_t n_armed;
  uint32_t injected;
  bool injecting;
  bool break_next_start; /* The connection of the next START breaks. */
} state;

static const struct
{
  const char *name;
} STEPS[STEP_COUNT + 1] = {
  { "accept" },     { "forward" },     { "claim" },         { "queue" },
  { "start-sent" }, { "start-gated" }, { "target-called" }, { "result" },
  { "answer" },     { "announce" },    { "leave" },         { "renewal" },
  { "takeover" },   { "recover" },     { "settle" },        { "borrow" },
  { "handover" },   { "promise" },     { "edit" },          { "watch" },
  { "mixed" },
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

static uint32_t occurrence_range (Step step);
static void inject_armed (ArmedFault *armed, const FaultPoint *point);
static void break_start_connection (const FaultPoint *point);
static void on_connection_break (void *arg);
static bool step_is_local (Step step);
static bool injects_before (Fault fault, Step step);
static Fault draw_fault (Step step);

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
fault_short_name (Fault fault)
{
  return FAULTS[fault].mark;
}

const char *
fault_exclusion_reason (Step step, Fault fault)
{
  switch (fault)
    {
    case FAULT_KILL_PEER:
    case FAULT_PAUSE_PEER:
      if (step_calls_store (step))
        return "the peer is the store, whose faults have columns of their own";
      if (step_faces_caller (step))
        return "the peer is a caller, which can only disconnect: see lost";
      if (step_is_local (step))
        return "the step has no peer process";
      return NULL;
    case FAULT_LOST:
    case FAULT_DELAYED:
    case FAULT_DUPLICATED:
    case FAULT_REORDERED:
      if (step_is_local (step))
        return "the step sends no message between hosts";
      return NULL;
    case FAULT_CROSSED:
      if (step_is_local (step))
        return "the step sends no message between hosts";
      if (step_calls_store (step))
        return "an HTTP response belongs to its request";
      return NULL;
    default:
      return NULL;
    }
}

void
faults_begin (Step step, Fault fault, bool at_first)
{
  uint32_t most = occurrence_range (step);
  uint32_t i;

  memset (&state, 0, sizeof state);
  state.step = step;
  if (fault == FAULT_NONE)
    return;
  state.n_armed = fault == FAULT_TWICE || fault == FAULT_TWO ? 2 : 1;
  state.armed[0].fault = state.n_armed == 2 ? draw_fault (step) : fault;
  state.armed[1].fault
      = fault == FAULT_TWO ? draw_fault (step) : state.armed[0].fault;
  state.armed[0].occurrence = at_first ? 1 : 1 + sim_random (most);
  state.armed[1].occurrence = state.armed[0].occurrence + 1 + sim_random (most);
  for (i = 0; i < state.n_armed; i++)
    state.armed[i].step = step;
}

void
faults_begin_mixed (bool at_first)
{
  uint32_t i;

  memset (&state, 0, sizeof state);
  state.step = STEP_MIXED;
  state.n_armed = FAULTS_PER_MIXED_RUN;
  for (i = 0; i < FAULTS_PER_MIXED_RUN; i++)
    {
      ArmedFault *armed = &state.armed[i];

      armed->step = sim_random (STEP_COUNT);
      armed->fault = draw_fault (armed->step);
      armed->occurrence
          = at_first ? 1 : 1 + sim_random (occurrence_range (armed->step));
    }
}

bool
faults_get_armed (uint32_t i, Step *step, Fault *fault)
{
  if (i >= state.n_armed)
    return false;
  *step = state.armed[i].step;
  *fault = state.armed[i].fault;
  return true;
}

void
faults_break_next_start (void)
{
  state.break_next_start = true;
}

uint32_t
faults_injected_count (void)
{
  return state.injected;
}

bool
faults_is_fault_free (void)
{
  return state.n_armed == 0 && state.step != STEP_TAKEOVER
         && state.step != STEP_RECOVER && state.step != STEP_SETTLE
         && state.step != STEP_PROMISE;
}

bool
fault_before (Step step, Proc *actor, Proc *peer, HsConn *conn)
{
  FaultPoint point = { step, false, actor, peer, conn };

  if (proc_is_running (actor))
    fault_point_reached (&point);
  return proc_is_running (actor);
}

void
fault_after (Step step, Proc *actor, Proc *peer, HsConn *conn)
{
  FaultPoint point = { step, true, actor, peer, conn };

  if (proc_is_running (actor))
    fault_point_reached (&point);
}

void
fault_point_reached (const FaultPoint *point)
{
  uint32_t i;

  if (state.break_next_start && point->step == STEP_START_SENT && point->after)
    break_start_connection (point);
  if (sim_now () < FAULTS_WARM_UP || state.injecting)
    return;
  for (i = 0; i < state.n_armed; i++)
    {
      ArmedFault *armed = &state.armed[i];

      if (armed->step != point->step)
        continue;
      if (!point->after)
        armed->occurrences_seen++;
      if (!armed->injected && armed->occurrences_seen >= armed->occurrence
          && injects_before (armed->fault, point->step) != point->after)
        inject_armed (armed, point);
    }
}

static void
inject_armed (ArmedFault *armed, const FaultPoint *point)
{
  armed->injected = true;
  state.injected++;
  sim_trace ("FAULT %s %s %s of %s", fault_name (armed->fault),
             point->after ? "after" : "before", step_name (point->step),
             point->actor->name);
  state.injecting = true;
  fault_inject (armed->fault, point);
  state.injecting = false;
  world_faults_last_until (sim_now ());
}

/* Number of first occurrences of a step among which a fault's occurrence is
   chosen: fewer for the steps from STEP_ANNOUNCE on, which are rarer. */
static uint32_t
occurrence_range (Step step)
{
  return step >= STEP_ANNOUNCE ? 2 : 6;
}

/* Once the connection is broken, the entry can't know whether the START
   arrived. */
static void
break_start_connection (const FaultPoint *point)
{
  EntryAgentPair *link;

  state.break_next_start = false;
  if (sim_random (2) == 0)
    {
      net_break (point->conn);
      return;
    }
  link = talloc_zero (NULL, EntryAgentPair);
  link->entry = point->actor;
  link->agent = point->peer;
  sim_schedule (sim_now () + 2 * NET_DELAY, NULL, on_connection_break, link,
                true);
}

static void
on_connection_break (void *arg)
{
  const EntryAgentPair *link = arg;

  net_break_between (link->entry, link->agent);
}

bool
step_calls_store (Step step)
{
  return step == STEP_CLAIM || step == STEP_RENEWAL || step == STEP_TAKEOVER
         || step == STEP_EDIT || step == STEP_WATCH;
}

bool
step_faces_caller (Step step)
{
  return step == STEP_ACCEPT || step == STEP_ANSWER;
}

static bool
step_is_local (Step step)
{
  return step == STEP_QUEUE || step == STEP_TARGET_CALLED || step == STEP_LEAVE;
}

/* Faults of a message between processes are injected after it has been sent;
   those of a store call or a caller's request must be set up before. */
static bool
injects_before (Fault fault, Step step)
{
  if (fault == FAULT_KILL_BEFORE)
    return true;
  if (fault < FAULT_LOST || fault > FAULT_STORE_STALE)
    return false;
  return step_calls_store (step) || step_faces_caller (step)
         || fault >= FAULT_STORE_DOWN;
}

static Fault
draw_fault (Step step)
{
  Fault fault;

  do
    fault = 1 + sim_random (FAULT_TARGET_LYING);
  while (fault_exclusion_reason (step, fault) != NULL);
  return fault;
}
