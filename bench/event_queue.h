/**
 * @file
 * Event queue of the dispatch simulation, in virtual time.
 */
#ifndef HS_BENCH_EVENT_QUEUE_H
#define HS_BENCH_EVENT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "policy/heap.h"
#include "proto/hspoke.h"

/** What happens at the time of the event. */
typedef enum
{
  EVENT_JOB_ARRIVAL, /**< Job a arrives at its entry. */
  EVENT_START,       /**< START of task a reaches target b with a credit. */
  EVENT_TASK_END,    /**< Task a ends in slot c of target b. */
  EVENT_RESULT, /**< The result of task a reaches its entry from target b with
                   run_us and a new credit; if c is 0, the start was refused. */
  EVENT_BORROW_REQUEST, /**< BORROW request of entry a reaches entry b. */
  EVENT_BORROW_REPLY, /**< Reply of entry a reaches entry b: c credits are lent,
                         and idle credits are left. */
  EVENT_GRANT, /**< GRANT of target a, with c credits, reaches entry b. */
  EVENT_GRANT_REFRESH, /**< Target a checks whether to repeat GRANT. */
  EVENT_LOAN_NOTICE,   /**< Target a sends GRANT to entry b, whose lent credits
                          were used. */
  EVENT_WAKE_UP        /**< Timer of entry a. */
} BenchEventKind;

typedef struct
{
  BenchEventKind kind;
  uint32_t a; /**< Meaning of a, b and c: see the kinds. */
  uint32_t b;
  uint32_t c;
  union
  {
    uint32_t idle;   /**< Idle credits left, of EVENT_BORROW_REPLY. */
    uint32_t run_us; /**< Run time, of EVENT_RESULT. */
  };
  hsx_credit credit;
  hsx_borrow_args borrow;
  hsx_credit *credits; /**< Of BORROW_REPLY and GRANT; freed by the handler. */
} BenchEvent;

typedef struct
{
  HsHeap heap;
  BenchEvent *events;  /**< By handle. */
  uint32_t *positions; /**< In the heap, by handle. */
  uint32_t *free_list; /**< Unused handles. */
  uint32_t n_free;
  uint32_t size; /**< Allocated number of events. */
} BenchEventQueue;

/** Adds a copy of an event. @param ctx owner of the memory of the queue */
void bench_event_queue_add (TALLOC_CTX *ctx,
                            BenchEventQueue *queue,
                            HsTime at,
                            const BenchEvent *event);

/** Removes the earliest event; returns false if the queue is empty. */
bool
bench_event_queue_pop (BenchEventQueue *queue, HsTime *at, BenchEvent *event);

#endif
