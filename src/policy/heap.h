/**
 * @file
 * A binary heap of handles ordered by key, smallest first; equal keys by
 * handle. Positions are kept in a table that several heaps may share, as long
 * as a handle is in at most one of them.
 */
#ifndef HS_POLICY_HEAP_H
#define HS_POLICY_HEAP_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

/** Position of a handle that is in no heap. */
#define HS_HEAP_NONE UINT32_MAX

typedef struct
{
  int64_t key;
  uint32_t handle;
} HsHeapItem;

typedef struct
{
  HsHeapItem *items; /**< talloc array; free it with its context. */
  uint32_t n;
  uint32_t capacity;
} HsHeap;

/** Adds a handle; @p positions must have room for it. */
void hs_heap_push (TALLOC_CTX *ctx,
                   HsHeap *heap,
                   uint32_t *positions,
                   uint32_t handle,
                   int64_t key);

/** Takes a handle out; it must be in this heap. */
void hs_heap_remove (HsHeap *heap, uint32_t *positions, uint32_t handle);

/** Gives a handle of this heap another key. */
void hs_heap_update_key (HsHeap *heap,
                         uint32_t *positions,
                         uint32_t handle,
                         int64_t key);

#endif
