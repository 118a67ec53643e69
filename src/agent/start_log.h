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
#ifndef HS_AGENT_START_LOG_H
#define HS_AGENT_START_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"
#include "proto/hspoke.h"

typedef struct HsStartLog HsStartLog;

/** A record's place in the table, from 1; 0 is no record. */
typedef uint32_t HsRecordHandle;

/** How a started task ended. */
typedef struct
{
  hsx_outcome outcome; /**< HSX_DONE, HSX_FAILED or HSX_MAYBE. */
  uint32_t http_status;
  uint32_t run_us;
  const char *body; /**< Copied. */
  size_t body_len;
} HsTaskCompletion;

/**
 * @param retention span from a start during which its record is kept
 * @param body_bytes bound on all result bodies together
 */
HsStartLog *
hs_start_log_new (TALLOC_CTX *ctx, HsTime retention, uint64_t body_bytes);

/** The record of a task; 0 if it is not known. */
HsRecordHandle hs_start_log_find (const HsStartLog *log,
                                  const hsx_task_key *key);

/** Records a start. The task must not be known. */
HsRecordHandle
hs_start_log_add_start (HsStartLog *log, const hsx_task_key *key, HsTime now);

/** Marks a task as never to start. The task must not be known. */
HsRecordHandle
hs_start_log_add_fence (HsStartLog *log, const hsx_task_key *key, HsTime now);

/** Records the end of a running task; drops old bodies over the bound. */
void hs_start_log_finish (HsStartLog *log,
                          HsRecordHandle handle,
                          const HsTaskCompletion *completion);

/** Forgets a task of which it is certain that it did not start. */
void hs_start_log_remove (HsStartLog *log, HsRecordHandle handle);

/** Drops the records whose retention window has passed. */
void hs_start_log_expire (HsStartLog *log, HsTime now);

/**
 * Describes a record. The strings and the body belong to the memory and
 * are valid until it is changed; `next` is NULL. A fenced task reads
 * HSX_REFUSED with HSX_REFUSAL_FENCED.
 */
void hs_start_log_get_result (const HsStartLog *log,
                              HsRecordHandle handle,
                              hsx_result *result);

/**
 * The next record after @p after (0 to begin) whose partition is set in
 * @p parts, or 0 at the end. Records may be added or dropped between calls;
 * one that was there at the first call and still is, is not missed.
 * @param parts one flag a partition, HSX_PARTS_MAX of them
 */
HsRecordHandle hs_start_log_next (const HsStartLog *log,
                                  HsRecordHandle after,
                                  const bool *parts);

/** Seconds back to which every start is remembered. */
uint32_t hs_start_log_retention_s (const HsStartLog *log);

/** Records held, and bytes of their bodies. */
size_t hs_start_log_count (const HsStartLog *log);
uint64_t hs_start_log_body_bytes (const HsStartLog *log);

#endif
