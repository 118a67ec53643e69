/* Targets and the agent's two interfaces to them; replaces
   agent/target_call.c and agent/target_api.c. */

#include <string.h>

#include "agent/target_call.h"
#include "checks.h"
#include "callers.h"
#include "mutants.h"
#include "world.h"

/** Delay of a call on the same host. */
#define LOCAL_DELAY (100 * HS_USEC)
/** Announcements are valid for this long. */
#define TARGET_TTL (3 * HS_SEC)
#define ANNOUNCE_PERIOD (1 * HS_SEC)
#define STRAGGLER_FACTOR 10
#define TARGET_MEMORY_MB 1024
#define HTTP_INTERNAL_ERROR 500

struct HsTargetCall
{
  Proc *agent;
  hsx_task_key key;
  char *body;
  u_int body_len;
  HsTargetCallDone done;
  void *arg;
  SimEvent *timeout;
  SimEvent *answer;
  TargetFault fault;
  struct TargetRun *run;
};

/* A task that a target runs, whether or not its agent still waits for it. */
typedef struct TargetRun
{
  HsTargetCall *call; /* NULL: the agent abandoned it or died. */
  uint32_t start;     /* Number from checks_task_started(). */
} TargetRun;

struct HsTargetApi
{
  Proc *agent;
};

static void on_announce_due (void *arg);
static void start_run (HsTargetCall *call, const hsx_start *start);
static void on_refused (void *arg);
static void on_run_end (void *arg);
static void on_answer (void *arg);
static void on_call_timeout (void *arg);
static void finish_call (HsTargetCall *call,
                         HsTargetCallEnd how,
                         const HsTaskCompletion *finish);
static int call_destructor (HsTargetCall *call);
static TargetFault active_target_fault (const Proc *agent);

void
target_begin (Proc *agent)
{
  agent->target.left_at = HS_NEVER;
  sim_schedule (sim_now () + LOCAL_DELAY, NULL, on_announce_due, agent, false);
}

void
target_announce (Proc *agent)
{
  HsTargetAnnouncement a = { .slots = TARGET_SLOTS, .ttl = TARGET_TTL };
  GError *error = NULL;

  if (!agent->alive || agent->target.leaving || agent->agent == NULL
      || agent->target.handler.announce == NULL
      || agent->paused_until > sim_now ())
    return;
  g_strlcpy (a.address, "target", sizeof a.address);
  a.capacity.memory_mb = TARGET_MEMORY_MB;
  agent->target.handler.announce (agent->target.handler_arg, &a, &error);
  g_clear_error (&error);
}

void
target_leave (Proc *agent)
{
  if (agent->target.leaving || !agent->alive
      || !fault_before (STEP_LEAVE, agent, NULL, NULL))
    return;
  agent->target.leaving = true;
  agent->target.left_at = sim_now ();
  sim_trace ("%s: target leaves", agent->name);
  if (!mutant_is_active (MUTANT_LEAVE))
    agent->target.handler.leave (agent->target.handler_arg);
  fault_after (STEP_LEAVE, agent, NULL, NULL);
}

struct HsCurl
{
  int unused;
};

HsCurl *
hs_curl_new (TALLOC_CTX *ctx, struct tevent_context *ev)
{
  (void) ev;
  return talloc_zero (ctx, HsCurl);
}

HsTargetApi *
hs_target_api_new (TALLOC_CTX *ctx,
                   struct tevent_context *ev,
                   const char *listen,
                   const char *key,
                   const HsTargetApiHandler *handler,
                   void *arg,
                   GError **error)
{
  HsTargetApi *api = talloc_zero (ctx, HsTargetApi);

  (void) listen;
  (void) key;
  (void) error;
  api->agent = ev->proc;
  ev->proc->target.handler = *handler;
  ev->proc->target.handler_arg = arg;
  return api;
}

uint16_t
hs_target_api_port (const HsTargetApi *api)
{
  (void) api;
  return 1;
}

void
hs_target_api_answer_leaves (HsTargetApi *api)
{
  sim_trace ("%s: target has left", api->agent->name);
}

HsTargetCall *
hs_target_call (TALLOC_CTX *ctx,
                HsCurl *curl,
                const char *address,
                const hsx_start *start,
                HsTargetCallDone done,
                void *arg)
{
  HsTargetCall *call = talloc_zero (ctx, HsTargetCall);
  Proc *agent = sim_current ();

  (void) curl;
  (void) address;
  call->agent = agent;
  call->key = start->key;
  call->key.customer = talloc_strdup (call, start->key.customer);
  call->key.id = talloc_strdup (call, start->key.id);
  call->body
      = talloc_strndup (call, start->body.body_val, start->body.body_len);
  call->body_len = start->body.body_len;
  call->done = done;
  call->arg = arg;
  talloc_set_destructor (call, call_destructor);
  if (!fault_before (STEP_TARGET_CALLED, agent, NULL, NULL))
    return call;
  start_run (call, start);
  fault_after (STEP_TARGET_CALLED, agent, NULL, NULL);
  return call;
}

static void
on_announce_due (void *arg)
{
  Proc *agent = arg;

  /* Runs as the agent's event, so that hs_now() gives the agent's clock. */
  sim_schedule (sim_now (), agent, (SimFunc) target_announce, agent, false);
  sim_schedule (sim_now () + ANNOUNCE_PERIOD, NULL, on_announce_due, agent,
                false);
}

static void
start_run (HsTargetCall *call, const hsx_start *start)
{
  TargetFault fault = active_target_fault (call->agent);
  HsTime span = task_run_time (call->body);
  TargetRun *run;

  if (fault == TARGET_REFUSING)
    {
      call->answer = sim_schedule (sim_now () + LOCAL_DELAY, call->agent,
                                   on_refused, call, false);
      return;
    }
  run = talloc_zero (sim_memory (), TargetRun);
  run->call = call;
  run->start = checks_task_started (call->agent, &call->key, call->body);
  call->run = run;
  call->fault = fault;
  if (fault == TARGET_STRAGGLING)
    span *= STRAGGLER_FACTOR;
  if (fault == TARGET_FAILING)
    span = LOCAL_DELAY;
  call->timeout = sim_schedule (sim_now () + start->timeout_ms * HS_MSEC,
                                call->agent, on_call_timeout, call, false);
  sim_schedule (sim_now () + LOCAL_DELAY + span, NULL, on_run_end, run, false);
}

static void
on_refused (void *arg)
{
  HsTargetCall *call = arg;
  HsTaskCompletion refused = { .outcome = HSX_REFUSED };

  call->answer = NULL;
  finish_call (call, HS_TARGET_CALL_UNSENT, &refused);
}

static void
on_run_end (void *arg)
{
  TargetRun *run = arg;
  HsTargetCall *call = run->call;

  checks_task_ended (run->start);
  if (call == NULL)
    return;
  call->run = NULL;
  call->answer = sim_schedule (sim_now (), call->agent, on_answer, call, false);
}

static void
on_answer (void *arg)
{
  HsTargetCall *call = arg;
  char *text = talloc_asprintf (call, "done:%s", call->body);
  HsTaskCompletion finish = { HSX_DONE, 200, 1000, text, strlen (text) };
  HsTaskCompletion lost = { .outcome = HSX_MAYBE };

  call->answer = NULL;
  switch (call->fault)
    {
    case TARGET_HEALTHY:
    case TARGET_STRAGGLING:
    case TARGET_REFUSING:
      finish_call (call, HS_TARGET_CALL_ANSWERED, &finish);
      return;
    case TARGET_FAILING:
      finish.outcome = HSX_FAILED;
      finish.http_status = HTTP_INTERNAL_ERROR;
      finish_call (call, HS_TARGET_CALL_ANSWERED, &finish);
      return;
    case TARGET_WRONG_TASK:
      finish_call (call, HS_TARGET_CALL_WRONG_TASK, &lost);
      return;
    case TARGET_BREAKING_CONNECTION:
      finish_call (call, HS_TARGET_CALL_BROKEN, &lost);
      return;
    }
}

static void
on_call_timeout (void *arg)
{
  HsTargetCall *call = arg;
  HsTaskCompletion lost = { .outcome = HSX_MAYBE };

  call->timeout = NULL;
  if (call->run != NULL)
    checks_call_timed_out (call->run->start);
  finish_call (call, HS_TARGET_CALL_TIMEOUT, &lost);
}

static void
finish_call (HsTargetCall *call,
             HsTargetCallEnd how,
             const HsTaskCompletion *finish)
{
  call->done (call->arg, how, finish);
  talloc_free (call);
}

static int
call_destructor (HsTargetCall *call)
{
  if (call->timeout != NULL)
    sim_cancel (call->timeout);
  if (call->answer != NULL)
    sim_cancel (call->answer);
  if (call->run != NULL)
    call->run->call = NULL;
  return 0;
}

static TargetFault
active_target_fault (const Proc *agent)
{
  return agent->target.fault_until > sim_now () ? agent->target.fault
                                                : TARGET_HEALTHY;
}
