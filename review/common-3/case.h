/**
 * @file
 * What the scripts of this review share: a record, plain HTTP connections and
 * the runs that the targets have printed.
 */
#ifndef REVIEW_COMMON_3_CASE_H
#define REVIEW_COMMON_3_CASE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "test/platform_cluster.h"

#define CASE_RUNS_MAX 4096

/** Exit statuses of a script. */
enum
{
  CASE_HELD = 0,
  CASE_BROKEN = 1,
  CASE_FAILED = 2
};

/** A job as its caller sends it. */
typedef struct
{
  const char *id;
  const char *spec;
  unsigned int n_tasks;
  unsigned int cpu_milli;
  long estimate_ms;
  long deadline_ms;
} CaseJob;

/** One run of a task, as a target printed it. */
typedef struct
{
  char task[96];
  unsigned int attempt;
  unsigned int target;
  int64_t started_at; /**< Microseconds on CLOCK_BOOTTIME. */
  int64_t ended_at;   /**< 0: not ended. */
  int how;            /**< As printed; 1 is done. */
} CaseRun;

/** Begins the record; all processes of @p cluster are killed when this process
 *  ends. */
void case_begin (Cluster *cluster, const char *record);

/** Whether the disruption is wanted: no if TROUBLE=0 is set. */
bool case_has_trouble (void);

/** Adds a line to the record, with the time since its begin. */
void case_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** Says why the case couldn't run and ends the process. */
void case_fail (const char *why) __attribute__ ((noreturn));

/** Starts all processes, writes the configuration, with @p timeout_ms for the
 *  route "/q/", and waits until all entries are ready. */
void case_start (Cluster *cluster, unsigned int timeout_ms);

/** Microseconds on CLOCK_BOOTTIME. */
int64_t case_now (void);

/** Sleeps until case_now() is @p at. */
void case_sleep_until (int64_t at);

/** Connects.
 *  @return the descriptor, or -1 */
int case_connect (const char *address);

/** Closes a connection with a reset. */
void case_reset (int fd);

/** Sends the POST of a job. @return false if it could not be sent */
bool case_post (int fd, const CaseJob *job);

/** Sends all of @p text. @return false if it could not be sent */
bool case_send (int fd, const char *text);

/** Reads one answer.
 *  @return its status; 0: the connection has ended, -1: no answer by @p until
 */
int case_read_answer (int fd, int64_t until);

/** Posts a job on a new connection and waits for the answer; both are recorded.
 *  @return as case_read_answer() */
int
case_submit (const Cluster *cluster, unsigned int entry, const CaseJob *job);

/** Reads the runs that the targets have printed.
 *  @return how many */
unsigned int case_read_runs (const Cluster *cluster,
                             CaseRun runs[CASE_RUNS_MAX]);

/** Adds all runs of the job @p id to the record. */
void case_record_runs (const CaseRun *runs, unsigned int n, const char *id);

#endif
