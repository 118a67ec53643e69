/**
 * @file
 * Requests: submitting, fetching and cancelling jobs.
 */
#include <string.h>

#include "base/error.h"
#include "base/uuid7.h"
#include "owner/internal.h"

/* What can be said about an id without a job here. */
typedef enum
{
  ID_NEVER_STARTED, /* Certainly no task of it has ever started. */
  ID_UNCERTAIN,     /* Tasks may have run that no agent reports now. */
  ID_EXPIRED,       /* Outside the retention window. */
  ID_FROM_FUTURE    /* Created too far in the future. */
} IdStatus;

static void serve_request (HsOwner *owner,
                           HsWaiter waiter,
                           const hsx_forward_args *args,
                           HsNow now);
static void submit (HsOwner *owner,
                    HsWaiter waiter,
                    const hsx_forward_args *args,
                    HsNow now);
static void submit_new (HsOwner *owner,
                        HsWaiter waiter,
                        const hsx_forward_args *args,
                        HsNow now);
static void
fetch (HsOwner *owner, HsWaiter waiter, const hsx_forward_args *args);
static void cancel (HsOwner *owner,
                    HsWaiter waiter,
                    const hsx_forward_args *args,
                    HsNow now);
static IdStatus id_status (const HsOwner *owner,
                           const hsx_forward_args *args,
                           const RecoveredJob *recovered,
                           HsNow now);
static bool refuse_by_id_status (HsOwner *owner,
                                 HsWaiter waiter,
                                 IdStatus status,
                                 const RecoveredJob *recovered);
static bool refuse_changed_content (HsOwner *owner,
                                    HsWaiter waiter,
                                    const hsx_forward_args *args,
                                    const RecoveredJob *recovered);
static bool same_content (const RecoveredJob *recovered,
                          const hsx_forward_args *args);
static void job_apply_recovered (HsOwner *owner,
                                 Job *job,
                                 const RecoveredJob *recovered,
                                 HsNow now);
static void fail_deferred_tasks (HsOwner *owner, Job *job, HsNow now);
static void defer_request (HsOwner *owner,
                           Partition *partition,
                           HsWaiter waiter,
                           const hsx_forward_args *args);

void
hs_owner_request (HsOwner *owner,
                  HsWaiter waiter,
                  const hsx_forward_args *args,
                  HsNow now)
{
  Partition *partition = &owner->partitions[hs_partition_of (
      args->customer, owner->config.partitions)];

  if (partition->state != PARTITION_NOT_OWNED && !lease_is_valid (owner, now))
    {
      owner->effects.reroute (owner->arg, waiter);
      return;
    }
  switch (partition->state)
    {
    case PARTITION_NOT_OWNED:
      owner->effects.reroute (owner->arg, waiter);
      return;
    case PARTITION_RECOVERING:
    case PARTITION_FROZEN:
      defer_request (owner, partition, waiter, args);
      return;
    case PARTITION_SERVING:
      serve_request (owner, waiter, args, now);
      dispatch_tasks (owner, now);
      return;
    }
}

void
hs_owner_remove_waiter (HsOwner *owner, HsWaiter waiter)
{
  gpointer value;
  uint32_t p;
  guint i;

  if (!g_hash_table_lookup_extended (owner->waiters, &waiter, NULL, &value))
    return;
  g_hash_table_remove (owner->waiters, &waiter);
  if (value != NULL)
    {
      GArray *waiters = ((Job *) value)->waiters;

      for (i = 0; i < waiters->len; i++)
        if (g_array_index (waiters, HsWaiter, i) == waiter)
          {
            g_array_remove_index_fast (waiters, i);
            return;
          }
      return;
    }
  for (p = 0; p < owner->config.partitions; p++)
    for (i = 0; owner->partitions[p].deferred != NULL
                && i < owner->partitions[p].deferred->len;
         i++)
      if (g_array_index (owner->partitions[p].deferred, DeferredRequest, i)
              .waiter
          == waiter)
        {
          g_array_remove_index (owner->partitions[p].deferred, i);
          return;
        }
}

void
hs_owner_claim_completed (HsOwner *owner,
                          const char *customer,
                          const char *id,
                          HsOwnerClaimOutcome outcome,
                          HsNow now)
{
  Job *job = job_find (owner, customer, id);

  if (job == NULL || !job->claim_pending)
    return;
  job->claim_pending = false;
  if (job->n_unfinished == 0)
    {
      /* The job was cancelled meanwhile and is answered; nothing starts. */
      if (outcome != HS_OWNER_CLAIM_WRITTEN)
        job_drop (owner, job);
      return;
    }
  switch (outcome)
    {
    case HS_OWNER_CLAIM_WRITTEN:
      if (owner->partitions[job->part].state != PARTITION_FROZEN)
        job_enqueue_tasks (owner, job, now);
      dispatch_tasks (owner, now);
      return;
    case HS_OWNER_CLAIM_NOT_OWNER:
      job_reroute (owner, job);
      return;
    case HS_OWNER_CLAIM_NOT_WRITTEN:
      job_refuse (owner, job, HS_ERROR_UNAVAILABLE, true,
                  "the id could not be claimed in the store; "
                  "send a UUIDv7 id or try again later");
      return;
    case HS_OWNER_CLAIM_UNKNOWN:
      job_refuse (owner, job, HS_ERROR_UNKNOWN, false,
                  "the store did not confirm the claim of the id; "
                  "resubmit the same id");
      return;
    }
}

void
hs_owner_claims_loaded (HsOwner *owner, uint32_t part, HsNow now)
{
  Partition *partition = &owner->partitions[part];

  if (partition->state == PARTITION_NOT_OWNED)
    return;
  partition->claims_loaded = true;
  if (partition->state != PARTITION_SERVING)
    return;
  serve_deferred_requests (owner, partition, now);
  dispatch_tasks (owner, now);
}

void
serve_deferred_requests (HsOwner *owner, Partition *partition, HsNow now)
{
  g_autoptr (GArray) deferred = partition->deferred;
  guint i;

  partition->deferred = NULL;
  for (i = 0; deferred != NULL && i < deferred->len; i++)
    {
      const DeferredRequest *request
          = &g_array_index (deferred, DeferredRequest, i);

      g_hash_table_remove (owner->waiters, &request->waiter);
      serve_request (owner, request->waiter, request->args, now);
    }
}

static void
serve_request (HsOwner *owner,
               HsWaiter waiter,
               const hsx_forward_args *args,
               HsNow now)
{
  switch (args->verb)
    {
    case HSX_SUBMIT:
      submit (owner, waiter, args, now);
      return;
    case HSX_FETCH:
      fetch (owner, waiter, args);
      return;
    case HSX_CANCEL:
      cancel (owner, waiter, args, now);
      return;
    }
}

static void
submit (HsOwner *owner,
        HsWaiter waiter,
        const hsx_forward_args *args,
        HsNow now)
{
  Job *job = job_find (owner, args->customer, args->id);

  if (job == NULL)
    {
      int64_t created_ms;
      Partition *partition = &owner->partitions[hs_partition_of (
          args->customer, owner->config.partitions)];

      if (!partition->claims_loaded && !hs_uuid7_parse (args->id, &created_ms))
        defer_request (owner, partition, waiter, args);
      else
        submit_new (owner, waiter, args, now);
      return;
    }
  if (memcmp (job->digest, args->digest, sizeof job->digest) != 0)
    {
      refuse_request (owner, waiter, HS_ERROR_CONFLICT, false, 0,
                      "this id was submitted with other content; use a new id");
      return;
    }
  owner->stats.resubmissions++;
  if (job->n_unfinished == 0)
    job_answer_waiter (owner, job, waiter);
  else
    job_add_waiter (owner, job, waiter);
}

static void
submit_new (HsOwner *owner,
            HsWaiter waiter,
            const hsx_forward_args *args,
            HsNow now)
{
  char key[JOB_KEY_SIZE];
  RecoveredJob *recovered;
  IdStatus status;
  int64_t created_ms;
  Job *job;

  job_key (key, args->customer, args->id);
  recovered = recovered_job_find (owner, key);
  status = id_status (owner, args, recovered, now);
  if (refuse_by_id_status (owner, waiter, status, recovered)
      || refuse_changed_content (owner, waiter, args, recovered))
    return;
  if (!admit_job (owner, waiter, args,
                  status == ID_NEVER_STARTED && recovered == NULL, now))
    return;
  job = job_new (owner, args, now);
  job_add_waiter (owner, job, waiter);
  if (recovered != NULL)
    {
      bool claimed = recovered->claimed;

      job_apply_recovered (owner, job, recovered, now);
      recovered_job_drop (owner, recovered);
      if (claimed && status == ID_NEVER_STARTED && job->n_unfinished > 0)
        {
          job_enqueue_tasks (owner, job, now);
          return;
        }
    }
  if (job->n_unfinished == 0)
    return;
  if (status == ID_UNCERTAIN)
    {
      fail_deferred_tasks (owner, job, now);
      return;
    }
  if (hs_uuid7_parse (args->id, &created_ms))
    {
      job_enqueue_tasks (owner, job, now);
      return;
    }
  job->claim_pending = true;
  owner->effects.claim (owner->arg, job->part,
                        owner->partitions[job->part].epoch, job->customer_name,
                        job->id, job->digest);
}

/* Refuses the request and returns true if its id is too old or too new. */
static bool
refuse_by_id_status (HsOwner *owner,
                     HsWaiter waiter,
                     IdStatus status,
                     const RecoveredJob *recovered)
{
  switch (status)
    {
    case ID_FROM_FUTURE:
      refuse_request (owner, waiter, HS_ERROR_INVALID, recovered == NULL, 0,
                      "the time in the id is too far in the future; "
                      "set the caller's clock");
      return true;
    case ID_EXPIRED:
      refuse_request (
          owner, waiter, HS_ERROR_EXPIRED, false, 0,
          "the id is older than the retention window and its outcome "
          "is no longer known; check the outcome by other means");
      return true;
    case ID_NEVER_STARTED:
    case ID_UNCERTAIN:
      break;
    }
  return false;
}

static bool
refuse_changed_content (HsOwner *owner,
                        HsWaiter waiter,
                        const hsx_forward_args *args,
                        const RecoveredJob *recovered)
{
  if (recovered == NULL || same_content (recovered, args))
    return false;
  refuse_request (owner, waiter, HS_ERROR_CONFLICT, false, 0,
                  "this id was submitted with other content; use a new id");
  return true;
}

static void
fetch (HsOwner *owner, HsWaiter waiter, const hsx_forward_args *args)
{
  Job *job = job_find (owner, args->customer, args->id);

  if (job == NULL)
    {
      refuse_request (owner, waiter, HS_ERROR_NOT_FOUND, false, 0,
                      "no job with this id is known; submit it again");
      return;
    }
  owner->stats.needless_polls += job->n_unfinished > 0 && !args->wait;
  if (job->n_unfinished > 0 && args->wait)
    job_add_waiter (owner, job, waiter);
  else
    job_answer_waiter (owner, job, waiter);
}

static void
cancel (HsOwner *owner,
        HsWaiter waiter,
        const hsx_forward_args *args,
        HsNow now)
{
  Job *job = job_find (owner, args->customer, args->id);
  uint32_t i;

  if (job == NULL)
    {
      refuse_request (owner, waiter, HS_ERROR_NOT_FOUND, false, 0,
                      "no job with this id is known; nothing was cancelled");
      return;
    }
  if (job->n_unfinished == 0)
    {
      job_answer_waiter (owner, job, waiter);
      return;
    }
  job_add_waiter (owner, job, waiter);
  for (i = 0; i < job->n_tasks && job->n_unfinished > 0; i++)
    if (job->tasks[i].state == TASK_QUEUED
        || job->tasks[i].state == TASK_DEFERRED)
      task_finish (owner, &job->tasks[i], HSX_TASK_NOT_RUN, HS_ERROR_CANCELLED,
                   0, NULL, 0, now);
}

static IdStatus
id_status (const HsOwner *owner,
           const hsx_forward_args *args,
           const RecoveredJob *recovered,
           HsNow now)
{
  const Partition *partition = &owner->partitions[hs_partition_of (
      args->customer, owner->config.partitions)];
  /* An agent may remove a start from its log this much before the id reaches
     the retention time. */
  HsTime start_log_margin
      = owner->config.id_ahead_max + 2 * owner->config.clock_skew_max;
  int64_t oldest
      = now.wall_ms - (owner->config.retention - start_log_margin) / HS_MSEC;
  int64_t ms;

  if (hs_uuid7_parse (args->id, &ms))
    {
      if (ms > now.wall_ms + owner->config.id_ahead_max / HS_MSEC)
        return ID_FROM_FUTURE;
    }
  else
    {
      /* A task of an opaque id starts only after the claim is in the store.
         Without a claim there, none has started. */
      if (recovered == NULL || !recovered->claimed)
        return ID_NEVER_STARTED;
      ms = recovered->claimed_ms;
    }
  if (ms < oldest)
    return ID_EXPIRED;
  if (ms < partition->evicted_before_ms)
    return recovered != NULL ? ID_UNCERTAIN : ID_EXPIRED;
  return ms < partition->uncertain_before_ms ? ID_UNCERTAIN : ID_NEVER_STARTED;
}

static bool
same_content (const RecoveredJob *recovered, const hsx_forward_args *args)
{
  uint64_t content;
  guint i;

  memcpy (&content, args->digest, sizeof content);
  for (i = 0; i < recovered->tasks->len; i++)
    {
      const RecoveredTask *r = recovered->tasks->pdata[i];

      if (r->digest_prefix != content || r->index >= args->tasks.tasks_len)
        return false;
    }
  return true;
}

static void
job_apply_recovered (HsOwner *owner,
                     Job *job,
                     const RecoveredJob *recovered,
                     HsNow now)
{
  guint i;

  for (i = 0; i < recovered->tasks->len && job->n_unfinished > 0; i++)
    {
      const RecoveredTask *r = recovered->tasks->pdata[i];
      Task *task = &job->tasks[r->index];
      hsx_result result = { 0 };

      if (task->state != TASK_DEFERRED)
        continue;
      task_mark_sent (owner, task, r->agent, now);
      task->outcome_unknown = r->outcome == HSX_RUNNING;
      result.outcome = r->outcome;
      result.http_status = r->http_status;
      result.body.body_val = r->body;
      result.body.body_len = r->body_len;
      task_apply_result (owner, task, &result, now);
    }
  /* What ended a run may have been lost, or have overtaken the report of it. */
  for (i = 0; i < job->n_tasks && job->n_unfinished > 0; i++)
    if (job->tasks[i].state == TASK_SENT && job->tasks[i].outcome_unknown)
      settle_adopted_tasks (owner, job->tasks[i].agent);
}

static void
fail_deferred_tasks (HsOwner *owner, Job *job, HsNow now)
{
  uint32_t i;

  for (i = 0; i < job->n_tasks && job->n_unfinished > 0; i++)
    if (job->tasks[i].state == TASK_DEFERRED)
      task_finish (owner, &job->tasks[i], HSX_TASK_MAY_HAVE_RUN,
                   HS_ERROR_UNKNOWN, 0, NULL, 0, now);
}

static void
defer_request (HsOwner *owner,
               Partition *partition,
               HsWaiter waiter,
               const hsx_forward_args *args)
{
  DeferredRequest deferred = { waiter, args };

  if (partition->deferred == NULL)
    partition->deferred = g_array_new (FALSE, FALSE, sizeof (DeferredRequest));
  g_array_append_val (partition->deferred, deferred);
  g_hash_table_insert (owner->waiters, g_memdup2 (&waiter, sizeof waiter),
                       NULL);
}
