#include "case.h"

#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/** A script that takes longer has failed to run. */
#define SCRIPT_SPAN_MAX_S 110

#define TARGET_CPU_MILLI 8000

static Case *running_case;

static void
on_alarm (int number)
{
  unsigned int kind;
  unsigned int i;

  (void) number;
  for (kind = 0; running_case != NULL && kind < CLUSTER_KINDS; kind++)
    for (i = 0; i < CLUSTER_PROCESSES_MAX; i++)
      if (running_case->cluster.pids[kind][i] > 0)
        kill (running_case->cluster.pids[kind][i], SIGKILL);
  _exit (CASE_NOT_RUN);
}

HsTime
case_now (void)
{
  return hs_now ().mono;
}

void
case_prepare (Case *c,
              char **argv,
              unsigned int n_entries,
              unsigned int n_agents)
{
  const char *trouble = getenv ("TROUBLE");

  memset (c, 0, sizeof *c);
  c->trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  c->record = fopen (argv[3], "w");
  if (c->record == NULL)
    exit (CASE_NOT_RUN);
  cluster_init (&c->cluster, argv[1], argv[2], n_entries, n_agents,
                TARGET_CPU_MILLI);
  running_case = c;
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm (SCRIPT_SPAN_MAX_S);
  c->began_at = case_now ();
  case_note (c, "trouble=%d entries=%u agents=%u", c->trouble, n_entries,
             n_agents);
}

void
case_start (Case *c)
{
  unsigned int i;

  cluster_start (&c->cluster, CLUSTER_STORE, 0);
  cluster_sleep_ms (300);
  cluster_configure (&c->cluster, 1, NULL);
  cluster_start_all (&c->cluster);
  for (i = 0; i < c->cluster.n_entries; i++)
    if (!cluster_await_ready (&c->cluster, i, 15000))
      exit (case_end (c, CASE_NOT_RUN, "an entry isn't ready"));
  cluster_sleep_ms (1500);
  case_note (c, "all entries are ready");
}

void
case_begin (Case *c, char **argv, unsigned int n_entries, unsigned int n_agents)
{
  case_prepare (c, argv, n_entries, n_agents);
  case_start (c);
}

void
case_note (Case *c, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fprintf (c->record, "%8.3f s  ",
           (double) (case_now () - c->began_at) / HS_SEC);
  vfprintf (c->record, format, args);
  fputc ('\n', c->record);
  fflush (c->record);
  va_end (args);
}

int
case_end (Case *c, CaseVerdict verdict, const char *why)
{
  GArray *runs = case_runs (c, NULL);
  guint i;

  cluster_kill_all (&c->cluster);
  for (i = 0; i < runs->len; i++)
    {
      const CaseRun *run = &g_array_index (runs, CaseRun, i);
      double start = (double) (run->started_at - c->began_at) / HS_SEC;

      if (run->ended_at == HS_NEVER)
        fprintf (c->record, "run %s attempt %u on target %u: %.3f s, no end\n",
                 run->task, run->attempt, run->target, start);
      else
        fprintf (c->record,
                 "run %s attempt %u on target %u: %.3f s to %.3f s, how=%d\n",
                 run->task, run->attempt, run->target, start,
                 (double) (run->ended_at - c->began_at) / HS_SEC, run->how);
    }
  fprintf (c->record, "verdict: %s (%s)\n",
           verdict == CASE_HELD     ? "held"
           : verdict == CASE_BROKEN ? "broken"
                                    : "not run",
           why);
  fclose (c->record);
  printf ("%s: %s\n",
          verdict == CASE_HELD     ? "held"
          : verdict == CASE_BROKEN ? "broken"
                                   : "not run",
          why);
  g_array_unref (runs);
  return (int) verdict;
}

static void *
submit_in_thread (void *arg)
{
  CaseSubmission *s = arg;
  g_autofree char *path = g_strdup_printf ("/q/%s", s->id);
  g_autofree char *spec = g_strdup_printf ("ms=%u", s->run_ms);

  s->reply = cluster_submit_to (&s->c->cluster, s->entry, path, spec, 1, 1000,
                                s->run_ms, s->deadline_ms);
  s->answered_at = case_now ();
  return NULL;
}

void
case_submit (CaseSubmission *submission,
             Case *c,
             unsigned int entry,
             const char *id,
             unsigned int run_ms,
             long deadline_ms)
{
  *submission = (CaseSubmission){ .c = c,
                                  .id = id,
                                  .run_ms = run_ms,
                                  .deadline_ms = deadline_ms,
                                  .entry = entry };
  case_note (c, "POST %s to entry %u, one task of %u ms, deadline %ld ms", id,
             entry, run_ms, deadline_ms);
  submission->thread = g_thread_new ("submit", submit_in_thread, submission);
}

void
case_await (CaseSubmission *submission)
{
  g_thread_join (submission->thread);
  if (submission->reply.status == 0)
    case_note (submission->c, "POST %s to entry %u: no answer, %.3f s",
               submission->id, submission->entry, submission->reply.seconds);
  else
    case_note (submission->c, "POST %s to entry %u: %ld %s, %.3f s",
               submission->id, submission->entry, submission->reply.status,
               submission->reply.body, submission->reply.seconds);
}

long
case_cancel (Case *c, unsigned int entry, const char *id)
{
  g_autofree char *path = g_strdup_printf ("/q/%s", id);
  ClusterReply reply = cluster_call (
      "DELETE", c->cluster.caller_dial_addresses[entry], path, NULL, 3000);

  case_note (c, "DELETE %s at entry %u: %ld %s", id, entry, reply.status,
             reply.body);
  return reply.status;
}

bool
case_cancel_acknowledged (long status)
{
  return (status >= 200 && status < 300) || status == 410;
}

static void
read_line (GArray *runs, unsigned int target, const char *line, const char *id)
{
  CaseRun run = { .target = target, .ended_at = HS_NEVER };
  int64_t at;
  guint i;
  char kind;

  if (sscanf (line, "%c %63s %u %d %" SCNd64, &kind, run.task, &run.attempt,
              &run.how, &at)
      != 5)
    return;
  if (id != NULL && !g_str_has_prefix (run.task, id))
    return;
  if (kind == 'S')
    {
      run.started_at = at;
      g_array_append_val (runs, run);
      return;
    }
  if (kind != 'E')
    return;
  for (i = 0; i < runs->len; i++)
    {
      CaseRun *other = &g_array_index (runs, CaseRun, i);

      if (other->target != target || other->ended_at != HS_NEVER
          || other->attempt != run.attempt
          || strcmp (other->task, run.task) != 0)
        continue;
      other->ended_at = at;
      other->how = run.how;
    }
}

GArray *
case_runs (Case *c, const char *id)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (CaseRun));
  unsigned int i;
  guint k;

  for (i = 0; i < c->cluster.n_agents; i++)
    {
      g_autofree char *path
          = g_strdup_printf ("%s/target%u.log", c->cluster.dir, i);
      g_autofree char *log = NULL;
      char **lines;

      if (!g_file_get_contents (path, &log, NULL, NULL))
        continue;
      lines = g_strsplit (log, "\n", -1);
      for (k = 0; lines[k] != NULL; k++)
        read_line (runs, i, lines[k], id);
      g_strfreev (lines);
    }
  return runs;
}

bool
case_await_start (Case *c, const char *id, HsTime since, int ms)
{
  for (; ms > 0; ms -= 10)
    {
      GArray *runs = case_runs (c, id);
      bool found = false;
      guint i;

      for (i = 0; i < runs->len; i++)
        found |= g_array_index (runs, CaseRun, i).started_at >= since;
      g_array_unref (runs);
      if (found)
        return true;
      cluster_sleep_ms (10);
    }
  return false;
}
