#include "policy/fair_queue_tables.h"

static uint32_t grown_size (uint32_t size, uint32_t minimum);

void
hs_fq_reserve_flow (HsFairQueue *q, uint32_t flow)
{
  uint32_t size;

  if (flow < talloc_array_length (q->flows))
    return;
  size = grown_size (q->n_flows, flow + 1);
  q->flows = talloc_realloc (q, q->flows, Flow, size);
  q->flow_positions = talloc_realloc (q, q->flow_positions, uint32_t, size);
}

uint32_t
hs_fq_job_new (HsFairQueue *q, uint32_t flow)
{
  uint32_t job = q->first_free_job;
  uint32_t i;

  if (job == HS_FQ_NONE)
    {
      uint32_t size = grown_size (q->jobs_size, 0);

      q->jobs = talloc_realloc (q, q->jobs, Job, size);
      q->job_positions = talloc_realloc (q, q->job_positions, uint32_t, size);
      for (i = size; i-- > q->jobs_size;)
        {
          q->jobs[i].flow = q->first_free_job;
          q->first_free_job = i;
        }
      job = q->jobs_size;
      q->jobs_size = size;
    }
  q->first_free_job = q->jobs[job].flow;
  q->jobs[job] = (Job){ .flow = flow,
                        .first_task = HS_FQ_NONE,
                        .last_task = HS_FQ_NONE };
  return job;
}

void
hs_fq_job_free (HsFairQueue *q, uint32_t job)
{
  q->jobs[job].flow = q->first_free_job;
  q->first_free_job = job;
}

void
hs_fq_job_append (HsFairQueue *q, uint32_t job, uint32_t task)
{
  Job *j = &q->jobs[job];
  Task *t = &q->tasks[task];

  t->job = job;
  t->prev = j->last_task;
  t->next = HS_FQ_NONE;
  if (j->last_task == HS_FQ_NONE)
    j->first_task = task;
  else
    q->tasks[j->last_task].next = task;
  j->last_task = task;
  j->n_tasks++;
}

void
hs_fq_reserve_task (HsFairQueue *q, uint32_t task)
{
  uint32_t size;

  if (task < q->tasks_size)
    return;
  size = grown_size (q->tasks_size, task + 1);
  q->tasks = talloc_realloc (q, q->tasks, Task, size);
  for (; q->tasks_size < size; q->tasks_size++)
    q->tasks[q->tasks_size].job = HS_FQ_NONE;
}

void
hs_fq_job_unlink (HsFairQueue *q, uint32_t task)
{
  Task *t = &q->tasks[task];
  Job *j = &q->jobs[t->job];

  if (t->prev != HS_FQ_NONE)
    q->tasks[t->prev].next = t->next;
  else
    j->first_task = t->next;
  if (t->next != HS_FQ_NONE)
    q->tasks[t->next].prev = t->prev;
  else
    j->last_task = t->prev;
  t->job = HS_FQ_NONE;
  j->n_tasks--;
}

static uint32_t
grown_size (uint32_t size, uint32_t minimum)
{
  size = size > 0 ? size * 2 : 64;
  return size > minimum ? size : minimum;
}
