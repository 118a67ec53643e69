#include "event_queue.h"

void
bench_event_queue_add (TALLOC_CTX *ctx,
                       BenchEventQueue *queue,
                       HsTime at,
                       const BenchEvent *event)
{
  uint32_t handle;

  if (queue->n_free == 0)
    {
      uint32_t size = queue->size * 2 + 1024;

      queue->events = talloc_realloc (ctx, queue->events, BenchEvent, size);
      queue->positions = talloc_realloc (ctx, queue->positions, uint32_t, size);
      queue->free_list = talloc_realloc (ctx, queue->free_list, uint32_t, size);
      while (size > queue->size)
        queue->free_list[queue->n_free++] = --size;
      queue->size = queue->size * 2 + 1024;
    }
  handle = queue->free_list[--queue->n_free];
  queue->events[handle] = *event;
  hs_heap_push (ctx, &queue->heap, queue->positions, handle, at);
}

bool
bench_event_queue_pop (BenchEventQueue *queue, HsTime *at, BenchEvent *event)
{
  uint32_t handle;

  if (queue->heap.n == 0)
    return false;
  handle = queue->heap.items[0].handle;
  *at = queue->heap.items[0].key;
  *event = queue->events[handle];
  hs_heap_remove (&queue->heap, queue->positions, handle);
  queue->free_list[queue->n_free++] = handle;
  return true;
}
