#include "operators.h"

#include <string.h>

#include "checks.h"
#include "entry/admin.h"
#include "callers.h"
#include "lists/sync.h"

/* A revision of an allowance, with the time of its write. */
typedef struct
{
  uint32_t plan;
  uint32_t in_flight;
  int64_t revision;
  int64_t expected; /* The revision that the operator replaced. */
  HsTime at;
} Edit;

typedef struct
{
  uint32_t plan;
  int64_t expected;
} EditRequest;

static uint32_t n_edit_requests;
static GArray *edits;
static GArray *accepted; /* Edits reported as applied. */

static void put_record (const char *key, const char *value);
static HsAllowance make_allowance (uint32_t plan, uint32_t in_flight);
static void on_edit_due (void *arg);
static void on_edited (void *arg, const HsListEditResult *result);
static void record_revision (uint32_t plan);

void
operators_begin (void)
{
  uint32_t i;
  TALLOC_CTX *memory = talloc_new (NULL);

  n_edit_requests = 0;
  if (edits != NULL)
    g_array_unref (edits);
  if (accepted != NULL)
    g_array_unref (accepted);
  edits = g_array_new (FALSE, FALSE, sizeof (Edit));
  accepted = g_array_new (FALSE, FALSE, sizeof (Edit));
  for (i = 0; i < OPERATORS_PLANS; i++)
    {
      HsAllowance record = make_allowance (i, 4 - i);

      put_record (
          talloc_asprintf (memory, "hs/allowance/%s", operators_plan_name (i)),
          hs_allowance_to_json (memory, &record));
    }
  for (i = 0; i < WORLD_CUSTOMERS; i++)
    {
      HsPlan plan = { 0 };

      g_strlcpy (plan.customer, customer_name (i), sizeof plan.customer);
      g_strlcpy (plan.plan, operators_plan_name (i % OPERATORS_PLANS),
                 sizeof plan.plan);
      hs_key_hash ("key-of-customer", plan.key_hash);
      put_record (talloc_asprintf (memory, "hs/plan/%s", plan.customer),
                  hs_plan_to_json (memory, &plan));
    }
  talloc_free (memory);
  operators_record_revisions ();
}

void
operators_edit (uint32_t plan, Proc *entry)
{
  EditRequest *request = talloc_zero (sim_memory (), EditRequest);

  request->plan = plan;
  if (entry->alive)
    sim_schedule (sim_now (), entry, on_edit_due, request, false);
}

void
operators_edit_concurrently (void)
{
  uint32_t plan = sim_random (OPERATORS_PLANS);
  uint32_t first = sim_random (WORLD_ENTRIES);

  operators_edit (plan, world_entry (first));
  operators_edit (plan, world_entry ((first + 1) % WORLD_ENTRIES));
}

void
operators_record_revisions (void)
{
  uint32_t i;

  for (i = 0; i < OPERATORS_PLANS; i++)
    record_revision (i);
}

const char *
operators_plan_name (uint32_t plan)
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
                               operators_plan_name (plan));
  return record != NULL ? record->revision : 0;
}

int64_t
operators_revision_due (uint32_t plan,
                        HsTime undisturbed_since,
                        HsTime propagation)
{
  int64_t due = 0;
  guint i;

  for (i = 0; i < accepted->len; i++)
    {
      const Edit *edit = &g_array_index (accepted, Edit, i);

      if (edit->plan == plan
          && MAX (edit->at, undisturbed_since) + propagation <= sim_now ())
        due = MAX (due, edit->revision);
    }
  return due;
}

OperatorLimits
operators_loosest_limits (const char *customer, HsTime propagation)
{
  OperatorLimits limits = { 0, OPERATORS_STARTS_PER_S };
  uint32_t plan = 0;
  uint32_t c = 0;
  guint i;

  while (strcmp (customer_name (c), customer) != 0)
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
      if (next == NULL
          || sim_now () <= MAX (next->at, world.faults_end_at) + propagation)
        limits.in_flight = MAX (limits.in_flight, edit->in_flight);
    }
  return limits;
}

static void
put_record (const char *key, const char *value)
{
  HsKvOp op = { .kind = HS_KV_PUT,
                .range = { key, NULL },
                .value = value,
                .value_len = strlen (value) };
  HsKvOpResult result;

  hs_kv_apply (world.kv, &op, 1, &result);
}

static HsAllowance
make_allowance (uint32_t plan, uint32_t in_flight)
{
  HsAllowance record = { .in_flight = in_flight,
                         .starts_per_s = OPERATORS_STARTS_PER_S,
                         .burst = OPERATORS_BURST,
                         .queued = 500,
                         .tasks_per_job = 50,
                         .memory_mb = 512,
                         .weight = 10 };

  g_strlcpy (record.plan, operators_plan_name (plan), sizeof record.plan);
  return record;
}

/* Runs in the entry's context, as its administration interface would. */
static void
on_edit_due (void *arg)
{
  EditRequest *request = arg;
  Proc *entry = sim_current ();
  HsAllowance record = make_allowance (request->plan, 2 + sim_random (4));
  char *json;

  /* Each edit has other content, so that a revision has one author. */
  record.queued += ++n_edit_requests;
  json = hs_allowance_to_json (sim_memory (), &record);
  if (entry->core == NULL || !hs_lists_sync_loaded (entry->core->sync))
    return;
  request->expected = operators_revision_at (entry, request->plan);
  sim_trace (
      "operator: sets %s to %u in flight, expecting revision %" G_GINT64_FORMAT,
      operators_plan_name (request->plan), record.in_flight, request->expected);
  hs_lists_sync_put (entry->core->sync, HS_LIST_ALLOWANCES,
                     operators_plan_name (request->plan), json,
                     request->expected, on_edited, request);
}

static void
on_edited (void *arg, const HsListEditResult *result)
{
  const EditRequest *request = arg;
  Edit edit = { .plan = request->plan,
                .revision = result->revision,
                .expected = request->expected,
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
        checks_report_violation (
            "two operators were told that they wrote revision "
            "%" G_GINT64_FORMAT,
            edit.revision);
      if (other->plan == edit.plan && other->expected == edit.expected)
        checks_report_violation (
            "two operators were told that they replaced revision "
            "%" G_GINT64_FORMAT,
            edit.expected);
    }
  g_array_append_val (accepted, edit);
  for (i = 0; i < edits->len; i++)
    if (g_array_index (edits, Edit, i).revision == edit.revision)
      return;
  record_revision (request->plan);
}

static void
record_revision (uint32_t plan)
{
  g_autofree char *key
      = g_strdup_printf ("hs/allowance/%s", operators_plan_name (plan));
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
  if (!hs_allowance_parse (record->value, operators_plan_name (plan), &parsed,
                           NULL))
    return;
  edit.in_flight = parsed.in_flight;
  g_array_append_val (edits, edit);
}

/* No administration server: operators call the lists' functions directly. */
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
