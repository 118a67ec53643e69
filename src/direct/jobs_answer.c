/* How jobs end, and what their callers are told. */
#include <glib.h>

#include "direct/jobs_private.h"

/** Retry-After when there is no estimate of when resources become free. */
#define RETRY_DEFAULT_MS 1000
#define RETRY_MAX_MS 10000

/** Retry-After while evacuations leave no target: they last for minutes, and
 *  their ends take effect within this. */
#define RETRY_EVACUATED_MS 5000

static HsJobAnswer describe (const HsJob *job,
                             HsAnswerKind kind,
                             HsAnswerReason reason,
                             HsTime now);
static uint32_t
retry_delay_ms (const HsJobs *jobs, const HsJob *job, HsTime now);

const char *
hs_answer_reason_name (HsAnswerReason reason)
{
  static const char *const names[] = {
    [HS_REASON_DONE] = "done",
    [HS_REASON_TASK_FAILED] = "task_failed",
    [HS_REASON_CRASHES] = "crashes",
    [HS_REASON_CONTAINED] = "contained",
    [HS_REASON_NO_TARGET] = "no_target",
    [HS_REASON_QUEUE] = "queue",
    [HS_REASON_WAITED] = "waited",
    [HS_REASON_DEADLINE] = "deadline",
    [HS_REASON_TOO_LATE] = "too_late",
    [HS_REASON_TARGET_LOST] = "target_lost",
    [HS_REASON_CALLER_GONE] = "caller_gone",
    [HS_REASON_CANCELLED] = "cancelled",
    [HS_REASON_SENT_AGAIN] = "sent_again",
    [HS_REASON_ID_IN_USE] = "id_in_use",
    [HS_REASON_EVACUATED] = "evacuated",
  };

  return names[reason];
}

void
hs_job_finish (HsJobs *jobs,
               HsJob *job,
               HsAnswerKind kind,
               HsAnswerReason reason,
               HsTime now)
{
  HsJobAnswer answer = describe (job, kind, reason, now);
  char *id_ctx = job->id;
  uint64_t capacity_milli;
  uint32_t i;

  hs_targets_sum_capacity (jobs->targets, job->service, &capacity_milli,
                           &answer.free_milli, now);
  for (i = 0; i < jobs->table_size; i++)
    answer.n_waiting_jobs
        += jobs->table[i].in_use && jobs->table[i].n_waiting > 0;
  answer.wait_time
      = (job->first_sent_at != 0 ? job->first_sent_at : now) - job->arrived_at;
  if (kind == HS_ANSWER_REFUSED)
    answer.retry_after_ms = reason == HS_REASON_EVACUATED
                                ? RETRY_EVACUATED_MS
                                : retry_delay_ms (jobs, job, now);
  for (i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == HS_TASK_SENT)
      {
        hs_targets_get (jobs->targets, job->tasks[i].target)->n_tasks--;
        jobs->effects->stop (jobs->arg, job->tasks[i].target,
                             job->tasks[i].ref);
      }
  if (kind == HS_ANSWER_COMPLETED)
    hs_containment_job_done (jobs->containment, job->containment);
  if (reason != HS_REASON_CALLER_GONE)
    hs_demand_job_ended (jobs->demand, job->customer, job->work_core_s,
                         kind == HS_ANSWER_COMPLETED
                             && answer.total_time <= job->objective);
  job->in_use = false;
  jobs->n_active--;
  jobs->effects->answer (jobs->arg, &answer);
  talloc_free (id_ctx);
}

void
hs_job_give_up (HsJobs *jobs, HsJob *job, HsAnswerReason reason, HsTime now)
{
  bool may_have_run = job->n_sent > 0 || job->n_done > 0 || job->may_have_run;

  hs_job_finish (jobs, job, may_have_run ? HS_ANSWER_LOST : HS_ANSWER_REFUSED,
                 reason, now);
}

/* Answers a job's request as lost, and lets the job go on for another one. */
void
hs_job_hand_over (HsJobs *jobs,
                  HsJob *job,
                  const HsSubmission *submission,
                  HsTime now)
{
  HsJobAnswer answer
      = describe (job, HS_ANSWER_LOST, HS_REASON_SENT_AGAIN, now);

  job->request = submission->request;
  job->deadline = now + submission->time_left;
  job->useless_after
      = MIN (job->deadline, now + HS_USELESS_FACTOR * job->objective);
  jobs->effects->answer (jobs->arg, &answer);
}

/* The parts of an answer that follow from the job alone. */
static HsJobAnswer
describe (const HsJob *job,
          HsAnswerKind kind,
          HsAnswerReason reason,
          HsTime now)
{
  return (HsJobAnswer){ .request = job->request,
                        .kind = kind,
                        .reason = reason,
                        .id = job->id,
                        .customer = job->customer_name,
                        .n_tasks = job->n_tasks,
                        .n_done = job->n_done,
                        .n_starts = job->n_starts,
                        .trial = job->trial,
                        .total_time = now - job->arrived_at,
                        .objective = job->objective,
                        .expected_run_time = job->expected_run_time };
}

static uint32_t
retry_delay_ms (const HsJobs *jobs, const HsJob *job, HsTime now)
{
  HsTime delay = hs_jobs_predict_return (jobs, job, now);

  if (hs_job_is_shut_out (jobs, job))
    delay = MAX (
        RETRY_DEFAULT_MS * HS_MSEC,
        hs_containment_time_left (jobs->containment, job->containment, now));
  if (delay == HS_NEVER)
    return RETRY_DEFAULT_MS;
  return (uint32_t) MIN (delay / HS_MSEC + 1, RETRY_MAX_MS);
}
