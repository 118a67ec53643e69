/**
 * @file
 * Tasks: queueing, starting them on agents, retries, timeouts and results.
 */
#include <string.h>

#include "base/error.h"
#include "owner/internal.h"
#include "policy/random.h"

/** Bound on the delay before a refused start is retried, which grows by 1 ms
 *  with each attempt. */
#define RETRY_DELAY_MAX_MS 50

/** Timers that expire while their partition isn't served are set again after
 *  this time. */
#define PARTITION_RETRY (20 * HS_MSEC)

/** A task that no idle credit fits is tried again after this time. */
#define NO_FITTING_CREDIT_RETRY (50 * HS_MSEC)

/** A task that some agents have fenced waits this long for a credit of another
 *  agent, then ends as not run. */
#define FENCED_WAIT_MAX (3 * HS_SEC)

static HsStartDecision may_start (void *arg,
                                  uint32_t flow,
                                  uint32_t handle,
                                  HsTime now,
                                  HsTime *ready_at);
static void record_health (HsOwner *owner,
                           const Task *task,
                           const hsx_result *result,
                           HsNow now);
static void send_start (HsOwner *owner, Task *task, HsNow now);
static void enqueue_task (HsOwner *owner, Task *task, HsNow now);
static void
apply_refusal (HsOwner *owner, Task *task, hsx_refusal refusal, HsNow now);
static void apply_fence (HsOwner *owner, Task *task, HsNow now);
static void limit_fenced_wait (HsOwner *owner, Task *task, HsTime now);
static void set_timer (HsOwner *owner, const Task *task, HsTime at);
static void clear_timer (HsOwner *owner, const Task *task);

void
job_enqueue_tasks (HsOwner *owner, Job *job, HsNow now)
{
  uint32_t handles[HSX_TASKS_MAX];
  HsTime declared[HSX_TASKS_MAX];
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < job->n_tasks; i++)
    {
      Task *task = &job->tasks[i];

      if (task->state != TASK_DEFERRED)
        continue;
      clear_timer (owner, task);
      task->state = TASK_QUEUED;
      handles[n] = task->handle;
      declared[n] = task->spec.run_ms * HS_MSEC;
      n++;
      if (task->deadline != HS_NEVER)
        set_timer (owner, task, task->deadline);
    }
  if (n > 0)
    hs_fair_queue_push (owner->queue, job->customer->flow, now.mono, n, handles,
                        declared);
}

void
task_finish (HsOwner *owner,
             Task *task,
             hsx_task_state state,
             unsigned int kind,
             unsigned int http_status,
             const char *body,
             size_t n,
             HsNow now)
{
  Job *job = task->job;

  clear_timer (owner, task);
  if (task->state == TASK_QUEUED)
    hs_fair_queue_remove (owner->queue, task->handle);
  if (task->state == TASK_SENT)
    task_unmark_sent (owner, task);
  else
    job->customer->queued--;
  task->state = TASK_FINISHED;
  owner->tasks->pdata[task->handle] = NULL;
  g_array_append_val (owner->free_task_handles, task->handle);
  task->handle = NO_HANDLE;
  TALLOC_FREE (task->spec.body.body_val);
  task->spec.body.body_len = 0;
  task->answer.state = state;
  task->answer.kind = kind;
  task->answer.http_status = http_status;
  task->answer.body.body_val
      = n > 0 ? talloc_memdup (job->tasks, body, n) : NULL;
  task->answer.body.body_len = (unsigned int) n;
  switch (state)
    {
    case HSX_TASK_DONE:
      owner->stats.done++;
      break;
    case HSX_TASK_FAILED:
      owner->stats.failed++;
      break;
    case HSX_TASK_NOT_RUN:
      owner->stats.not_run++;
      break;
    case HSX_TASK_MAY_HAVE_RUN:
      owner->stats.may_have_run++;
      break;
    }
  job->n_unfinished--;
  if (job->n_unfinished == 0)
    job_finish (owner, job, now);
}

hsx_task_key
task_key (const Task *task)
{
  const Job *job = task->job;
  hsx_task_key key = { 0 };

  key.part = job->part;
  key.customer = (char *) (uintptr_t) job->customer_name;
  key.id = (char *) (uintptr_t) job->id;
  key.index = task->index;
  memcpy (&key.content, job->digest, sizeof key.content);
  return key;
}

void
task_mark_sent (HsOwner *owner, Task *task, uint32_t agent, HsNow now)
{
  Customer *customer = task->job->customer;

  clear_timer (owner, task);
  task->outcome_unknown = false;
  task->state = TASK_SENT;
  task->agent = agent;
  task->sent_at = now.mono;
  task->sent_epoch = 0;
  customer->queued--;
  customer->in_flight++;
  set_timer (owner, task, now.mono + owner->config.task_timeout + RESULT_GRACE);
}

void
task_unmark_sent (HsOwner *owner, Task *task)
{
  Customer *customer = task->job->customer;

  customer->in_flight--;
  hs_fair_queue_wake_flow (owner->queue, customer->flow);
  if (task->holds_credit)
    hs_credits_task_ended (owner->credits, task->agent);
  task->holds_credit = false;
}

void
task_retry_later (HsOwner *owner, Task *task, bool target_failed, HsNow now)
{
  HsTime at = now.mono + MIN (task->attempts, RETRY_DELAY_MAX_MS) * HS_MSEC;

  clear_timer (owner, task);
  task_unmark_sent (owner, task);
  task->job->customer->queued++;
  task->attempts++;
  task->state = TASK_DEFERRED;
  /* When the retry budget is used up, the task isn't failed but waits longer.
   */
  if (target_failed
      && !hs_retry_budget_take (&owner->retry, task->attempts, now.mono,
                                &owner->random_state, &at))
    at = now.mono + HS_SEC
         + hs_random_below (&owner->random_state, (uint32_t) HS_SEC);
  set_timer (owner, task, MIN (at, task->deadline));
}

void
task_apply_result (HsOwner *owner,
                   Task *task,
                   const hsx_result *result,
                   HsNow now)
{
  Job *job = task->job;
  HsTime run = result->run_us;

  record_health (owner, task, result, now);
  switch (result->outcome)
    {
    case HSX_RUNNING:
      return;
    case HSX_REFUSED:
      apply_refusal (owner, task, result->refusal, now);
      return;
    case HSX_MAYBE:
      task_finish (owner, task, HSX_TASK_MAY_HAVE_RUN, HS_ERROR_UNKNOWN,
                   result->http_status, NULL, 0, now);
      return;
    case HSX_DONE:
    case HSX_FAILED:
      break;
    }
  if (result->outcome == HSX_DONE)
    hs_containment_job_done (owner->containment, job->customer->containment);
  if (task->holds_credit)
    hs_fair_queue_task_ended (owner->queue, job->customer->flow,
                              task->spec.run_ms * HS_MSEC, task->charged, run);
  owner->effects.measure (owner->arg, job->customer_name,
                          task->sent_at - task->queued_at,
                          now.mono - task->sent_at, 0);
  task_finish (owner, task,
               result->outcome == HSX_DONE ? HSX_TASK_DONE : HSX_TASK_FAILED, 0,
               result->http_status, result->body.body_val,
               result->body.body_len, now);
}

void
dispatch_tasks (HsOwner *owner, HsNow now)
{
  HsPoppedTask popped;

  if (owner->lease_until - now.mono < START_LEASE_MIN)
    return;
  exchange_credits (owner, now);
  while (hs_fair_queue_pop (owner->queue, now.mono, may_start, owner, &popped))
    {
      Task *task = owner->tasks->pdata[popped.task];

      task->charged = popped.charged;
      if (task->attempts == 0)
        hs_retry_budget_add_start (&owner->retry);
      send_start (owner, task, now);
    }
  exchange_credits (owner, now);
}

void
run_due_timers (HsOwner *owner, HsNow now)
{
  while (owner->timers.n > 0 && owner->timers.items[0].key <= now.mono)
    {
      Task *task = owner->tasks->pdata[owner->timers.items[0].handle];

      /* While the partition is handed over, the other owner decides about
         waiting tasks. */
      if (task->state != TASK_SENT
          && owner->partitions[task->job->part].state != PARTITION_SERVING)
        {
          clear_timer (owner, task);
          set_timer (owner, task, now.mono + PARTITION_RETRY);
        }
      else if (task->state == TASK_DEFERRED && task->deadline > now.mono)
        enqueue_task (owner, task, now);
      else if (task->state == TASK_SENT)
        task_finish (owner, task, HSX_TASK_MAY_HAVE_RUN, HS_ERROR_UNKNOWN, 0,
                     NULL, 0, now);
      else
        task_finish (owner, task, HSX_TASK_NOT_RUN, HS_ERROR_DEADLINE, 0, NULL,
                     0, now);
    }
}

void
apply_health_changes (HsOwner *owner, HsNow now)
{
  HsHealthState state;
  uint32_t agent;

  while (hs_health_next_change (owner->health, now.mono, &agent, &state))
    if (owner->agents[agent].known_to_all_entries)
      hs_credits_set_health (owner->credits, agent, state);
}

/* Records a result in the health of the agent. Only the result of a task that
   this entry has started tells the speed of the target. */
static void
record_health (HsOwner *owner,
               const Task *task,
               const hsx_result *result,
               HsNow now)
{
  uint32_t flow = task->job->customer->flow;
  HsTime expected;

  if (!task->holds_credit || result->outcome == HSX_RUNNING
      || (result->outcome == HSX_REFUSED
          && result->refusal != HSX_REFUSAL_TARGET))
    return;
  expected = hs_fair_queue_expected_run (owner->queue, flow,
                                         task->spec.run_ms * HS_MSEC);
  hs_health_record_result (
      owner->health, task->agent, flow, result->outcome != HSX_DONE,
      result->run_us, result->outcome == HSX_DONE ? expected : 0, now.mono);
}

static HsStartDecision
may_start (void *arg,
           uint32_t flow,
           uint32_t handle,
           HsTime now,
           HsTime *ready_at)
{
  HsOwner *owner = arg;
  Customer *customer = owner->flows->pdata[flow];
  Task *task = owner->tasks->pdata[handle];

  if (!hs_credits_may_take (owner->credits, now))
    return HS_START_NONE;
  if (!customer->has_plan
      || customer->in_flight >= customer->allowance.in_flight)
    return HS_START_DEFER_FLOW;
  *ready_at = hs_bucket_ready_at (&customer->bucket, now);
  if (*ready_at > now)
    return HS_START_DEFER_FLOW;
  if (!hs_credits_take_avoiding (
          owner->credits, customer_credit_group (owner, customer),
          &task->spec.needs, task->fenced_agents, task->n_fenced_agents, now,
          owner->lease_until - now, &owner->picked.agent,
          &owner->picked.credit))
    {
      limit_fenced_wait (owner, task, now);
      *ready_at = now + NO_FITTING_CREDIT_RETRY;
      return HS_START_DEFER_JOB;
    }
  hs_bucket_take (&customer->bucket, now);
  return HS_START_TASK;
}

static void
enqueue_task (HsOwner *owner, Task *task, HsNow now)
{
  HsTime declared = task->spec.run_ms * HS_MSEC;

  clear_timer (owner, task);
  task->state = TASK_QUEUED;
  if (task->deadline != HS_NEVER)
    set_timer (owner, task, task->deadline);
  hs_fair_queue_push (owner->queue, task->job->customer->flow, now.mono, 1,
                      &task->handle, &declared);
}

static void
send_start (HsOwner *owner, Task *task, HsNow now)
{
  Job *job = task->job;
  hsx_start start = { 0 };

  task_mark_sent (owner, task, owner->picked.agent, now);
  task->holds_credit = true;
  job->queue_wait = MAX (job->queue_wait, now.mono - task->queued_at);
  start.key = task_key (task);
  start.epoch = owner->partitions[job->part].epoch;
  task->sent_epoch = start.epoch;
  start.credit = owner->picked.credit;
  start.permit_us
      = owner->lease_until
        - hs_credits_stamp_received_at (owner->credits, task->agent);
  start.timeout_ms = (unsigned int) (owner->config.task_timeout / HS_MSEC);
  start.idempotent = task->spec.idempotent;
  start.needs = task->spec.needs;
  start.body.body_val = task->spec.body.body_val;
  start.body.body_len = task->spec.body.body_len;
  owner->stats.starts++;
  owner->effects.start (owner->arg, owner->agents[task->agent].incarnation,
                        &start);
}

static void
apply_refusal (HsOwner *owner, Task *task, hsx_refusal refusal, HsNow now)
{
  owner->stats.refused_starts++;
  switch (refusal)
    {
    case HSX_REFUSAL_DUPLICATE:
      {
        /* An earlier owner has started the task there: ask for its outcome. */
        hsx_task_key key = task_key (task);
        hsx_settle_args args = { { 1, &key } };

        owner->effects.settle (owner->arg,
                               owner->agents[task->agent].incarnation, &args);
        return;
      }
    case HSX_REFUSAL_FENCED:
      apply_fence (owner, task, now);
      return;
    case HSX_REFUSAL_EPOCH:
      /* Another entry owns the partition, and this entry will soon learn it
         from the store; it must not send the task again. Unless the newer epoch
         is its own, after a handover that was given up. */
      if (task->sent_epoch != 0
          && task->sent_epoch < owner->partitions[task->job->part].epoch)
        task_retry_later (owner, task, false, now);
      return;
    case HSX_REFUSAL_NONE:
    case HSX_REFUSAL_PERMIT:
    case HSX_REFUSAL_CREDIT:
    case HSX_REFUSAL_LEAVING:
    case HSX_REFUSAL_TARGET:
    case HSX_REFUSAL_NEEDS:
      task_retry_later (owner, task, refusal == HSX_REFUSAL_TARGET, now);
      return;
    }
}

/* The agent has fenced the task and never starts it, so another agent must. */
static void
apply_fence (HsOwner *owner, Task *task, HsNow now)
{
  task->fenced_agents[task->n_fenced_agents++] = task->agent;
  if (task->n_fenced_agents == FENCED_AGENTS_MAX)
    task_finish (owner, task, HSX_TASK_NOT_RUN, HS_ERROR_UNAVAILABLE, 0, NULL,
                 0, now);
  else
    task_retry_later (owner, task, false, now);
}

/* Limits how long a fenced task waits, as no idle credit fits it. */
static void
limit_fenced_wait (HsOwner *owner, Task *task, HsTime now)
{
  HsTime until = now + FENCED_WAIT_MAX;

  if (task->n_fenced_agents == 0 || task->deadline <= until)
    return;
  task->deadline = until;
  clear_timer (owner, task);
  set_timer (owner, task, until);
}

static void
set_timer (HsOwner *owner, const Task *task, HsTime at)
{
  hs_heap_push (owner, &owner->timers, owner->timer_positions, task->handle,
                at);
}

static void
clear_timer (HsOwner *owner, const Task *task)
{
  if (owner->timer_positions[task->handle] != HS_HEAP_NONE)
    hs_heap_remove (&owner->timers, owner->timer_positions, task->handle);
}
