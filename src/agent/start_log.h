/**
 * @file
 * The start log of an agent: a record of each task that it started and of
 * its result. A task with a record is never started again, and a new owner
 * of a partition reads the records after a takeover. Pure: no I/O, time is an
 * argument.
 *
 * Limits: a record is retained while its task runs, and at least for the
 * retention period counted from its start. Result bodies are limited in
 * bytes; the oldest are evicted first. A record whose body was evicted is
 * reported as HSX_MAYBE, so that its job is marked as failed and is never
 * answered with only a part of its results.
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

/** Index of a record in the log, from 1; 0 is no record. */
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
 * @param retention time from a start for which its record is retained
 * @param body_bytes limit on the sum of all result bodies
 */
HsStartLog *
hs_start_log_new (TALLOC_CTX *ctx, HsTime retention, uint64_t body_bytes);

/** The record of a task; 0 if it has none. */
HsRecordHandle hs_start_log_find (const HsStartLog *log,
                                  const hsx_task_key *key);

/** Records a start. The task must not have a record. */
HsRecordHandle
hs_start_log_add_start (HsStartLog *log, const hsx_task_key *key, HsTime now);

/**
 * Records that a task must never start on this agent. The task must not have
 * a record.
 */
HsRecordHandle
hs_start_log_add_fence (HsStartLog *log, const hsx_task_key *key, HsTime now);

/**
 * Records the end of a running task, and evicts the oldest bodies until all
 * bodies together are within the limit.
 */
void hs_start_log_finish (HsStartLog *log,
                          HsRecordHandle handle,
                          const HsTaskCompletion *completion);

/** Removes the record of a task that is known not to have started. */
void hs_start_log_remove (HsStartLog *log, HsRecordHandle handle);

/** Removes records past the retention period whose tasks no longer run. */
void hs_start_log_expire (HsStartLog *log, HsTime now);

/**
 * Describes a record. The strings and the body belong to the log and are
 * valid until it is changed; `next` is NULL. A fenced task is reported as
 * HSX_REFUSED with HSX_REFUSAL_FENCED.
 */
void hs_start_log_get_result (const HsStartLog *log,
                              HsRecordHandle handle,
                              hsx_result *result);

/**
 * Finds the next record after @p after (0 to begin) whose partition is set in
 * @p parts. Records may be added or removed between calls: the iteration
 * finds each record that exists from its first call to its last.
 * @param parts one flag per partition, HSX_PARTS_MAX of them
 * @return 0 at the end
 */
HsRecordHandle hs_start_log_next (const HsStartLog *log,
                                  HsRecordHandle after,
                                  const bool *parts);

/** The retention period in seconds. Each task started within it has a record,
 *  except those known not to have run. */
uint32_t hs_start_log_retention_s (const HsStartLog *log);

/** Number of records, and the sum of their bodies in bytes. */
size_t hs_start_log_count (const HsStartLog *log);
uint64_t hs_start_log_body_bytes (const HsStartLog *log);

#endif
