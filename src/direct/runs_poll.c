/* Polls of the target: the list of its runs, the lease, the fencing token. */
#include <string.h>

#include <glib.h>

#include "direct/runs_private.h"

/** How long a poll waits for a run to end while tasks run. With the slack, this
 *  is how long a lost answer delays the report of an end; the shortest usual
 *  tasks take 60 ms and may take as much again. */
#define POLL_WAIT_MS 30

/** A poll times out this long after its wait. Answers on the same host take
 *  under 5 ms. */
#define POLL_TIMEOUT_SLACK_MS 20

/** Poll interval for idle targets, which keeps the estimate of their clock
 *  current and detects runs that the agent didn't start. */
#define POLL_IDLE_INTERVAL (1 * HS_SEC)

/** Delay between polls of an unresponsive target, at first and at most. A
 * target that restarts announces itself and is polled then. */
#define POLL_RETRY_MIN (50 * HS_MSEC)
#define POLL_RETRY_MAX (1 * HS_SEC)

/** Failed polls in a second at POLL_RETRY_MIN. */
#define FAILURES_PER_SECOND 20

/** Time from one poll without an answer to the next one before the target is
 *  unresponsive. */
#define POLL_REPEAT_INTERVAL (POLL_TIMEOUT_SLACK_MS * HS_MSEC)

/** Limit on the polls in flight. More than one is allowed, so that a poll with
 *  a raised token is sent while another still waits for a run to end. */
#define POLLS_IN_FLIGHT_MAX 3

/** After this many consecutive polls without an answer, and no other answer for
 *  this long, the target is unresponsive and no new tasks are accepted. */
#define UNRESPONSIVE_FAILURES 3
#define UNRESPONSIVE_TIMEOUT (150 * HS_MSEC)

/** A run that makes no progress for the larger of this and an eighth of its
 *  expected run time is stopped. Progress is reported in hundredths, so even on
 *  a target that is 8 times too slow it changes within that time. */
#define STALL_TIMEOUT_MIN (100 * HS_MSEC)
#define STALL_RUN_TIME_DIVISOR 8

/** Time to stop a run and start it elsewhere: a stop, a report, a start, and
 *  the poll that lists the end. */
#define RESTART_COST (30 * HS_MSEC)

static void send_poll (HsRuns *runs, uint32_t wait_ms, HsTime now);
static bool process_list (HsRuns *runs,
                          uint32_t number,
                          const HsTargetList *list,
                          HsTime now);
static void end_replaced_runs (HsRuns *runs, HsTime now);
static void process_ends (HsRuns *runs,
                          uint32_t number,
                          const HsTargetList *list,
                          HsTime now);
static bool
end_is_certain (const HsRuns *runs, const HsRun *run, uint32_t number);
static void doubt_unanswered_starts (HsRuns *runs);
static void note_unmatched (HsRuns *runs,
                            const HsRunKey *key,
                            bool ended,
                            uint32_t number,
                            const HsTargetList *list);
static void process_running (HsRuns *runs,
                             uint32_t number,
                             const HsTargetList *list,
                             bool outdated,
                             HsTime now);
static void check_progress (HsRuns *runs,
                            HsRun *run,
                            int percent,
                            HsTime listed,
                            HsTime now);
static void
check_progress_rate (HsRuns *runs, HsRun *run, HsTime listed, HsTime now);
static void resolve_fenced_starts (HsRuns *runs, uint64_t token, HsTime now);
static bool has_unknown_starts (const HsRuns *runs);
static HsTime retry_delay (const HsRuns *runs);

HsTime
hs_runs_send_due_polls (HsRuns *runs, HsTime now)
{
  bool busy = runs->n_runs > 0 || runs->n_unknown_runs > 0;

  if (runs->draining && !busy)
    return HS_NEVER;
  if (runs->n_failed_polls >= UNRESPONSIVE_FAILURES
      && now - runs->answered_at >= UNRESPONSIVE_TIMEOUT)
    runs->unresponsive = true;
  hs_runs_check_lease (runs, now);
  if (runs->polls_in_flight > 0
      && (runs->polls_in_flight >= POLLS_IN_FLIGHT_MAX
          || runs->token_in_flight >= runs->min_poll_token
          || runs->poll_in_flight[runs->next_poll % HS_POLL_TOKENS_MAX]))
    return HS_NEVER;
  if (now < runs->poll_not_before)
    return runs->poll_not_before;
  if (!busy && runs->target_clock_at != 0 && runs->polls_in_flight == 0
      && now - runs->answered_at < POLL_IDLE_INTERVAL)
    return runs->answered_at + POLL_IDLE_INTERVAL;
  send_poll (runs,
             runs->n_runs > 0 && runs->target_clock_at != 0
                     && runs->n_unknown_runs == 0 && runs->n_failed_polls == 0
                     && !has_unknown_starts (runs)
                 ? POLL_WAIT_MS
                 : 0,
             now);
  return HS_NEVER;
}

void
hs_runs_poll_done (HsRuns *runs,
                   uint32_t number,
                   HsTargetResult result,
                   const HsTargetList *list,
                   HsTime now)
{
  uint32_t place = number % HS_POLL_TOKENS_MAX;
  uint64_t token = runs->poll_tokens[place];
  bool may_be_foreign = number <= runs->foreign_poll;
  bool complete;

  if (runs->polls_in_flight > 0)
    runs->polls_in_flight--;
  runs->poll_in_flight[place] = false;
  runs->evidence.poll = number;
  runs->evidence.list_clock_ms = result == HS_TARGET_OK ? list->clock_ms : 0;
  /* It was sent to an earlier target. */
  if (result == HS_TARGET_REPLACED && number <= runs->newest_poll)
    return;
  if (result == HS_TARGET_UNSENT || result == HS_TARGET_NO_LISTENER)
    runs->poll_renewed_at[place] = 0;
  if (result == HS_TARGET_OK)
    {
      runs->answered_at = now;
      runs->n_failed_polls = 0;
      runs->unresponsive = false;
      runs->poll_not_before = 0;
      complete = process_list (runs, number, list, now);
      hs_runs_note_token (runs, token, now);
      /* After the list, which may be of another incarnation. */
      if (!may_be_foreign)
        hs_runs_note_call_result (runs, result, now);
      if (complete)
        resolve_fenced_starts (runs, token, now);
      runs->effects->changed (runs->arg);
      return;
    }
  if (result == HS_TARGET_REPLACED)
    {
      runs->target_lost = true;
      hs_runs_incarnation_over (runs, NULL, number, HS_NEVER);
      hs_runs_forget_target (runs);
      runs->listed_started_ms = 0;
      end_replaced_runs (runs, now);
    }
  /* One that was fenced may have been so by another incarnation. */
  if (result != HS_TARGET_FENCED || !may_be_foreign)
    hs_runs_note_call_result (runs, result, now);
  if (result == HS_TARGET_FENCED && token < runs->token)
    {
      runs->poll_not_before = 0;
      return;
    }
  if (result == HS_TARGET_FENCED)
    {
      /* An earlier incarnation of this agent took its first token from a clock
         that was ahead. */
      runs->token += runs->token;
      runs->min_poll_token = runs->token;
      runs->poll_not_before = 0;
      return;
    }
  runs->n_failed_polls++;
  /* After a single lost answer the target is polled again at once. */
  if (runs->n_failed_polls == 1)
    runs->poll_not_before = 0;
  else if (result == HS_TARGET_UNANSWERED && !runs->unresponsive)
    runs->poll_not_before = runs->polled_at + POLL_REPEAT_INTERVAL;
  else
    runs->poll_not_before = now + retry_delay (runs);
  runs->effects->changed (runs->arg);
}

hsx_target_state
hs_runs_target_state (const HsRuns *runs)
{
  if (runs->draining || (runs->announced && runs->target.leaving))
    return HSX_TARGET_LEAVING;
  if (!runs->announced || runs->target_lost || runs->target_clock_at == 0
      || runs->n_unknown_runs > 0)
    return HSX_TARGET_UNKNOWN;
  if (runs->unresponsive || runs->no_listener_since != 0
      || runs->breaker_state == HS_BREAKER_OPEN)
    return HSX_TARGET_MUTE;
  return HSX_TARGET_READY;
}

const char *
hs_runs_unavailable_reason (const HsRuns *runs)
{
  if (runs->target_lost)
    return "gone";
  if (!runs->announced || runs->target_clock_at == 0)
    return "not_read";
  if (runs->n_unknown_runs > 0)
    return "unknown_runs";
  if (runs->unresponsive)
    return "silent";
  if (runs->no_listener_since != 0)
    return "no_listener";
  return runs->breaker_state == HS_BREAKER_OPEN ? "bad_ends" : "none";
}

/* Start calls in flight may still reach the new incarnation; a poll with the
   raised token resolves them. */
void
hs_runs_forget_target (HsRuns *runs)
{
  doubt_unanswered_starts (runs);
  hs_breaker_reset (&runs->breaker);
  runs->breaker_state = HS_BREAKER_CLOSED;
  runs->list_known = false;
  runs->n_unknown_runs = 0;
  runs->acked_end = 0;
  runs->target_clock_at = 0;
  runs->lease_until_ms = 0;
  hs_runs_distrust_sent_polls (runs);
  runs->min_poll_token = ++runs->token;
  hs_runs_distrust_sent_leases (runs);
  runs->poll_not_before = 0;
}

void
hs_runs_distrust_sent_polls (HsRuns *runs)
{
  runs->foreign_poll = runs->next_poll - 1;
  runs->newest_poll = runs->foreign_poll;
}

/* Starts without an answer so far may have been carried out, and the ends of
   their runs not be read any more. */
static void
doubt_unanswered_starts (HsRuns *runs)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    if (hs_run_is_starting (&runs->runs[i])
        || runs->runs[i].state == HS_RUN_START_UNKNOWN)
      runs->runs[i].may_have_run = true;
}

/* The target refuses calls to the incarnation that was announced last: its runs
   are over. Those of other incarnations may go on. */
static void
end_replaced_runs (HsRuns *runs, HsTime now)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if ((run->state == HS_RUN_RUNNING || run->state == HS_RUN_STOPPING)
          && run->endpoint == runs->endpoint)
        hs_run_end (runs, run, HSX_END_LAPSED, HS_REFUSAL_NONE,
                    HS_EVIDENCE_REPLACED, now);
    }
}

static void
send_poll (HsRuns *runs, uint32_t wait_ms, HsTime now)
{
  HsTargetPoll poll = { .number = runs->next_poll++,
                        .token = runs->token,
                        .acked = runs->acked_end,
                        .wait_ms = wait_ms,
                        .timeout_ms = wait_ms + POLL_TIMEOUT_SLACK_MS };
  uint32_t place = poll.number % HS_POLL_TOKENS_MAX;
  HsTime renewal = 0;

  poll.renews_lease = runs->n_runs > 0 && hs_runs_may_renew_lease (runs, now);
  if (poll.renews_lease)
    {
      poll.lease_until_ms = hs_runs_next_lease_end (runs, now);
      renewal = now;
    }
  runs->renewed_at = MAX (runs->renewed_at, runs->poll_renewed_at[place]);
  runs->poll_renewed_at[place] = renewal;
  runs->polls_in_flight++;
  runs->polled_at = now;
  runs->token_in_flight = runs->token;
  runs->poll_tokens[place] = poll.token;
  runs->poll_in_flight[place] = true;
  runs->effects->poll (runs->arg, &poll);
}

/* Lists arrive in any order, and poll numbers don't tell in which order they
   were written: a poll may wait at the target while a later one is answered.
   Returns whether the list tells of every run. */
static bool
process_list (HsRuns *runs,
              uint32_t number,
              const HsTargetList *list,
              HsTime now)
{
  bool other
      = list->started_ms != 0 && list->started_ms != runs->listed_started_ms;
  bool outdated;

  /* A clock that stepped makes the start of an incarnation no sign of its age:
     the order of the polls tells which incarnation answered last. */
  if (number <= runs->foreign_poll)
    {
      if (!other && list->started_ms == runs->target.started_ms)
        process_ends (runs, number, list, now);
      return false;
    }
  if (other && runs->listed_started_ms != 0)
    {
      hs_runs_incarnation_over (runs, list, number, now);
      hs_runs_forget_target (runs);
    }
  else if (other)
    hs_runs_distrust_sent_polls (runs);
  if (list->started_ms != 0)
    {
      /* An incarnation that answers has to have announced itself. */
      runs->announced &= list->started_ms == runs->target.started_ms;
      runs->target.started_ms = list->started_ms;
      runs->listed_started_ms = list->started_ms;
    }
  runs->newest_poll = MAX (runs->newest_poll, number);
  outdated
      = runs->target_clock_at != 0 && list->clock_ms < runs->target_clock_ms;
  if (!outdated)
    {
      runs->target_clock_ms = list->clock_ms;
      runs->target_clock_at = now;
    }
  process_ends (runs, number, list, now);
  process_running (runs, number, list, outdated, now);
  runs->list_known = true;
  return list->n_unreadable == 0;
}

static void
process_ends (HsRuns *runs,
              uint32_t number,
              const HsTargetList *list,
              HsTime now)
{
  uint64_t read_before = runs->acked_end;
  size_t i;

  for (i = 0; i < list->n_ends; i++)
    {
      const HsListedEnd *end = &list->ends[i];
      HsRun *run;
      hsx_end_how how = end->how;

      if (end->number <= read_before)
        continue;
      runs->acked_end = MAX (runs->acked_end, end->number);
      run = hs_run_find (runs, &end->key);
      if (run == NULL)
        {
          note_unmatched (runs, &end->key, true, number, list);
          continue;
        }
      if (how == HSX_END_STOPPED && run->stop_reported_as != 0)
        how = run->stop_reported_as;
      if (how != HSX_END_DONE && !end_is_certain (runs, run, number))
        {
          run->end_read = true;
          run->ended_as = how;
          continue;
        }
      if (hs_run_is_starting (run))
        runs->effects->abandon_start (runs->arg, (uint32_t) (run - runs->runs));
      if (run->started_at == 0)
        run->started_at = run->called_at;
      hs_run_end (runs, run, how, HS_REFUSAL_NONE, HS_EVIDENCE_LISTED, now);
    }
  if (list->ends_incomplete)
    doubt_unanswered_starts (runs);
}

/* Whether an end in the list of a poll is that of the run. A start that was
   repeated may have been carried out by two incarnations, and the list be of
   the earlier one; not if that one wrote it after the last call had no effect
   any more. */
static bool
end_is_certain (const HsRuns *runs, const HsRun *run, uint32_t number)
{
  if (!run->repeated)
    return true;
  switch (run->state)
    {
    case HS_RUN_RUNNING:
    case HS_RUN_STOPPING:
      return run->first_poll <= number;
    case HS_RUN_START_UNKNOWN:
      return run->fence_token <= runs->poll_tokens[number % HS_POLL_TOKENS_MAX];
    default:
      return false;
    }
}

static void
note_unmatched (HsRuns *runs,
                const HsRunKey *key,
                bool ended,
                uint32_t number,
                const HsTargetList *list)
{
  if (runs->effects->unmatched != NULL)
    runs->effects->unmatched (runs->arg, key, ended, number, list->clock_ms);
}

/* @outdated: a later list has been processed, so that rows without a run are of
   runs that have ended since */
static void
process_running (HsRuns *runs,
                 uint32_t number,
                 const HsTargetList *list,
                 bool outdated,
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
          if (outdated)
            continue;
          unknown++;
          note_unmatched (runs, &row->key, false, number, list);
          runs->effects->stop (runs->arg, &row->key, runs->token);
          continue;
        }
      run->listed = true;
      run->endpoint = runs->endpoint;
      if (run->state == HS_RUN_START_UNKNOWN)
        {
          run->state = HS_RUN_RUNNING;
          hs_runs_note_token (runs, run->start_token, now);
          if (run->started_at == 0)
            run->started_at = run->called_at;
          run->percent = -1;
          run->progress_at = now;
          run->first_poll = runs->next_poll;
          run->shown_clock_ms = list->clock_ms;
          if (run->stop_requested)
            hs_run_call_stop (runs, run, now);
        }
      if (!outdated)
        check_progress (runs, run, row->percent, list->clock_ms * HS_MSEC, now);
    }
  if (!outdated)
    runs->n_unknown_runs = unknown;
  if (list->n_unreadable > 0)
    return;
  /* Runs that were known to have started when the poll was sent, and are in
     neither list. */
  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if ((run->state == HS_RUN_RUNNING || run->state == HS_RUN_STOPPING)
          && !run->listed && run->first_poll <= number)
        hs_run_end (runs, run, run->end_read ? run->ended_as : HSX_END_LAPSED,
                    HS_REFUSAL_NONE, HS_EVIDENCE_MISSING, now);
    }
}

static void
check_progress (HsRuns *runs,
                HsRun *run,
                int percent,
                HsTime listed,
                HsTime now)
{
  if (run->state != HS_RUN_RUNNING)
    return;
  if (percent != run->percent || percent < 0)
    {
      run->percent = percent;
      run->progress_at = now;
    }
  check_progress_rate (runs, run, listed, now);
  if (run->progress_at == now)
    return;
  if (run->stop_requested
      || now - run->progress_at < MAX (
             STALL_TIMEOUT_MIN, run->expected_time / STALL_RUN_TIME_DIVISOR))
    return;
  run->stop_reported_as = HSX_END_STALLED;
  hs_run_call_stop (runs, run, now);
}

/* A target that is slow for several jobs gets no tasks for a while, and runs
   that would be done sooner elsewhere are stopped. The progress rate is
   measured on the target's clock, so that it doesn't include the time that a
   list takes to arrive, as with late answers or an agent that gets no processor
   time.
   @param listed when the list was made, on the target's clock */
static void
check_progress_rate (HsRuns *runs, HsRun *run, HsTime listed, HsTime now)
{
  HsTime left
      = hs_progress_rate_time_left (&run->progress_rate, run->percent, listed);

  if (run->slow_threshold == 0)
    return;
  if (!run->slow
      && hs_progress_rate_total_time (&run->progress_rate, run->percent, listed)
             > run->slow_threshold)
    {
      run->slow = true;
      hs_breaker_record (&runs->breaker, HSX_END_SLOW, run->key.job, now);
    }
  hs_progress_rate_sample (&run->progress_rate, run->percent,
                           run->slow_threshold, listed);
  if (!run->slow || hs_breaker_state (&runs->breaker, now) == HS_BREAKER_CLOSED
      || left < run->expected_time + RESTART_COST)
    return;
  run->stop_reported_as = HSX_END_SLOW;
  hs_run_call_stop (runs, run, now);
}

/* Starts that are fenced off by the poll's token and aren't in its list will
   never happen. They haven't happened either unless another incarnation was
   called, or ends were left out of a list. */
static void
resolve_fenced_starts (HsRuns *runs, uint64_t token, HsTime now)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state != HS_RUN_START_UNKNOWN || run->fence_token > token)
        continue;
      if (run->end_read)
        hs_run_end (runs, run, run->ended_as, HS_REFUSAL_NONE,
                    HS_EVIDENCE_FENCED, now);
      else if (run->stop_requested)
        hs_run_end (runs, run, HSX_END_STOPPED, HS_REFUSAL_UNANSWERED,
                    HS_EVIDENCE_FENCED, now);
      else if (run->may_have_run)
        hs_run_end (runs, run, HSX_END_LAPSED, HS_REFUSAL_NONE,
                    HS_EVIDENCE_FENCED, now);
      else
        hs_run_end (runs, run, HSX_END_REFUSED, HS_REFUSAL_UNANSWERED,
                    HS_EVIDENCE_FENCED, now);
    }
}

static bool
has_unknown_starts (const HsRuns *runs)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    if (runs->runs[i].state == HS_RUN_START_UNKNOWN)
      return true;
  return false;
}

/* Doubles with each second of failed polls. */
static HsTime
retry_delay (const HsRuns *runs)
{
  HsTime delay = POLL_RETRY_MIN
                 << MIN (runs->n_failed_polls / FAILURES_PER_SECOND, 5);

  return MIN (delay, POLL_RETRY_MAX);
}
