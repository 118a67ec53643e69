/**
 * @file
 * Callers. They submit jobs and submit the same id again when a connection
 * breaks, a request times out or an answer asks for it. Some submit an id to
 * two entries at once, submit it with other content, or cancel it.
 */
#ifndef HS_MATRIX_CALLERS_H
#define HS_MATRIX_CALLERS_H

#include "world.h"

/** Makes random jobs and schedules their submission. */
void callers_begin (void);

/** Submits each job with a pending request again, to random entries. */
void callers_resubmit_pending (void);

/** Loses or delays the next request or answer of a caller. */
void callers_lose_next_message (void);
void callers_delay_next_message (HsTime span);

/** Counts the jobs without a final answer or with a pending request. */
uint32_t callers_open_jobs (void);

/** Checks what can only be judged at the end of a run: that each job was
 *  answered, and that nothing ran that was reported as not run. */
void callers_check (void);

/** The run time that a task's body requests. */
HsTime task_run_time (const char *body);

/** The name of customer number @p i. */
const char *customer_name (uint32_t i);

/** Breaks the connections of callers to a process that died. */
void frontend_proc_died (Proc *proc);

/** Counts the requests that an entry accepted and has not answered. */
uint32_t frontend_open_requests (const Proc *proc);

/** Counts the jobs whose tasks were all done. */
uint32_t callers_completed_jobs (void);

#endif
