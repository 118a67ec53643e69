/**
 * @file
 * Whether a new job is accepted.
 */
#include "base/error.h"
#include "owner/internal.h"

/** Jobs of ordinary size, and the part of the memory for jobs that is left to
 *  them. */
#define ORDINARY_BYTES 16384
#define ORDINARY_DIVISOR 8

/** When a job that had no memory is submitted again. */
#define MEMORY_RETRY_AFTER HS_SEC

static const char *task_refusal_reason (HsOwner *owner,
                                        const Customer *customer,
                                        const hsx_task *task,
                                        HsNow now,
                                        unsigned int *kind);
static bool has_memory_for (const HsOwner *owner, size_t bytes);

bool
admit_job (HsOwner *owner,
           HsWaiter waiter,
           const hsx_forward_args *args,
           bool never_started,
           HsNow now)
{
  Customer *customer = customer_find_or_add (owner, args->customer, now);
  const HsAllowance *allowance = &customer->allowance;
  uint32_t n = args->tasks.tasks_len;
  unsigned int kind = HS_ERROR_INVALID;
  const char *reason = NULL;
  HsTime retry_after = 0;
  uint32_t queue_capacity;
  uint32_t i;

  if (!customer->has_plan)
    {
      refuse_request (
          owner, waiter, HS_ERROR_NOT_FOUND, never_started, 0,
          "the customer has no plan with an allowance; ask an operator");
      return false;
    }
  for (i = 0; i < n && reason == NULL; i++)
    reason = task_refusal_reason (owner, customer, &args->tasks.tasks_val[i],
                                  now, &kind);
  if (n == 0 || n > allowance->tasks_per_job)
    {
      kind = HS_ERROR_TOO_LARGE;
      reason = "the job has more tasks than the plan allows; split it";
    }
  /* Tasks that may start at once do not count against the queue limit. */
  queue_capacity = allowance->queued;
  if (allowance->in_flight > customer->in_flight)
    queue_capacity += allowance->in_flight - customer->in_flight;
  if (reason == NULL && never_started && customer->queued + n > queue_capacity)
    {
      kind = HS_ERROR_LIMIT;
      reason = "the customer's queue is full; retry after the time given";
      retry_after = CLAMP ((HsTime) customer->queued * HS_SEC
                               / MAX (1, (HsTime) allowance->starts_per_s),
                           HS_SEC / 10, 60 * HS_SEC);
    }
  if (reason == NULL && !has_memory_for (owner, job_bytes (args)))
    {
      kind = HS_ERROR_UNAVAILABLE;
      reason = "no memory for more jobs now; retry after the time given";
      retry_after = MEMORY_RETRY_AFTER;
    }
  if (reason == NULL)
    return true;
  refuse_request (owner, waiter, kind, never_started, retry_after, reason);
  return false;
}

static const char *
task_refusal_reason (HsOwner *owner,
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

/* Large jobs leave some of the memory to ordinary ones. */
static bool
has_memory_for (const HsOwner *owner, size_t bytes)
{
  uint64_t bytes_max = owner->config.unfinished_bytes_max;

  if (bytes_max == 0)
    return true;
  if (bytes > ORDINARY_BYTES)
    bytes_max -= bytes_max / ORDINARY_DIVISOR;
  return owner->unfinished_bytes + bytes <= bytes_max;
}
