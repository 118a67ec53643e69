/**
 * @file
 * The bench's queue of events in fake time.
 */
#ifndef HS_BENCH_EVENT_QUEUE_H
#define HS_BENCH_EVENT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "policy/heap.h"
#include "proto/hspoke.h"

typedef enum
{
  EVENT_JOB_ARRIVAL,    /**< a: job. */
  EVENT_START,          /**< a: task, b: target; credit. */
  EVENT_TASK_END,       /**< a: task, b: target, c: slot. */
  EVENT_RESULT,         /**< a: task, b: target, c: accepted; credit. */
  EVENT_BORROW_REQUEST, /**< a: from, b: to; borrow. */
  EVENT_BORROW_REPLY,   /**< a: from, b: to, c: n; credits, idle. */
  EVENT_GRANT,          /**< a: target, b: entry, c: n; credits. */
  EVENT_GRANT_REFRESH,  /**< a: target. */
  EVENT_LOAN_NOTICE,    /**< a: target, b: entry. */
  EVENT_WAKE_UP         /**< a: entry. */
} BenchEventKind;

typedef struct
{
  BenchEventKind kind;
  uint32_t a;
  uint32_t b;
  uint32_t c;
  union
  {
    uint32_t idle;
    uint32_t run_us;
  };
  hsx_credit credit;
  hsx_borrow_args borrow;
  hsx_credit *credits; /**< Owned by the event; freed by its handler. */
} BenchEvent;

typedef struct
{
  HsHeap heap;
  BenchEvent *events;
  uint32_t *positions;
  uint32_t *free_list;
  uint32_t n_free;
  uint32_t size;
} BenchEventQueue;

void bench_event_queue_add (TALLOC_CTX *ctx,
                            BenchEventQueue *queue,
                            HsTime at,
                            const BenchEvent *event);

/** Takes the earliest event; false if there is none. */
bool
bench_event_queue_pop (BenchEventQueue *queue, HsTime *at, BenchEvent *event);

#endif
