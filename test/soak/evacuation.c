#include "evacuation.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/** Number of data centres of a cluster: agent i is in data centre i % 3. */
#define ZONES 3

/** The bound on starts isn't checked for so long after a fault of the store
 *  (`platform.bounds.max_skew_ms`) or a pause of the agent
 *  (`platform.bounds.contact_ms`). */
#define STORE_RECOVERY_MS 6000
#define PAUSE_RECOVERY_MS 4000

/** A long evacuation outlasts the bound by this much; a short one lasts as
 *  long and only makes the set of data centres change. */
#define HOLD_MIN_MS 1000
#define HOLD_SPREAD_MS 2000

/** Interval at which an evacuation checks whether the run is ending. */
#define STEP_MS 50

/** Resolution of the time during which starts are checked. */
#define SAMPLE_MS 10

typedef struct
{
  HsTime from;
  HsTime to;
  unsigned int of; /* The zone of an evacuation, the agent of a pause. */
} Interval;

static GMutex lock;
static GArray *evacuations; /* From the answer to PUT until DELETE was sent. */
static GArray *store_faults;
static GArray *pauses;

static void
note (GArray **intervals, unsigned int of, HsTime from, HsTime to)
{
  Interval interval = { from, to, of };

  g_mutex_lock (&lock);
  if (*intervals == NULL)
    *intervals = g_array_new (FALSE, FALSE, sizeof (Interval));
  g_array_append_val (*intervals, interval);
  g_mutex_unlock (&lock);
}

void
evacuation_note_store_fault (HsTime from)
{
  note (&store_faults, 0, from, hs_now ().mono);
}

void
evacuation_note_pause (unsigned int agent, HsTime from)
{
  note (&pauses, agent, from, hs_now ().mono);
}

static void
evacuate_once (Cluster *cluster, unsigned int zone, int ms, gint *stopping)
{
  g_autofree char *path = g_strdup_printf ("/op/evacuate/z%u", zone);
  const char *store = cluster->addresses[CLUSTER_STORE][0];
  long status = cluster_call ("PUT", store, path, "{}", 2000).status;
  HsTime from = hs_now ().mono;

  printf ("  evacuate z%u for %d ms: status %ld\n", zone, ms, status);
  for (; ms > 0 && !g_atomic_int_get (stopping); ms -= STEP_MS)
    cluster_sleep_ms (STEP_MS);
  if (status == 200)
    note (&evacuations, zone, from, hs_now ().mono);
  cluster_call ("DELETE", store, path, NULL, 2000);
}

void
evacuation_run (Cluster *cluster, Prng *random, gint *stopping)
{
  unsigned int n_zones = MIN (cluster->n_agents, ZONES);
  bool is_long = true;

  while (!g_atomic_int_get (stopping))
    {
      int ms = HOLD_MIN_MS + (int) prng_below (random, HOLD_SPREAD_MS);

      evacuate_once (cluster, prng_below (random, n_zones),
                     ms + (is_long ? EVACUATE_MS : 0), stopping);
      is_long = !is_long;
      cluster_sleep_ms ((int) prng_below (random, 500));
    }
}

/* Whether one of the intervals of @p of includes @p at, if each lasts @p ms
   longer. */
static bool
includes (const GArray *intervals, unsigned int of, HsTime at, int ms)
{
  guint i;

  for (i = 0; intervals != NULL && i < intervals->len; i++)
    {
      const Interval *interval = &g_array_index (intervals, Interval, i);

      if (interval->of == of && at >= interval->from
          && at <= interval->to + ms * HS_MSEC)
        return true;
    }
  return false;
}

/* Whether no start may reach the agent's target at @p at. */
static bool
forbids_starts (unsigned int agent, HsTime at)
{
  guint i;

  for (i = 0; evacuations != NULL && i < evacuations->len; i++)
    {
      const Interval *e = &g_array_index (evacuations, Interval, i);

      if (e->of == agent % ZONES && at > e->from + EVACUATE_MS * HS_MSEC
          && at < e->to)
        return !includes (store_faults, 0, at, STORE_RECOVERY_MS)
               && !includes (pauses, agent, at, PAUSE_RECOVERY_MS);
    }
  return false;
}

static unsigned int
check_target (const Cluster *cluster, unsigned int target)
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
      char name[200];
      HsTime at;

      if (sscanf (lines[i], "A %199s %*u %*d %" SCNd64, name, &at) != 2
          || !forbids_starts (target, at))
        continue;
      printf ("%s: a start reached target%u at %" PRId64
              ", in an evacuated data centre\n",
              name, target, at);
      violations++;
    }
  g_strfreev (lines);
  return violations;
}

/* Returns for how many milliseconds of its evacuations starts at the agent's
   target are checked. */
static unsigned int
sum_checked_ms (unsigned int agent)
{
  unsigned int ms = 0;
  guint i;

  for (i = 0; evacuations != NULL && i < evacuations->len; i++)
    {
      const Interval *e = &g_array_index (evacuations, Interval, i);
      HsTime at;

      if (e->of == agent % ZONES)
        for (at = e->from; at < e->to; at += SAMPLE_MS * HS_MSEC)
          ms += forbids_starts (agent, at) ? SAMPLE_MS : 0;
    }
  return ms;
}

unsigned int
evacuation_check (const Cluster *cluster)
{
  unsigned int violations = 0;
  unsigned int ms = 0;
  unsigned int i;

  for (i = 0; i < cluster->n_agents; i++)
    {
      violations += check_target (cluster, i);
      ms += sum_checked_ms (i);
    }
  printf ("evacuations: %u, with %u ms of targets checked\n",
          evacuations != NULL ? evacuations->len : 0, ms);
  return violations;
}
