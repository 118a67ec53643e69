/**
 * @file
 * Tables of the fair queue: flows, jobs and tasks by handle. For
 * fair_queue.c only.
 */
#ifndef HS_POLICY_FAIR_QUEUE_TABLES_H
#define HS_POLICY_FAIR_QUEUE_TABLES_H

#include "policy/fair_queue.h"
#include "policy/heap.h"
#include "policy/run_time.h"

#define HS_FQ_NONE UINT32_MAX

typedef enum
{
  FLOW_FREE,
  FLOW_IDLE,    /* No job that could be asked. */
  FLOW_READY,   /* In the ready heap, keyed by start tag. */
  FLOW_DEFERRED /* In the waiting heap, keyed by ready_at. */
} FlowState;

typedef struct
{
  FlowState state;
  uint32_t weight;
  uint32_t n_tasks;
  uint32_t n_deferred;  /* Tasks of jobs that are set aside. */
  uint32_t n_ready;     /* As counted in the queue. */
  int64_t start_tag;    /* Start tag of the next task, in virtual time. */
  int64_t last_job_key; /* Round robin: tag of the job last served. */
  HsRunTimeEstimator run_time;
  HsHeap jobs;
} Flow;

typedef struct
{
  uint32_t flow; /* The next free job while free. */
  uint32_t first_task;
  uint32_t last_task;
  uint32_t n_tasks;
  bool is_deferred;
  int64_t key;
} Job;

typedef struct
{
  uint32_t job; /* HS_FQ_NONE: not waiting. */
  uint32_t prev;
  uint32_t next;
  HsTime declared;
} Task;

struct HsFairQueue
{
  HsJobOrder order;
  int64_t virtual_time;
  uint32_t n_tasks;
  uint32_t n_ready;
  uint32_t ready_weight;
  uint32_t first_free_job;
  uint32_t n_flows;
  uint32_t jobs_size;
  uint32_t tasks_size;
  Flow *flows;
  Job *jobs;
  Task *tasks; /* Indexed by the caller's handle. */
  uint32_t *flow_positions;
  uint32_t *job_positions;
  HsHeap ready_flows;
  HsHeap deferred_flows;
  HsHeap deferred_jobs;
};

/** Makes room for a flow. */
void hs_fq_reserve_flow (HsFairQueue *q, uint32_t flow);

/** Makes room for a task; new ones don't wait. */
void hs_fq_reserve_task (HsFairQueue *q, uint32_t task);

/** Takes an empty job from the free list. */
uint32_t hs_fq_job_new (HsFairQueue *q, uint32_t flow);

/** Gives a job back. */
void hs_fq_job_free (HsFairQueue *q, uint32_t job);

/** Adds a task at the end of a job. */
void hs_fq_job_append (HsFairQueue *q, uint32_t job, uint32_t task);

/** Takes a task out of its job. */
void hs_fq_job_unlink (HsFairQueue *q, uint32_t task);

#endif
