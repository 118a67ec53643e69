/**
 * @file
 * Compares what clients were told with what the targets recorded.
 */
#ifndef LOAD_VERIFY_H
#define LOAD_VERIFY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef struct
{
  uint64_t jobs;
  uint64_t tasks;
  uint64_t started_twice;       /**< Tasks. */
  uint64_t partial;             /**< Answers. */
  uint64_t crossed;             /**< Answers. */
  uint64_t false_not_run;       /**< Tasks and refusals. */
  uint64_t cut_by_planned_stop; /**< Tasks and requests. */
  uint64_t unanswered;          /**< Requests with their retries. */
  uint64_t done_without_end;    /**< Tasks told done that did not end. */
  uint64_t not_submitted;       /**< Tasks started that nobody submitted. */
} VerifyCounts;

typedef struct Verify Verify;

Verify *verify_new (void);
void verify_free (Verify *verify);

/**
 * Takes the lines of one target's record: "start KEY T" and "end KEY T".
 * @param planned the target was stopped gracefully; what it started must end
 */
void verify_add_record (Verify *verify, const char *text, bool planned);

/**
 * Takes one line of the file of jobs. After all records.
 * @param planned_entries the indexes of entries that were stopped gracefully
 * @return false if the line is malformed
 */
bool verify_add_job (Verify *verify,
                     const char *line,
                     const int *planned_entries,
                     size_t n_planned);

/** The sum; after all jobs. */
VerifyCounts verify_finish (Verify *verify);

/** Where promises were broken, one line each; owned by @p verify. */
const char *verify_findings (const Verify *verify);

/** Whether every promise was kept. */
bool verify_passed (const VerifyCounts *counts);

/** Reads DIR/NAME.rec and the jobs, prints the verdict; exit status. */
int verify_main (int argc, char **argv);

#endif
