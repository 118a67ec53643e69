/**
 * @file
 * Checks of the system's guarantees, made against the starts that the targets
 * record and against the answers that callers and operators receive.
 */
#ifndef HS_MATRIX_CHECKS_H
#define HS_MATRIX_CHECKS_H

#include "world.h"

/** Descriptions of the first violations of a run. */
#define CHECKS_VIOLATIONS_MAX 4
#define CHECKS_VIOLATION_SIZE 200
extern char checks_violations[CHECKS_VIOLATIONS_MAX][CHECKS_VIOLATION_SIZE];

/** Starts by which a customer may exceed its token bucket, since message
 *  delays can bring starts closer together. */
#define CHECKS_RATE_TOLERANCE 1.5

void checks_begin (void);

/**
 * Records that a target starts a task and checks the start.
 * @param agent the target's agent
 * @param body the task's body as the target received it
 * @return number of the start, for checks_task_ended() and
 *         checks_call_timed_out()
 */
uint32_t
checks_task_started (Proc *agent, const hsx_task_key *key, const char *body);
/** Records that the target no longer runs the task of a start. */
void checks_task_ended (uint32_t start);

/** Records that the agent's call for a start reached the task's timeout. Its
 *  caller is answered, so the task no longer counts as in flight even if the
 *  target still runs it. */
void checks_call_timed_out (uint32_t start);

/** Records that the host of an agent and its target died: none of its tasks
 *  run any more. */
void checks_host_died (const Proc *agent);

/** Records that an agent died while its target lives on. From then on,
 *  owners don't know of the tasks that still run on the target, so these are
 *  not counted as in flight. */
void checks_agent_died (const Proc *agent);

/** Counts the starts of one task, or of all tasks of a job (@p index < 0), in
 *  [@p from, @p to). */
uint32_t checks_count_starts (const char *customer,
                              const char *id,
                              int index,
                              HsTime from,
                              HsTime to);

/** Counts the tasks that run on an agent's target for the agent's present
 *  incarnation, without those whose call timed out. */
uint32_t checks_count_running (const Proc *agent);

/** Checks the list revisions of each entry; called periodically. */
void checks_check_lists (void);

/** Records the violation of a guarantee. */
void checks_report_violation (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Violations, checks made and starts recorded since checks_begin(). */
uint32_t checks_violation_count (void);
uint32_t checks_check_count (void);
uint32_t checks_start_count (void);

#endif
