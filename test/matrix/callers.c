#include "fake_frontend.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/uuid7.h"
#include "checks.h"

#define JOBS_MAX 30
#define TASKS_MAX 6
/** A caller abandons a request after this time and submits the id again. */
#define CALLER_TIMEOUT (8 * HS_SEC)
/** Of two concurrent requests of one id, one may overtake the other by at most
 *  this. */
#define RACE_WINDOW (50 * HS_MSEC)
#define FIRST_SUBMIT (800 * HS_MSEC)
#define LAST_SUBMIT (7 * HS_SEC)

typedef struct
{
  uint32_t customer;
  char id[HS_UUID_SIZE + 8];
  uint32_t n_tasks;
  uint32_t run_ms[TASKS_MAX];
  uint32_t pending; /* Requests whose answer the caller waits for. */
  bool final;
  bool gave_up; /* The caller accepted the answer "not run". */
  bool asked_again;
  HsTime last_sent;
  hsx_answer *answer; /* The first final one. */
} Job;

/* A task or job that an answer reported as not run. */
typedef struct
{
  uint32_t job;
  int index; /* Below 0: the whole job. */
  HsTime at;
  bool concurrent; /* Other requests of the id were pending or sent later. */
} NotRunReport;

static Job jobs[JOBS_MAX];
static uint32_t n_jobs;
static uint32_t n_complete;
static GArray *not_run_reports;

static void draw_job (uint32_t number);
static void on_submit_due (void *arg);
static void submit (uint32_t job, Proc *entry, uint32_t variant, hsx_verb verb);
static hsx_forward_args *
make_args (TALLOC_CTX *ctx, const Job *job, uint32_t variant, hsx_verb verb);
static void on_caller_timeout (void *arg);
static void resubmit_later (uint32_t job, HsTime span);
static void on_resubmit (void *arg);
static void handle_answer (Request *request);
static void check_answer (const Request *request);
static void check_consistent (const Job *job, const Request *request);
static void handle_refusal (Request *request);
static void note_not_run (const Request *request, int index);
static Proc *other_entry (const Proc *entry);
static char *
format_body (TALLOC_CTX *ctx, const Job *job, uint32_t index, uint32_t variant);
static uint32_t *box_number (uint32_t number);

void
callers_begin (void)
{
  uint32_t i;

  frontend_begin ();
  memset (jobs, 0, sizeof jobs);
  n_jobs = JOBS_MAX;
  n_complete = 0;
  if (not_run_reports != NULL)
    g_array_unref (not_run_reports);
  not_run_reports = g_array_new (FALSE, FALSE, sizeof (NotRunReport));
  for (i = 0; i < n_jobs; i++)
    draw_job (i);
}

void
callers_resubmit_pending (void)
{
  uint32_t i;

  for (i = 0; i < n_jobs; i++)
    if (jobs[i].pending > 0 && !jobs[i].final)
      submit (i, world_entry (sim_random (WORLD_ENTRIES)), 0, HSX_SUBMIT);
}

uint32_t
callers_open_jobs (void)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < n_jobs; i++)
    if (!jobs[i].final || jobs[i].pending > 0)
      n++;
  return n;
}

uint32_t
callers_completed_jobs (void)
{
  return n_complete;
}

void
callers_check (void)
{
  uint32_t i;

  for (i = 0; i < n_jobs; i++)
    if (!jobs[i].final)
      checks_report_violation ("job %s/%s was never answered",
                               customer_name (jobs[i].customer), jobs[i].id);
  for (i = 0; i < not_run_reports->len; i++)
    {
      const NotRunReport *report
          = &g_array_index (not_run_reports, NotRunReport, i);
      const Job *job = &jobs[report->job];
      const char *customer = customer_name (job->customer);
      HsTime race = report->concurrent ? RACE_WINDOW : 0;

      if (checks_count_starts (customer, job->id, report->index, 0,
                               report->at - race)
          > 0)
        checks_report_violation (
            "%s/%s/%d was reported as not run, but had run", customer, job->id,
            report->index);
      if (!report->concurrent && job->last_sent <= report->at
          && checks_count_starts (customer, job->id, report->index, report->at,
                                  HS_NEVER)
                 > 0)
        checks_report_violation (
            "%s/%s/%d ran after it was reported as not run", customer, job->id,
            report->index);
    }
}

HsTime
task_run_time (const char *body)
{
  return strtol (strrchr (body, '/') + 1, NULL, 10) * HS_MSEC;
}

const char *
customer_name (uint32_t i)
{
  static const char *const NAMES[WORLD_CUSTOMERS]
      = { "suva", "lautoka", "galway", "clifden" };

  return NAMES[i];
}

void
request_answered (Request *request)
{
  if (request->answer->state == HSX_JOB_RUNNING)
    checks_report_violation ("%s was answered before it was finished",
                             request->args->id);
  check_answer (request);
  if (request->finished)
    return;
  request->finished = true;
  jobs[request->job].pending--;
  if (request->answer->state == HSX_JOB_REFUSED)
    handle_refusal (request);
  else
    handle_answer (request);
}

void
request_broken (Request *request)
{
  const Job *job = &jobs[request->job];

  if (request->finished)
    return;
  request->finished = true;
  jobs[request->job].pending--;
  sim_trace ("caller of %s: connection broken", request->args->id);
  if (!job->final && job->pending == 0)
    resubmit_later (request->job, sim_random_time (50, 300) * HS_MSEC);
}

static void
draw_job (uint32_t number)
{
  Job *job = &jobs[number];
  HsTime at = sim_random_time (FIRST_SUBMIT, LAST_SUBMIT);
  uint8_t random[HS_UUID7_RANDOM_SIZE];
  uint32_t i;

  for (i = 0; i < sizeof random; i++)
    random[i] = (uint8_t) sim_random (256);
  job->customer = sim_random (WORLD_CUSTOMERS);
  job->n_tasks = 1 + sim_random (TASKS_MAX);
  for (i = 0; i < job->n_tasks; i++)
    job->run_ms[i] = 20 + sim_random (sim_random (4) == 0 ? 900 : 200);
  if (sim_random (4) == 0)
    g_snprintf (job->id, sizeof job->id, "order-%u", number);
  else
    hs_uuid7_format (WORLD_WALL_MS + at / HS_MSEC, random, job->id);
  sim_schedule (at, NULL, on_submit_due, box_number (number), false);
}

/* One job in eight is submitted to two entries at once, one in twelve also
   with other content, and one in ten is cancelled. */
static void
on_submit_due (void *arg)
{
  uint32_t number = *(uint32_t *) arg;
  Proc *entry = world_entry (sim_random (WORLD_ENTRIES));

  submit (number, entry, 0, HSX_SUBMIT);
  if (sim_random (8) == 0)
    submit (number, other_entry (entry), 0, HSX_SUBMIT);
  if (sim_random (12) == 0)
    submit (number, other_entry (entry), 1, HSX_SUBMIT);
  if (sim_random (10) == 0)
    submit (number, entry, 0, HSX_CANCEL);
}

static void
submit (uint32_t number, Proc *entry, uint32_t variant, hsx_verb verb)
{
  Job *job = &jobs[number];
  Request *request = talloc_zero (sim_memory (), Request);

  request->job = number;
  request->variant = variant;
  request->entry = entry;
  request->args = make_args (request, job, variant, verb);
  request->sent_at = sim_now ();
  job->last_sent = sim_now ();
  job->pending++;
  sim_trace ("caller: %s %s/%s (%u tasks) at %s",
             verb == HSX_SUBMIT ? "submits" : "cancels",
             customer_name (job->customer), job->id, job->n_tasks, entry->name);
  sim_schedule (sim_now () + CALLER_TIMEOUT, NULL, on_caller_timeout, request,
                false);
  frontend_send (request);
}

static hsx_forward_args *
make_args (TALLOC_CTX *ctx, const Job *job, uint32_t variant, hsx_verb verb)
{
  hsx_forward_args *args = talloc_zero (ctx, hsx_forward_args);
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize len = HSX_DIGEST_SIZE;
  uint32_t i;

  args->verb = verb;
  args->customer = talloc_strdup (args, customer_name (job->customer));
  args->id = talloc_strdup (args, job->id);
  if (verb == HSX_SUBMIT)
    {
      args->tasks.tasks_len = job->n_tasks;
      args->tasks.tasks_val = talloc_zero_array (args, hsx_task, job->n_tasks);
    }
  for (i = 0; i < args->tasks.tasks_len; i++)
    {
      hsx_task *task = &args->tasks.tasks_val[i];

      task->body.body_val = format_body (args, job, i, variant);
      task->body.body_len = (u_int) strlen (task->body.body_val);
      task->idempotent = i % 2 == 0;
      task->run_ms = job->run_ms[i];
      g_checksum_update (sum, (guchar *) task->body.body_val,
                         task->body.body_len);
    }
  g_checksum_get_digest (sum, (guint8 *) args->digest, &len);
  g_checksum_free (sum);
  return args;
}

static void
on_caller_timeout (void *arg)
{
  Request *request = arg;
  Job *job = &jobs[request->job];

  if (request->finished)
    return;
  request->finished = true;
  job->pending--;
  sim_trace ("caller of %s: timeout", job->id);
  if (!job->final && job->pending == 0)
    resubmit_later (request->job, 0);
}

static void
resubmit_later (uint32_t job, HsTime span)
{
  sim_schedule (sim_now () + span, NULL, on_resubmit, box_number (job), false);
}

static void
on_resubmit (void *arg)
{
  submit (*(uint32_t *) arg, world_entry (sim_random (WORLD_ENTRIES)), 0,
          HSX_SUBMIT);
}

static void
handle_answer (Request *request)
{
  Job *job = &jobs[request->job];

  if (request->variant != 0 || request->args->verb != HSX_SUBMIT)
    {
      if (!job->final && job->pending == 0)
        resubmit_later (request->job, HS_SEC / 10);
      return;
    }
  if (job->answer != NULL)
    {
      check_consistent (job, request);
      return;
    }
  job->answer = request->answer;
  job->final = true;
  if (request->answer->state == HSX_JOB_COMPLETE)
    n_complete++;
  if (sim_random (5) == 0)
    resubmit_later (request->job, sim_random_time (HS_SEC / 2, 3 * HS_SEC));
}

/* Checks that an answer has all tasks, that each result belongs to this
   request's content, and that the job's state agrees with its tasks'. */
static void
check_answer (const Request *request)
{
  const hsx_answer *answer = request->answer;
  const Job *job = &jobs[request->job];
  bool all_done = true;
  u_int i;

  if (answer->state == HSX_JOB_REFUSED)
    return;
  if (answer->tasks.tasks_len != job->n_tasks)
    checks_report_violation ("the answer to %s has %u of %u tasks", job->id,
                             answer->tasks.tasks_len, job->n_tasks);
  for (i = 0; i < answer->tasks.tasks_len; i++)
    {
      const hsx_task_answer *task = &answer->tasks.tasks_val[i];
      char *body = format_body (NULL, job, i, request->variant);
      char *expected = talloc_asprintf (body, "done:%s", body);

      if (task->state != HSX_TASK_DONE)
        all_done = false;
      else if (request->args->verb == HSX_SUBMIT
               && (task->body.body_len != strlen (expected)
                   || memcmp (task->body.body_val, expected, strlen (expected))
                          != 0))
        checks_report_violation (
            "the answer to %s/%u has another task's result", job->id, i);
      if (task->state == HSX_TASK_NOT_RUN)
        note_not_run (request, (int) i);
      if (faults_is_fault_free () && task->state != HSX_TASK_DONE
          && task->kind != HS_ERROR_CANCELLED)
        checks_report_violation (
            "%s/%u wasn't done, without any fault: state %d kind %u", job->id,
            i, (int) task->state, task->kind);
      talloc_free (body);
    }
  if (all_done != (answer->state == HSX_JOB_COMPLETE))
    checks_report_violation ("the answer to %s is marked %s", job->id,
                             all_done ? "failed" : "complete");
}

static void
check_consistent (const Job *job, const Request *request)
{
  u_int i;

  for (i = 0; i < job->n_tasks; i++)
    if (job->answer->tasks.tasks_val[i].state == HSX_TASK_DONE
        && (request->answer->tasks.tasks_val[i].state == HSX_TASK_NOT_RUN))
      checks_report_violation (
          "%s/%u was reported as done and later as not run", job->id, i);
}

static void
handle_refusal (Request *request)
{
  Job *job = &jobs[request->job];
  const hsx_answer *answer = request->answer;

  if (answer->not_run)
    note_not_run (request, -1);
  if (job->final || job->pending > 0)
    return;
  switch (answer->kind)
    {
    case HS_ERROR_CONFLICT:
      if (request->variant == 0)
        {
          job->final = true;
          return;
        }
      break;
    case HS_ERROR_EXPIRED:
      checks_report_violation (
          "%s was refused as expired within the retention period", job->id);
      job->final = true;
      return;
    default:
      break;
    }
  if (answer->not_run && request->variant == 0 && sim_random (2) == 0)
    {
      job->final = true;
      return;
    }
  resubmit_later (request->job, CLAMP (answer->retry_after_ms * HS_MSEC,
                                       HS_SEC / 5, 2 * HS_SEC));
}

static void
note_not_run (const Request *request, int index)
{
  NotRunReport report
      = { request->job, index, request->answered_at,
          jobs[request->job].pending > (request->finished ? 0 : 1)
              || jobs[request->job].last_sent > request->sent_at };

  g_array_append_val (not_run_reports, report);
}

static Proc *
other_entry (const Proc *entry)
{
  return world_entry ((entry->number + 1 + sim_random (WORLD_ENTRIES - 1))
                      % WORLD_ENTRIES);
}

static char *
format_body (TALLOC_CTX *ctx, const Job *job, uint32_t index, uint32_t variant)
{
  return talloc_asprintf (ctx, "%s/%s/%u/%u/%u", customer_name (job->customer),
                          job->id, index, variant, job->run_ms[index]);
}

static uint32_t *
box_number (uint32_t number)
{
  uint32_t *box = talloc (sim_memory (), uint32_t);

  *box = number;
  return box;
}
