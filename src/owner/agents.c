/**
 * @file
 * Agents: their state, credits, results and the settling of unknown outcomes.
 */
#include <string.h>

#include "base/error.h"
#include "owner/internal.h"

static Agent *
agent_add (HsOwner *owner, const hsx_member *member, uint32_t *handle);
static void
send_settle (HsOwner *owner, uint32_t handle, hsx_settle_args *args);
static void mark_outcomes_unknown (HsOwner *owner, uint32_t handle);
static void clear_outcome_unknown (HsOwner *owner, const hsx_task_key *key);
static void update_credits (HsOwner *owner, uint32_t handle);
static void
end_tasks_of_lost_agent (HsOwner *owner, uint32_t handle, HsNow now);
static bool
matches_sent_start (HsOwner *owner, uint32_t handle, const hsx_result *result);
static void apply_result (HsOwner *owner,
                          uint32_t handle,
                          const hsx_result *result,
                          HsNow now);

Agent *
agent_find (HsOwner *owner, uint64_t incarnation, uint32_t *handle)
{
  gpointer found = g_hash_table_lookup (owner->agent_handles, &incarnation);

  if (found == NULL)
    return NULL;
  *handle = GPOINTER_TO_UINT (found) - 1;
  return &owner->agents[*handle];
}

void
hs_owner_update_agent (HsOwner *owner, const hsx_member *member, HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, member->incarnation, &handle);

  if (agent == NULL)
    agent = agent_add (owner, member, &handle);
  if (agent->lost_at_ms != 0 && member->state != HSX_MEMBER_UP)
    return;
  if (agent->lost_at_ms != 0)
    {
      /* Reported lost, but it has reconnected and still has its start log. */
      agent->lost_at_ms = 0;
      agent->recovered_round = 0;
      hs_health_add (owner->health, handle);
    }
  if (agent->counted_feasible)
    hs_feasible_remove_target (owner->feasible, &agent->capacity);
  agent->state = member->state;
  agent->capacity = member->capacity;
  agent->slots = member->slots;
  agent->counted_feasible = agent->state == HSX_MEMBER_UP && agent->slots > 0;
  if (agent->counted_feasible)
    hs_feasible_add_target (owner->feasible, &agent->capacity);
  switch (member->state)
    {
    case HSX_MEMBER_UP:
      update_credits (owner, handle);
      choose_reserve (owner);
      break;
    case HSX_MEMBER_LEAVING:
      hs_credits_remove_agent (owner->credits, handle);
      break;
    case HSX_MEMBER_LEFT:
    case HSX_MEMBER_LOST:
      end_tasks_of_lost_agent (owner, handle, now);
      break;
    }
}

void
hs_owner_agent_visible (HsOwner *owner, uint64_t incarnation, HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, incarnation, &handle);

  if (agent == NULL || agent->known_to_all_entries)
    return;
  agent->known_to_all_entries = true;
  if (agent->state == HSX_MEMBER_UP)
    update_credits (owner, handle);
  hs_fair_queue_wake_jobs (owner->queue);
  dispatch_tasks (owner, now);
}

void
hs_owner_agent_connected (HsOwner *owner, uint64_t incarnation, HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, incarnation, &handle);

  (void) now;
  /* A repeated announcement on an open connection is ignored: otherwise the
     reply to the pending RECOVER would be taken for the reply to a second. */
  if (agent == NULL || agent->connected)
    return;
  agent->connected = true;
  if (owner->n_owned == 0)
    return;
  recover_agent (owner, handle);
  mark_outcomes_unknown (owner, handle);
  settle_agent_tasks (owner, handle);
}

void
hs_owner_agent_disconnected (HsOwner *owner, uint64_t incarnation, HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, incarnation, &handle);

  if (agent == NULL)
    return;
  agent->recover_pending = false;
  if (!agent->connected)
    return;
  agent->connected = false;
  hs_credits_remove_agent (owner->credits, handle);
  if (agent->state == HSX_MEMBER_UP)
    update_credits (owner, handle);
  finish_due_recoveries (owner, now);
}

void
hs_owner_grant (HsOwner *owner, const hsx_grant_args *args, HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, args->agent, &handle);

  if (agent == NULL || agent->state != HSX_MEMBER_UP)
    return;
  hs_credits_grant (owner->credits, handle, args->credits.credits_len,
                    args->credits.credits_val, now.mono);
  hs_fair_queue_wake_jobs (owner->queue);
  dispatch_tasks (owner, now);
}

void
hs_owner_results (HsOwner *owner,
                  uint64_t incarnation,
                  const hsx_result_args *args,
                  HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, incarnation, &handle);
  u_int i;

  if (agent == NULL)
    return;
  for (i = 0; i < args->results.results_len; i++)
    {
      const hsx_result *result = &args->results.results_val[i];

      owner->stats.results++;
      if (matches_sent_start (owner, handle, result))
        apply_result (owner, handle, result, now);
      else
        owner->stats.late_results++;
      if (result->next != NULL && owner->agents[handle].state == HSX_MEMBER_UP)
        hs_credits_add (owner->credits, handle, result->next,
                        HS_CREDIT_RETURNED, now.mono);
    }
  apply_health_changes (owner, now);
  dispatch_tasks (owner, now);
}

void
hs_owner_settle_reply (HsOwner *owner,
                       uint64_t incarnation,
                       const hsx_settle_reply *reply,
                       HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, incarnation, &handle);
  u_int i;

  if (agent == NULL)
    return;
  if (agent->settles_pending > 0)
    agent->settles_pending--;
  /* If the call failed, SETTLE is called again after a reconnect, or the tasks
     time out. Tasks adopted since the call have not been asked for yet. */
  if (reply == NULL)
    {
      if (agent->settles_pending == 0 && agent->settle_needed
          && agent->connected)
        settle_agent_tasks (owner, handle);
      return;
    }
  for (i = 0; i < reply->results.results_len; i++)
    {
      clear_outcome_unknown (owner, &reply->results.results_val[i].key);
      apply_result (owner, handle, &reply->results.results_val[i], now);
    }
  agent = &owner->agents[handle];
  if (agent->settles_pending == 0
      && (reply->results.results_len > 0 || agent->settle_needed))
    settle_agent_tasks (owner, handle);
  dispatch_tasks (owner, now);
}

uint32_t
hs_owner_count_agents (const HsOwner *owner, uint32_t *connected)
{
  uint32_t known = 0;
  uint32_t i;

  *connected = 0;
  for (i = 0; i < owner->n_agents; i++)
    {
      const Agent *agent = &owner->agents[i];

      known += agent->lost_at_ms == 0;
      *connected += agent->connected;
    }
  return known;
}

static Agent *
agent_add (HsOwner *owner, const hsx_member *member, uint32_t *handle)
{
  Agent *agent;

  *handle = owner->n_agents;
  owner->n_agents++;
  owner->agents = talloc_realloc (owner, owner->agents, Agent, owner->n_agents);
  agent = &owner->agents[*handle];
  memset (agent, 0, sizeof *agent);
  agent->incarnation = member->incarnation;
  hs_health_add (owner->health, *handle);
  agent->state = HSX_MEMBER_UP;
  g_hash_table_insert (
      owner->agent_handles,
      g_memdup2 (&member->incarnation, sizeof member->incarnation),
      GUINT_TO_POINTER (*handle + 1));
  return agent;
}

/* The credits of an agent that not every entry knows are held, but not used:
   they are marked as if the agent were ejected. */
static void
update_credits (HsOwner *owner, uint32_t handle)
{
  const Agent *agent = &owner->agents[handle];

  hs_credits_set_agent (owner->credits, handle, &agent->capacity);
  hs_credits_set_health (owner->credits, handle,
                         agent->known_to_all_entries
                             ? hs_health_state (owner->health, handle)
                             : HS_HEALTH_EJECTED);
}

/* Tasks sent to the lost agent end as "may have run". */
static void
end_tasks_of_lost_agent (HsOwner *owner, uint32_t handle, HsNow now)
{
  guint i;

  owner->agents[handle].lost_at_ms = now.wall_ms;
  owner->agents[handle].connected = false;
  for (i = 0; i < owner->tasks->len; i++)
    {
      Task *task = owner->tasks->pdata[i];

      if (task != NULL && task->state == TASK_SENT && task->agent == handle)
        task_finish (owner, task, HSX_TASK_MAY_HAVE_RUN, HS_ERROR_UNKNOWN, 0,
                     NULL, 0, now);
    }
  recovered_jobs_agent_lost (owner, handle);
  choose_reserve (owner);
  hs_credits_remove_agent (owner->credits, handle);
  hs_health_remove (owner->health, handle);
  finish_due_recoveries (owner, now);
  dispatch_tasks (owner, now);
}

/* Calls SETTLE for the tasks with unknown outcome. An agent's reply may leave
   some out, which are asked for again. */
void
settle_agent_tasks (HsOwner *owner, uint32_t handle)
{
  hsx_task_key keys[HSX_BATCH_MAX];
  hsx_settle_args args = { { 0, keys } };
  guint i;

  owner->agents[handle].settle_needed = false;
  for (i = 0; i < owner->tasks->len; i++)
    {
      const Task *task = owner->tasks->pdata[i];

      if (task == NULL || task->state != TASK_SENT || task->agent != handle
          || !task->outcome_unknown)
        continue;
      keys[args.keys.keys_len++] = task_key (task);
      if (args.keys.keys_len == HSX_BATCH_MAX)
        send_settle (owner, handle, &args);
    }
  if (args.keys.keys_len > 0)
    send_settle (owner, handle, &args);
}

/* Calls SETTLE for adopted tasks, those that another owner started, or later if
   a call is pending. Partitions are adopted one after the other, and a call for
   each of them would ask for all earlier tasks again and bring as many replies
   for every task. */
void
settle_adopted_tasks (HsOwner *owner, uint32_t handle)
{
  if (!owner->agents[handle].connected)
    return;
  if (owner->agents[handle].settles_pending == 0)
    settle_agent_tasks (owner, handle);
  else
    owner->agents[handle].settle_needed = true;
}

static void
send_settle (HsOwner *owner, uint32_t handle, hsx_settle_args *args)
{
  owner->agents[handle].settles_pending++;
  owner->effects.settle (owner->arg, owner->agents[handle].incarnation, args);
  args->keys.keys_len = 0;
}

static void
mark_outcomes_unknown (HsOwner *owner, uint32_t handle)
{
  guint i;

  for (i = 0; i < owner->tasks->len; i++)
    {
      Task *task = owner->tasks->pdata[i];

      if (task != NULL && task->state == TASK_SENT && task->agent == handle)
        task->outcome_unknown = true;
    }
}

static void
clear_outcome_unknown (HsOwner *owner, const hsx_task_key *key)
{
  Job *job = job_find (owner, key->customer, key->id);

  if (job != NULL && job->n_unfinished > 0 && key->index < job->n_tasks)
    job->tasks[key->index].outcome_unknown = false;
}

/* False for a refusal that may be of an earlier start than the one that the
   task waits for. It may arrive after the partition has gone to another owner
   and back. If that owner has started the task, the agent is asked. */
static bool
matches_sent_start (HsOwner *owner, uint32_t handle, const hsx_result *result)
{
  const Job *job = job_find (owner, result->key.customer, result->key.id);
  Task *task;

  if (result->outcome != HSX_REFUSED || job == NULL || job->n_unfinished == 0
      || result->key.index >= job->n_tasks)
    return true;
  task = &job->tasks[result->key.index];
  if (task->sent_epoch == 0 && task->state == TASK_SENT
      && task->agent == handle)
    {
      task->outcome_unknown = true;
      settle_adopted_tasks (owner, handle);
    }
  return task->sent_epoch == result->epoch;
}

static void
apply_result (HsOwner *owner,
              uint32_t handle,
              const hsx_result *result,
              HsNow now)
{
  Job *job = job_find (owner, result->key.customer, result->key.id);
  Task *task;

  if (job == NULL)
    {
      if (recovered_job_apply_result (owner, handle, result))
        return;
      owner->stats.late_results++;
      /* It may have overtaken the agent's reply to RECOVER, which says that the
         task runs. */
      apply_record (owner, handle, result, now);
      return;
    }
  if (result->key.index >= job->n_tasks)
    return;
  task = job->n_unfinished > 0 ? &job->tasks[result->key.index] : NULL;
  if (task == NULL || task->state != TASK_SENT || task->agent != handle)
    {
      owner->stats.late_results++;
      return;
    }
  task_apply_result (owner, task, result, now);
}
