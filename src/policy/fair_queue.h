/**
 * @file
 * Tasks that wait at their owner, shared fairly between customers.
 *
 * Between flows (one a customer): start-time fair queueing. A flow is charged
 * the expected run time of each task over its weight, and the difference to
 * the real run time when the task ends. Within a flow: jobs by HsJobOrder,
 * tasks of a job in order. All operations are O(log n); a flow at its limits
 * leaves the ready heap and costs nothing until it may start again.
 */
#ifndef HS_POLICY_FAIR_QUEUE_H
#define HS_POLICY_FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

#define HS_FLOW_NONE UINT32_MAX

typedef struct HsFairQueue HsFairQueue;

/** Which job of a flow goes first. */
typedef enum
{
  HS_JOBS_EARLIEST_END, /**< By arrival plus whole expected run time. */
  HS_JOBS_ROUND_ROBIN,  /**< One task of each job in turn. */
  HS_JOBS_FIFO          /**< In order of arrival. */
} HsJobOrder;

/** What the caller says of the task that is next in a flow. */
typedef enum
{
  HS_START_TASK,       /**< Yes: it is popped. */
  HS_START_DEFER_FLOW, /**< The flow is at a limit; skip it until ready_at. */
  HS_START_DEFER_JOB,  /**< No credit fits; skip the job until ready_at. */
  HS_START_NONE        /**< No credit at all; end the pop and change nothing. */
} HsStartDecision;

/**
 * Asked before a task is popped; takes what it permits (tokens, a credit),
 * since the task is popped if and only if the answer is HS_START_TASK.
 * @param ready_at set by the caller to HS_NEVER; when to ask again. A waiting
 *        flow is also asked again after hs_fair_queue_wake_flow()
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
  HsTime charged; /**< For hs_fair_queue_task_ended(). */
} HsPoppedTask;

HsFairQueue *hs_fair_queue_new (TALLOC_CTX *ctx, HsJobOrder order);

/** Adds a flow; its handle is the smallest free number. */
uint32_t hs_fair_queue_add_flow (HsFairQueue *q, uint32_t weight);

/** Changes the weight, from the next task on. 0 counts as 1. */
void hs_fair_queue_set_weight (HsFairQueue *q, uint32_t flow, uint32_t weight);

/** Drops an empty flow; false if tasks still wait in it. */
bool hs_fair_queue_remove_flow (HsFairQueue *q, uint32_t flow);

/**
 * Adds the tasks of one job, in order.
 * @param tasks the caller's handles, small numbers, none of them waiting yet:
 *        they index a table
 * @param declared run times, 0 where not declared; NULL: none is
 */
void hs_fair_queue_push (HsFairQueue *q,
                         uint32_t flow,
                         HsTime now,
                         uint32_t n,
                         const uint32_t *tasks,
                         const HsTime *declared);

/** Takes the next task that may start; false if there is none now. */
bool hs_fair_queue_pop (HsFairQueue *q,
                        HsTime now,
                        HsStartDecisionFunc may_start,
                        void *arg,
                        HsPoppedTask *popped);

/** Takes a waiting task out (cancelled, expired); false if not waiting. */
bool hs_fair_queue_remove (HsFairQueue *q, uint32_t task);

/**
 * Corrects the flow's account by the real run time.
 * @param declared as pushed; @param charged as popped
 */
void hs_fair_queue_task_ended (HsFairQueue *q,
                               uint32_t flow,
                               HsTime declared,
                               HsTime charged,
                               HsTime run);

/** Asks a flow at HS_START_DEFER_FLOW again at the next pop. */
void hs_fair_queue_wake_flow (HsFairQueue *q, uint32_t flow);

/** Asks every job that HS_START_DEFER_JOB again; for a credit of a new kind. */
void hs_fair_queue_wake_jobs (HsFairQueue *q);

/** When a waiting flow or job is to be asked again; HS_NEVER if none. */
HsTime hs_fair_queue_wake_at (const HsFairQueue *q);

/** The expected run time of a task with this declared run time. */
HsTime hs_fair_queue_expected_run (const HsFairQueue *q,
                                   uint32_t flow,
                                   HsTime declared);

/**
 * Tasks waiting in all; of these, those that lack nothing but a credit (their
 * flow is at no limit, their job isn't set aside); all of one flow.
 */
uint32_t hs_fair_queue_length (const HsFairQueue *q);
uint32_t hs_fair_queue_ready_length (const HsFairQueue *q);
uint32_t hs_fair_queue_flow_length (const HsFairQueue *q, uint32_t flow);

/** Sum of the weights of the flows that hs_fair_queue_ready_length() counts. */
uint32_t hs_fair_queue_ready_weight (const HsFairQueue *q);

#endif
