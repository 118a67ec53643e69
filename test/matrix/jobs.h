/**
 * @file
 * Callers: submit jobs, resubmit the same id when a connection breaks, a
 * request times out or an answer asks for it, sometimes twice at once, with
 * other content, or cancel.
 */
#ifndef HS_MATRIX_JOBS_H
#define HS_MATRIX_JOBS_H

#include "world.h"

/** Draws the cell's jobs and schedules them. */
void jobs_begin (void);

/** Submits one job again, at once and to another entry. */
void jobs_duplicate (void);

/** The next request or answer of a caller is lost, or comes late. */
void jobs_lose_next (void);
void jobs_delay_next (HsTime span);

/** Jobs whose caller has no final answer yet. */
uint32_t jobs_open (void);

/** Finds violations that show only at the end. */
void jobs_check (void);

/** The run time that a task's body asks for. */
HsTime job_run_span (const char *body);

/** The name of a customer. */
const char *job_customer (uint32_t i);

/** Connections of callers to this process break. */
void front_proc_died (Proc *proc);

/** Requests that an entry has not answered. */
uint32_t front_open (const Proc *proc);

/** Final answers, for the report. */
uint32_t jobs_complete (void);

#endif
