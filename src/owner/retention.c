/**
 * @file
 * Retention of finished jobs: what is retained of them, for how long, and
 * within how much memory.
 */
#include <string.h>

#include "base/uuid7.h"
#include "owner/internal.h"

/** Part of the memory bound that bodies may take before the oldest are evicted,
 *  so that a few large answers don't cause ids to be evicted. */
#define BODIES_BYTES_MAX(bytes) ((bytes) / 4 * 3)

/** Ids younger than this are never evicted. A refusal may tell a caller to
 *  resubmit the same id after up to 60 s, which the 75 s that follow from the
 *  default retention of 600 s cover. */
#define EVICTION_AGE_MIN(retention) ((retention) / 8)

/** Memory of three allocation headers and the job's hash table entry. */
#define JOB_OVERHEAD_BYTES 400

static size_t record_bytes (const Job *job);
static void drop_expired (HsOwner *owner, GQueue *jobs, HsNow now);
static void drop_finished (HsOwner *owner, Job *job, HsNow now);
static bool evict_oldest (HsOwner *owner, HsNow now);
static void pin_job (HsOwner *owner, Job *job);
static void evict_bodies (HsOwner *owner, Job *job);

void
job_retain (HsOwner *owner, Job *job, HsNow now)
{
  char *at;
  uint32_t i;

  job->finished_at = now.mono;
  job->answers = talloc_array (job, hsx_task_answer, job->n_tasks);
  for (i = 0; i < job->n_tasks; i++)
    {
      job->answers[i] = job->tasks[i].answer;
      job->bodies_len += job->answers[i].body.body_len;
    }
  if (job->bodies_len > 0)
    job->bodies = talloc_size (job, job->bodies_len);
  for (i = 0, at = job->bodies; i < job->n_tasks; i++)
    if (job->answers[i].body.body_len > 0)
      {
        at = memcpy (at, job->answers[i].body.body_val,
                     job->answers[i].body.body_len);
        job->answers[i].body.body_val = at;
        at += job->answers[i].body.body_len;
      }
  TALLOC_FREE (job->tasks);
  g_queue_push_tail_link (&owner->finished, &job->finished_link);
  if (owner->first_with_bodies == NULL)
    owner->first_with_bodies = &job->finished_link;
  owner->retained_bytes += record_bytes (job) + job->bodies_len;
  owner->bodies_bytes += job->bodies_len;
}

void
job_unretain (HsOwner *owner, Job *job)
{
  if (owner->first_with_bodies == &job->finished_link)
    owner->first_with_bodies = job->finished_link.next;
  g_queue_unlink (job->pinned ? &owner->pinned : &owner->finished,
                  &job->finished_link);
  owner->retained_bytes -= record_bytes (job) + job->bodies_len;
  owner->bodies_bytes -= job->bodies_len;
}

void
retention_sweep (HsOwner *owner, HsNow now)
{
  uint64_t bytes_max = owner->config.retained_bytes_max;

  drop_expired (owner, &owner->pinned, now);
  drop_expired (owner, &owner->finished, now);
  while (owner->first_with_bodies != NULL
         && owner->bodies_bytes > BODIES_BYTES_MAX (bytes_max))
    evict_bodies (owner, owner->first_with_bodies->data);
  while (owner->retained_bytes > bytes_max && evict_oldest (owner, now))
    continue;
}

static size_t
record_bytes (const Job *job)
{
  return sizeof *job + strlen (job->key) + JOB_OVERHEAD_BYTES
         + job->n_tasks * sizeof (hsx_task_answer);
}

static void
drop_expired (HsOwner *owner, GQueue *jobs, HsNow now)
{
  HsTime retention = owner->config.retention + owner->config.id_ahead_max;
  Job *job;

  while ((job = g_queue_peek_head (jobs)) != NULL
         && now.mono - job->finished_at >= retention)
    drop_finished (owner, job, now);
}

/* Drops an expired job. The time in a UUIDv7 shows that it is expired; an
   opaque id has none, so its claim is added to the recovered jobs. */
static void
drop_finished (HsOwner *owner, Job *job, HsNow now)
{
  g_autofree char *customer = g_strdup (job->customer_name);
  g_autofree char *id = g_strdup (job->id);
  uint32_t part = job->part;
  int64_t arrived_ms = now.wall_ms - (now.mono - job->arrived_at) / HS_MSEC;
  int64_t created_ms;

  job_drop (owner, job);
  if (!hs_uuid7_parse (id, &created_ms))
    hs_owner_add_claim (owner, part, customer, id, arrived_ms, now);
}

/* Evicts the oldest finished job, or pins it if its id is opaque: such an id
   doesn't show its age, so it must stay known. Returns false if the job is too
   young. */
static bool
evict_oldest (HsOwner *owner, HsNow now)
{
  Job *job = g_queue_peek_head (&owner->finished);
  Partition *partition;
  int64_t created_ms;

  if (job == NULL)
    return false;
  if (!hs_uuid7_parse (job->id, &created_ms))
    {
      pin_job (owner, job);
      return true;
    }
  if (created_ms
      > now.wall_ms - EVICTION_AGE_MIN (owner->config.retention) / HS_MSEC)
    return false;
  partition = &owner->partitions[job->part];
  partition->evicted_before_ms
      = MAX (partition->evicted_before_ms, created_ms + 1);
  owner->stats.evicted_jobs++;
  job_drop (owner, job);
  return true;
}

static void
pin_job (HsOwner *owner, Job *job)
{
  if (owner->first_with_bodies == &job->finished_link)
    evict_bodies (owner, job);
  g_queue_unlink (&owner->finished, &job->finished_link);
  g_queue_push_tail_link (&owner->pinned, &job->finished_link);
  job->pinned = true;
}

/* Evicts the bodies of the first job that has them. Its id stays known, so that
   its tasks do not run again. */
static void
evict_bodies (HsOwner *owner, Job *job)
{
  uint32_t i;

  owner->first_with_bodies = job->finished_link.next;
  if (job->bodies_len == 0)
    return;
  for (i = 0; i < job->n_tasks; i++)
    {
      job->answers[i].body.body_val = NULL;
      job->answers[i].body.body_len = 0;
    }
  TALLOC_FREE (job->bodies);
  owner->retained_bytes -= job->bodies_len;
  owner->bodies_bytes -= job->bodies_len;
  job->bodies_len = 0;
  job->bodies_evicted = true;
}
