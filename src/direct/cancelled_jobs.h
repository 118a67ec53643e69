/**
 * @file
 * The jobs that were cancelled lately, at this entry or another one.
 *
 * Load pattern: a quarter of several hundred jobs a second is cancelled, and
 * single requests for such jobs arrive again seconds after their answers, at
 * any entry, or for the first time after the cancelling. The job stays
 * cancelled: nothing of it starts. A job is its customer and id, whatever it
 * consists of.
 */
#ifndef HS_DIRECT_CANCELLED_JOBS_H
#define HS_DIRECT_CANCELLED_JOBS_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/time.h"

/** How long a cancelled job is remembered. Callers send a job again 1.3 s after
 *  a lost answer, and a request was seen to arrive again after 5.5 s. The id
 *  can't be used for another job meanwhile, so this is not much longer. */
#define HS_CANCELLED_JOBS_SPAN (60 * HS_SEC)

/** Number of jobs remembered: a quarter of 845 jobs/s, the highest demand on a
 *  deployment, for the whole span is 12,675. Takes 4 MB with ids of 16 digits,
 *  and 7 MB with the longest names. */
#define HS_CANCELLED_JOBS_MAX 16384

typedef struct HsCancelledJobs HsCancelledJobs;

/** A cancelled job; the strings belong to the table. */
typedef struct
{
  const char *customer;
  const char *id;
  HsTime cancelled_at;
} HsCancelledJob;

/** Creates an empty table, owned by @p ctx. */
HsCancelledJobs *hs_cancelled_jobs_new (TALLOC_CTX *ctx);

/** Remembers a job, or that it was cancelled again later. If the table is full,
 * the one added first is dropped.
 *  @param cancelled_at by this process's clock; may be in the past
 *  @return whether this wasn't known */
bool hs_cancelled_jobs_add (HsCancelledJobs *jobs,
                            const char *customer,
                            const char *id,
                            HsTime cancelled_at,
                            HsTime now);

/** Whether the job was cancelled within HS_CANCELLED_JOBS_SPAN. */
bool hs_cancelled_jobs_has (const HsCancelledJobs *jobs,
                            const char *customer,
                            const char *id,
                            HsTime now);

/** Lists the jobs that were cancelled at @p since or later, those added last
 *  first; the strings are valid until the next addition.
 *  @return their number, at most @p max */
uint32_t hs_cancelled_jobs_list (const HsCancelledJobs *jobs,
                                 HsTime since,
                                 HsCancelledJob *list,
                                 uint32_t max);

/** Number of jobs in the table. */
uint32_t hs_cancelled_jobs_count (const HsCancelledJobs *jobs);

#endif
