/**
 * @file
 * A binary heap of handles, ordered by key with the smallest first; equal keys
 * are ordered by handle. The position of each handle is stored in a table of
 * the caller. Several heaps may share one table if a handle is in at most one
 * of them.
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
  HsHeapItem *items; /**< talloc array; freed with its context. */
  uint32_t n;
  uint32_t capacity;
} HsHeap;

/** Adds a handle, which must be an index of @p positions. */
void hs_heap_push (TALLOC_CTX *ctx,
                   HsHeap *heap,
                   uint32_t *positions,
                   uint32_t handle,
                   int64_t key);

/** Removes a handle, which must be in this heap. */
void hs_heap_remove (HsHeap *heap, uint32_t *positions, uint32_t handle);

/** Changes the key of a handle, which must be in this heap. */
void hs_heap_update_key (HsHeap *heap,
                         uint32_t *positions,
                         uint32_t handle,
                         int64_t key);

#endif
