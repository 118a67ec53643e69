/* Looks at the target: the list of its runs, the lease, the fence. */
#include <string.h>

#include <glib.h>

#include "direct/runs_private.h"

/** A look waits so long for an end while tasks run. With the slack, this is
 *  how long an answer that is lost hides ends; the shortest usual tasks take
 *  60 ms and may take as much again. */
#define LOOK_WAIT_MS 30

/** A look is given up so long after its wait. Answers on the same host take
 *  under 5 ms. */
#define LOOK_SLACK_MS 20

/** Idle targets are looked at so often, to keep the clock and see strays. */
#define LOOK_IDLE (1 * HS_SEC)

/** Between looks at a target that doesn't answer, at first and at most. A
 *  target that starts again says so by itself, and is looked at then. */
#define LOOK_RETRY (50 * HS_MSEC)
#define LOOK_RETRY_MAX (1 * HS_SEC)

/** Failures at LOOK_RETRY in a second. */
#define FAILURES_A_SECOND 20

/** At most this many looks are under way: a fence doesn't wait for the
 *  answer of a look that waits for an end. */
#define LOOKS_MAX 3

/** So many looks without an answer in a row, and no other word for so long,
 *  and nothing new is granted. */
#define MUTE_FAILURES 3
#define MUTE_SPAN (150 * HS_MSEC)

/** Steady clocks may differ by this part. */
#define CLOCK_DRIFT_PERCENT 2

/** Beyond the lease and drift, until what a mute target ran is taken for
 *  lapsed. */
#define LAPSE_SLACK (50 * HS_MSEC)

/** A run whose progress stands still for the larger of this and an eighth of
 *  its expected run time is stopped. Progress is told in hundredths: on a
 *  target 8 times too slow a task still moves within that.
 */
#define STALL_MIN (100 * HS_MSEC)
#define STALL_PARTS 8

/** What it costs to stop a run and start it elsewhere: a stop, a report, a
 *  start, the look that tells the end. */
#define MOVE_COST (30 * HS_MSEC)

static void send_look (HsRuns *runs, uint32_t wait_ms, HsTime now);
static void
take_list (HsRuns *runs, uint32_t number, const HsTargetList *list, HsTime now);
static void take_ends (HsRuns *runs, const HsTargetList *list, HsTime now);
static void take_running (HsRuns *runs,
                          uint32_t number,
                          const HsTargetList *list,
                          HsTime now);
static void note_progress (HsRuns *runs,
                           HsRun *run,
                           int percent,
                           HsTime listed,
                           HsTime now);
static void judge_pace (HsRuns *runs, HsRun *run, HsTime listed, HsTime now);
static void settle (HsRuns *runs, uint32_t number, uint64_t token, HsTime now);
static void check_lapse (HsRuns *runs, HsTime now);
static bool has_unsettled (const HsRuns *runs);
static HsTime retry_span (const HsRuns *runs);

HsTime
hs_runs_plan_looks (HsRuns *runs, HsTime now)
{
  bool busy = runs->n_runs > 0 || runs->n_unknown > 0;

  if (runs->leaving && !busy)
    return HS_NEVER;
  if (runs->n_failed >= MUTE_FAILURES && now - runs->heard_at >= MUTE_SPAN)
    runs->mute = true;
  check_lapse (runs, now);
  if (runs->open_looks > 0
      && (runs->open_looks >= LOOKS_MAX || runs->open_token >= runs->token))
    return HS_NEVER;
  if (now < runs->look_due)
    return runs->look_due;
  if (!busy && runs->looked && runs->open_looks == 0
      && now - runs->heard_at < LOOK_IDLE)
    return runs->heard_at + LOOK_IDLE;
  send_look (runs,
             runs->n_runs > 0 && runs->looked && runs->n_unknown == 0
                     && !has_unsettled (runs)
                 ? LOOK_WAIT_MS
                 : 0,
             now);
  return HS_NEVER;
}

void
hs_runs_looked (HsRuns *runs,
                uint32_t number,
                HsTargetResult result,
                const HsTargetList *list,
                HsTime now)
{
  uint64_t token = runs->look_tokens[number % HS_LOOKS_KEPT];

  if (runs->open_looks > 0)
    runs->open_looks--;
  if (result == HS_TARGET_OK)
    {
      runs->heard_at = now;
      runs->n_failed = 0;
      runs->mute = false;
      runs->look_due = 0;
      take_list (runs, number, list, now);
      settle (runs, number, token, now);
      runs->effects->changed (runs->arg);
      return;
    }
  if (result == HS_TARGET_FENCED && token < runs->token)
    {
      runs->look_due = 0;
      return;
    }
  if (result == HS_TARGET_FENCED)
    {
      /* An earlier life of this agent had a clock that was ahead. */
      runs->token += runs->token;
      runs->look_due = 0;
      return;
    }
  if (result == HS_TARGET_REPLACED)
    {
      runs->gone = true;
      hs_runs_lost_all (runs, now);
    }
  runs->n_failed++;
  /* One answer that is lost is made up for at once. */
  runs->look_due = runs->n_failed == 1 ? 0 : now + retry_span (runs);
  runs->effects->changed (runs->arg);
}

hsx_target_state
hs_runs_state (const HsRuns *runs)
{
  if (runs->leaving || (runs->announced && runs->target.leaving))
    return HSX_TARGET_LEAVING;
  if (!runs->announced || runs->gone || !runs->looked || runs->n_unknown > 0)
    return HSX_TARGET_UNKNOWN;
  if (runs->mute || runs->level == HS_TRUST_NONE)
    return HSX_TARGET_MUTE;
  return HSX_TARGET_READY;
}

const char *
hs_runs_out_word (const HsRuns *runs)
{
  if (runs->gone)
    return "gone";
  if (!runs->announced || !runs->looked)
    return "not_read";
  if (runs->n_unknown > 0)
    return "unknown_runs";
  if (runs->mute)
    return "silent";
  return runs->level == HS_TRUST_NONE ? "bad_ends" : "none";
}

/* Calls under way may still reach the new life; the fence settles them. */
void
hs_runs_lost_all (HsRuns *runs, HsTime now)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_ON || run->state == HS_RUN_STOPPING)
        hs_run_end (runs, run, HSX_END_LAPSED, HS_REFUSAL_NONE, now);
    }
  hs_trust_reset (&runs->trust);
  runs->level = HS_TRUST_FULL;
  runs->looked = false;
  runs->n_unknown = 0;
  runs->acked = 0;
  runs->newest_list = runs->next_look - 1;
  runs->token++;
  runs->look_due = 0;
}

static void
send_look (HsRuns *runs, uint32_t wait_ms, HsTime now)
{
  HsTargetLook look = { .number = runs->next_look++,
                        .token = runs->token,
                        .acked = runs->acked,
                        .wait_ms = wait_ms,
                        .timeout_ms = wait_ms + LOOK_SLACK_MS };

  /* A target that may be gone isn't given time: its runs have to lapse. */
  look.renews = runs->n_runs > 0 && runs->clock_at != 0 && !runs->mute;
  if (look.renews)
    {
      look.lease_until_ms
          = hs_runs_target_clock (runs, now) + runs->options.lease / HS_MSEC;
      runs->renewed_at = now;
    }
  runs->open_looks++;
  runs->open_token = runs->token;
  runs->look_tokens[look.number % HS_LOOKS_KEPT] = look.token;
  runs->effects->look (runs->arg, &look);
}

static void
take_list (HsRuns *runs, uint32_t number, const HsTargetList *list, HsTime now)
{
  int64_t known = runs->target.born_ms;

  if (list->born_ms != 0 && list->born_ms < known)
    return;
  if (list->born_ms > known)
    {
      if (known != 0)
        {
          hs_runs_lost_all (runs, now);
          /* What it says of itself is to be heard anew. */
          runs->announced = false;
        }
      runs->target.born_ms = list->born_ms;
    }
  else if (number < runs->newest_list)
    {
      take_ends (runs, list, now);
      return;
    }
  runs->newest_list = MAX (runs->newest_list, number);
  runs->clock_ms = list->clock_ms;
  runs->clock_at = now;
  take_ends (runs, list, now);
  take_running (runs, number, list, now);
  runs->looked = true;
}

static void
take_ends (HsRuns *runs, const HsTargetList *list, HsTime now)
{
  size_t i;

  for (i = 0; i < list->n_ends; i++)
    {
      const HsListedEnd *end = &list->ends[i];
      HsRun *run;
      hsx_end_how how = end->how;

      if (end->number <= runs->acked)
        continue;
      runs->acked = end->number;
      run = hs_run_find (runs, &end->key);
      if (run == NULL)
        continue;
      if (run->state == HS_RUN_CALLING)
        runs->effects->forget (runs->arg, (uint32_t) (run - runs->runs));
      if (how == HSX_END_STOPPED && run->stop_how != 0)
        how = run->stop_how;
      if (run->started_at == 0)
        run->started_at = run->sent_at;
      hs_run_end (runs, run, how, HS_REFUSAL_NONE, now);
    }
}

static void
take_running (HsRuns *runs,
              uint32_t number,
              const HsTargetList *list,
              HsTime now)
{
  uint32_t unknown = (uint32_t) list->n_unreadable;
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    runs->runs[i].listed = false;
  for (i = 0; i < list->n_running; i++)
    {
      const HsListedRun *row = &list->running[i];
      HsRun *run = hs_run_find (runs, &row->key);

      if (run == NULL)
        {
          unknown++;
          runs->effects->stop (runs->arg, &row->key, runs->token);
          continue;
        }
      run->listed = true;
      if (run->state == HS_RUN_UNSETTLED)
        {
          run->state = HS_RUN_ON;
          run->started_at = run->sent_at;
          run->percent = -1;
          run->percent_at = now;
          run->look_after = number;
          if (run->stop_wanted)
            hs_run_call_stop (runs, run, now);
        }
      note_progress (runs, run, row->percent, list->clock_ms * HS_MSEC, now);
    }
  /* A run that was there when the look was sent, and is in neither list. */
  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if ((run->state == HS_RUN_ON || run->state == HS_RUN_STOPPING)
          && !run->listed && run->look_after <= number)
        hs_run_end (runs, run, HSX_END_LAPSED, HS_REFUSAL_NONE, now);
    }
  runs->n_unknown = unknown;
}

static void
note_progress (HsRuns *runs, HsRun *run, int percent, HsTime listed, HsTime now)
{
  if (run->state != HS_RUN_ON)
    return;
  if (percent != run->percent || percent < 0)
    {
      run->percent = percent;
      run->percent_at = now;
    }
  judge_pace (runs, run, listed, now);
  if (run->percent_at == now)
    return;
  if (run->stop_wanted
      || now - run->percent_at < MAX (STALL_MIN, run->expected / STALL_PARTS))
    return;
  run->stop_how = HSX_END_STALLED;
  hs_run_call_stop (runs, run, now);
}

/* A target that is slow for several jobs is left alone for a while, and what
   would be done sooner elsewhere is stopped there. The pace is measured by the
   target's clock, which doesn't count the time that a list takes to come here,
   as with answers that are late or an agent that gets no processor.
   @param listed when the list was made, by the target's clock */
static void
judge_pace (HsRuns *runs, HsRun *run, HsTime listed, HsTime now)
{
  HsTime left = hs_pace_left (&run->pace, run->percent, listed);

  if (run->slow_after == 0)
    return;
  if (!run->slow
      && hs_pace_total (&run->pace, run->percent, listed) > run->slow_after)
    {
      run->slow = true;
      hs_trust_end (&runs->trust, HSX_END_SLOW, run->key.job, now);
    }
  hs_pace_note (&run->pace, run->percent, run->slow_after, listed);
  if (!run->slow || hs_trust_level (&runs->trust, now) == HS_TRUST_FULL
      || left < run->expected + MOVE_COST)
    return;
  run->stop_how = HSX_END_SLOW;
  hs_run_call_stop (runs, run, now);
}

/* Starts that the look's token fences off, and that it doesn't list, will
   never happen. */
static void
settle (HsRuns *runs, uint32_t number, uint64_t token, HsTime now)
{
  uint32_t i;

  if (number < runs->newest_list)
    return;
  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_UNSETTLED && run->fence <= token)
        hs_run_end (runs, run,
                    run->stop_wanted ? HSX_END_STOPPED : HSX_END_REFUSED,
                    HS_REFUSAL_LOST, now);
    }
}

/* The lease of a target that doesn't answer has run out by its own clock. */
static void
check_lapse (HsRuns *runs, HsTime now)
{
  HsTime lease = runs->options.lease;
  HsTime bound = lease + lease * CLOCK_DRIFT_PERCENT / 100 + LAPSE_SLACK;
  uint32_t i;

  if (!runs->mute || now - runs->renewed_at < bound)
    return;
  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_ON || run->state == HS_RUN_STOPPING)
        hs_run_end (runs, run, HSX_END_LAPSED, HS_REFUSAL_NONE, now);
    }
}

static bool
has_unsettled (const HsRuns *runs)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    if (runs->runs[i].state == HS_RUN_UNSETTLED)
      return true;
  return false;
}

/* Doubled with each second of failures. */
static HsTime
retry_span (const HsRuns *runs)
{
  HsTime span = LOOK_RETRY << MIN (runs->n_failed / FAILURES_A_SECOND, 5);

  return MIN (span, LOOK_RETRY_MAX);
}
