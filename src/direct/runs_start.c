/* Starts: launches of entries, the calls to the target, and their results. */
#include <string.h>

#include <glib.h>

#include "direct/resources.h"
#include "direct/runs_private.h"

/** Orders that took longer than this from entry to agent are refused: they
 *  waited in the socket buffer of a paused process. They usually take under
 *  10 ms. */
#define ORDER_AGE_MAX (250 * HS_MSEC)

/** Limit on the start calls of one run. A call is repeated if it got no answer,
 *  if it was fenced off because another start had an unknown outcome, if its
 *  attempt number was outdated, or if its lease had expired. */
#define START_CALLS_MAX 4

/** Time from the first start call of a run in which it may be called again. An
 *  agent that learns of a result later was paused: the run's entry may have
 *  given it up, and its caller may have sent the job to another one. */
#define START_CALLS_SPAN (100 * HS_MSEC)

static HsRefusal check_launch (HsRuns *runs,
                               uint32_t entry,
                               const hsx_launch *launch,
                               const HsRunKey *key,
                               HsTime sent,
                               HsTime now);
static HsRun *allocate_run (HsRuns *runs);
static void report_refusal (HsRuns *runs,
                            uint32_t entry,
                            const HsRunKey *key,
                            uint64_t ref,
                            HsRefusal reason);
static bool may_call_again (const HsRuns *runs, const HsRun *run, HsTime now);
static bool may_repeat_start (const HsRuns *runs, const HsRun *run, HsTime now);
static void repeat_start (HsRuns *runs, HsRun *run, HsTime now);
static void fence_start (HsRuns *runs, HsRun *run);

void
hs_runs_launch (HsRuns *runs,
                uint32_t entry,
                const hsx_launch *launch,
                const hsx_launch_task *task,
                HsTime sent,
                HsTime now)
{
  HsRunKey key
      = { .step = task->step, .index = task->index, .attempt = task->attempt };
  HsRefusal reason;
  HsRun *run;

  g_strlcpy (key.job, launch->job, sizeof key.job);
  reason = check_launch (runs, entry, launch, &key, sent, now);
  run = reason == HS_REFUSAL_NONE ? allocate_run (runs) : NULL;
  if (run == NULL)
    {
      report_refusal (runs, entry, &key, task->ref,
                      reason == HS_REFUSAL_NONE ? HS_REFUSAL_RESOURCES
                                                : reason);
      return;
    }
  run->key = key;
  g_strlcpy (run->customer, launch->customer, sizeof run->customer);
  run->entry = entry;
  run->ref = task->ref;
  run->needs = launch->needs;
  run->spec
      = talloc_memdup (runs, launch->spec.spec_val, launch->spec.spec_len);
  run->spec_len = launch->spec.spec_len;
  run->expected_time = launch->expected_ms * HS_MSEC;
  run->slow_threshold = task->slow_ms * HS_MSEC;
  run->deadline = sent + launch->left_ms * HS_MSEC;
  hs_offers_consume (&runs->offers, entry, &run->needs);
  hs_run_call_start (runs, run, now);
}

void
hs_runs_start_done (HsRuns *runs,
                    uint32_t handle,
                    HsTargetResult result,
                    HsTime now)
{
  HsRun *run = &runs->runs[handle];

  if (handle >= HS_RUNS_MAX || !hs_run_is_starting (run))
    return;
  hs_runs_note_call_result (runs, result, now);
  if (result != HS_TARGET_UNSENT && result != HS_TARGET_NO_LISTENER)
    runs->renewed_at = MAX (runs->renewed_at, run->called_at);
  if (result != HS_TARGET_UNANSWERED && result != HS_TARGET_UNSENT
      && result != HS_TARGET_NO_LISTENER)
    runs->answered_at = now;
  if (result == HS_TARGET_REPLACED && run->endpoint == runs->endpoint)
    runs->target_lost = true;
  if (result == HS_TARGET_UNANSWERED && may_repeat_start (runs, run, now))
    {
      repeat_start (runs, run, now);
      return;
    }
  /* A refusal says nothing of the earlier calls. */
  if (result == HS_TARGET_UNANSWERED
      || (result != HS_TARGET_OK && run->state == HS_RUN_REPEATING))
    {
      fence_start (runs, run);
      return;
    }
  switch (result)
    {
    case HS_TARGET_OK:
      run->state = run->stop_requested ? HS_RUN_STOPPING : HS_RUN_RUNNING;
      hs_runs_note_token (runs, run->start_token, now);
      run->started_at = run->started_at != 0 ? run->started_at : run->called_at;
      run->first_poll = runs->next_poll;
      run->percent = -1;
      run->progress_at = now;
      hs_start_rates_add (runs->start_rates, run->customer, run->key.job, now);
      return;
    case HS_TARGET_OUTDATED:
      if (run->stop_requested)
        {
          hs_run_end (runs, run, HSX_END_STOPPED, HS_REFUSAL_NONE,
                      HS_EVIDENCE_ANSWER, now);
          return;
        }
      run->key.attempt++;
      break;
    case HS_TARGET_FENCED:
    case HS_TARGET_LEASE_EXPIRED:
      break;
    case HS_TARGET_UNANSWERED:
      return;
    case HS_TARGET_REPLACED:
    case HS_TARGET_FULL:
    case HS_TARGET_UNHEALTHY:
    case HS_TARGET_INVALID:
    case HS_TARGET_UNSENT:
    case HS_TARGET_NO_LISTENER:
      hs_run_end (runs, run, HSX_END_REFUSED, HS_REFUSAL_TARGET,
                  HS_EVIDENCE_ANSWER, now);
      return;
    }
  if (!may_call_again (runs, run, now))
    hs_run_end (runs, run,
                run->stop_requested ? HSX_END_STOPPED : HSX_END_REFUSED,
                runs->evacuated ? HS_REFUSAL_EVACUATED : HS_REFUSAL_TARGET,
                HS_EVIDENCE_ANSWER, now);
  else
    hs_run_call_start (runs, run, now);
}

void
hs_run_call_start (HsRuns *runs, HsRun *run, HsTime now)
{
  HsTargetStart start = { .key = run->key,
                          .spec = run->spec,
                          .spec_len = run->spec_len,
                          .token = runs->token };

  start.lease_until_ms = hs_runs_next_lease_end (runs, now);
  if (run->state != HS_RUN_REPEATING)
    {
      run->state = HS_RUN_STARTING;
      run->start_token = runs->token;
    }
  run->may_have_run = false;
  run->endpoint = runs->endpoint;
  run->called_at = now;
  if (run->n_start_calls == 0)
    run->first_called_at = now;
  run->start_poll = runs->next_poll;
  run->n_start_calls++;
  runs->effects->start (runs->arg, (uint32_t) (run - runs->runs), &start);
}

static HsRefusal
check_launch (HsRuns *runs,
              uint32_t entry,
              const hsx_launch *launch,
              const HsRunKey *key,
              HsTime sent,
              HsTime now)
{
  uint32_t left = runs->n_runs;
  hsx_room available;
  uint32_t i;

  /* First, as after another refusal the task may be started elsewhere. */
  for (i = 0; i < HS_RUNS_MAX && left > 0; i++)
    {
      const HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_FREE)
        continue;
      left--;
      if (run->key.index == key->index && run->key.step == key->step
          && strcmp (run->key.job, key->job) == 0)
        return HS_REFUSAL_DUPLICATE;
    }
  if (now - sent > ORDER_AGE_MAX)
    return HS_REFUSAL_STALE;
  switch (hs_runs_target_state (runs))
    {
    case HSX_TARGET_READY:
      break;
    case HSX_TARGET_LEAVING:
      return HS_REFUSAL_LEAVING;
    default:
      return HS_REFUSAL_NO_TARGET;
    }
  /* Only with the list read: entries conclude from this refusal that no run of
     the task is left here. */
  if (runs->evacuated)
    return HS_REFUSAL_EVACUATED;
  if (sent + launch->left_ms * HS_MSEC <= now)
    return HS_REFUSAL_DEADLINE;
  available = hs_runs_available (runs, entry, now);
  if (!hs_resources_fit (&available, &launch->needs))
    return HS_REFUSAL_RESOURCES;
  return HS_REFUSAL_NONE;
}

static HsRun *
allocate_run (HsRuns *runs)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    if (runs->runs[i].state == HS_RUN_FREE)
      {
        runs->n_runs++;
        return &runs->runs[i];
      }
  return NULL;
}

static void
report_refusal (HsRuns *runs,
                uint32_t entry,
                const HsRunKey *key,
                uint64_t ref,
                HsRefusal reason)
{
  hsx_end end = { .ref = ref, .how = HSX_END_REFUSED, .reason = reason };

  runs->evidence = (HsEvidence){ .kind = HS_EVIDENCE_NONE };
  runs->effects->ended (runs->arg, entry, key, &end);
}

static bool
may_call_again (const HsRuns *runs, const HsRun *run, HsTime now)
{
  return !run->stop_requested && !runs->evacuated
         && run->n_start_calls < START_CALLS_MAX
         && now < run->first_called_at + START_CALLS_SPAN && now < run->deadline
         && runs->list_known;
}

/* Only on the incarnation that got the earlier calls: there, a task starts once
   however often its start is called. */
static bool
may_repeat_start (const HsRuns *runs, const HsRun *run, HsTime now)
{
  return may_call_again (runs, run, now) && run->endpoint == runs->endpoint
         && !run->may_have_run
         && hs_runs_target_state (runs) == HSX_TARGET_READY;
}

/* With the raised token the earlier calls have no effect once this one has been
   answered. */
static void
repeat_start (HsRuns *runs, HsRun *run, HsTime now)
{
  if (run->started_at == 0)
    run->started_at = run->called_at;
  run->state = HS_RUN_REPEATING;
  run->repeated = true;
  runs->token++;
  hs_run_call_start (runs, run, now);
}

/* Once the target has seen the raised token it refuses starts with a lower one;
   the answer to the poll that carries it lists what had started by then. */
static void
fence_start (HsRuns *runs, HsRun *run)
{
  run->state = HS_RUN_START_UNKNOWN;
  run->fence_token = ++runs->token;
  runs->min_poll_token = runs->token;
  runs->poll_not_before = 0;
}
