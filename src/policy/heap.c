#include "policy/heap.h"

static bool precedes (const HsHeapItem *a, const HsHeapItem *b);
static void set_item (HsHeap *heap,
                      uint32_t *positions,
                      uint32_t position,
                      const HsHeapItem *item);
static void sift_up (HsHeap *heap, uint32_t *positions, uint32_t position);
static void sift_down (HsHeap *heap, uint32_t *positions, uint32_t position);

void
hs_heap_push (TALLOC_CTX *ctx,
              HsHeap *heap,
              uint32_t *positions,
              uint32_t handle,
              int64_t key)
{
  if (heap->n == heap->capacity)
    {
      heap->capacity = heap->capacity > 0 ? heap->capacity * 2 : 8;
      heap->items
          = talloc_realloc (ctx, heap->items, HsHeapItem, heap->capacity);
    }
  heap->items[heap->n].key = key;
  heap->items[heap->n].handle = handle;
  positions[handle] = heap->n++;
  sift_up (heap, positions, heap->n - 1);
}

void
hs_heap_remove (HsHeap *heap, uint32_t *positions, uint32_t handle)
{
  uint32_t position = positions[handle];
  HsHeapItem last = heap->items[--heap->n];

  positions[handle] = HS_HEAP_NONE;
  if (position == heap->n)
    return;
  set_item (heap, positions, position, &last);
  sift_up (heap, positions, position);
  sift_down (heap, positions, positions[last.handle]);
}

void
hs_heap_update_key (HsHeap *heap,
                    uint32_t *positions,
                    uint32_t handle,
                    int64_t key)
{
  uint32_t position = positions[handle];

  heap->items[position].key = key;
  sift_up (heap, positions, position);
  sift_down (heap, positions, positions[handle]);
}

static bool
precedes (const HsHeapItem *a, const HsHeapItem *b)
{
  if (a->key != b->key)
    return a->key < b->key;
  return a->handle < b->handle;
}

static void
set_item (HsHeap *heap,
          uint32_t *positions,
          uint32_t position,
          const HsHeapItem *item)
{
  heap->items[position] = *item;
  positions[item->handle] = position;
}

static void
sift_up (HsHeap *heap, uint32_t *positions, uint32_t position)
{
  HsHeapItem item = heap->items[position];

  while (position > 0 && precedes (&item, &heap->items[(position - 1) / 2]))
    {
      set_item (heap, positions, position, &heap->items[(position - 1) / 2]);
      position = (position - 1) / 2;
    }
  set_item (heap, positions, position, &item);
}

static void
sift_down (HsHeap *heap, uint32_t *positions, uint32_t position)
{
  HsHeapItem item = heap->items[position];
  uint32_t child = 2 * position + 1;

  while (child < heap->n)
    {
      if (child + 1 < heap->n
          && precedes (&heap->items[child + 1], &heap->items[child]))
        child++;
      if (!precedes (&heap->items[child], &item))
        break;
      set_item (heap, positions, position, &heap->items[child]);
      position = child;
      child = 2 * position + 1;
    }
  set_item (heap, positions, position, &item);
}
