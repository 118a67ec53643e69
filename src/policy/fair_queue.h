/**
 * @file
 * The queue of tasks that wait at their owner, shared fairly between customers.
 *
 * Between flows, one for each customer: start-time fair queueing. A flow is
 * charged the expected run time of each task divided by its weight and, when
 * the task ends, the difference to the actual run time. Within a flow, jobs are
 * ordered by HsJobOrder, and the tasks of a job keep their order. All
 * operations are O(log n). A flow that has reached a limit leaves the heap of
 * ready flows and costs nothing until it may start tasks again.
 */
#ifndef HS_POLICY_FAIR_QUEUE_H
#define HS_POLICY_FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

#define HS_FLOW_NONE UINT32_MAX

typedef struct HsFairQueue HsFairQueue;

/** Which job of a flow is served first. */
typedef enum
{
  HS_JOBS_EARLIEST_END, /**< Earliest sum of arrival time and expected run time
                           of the whole job first. */
  HS_JOBS_ROUND_ROBIN,  /**< One task of each job in turn. */
  HS_JOBS_FIFO          /**< In order of arrival. */
} HsJobOrder;

/** Decision of the caller on the next task of a flow. */
typedef enum
{
  HS_START_TASK,       /**< The task is popped. */
  HS_START_DEFER_FLOW, /**< The flow is at a limit; skip it until ready_at. */
  HS_START_DEFER_JOB,  /**< No credit matches; skip the job until ready_at. */
  HS_START_NONE        /**< No credit is left; end the pop without changes. */
} HsStartDecision;

/**
 * Decides whether a task is popped. The function also takes what the start
 * consumes (a token, a credit): the task is popped if and only if it returns
 * HS_START_TASK.
 * @param ready_at preset to HS_NEVER; when to ask again. A deferred flow is
 *        also asked again after hs_fair_queue_wake_flow(), and a deferred job
 *        after hs_fair_queue_wake_jobs()
 */
typedef HsStartDecision (*HsStartDecisionFunc) (void *arg,
                                                uint32_t flow,
                                                uint32_t task,
                                                HsTime now,
                                                HsTime *ready_at);

/** A task that was popped. */
typedef struct
{
  uint32_t task;
  uint32_t flow;
  HsTime charged; /**< Run time charged to the flow; pass it to
                     hs_fair_queue_task_ended(). */
} HsPoppedTask;

HsFairQueue *hs_fair_queue_new (TALLOC_CTX *ctx, HsJobOrder order);

/**
 * Adds a flow and returns its handle, the smallest free number. A weight of 0
 * counts as 1.
 */
uint32_t hs_fair_queue_add_flow (HsFairQueue *q, uint32_t weight);

/** Changes the weight of a flow from its next task on. 0 counts as 1. */
void hs_fair_queue_set_weight (HsFairQueue *q, uint32_t flow, uint32_t weight);

/** Removes a flow; returns false if it still has waiting tasks. */
bool hs_fair_queue_remove_flow (HsFairQueue *q, uint32_t flow);

/**
 * Adds the tasks of one job, in order.
 * @param tasks small integer handles chosen by the caller, which index a table;
 *        none of the tasks may be waiting already
 * @param declared declared run times, 0 where there is none; may be NULL
 */
void hs_fair_queue_push (HsFairQueue *q,
                         uint32_t flow,
                         HsTime now,
                         uint32_t n,
                         const uint32_t *tasks,
                         const HsTime *declared);

/**
 * Removes the next task that may start.
 * @param decide called for each candidate with @p arg
 * @return false if no task can start now
 */
bool hs_fair_queue_pop (HsFairQueue *q,
                        HsTime now,
                        HsStartDecisionFunc decide,
                        void *arg,
                        HsPoppedTask *popped);

/**
 * Removes a waiting task, for example a cancelled or expired one; returns false
 * if it isn't waiting.
 */
bool hs_fair_queue_remove (HsFairQueue *q, uint32_t task);

/**
 * Corrects the charge to the flow by the actual run time of a task that ended.
 * @param declared as passed to hs_fair_queue_push()
 * @param charged as returned by hs_fair_queue_pop()
 * @param run the actual run time
 */
void hs_fair_queue_task_ended (HsFairQueue *q,
                               uint32_t flow,
                               HsTime declared,
                               HsTime charged,
                               HsTime run);

/** Ends HS_START_DEFER_FLOW for a flow: the next pop asks for it again. */
void hs_fair_queue_wake_flow (HsFairQueue *q, uint32_t flow);

/**
 * Ends HS_START_DEFER_JOB for all jobs. To be called when a credit of another
 * kind has become available.
 */
void hs_fair_queue_wake_jobs (HsFairQueue *q);

/**
 * Returns when a deferred flow or job is to be asked for again; HS_NEVER if
 * none is.
 */
HsTime hs_fair_queue_wake_at (const HsFairQueue *q);

/**
 * Returns the expected run time of a task of this flow.
 * @param declared its declared run time, 0 if there is none
 */
HsTime hs_fair_queue_expected_run (const HsFairQueue *q,
                                   uint32_t flow,
                                   HsTime declared);

/** Returns the number of waiting tasks. */
uint32_t hs_fair_queue_length (const HsFairQueue *q);

/**
 * Returns the number of waiting tasks that lack only a credit: their flow is
 * at no limit and their job isn't deferred.
 */
uint32_t hs_fair_queue_ready_length (const HsFairQueue *q);

/** Returns the number of waiting tasks of one flow. */
uint32_t hs_fair_queue_flow_length (const HsFairQueue *q, uint32_t flow);

/**
 * Returns the sum of the weights of the flows that have tasks counted by
 * hs_fair_queue_ready_length().
 */
uint32_t hs_fair_queue_ready_weight (const HsFairQueue *q);

#endif
