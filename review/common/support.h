/**
 * @file
 * What the cases share: a cluster of the project's programs and stand-ins on
 * loopback, a client that speaks HTTP/1.1 on plain sockets, a record of what
 * was sent and answered, and the runs that the targets report.
 */
#ifndef HS_REVIEW_SUPPORT_H
#define HS_REVIEW_SUPPORT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "test/platform_cluster.h"

/** Exit statuses of a case. */
#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_NOT_RUN 2

/** One HTTP request on a connection of its own. */
typedef struct
{
  int fd; /**< -1: closed. */
  char address[32];
  char what[200];
  char answer[2048];
  unsigned int n_answer;
  long status; /**< 0: no complete answer yet. */
  gint64 sent_at;
  gint64 answered_at; /**< 0: not answered. */
} Call;

/** One run of a task, as its target has printed it. */
typedef struct
{
  char task[200];
  unsigned int target;
  unsigned int attempt;
  gint64 start; /**< Microseconds of CLOCK_BOOTTIME. */
  gint64 end;   /**< G_MAXINT64: it hasn't ended. */
  int outcome;  /**< hsx_end_how. */
} TaskRun;

extern Cluster case_cluster;

/** Whether the disruption is to be left out: TROUBLE=0. */
bool case_is_calm (void);

/**
 * Opens the record and prepares a cluster.
 * @param argv BUILD-DIR TEMPORARY-DIR RECORD-FILE
 */
void case_begin (int argc,
                 char **argv,
                 unsigned int n_entries,
                 unsigned int n_agents,
                 unsigned int cpu_milli);

/** Ends all processes, and this one with @p status. */
void case_end (int status) G_GNUC_NORETURN;

/** Ends the case as not run. */
void case_fail (const char *why) G_GNUC_NORETURN;

/** Starts what isn't running, and waits until all entries are ready and know
 *  all targets. */
void case_start_all (void);

/** Microseconds of CLOCK_BOOTTIME, which the targets print too. */
gint64 case_now (void);

/** Writes a line with the time to the record. */
void case_note (const char *format, ...) G_GNUC_PRINTF (1, 2);

/** Connects to an address. */
void call_connect (Call *call, const char *address);

/** Sends a request; the answer is read by calls_read(). */
void call_send (Call *call,
                const char *method,
                const char *path,
                const char *headers,
                const char *body);

/** Submits a best-effort job of one step. */
void call_send_job (Call *call,
                    const char *path,
                    const char *spec,
                    unsigned int n_tasks,
                    unsigned int cpu_milli,
                    unsigned int estimate_ms,
                    unsigned int deadline_ms);

/** Closes the connection; @p reset: without a regular end. */
void call_close (Call *call, bool reset);

/** Reads answers until all have come or @p ms have passed. */
void calls_read (Call *calls, unsigned int n, int ms);

/** The runs that the targets have printed so far; elements: TaskRun. */
GArray *case_read_runs (void);

/** Writes the runs of the tasks whose names begin with @p prefix to the
 *  record. */
void case_note_runs (const GArray *runs, const char *prefix);

#endif
