#include "direct/runs.h"

#include <string.h>

#include <glib.h>

#include "direct/liveness.h"
#include "direct/resources.h"
#include "direct/runs_private.h"

/** A stop call is repeated if the run is still listed when the target's stop
 *  timeout plus this has passed since the call. It covers one poll and its
 *  answer. */
#define STOP_RETRY_SLACK (60 * HS_MSEC)

static bool is_stale (const HsRuns *runs, const HsAnnouncement *announcement);
static hsx_room free_resources (const HsRuns *runs);
static HsTime make_offers (HsRuns *runs, HsTime now);

const char *
hs_refusal_name (HsRefusal refusal)
{
  static const char *const names[] = {
    [HS_REFUSAL_NONE] = "none",         [HS_REFUSAL_STALE] = "stale",
    [HS_REFUSAL_LEAVING] = "leaving",   [HS_REFUSAL_RESOURCES] = "room",
    [HS_REFUSAL_NO_TARGET] = "unknown", [HS_REFUSAL_TARGET] = "target",
    [HS_REFUSAL_UNANSWERED] = "lost",   [HS_REFUSAL_DUPLICATE] = "duplicate",
    [HS_REFUSAL_DEADLINE] = "deadline", [HS_REFUSAL_EVACUATED] = "evacuated",
  };

  return refusal < G_N_ELEMENTS (names) ? names[refusal] : "other";
}

const char *
hs_end_name (hsx_end_how how)
{
  static const char *const names[] = {
    [HSX_END_DONE] = "done",       [HSX_END_FAILED] = "failed",
    [HSX_END_STOPPED] = "stopped", [HSX_END_LAPSED] = "lapsed",
    [HSX_END_REFUSED] = "refused", [HSX_END_STALLED] = "stalled",
    [HSX_END_SLOW] = "slow",
  };

  return how >= HSX_END_DONE && how <= HSX_END_SLOW ? names[how] : "other";
}

const char *
hs_evidence_name (HsEvidenceKind kind)
{
  static const char *const names[] = {
    [HS_EVIDENCE_NONE] = "none",     [HS_EVIDENCE_ANSWER] = "answer",
    [HS_EVIDENCE_LISTED] = "listed", [HS_EVIDENCE_MISSING] = "missing",
    [HS_EVIDENCE_FENCED] = "fenced", [HS_EVIDENCE_REPLACED] = "replaced",
    [HS_EVIDENCE_LEASE] = "lease",
  };

  return names[kind];
}

const char *
hs_crash_stage_name (hsx_crash_stage stage)
{
  static const char *const names[] = {
    [HSX_CRASH_SUSPECTED] = "suspected",
    [HSX_CRASH_POSSIBLE] = "possible",
    [HSX_CRASH_CERTAIN] = "certain",
    [HSX_CRASH_WITHDRAWN] = "withdrawn",
  };

  return stage >= HSX_CRASH_SUSPECTED && stage <= HSX_CRASH_WITHDRAWN
             ? names[stage]
             : "other";
}

const char *
hs_target_result_name (HsTargetResult result)
{
  static const char *const names[] = {
    [HS_TARGET_OK] = "ok",
    [HS_TARGET_FENCED] = "fenced",
    [HS_TARGET_OUTDATED] = "outdated",
    [HS_TARGET_LEASE_EXPIRED] = "late",
    [HS_TARGET_FULL] = "full",
    [HS_TARGET_UNHEALTHY] = "unhealthy",
    [HS_TARGET_REPLACED] = "replaced",
    [HS_TARGET_INVALID] = "invalid",
    [HS_TARGET_UNSENT] = "unsent",
    [HS_TARGET_NO_LISTENER] = "no_listener",
    [HS_TARGET_UNANSWERED] = "unanswered",
  };

  return names[result];
}

HsRuns *
hs_runs_new (TALLOC_CTX *ctx,
             const HsRunsOptions *options,
             uint64_t first_token,
             const HsRunsEffects *effects,
             void *arg)
{
  HsRuns *runs = talloc_zero (ctx, HsRuns);

  runs->options = *options;
  runs->token = first_token;
  runs->min_poll_token = first_token;
  runs->lease_token = first_token;
  runs->effects = effects;
  runs->arg = arg;
  runs->next_poll = 1;
  runs->start_rates = hs_start_rates_new (runs);
  return runs;
}

bool
hs_runs_target_announced (HsRuns *runs,
                          const HsAnnouncement *announcement,
                          HsTime now)
{
  const HsAnnouncement *known = &runs->target;
  bool same = known->started_ms == announcement->started_ms;

  if (runs->announced)
    same = strcmp (known->name, announcement->name) == 0
           && (same || known->started_ms == 0);
  if (is_stale (runs, announcement))
    return false;
  if (same && runs->announced && announcement->sequence <= known->sequence)
    return false;
  if (same)
    hs_runs_note_announcement (runs);
  else if (runs->announced || known->started_ms != 0)
    hs_runs_forget_target (runs);
  runs->target_lost = false;
  runs->target_left = false;
  runs->target = *announcement;
  runs->warm_at = now + announcement->warmup_left;
  runs->announced = true;
  if (!same)
    {
      runs->endpoint++;
      runs->n_failed_polls = 0;
      hs_runs_distrust_sent_polls (runs);
    }
  runs->poll_not_before = MIN (runs->poll_not_before, now);
  runs->effects->changed (runs->arg);
  return true;
}

HsTime
hs_runs_warmup_left (const HsRuns *runs, HsTime now)
{
  return MAX (runs->warm_at - now, 0);
}

void
hs_runs_target_left (HsRuns *runs, const char *name, HsTime now)
{
  if (!runs->announced || strcmp (runs->target.name, name) != 0)
    return;
  runs->target_lost = true;
  runs->target_left = true;
  runs->poll_not_before = MIN (runs->poll_not_before, now);
  runs->effects->changed (runs->arg);
}

const HsAnnouncement *
hs_runs_target (const HsRuns *runs)
{
  return runs->announced ? &runs->target : NULL;
}

/* @over_since: when the run's job may have ended, at the earliest */
static void
limit_renewals (HsRun *run, HsTime over_since)
{
  HsTime until = MAX (over_since + HS_STOP_RENEWAL_MAX, HS_USEC);

  if (run->renew_until == 0 || until < run->renew_until)
    run->renew_until = until;
}

void
hs_runs_stop (HsRuns *runs,
              uint32_t entry,
              uint64_t ref,
              HsTime over_since,
              HsTime now)
{
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_FREE || run->entry != entry || run->ref != ref)
        continue;
      run->stop_reported_as = HSX_END_STOPPED;
      limit_renewals (run, MIN (over_since, now));
      if (!run->stop_requested)
        hs_run_call_stop (runs, run, now);
      return;
    }
}

void
hs_runs_entry_lost (HsRuns *runs, uint32_t entry, HsTime now)
{
  uint32_t i;

  hs_offers_remove_entry (&runs->offers, entry);
  for (i = 0; i < HS_RUNS_MAX; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_FREE || run->entry != entry)
        continue;
      run->entry = HS_RUNS_NO_ENTRY;
      run->renew_until = now;
      if (!run->stop_requested)
        hs_run_call_stop (runs, run, now);
    }
}

uint32_t
hs_runs_active_refs (const HsRuns *runs,
                     uint32_t entry,
                     uint64_t *refs,
                     uint32_t n)
{
  uint32_t found = 0;
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX && found < n; i++)
    if (runs->runs[i].state != HS_RUN_FREE && runs->runs[i].entry == entry)
      refs[found++] = runs->runs[i].ref;
  return found;
}

void
hs_runs_drain (HsRuns *runs)
{
  runs->draining = true;
  runs->effects->changed (runs->arg);
}

void
hs_runs_set_evacuated (HsRuns *runs, bool evacuated)
{
  if (runs->evacuated == evacuated)
    return;
  runs->evacuated = evacuated;
  runs->effects->changed (runs->arg);
}

void
hs_runs_set_backlog (HsRuns *runs,
                     uint32_t entry,
                     const hsx_want *backlog,
                     HsTime report_time)
{
  hs_offers_set_backlog (&runs->offers, entry, backlog, report_time);
}

HsTime
hs_runs_tick (HsRuns *runs, HsTime now)
{
  HsTime due = hs_runs_send_due_polls (runs, now);
  uint32_t left = runs->n_runs;
  uint32_t i;

  if (hs_breaker_state (&runs->breaker, now) != runs->breaker_state)
    {
      runs->breaker_state = hs_breaker_state (&runs->breaker, now);
      runs->effects->changed (runs->arg);
    }
  due = MIN (due, hs_runs_check_crash (runs, now));
  due = MIN (due, hs_breaker_next_change (&runs->breaker, now));
  due = MIN (due, make_offers (runs, now));
  for (i = 0; i < HS_RUNS_MAX && left > 0; i++)
    {
      HsRun *run = &runs->runs[i];
      HsTime repeat
          = run->called_at + runs->options.stop_timeout + STOP_RETRY_SLACK;

      if (run->state == HS_RUN_FREE)
        continue;
      left--;
      if (run->state == HS_RUN_STOPPING && now >= repeat)
        hs_run_call_stop (runs, run, now);
      if (run->state == HS_RUN_STOPPING && runs->no_listener_since != 0)
        continue;
      if (run->state == HS_RUN_STOPPING)
        due = MIN (due, run->called_at + runs->options.stop_timeout
                            + STOP_RETRY_SLACK);
      else if (!run->stop_requested && now >= run->deadline)
        {
          run->stop_reported_as = HSX_END_STOPPED;
          limit_renewals (run, run->deadline);
          hs_run_call_stop (runs, run, now);
        }
      else if (!run->stop_requested)
        due = MIN (due, run->deadline);
    }
  return due;
}

hsx_room
hs_runs_available (const HsRuns *runs, uint32_t entry, HsTime now)
{
  hsx_room available = free_resources (runs);

  return hs_offers_available (&runs->offers, entry, &available, now);
}

static hsx_room
free_resources (const HsRuns *runs)
{
  hsx_room available = runs->target.capacity;
  hsx_room none = { 0 };
  uint32_t left = runs->n_runs;
  uint32_t i;

  if (runs->evacuated
      || (runs->breaker_state != HS_BREAKER_CLOSED && runs->n_runs > 0))
    return none;
  for (i = 0; i < HS_RUNS_MAX && left > 0; i++)
    if (runs->runs[i].state != HS_RUN_FREE)
      {
        hs_resources_subtract (&available, &runs->runs[i].needs);
        left--;
      }
  return available;
}

const HsRunKey *
hs_runs_key (const HsRuns *runs, uint32_t run)
{
  if (run >= HS_RUNS_MAX || runs->runs[run].state == HS_RUN_FREE)
    return NULL;
  return &runs->runs[run].key;
}

const HsEvidence *
hs_runs_last_evidence (const HsRuns *runs)
{
  return &runs->evidence;
}

uint32_t
hs_runs_count (const HsRuns *runs)
{
  return runs->n_runs;
}

void
hs_run_end (HsRuns *runs,
            HsRun *run,
            hsx_end_how how,
            HsRefusal reason,
            HsEvidenceKind evidence,
            HsTime now)
{
  hsx_end end = { .ref = run->ref, .how = how, .reason = reason };
  HsRunKey key = run->key;
  uint32_t entry = run->entry;

  runs->evidence.kind = evidence;
  runs->evidence.start_poll = run->start_poll;
  runs->evidence.first_poll = run->first_poll;
  runs->evidence.shown_clock_ms = run->shown_clock_ms;
  /* Its start call may have renewed the lease without having been answered. */
  if (hs_run_is_starting (run))
    runs->renewed_at = MAX (runs->renewed_at, run->called_at);
  if (run->started_at != 0 && how != HSX_END_REFUSED)
    end.run_us = (unsigned int) MIN (now - run->started_at, UINT32_MAX);
  /* A slow run was recorded when it was found slow; its success doesn't count
     in the target's favour. */
  if (!run->slow || how != HSX_END_DONE)
    hs_breaker_record (&runs->breaker, how, key.job, now);
  runs->breaker_state = hs_breaker_state (&runs->breaker, now);
  talloc_free (run->spec);
  memset (run, 0, sizeof *run);
  runs->n_runs--;
  if (entry != HS_RUNS_NO_ENTRY)
    runs->effects->ended (runs->arg, entry, &key, &end);
  runs->effects->changed (runs->arg);
}

/* A stop also makes the target reject a start that is still in flight. While
   nothing listens it isn't sent, but at the first answer of the target: by
   hs_runs_tick(), or when a list shows the run. */
void
hs_run_call_stop (HsRuns *runs, HsRun *run, HsTime now)
{
  run->stop_requested = true;
  if (run->state == HS_RUN_RUNNING)
    run->state = HS_RUN_STOPPING;
  if (runs->no_listener_since != 0)
    {
      if (run->state == HS_RUN_STOPPING)
        run->called_at = 0;
      return;
    }
  if (run->state == HS_RUN_STOPPING)
    run->called_at = now;
  runs->effects->stop (runs->arg, &run->key, runs->token);
}

HsRun *
hs_run_find (HsRuns *runs, const HsRunKey *key)
{
  uint32_t left = runs->n_runs;
  uint32_t i;

  for (i = 0; i < HS_RUNS_MAX && left > 0; i++)
    {
      HsRun *run = &runs->runs[i];

      if (run->state == HS_RUN_FREE)
        continue;
      left--;
      if (hs_run_key_equal (&run->key, key))
        return run;
    }
  return NULL;
}

bool
hs_run_key_equal (const HsRunKey *a, const HsRunKey *b)
{
  return a->index == b->index && a->step == b->step && a->attempt == b->attempt
         && strcmp (a->job, b->job) == 0;
}

/* Whether an announcement is of an earlier incarnation. Its start tells, unless
   the clock of the target's host stepped back: an incarnation that the target
   itself has reported as replaced isn't the later one. */
static bool
is_stale (const HsRuns *runs, const HsAnnouncement *announcement)
{
  if (announcement->started_ms >= runs->target.started_ms)
    return false;
  return !runs->target_lost
         || strcmp (runs->target.name, announcement->name) == 0;
}

static HsTime
make_offers (HsRuns *runs, HsTime now)
{
  hsx_room available;
  uint32_t entry;

  if (runs->evacuated || hs_runs_target_state (runs) != HSX_TARGET_READY)
    return HS_NEVER;
  available = free_resources (runs);
  while ((entry = hs_offers_make_next (&runs->offers, &available, now))
         < HS_OFFERS_ENTRIES_MAX)
    runs->effects->offered (runs->arg, entry);
  return hs_offers_next_expiry (&runs->offers, now);
}
