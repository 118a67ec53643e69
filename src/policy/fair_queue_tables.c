#include "policy/fair_queue_tables.h"

static uint32_t grow (uint32_t size, uint32_t least);

void
hs_fq_reserve_flow (HsFairQueue *q, uint32_t flow)
{
  uint32_t size;

  if (flow < talloc_array_length (q->flows))
    return;
  size = grow (q->n_flows, flow + 1);
  q->flows = talloc_realloc (q, q->flows, Flow, size);
  q->flow_positions = talloc_realloc (q, q->flow_positions, uint32_t, size);
}

uint32_t
hs_fq_job_new (HsFairQueue *q, uint32_t flow)
{
  uint32_t job = q->free_job;
  uint32_t i;

  if (job == HS_FQ_NONE)
    {
      uint32_t size = grow (q->n_jobs, 0);

      q->jobs = talloc_realloc (q, q->jobs, Job, size);
      q->job_positions = talloc_realloc (q, q->job_positions, uint32_t, size);
      for (i = size; i-- > q->n_jobs;)
        {
          q->jobs[i].flow = q->free_job;
          q->free_job = i;
        }
      job = q->n_jobs;
      q->n_jobs = size;
    }
  q->free_job = q->jobs[job].flow;
  q->jobs[job] = (Job){ .flow = flow, .first = HS_FQ_NONE, .last = HS_FQ_NONE };
  return job;
}

void
hs_fq_job_free (HsFairQueue *q, uint32_t job)
{
  q->jobs[job].flow = q->free_job;
  q->free_job = job;
}

void
hs_fq_job_append (HsFairQueue *q, uint32_t job, uint32_t task)
{
  Job *j = &q->jobs[job];
  Task *t = &q->tasks[task];

  t->job = job;
  t->prev = j->last;
  t->next = HS_FQ_NONE;
  if (j->last == HS_FQ_NONE)
    j->first = task;
  else
    q->tasks[j->last].next = task;
  j->last = task;
  j->n++;
}

void
hs_fq_reserve_task (HsFairQueue *q, uint32_t task)
{
  uint32_t size;

  if (task < q->n_nodes)
    return;
  size = grow (q->n_nodes, task + 1);
  q->tasks = talloc_realloc (q, q->tasks, Task, size);
  for (; q->n_nodes < size; q->n_nodes++)
    q->tasks[q->n_nodes].job = HS_FQ_NONE;
}

void
hs_fq_job_unlink (HsFairQueue *q, uint32_t task)
{
  Task *t = &q->tasks[task];
  Job *j = &q->jobs[t->job];

  if (t->prev != HS_FQ_NONE)
    q->tasks[t->prev].next = t->next;
  else
    j->first = t->next;
  if (t->next != HS_FQ_NONE)
    q->tasks[t->next].prev = t->prev;
  else
    j->last = t->prev;
  t->job = HS_FQ_NONE;
  j->n--;
}

static uint32_t
grow (uint32_t size, uint32_t least)
{
  size = size > 0 ? size * 2 : 64;
  return size > least ? size : least;
}
