/**
 * @file
 * Finished jobs: what is kept of them, how long, and within how many bytes.
 */
#include <string.h>

#include "base/uuid7.h"
#include "owner/internal.h"

/** Share of the bound that bodies may take before the oldest are dropped, so
 *  that a few large answers don't push out the ids. */
#define BODIES_SHARE(bytes) ((bytes) / 4 * 3)

/** Younger ids are never forgotten for room: with the default retention of
 *  600 s these 75 s cover the 60 s after which a refusal may tell a caller to
 *  come back with the same id. */
#define YOUNG(retention) ((retention) / 8)

/** Headers of three chunks and the job's place in the table of jobs. */
#define JOB_OVERHEAD 400

static size_t record_bytes (const Job *job);
static void forget_expired (HsOwner *owner, GQueue *kept, HsNow now);
static void forget (HsOwner *owner, Job *job, HsNow now);
static bool make_room (HsOwner *owner, HsNow now);
static void set_aside (HsOwner *owner, Job *job);
static void drop_bodies (HsOwner *owner, Job *job);

void
job_keep (HsOwner *owner, Job *job, HsNow now)
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
  g_queue_push_tail_link (&owner->kept, &job->kept_link);
  if (owner->keeping == NULL)
    owner->keeping = &job->kept_link;
  owner->kept_bytes += record_bytes (job) + job->bodies_len;
  owner->bodies_bytes += job->bodies_len;
}

void
job_unkeep (HsOwner *owner, Job *job)
{
  if (owner->keeping == &job->kept_link)
    owner->keeping = job->kept_link.next;
  g_queue_unlink (job->set_aside ? &owner->set_aside : &owner->kept,
                  &job->kept_link);
  owner->kept_bytes -= record_bytes (job) + job->bodies_len;
  owner->bodies_bytes -= job->bodies_len;
}

void
jobs_sweep (HsOwner *owner, HsNow now)
{
  uint64_t most = owner->config.kept_bytes;

  forget_expired (owner, &owner->set_aside, now);
  forget_expired (owner, &owner->kept, now);
  while (owner->keeping != NULL && owner->bodies_bytes > BODIES_SHARE (most))
    drop_bodies (owner, owner->keeping->data);
  while (owner->kept_bytes > most && make_room (owner, now))
    continue;
}

static size_t
record_bytes (const Job *job)
{
  return sizeof *job + strlen (job->key) + JOB_OVERHEAD
         + job->n_tasks * sizeof (hsx_task_answer);
}

static void
forget_expired (HsOwner *owner, GQueue *kept, HsNow now)
{
  HsTime keep = owner->config.retention + owner->config.ahead;
  Job *job;

  while ((job = g_queue_peek_head (kept)) != NULL
         && now.mono - job->finished_at >= keep)
    forget (owner, job, now);
}

/* A UUIDv7 tells by itself that it is too old; an opaque id is remembered. */
static void
forget (HsOwner *owner, Job *job, HsNow now)
{
  g_autofree char *customer = g_strdup (job->customer);
  g_autofree char *id = g_strdup (job->id);
  uint32_t part = job->part;
  int64_t arrived_ms = now.wall_ms - (now.mono - job->arrived) / HS_MSEC;
  int64_t minted_ms;

  job_drop (owner, job);
  if (!hs_uuid7_parse (id, &minted_ms))
    hs_owner_claim_found (owner, part, customer, id, arrived_ms, now);
}

/* Forgets the oldest finished job; false if it is too young for that. An
   opaque id doesn't show its age, so it has to stay known. */
static bool
make_room (HsOwner *owner, HsNow now)
{
  Job *job = g_queue_peek_head (&owner->kept);
  Part *part;
  int64_t minted_ms;

  if (job == NULL)
    return false;
  if (!hs_uuid7_parse (job->id, &minted_ms))
    {
      set_aside (owner, job);
      return true;
    }
  if (minted_ms > now.wall_ms - YOUNG (owner->config.retention) / HS_MSEC)
    return false;
  part = &owner->parts[job->part];
  part->forgotten_before_ms = MAX (part->forgotten_before_ms, minted_ms + 1);
  owner->stats.forgotten++;
  job_drop (owner, job);
  return true;
}

static void
set_aside (HsOwner *owner, Job *job)
{
  if (owner->keeping == &job->kept_link)
    drop_bodies (owner, job);
  g_queue_unlink (&owner->kept, &job->kept_link);
  g_queue_push_tail_link (&owner->set_aside, &job->kept_link);
  job->set_aside = true;
}

/* Takes the oldest job with bodies. The ids stay known, so that nothing runs
   again. */
static void
drop_bodies (HsOwner *owner, Job *job)
{
  uint32_t i;

  owner->keeping = job->kept_link.next;
  if (job->bodies_len == 0)
    return;
  for (i = 0; i < job->n_tasks; i++)
    {
      job->answers[i].body.body_val = NULL;
      job->answers[i].body.body_len = 0;
    }
  TALLOC_FREE (job->bodies);
  owner->kept_bytes -= job->bodies_len;
  owner->bodies_bytes -= job->bodies_len;
  job->bodies_len = 0;
  job->answer_dropped = true;
}
