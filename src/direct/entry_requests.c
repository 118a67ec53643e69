/* Requests of callers: accepts jobs, and answers all other requests at once. */
#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"

/** A stopping entry refuses new jobs for this long before the end of its grace
 *  period, so that jobs accepted before can finish. The longest usual deadline
 *  is 1.5 s. */
#define LAST_JOB_TIME (1700 * HS_MSEC)

/** Upper bound on the time for a job whose caller sends no deadline. */
#define DEADLINE_DEFAULT (30 * HS_SEC)

/** Retry-After of an entry that is stopping or has just resumed after a pause:
 *  another entry can serve the caller at once. */
#define RETRY_ELSEWHERE_MS 1000

static void submit (HsDirectEntry *entry,
                    const HsCallerRequest *request,
                    const HsRoute *route,
                    HsTime now);
static void cancel (HsDirectEntry *entry,
                    const HsCallerRequest *request,
                    const char *customer,
                    const char *id,
                    HsTime now);
static void reply_without_job (HsDirectEntry *entry,
                               const HsCallerRequest *request,
                               HsReplyKind kind,
                               const char *why,
                               const char *problem);

void
hs_entry_handle_request (HsDirectEntry *entry, const HsCallerRequest *request)
{
  HsTime now = hs_now ().mono;
  const HsRoute *route = NULL;
  const char *id;

  if ((entry->routes == NULL || !hs_entry_evacuations_allow_jobs (entry))
      && hs_entry_held_requests_add (entry, request, now))
    return;
  if (entry->routes == NULL)
    {
      reply_without_job (entry, request, HS_REPLY_REFUSED, "no_configuration",
                         NULL);
      return;
    }
  route = hs_routes_find (entry->routes, request->host, request->path);
  if (route == NULL)
    {
      reply_without_job (entry, request, HS_REPLY_NO_ROUTE, "no_route", NULL);
      return;
    }
  id = request->path + route->path_prefix_len;
  switch (request->verb)
    {
    case HS_CALLER_SUBMIT:
      submit (entry, request, route, now);
      return;
    case HS_CALLER_FETCH:
      /* The caller of a direct job waits for its answer on the submission;
         results are not kept for a later fetch. */
      reply_without_job (entry, request,
                         id[0] == '\0' ? HS_REPLY_PENDING_COUNT
                                       : HS_REPLY_NO_JOB,
                         "fetch", NULL);
      return;
    case HS_CALLER_CANCEL:
      cancel (entry, request, route->customer, id, now);
      return;
    }
}

static bool
is_job_id (const char *id)
{
  return id[0] != '\0' && strlen (id) <= HSX_ID_MAX
         && strspn (id, "0123456789abcdefABCDEF") == strlen (id);
}

/* A job is remembered as cancelled also if no entry has it: its request may
   come after its cancelling. */
static void
cancel (HsDirectEntry *entry,
        const HsCallerRequest *request,
        const char *customer,
        const char *id,
        HsTime now)
{
  if (!is_job_id (id))
    {
      reply_without_job (entry, request, HS_REPLY_NO_JOB, "cancel", NULL);
      return;
    }
  if (hs_jobs_cancel (entry->jobs, customer, id, now))
    {
      hs_entry_cancel_notify (entry, customer, id);
      reply_without_job (entry, request, HS_REPLY_CANCEL_APPLIED, "cancel",
                         NULL);
    }
  else if (!hs_entry_cancel_ask (entry, request->handle, customer, id))
    {
      reply_without_job (entry, request, HS_REPLY_REFUSED, "too_many_cancels",
                         NULL);
      return;
    }
  hs_cancelled_jobs_add (entry->cancelled_jobs, customer, id, now, now);
}

/* Why the entry accepts no new job now; NULL if it does. */
static const char *
reason_to_refuse (const HsDirectEntry *entry, HsTime now)
{
  if (!hs_entry_evacuations_allow_jobs (entry))
    return "no_evacuations";
  if (now < entry->resume_until)
    return "paused";
  if (entry->stage == HS_ENTRY_DRAINING
      && now - entry->stop_requested_at
             > entry->settings->grace - LAST_JOB_TIME)
    return "stopping";
  return NULL;
}

static void
submit (HsDirectEntry *entry,
        const HsCallerRequest *request,
        const HsRoute *route,
        HsTime now)
{
  const HsCallerJob *job = &request->job;
  HsSubmission submission = { .request = request->handle,
                              .id = request->path + route->path_prefix_len,
                              .customer = route->customer,
                              .service = route->service,
                              .spec = job->spec,
                              .spec_len = job->spec_len,
                              .n_tasks = job->n_tasks,
                              .needs = job->needs,
                              .declared_run_time = job->estimate,
                              .max_failures = route->max_failures,
                              .slack_factor = route->slack_factor,
                              .slack = route->slack };
  const char *why;

  if (request->problem != NULL || !is_job_id (submission.id))
    {
      reply_without_job (
          entry, request, HS_REPLY_INVALID, "invalid",
          request->problem != NULL
              ? request->problem
              : "the job id must be 1 to 128 hexadecimal digits");
      return;
    }
  if (!job->best_effort || job->unsupported_feature != NULL)
    {
      reply_without_job (entry, request, HS_REPLY_REFUSED,
                         job->unsupported_feature != NULL
                             ? job->unsupported_feature
                             : "kept_job",
                         NULL);
      return;
    }
  if (hs_cancelled_jobs_has (entry->cancelled_jobs, submission.customer,
                             submission.id, now))
    {
      reply_without_job (entry, request, HS_REPLY_CANCELLED, "cancelled_before",
                         NULL);
      return;
    }
  why = reason_to_refuse (entry, now);
  /* A job in progress goes on for the new request: it isn't refused. */
  if (why != NULL && !hs_jobs_has_job (entry->jobs, submission.id))
    {
      reply_without_job (entry, request, HS_REPLY_REFUSED, why, NULL);
      return;
    }
  /* A deadline sent by the caller takes precedence over the route's timeout. */
  submission.time_left = request->time_left;
  if (submission.time_left == HS_NEVER)
    submission.time_left = MIN (route->timeout, DEADLINE_DEFAULT);
  hs_event ("job",
            "job=%s customer=%s tasks=%u cpu_milli=%u estimated_ms=%.0f "
            "left_ms=%.0f timeout_ms=%.0f config_version=%" PRId64,
            submission.id, submission.customer, submission.n_tasks,
            submission.needs.cpu_milli,
            (double) submission.declared_run_time / HS_MSEC,
            request->time_left == HS_NEVER
                ? -1
                : (double) request->time_left / HS_MSEC,
            route->timeout == HS_NEVER ? -1 : (double) route->timeout / HS_MSEC,
            hs_routes_version (entry->routes));
  hs_jobs_submit (entry->jobs, &submission, now);
  hs_entry_schedule (entry, false);
}

/* Answers a request that starts no job, and logs the reason. */
static void
reply_without_job (HsDirectEntry *entry,
                   const HsCallerRequest *request,
                   HsReplyKind kind,
                   const char *why,
                   const char *problem)
{
  HsReply reply = { .kind = kind,
                    .retry_after_ms = RETRY_ELSEWHERE_MS,
                    .problem = problem };
  char path[HS_EVENT_VALUE_SIZE];

  hs_event ("request",
            "path=%s verb=%d outcome=%d why=%s config_revision=%" PRId64
            " config_age_ms=%.0f",
            hs_event_sanitise (request->path, path), (int) request->verb,
            (int) kind, why, entry->config_revision,
            (double) (hs_now ().mono - entry->config_applied_at) / HS_MSEC);
  hs_caller_server_reply (entry->callers, request->handle, &reply);
}
