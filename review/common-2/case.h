/**
 * @file
 * What the scripts of this review share: starts a small deployment, records
 * what was sent, answered and run, and reads from the targets' logs what ran
 * when.
 */
#ifndef HS_REVIEW_CASE_H
#define HS_REVIEW_CASE_H

#include <stdio.h>

#include <glib.h>

#include "../../test/platform_cluster.h"
#include "base/time.h"

/** @name Bounds of the small deployments, as the users' pages set them @{ */
#define CASE_CANCEL_SPAN (3000 * HS_MSEC)
#define CASE_STOP_SPAN (50 * HS_MSEC)
#define CASE_RESEND_MS 1300
/** @} */

/** Exit status of a script. */
typedef enum
{
  CASE_HELD = 0,
  CASE_BROKEN = 1,
  CASE_NOT_RUN = 2
} CaseVerdict;

typedef struct
{
  Cluster cluster;
  bool trouble; /**< False with TROUBLE=0 in the environment. */
  FILE *record;
  HsTime began_at;
} Case;

/** A run of a task, as its target logged it. */
typedef struct
{
  char task[64];
  unsigned int target;
  unsigned int attempt;
  HsTime started_at;
  HsTime ended_at; /**< HS_NEVER: it hasn't ended. */
  int how;
} CaseRun;

/** A submission that waits for its answer in a thread of its own. */
typedef struct
{
  Case *c;
  const char *id;
  unsigned int run_ms;
  long deadline_ms;
  unsigned int entry;
  ClusterReply reply;
  HsTime answered_at;
  GThread *thread;
} CaseSubmission;

/** Starts a deployment and waits until every entry is ready. Exits with
 *  CASE_NOT_RUN if it isn't, or if the whole script takes too long.
 *  @param argv build folder, folder for logs, path of the record */
void case_begin (Case *c,
                 char **argv,
                 unsigned int n_entries,
                 unsigned int n_agents);

/** Prepares as case_begin(), but starts no process; the caller may change the
 *  addresses before case_start(). */
void case_prepare (Case *c,
                   char **argv,
                   unsigned int n_entries,
                   unsigned int n_agents);
void case_start (Case *c);

/** Adds a line to the record, with the time since the start. */
void case_note (Case *c, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** Records all runs and the verdict, and ends all processes. */
int case_end (Case *c, CaseVerdict verdict, const char *why);

/** Submits a job of one task and returns at once. */
void case_submit (CaseSubmission *submission,
                  Case *c,
                  unsigned int entry,
                  const char *id,
                  unsigned int run_ms,
                  long deadline_ms);

/** Waits for the answer of a submission, and records it. */
void case_await (CaseSubmission *submission);

/** Sends a DELETE for a job and records the answer. */
long case_cancel (Case *c, unsigned int entry, const char *id);

/** Reads the runs of a job; NULL for those of all jobs.
 *  @return an array of CaseRun, for g_array_unref() */
GArray *case_runs (Case *c, const char *id);

/** Waits until a run of the job has started after @p since.
 *  @return false if none has within @p ms */
bool case_await_start (Case *c, const char *id, HsTime since, int ms);

/** Whether the DELETE was acknowledged: with a 2xx or with 410. */
bool case_cancel_acknowledged (long status);

HsTime case_now (void);

#endif
