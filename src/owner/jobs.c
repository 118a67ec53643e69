/**
 * @file
 * Jobs: creation, waiters, answers and removal.
 */
#include <string.h>

#include "base/error.h"
#include "owner/internal.h"

static void task_drop (HsOwner *owner, Task *task);
static uint32_t task_handle_new (HsOwner *owner, Task *task);

void
job_key (char key[JOB_KEY_SIZE], const char *customer, const char *id)
{
  g_snprintf (key, JOB_KEY_SIZE, "%s/%s", customer, id);
}

Job *
job_find (HsOwner *owner, const char *customer, const char *id)
{
  char key[JOB_KEY_SIZE];

  job_key (key, customer, id);
  return g_hash_table_lookup (owner->jobs, key);
}

size_t
job_bytes (const hsx_forward_args *args)
{
  size_t bytes = 0;
  u_int i;

  for (i = 0; i < args->tasks.tasks_len; i++)
    bytes += args->tasks.tasks_val[i].body.body_len;
  return bytes;
}

Job *
job_new (HsOwner *owner, const hsx_forward_args *args, HsNow now)
{
  size_t name_len = strlen (args->customer);
  size_t key_size = name_len + 1 + strlen (args->id) + 1;
  Job *job = talloc_zero_size (owner, sizeof *job + key_size);
  uint32_t i;

  g_snprintf (job->key, key_size, "%s/%s", args->customer, args->id);
  job->id = job->key + name_len + 1;
  job->part = hs_partition_of (args->customer, owner->config.partitions);
  memcpy (job->digest, args->digest, sizeof job->digest);
  job->customer = customer_find_or_add (owner, args->customer, now);
  job->customer_name = job->customer->name;
  job->arrived_at = now.mono;
  job->n_tasks = args->tasks.tasks_len;
  job->n_unfinished = job->n_tasks;
  job->waiters = g_array_new (FALSE, FALSE, sizeof (HsWaiter));
  job->finished_link.data = job;
  job->tasks = talloc_zero_array (job, Task, job->n_tasks);
  for (i = 0; i < job->n_tasks; i++)
    {
      Task *task = &job->tasks[i];

      task->job = job;
      task->index = i;
      task->state = TASK_DEFERRED;
      task->handle = task_handle_new (owner, task);
      task->queued_at = now.mono;
      task->spec = args->tasks.tasks_val[i];
      task->spec.body.body_val = talloc_memdup (
          job->tasks, task->spec.body.body_val, task->spec.body.body_len);
      task->deadline = task->spec.deadline_ms == 0
                           ? HS_NEVER
                           : now.mono + task->spec.deadline_ms * HS_MSEC;
    }
  job->bytes = job_bytes (args);
  job->customer->queued += job->n_tasks;
  owner->unfinished_bytes += job->bytes;
  owner->n_unfinished++;
  owner->stats.jobs++;
  owner->stats.tasks += job->n_tasks;
  g_hash_table_insert (owner->jobs, job->key, job);
  return job;
}

void
job_drop (HsOwner *owner, Job *job)
{
  uint32_t i;

  g_hash_table_remove (owner->jobs, job->key);
  if (job->n_unfinished == 0)
    {
      job_unretain (owner, job);
      talloc_free (job);
      return;
    }
  for (i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state != TASK_FINISHED)
      task_drop (owner, &job->tasks[i]);
  owner->unfinished_bytes -= job->bytes;
  owner->n_unfinished--;
  for (i = 0; i < job->waiters->len; i++)
    g_hash_table_remove (owner->waiters,
                         &g_array_index (job->waiters, HsWaiter, i));
  g_array_unref (job->waiters);
  talloc_free (job);
}

void
job_add_waiter (HsOwner *owner, Job *job, HsWaiter waiter)
{
  HsWaiter *key = g_memdup2 (&waiter, sizeof waiter);

  g_array_append_val (job->waiters, waiter);
  g_hash_table_insert (owner->waiters, key, job);
}

void
job_finish (HsOwner *owner, Job *job, HsNow now)
{
  owner->unfinished_bytes -= job->bytes;
  owner->n_unfinished--;
  job_retain (owner, job, now);
  owner->effects.measure (owner->arg, job->customer_name, job->queue_wait, 0,
                          now.mono - job->arrived_at);
  job_answer_waiters (owner, job, now);
}

void
job_answer_waiters (HsOwner *owner, Job *job, HsNow now)
{
  g_autoptr (GArray) waiters = g_steal_pointer (&job->waiters);
  guint i;

  for (i = 0; i < waiters->len; i++)
    {
      HsWaiter waiter = g_array_index (waiters, HsWaiter, i);

      g_hash_table_remove (owner->waiters, &waiter);
      if (lease_is_valid (owner, now))
        job_answer_waiter (owner, job, waiter);
      else
        owner->effects.reroute (owner->arg, waiter);
    }
}

void
job_answer_waiter (HsOwner *owner, const Job *job, HsWaiter waiter)
{
  hsx_answer answer = { 0 };
  bool complete = true;
  uint32_t i;

  if (job->bodies_evicted)
    {
      refuse_request (owner, waiter, HS_ERROR_EXPIRED, false, 0,
                      "the job ran, but its results are no longer retained; "
                      "fetch results sooner");
      return;
    }
  answer.reason = (char *) "";
  answer.queue_us = (unsigned int) MIN (job->queue_wait, UINT32_MAX);
  if (job->n_unfinished > 0)
    {
      answer.state = HSX_JOB_RUNNING;
      owner->effects.answer (owner->arg, waiter, &answer);
      return;
    }
  for (i = 0; i < job->n_tasks; i++)
    complete = complete && job->answers[i].state == HSX_TASK_DONE;
  answer.state = complete ? HSX_JOB_COMPLETE : HSX_JOB_FAILED;
  answer.tasks.tasks_val = job->answers;
  answer.tasks.tasks_len = job->n_tasks;
  owner->effects.answer (owner->arg, waiter, &answer);
}

void
job_refuse (HsOwner *owner,
            Job *job,
            unsigned int kind,
            bool not_run,
            const char *reason)
{
  g_autoptr (GArray) waiters = g_array_ref (job->waiters);
  guint i;

  job_drop (owner, job);
  for (i = 0; i < waiters->len; i++)
    refuse_request (owner, g_array_index (waiters, HsWaiter, i), kind, not_run,
                    HS_SEC, reason);
}

bool
lease_is_valid (const HsOwner *owner, HsNow now)
{
  return now.mono < owner->lease_until;
}

void
job_reroute (HsOwner *owner, Job *job)
{
  g_autoptr (GArray) waiters = g_array_ref (job->waiters);
  guint i;

  job_drop (owner, job);
  for (i = 0; i < waiters->len; i++)
    owner->effects.reroute (owner->arg, g_array_index (waiters, HsWaiter, i));
}

void
refuse_request (HsOwner *owner,
                HsWaiter waiter,
                unsigned int kind,
                bool not_run,
                HsTime retry_after,
                const char *reason)
{
  hsx_answer answer = { 0 };

  owner->stats.refused_jobs++;
  answer.state = HSX_JOB_REFUSED;
  answer.kind = kind;
  answer.not_run = not_run;
  answer.reason = (char *) (uintptr_t) reason;
  answer.retry_after_ms = (unsigned int) (retry_after / HS_MSEC);
  owner->effects.answer (owner->arg, waiter, &answer);
}

static void
task_drop (HsOwner *owner, Task *task)
{
  Customer *customer = task->job->customer;

  switch (task->state)
    {
    case TASK_QUEUED:
      hs_fair_queue_remove (owner->queue, task->handle);
      customer->queued--;
      break;
    case TASK_DEFERRED:
      customer->queued--;
      break;
    case TASK_SENT:
      task_unmark_sent (owner, task);
      break;
    case TASK_FINISHED:
      break;
    }
  if (owner->timer_positions[task->handle] != HS_HEAP_NONE)
    hs_heap_remove (&owner->timers, owner->timer_positions, task->handle);
  owner->tasks->pdata[task->handle] = NULL;
  g_array_append_val (owner->free_task_handles, task->handle);
  task->handle = NO_HANDLE;
}

static uint32_t
task_handle_new (HsOwner *owner, Task *task)
{
  GArray *spare = owner->free_task_handles;
  uint32_t handle;

  if (spare->len > 0)
    {
      handle = g_array_index (spare, uint32_t, spare->len - 1);
      g_array_set_size (spare, spare->len - 1);
      owner->tasks->pdata[handle] = task;
      return handle;
    }
  handle = owner->tasks->len;
  g_ptr_array_add (owner->tasks, task);
  if (handle >= owner->timer_capacity)
    {
      owner->timer_capacity = MAX (1024, owner->timer_capacity * 2);
      owner->timer_positions = talloc_realloc (owner, owner->timer_positions,
                                               uint32_t, owner->timer_capacity);
    }
  owner->timer_positions[handle] = HS_HEAP_NONE;
  return handle;
}
