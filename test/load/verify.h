/**
 * @file
 * Compares the answers that clients got with the records of the targets.
 */
#ifndef LOAD_VERIFY_H
#define LOAD_VERIFY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Counts; all but jobs and tasks are violations of a guarantee. */
typedef struct
{
  uint64_t jobs;
  uint64_t tasks;
  uint64_t started_twice; /**< Tasks started more than once. */
  uint64_t partial;       /**< Incomplete or contradictory answers. */
  uint64_t crossed;       /**< Answers with data of another job. */
  uint64_t false_not_run; /**< Tasks and refusals reported as not run, whose
                             tasks were started. */
  uint64_t cut_by_planned_stop; /**< Tasks and requests interrupted by a
                                   graceful stop. */
  uint64_t unanswered; /**< Requests without an answer after all retries. */
  uint64_t done_without_end; /**< Tasks reported as done that did not end. */
  uint64_t not_submitted;    /**< Tasks started that were not submitted. */
} VerifyCounts;

typedef struct Verify Verify;

Verify *verify_new (void);
void verify_free (Verify *verify);

/**
 * Adds the record of one target: lines "start KEY T" and "end KEY T", with KEY
 * CUSTOMER/ID/INDEX and T in microseconds.
 * @param planned the target was stopped gracefully, so that the tasks it
 *         started must end
 */
void verify_add_record (Verify *verify, const char *text, bool planned);

/**
 * Checks one line of the file of jobs. To be called after all records were
 * added.
 * @param planned_entries indices of the entries that were stopped gracefully
 * @return false if the line is malformed
 */
bool verify_add_job (Verify *verify,
                     const char *line,
                     const int *planned_entries,
                     size_t n_planned);

/**
 * Checks the records as a whole and returns the counts. To be called after all
 * jobs were added, once.
 */
VerifyCounts verify_finish (Verify *verify);

/** Returns the violations found, one per line; owned by @p verify. */
const char *verify_findings (const Verify *verify);

/** Returns whether no violation was counted. */
bool verify_passed (const VerifyCounts *counts);

/**
 * Runs "hs-load verify": reads the records and the jobs and prints the counts.
 * Returns the exit status: 0 without violations, 1 with some or after an error,
 * 2 for wrong options.
 */
int verify_main (int argc, char **argv);

#endif
