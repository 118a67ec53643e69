/* Requests of callers: which are served, and how the others are answered. */
#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "direct/entry_private.h"

/** Close to its end, a stopping entry refuses new jobs; those taken before
 *  have this long. The longest usual deadline is 1.5 s. */
#define LAST_JOBS (1700 * HS_MSEC)

/** Deadline of a caller who doesn't tell one. */
#define LEFT_DEFAULT (30 * HS_SEC)

/** Retry-After of an entry that stops or has just woken: another one serves
 *  at once. */
#define RETRY_ELSEWHERE_MS 1000

static void submit (HsDirectEntry *entry,
                    const HsCallerRequest *request,
                    const HsRoute *route,
                    HsTime now);
static void refuse (HsDirectEntry *entry,
                    const HsCallerRequest *request,
                    HsReplyKind kind,
                    const char *why,
                    const char *problem);

void
hs_entry_request (HsDirectEntry *entry, const HsCallerRequest *request)
{
  HsTime now = hs_now ().mono;
  const HsRoute *route = NULL;
  const char *id;

  if (entry->routes == NULL && hs_entry_early_keep (entry, request, now))
    return;
  if (entry->routes == NULL)
    {
      refuse (entry, request, HS_REPLY_REFUSED, "no_configuration", NULL);
      return;
    }
  route = hs_routes_find (entry->routes, request->host, request->path);
  if (route == NULL)
    {
      refuse (entry, request, HS_REPLY_NO_ROUTE, "no_route", NULL);
      return;
    }
  id = request->path + route->prefix_len;
  switch (request->verb)
    {
    case HS_CALLER_SUBMIT:
      submit (entry, request, route, now);
      return;
    case HS_CALLER_FETCH:
      /* A direct job's caller is waiting; nobody else may ask for it. */
      refuse (entry, request,
              id[0] == '\0' ? HS_REPLY_PENDING_COUNT : HS_REPLY_NO_JOB, "fetch",
              NULL);
      return;
    case HS_CALLER_CANCEL:
      refuse (entry, request,
              hs_jobs_cancel (entry->jobs, id, now) ? HS_REPLY_CANCEL_APPLIED
                                                    : HS_REPLY_NO_JOB,
              "cancel", NULL);
      return;
    }
}

static bool
is_id (const char *id)
{
  return id[0] != '\0' && strlen (id) <= HSX_ID_MAX
         && strspn (id, "0123456789abcdefABCDEF") == strlen (id);
}

static void
submit (HsDirectEntry *entry,
        const HsCallerRequest *request,
        const HsRoute *route,
        HsTime now)
{
  const HsCallerJob *job = &request->job;
  HsSubmission out = { .request = request->handle,
                       .id = request->path + route->prefix_len,
                       .customer = route->customer,
                       .service = route->service,
                       .spec = job->spec,
                       .spec_len = job->spec_len,
                       .n_tasks = job->n_tasks,
                       .needs = job->needs,
                       .estimate = job->estimate,
                       .max_failures = route->max_failures,
                       .slack_factor = route->slack_factor,
                       .slack = route->slack };

  if (request->problem != NULL || !is_id (out.id))
    {
      refuse (entry, request, HS_REPLY_INVALID, "invalid",
              request->problem != NULL ? request->problem
                                       : "the id isn't hexadecimal");
      return;
    }
  if (!job->best_effort || job->unsupported_feature != NULL)
    {
      refuse (entry, request, HS_REPLY_REFUSED,
              job->unsupported_feature != NULL ? job->unsupported_feature
                                               : "kept_job",
              NULL);
      return;
    }
  if (now < entry->thaw_until)
    {
      refuse (entry, request, HS_REPLY_REFUSED, "paused", NULL);
      return;
    }
  if (entry->stage == HS_ENTRY_DRAINING
      && now - entry->term_at > entry->settings->grace - LAST_JOBS)
    {
      refuse (entry, request, HS_REPLY_REFUSED, "stopping", NULL);
      return;
    }
  /* A caller that says how long it waits knows better than its route. */
  out.left = request->time_left;
  if (out.left == HS_NEVER)
    out.left = MIN (route->timeout, LEFT_DEFAULT);
  hs_event ("job",
            "job=%s customer=%s tasks=%u cpu_milli=%u estimated_ms=%.0f "
            "left_ms=%.0f timeout_ms=%.0f config_version=%" PRId64,
            out.id, out.customer, out.n_tasks, out.needs.cpu_milli,
            (double) out.estimate / HS_MSEC,
            request->time_left == HS_NEVER
                ? -1
                : (double) request->time_left / HS_MSEC,
            route->timeout == HS_NEVER ? -1 : (double) route->timeout / HS_MSEC,
            hs_routes_version (entry->routes));
  hs_jobs_submit (entry->jobs, &out, now);
  hs_entry_schedule (entry, false);
}

/* Answers without a job; each is logged with what decided it. */
static void
refuse (HsDirectEntry *entry,
        const HsCallerRequest *request,
        HsReplyKind kind,
        const char *why,
        const char *problem)
{
  HsReply reply = { .kind = kind,
                    .retry_after_ms = RETRY_ELSEWHERE_MS,
                    .problem = problem };
  char path[HS_EVENT_TEXT_SIZE];

  hs_event ("request",
            "path=%s verb=%d outcome=%d why=%s config_revision=%" PRId64
            " config_age_ms=%.0f",
            hs_event_text (request->path, path), (int) request->verb,
            (int) kind, why, entry->config_revision,
            (double) (hs_now ().mono - entry->config_at) / HS_MSEC);
  hs_caller_server_reply (entry->callers, request->handle, &reply);
}
