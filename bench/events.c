#include "events.h"

void
bench_events_add (TALLOC_CTX *ctx,
                  BenchEvents *events,
                  HsTime at,
                  const BenchEvent *event)
{
  uint32_t handle;

  if (events->n_free == 0)
    {
      uint32_t size = events->size * 2 + 1024;

      events->events = talloc_realloc (ctx, events->events, BenchEvent, size);
      events->positions
          = talloc_realloc (ctx, events->positions, uint32_t, size);
      events->free_list
          = talloc_realloc (ctx, events->free_list, uint32_t, size);
      while (size > events->size)
        events->free_list[events->n_free++] = --size;
      events->size = events->size * 2 + 1024;
    }
  handle = events->free_list[--events->n_free];
  events->events[handle] = *event;
  hs_heap_push (ctx, &events->heap, events->positions, handle, at);
}

bool
bench_events_next (BenchEvents *events, HsTime *at, BenchEvent *event)
{
  uint32_t handle;

  if (events->heap.n == 0)
    return false;
  handle = events->heap.items[0].handle;
  *at = events->heap.items[0].key;
  *event = events->events[handle];
  hs_heap_remove (&events->heap, events->positions, handle);
  events->free_list[events->n_free++] = handle;
  return true;
}
