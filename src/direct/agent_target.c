/* The agent between its target and its runs: calls that the runs ask for, and
   answers and announcements of the target. */
#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/agent_private.h"
#include "direct/resources.h"

/* Effects requested by HsRuns. */

static void
effect_start (void *arg, uint32_t run, const HsTargetStart *order)
{
  HsDirectAgent *agent = arg;

  hs_event ("task_start",
            "job=%s step=%u task=%u attempt=%u token=%" PRIu64
            " lease_until=%" PRId64,
            order->key.job, order->key.step, order->key.index,
            order->key.attempt, order->token, order->lease_until_ms);
  hs_target_client_start (agent->target_client, run, order);
}

static void
effect_abandon_start (void *arg, uint32_t run)
{
  HsDirectAgent *agent = arg;

  hs_target_client_abandon_start (agent->target_client, run);
}

static void
effect_stop (void *arg, const HsRunKey *key, uint64_t token)
{
  HsDirectAgent *agent = arg;

  hs_event ("task_stop", "job=%s step=%u task=%u attempt=%u", key->job,
            key->step, key->index, key->attempt);
  hs_target_client_stop (agent->target_client, key, token);
}

static void
effect_poll (void *arg, const HsTargetPoll *request)
{
  HsDirectAgent *agent = arg;

  hs_target_client_poll (agent->target_client, request);
}

static void
effect_ended (void *arg,
              uint32_t entry,
              const HsRunKey *key,
              const hsx_end *end)
{
  HsDirectAgent *agent = arg;
  const HsEvidence *evidence = hs_runs_last_evidence (agent->runs);

  hs_event ("task_end",
            "job=%s step=%u task=%u attempt=%u ref=%016" PRIx64
            " entry=%016" PRIx64 " how=%s reason=%s run_ms=%.1f evidence=%s"
            " poll=%u list_clock=%" PRId64 " start_poll=%u first_poll=%u"
            " shown_clock=%" PRId64,
            key->job, key->step, key->index, key->attempt, end->ref,
            agent->entries[entry].incarnation, hs_end_name (end->how),
            hs_refusal_name (end->reason), end->run_us / 1000.0,
            hs_evidence_name (evidence->kind), evidence->poll,
            evidence->list_clock_ms, evidence->start_poll, evidence->first_poll,
            evidence->shown_clock_ms);
  hs_counter_add (agent->end_counters[end->how], 0, 1);
  if (end->how == HSX_END_DONE)
    hs_histogram_record (agent->run_times, end->run_us);
  hs_agent_links_add_end (agent, entry, end);
}

static void
effect_changed (void *arg)
{
  hs_agent_links_mark_changed (arg);
}

static void
effect_offered (void *arg, uint32_t entry)
{
  hs_agent_links_mark_offer (arg, entry);
}

static void
effect_crashed (void *arg, const HsCrash *crash)
{
  HsDirectAgent *agent = arg;
  const HsAnnouncement *target = hs_runs_target (agent->runs);
  char name[HS_EVENT_VALUE_SIZE];
  char customer[HS_EVENT_VALUE_SIZE];
  uint32_t i;

  hs_event ("target_crashed",
            "name=%s crash=%u stage=%s tasks=%u seen_after_ms=%.1f",
            target != NULL ? hs_event_sanitise (target->name, name) : "-",
            crash->number, hs_crash_stage_name (crash->stage), crash->n_tasks,
            (double) (hs_now ().mono - crash->at) / HS_MSEC);
  for (i = 0; i < crash->n_tasks; i++)
    hs_event ("crash_task",
              "crash=%u job=%s step=%u task=%u attempt=%u customer=%s "
              "ran_ms=%.1f certain=%d",
              crash->number, crash->tasks[i].key.job, crash->tasks[i].key.step,
              crash->tasks[i].key.index, crash->tasks[i].key.attempt,
              hs_event_sanitise (crash->tasks[i].customer, customer),
              (double) crash->tasks[i].age / HS_MSEC, crash->tasks[i].certain);
  hs_counter_add (agent->crash_counter, 0, 1);
}

static void
effect_crash_settled (void *arg, const HsCrash *crash)
{
  (void) arg;
  hs_event ("crash_settled", "crash=%u stage=%s after_ms=%.1f", crash->number,
            hs_crash_stage_name (crash->stage),
            (double) (hs_now ().mono - crash->at) / HS_MSEC);
}

static void
effect_unmatched (void *arg,
                  const HsRunKey *key,
                  bool ended,
                  uint32_t poll,
                  int64_t list_clock_ms)
{
  (void) arg;
  hs_event ("unmatched",
            "job=%s step=%u task=%u attempt=%u state=%s poll=%u"
            " list_clock=%" PRId64,
            key->job, key->step, key->index, key->attempt,
            ended ? "ended" : "running", poll, list_clock_ms);
}

const HsRunsEffects hs_direct_agent_effects
    = { .start = effect_start,
        .abandon_start = effect_abandon_start,
        .stop = effect_stop,
        .poll = effect_poll,
        .ended = effect_ended,
        .changed = effect_changed,
        .offered = effect_offered,
        .crashed = effect_crashed,
        .crash_settled = effect_crash_settled,
        .unmatched = effect_unmatched };

/* Answers and announcements of the target. */

static void
on_started (void *arg, uint32_t run, HsTargetResult result)
{
  HsDirectAgent *agent = arg;
  const HsRunKey *key = hs_runs_key (agent->runs, run);

  hs_direct_agent_handle_pause (agent);
  if (result != HS_TARGET_OK && key != NULL)
    hs_event ("start_result", "job=%s step=%u task=%u attempt=%u result=%s",
              key->job, key->step, key->index, key->attempt,
              hs_target_result_name (result));
  hs_runs_start_done (agent->runs, run, result, hs_now ().mono);
  hs_direct_agent_schedule (agent);
}

/* Logs lists that arrive in another order than that of their polls or of the
   target's clock. */
static void
note_list_order (HsDirectAgent *agent,
                 uint32_t number,
                 const HsTargetList *list)
{
  bool same = list->started_ms == agent->last_list_started_ms;

  if (same
      && (number < agent->last_list_poll
          || list->clock_ms < agent->last_list_clock_ms))
    hs_event ("list_overtaken",
              "poll=%u clock=%" PRId64 " running=%zu after_poll=%u"
              " after_clock=%" PRId64,
              number, list->clock_ms, list->n_running, agent->last_list_poll,
              agent->last_list_clock_ms);
  agent->last_list_poll = number;
  agent->last_list_started_ms = list->started_ms;
  agent->last_list_clock_ms = list->clock_ms;
}

static void
on_polled (void *arg,
           uint32_t number,
           HsTargetResult result,
           const HsTargetList *list)
{
  HsDirectAgent *agent = arg;

  hs_direct_agent_handle_pause (agent);
  if (result == HS_TARGET_OK)
    note_list_order (agent, number, list);
  hs_runs_poll_done (agent->runs, number, result, list, hs_now ().mono);
  hs_direct_agent_schedule (agent);
}

static void
on_stopped (void *arg, const HsRunKey *key, HsTargetResult result)
{
  if (result != HS_TARGET_OK)
    hs_event ("stop_result", "job=%s task=%u result=%s", key->job, key->index,
              hs_target_result_name (result));
  hs_direct_agent_schedule (arg);
}

const HsTargetClientHandler hs_direct_agent_target_handler
    = { .started = on_started, .polled = on_polled, .stopped = on_stopped };

static void
on_announced (void *arg, const HsAnnouncement *announcement)
{
  HsDirectAgent *agent = arg;
  const HsAnnouncement *previous = hs_runs_target (agent->runs);
  char name[HS_EVENT_VALUE_SIZE];
  bool was_leaving = previous != NULL && previous->leaving;
  bool same_capacity
      = previous != NULL
        && hs_resources_equal (&previous->capacity, &announcement->capacity);
  bool same = previous != NULL
              && strcmp (previous->name, announcement->name) == 0
              && previous->started_ms == announcement->started_ms;
  uint32_t i;

  if (!hs_runs_target_announced (agent->runs, announcement, hs_now ().mono))
    return;
  if (!same || !same_capacity || was_leaving != announcement->leaving)
    hs_event (
        "target",
        "name=%s born=%" PRId64 " sequence=%" PRIu64 " state=%s cpu_milli=%u "
        "warmup_left_ms=%" PRId64,
        hs_event_sanitise (announcement->name, name), announcement->started_ms,
        announcement->sequence, announcement->leaving ? "leaving" : "ready",
        announcement->capacity.cpu_milli, announcement->warmup_left / HS_MSEC);
  if (!same)
    {
      hs_target_client_set_endpoint (agent->target_client,
                                     announcement->address, announcement->name);
      for (i = 0; i < HS_ENTRIES_MAX; i++)
        agent->entries[i].info_sent = false;
    }
  hs_direct_agent_schedule (agent);
}

static void
on_left (void *arg, const char *name)
{
  HsDirectAgent *agent = arg;
  char text[HS_EVENT_VALUE_SIZE];

  hs_event ("target_left", "name=%s", hs_event_sanitise (name, text));
  hs_runs_target_left (agent->runs, name, hs_now ().mono);
  hs_direct_agent_schedule (agent);
}

static void
on_unreadable (void *arg, const char *name, const char *problem)
{
  char text[HS_EVENT_VALUE_SIZE];

  (void) arg;
  hs_event ("target_unreadable", "name=%s problem=\"%s\"",
            hs_event_sanitise (name, text), problem);
}

const HsAnnouncementHandler hs_direct_agent_announcement_handler
    = { .announced = on_announced,
        .left = on_left,
        .unreadable = on_unreadable };
