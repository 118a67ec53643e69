/**
 * @file
 * Acquiring and releasing partitions, and recovery from the agents.
 */
#include <string.h>

#include "base/error.h"
#include "owner/internal.h"

static RecoveredJob *recovered_job_find_or_add (HsOwner *owner,
                                                const char *customer,
                                                const char *id,
                                                uint32_t part,
                                                HsNow now);
static void adjust_in_flight (HsOwner *owner,
                              const RecoveredJob *recovered,
                              const RecoveredTask *task,
                              int change);
static void partition_start_serving (HsOwner *owner, uint32_t part, HsNow now);
static int64_t uncertain_ids_before (const HsOwner *owner, int64_t wall_ms);
static bool all_agents_answered (const HsOwner *owner, uint32_t recovery_round);
static void reroute_deferred_requests (HsOwner *owner, uint32_t part);
static void partition_drop_jobs (HsOwner *owner, uint32_t part);

void
hs_owner_acquire (HsOwner *owner,
                  uint32_t n,
                  const HsOwnedPartition *parts,
                  HsNow now)
{
  uint32_t i;

  owner->recovery_round++;
  for (i = 0; i < n; i++)
    {
      const HsOwnedPartition *acquired = &parts[i];
      Partition *partition = &owner->partitions[acquired->part];

      partition->epoch = acquired->epoch;
      if (partition->state != PARTITION_NOT_OWNED)
        {
          /* Its claims are read again under the new epoch. */
          partition->claims_loaded = false;
          continue;
        }
      partition->state = PARTITION_RECOVERING;
      partition->recover_deadline = now.mono + RECOVER_TIMEOUT;
      partition->recovery_round = owner->recovery_round;
      partition->never_owned = acquired->previous_epoch == 0;
      owner->n_owned++;
      owner->n_recovering++;
      owner->stats.takeovers
          += !partition->never_owned && !acquired->handed_over;
      if (!acquired->handed_over)
        partition_drop_staged (partition);
      partition_adopt_staged (owner, acquired->part, acquired->previous_epoch,
                              now);
    }
  for (i = 0; i < owner->n_agents; i++)
    if (owner->agents[i].connected)
      {
        recover_agent (owner, i);
        settle_adopted_tasks (owner, i);
      }
  finish_due_recoveries (owner, now);
  dispatch_tasks (owner, now);
}

void
hs_owner_release (HsOwner *owner, uint32_t part, HsNow now)
{
  Partition *partition = &owner->partitions[part];

  if (partition->state == PARTITION_NOT_OWNED)
    return;
  if (partition->state == PARTITION_RECOVERING)
    owner->n_recovering--;
  partition->state = PARTITION_NOT_OWNED;
  partition->claims_loaded = false;
  partition->uncertain_before_ms = 0;
  partition->evicted_before_ms = 0;
  owner->n_owned--;
  partition_drop_staged (partition);
  partition_drop_jobs (owner, part);
  reroute_deferred_requests (owner, part);
  dispatch_tasks (owner, now);
}

void
hs_owner_add_claim (HsOwner *owner,
                    uint32_t part,
                    const char *customer,
                    const char *id,
                    int64_t claimed_ms,
                    HsNow now)
{
  RecoveredJob *recovered;

  if (job_find (owner, customer, id) != NULL)
    return;
  recovered = recovered_job_find_or_add (owner, customer, id, part, now);
  recovered->claimed = true;
  recovered->claimed_ms = claimed_ms;
}

void
hs_owner_recover_reply (HsOwner *owner,
                        uint64_t incarnation,
                        const hsx_recover_reply *reply,
                        HsNow now)
{
  uint32_t handle;
  Agent *agent = agent_find (owner, incarnation, &handle);
  u_int i;

  if (agent == NULL || !agent->recover_pending)
    return;
  if (reply == NULL)
    {
      /* The partition's timeout passes, or the next connection asks again. */
      agent->recover_pending = false;
      return;
    }
  for (i = 0; i < reply->records.records_len; i++)
    apply_record (owner, handle, &reply->records.records_val[i], now);
  settle_adopted_tasks (owner, handle);
  agent = &owner->agents[handle];
  owner->stats.recovered_records += reply->records.records_len;
  agent->recover_pending = false;
  if (reply->next != 0)
    {
      agent->recover_cursor = reply->next;
      recover_agent (owner, handle);
      return;
    }
  agent->recover_cursor = 0;
  agent->recovered_round = agent->asked_round;
  agent->start_log_too_short
      = reply->remembers_s * HS_SEC < owner->config.retention;
  if (agent->recovered_round < owner->recovery_round)
    recover_agent (owner, handle);
  finish_due_recoveries (owner, now);
  dispatch_tasks (owner, now);
}

RecoveredJob *
recovered_job_find (HsOwner *owner, const char *key)
{
  return g_hash_table_lookup (owner->recovered_jobs, key);
}

void
recovered_job_drop (HsOwner *owner, RecoveredJob *recovered)
{
  guint i;

  for (i = 0; i < recovered->tasks->len; i++)
    adjust_in_flight (owner, recovered, recovered->tasks->pdata[i], -1);
  g_hash_table_remove (owner->recovered_jobs, recovered->key);
  g_ptr_array_unref (recovered->tasks);
  talloc_free (recovered);
}

bool
recovered_job_apply_result (HsOwner *owner,
                            uint32_t handle,
                            const hsx_result *result)
{
  char key[JOB_KEY_SIZE];
  RecoveredJob *recovered;
  guint i;

  /* A refusal may be of another start than the one that the agent reported. */
  if (result->outcome == HSX_REFUSED)
    return false;
  job_key (key, result->key.customer, result->key.id);
  recovered = recovered_job_find (owner, key);
  for (i = 0; recovered != NULL && i < recovered->tasks->len; i++)
    {
      RecoveredTask *task = recovered->tasks->pdata[i];

      if (task->index != result->key.index || task->agent != handle
          || task->outcome != HSX_RUNNING || result->outcome == HSX_RUNNING)
        continue;
      adjust_in_flight (owner, recovered, task, -1);
      task->outcome = result->outcome;
      task->http_status = result->http_status;
      task->body_len = result->body.body_len;
      task->body
          = talloc_memdup (task, result->body.body_val, result->body.body_len);
      return true;
    }
  return false;
}

/* Drops recovered jobs whose ids have expired. Claims are retained, as an
   opaque id doesn't show its age. */
void
recovered_jobs_sweep (HsOwner *owner, HsNow now)
{
  HsTime retention = owner->config.retention + owner->config.id_ahead_max;
  g_autoptr (GPtrArray) old = NULL;
  GHashTableIter iter;
  gpointer value;
  guint i;

  if (now.mono < owner->recovered_sweep_at)
    return;
  owner->recovered_sweep_at = now.mono + HS_SEC;
  old = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, owner->recovered_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const RecoveredJob *recovered = value;

      if (!recovered->claimed
          && now.mono - recovered->recovered_at >= retention)
        g_ptr_array_add (old, value);
    }
  for (i = 0; i < old->len; i++)
    recovered_job_drop (owner, old->pdata[i]);
}

void
recovered_jobs_agent_lost (HsOwner *owner, uint32_t agent)
{
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, owner->recovered_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      RecoveredJob *recovered = value;

      for (i = 0; i < recovered->tasks->len; i++)
        {
          RecoveredTask *task = recovered->tasks->pdata[i];

          if (task->agent != agent || task->outcome != HSX_RUNNING)
            continue;
          adjust_in_flight (owner, recovered, task, -1);
          task->outcome = HSX_MAYBE;
        }
    }
}

void
recover_agent (HsOwner *owner, uint32_t handle)
{
  Agent *agent = &owner->agents[handle];
  hsx_part_epoch parts[HSX_PARTS_MAX];
  hsx_recover_args args = { { 0, parts }, 0 };
  uint32_t i;

  if (agent->recover_pending)
    return;
  for (i = 0; i < owner->config.partitions; i++)
    {
      if (owner->partitions[i].state == PARTITION_NOT_OWNED)
        continue;
      parts[args.parts.parts_len].part = i;
      parts[args.parts.parts_len].epoch = owner->partitions[i].epoch;
      args.parts.parts_len++;
    }
  agent->recover_pending = true;
  /* All pages of a reply belong to the recovery round of the first call. */
  if (agent->recover_cursor == 0)
    agent->asked_round = owner->recovery_round;
  args.cursor = agent->recover_cursor;
  owner->effects.recover (owner->arg, agent->incarnation, &args);
}

void
finish_due_recoveries (HsOwner *owner, HsNow now)
{
  uint32_t i;

  for (i = 0; i < owner->config.partitions && owner->n_recovering > 0; i++)
    {
      Partition *partition = &owner->partitions[i];
      bool answered;

      if (partition->state != PARTITION_RECOVERING)
        continue;
      answered = all_agents_answered (owner, partition->recovery_round);
      if (!answered && now.mono < partition->recover_deadline)
        continue;
      if (partition->staged_epoch != 0)
        partition->uncertain_before_ms = partition->staged_uncertain_before_ms;
      else if (!partition->never_owned)
        partition->uncertain_before_ms
            = answered ? uncertain_ids_before (owner, now.wall_ms)
                       : now.wall_ms
                             + (owner->config.id_ahead_max
                                + 2 * owner->config.clock_skew_max)
                                   / HS_MSEC;
      partition->staged_epoch = 0;
      partition_start_serving (owner, i, now);
    }
}

void
partition_drop_staged (Partition *partition)
{
  if (partition->staged != NULL)
    g_ptr_array_unref (partition->staged);
  partition->staged = NULL;
  partition->staged_epoch = 0;
  partition->staged_complete = false;
}

static RecoveredJob *
recovered_job_find_or_add (HsOwner *owner,
                           const char *customer,
                           const char *id,
                           uint32_t part,
                           HsNow now)
{
  char key[JOB_KEY_SIZE];
  RecoveredJob *recovered;

  job_key (key, customer, id);
  recovered = recovered_job_find (owner, key);
  if (recovered != NULL)
    return recovered;
  recovered = talloc_zero (owner, RecoveredJob);
  memcpy (recovered->key, key, sizeof recovered->key);
  recovered->part = part;
  recovered->recovered_at = now.mono;
  recovered->tasks = g_ptr_array_new ();
  g_hash_table_insert (owner->recovered_jobs, recovered->key, recovered);
  return recovered;
}

void
apply_record (HsOwner *owner,
              uint32_t handle,
              const hsx_result *record,
              HsNow now)
{
  const hsx_task_key *key = &record->key;
  Job *job = job_find (owner, key->customer, key->id);
  RecoveredJob *recovered;
  RecoveredTask *task;
  guint i;

  if (key->part >= owner->config.partitions || !hs_owner_owns (owner, key->part)
      || record->outcome == HSX_REFUSED)
    return;
  if (job != NULL)
    {
      Task *own;

      if (job->n_unfinished == 0 || key->index >= job->n_tasks)
        return;
      own = &job->tasks[key->index];
      if (own->state == TASK_DEFERRED)
        {
          task_mark_sent (owner, own, handle, now);
          own->outcome_unknown = true;
        }
      if (own->state == TASK_SENT && own->agent == handle)
        task_apply_result (owner, own, record, now);
      return;
    }
  recovered = recovered_job_find_or_add (owner, key->customer, key->id,
                                         key->part, now);
  for (i = 0; i < recovered->tasks->len; i++)
    if (((RecoveredTask *) recovered->tasks->pdata[i])->index == key->index)
      {
        recovered_job_apply_result (owner, handle, record);
        return;
      }
  task = talloc_zero (recovered, RecoveredTask);
  task->index = key->index;
  task->digest_prefix = key->content;
  task->agent = handle;
  task->outcome = record->outcome;
  task->http_status = record->http_status;
  task->body_len = record->body.body_len;
  task->body
      = talloc_memdup (task, record->body.body_val, record->body.body_len);
  g_ptr_array_add (recovered->tasks, task);
  customer_find_or_add (owner, key->customer, now);
  adjust_in_flight (owner, recovered, task, 1);
}

/* Running tasks count against the customer's limit, whichever owner started
   them. */
static void
adjust_in_flight (HsOwner *owner,
                  const RecoveredJob *recovered,
                  const RecoveredTask *task,
                  int change)
{
  g_autofree char *name = NULL;
  Customer *customer;

  if (task->outcome != HSX_RUNNING)
    return;
  name = g_strndup (recovered->key, strcspn (recovered->key, "/"));
  customer = g_hash_table_lookup (owner->customers, name);
  if (customer != NULL)
    customer->in_flight += (uint32_t) change;
}

static void
partition_start_serving (HsOwner *owner, uint32_t part, HsNow now)
{
  Partition *partition = &owner->partitions[part];
  GHashTableIter iter;
  gpointer value;

  partition->state = PARTITION_SERVING;
  owner->n_recovering--;
  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Job *job = value;

      if (job->part == part && !job->claim_pending && job->n_unfinished > 0)
        job_enqueue_tasks (owner, job, now);
    }
  serve_deferred_requests (owner, partition, now);
}

/* The wall time before which tasks of unknown ids may have run without a record
   that can be read, or 0: none. It is the latest of the loss of an agent, the
   time since which all agents are known and, if an agent's start log is too
   short, now minus the retention; plus the clock margins. */
static int64_t
uncertain_ids_before (const HsOwner *owner, int64_t wall_ms)
{
  int64_t margin
      = (owner->config.id_ahead_max + 2 * owner->config.clock_skew_max)
        / HS_MSEC;
  int64_t newest = owner->agents_known_since_ms;
  uint32_t i;

  for (i = 0; i < owner->n_agents; i++)
    {
      const Agent *agent = &owner->agents[i];

      if (agent->lost_at_ms > newest)
        newest = agent->lost_at_ms;
      if (agent->start_log_too_short && agent->lost_at_ms == 0)
        newest = MAX (newest, wall_ms - owner->config.retention / HS_MSEC);
    }
  return newest == 0 ? 0 : newest + margin;
}

static bool
all_agents_answered (const HsOwner *owner, uint32_t recovery_round)
{
  uint32_t i;

  for (i = 0; i < owner->n_agents; i++)
    {
      const Agent *agent = &owner->agents[i];

      if (agent->lost_at_ms == 0 && agent->recovered_round < recovery_round)
        return false;
    }
  return true;
}

static void
reroute_deferred_requests (HsOwner *owner, uint32_t part)
{
  g_autoptr (GArray) deferred = owner->partitions[part].deferred;
  guint i;

  owner->partitions[part].deferred = NULL;
  for (i = 0; deferred != NULL && i < deferred->len; i++)
    {
      HsWaiter waiter = g_array_index (deferred, DeferredRequest, i).waiter;

      g_hash_table_remove (owner->waiters, &waiter);
      owner->effects.reroute (owner->arg, waiter);
    }
}

static void
partition_drop_jobs (HsOwner *owner, uint32_t part)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GArray) waiters = g_array_new (FALSE, FALSE, sizeof (HsWaiter));
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Job *) value)->part == part)
      g_ptr_array_add (jobs, value);
  for (i = 0; i < jobs->len; i++)
    {
      Job *job = jobs->pdata[i];

      if (job->waiters != NULL)
        g_array_append_vals (waiters, job->waiters->data, job->waiters->len);
      job_drop (owner, job);
    }
  g_ptr_array_set_size (jobs, 0);
  g_hash_table_iter_init (&iter, owner->recovered_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((RecoveredJob *) value)->part == part)
      g_ptr_array_add (jobs, value);
  for (i = 0; i < jobs->len; i++)
    recovered_job_drop (owner, jobs->pdata[i]);
  for (i = 0; i < waiters->len; i++)
    owner->effects.reroute (owner->arg, g_array_index (waiters, HsWaiter, i));
}
