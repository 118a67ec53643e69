/* Crashes of the target: when it crashed, and what ran on it. */
#include <string.h>

#include <glib.h>

#include "direct/runs_private.h"

/** After the first sign of a crash the results of all calls in flight are
 *  awaited for this long: they tell which starts had reached the target. */
#define RESULTS_WAIT (5 * HS_MSEC)

/** A task of usual run time that is younger than its expected run time divided
 *  by this hasn't ended. */
#define YOUNG_DIVISOR 2

static void take_snapshot (HsRuns *runs);
static void add_task (HsRuns *runs, const HsRun *run);
static void
doubt_runs_of_other (HsRuns *runs, const HsTargetList *list, uint32_t number);
static bool has_row (const HsTargetList *list, const HsRunKey *key);
static void
report_crash (HsRuns *runs, HsTime crashed_before, hsx_crash_stage stage);
static void settle_crash (HsRuns *runs, hsx_crash_stage stage);
static void forget_signs (HsRuns *runs);

void
hs_runs_note_call_result (HsRuns *runs, HsTargetResult result, HsTime now)
{
  switch (result)
    {
    case HS_TARGET_UNSENT:
      return;
    case HS_TARGET_UNANSWERED:
    case HS_TARGET_NO_LISTENER:
      if (runs->failing_since == 0)
        runs->failing_since = now;
      if (result == HS_TARGET_NO_LISTENER && runs->no_listener_since == 0)
        runs->no_listener_since = now;
      return;
    case HS_TARGET_REPLACED:
      return;
    default:
      settle_crash (runs, HSX_CRASH_WITHDRAWN);
      forget_signs (runs);
      return;
    }
}

void
hs_runs_note_announcement (HsRuns *runs)
{
  if (runs->no_listener_since == 0)
    return;
  runs->announced_since = true;
  settle_crash (runs, HSX_CRASH_POSSIBLE);
}

HsTime
hs_runs_check_crash (HsRuns *runs, HsTime now)
{
  HsTime due = runs->no_listener_since + RESULTS_WAIT;

  if (runs->crash_reported || runs->target_left || runs->target.leaving
      || !runs->list_known)
    return HS_NEVER;
  if (runs->no_listener_since != 0 && now < due)
    return due;
  if (runs->unresponsive || runs->no_listener_since != 0)
    take_snapshot (runs);
  if (runs->no_listener_since != 0)
    report_crash (runs, runs->no_listener_since,
                  runs->announced_since ? HSX_CRASH_POSSIBLE
                                        : HSX_CRASH_SUSPECTED);
  return HS_NEVER;
}

void
hs_runs_incarnation_over (HsRuns *runs,
                          const HsTargetList *list,
                          uint32_t number,
                          HsTime over_before)
{
  bool expected = runs->target_left || runs->target.leaving;

  /* An incarnation whose list was never read ran nothing of this agent. */
  if (runs->listed_started_ms != 0 && !runs->crash_reported && !expected
      && (runs->n_runs > 0 || runs->snapshot_taken))
    {
      take_snapshot (runs);
      if (list != NULL)
        doubt_runs_of_other (runs, list, number);
      report_crash (
          runs,
          runs->no_listener_since != 0 ? runs->no_listener_since : over_before,
          runs->announced_since ? HSX_CRASH_POSSIBLE : HSX_CRASH_CERTAIN);
    }
  else if (expected)
    settle_crash (runs, HSX_CRASH_WITHDRAWN);
  else
    settle_crash (runs, HSX_CRASH_CERTAIN);
  forget_signs (runs);
}

const HsCrash *
hs_runs_last_crash (const HsRuns *runs)
{
  return runs->crash.number > 0 ? &runs->crash : NULL;
}

/* Records what ran when the target was last known to live. A start whose call
   is still in flight has probably not reached it. */
static void
take_snapshot (HsRuns *runs)
{
  HsCrash *crash = &runs->snapshot;
  uint32_t i;

  if (runs->snapshot_taken)
    return;
  runs->snapshot_taken = true;
  crash->at
      = runs->failing_since != 0 ? runs->failing_since : runs->answered_at;
  crash->silent = runs->no_listener_since == 0;
  crash->n_tasks = 0;
  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      const HsRun *run = &runs->runs[i];

      if (run->state != HS_RUN_FREE && run->state != HS_RUN_STARTING)
        add_task (runs, run);
    }
}

/* Keeps the youngest tasks if there are too many. */
static void
add_task (HsRuns *runs, const HsRun *run)
{
  HsCrash *crash = &runs->snapshot;
  HsTime since = run->started_at != 0 ? run->started_at : run->called_at;
  HsTime age = MAX (crash->at - since, 0);
  HsCrashTask *task = &crash->tasks[0];
  uint32_t i;

  if (crash->n_tasks < HSX_CRASH_TASKS_MAX)
    task = &crash->tasks[crash->n_tasks++];
  else
    {
      for (i = 1; i < HSX_CRASH_TASKS_MAX; i++)
        if (crash->tasks[i].age > task->age)
          task = &crash->tasks[i];
      if (task->age <= age)
        return;
    }
  task->key = run->key;
  task->age = age;
  task->certain
      = run->state == HS_RUN_RUNNING && !run->stop_requested && !run->repeated;
  task->young_until = since + run->expected_time / YOUNG_DIVISOR;
  g_strlcpy (task->customer, run->customer, sizeof task->customer);
  task->customer_jobs_per_s
      = hs_start_rates_per_s (runs->start_rates, run->customer, crash->at);
}

/* A start that was answered may have been answered by the other incarnation,
   unless that one's list should have the run and doesn't. */
static void
doubt_runs_of_other (HsRuns *runs, const HsTargetList *list, uint32_t number)
{
  uint32_t i;

  for (i = 0; i < runs->snapshot.n_tasks; i++)
    {
      HsCrashTask *task = &runs->snapshot.tasks[i];
      const HsRun *run = hs_run_find (runs, &task->key);

      if (run != NULL
          && (run->first_poll > number || has_row (list, &task->key)))
        task->certain = false;
    }
}

static bool
has_row (const HsTargetList *list, const HsRunKey *key)
{
  size_t i;

  for (i = 0; i < list->n_running; i++)
    if (hs_run_key_equal (&list->running[i].key, key))
      return true;
  for (i = 0; i < list->n_ends; i++)
    if (hs_run_key_equal (&list->ends[i].key, key))
      return true;
  return false;
}

/* @crashed_before: the latest time at which the target can have crashed */
static void
report_crash (HsRuns *runs, HsTime crashed_before, hsx_crash_stage stage)
{
  uint32_t i;

  for (i = 0; i < runs->snapshot.n_tasks; i++)
    runs->snapshot.tasks[i].certain
        &= crashed_before < runs->snapshot.tasks[i].young_until;
  runs->crash_reported = true;
  runs->snapshot.number++;
  runs->snapshot.stage = stage;
  runs->crash = runs->snapshot;
  runs->effects->crashed (runs->arg, &runs->crash);
}

/* Changes the stage of the crash that was reported of this incarnation, if any.
   One after which the target announced itself may have come later, when the
   tasks had ended, and stays possible. */
static void
settle_crash (HsRuns *runs, hsx_crash_stage stage)
{
  hsx_crash_stage before = runs->crash.stage;

  if (!runs->crash_reported || stage <= before
      || (before == HSX_CRASH_POSSIBLE && stage == HSX_CRASH_CERTAIN))
    return;
  runs->crash.stage = stage;
  runs->effects->crash_settled (runs->arg, &runs->crash);
}

static void
forget_signs (HsRuns *runs)
{
  runs->failing_since = 0;
  runs->no_listener_since = 0;
  runs->announced_since = false;
  runs->snapshot_taken = false;
  runs->crash_reported = false;
}
