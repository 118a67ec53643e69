#include "operators.h"

#include <string.h>

#include "checks.h"
#include "entry/admin.h"
#include "jobs.h"
#include "lists/sync.h"

/* A revision of an allowance, as the store took it in. */
typedef struct
{
  uint32_t plan;
  uint32_t in_flight;
  int64_t revision;
  int64_t expected; /* The revision that it replaced. */
  HsTime at;
} Edit;

typedef struct
{
  uint32_t plan;
  int64_t expected;
} Asked;

static uint32_t n_asked;
static GArray *edits;
static GArray *accepted; /* Edit, told to its operator as applied. */

static void put (const char *key, const char *value);
static HsAllowance allowance (uint32_t plan, uint32_t in_flight);
static void on_edit_due (void *arg);
static void on_edited (void *arg, const HsListEditResult *result);
static void observe (uint32_t plan);

void
operators_begin (void)
{
  uint32_t i;
  TALLOC_CTX *memory = talloc_new (NULL);

  n_asked = 0;
  if (edits != NULL)
    g_array_unref (edits);
  if (accepted != NULL)
    g_array_unref (accepted);
  edits = g_array_new (FALSE, FALSE, sizeof (Edit));
  accepted = g_array_new (FALSE, FALSE, sizeof (Edit));
  for (i = 0; i < OPERATORS_PLANS; i++)
    {
      HsAllowance record = allowance (i, 4 - i);

      put (talloc_asprintf (memory, "hs/allowance/%s", operators_plan (i)),
           hs_allowance_to_json (memory, &record));
    }
  for (i = 0; i < WORLD_CUSTOMERS; i++)
    {
      HsPlan plan = { 0 };

      g_strlcpy (plan.customer, job_customer (i), sizeof plan.customer);
      g_strlcpy (plan.plan, operators_plan (i % OPERATORS_PLANS),
                 sizeof plan.plan);
      hs_key_hash ("key-of-customer", plan.key_hash);
      put (talloc_asprintf (memory, "hs/plan/%s", plan.customer),
           hs_plan_to_json (memory, &plan));
    }
  talloc_free (memory);
  operators_observe ();
}

void
operators_edit (uint32_t plan, Proc *entry)
{
  Asked *asked = talloc_zero (sim_memory (), Asked);

  asked->plan = plan;
  if (entry->alive)
    sim_at (sim_now (), entry, on_edit_due, asked, false);
}

void
operators_race (void)
{
  uint32_t plan = sim_random (OPERATORS_PLANS);
  uint32_t first = sim_random (WORLD_ENTRIES);

  operators_edit (plan, world_entry (first));
  operators_edit (plan, world_entry ((first + 1) % WORLD_ENTRIES));
}

void
operators_observe (void)
{
  uint32_t i;

  for (i = 0; i < OPERATORS_PLANS; i++)
    observe (i);
}

const char *
operators_plan (uint32_t plan)
{
  return plan == 0 ? "counter" : "intake";
}

int64_t
operators_revision_at (const Proc *entry, uint32_t plan)
{
  const HsAllowance *record;

  if (!entry->alive || entry->core == NULL)
    return 0;
  record = hs_lists_allowance (hs_published_lists_get (entry->core->lists),
                               operators_plan (plan));
  return record != NULL ? record->revision : 0;
}

int64_t
operators_revision_due (uint32_t plan, HsTime calm, HsTime span)
{
  int64_t due = 0;
  guint i;

  for (i = 0; i < accepted->len; i++)
    {
      const Edit *edit = &g_array_index (accepted, Edit, i);

      if (edit->plan == plan && MAX (edit->at, calm) + span <= sim_now ())
        due = MAX (due, edit->revision);
    }
  return due;
}

OperatorLimits
operators_limits (const char *customer, HsTime span)
{
  OperatorLimits limits = { 0, OPERATORS_RATE };
  uint32_t plan = 0;
  uint32_t c = 0;
  guint i;

  while (strcmp (job_customer (c), customer) != 0)
    c++;
  plan = c % OPERATORS_PLANS;
  for (i = 0; i < edits->len; i++)
    {
      const Edit *edit = &g_array_index (edits, Edit, i);
      const Edit *next = NULL;
      guint j;

      if (edit->plan != plan)
        continue;
      for (j = i + 1; j < edits->len && next == NULL; j++)
        if (g_array_index (edits, Edit, j).plan == plan)
          next = &g_array_index (edits, Edit, j);
      if (next == NULL || sim_now () <= MAX (next->at, world.calm_at) + span)
        limits.in_flight = MAX (limits.in_flight, edit->in_flight);
    }
  return limits;
}

static void
put (const char *key, const char *value)
{
  HsKvOp op = { .kind = HS_KV_PUT,
                .range = { key, NULL },
                .value = value,
                .value_len = strlen (value) };
  HsKvOpResult result;

  hs_kv_apply (world.kv, &op, 1, &result);
}

static HsAllowance
allowance (uint32_t plan, uint32_t in_flight)
{
  HsAllowance record = { .in_flight = in_flight,
                         .starts_per_s = OPERATORS_RATE,
                         .burst = OPERATORS_BURST,
                         .queued = 500,
                         .tasks_per_job = 50,
                         .memory_mb = 512,
                         .weight = 10 };

  g_strlcpy (record.plan, operators_plan (plan), sizeof record.plan);
  return record;
}

/* Runs in the entry, as its administration interface would. */
static void
on_edit_due (void *arg)
{
  Asked *asked = arg;
  Proc *entry = sim_current ();
  HsAllowance record = allowance (asked->plan, 2 + sim_random (4));
  char *json;

  /* No two edits are alike, so that each revision has one author. */
  record.queued += ++n_asked;
  json = hs_allowance_to_json (sim_memory (), &record);
  if (entry->core == NULL || !hs_lists_sync_loaded (entry->core->sync))
    return;
  asked->expected = operators_revision_at (entry, asked->plan);
  sim_trace ("operator: %s to %u in flight, expecting %" G_GINT64_FORMAT,
             operators_plan (asked->plan), record.in_flight, asked->expected);
  hs_lists_sync_put (entry->core->sync, HS_LIST_ALLOWANCES,
                     operators_plan (asked->plan), json, asked->expected,
                     on_edited, asked);
}

static void
on_edited (void *arg, const HsListEditResult *result)
{
  const Asked *asked = arg;
  Edit edit = { .plan = asked->plan,
                .revision = result->revision,
                .expected = asked->expected,
                .at = sim_now () };
  guint i;

  sim_trace ("operator: edit ended %d at %" G_GINT64_FORMAT,
             (int) result->outcome, result->revision);
  if (result->outcome != HS_LIST_EDIT_APPLIED)
    return;
  for (i = 0; i < accepted->len; i++)
    {
      const Edit *other = &g_array_index (accepted, Edit, i);

      if (other->plan == edit.plan && other->revision == edit.revision)
        checks_fail ("two operators were told that revision %" G_GINT64_FORMAT
                     " is theirs",
                     edit.revision);
      if (other->plan == edit.plan && other->expected == edit.expected)
        checks_fail ("two operators were told that they replaced revision "
                     "%" G_GINT64_FORMAT,
                     edit.expected);
    }
  g_array_append_val (accepted, edit);
  for (i = 0; i < edits->len; i++)
    if (g_array_index (edits, Edit, i).revision == edit.revision)
      return;
  observe (asked->plan);
}

static void
observe (uint32_t plan)
{
  g_autofree char *key
      = g_strdup_printf ("hs/allowance/%s", operators_plan (plan));
  const HsKvRecord *record = hs_kv_get (world.kv, key);
  HsAllowance parsed;
  Edit edit = { .plan = plan, .at = sim_now () };
  guint i;

  edit.revision = record->mod_revision;
  for (i = edits->len; i > 0; i--)
    if (g_array_index (edits, Edit, i - 1).plan == plan)
      {
        if (g_array_index (edits, Edit, i - 1).revision == edit.revision)
          return;
        break;
      }
  if (!hs_allowance_parse (record->value, operators_plan (plan), &parsed, NULL))
    return;
  edit.in_flight = parsed.in_flight;
  g_array_append_val (edits, edit);
}

/* Operators call the lists directly, as the entry's HTTP server would. */
HsAdmin *
hs_admin_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              const char *listen,
              const char *token,
              HsPublishedLists *box,
              HsListsSync *sync,
              const HsAdminPages *pages,
              GError **error)
{
  (void) ev;
  (void) listen;
  (void) token;
  (void) box;
  (void) sync;
  (void) pages;
  (void) error;
  return talloc_named_const (ctx, 1, "HsAdmin");
}
