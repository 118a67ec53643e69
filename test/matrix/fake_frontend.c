/* The HTTP front end for callers; replaces entry/frontend.c. */

#include <string.h>

#include "fake_frontend.h"
#include "mutants.h"

struct HsFrontend
{
  Proc *proc;
  HsFrontendSubmitFunc submit;
  void *arg;
  bool draining;
};

static GPtrArray *open_requests; /* Unanswered. */
static bool lose_next_message;
static HsTime next_message_delay;

static void on_arrival (void *arg);
static bool refuses_request (const HsFrontend *front);
static void on_answer (void *arg);
static void on_broken (void *arg);
static void break_later (Request *request, HsTime span);
static HsJobRequest *make_job_request (const Request *request);
static hsx_answer *copy_answer (TALLOC_CTX *ctx, const hsx_answer *answer);

void
frontend_begin (void)
{
  g_clear_pointer (&open_requests, g_ptr_array_unref);
  open_requests = g_ptr_array_new ();
  lose_next_message = false;
  next_message_delay = 0;
}

void
callers_lose_next_message (void)
{
  lose_next_message = true;
}

void
callers_delay_next_message (HsTime span)
{
  next_message_delay = span;
}

void
frontend_send (Request *request)
{
  Proc *entry = request->entry;

  if (!entry->alive)
    {
      break_later (request, entry->host_dead ? NET_TIMEOUT : NET_DELAY);
      return;
    }
  g_ptr_array_add (open_requests, request);
  sim_schedule (sim_now () + NET_DELAY, entry, on_arrival, request, false);
}

void
frontend_proc_died (Proc *proc)
{
  HsTime span = proc->host_dead ? NET_TIMEOUT : NET_DELAY;
  guint i;

  for (i = open_requests->len; i > 0; i--)
    {
      Request *request = open_requests->pdata[i - 1];

      if (request->entry != proc)
        continue;
      request->job_request = NULL;
      g_ptr_array_remove_index_fast (open_requests, i - 1);
      break_later (request, span);
    }
  proc->front = NULL;
}

uint32_t
frontend_open_requests (const Proc *proc)
{
  uint32_t n = 0;
  guint i;

  for (i = 0; i < open_requests->len; i++)
    {
      const Request *request = open_requests->pdata[i];

      if (request->entry == proc && request->job_request != NULL)
        n++;
    }
  return n;
}

HsFrontend *
hs_frontend_new (TALLOC_CTX *ctx,
                 const HsEntrySettings *settings,
                 HsPublishedLists *lists,
                 HsFrontendSubmitFunc submit,
                 void *arg,
                 GError **error)
{
  HsFrontend *front = talloc_zero (ctx, HsFrontend);
  HsCore *core = arg;

  (void) settings;
  (void) lists;
  (void) error;
  front->proc = core->ev->proc;
  front->submit = submit;
  front->arg = arg;
  front->proc->front = front;
  return front;
}

void
hs_frontend_post_answer (HsJobRequest *call)
{
  Request *request = NULL;
  guint i;

  for (i = 0; i < open_requests->len; i++)
    if (((Request *) open_requests->pdata[i])->job_request == call)
      request = open_requests->pdata[i];
  if (request == NULL || !proc_is_running (request->entry)
      || !fault_before (STEP_ANSWER, request->entry, NULL, NULL))
    return;
  g_ptr_array_remove_fast (open_requests, request);
  request->answer = copy_answer (request, call->answer);
  mutant_alter_answer (request->answer);
  request->answered_at = sim_now ();
  request->job_request = NULL;
  sim_trace ("answer to %s/%s: state %d kind %u%s %s", request->args->customer,
             request->args->id, (int) call->answer->state, call->answer->kind,
             call->answer->not_run ? " not run" : "", call->answer->reason);
  if (lose_next_message)
    break_later (request, NET_DELAY);
  else
    sim_schedule (sim_now () + NET_DELAY + next_message_delay, NULL, on_answer,
                  request, false);
  lose_next_message = false;
  next_message_delay = 0;
  fault_after (STEP_ANSWER, request->entry, NULL, NULL);
  talloc_free (call);
}

void
hs_frontend_drain (HsFrontend *front)
{
  front->draining = true;
}

bool
hs_frontend_is_idle (const HsFrontend *front)
{
  return frontend_open_requests (front->proc) == 0;
}

void
hs_frontend_response_counts (const HsFrontend *front, uint64_t n[6])
{
  (void) front;
  memset (n, 0, 6 * sizeof n[0]);
}

void
hs_frontend_free (HsFrontend *front)
{
  (void) front;
}

static void
on_arrival (void *arg)
{
  Request *request = arg;
  Proc *entry = request->entry;
  HsFrontend *front = entry->front;

  if (request->job_request != NULL
      || !g_ptr_array_find (open_requests, request, NULL))
    return;
  if (next_message_delay > 0)
    {
      sim_schedule (sim_now () + next_message_delay, entry, on_arrival, request,
                    false);
      next_message_delay = 0;
      return;
    }
  if (front == NULL || refuses_request (front) || lose_next_message)
    {
      lose_next_message = false;
      g_ptr_array_remove_fast (open_requests, request);
      break_later (request, NET_DELAY);
      return;
    }
  if (!fault_before (STEP_ACCEPT, entry, NULL, NULL))
    return;
  request->job_request = make_job_request (request);
  front->submit (front->arg, request->job_request);
  entry->ev.wake (&entry->ev, NULL, TEVENT_FD_READ, entry->ev.wake_arg);
  if (entry->front == front)
    fault_after (STEP_ACCEPT, entry, NULL, NULL);
}

/* A draining front end still accepts requests on connections that were open
   before. */
static bool
refuses_request (const HsFrontend *front)
{
  return front->draining && sim_random (2) == 0;
}

static void
on_answer (void *arg)
{
  request_answered (arg);
}

static void
on_broken (void *arg)
{
  request_broken (arg);
}

static void
break_later (Request *request, HsTime span)
{
  sim_schedule (sim_now () + span, NULL, on_broken, request, false);
}

static HsJobRequest *
make_job_request (const Request *request)
{
  HsJobRequest *call = talloc_zero (NULL, HsJobRequest);
  const hsx_forward_args *from = request->args;
  hsx_forward_args *args = talloc_memdup (call, from, sizeof *from);
  u_int i;

  call->arrived = hs_now ();
  call->args = args;
  args->customer = talloc_strdup (args, from->customer);
  args->id = talloc_strdup (args, from->id);
  args->tasks.tasks_val = talloc_memdup (
      args, from->tasks.tasks_val, from->tasks.tasks_len * sizeof (hsx_task));
  for (i = 0; i < args->tasks.tasks_len; i++)
    {
      hsx_task *task = &args->tasks.tasks_val[i];

      task->body.body_val
          = talloc_memdup (args, task->body.body_val, task->body.body_len);
    }
  return call;
}

static hsx_answer *
copy_answer (TALLOC_CTX *ctx, const hsx_answer *answer)
{
  hsx_answer *copy = talloc_memdup (ctx, answer, sizeof *answer);
  u_int i;

  copy->reason = talloc_strdup (copy, answer->reason);
  copy->tasks.tasks_val
      = talloc_memdup (copy, answer->tasks.tasks_val,
                       answer->tasks.tasks_len * sizeof (hsx_task_answer));
  for (i = 0; i < answer->tasks.tasks_len; i++)
    copy->tasks.tasks_val[i].body.body_val
        = talloc_memdup (copy, answer->tasks.tasks_val[i].body.body_val,
                         answer->tasks.tasks_val[i].body.body_len);
  return copy;
}
