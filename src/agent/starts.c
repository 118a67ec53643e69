#include "agent/internal.h"
#include "base/log.h"

/* A task that was started and has not ended. */
typedef struct
{
  HsAgent *agent;
  HsRecordHandle handle;
  uint32_t part;
  uint32_t slot;
  uint64_t epoch;
  char customer[HSX_NAME_MAX + 1];
  HsTime started_at;
} RunningTask;

static void start_task (HsAgent *agent,
                        HsConnectedEntry *sender,
                        const hsx_start *start,
                        HsTime now);
static void refuse_start (HsAgent *agent,
                          HsConnectedEntry *sender,
                          const hsx_start *start,
                          hsx_refusal refusal,
                          HsTime now);
static void on_call_end (void *arg,
                         HsTargetCallEnd end,
                         const HsTaskCompletion *completion);
static void handle_unreachable_target (HsAgent *agent, HsTime now);

void
hs_agent_on_start (HsAgent *agent,
                   HsConnectedEntry *sender,
                   const hsx_start *start,
                   HsTime now)
{
  HsAdmissionTarget target = {
    .unavailable
    = agent->target_state != HS_TARGET_UP || agent->phase != HS_AGENT_RUNNING,
    .capacity = agent->target.capacity,
  };
  hsx_refusal refusal
      = hs_admission_check (agent->admission, &target, start, now);

  if (refusal == HSX_REFUSAL_NONE)
    start_task (agent, sender, start, now);
  else
    refuse_start (agent, sender, start, refusal, now);
}

static void
start_task (HsAgent *agent,
            HsConnectedEntry *sender,
            const hsx_start *start,
            HsTime now)
{
  RunningTask *task = talloc_zero (agent, RunningTask);
  uint64_t entry = hs_connected_entry_incarnation (sender);

  task->agent = agent;
  task->part = start->key.part;
  task->slot = start->credit.slot;
  task->epoch = start->epoch;
  task->started_at = now;
  g_strlcpy (task->customer, start->key.customer, sizeof task->customer);
  hs_crash_watch_started (agent->crash_watch, start->key.customer,
                          start->key.id, now);
  task->handle = hs_start_log_add_start (agent->start_log, &start->key, now);
  hs_slots_occupy (agent->slots, &start->credit, entry, now);
  agent->result_receivers[task->part] = entry;
  agent->stats.starts++;
  hs_target_call (agent->target_calls, agent->curl, agent->target.address,
                  start, on_call_end, task);
}

/* Refuses a start and grants the sender a new credit for the one it used. A
   duplicate is answered with the record of the first start, as the task may
   have run. */
static void
refuse_start (HsAgent *agent,
              HsConnectedEntry *sender,
              const hsx_start *start,
              hsx_refusal refusal,
              HsTime now)
{
  HsPendingResult pending
      = { .key = start->key, .refusal = refusal, .epoch = start->epoch };

  agent->stats.refusals[refusal]++;
  if (refusal == HSX_REFUSAL_DUPLICATE)
    pending.handle = hs_start_log_find (agent->start_log, &start->key);
  if (hs_slots_credit_is_valid (agent->slots, &start->credit))
    pending.has_next_credit = hs_slots_regrant (
        agent->slots, start->credit.slot,
        hs_connected_entry_incarnation (sender), now, &pending.next_credit);
  hs_connected_entry_queue_result (sender, &pending);
}

static void
on_call_end (void *arg, HsTargetCallEnd end, const HsTaskCompletion *completion)
{
  RunningTask *task = arg;
  HsAgent *agent = task->agent;
  uint64_t entry = agent->result_receivers[task->part];
  HsConnectedEntry *receiver
      = hs_connected_entries_find (agent->connected_entries, entry);
  HsPendingResult pending = { .handle = task->handle };
  hsx_result record;

  HsTime now = hs_now ().mono;

  agent->stats.call_ends[end]++;
  if (end == HS_TARGET_CALL_BROKEN)
    hs_crash_watch_broken (agent->crash_watch, task->customer, task->started_at,
                           now);
  if (end == HS_TARGET_CALL_UNSENT)
    {
      handle_unreachable_target (agent, now);
      hs_start_log_get_result (agent->start_log, task->handle, &record);
      pending = (HsPendingResult){ .key = record.key,
                                   .refusal = HSX_REFUSAL_TARGET,
                                   .epoch = task->epoch };
    }
  else
    hs_start_log_finish (agent->start_log, task->handle, completion);
  pending.has_next_credit = hs_slots_release (agent->slots, task->slot, entry,
                                              now, &pending.next_credit);
  if (!pending.has_next_credit)
    hs_agent_schedule_grants (agent);
  if (receiver != NULL)
    hs_connected_entry_queue_result (receiver, &pending);
  else
    agent->stats.results_unsent++;
  if (end == HS_TARGET_CALL_UNSENT)
    hs_start_log_remove (agent->start_log, task->handle);
  hs_agent_task_ended (agent);
  talloc_free (task);
}

/* Withdraws the credits of a target that cannot be connected to, until its
   next announcement. */
static void
handle_unreachable_target (HsAgent *agent, HsTime now)
{
  HsCrashReport report;
  agent->stats.refusals[HSX_REFUSAL_TARGET]++;
  if (agent->target_unreachable)
    return;
  hs_warn (HS_AGENT_LOG_PART,
           "cannot connect to target %s; granting no slots until it "
           "announces itself again",
           agent->target.address);
  agent->target_unreachable = true;
  if (hs_crash_watch_refused (agent->crash_watch, &report, now))
    {
      report.crash.agent = agent->incarnation;
      hs_connected_entries_send_crash (agent->connected_entries, &report.crash);
    }
  hs_agent_apply_target_change (agent);
}
