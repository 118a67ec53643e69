/**
 * @file
 * Callers: submit jobs, resubmit the same id when a connection breaks, a
 * request times out or an answer asks for it, sometimes twice at once, with
 * other content, or cancel.
 */
#ifndef HS_MATRIX_CALLERS_H
#define HS_MATRIX_CALLERS_H

#include "world.h"

/** Draws the cell's jobs and schedules them. */
void callers_begin (void);

/** Submits one job again, at once and to another entry. */
void callers_resubmit_pending (void);

/** The next request or answer of a caller is lost, or comes late. */
void callers_lose_next_message (void);
void callers_delay_next_message (HsTime span);

/** Jobs whose caller has no final answer yet. */
uint32_t callers_open_jobs (void);

/** Finds violations that show only at the end. */
void callers_check (void);

/** The run time that a task's body asks for. */
HsTime task_run_time (const char *body);

/** The name of a customer. */
const char *customer_name (uint32_t i);

/** Connections of callers to this process break. */
void frontend_proc_died (Proc *proc);

/** Requests that an entry has not answered. */
uint32_t frontend_open_requests (const Proc *proc);

/** Final answers, for the report. */
uint32_t callers_completed_jobs (void);

#endif
