/**
 * @file
 * The tables of flows, jobs and tasks of the fair queue, indexed by handle.
 * Internal to the fair queue.
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
  FLOW_IDLE,    /* Has no job that is not deferred. */
  FLOW_READY,   /* In ready_flows, keyed by start_tag. */
  FLOW_DEFERRED /* In deferred_flows, keyed by ready_at. */
} FlowState;

typedef struct
{
  FlowState state;
  uint32_t weight;
  uint32_t n_tasks;
  uint32_t n_deferred;  /* Tasks of deferred jobs. */
  uint32_t n_ready;     /* Tasks counted in HsFairQueue.n_ready. */
  int64_t start_tag;    /* Virtual start time of the next task. */
  int64_t last_job_key; /* Round robin: key of the job served last. */
  HsRunTimeEstimator run_time;
  HsHeap jobs;
} Flow;

typedef struct
{
  uint32_t flow; /* While the job is unused: the next free job. */
  uint32_t first_task;
  uint32_t last_task;
  uint32_t n_tasks;
  bool is_deferred;
  int64_t key;
} Job;

typedef struct
{
  uint32_t job; /* HS_FQ_NONE: the task isn't waiting. */
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

/** Grows the table of flows to hold this handle. */
void hs_fq_reserve_flow (HsFairQueue *q, uint32_t flow);

/** Grows the table of tasks to hold this handle; new tasks aren't waiting. */
void hs_fq_reserve_task (HsFairQueue *q, uint32_t task);

/** Takes a job without tasks from the free list. */
uint32_t hs_fq_job_new (HsFairQueue *q, uint32_t flow);

/** Returns a job to the free list. */
void hs_fq_job_free (HsFairQueue *q, uint32_t job);

/** Appends a task to a job. */
void hs_fq_job_append (HsFairQueue *q, uint32_t job, uint32_t task);

/** Removes a task from its job. */
void hs_fq_job_unlink (HsFairQueue *q, uint32_t task);

#endif
