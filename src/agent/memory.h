/**
 * @file
 * What an agent remembers of the tasks it started: the authority that makes
 * a second start of a task impossible and that a new owner reads after a
 * takeover. Pure: no I/O, time is an argument.
 *
 * Bounds: a record is kept for at least the retention window counted from
 * its start, and as long as it runs. Result bodies are bounded in bytes; the
 * oldest are dropped first, and a record whose body was dropped is reported
 * as HSX_MAYBE, so that its job is marked failed and never answered in part.
 */
#ifndef HS_AGENT_MEMORY_H
#define HS_AGENT_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

typedef struct HsMemory HsMemory;

/** A record's place in the table, from 1; 0 is no record. */
typedef uint32_t HsTaskHandle;

/** How a started task ended. */
typedef struct
{
  hsx_outcome outcome; /**< HSX_DONE, HSX_FAILED or HSX_MAYBE. */
  uint32_t http_status;
  uint32_t run_us;
  const char *body; /**< Copied. */
  size_t body_len;
} HsFinish;

/**
 * @param retention span from a start during which its record is kept
 * @param body_bytes bound on all result bodies together
 */
HsMemory *
hs_memory_new (TALLOC_CTX *ctx, HsTime retention, uint64_t body_bytes);

/** The record of a task; 0 if it is not known. */
HsTaskHandle hs_memory_find (const HsMemory *memory, const hsx_task_key *key);

/** Records a start. The task must not be known. */
HsTaskHandle
hs_memory_start (HsMemory *memory, const hsx_task_key *key, HsTime now);

/** Marks a task as never to start. The task must not be known. */
HsTaskHandle
hs_memory_fence (HsMemory *memory, const hsx_task_key *key, HsTime now);

/** Records the end of a running task; drops old bodies over the bound. */
void hs_memory_finish (HsMemory *memory,
                       HsTaskHandle handle,
                       const HsFinish *finish);

/** Forgets a task of which it is certain that it did not start. */
void hs_memory_remove (HsMemory *memory, HsTaskHandle handle);

/** Drops the records whose retention window has passed. */
void hs_memory_expire (HsMemory *memory, HsTime now);

/**
 * Describes a record. The strings and the body belong to the memory and
 * are valid until it is changed; `next` is NULL. A fenced task reads
 * HSX_REFUSED with HSX_REFUSAL_FENCED.
 */
void hs_memory_result (const HsMemory *memory,
                       HsTaskHandle handle,
                       hsx_result *result);

/**
 * The next record after @p after (0 to begin) whose partition is set in
 * @p parts, or 0 at the end. Records may be added or dropped between calls;
 * one that was there at the first call and still is, is not missed.
 * @param parts one flag a partition, HSX_PARTS_MAX of them
 */
HsTaskHandle
hs_memory_next (const HsMemory *memory, HsTaskHandle after, const bool *parts);

/** Seconds back to which every start is remembered. */
uint32_t hs_memory_remembers_s (const HsMemory *memory);

/** Records held, and bytes of their bodies. */
size_t hs_memory_count (const HsMemory *memory);
uint64_t hs_memory_body_bytes (const HsMemory *memory);

#endif
