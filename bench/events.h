/**
 * @file
 * The bench's queue of events in fake time.
 */
#ifndef HS_BENCH_EVENTS_H
#define HS_BENCH_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "policy/heap.h"
#include "proto/hspoke.h"

typedef enum
{
  EVENT_JOB,     /**< a: job. */
  EVENT_START,   /**< a: task, b: target; credit. */
  EVENT_END,     /**< a: task, b: target, c: slot. */
  EVENT_RESULT,  /**< a: task, b: target, c: accepted; credit. */
  EVENT_ASK,     /**< a: from, b: to; borrow. */
  EVENT_ANSWER,  /**< a: from, b: to, c: n; credits, idle. */
  EVENT_GRANT,   /**< a: target, b: entry, c: n; credits. */
  EVENT_REFRESH, /**< a: target. */
  EVENT_NOTICE,  /**< a: target, b: entry. */
  EVENT_TICK     /**< a: entry. */
} BenchEventKind;

typedef struct
{
  BenchEventKind kind;
  uint32_t a;
  uint32_t b;
  uint32_t c;
  uint32_t idle;
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
} BenchEvents;

void bench_events_add (TALLOC_CTX *ctx,
                       BenchEvents *events,
                       HsTime at,
                       const BenchEvent *event);

/** Takes the earliest event; false if there is none. */
bool bench_events_next (BenchEvents *events, HsTime *at, BenchEvent *event);

#endif
