/**
 * @file
 * Handover of a partition: freezing, export and import of its jobs.
 */
#include <string.h>

#include "base/error.h"
#include "base/uuid7.h"
#include "owner/internal.h"

/** A message is full when its bodies take this many bytes, which keeps records
 *  far below their maximum size. */
#define MESSAGE_BODY_BYTES (4u << 20)
#define MESSAGE_JOBS_MAX 64

static void defer_queued_tasks (HsOwner *owner, uint32_t part);
static size_t export_job (TALLOC_CTX *ctx,
                          const HsOwner *owner,
                          const Job *job,
                          hsx_handover_job *out,
                          HsNow now);
static void export_answers (const Job *job, hsx_handover_job *out);
static void
export_task (const HsOwner *owner, const Task *task, hsx_handover_task *state);
static hsx_handover_args *add_message (TALLOC_CTX *ctx,
                                       hsx_handover_args **messages,
                                       size_t *n,
                                       const Partition *partition,
                                       int64_t floor_ms,
                                       uint32_t part);
static int64_t
uncertain_before_to_pass (const HsOwner *owner, uint32_t part, HsNow now);
static int64_t recovered_job_id_time_ms (const HsOwner *owner,
                                         const RecoveredJob *recovered,
                                         HsNow now);
static StagedJob *
stage_job (Partition *partition, const hsx_handover_job *in, HsNow now);
static void adopt_job (HsOwner *owner, const StagedJob *staged, HsNow now);

void
hs_owner_freeze (HsOwner *owner, uint32_t part)
{
  Partition *partition = &owner->partitions[part];

  if (partition->state != PARTITION_SERVING)
    return;
  partition->state = PARTITION_FROZEN;
  defer_queued_tasks (owner, part);
}

void
hs_owner_unfreeze (HsOwner *owner, uint32_t part, HsNow now)
{
  Partition *partition = &owner->partitions[part];
  GHashTableIter iter;
  gpointer value;

  if (partition->state != PARTITION_FROZEN)
    return;
  partition->state = PARTITION_SERVING;
  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Job *job = value;

      if (job->part == part && !job->claim_pending && job->n_unfinished > 0)
        job_enqueue_tasks (owner, job, now);
    }
  serve_deferred_requests (owner, partition, now);
  dispatch_tasks (owner, now);
}

hsx_handover_args *
hs_owner_export (HsOwner *owner,
                 TALLOC_CTX *ctx,
                 uint32_t part,
                 HsNow now,
                 size_t *n)
{
  hsx_handover_args *messages = NULL;
  hsx_handover_args *message;
  GHashTableIter iter;
  gpointer value;
  size_t bytes = 0;
  int64_t floor_ms = uncertain_before_to_pass (owner, part, now);

  *n = 0;
  message = add_message (ctx, &messages, n, &owner->partitions[part], floor_ms,
                         part);
  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Job *job = value;

      if (job->part != part || job->claim_pending)
        continue;
      if (message->jobs.jobs_len == MESSAGE_JOBS_MAX
          || bytes >= MESSAGE_BODY_BYTES)
        {
          message = add_message (ctx, &messages, n, &owner->partitions[part],
                                 floor_ms, part);
          bytes = 0;
        }
      bytes += export_job (messages, owner, job,
                           &message->jobs.jobs_val[message->jobs.jobs_len++],
                           now);
    }
  message->last = TRUE;
  owner->stats.handovers++;
  return messages;
}

bool
hs_owner_import (HsOwner *owner, const hsx_handover_args *args, HsNow now)
{
  Partition *partition;
  u_int i;

  if (args->part >= owner->config.partitions)
    return false;
  partition = &owner->partitions[args->part];
  /* A late message of an earlier epoch, which the sender has given up. */
  if (partition->state != PARTITION_NOT_OWNED
      || args->epoch < partition->staged_epoch)
    return false;
  if (partition->staged_epoch != args->epoch || partition->staged_complete)
    {
      partition_drop_staged (partition);
      partition->staged_epoch = args->epoch;
      partition->staged = g_ptr_array_new_with_free_func (staged_job_free);
    }
  for (i = 0; i < args->jobs.jobs_len; i++)
    g_ptr_array_add (partition->staged,
                     stage_job (partition, &args->jobs.jobs_val[i], now));
  partition->staged_uncertain_before_ms = args->floor_ms;
  partition->staged_complete = args->last;
  return true;
}

void
partition_adopt_staged (HsOwner *owner,
                        uint32_t part,
                        uint64_t previous_epoch,
                        HsNow now)
{
  Partition *partition = &owner->partitions[part];
  guint i;

  if (partition->staged_epoch == 0 || !partition->staged_complete
      || partition->staged_epoch != previous_epoch)
    {
      partition_drop_staged (partition);
      return;
    }
  for (i = 0; i < partition->staged->len; i++)
    adopt_job (owner, partition->staged->pdata[i], now);
  g_ptr_array_unref (partition->staged);
  partition->staged = NULL;
  partition->staged_complete = false;
}

void
staged_job_free (gpointer staged)
{
  StagedJob *s = staged;

  xdr_free ((xdrproc_t) xdr_hsx_handover_job, &s->job);
  g_free (s);
}

/* Takes the tasks of a partition that is being handed over off the queue. */
static void
defer_queued_tasks (HsOwner *owner, uint32_t part)
{
  guint i;

  for (i = 0; i < owner->tasks->len; i++)
    {
      Task *task = owner->tasks->pdata[i];

      if (task == NULL || task->state != TASK_QUEUED || task->job->part != part)
        continue;
      hs_fair_queue_remove (owner->queue, task->handle);
      if (owner->timer_positions[task->handle] != HS_HEAP_NONE)
        hs_heap_remove (&owner->timers, owner->timer_positions, task->handle);
      task->state = TASK_DEFERRED;
    }
}

static size_t
export_job (TALLOC_CTX *ctx,
            const HsOwner *owner,
            const Job *job,
            hsx_handover_job *out,
            HsNow now)
{
  size_t bytes = 0;
  uint32_t i;

  memset (out, 0, sizeof *out);
  out->job.verb = HSX_SUBMIT;
  out->job.customer = job->customer_name;
  out->job.id = job->id;
  memcpy (out->job.digest, job->digest, sizeof job->digest);
  out->dropped = job->bodies_evicted;
  out->age_ms = (now.mono - job->arrived_at) / HS_MSEC;
  out->job.tasks.tasks_len = job->n_tasks;
  out->job.tasks.tasks_val = talloc_zero_array (ctx, hsx_task, job->n_tasks);
  out->states.states_len = job->n_tasks;
  out->states.states_val
      = talloc_zero_array (ctx, hsx_handover_task, job->n_tasks);
  if (job->n_unfinished == 0)
    {
      export_answers (job, out);
      return job->bodies_len;
    }
  for (i = 0; i < job->n_tasks; i++)
    {
      const Task *task = &job->tasks[i];

      out->job.tasks.tasks_val[i] = task->spec;
      bytes += task->spec.body.body_len + task->answer.body.body_len;
      export_task (owner, task, &out->states.states_val[i]);
    }
  return bytes;
}

static void
export_answers (const Job *job, hsx_handover_job *out)
{
  uint32_t i;

  for (i = 0; i < job->n_tasks; i++)
    {
      hsx_handover_task *state = &out->states.states_val[i];

      state->state = HSX_HO_FINISHED;
      state->answer = job->answers[i];
      /* An evicted result must not look like an empty one. */
      if (!job->bodies_evicted)
        continue;
      state->answer.state = HSX_TASK_MAY_HAVE_RUN;
      state->answer.kind = HS_ERROR_EXPIRED;
    }
}

static void
export_task (const HsOwner *owner, const Task *task, hsx_handover_task *state)
{
  state->answer = task->answer;
  state->answer.state = MAX (task->answer.state, HSX_TASK_DONE);
  switch (task->state)
    {
    case TASK_DEFERRED:
    case TASK_QUEUED:
      state->state = HSX_HO_QUEUED;
      break;
    case TASK_SENT:
      state->state = HSX_HO_SENT;
      state->agent = owner->agents[task->agent].incarnation;
      break;
    case TASK_FINISHED:
      state->state = HSX_HO_FINISHED;
      break;
    }
}

static hsx_handover_args *
add_message (TALLOC_CTX *ctx,
             hsx_handover_args **messages,
             size_t *n,
             const Partition *partition,
             int64_t floor_ms,
             uint32_t part)
{
  hsx_handover_args *message;

  *messages = talloc_realloc (ctx, *messages, hsx_handover_args, *n + 1);
  message = &(*messages)[*n];
  memset (message, 0, sizeof *message);
  message->part = part;
  message->epoch = partition->epoch;
  message->floor_ms = floor_ms;
  message->jobs.jobs_val
      = talloc_zero_array (*messages, hsx_handover_job, MESSAGE_JOBS_MAX);
  (*n)++;
  return message;
}

/* The wall time before which ids are uncertain for the next owner. The handover
   contains jobs, but not what only agents reported after a takeover, and an
   agent that ran such a task may be lost before the next owner asks it. So ids
   as old as those are uncertain there. */
static int64_t
uncertain_before_to_pass (const HsOwner *owner, uint32_t part, HsNow now)
{
  const Partition *partition = &owner->partitions[part];
  int64_t floor_ms
      = MAX (partition->uncertain_before_ms, partition->evicted_before_ms);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->recovered_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const RecoveredJob *recovered = value;

      if (recovered->part == part && recovered->tasks->len > 0)
        floor_ms = MAX (floor_ms,
                        recovered_job_id_time_ms (owner, recovered, now) + 1);
    }
  return floor_ms;
}

/* The time at which the id was created or, if opaque, claimed; id_status()
   compares it. */
static int64_t
recovered_job_id_time_ms (const HsOwner *owner,
                          const RecoveredJob *recovered,
                          HsNow now)
{
  int64_t ms;

  if (hs_uuid7_parse (strchr (recovered->key, '/') + 1, &ms))
    return ms;
  if (recovered->claimed)
    return recovered->claimed_ms;
  return now.wall_ms
         + (owner->config.id_ahead_max + 2 * owner->config.clock_skew_max)
               / HS_MSEC;
}

/* Returns a deep copy, made by encoding and decoding the job. */
static StagedJob *
stage_job (Partition *partition, const hsx_handover_job *in, HsNow now)
{
  xdrproc_t codec = (xdrproc_t) xdr_hsx_handover_job;
  hsx_handover_job *source = (hsx_handover_job *) (uintptr_t) in;
  StagedJob *staged = g_new0 (StagedJob, 1);
  u_int size = (u_int) xdr_sizeof (codec, source);
  g_autofree char *buffer = g_malloc (size);
  XDR xdrs;

  (void) partition;
  staged->arrived_at = now.mono - in->age_ms * HS_MSEC;
  xdrmem_create (&xdrs, buffer, size, XDR_ENCODE);
  xdr_hsx_handover_job (&xdrs, source);
  xdr_destroy (&xdrs);
  xdrmem_create (&xdrs, buffer, size, XDR_DECODE);
  xdr_hsx_handover_job (&xdrs, &staged->job);
  xdr_destroy (&xdrs);
  return staged;
}

static void
adopt_job (HsOwner *owner, const StagedJob *staged, HsNow now)
{
  const hsx_handover_job *in = &staged->job;
  HsNow arrived = { staged->arrived_at, now.wall_ms };
  Job *job;
  uint32_t i;

  if (job_find (owner, in->job.customer, in->job.id) != NULL
      || in->states.states_len != in->job.tasks.tasks_len)
    return;
  job = job_new (owner, &in->job, arrived);
  job->bodies_evicted = in->dropped;
  for (i = 0; i < job->n_tasks; i++)
    {
      const hsx_handover_task *state = &in->states.states_val[i];
      Task *task = &job->tasks[i];
      uint32_t agent;

      switch (state->state)
        {
        case HSX_HO_QUEUED:
          break;
        case HSX_HO_SENT:
          if (agent_find (owner, state->agent, &agent) != NULL
              && owner->agents[agent].lost_at_ms == 0)
            {
              /* The start may still be in transit: either the agent has it in
                 its start log, or SETTLE makes it fence the task. */
              task_mark_sent (owner, task, agent, now);
              task->outcome_unknown = true;
            }
          else
            task_finish (owner, task, HSX_TASK_MAY_HAVE_RUN, HS_ERROR_UNKNOWN,
                         0, NULL, 0, now);
          break;
        case HSX_HO_FINISHED:
          task_finish (owner, task, state->answer.state, state->answer.kind,
                       state->answer.http_status, state->answer.body.body_val,
                       state->answer.body.body_len, now);
          break;
        }
    }
}
