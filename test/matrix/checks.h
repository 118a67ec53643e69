/**
 * @file
 * The promises, judged by the targets' own records of starts, by what
 * callers were told and by what operators were told.
 */
#ifndef HS_MATRIX_CHECKS_H
#define HS_MATRIX_CHECKS_H

#include "world.h"

/** The first broken promises of a run, in words. */
#define CHECKS_VIOLATIONS_MAX 4
#define CHECKS_VIOLATION_SIZE 200
extern char checks_violations[CHECKS_VIOLATIONS_MAX][CHECKS_VIOLATION_SIZE];

/** Starts that messages' delays may bring together. */
#define CHECKS_RATE_TOLERANCE 1.5

void checks_begin (void);

/** A target starts a task. @return names the start for checks_task_ended(). */
uint32_t
checks_task_started (Proc *agent, const hsx_task_key *key, const char *body);
void checks_task_ended (uint32_t start);

/** The agent's call for a start ended at the task's timeout: its caller is
 *  answered, and whatever the target still does isn't in flight any more. */
void checks_call_timed_out (uint32_t start);

/** The host died with what ran on it. */
void checks_host_died (const Proc *agent);

/** The agent's death is known: who runs there can't be counted any more. */
void checks_agent_died (const Proc *agent);

/** Starts of one task, or of all tasks of an id (index < 0), in [from, to). */
uint32_t checks_count_starts (const char *customer,
                              const char *id,
                              int index,
                              HsTime from,
                              HsTime to);

/** Tasks that a living agent's target runs for it. */
uint32_t checks_count_running (const Proc *agent);

/** Looks at each entry's lists; called often. */
void checks_check_lists (void);

/** Notes a broken promise. */
void checks_report_violation (const char *format, ...) G_GNUC_PRINTF (1, 2);

uint32_t checks_violation_count (void);
uint32_t checks_check_count (void);
uint32_t checks_start_count (void);

#endif
