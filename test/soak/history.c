#include "history.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/time.h"

/** Clocks of processes are the same here; lines of two targets may differ by
 *  the time between a call and its note. */
#define SLACK (2 * HS_MSEC)

typedef struct
{
  HsTime start;
  HsTime end; /* HS_NEVER: still runs. */
  unsigned int target;
  bool done;
} Run;

typedef struct
{
  unsigned int target;
  HsTime at;
} Kill;

static GArray *kills; /* Kill. */

void
history_killed (unsigned int target)
{
  Kill k = { target, hs_now ().mono };

  if (kills == NULL)
    kills = g_array_new (FALSE, FALSE, sizeof (Kill));
  g_array_append_val (kills, k);
}

/* When the life of a target that began before @p at ended. */
static HsTime
killed_before (unsigned int target, HsTime born, HsTime since)
{
  HsTime end = born;
  guint i;

  for (i = 0; kills != NULL && i < kills->len; i++)
    {
      const Kill *k = &g_array_index (kills, Kill, i);

      if (k->target == target && k->at >= since && k->at < end)
        end = k->at;
    }
  return end;
}

static void
end_open (GHashTable *tasks, unsigned int target, HsTime born)
{
  GHashTableIter iter;
  void *value;
  guint i;

  g_hash_table_iter_init (&iter, tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (i = 0; i < ((GArray *) value)->len; i++)
      {
        Run *run = &g_array_index ((GArray *) value, Run, i);

        if (run->target == target && run->end == HS_NEVER)
          run->end = killed_before (target, born, run->start);
      }
}

static void
take_line (GHashTable *tasks, unsigned int target, const char *line)
{
  char kind;
  char name[200];
  unsigned int attempt;
  int how;
  HsTime at;
  GArray *runs;
  guint i;

  if (sscanf (line, "%c %199s %u %d %" SCNd64, &kind, name, &attempt, &how, &at)
      != 5)
    return;
  if (kind == 'B')
    {
      end_open (tasks, target, at);
      return;
    }
  runs = g_hash_table_lookup (tasks, name);
  if (runs == NULL)
    {
      runs = g_array_new (FALSE, FALSE, sizeof (Run));
      g_hash_table_insert (tasks, g_strdup (name), runs);
    }
  if (kind == 'S')
    {
      Run run = { at, HS_NEVER, target, false };

      g_array_append_val (runs, run);
      return;
    }
  for (i = runs->len; i-- > 0;)
    {
      Run *run = &g_array_index (runs, Run, i);

      if (run->target != target || run->end != HS_NEVER)
        continue;
      run->end = at;
      run->done = how == 1;
      return;
    }
}

static unsigned int
read_log (GHashTable *tasks, const Cluster *cluster, unsigned int target)
{
  g_autofree char *path
      = g_strdup_printf ("%s/target%u.log", cluster->dir, target);
  g_autofree char *text = NULL;
  unsigned int broken = 0;
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
          broken++;
        }
      else
        take_line (tasks, target, lines[i]);
    }
  g_strfreev (lines);
  return broken;
}

static unsigned int
check_overlaps (const char *name, const GArray *runs)
{
  unsigned int broken = 0;
  guint i;
  guint k;

  for (i = 0; i < runs->len; i++)
    for (k = i + 1; k < runs->len; k++)
      {
        const Run *a = &g_array_index (runs, Run, i);
        const Run *b = &g_array_index (runs, Run, k);

        if (a->start + SLACK >= b->end || b->start + SLACK >= a->end)
          continue;
        printf ("%s ran twice: target%u %" PRId64 " to %" PRId64
                ", target%u %" PRId64 " to %" PRId64 "\n",
                name, a->target, a->start, a->end, b->target, b->start, b->end);
        broken++;
      }
  return broken;
}

static unsigned int
check_job (GHashTable *tasks, const SoakJob *job)
{
  unsigned int broken = 0;
  unsigned int t;
  guint i;

  for (t = 0; t < job->n_tasks; t++)
    {
      g_autofree char *name = g_strdup_printf ("%s.0.0.%u", job->id, t);
      GArray *runs = g_hash_table_lookup (tasks, name);
      bool done = false;

      for (i = 0; runs != NULL && i < runs->len; i++)
        done |= g_array_index (runs, Run, i).done;
      if (job->completed && !done)
        {
          printf ("%s: completed, but the task wasn't done\n", name);
          broken++;
        }
      if (job->refused && runs != NULL)
        {
          printf ("%s: refused, but it started\n", name);
          broken++;
        }
    }
  return broken;
}

unsigned int
history_check (const Cluster *cluster, const SoakJob *jobs, unsigned int n_jobs)
{
  GHashTable *tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify) g_array_unref);
  GHashTableIter iter;
  unsigned int broken = 0;
  unsigned int i;
  void *name;
  void *runs;

  for (i = 0; i < cluster->n_agents; i++)
    broken += read_log (tasks, cluster, i);
  g_hash_table_iter_init (&iter, tasks);
  while (g_hash_table_iter_next (&iter, &name, &runs))
    broken += check_overlaps (name, runs);
  for (i = 0; i < n_jobs; i++)
    broken += check_job (tasks, &jobs[i]);
  g_hash_table_destroy (tasks);
  return broken;
}
