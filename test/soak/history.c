#include "history.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/time.h"

/** Outcome of a task that crashed the target. */
#define OUTCOME_CRASHED 9

/** After three crashes under a task it may be started twice more, as the users'
 *  rules say; it is given up after two unless the processes that counted are
 *  lost. */
#define CRASHES_MAX 5

/** All processes read one clock, but a target logs an event slightly after it
 *  happens, so two targets' times may differ by this. */
#define OVERLAP_TOLERANCE (2 * HS_MSEC)

typedef struct
{
  HsTime start;
  HsTime end; /* HS_NEVER: still running. */
  unsigned int target;
  bool done;
  bool crashed_target;
} TaskRun;

typedef struct
{
  unsigned int target;
  HsTime at;
} Kill;

static GArray *kills; /* Elements: Kill. */

void
history_note_kill (unsigned int target)
{
  Kill k = { target, hs_now ().mono };

  if (kills == NULL)
    kills = g_array_new (FALSE, FALSE, sizeof (Kill));
  g_array_append_val (kills, k);
}

/* Returns when the target's incarnation that was running at @p since ended: at
   the first kill, or when the next incarnation started. */
static HsTime
find_incarnation_end (unsigned int target, HsTime restarted_at, HsTime since)
{
  HsTime end = restarted_at;
  guint i;

  for (i = 0; kills != NULL && i < kills->len; i++)
    {
      const Kill *k = &g_array_index (kills, Kill, i);

      if (k->target == target && k->at >= since && k->at < end)
        end = k->at;
    }
  return end;
}

/* Ends the runs that the target had open when it restarted. */
static void
end_open_runs (GHashTable *tasks, unsigned int target, HsTime restarted_at)
{
  GHashTableIter iter;
  void *value;
  guint i;

  g_hash_table_iter_init (&iter, tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (i = 0; i < ((GArray *) value)->len; i++)
      {
        TaskRun *run = &g_array_index ((GArray *) value, TaskRun, i);

        if (run->target == target && run->end == HS_NEVER)
          run->end = find_incarnation_end (target, restarted_at, run->start);
      }
}

/* Parses a line of a target's log: the kind (B: restart, S: start, otherwise
   an end), the task, its attempt, its outcome (1: done, 9: it crashed the
   target) and the time. */
static void
parse_line (GHashTable *tasks, unsigned int target, const char *line)
{
  char kind;
  char name[200];
  unsigned int attempt;
  int outcome;
  HsTime at;
  GArray *runs;
  guint i;

  if (sscanf (line, "%c %199s %u %d %" SCNd64, &kind, name, &attempt, &outcome,
              &at)
      != 5)
    return;
  if (kind == 'A') /* The call of a start, which may be carried out late. */
    return;
  if (kind == 'B')
    {
      end_open_runs (tasks, target, at);
      return;
    }
  runs = g_hash_table_lookup (tasks, name);
  if (runs == NULL)
    {
      runs = g_array_new (FALSE, FALSE, sizeof (TaskRun));
      g_hash_table_insert (tasks, g_strdup (name), runs);
    }
  if (kind == 'S')
    {
      TaskRun run = { at, HS_NEVER, target, false, false };

      g_array_append_val (runs, run);
      return;
    }
  for (i = runs->len; i-- > 0;)
    {
      TaskRun *run = &g_array_index (runs, TaskRun, i);

      if (run->target != target || run->end != HS_NEVER)
        continue;
      run->end = at;
      run->done = outcome == 1;
      run->crashed_target = outcome == OUTCOME_CRASHED;
      return;
    }
}

static unsigned int
read_log (GHashTable *tasks, const Cluster *cluster, unsigned int target)
{
  g_autofree char *path
      = g_strdup_printf ("%s/target%u.log", cluster->dir, target);
  g_autofree char *text = NULL;
  unsigned int violations = 0;
  char **lines;
  unsigned int i;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    {
      if (g_str_has_prefix (lines[i], "BROKEN"))
        {
          printf ("target%u: %s\n", target, lines[i]);
          violations++;
        }
      else
        parse_line (tasks, target, lines[i]);
    }
  g_strfreev (lines);
  return violations;
}

static unsigned int
check_overlaps (const char *name, const GArray *runs)
{
  unsigned int violations = 0;
  guint i;
  guint k;

  for (i = 0; i < runs->len; i++)
    for (k = i + 1; k < runs->len; k++)
      {
        const TaskRun *a = &g_array_index (runs, TaskRun, i);
        const TaskRun *b = &g_array_index (runs, TaskRun, k);

        if (a->start + OVERLAP_TOLERANCE >= b->end
            || b->start + OVERLAP_TOLERANCE >= a->end)
          continue;
        printf ("%s ran twice: target%u %" PRId64 " to %" PRId64
                ", target%u %" PRId64 " to %" PRId64 "\n",
                name, a->target, a->start, a->end, b->target, b->start, b->end);
        violations++;
      }
  return violations;
}

static unsigned int
check_crashes (const char *name, const GArray *runs)
{
  unsigned int n = 0;
  guint i;

  for (i = 0; i < runs->len; i++)
    n += g_array_index (runs, TaskRun, i).crashed_target;
  if (n <= CRASHES_MAX)
    return 0;
  printf ("%s crashed %u targets\n", name, n);
  return 1;
}

static unsigned int
check_job (GHashTable *tasks, const SoakJob *job)
{
  unsigned int violations = 0;
  unsigned int t;
  guint i;

  for (t = 0; t < job->n_tasks; t++)
    {
      g_autofree char *name = g_strdup_printf ("%s.0.0.%u", job->id, t);
      GArray *runs = g_hash_table_lookup (tasks, name);
      bool done = false;

      for (i = 0; runs != NULL && i < runs->len; i++)
        done |= g_array_index (runs, TaskRun, i).done;
      if (job->completed && !done)
        {
          printf ("%s: job completed, but the task was not done\n", name);
          violations++;
        }
      if (job->refused && runs != NULL)
        {
          printf ("%s: job refused, but the task started\n", name);
          violations++;
        }
    }
  return violations;
}

unsigned int
history_check (const Cluster *cluster, const SoakJob *jobs, unsigned int n_jobs)
{
  GHashTable *tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify) g_array_unref);
  GHashTableIter iter;
  unsigned int violations = 0;
  unsigned int i;
  void *name;
  void *runs;

  for (i = 0; i < cluster->n_agents; i++)
    violations += read_log (tasks, cluster, i);
  g_hash_table_iter_init (&iter, tasks);
  while (g_hash_table_iter_next (&iter, &name, &runs))
    violations += check_overlaps (name, runs) + check_crashes (name, runs);
  for (i = 0; i < n_jobs; i++)
    violations += check_job (tasks, &jobs[i]);
  g_hash_table_destroy (tasks);
  return violations;
}
