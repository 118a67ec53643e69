#include <string.h>

#include "base/error.h"
#include "base/uuid7.h"
#include "owner/internal.h"

/* What is known of an id that no job here has. */
typedef enum
{
  ID_FRESH,     /* Certain that no task of it has ever started. */
  ID_UNCERTAIN, /* Tasks that nobody remembers may have run. */
  ID_EXPIRED,   /* Outside the retention window. */
  ID_AHEAD      /* Minted too far in the future. */
} IdStanding;

static void request_serve (HsOwner *owner,
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
static IdStanding judge_id (const HsOwner *owner,
                            const hsx_forward_args *args,
                            const Recovered *recovered,
                            HsNow now);
static bool admit (HsOwner *owner,
                   HsWaiter waiter,
                   const hsx_forward_args *args,
                   bool fresh,
                   HsNow now);
static const char *task_refusal (HsOwner *owner,
                                 const Customer *customer,
                                 const hsx_task *task,
                                 HsNow now,
                                 unsigned int *kind);
static bool refuse_standing (HsOwner *owner,
                             HsWaiter waiter,
                             IdStanding standing,
                             const Recovered *recovered);
static bool refuse_other_content (HsOwner *owner,
                                  HsWaiter waiter,
                                  const hsx_forward_args *args,
                                  const Recovered *recovered);
static bool same_content (const Recovered *recovered,
                          const hsx_forward_args *args);
static void apply_recovered (HsOwner *owner,
                             Job *job,
                             const Recovered *recovered,
                             HsNow now);
static void fail_held (HsOwner *owner, Job *job, HsNow now);
static void park (HsOwner *owner,
                  Part *part,
                  HsWaiter waiter,
                  const hsx_forward_args *args);

void
hs_owner_request (HsOwner *owner,
                  HsWaiter waiter,
                  const hsx_forward_args *args,
                  HsNow now)
{
  Part *part = &owner->parts[hs_partition_of (args->customer,
                                              owner->config.partitions)];

  if (part->state != PART_FOREIGN && !lease_holds (owner, now))
    {
      owner->effects.reroute (owner->arg, waiter);
      return;
    }
  switch (part->state)
    {
    case PART_FOREIGN:
      owner->effects.reroute (owner->arg, waiter);
      return;
    case PART_RECOVERING:
    case PART_FROZEN:
      park (owner, part, waiter, args);
      return;
    case PART_SERVING:
      request_serve (owner, waiter, args, now);
      pump (owner, now);
      return;
    }
}

void
hs_owner_withdraw (HsOwner *owner, HsWaiter waiter)
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
    for (i = 0;
         owner->parts[p].parked != NULL && i < owner->parts[p].parked->len; i++)
      if (g_array_index (owner->parts[p].parked, Parked, i).waiter == waiter)
        {
          g_array_remove_index (owner->parts[p].parked, i);
          return;
        }
}

void
hs_owner_claimed (HsOwner *owner,
                  const char *customer,
                  const char *id,
                  HsOwnerClaim outcome,
                  HsNow now)
{
  Job *job = job_find (owner, customer, id);

  if (job == NULL || !job->claiming)
    return;
  job->claiming = false;
  if (job->unfinished == 0)
    {
      /* Cancelled meanwhile: answered, and nothing of it starts. */
      if (outcome != HS_OWNER_CLAIMED)
        job_drop (owner, job);
      return;
    }
  switch (outcome)
    {
    case HS_OWNER_CLAIMED:
      if (owner->parts[job->part].state != PART_FROZEN)
        task_enqueue_all (owner, job, now);
      pump (owner, now);
      return;
    case HS_OWNER_CLAIM_DEPOSED:
      job_reroute (owner, job);
      return;
    case HS_OWNER_CLAIM_REFUSED:
      job_refuse (owner, job, HS_ERROR_UNAVAILABLE, true,
                  "the id could not be claimed in the store; "
                  "send a UUIDv7 id or try again later");
      return;
    case HS_OWNER_CLAIM_UNDECIDED:
      job_refuse (owner, job, HS_ERROR_UNKNOWN, false,
                  "the claim of the id is undecided; resubmit the same id");
      return;
    }
}

void
hs_owner_claims_loaded (HsOwner *owner, uint32_t part, HsNow now)
{
  Part *p = &owner->parts[part];

  if (p->state == PART_FOREIGN)
    return;
  p->claims_loaded = true;
  if (p->state != PART_SERVING)
    return;
  request_parked (owner, p, now);
  pump (owner, now);
}

void
request_parked (HsOwner *owner, Part *part, HsNow now)
{
  g_autoptr (GArray) parked = part->parked;
  guint i;

  part->parked = NULL;
  for (i = 0; parked != NULL && i < parked->len; i++)
    {
      const Parked *p = &g_array_index (parked, Parked, i);

      g_hash_table_remove (owner->waiters, &p->waiter);
      request_serve (owner, p->waiter, p->args, now);
    }
}

static void
request_serve (HsOwner *owner,
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
      int64_t minted_ms;
      Part *part = &owner->parts[hs_partition_of (args->customer,
                                                  owner->config.partitions)];

      if (!part->claims_loaded && !hs_uuid7_parse (args->id, &minted_ms))
        park (owner, part, waiter, args);
      else
        submit_new (owner, waiter, args, now);
      return;
    }
  if (memcmp (job->digest, args->digest, sizeof job->digest) != 0)
    {
      refuse (owner, waiter, HS_ERROR_CONFLICT, false, 0,
              "this id was submitted with other content; use a new id");
      return;
    }
  owner->stats.attached++;
  if (job->unfinished == 0)
    job_answer_one (owner, job, waiter);
  else
    job_wait (owner, job, waiter);
}

static void
submit_new (HsOwner *owner,
            HsWaiter waiter,
            const hsx_forward_args *args,
            HsNow now)
{
  char key[JOB_KEY_SIZE];
  Recovered *recovered;
  IdStanding standing;
  int64_t minted_ms;
  Job *job;

  job_key (key, args->customer, args->id);
  recovered = recovered_find (owner, key);
  standing = judge_id (owner, args, recovered, now);
  if (refuse_standing (owner, waiter, standing, recovered)
      || refuse_other_content (owner, waiter, args, recovered))
    return;
  if (!admit (owner, waiter, args, standing == ID_FRESH && recovered == NULL,
              now))
    return;
  job = job_new (owner, args, now);
  job_wait (owner, job, waiter);
  if (recovered != NULL)
    {
      bool claimed = recovered->claimed;

      apply_recovered (owner, job, recovered, now);
      recovered_drop (owner, recovered);
      if (claimed && standing == ID_FRESH && job->unfinished > 0)
        {
          task_enqueue_all (owner, job, now);
          return;
        }
    }
  if (job->unfinished == 0)
    return;
  if (standing == ID_UNCERTAIN)
    {
      fail_held (owner, job, now);
      return;
    }
  if (hs_uuid7_parse (args->id, &minted_ms))
    {
      task_enqueue_all (owner, job, now);
      return;
    }
  job->claiming = true;
  owner->effects.claim (owner->arg, job->part, owner->parts[job->part].epoch,
                        job->customer, job->id, job->digest);
}

/* True if the id's age alone decides, and the request was refused. */
static bool
refuse_standing (HsOwner *owner,
                 HsWaiter waiter,
                 IdStanding standing,
                 const Recovered *recovered)
{
  switch (standing)
    {
    case ID_AHEAD:
      refuse (owner, waiter, HS_ERROR_INVALID, recovered == NULL, 0,
              "the id was minted in the future; set the caller's clock");
      return true;
    case ID_EXPIRED:
      refuse (owner, waiter, HS_ERROR_EXPIRED, false, 0,
              "the id is older than the retention window and its outcome "
              "is not kept; check the outcome by other means");
      return true;
    case ID_FRESH:
    case ID_UNCERTAIN:
      break;
    }
  return false;
}

static bool
refuse_other_content (HsOwner *owner,
                      HsWaiter waiter,
                      const hsx_forward_args *args,
                      const Recovered *recovered)
{
  if (recovered == NULL || same_content (recovered, args))
    return false;
  refuse (owner, waiter, HS_ERROR_CONFLICT, false, 0,
          "this id was submitted with other content; use a new id");
  return true;
}

static void
fetch (HsOwner *owner, HsWaiter waiter, const hsx_forward_args *args)
{
  Job *job = job_find (owner, args->customer, args->id);

  if (job == NULL)
    {
      refuse (owner, waiter, HS_ERROR_NOT_FOUND, false, 0,
              "no job with this id is known; submit it again");
      return;
    }
  owner->stats.needless_polls += job->unfinished > 0 && !args->wait;
  if (job->unfinished > 0 && args->wait)
    job_wait (owner, job, waiter);
  else
    job_answer_one (owner, job, waiter);
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
      refuse (owner, waiter, HS_ERROR_NOT_FOUND, false, 0,
              "no job with this id is known; nothing was cancelled");
      return;
    }
  if (job->unfinished == 0)
    {
      job_answer_one (owner, job, waiter);
      return;
    }
  job_wait (owner, job, waiter);
  for (i = 0; i < job->n_tasks && job->unfinished > 0; i++)
    if (job->tasks[i].state == TASK_QUEUED || job->tasks[i].state == TASK_HELD)
      task_finish (owner, &job->tasks[i], HSX_TASK_NOT_RUN, HS_ERROR_CANCELLED,
                   0, NULL, 0, now);
}

static IdStanding
judge_id (const HsOwner *owner,
          const hsx_forward_args *args,
          const Recovered *recovered,
          HsNow now)
{
  const Part *part = &owner->parts[hs_partition_of (args->customer,
                                                    owner->config.partitions)];
  /* An agent forgets a start this much sooner than the id is too old. */
  HsTime early = owner->config.ahead + 2 * owner->config.skew;
  int64_t oldest = now.wall_ms - (owner->config.retention - early) / HS_MSEC;
  int64_t ms;

  if (hs_uuid7_parse (args->id, &ms))
    {
      if (ms > now.wall_ms + owner->config.ahead / HS_MSEC)
        return ID_AHEAD;
    }
  else
    {
      /* An opaque id starts nothing before its claim, which the store keeps;
         without one there it is fresh. */
      if (recovered == NULL || !recovered->claimed)
        return ID_FRESH;
      ms = recovered->claimed_ms;
    }
  if (ms < oldest)
    return ID_EXPIRED;
  if (ms < part->forgotten_before_ms)
    return recovered != NULL ? ID_UNCERTAIN : ID_EXPIRED;
  return ms < part->uncertain_before_ms ? ID_UNCERTAIN : ID_FRESH;
}

/* Refuses what can't be accepted; "not run" is said of fresh ids only. */
static bool
admit (HsOwner *owner,
       HsWaiter waiter,
       const hsx_forward_args *args,
       bool fresh,
       HsNow now)
{
  Customer *customer = customer_get (owner, args->customer, now);
  const HsAllowance *allowance = &customer->allowance;
  uint32_t n = args->tasks.tasks_len;
  unsigned int kind = HS_ERROR_INVALID;
  const char *reason = NULL;
  HsTime retry_after = 0;
  uint32_t room;
  uint32_t i;

  if (!customer->known)
    {
      refuse (owner, waiter, HS_ERROR_NOT_FOUND, fresh, 0,
              "the customer has no plan with an allowance; ask an operator");
      return false;
    }
  for (i = 0; i < n && reason == NULL; i++)
    reason
        = task_refusal (owner, customer, &args->tasks.tasks_val[i], now, &kind);
  if (n == 0 || n > allowance->tasks_per_job)
    {
      kind = HS_ERROR_TOO_LARGE;
      reason = "the job has more tasks than the plan allows; split it";
    }
  /* Tasks that may start at once do not count against the queue. */
  room = allowance->queued;
  if (allowance->in_flight > customer->in_flight)
    room += allowance->in_flight - customer->in_flight;
  if (reason == NULL && fresh && customer->queued + n > room)
    {
      kind = HS_ERROR_LIMIT;
      reason = "the customer's queue is full; retry after the time given";
      retry_after = CLAMP ((HsTime) customer->queued * HS_SEC
                               / MAX (1, (HsTime) allowance->starts_per_s),
                           HS_SEC / 10, 60 * HS_SEC);
    }
  if (reason == NULL)
    return true;
  refuse (owner, waiter, kind, fresh, retry_after, reason);
  return false;
}

static const char *
task_refusal (HsOwner *owner,
              const Customer *customer,
              const hsx_task *task,
              HsNow now,
              unsigned int *kind)
{
  HsTime deadline;

  *kind = HS_ERROR_UNSATISFIABLE;
  if (task->needs.memory_mb > customer->allowance.memory_mb
      || task->needs.accelerators > customer->allowance.accelerators)
    return "a task needs more than the plan allows; lower its needs";
  deadline = task->deadline_ms == 0 ? HS_NEVER
                                    : now.mono + task->deadline_ms * HS_MSEC;
  switch (hs_feasible_check (owner->feasible, &task->needs,
                             task->run_ms * HS_MSEC, deadline, now.mono))
    {
    case HS_FEASIBLE:
    case HS_FEASIBLE_NO_TARGETS:
      return NULL;
    case HS_FEASIBLE_TOO_LARGE:
      return "no target is large enough for a task; lower its needs";
    case HS_FEASIBLE_TOO_LATE:
      *kind = HS_ERROR_DEADLINE;
      return "a task's declared run time exceeds its deadline; extend it";
    }
  return NULL;
}

static bool
same_content (const Recovered *recovered, const hsx_forward_args *args)
{
  uint64_t content;
  guint i;

  memcpy (&content, args->digest, sizeof content);
  for (i = 0; i < recovered->results->len; i++)
    {
      const RecoveredTask *r = recovered->results->pdata[i];

      if (r->content != content || r->index >= args->tasks.tasks_len)
        return false;
    }
  return true;
}

static void
apply_recovered (HsOwner *owner,
                 Job *job,
                 const Recovered *recovered,
                 HsNow now)
{
  guint i;

  for (i = 0; i < recovered->results->len && job->unfinished > 0; i++)
    {
      const RecoveredTask *r = recovered->results->pdata[i];
      Task *task = &job->tasks[r->index];
      hsx_result result = { 0 };

      if (task->state != TASK_HELD)
        continue;
      task_mark_sent (owner, task, r->agent, now);
      result.outcome = r->outcome;
      result.http_status = r->http_status;
      result.body.body_val = r->body;
      result.body.body_len = r->body_len;
      task_take_result (owner, task, &result, now);
    }
}

static void
fail_held (HsOwner *owner, Job *job, HsNow now)
{
  uint32_t i;

  for (i = 0; i < job->n_tasks && job->unfinished > 0; i++)
    if (job->tasks[i].state == TASK_HELD)
      task_finish (owner, &job->tasks[i], HSX_TASK_MAY_HAVE_RUN,
                   HS_ERROR_UNKNOWN, 0, NULL, 0, now);
}

static void
park (HsOwner *owner, Part *part, HsWaiter waiter, const hsx_forward_args *args)
{
  Parked parked = { waiter, args };

  if (part->parked == NULL)
    part->parked = g_array_new (FALSE, FALSE, sizeof (Parked));
  g_array_append_val (part->parked, parked);
  g_hash_table_insert (owner->waiters, g_memdup2 (&waiter, sizeof waiter),
                       NULL);
}
