#include "checks.h"

#include <stdio.h>
#include <string.h>

#include "callers.h"
#include "operators.h"

/** A target that leaves must get no start later than this afterwards. */
#define LEAVE_GRACE (1 * HS_SEC)
/** Every entry must apply an accepted edit within this time. */
#define EDIT_PROPAGATION_MAX (6 * HS_SEC)

typedef struct
{
  char customer[HSX_NAME_MAX + 1];
  char id[HSX_ID_MAX + 1];
  uint32_t index;
  Proc *agent;
  uint32_t incarnation; /* Of the agent's process. */
  HsTime at;
  bool running;
  bool timed_out;
  bool known_to_owner; /* Its owner can know that it runs. */
} TaskStart;

static GArray *starts;
static uint32_t n_violations;
static uint32_t n_checks;
static double tokens[WORLD_CUSTOMERS];
static HsTime refilled_at[WORLD_CUSTOMERS];

static void check_leaving (const Proc *agent, const hsx_task_key *key);
static void check_limits (const TaskStart *start);
static void check_rate (const TaskStart *start, const OperatorLimits *limits);

void
checks_begin (void)
{
  uint32_t i;

  if (starts != NULL)
    g_array_unref (starts);
  starts = g_array_new (FALSE, TRUE, sizeof (TaskStart));
  n_violations = 0;
  n_checks = 0;
  for (i = 0; i < WORLD_CUSTOMERS; i++)
    {
      tokens[i] = OPERATORS_BURST;
      refilled_at[i] = 0;
    }
}

uint32_t
checks_task_started (Proc *agent, const hsx_task_key *key, const char *body)
{
  TaskStart start = { .index = key->index,
                      .agent = agent,
                      .incarnation = agent->incarnation,
                      .at = sim_now (),
                      .running = true,
                      .known_to_owner = true };
  g_autofree char *prefix
      = g_strdup_printf ("%s/%s/%u/", key->customer, key->id, key->index);

  g_strlcpy (start.customer, key->customer, sizeof start.customer);
  g_strlcpy (start.id, key->id, sizeof start.id);
  n_checks++;
  if (checks_count_starts (key->customer, key->id, (int) key->index, 0,
                           HS_NEVER)
      > 0)
    checks_report_violation ("%s started twice", prefix);
  if (!g_str_has_prefix (body, prefix))
    checks_report_violation ("%s started with the body %s", prefix, body);
  check_leaving (agent, key);
  g_array_append_val (starts, start);
  check_limits (&start);
  sim_trace ("target starts %s", body);
  return starts->len - 1;
}

void
checks_task_ended (uint32_t number)
{
  g_array_index (starts, TaskStart, number).running = false;
}

void
checks_host_died (const Proc *agent)
{
  guint i;

  for (i = 0; i < starts->len; i++)
    if (g_array_index (starts, TaskStart, i).agent == agent)
      g_array_index (starts, TaskStart, i).running = false;
}

void
checks_agent_died (const Proc *agent)
{
  guint i;

  for (i = 0; i < starts->len; i++)
    if (g_array_index (starts, TaskStart, i).agent == agent)
      g_array_index (starts, TaskStart, i).known_to_owner = false;
}

uint32_t
checks_count_starts (const char *customer,
                     const char *id,
                     int index,
                     HsTime from,
                     HsTime to)
{
  uint32_t n = 0;
  guint i;

  for (i = 0; i < starts->len; i++)
    {
      const TaskStart *s = &g_array_index (starts, TaskStart, i);

      if ((index < 0 || s->index == (uint32_t) index) && s->at >= from
          && s->at < to && strcmp (s->id, id) == 0
          && strcmp (s->customer, customer) == 0)
        n++;
    }
  return n;
}

void
checks_call_timed_out (uint32_t start)
{
  g_array_index (starts, TaskStart, start).timed_out = true;
}

uint32_t
checks_count_running (const Proc *agent)
{
  uint32_t n = 0;
  guint i;

  for (i = 0; i < starts->len; i++)
    {
      const TaskStart *s = &g_array_index (starts, TaskStart, i);

      if (s->running && !s->timed_out && s->agent == agent
          && s->incarnation == agent->incarnation)
        n++;
    }
  return n;
}

/* An entry must apply an accepted edit in time and must never return to an
   older revision. */
void
checks_check_lists (void)
{
  uint32_t e;
  uint32_t p;

  for (e = 0; e < WORLD_ENTRIES; e++)
    for (p = 0; p < OPERATORS_PLANS; p++)
      {
        Proc *entry = world_entry (e);
        int64_t seen = operators_revision_at (entry, p);
        int64_t due = operators_revision_due (
            p, MAX (world.faults_end_at, entry->started_at),
            EDIT_PROPAGATION_MAX);

        if (!entry->alive || entry->paused_until > sim_now ())
          continue;
        n_checks++;
        if (seen < entry->seen_revision[p])
          checks_report_violation ("%s reverted from revision %" G_GINT64_FORMAT
                                   " to %" G_GINT64_FORMAT " of plan %s",
                                   entry->name, entry->seen_revision[p], seen,
                                   operators_plan_name (p));
        if (seen < due)
          checks_report_violation (
              "%s has revision %" G_GINT64_FORMAT
              " instead of %" G_GINT64_FORMAT " of plan %s",
              entry->name, seen, due, operators_plan_name (p));
        entry->seen_revision[p] = seen;
      }
}

void
checks_report_violation (const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  sim_trace ("VIOLATION: %s", text);
  if (n_violations < CHECKS_VIOLATIONS_MAX)
    {
      g_strlcpy (checks_violations[n_violations], text,
                 sizeof checks_violations[0]);
    }
  n_violations++;
  g_free (text);
}

uint32_t
checks_violation_count (void)
{
  return n_violations;
}

uint32_t
checks_check_count (void)
{
  return n_checks;
}

uint32_t
checks_start_count (void)
{
  return starts->len;
}

static void
check_leaving (const Proc *agent, const hsx_task_key *key)
{
  HsTime since = MIN (agent->target.left_at, agent->leave_at);

  n_checks++;
  if (since != HS_NEVER && sim_now () > since + LEAVE_GRACE)
    checks_report_violation ("%s/%u started on %s after its target left",
                             key->id, key->index, agent->name);
}

static void
check_limits (const TaskStart *start)
{
  OperatorLimits limits
      = operators_loosest_limits (start->customer, EDIT_PROPAGATION_MAX);
  uint32_t running = 0;
  guint i;

  for (i = 0; i < starts->len; i++)
    {
      const TaskStart *s = &g_array_index (starts, TaskStart, i);

      if (s->running && s->known_to_owner
          && strcmp (s->customer, start->customer) == 0)
        running++;
    }
  n_checks++;
  if (running > limits.in_flight)
    checks_report_violation ("%s runs %u tasks, but its allowance is %u",
                             start->customer, running, limits.in_flight);
  check_rate (start, &limits);
}

/* Replays the customer's token bucket independently of the owners, with a
   tolerance for network jitter. */
static void
check_rate (const TaskStart *start, const OperatorLimits *limits)
{
  uint32_t c = 0;
  HsTime now = sim_now ();

  while (strcmp (customer_name (c), start->customer) != 0)
    c++;
  tokens[c] += (double) (now - refilled_at[c]) / (double) HS_SEC
               * limits->starts_per_s;
  tokens[c] = MIN (tokens[c], OPERATORS_BURST) - 1;
  refilled_at[c] = now;
  n_checks++;
  if (tokens[c] < -CHECKS_RATE_TOLERANCE)
    checks_report_violation ("%s exceeds its allowance of %u starts per second",
                             start->customer, limits->starts_per_s);
}

char checks_violations[CHECKS_VIOLATIONS_MAX][CHECKS_VIOLATION_SIZE];
