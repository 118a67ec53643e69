#include "policy/crash_counts.h"

#include <inttypes.h>

#include <glib.h>

/** Callers give up resubmitting a job long before this. */
#define RETENTION (120 * HS_SEC)

/** Interval between sweeps of what is older. */
#define SWEEP_INTERVAL (10 * HS_SEC)

/** At most this many tasks and crashes are remembered; more are not counted. At
 *  64 tasks a crash this is the memory of 256 crashes, 2 MB. */
#define ROWS_MAX 16384

typedef struct
{
  HsCrashCount count; /* Of a task. */
  HsCrashStage stage; /* Of a crash. */
  HsTime last_at;
} Row;

struct HsCrashCounts
{
  GHashTable *rows; /* Text of a task or of a crash to Row. */
  HsTime sweep_at;
};

static int free_counts (HsCrashCounts *counts);
static Row *find_or_add (HsCrashCounts *counts, char *key, HsTime now);
static uint32_t changed (uint32_t n, uint32_t added, uint32_t counted);
static HsCrashCount contribution (HsCrashStage stage, bool certain);
static char *task_key (const char *customer, const char *job, uint32_t index);
static gboolean is_old (gpointer key, gpointer row, gpointer now);

HsCrashCounts *
hs_crash_counts_new (TALLOC_CTX *ctx)
{
  HsCrashCounts *counts = talloc_zero (ctx, HsCrashCounts);

  counts->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (counts, free_counts);
  return counts;
}

bool
hs_crash_counts_is_new (HsCrashCounts *counts,
                        uint64_t agent,
                        uint32_t number,
                        HsCrashStage stage,
                        HsCrashStage *before,
                        HsTime now)
{
  Row *row = find_or_add (
      counts, g_strdup_printf ("%" PRIx64 " %u", agent, number), now);

  *before = row != NULL ? row->stage : HS_CRASH_UNKNOWN;
  if (stage <= *before)
    return false;
  if (row != NULL)
    row->stage = stage;
  return true;
}

HsCrashCount
hs_crash_counts_add (HsCrashCounts *counts,
                     const char *customer,
                     const char *job,
                     uint32_t index,
                     bool certain,
                     HsCrashStage before,
                     HsCrashStage stage,
                     HsTime now)
{
  HsCrashCount added = contribution (stage, certain);
  HsCrashCount counted = contribution (before, certain);
  Row *row = find_or_add (counts, task_key (customer, job, index), now);

  if (row == NULL)
    return added;
  row->count.all = changed (row->count.all, added.all, counted.all);
  row->count.certain
      = changed (row->count.certain, added.certain, counted.certain);
  row->count.suspected
      = changed (row->count.suspected, added.suspected, counted.suspected);
  return row->count;
}

HsCrashCount
hs_crash_counts_get (const HsCrashCounts *counts,
                     const char *customer,
                     const char *job,
                     uint32_t index)
{
  g_autofree char *key = NULL;
  HsCrashCount none = { 0 };
  const Row *row;

  if (g_hash_table_size (counts->rows) == 0)
    return none;
  key = task_key (customer, job, index);
  row = g_hash_table_lookup (counts->rows, key);
  return row != NULL ? row->count : none;
}

HsTime
hs_crash_counts_tick (HsCrashCounts *counts, HsTime now)
{
  if (g_hash_table_size (counts->rows) == 0)
    return HS_NEVER;
  if (now >= counts->sweep_at)
    {
      g_hash_table_foreach_remove (counts->rows, is_old, &now);
      counts->sweep_at = now + SWEEP_INTERVAL;
    }
  return counts->sweep_at;
}

static int
free_counts (HsCrashCounts *counts)
{
  g_hash_table_unref (counts->rows);
  return 0;
}

/* Takes ownership of @key. Returns NULL if there are too many rows. */
static Row *
find_or_add (HsCrashCounts *counts, char *key, HsTime now)
{
  Row *row = g_hash_table_lookup (counts->rows, key);

  if (row == NULL && g_hash_table_size (counts->rows) >= ROWS_MAX)
    {
      g_free (key);
      return NULL;
    }
  if (row == NULL)
    {
      row = g_new0 (Row, 1);
      g_hash_table_insert (counts->rows, key, row);
    }
  else
    g_free (key);
  row->last_at = now;
  return row;
}

/* It wasn't counted if there were too many rows then. */
static uint32_t
changed (uint32_t n, uint32_t added, uint32_t counted)
{
  return n + added - MIN (counted, n);
}

/* What a crash in this stage counts under a task. */
static HsCrashCount
contribution (HsCrashStage stage, bool certain)
{
  HsCrashCount count = { 0 };

  count.all = stage != HS_CRASH_UNKNOWN && stage != HS_CRASH_WITHDRAWN;
  count.certain = stage == HS_CRASH_CERTAIN && certain;
  count.suspected = stage == HS_CRASH_SUSPECTED && certain;
  return count;
}

static char *
task_key (const char *customer, const char *job, uint32_t index)
{
  return g_strdup_printf ("%s/%s/%u", customer, job, index);
}

static gboolean
is_old (gpointer key, gpointer row, gpointer now)
{
  (void) key;
  return *(const HsTime *) now - ((const Row *) row)->last_at > RETENTION;
}
