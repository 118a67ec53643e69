/**
 * @file
 * Renders the status of the entry as JSON and its metrics as Prometheus text.
 */
#include <stddef.h>

#include <json-c/json.h>

#include "entry/core.h"
#include "lists/sync.h"
#include "metrics/metrics.h"
#include "proto/procs.h"

/* A counter that copies the value of `source` whenever it is rendered. */
typedef struct
{
  HsCounter *counter;
  const uint64_t *source;
} MirroredCounter;

struct HsReport
{
  HsCore *core;
  HsMetrics *metrics;
  GArray *mirrored_counters;
};

/* A counter that mirrors the field of HsOwnerStats at `offset`. */
typedef struct
{
  const char *name;
  const char *label;
  const char *value;
  size_t offset;
  const char *help;
} OwnerCounter;

#define OWNER_STAT(field) offsetof (HsOwnerStats, field)

static const char TASKS[] = "hibiscusspoke_tasks_total";
static const char TASKS_HELP[] = "Tasks that ended, by outcome.";
static const char WASTED[] = "hibiscusspoke_wasted_messages_total";
static const char WASTED_HELP[] = "Messages that brought nothing, by kind.";

static const OwnerCounter OWNER_COUNTERS[] = {
  { "hibiscusspoke_jobs_total", NULL, NULL, OWNER_STAT (jobs),
    "Jobs accepted by this owner." },
  { "hibiscusspoke_jobs_attached_total", NULL, NULL, OWNER_STAT (resubmissions),
    "Resubmissions that found their job." },
  { "hibiscusspoke_jobs_refused_total", NULL, NULL, OWNER_STAT (refused_jobs),
    "Requests refused by this owner." },
  { "hibiscusspoke_starts_total", NULL, NULL, OWNER_STAT (starts),
    "Starts sent to agents." },
  { "hibiscusspoke_results_total", NULL, NULL, OWNER_STAT (results),
    "Results received from agents." },
  { "hibiscusspoke_containments_total", NULL, NULL, OWNER_STAT (contained),
    "Customers contained, as their tasks crash targets." },
  { "hibiscusspoke_takeovers_total", NULL, NULL, OWNER_STAT (takeovers),
    "Partitions taken from another owner." },
  { "hibiscusspoke_handovers_total", NULL, NULL, OWNER_STAT (handovers),
    "Partitions offered to another entry." },
  { "hibiscusspoke_recovered_total", NULL, NULL, OWNER_STAT (recovered_records),
    "Starts that agents told a new owner." },
  { "hibiscusspoke_jobs_forgotten_total", NULL, NULL, OWNER_STAT (evicted_jobs),
    "Finished jobs forgotten early, for room." },
  { TASKS, "outcome", "done", OWNER_STAT (done), TASKS_HELP },
  { TASKS, "outcome", "failed", OWNER_STAT (failed), TASKS_HELP },
  { TASKS, "outcome", "not_run", OWNER_STAT (not_run), TASKS_HELP },
  { TASKS, "outcome", "may_have_run", OWNER_STAT (may_have_run), TASKS_HELP },
  { WASTED, "kind", "refused_start", OWNER_STAT (refused_starts), WASTED_HELP },
  { WASTED, "kind", "late_result", OWNER_STAT (late_results), WASTED_HELP },
  { WASTED, "kind", "empty_loan", OWNER_STAT (empty_loans), WASTED_HELP },
  { WASTED, "kind", "needless_poll", OWNER_STAT (needless_polls), WASTED_HELP },
};

static int report_destructor (HsReport *report);
static void add_mirrored_counter (HsReport *report,
                                  const char *name,
                                  const char *help,
                                  const char *label,
                                  const char *value,
                                  const uint64_t *source);
static void add_rpc_counters (HsReport *report);
static void add_store_counters (HsReport *report);
static void add_gauges (HsReport *report);
static double read_owned_partitions (void *arg);
static double read_unfinished_jobs (void *arg);
static double read_retained_bytes (void *arg);
static double read_known_agents (void *arg);
static double read_connected_agents (void *arg);
static double read_idle_credits (void *arg);
static double read_lists_revision (void *arg);
static struct json_object *entries_json (const HsCore *core);

HsReport *
hs_report_new (HsCore *core)
{
  const HsOwnerStats *stats = hs_owner_stats (core->owner);
  HsReport *report = talloc_zero (core, HsReport);
  size_t i;

  report->core = core;
  report->metrics = hs_metrics_new (report, 1);
  report->mirrored_counters
      = g_array_new (FALSE, FALSE, sizeof (MirroredCounter));
  talloc_set_destructor (report, report_destructor);
  for (i = 0; i < G_N_ELEMENTS (OWNER_COUNTERS); i++)
    {
      const OwnerCounter *c = &OWNER_COUNTERS[i];

      add_mirrored_counter (
          report, c->name, c->help, c->label, c->value,
          (const uint64_t *) (const void *) ((const char *) stats + c->offset));
    }
  add_rpc_counters (report);
  add_store_counters (report);
  add_gauges (report);
  return report;
}

char *
hs_report_metrics (void *arg, TALLOC_CTX *ctx, HsNow now)
{
  HsReport *report = arg;
  guint i;

  (void) now;
  for (i = 0; i < report->mirrored_counters->len; i++)
    {
      const MirroredCounter *m
          = &g_array_index (report->mirrored_counters, MirroredCounter, i);

      hs_counter_add (m->counter, 0,
                      *m->source - hs_counter_value (m->counter));
    }
  return hs_metrics_render (ctx, report->metrics);
}

char *
hs_report_status (void *arg, TALLOC_CTX *ctx, HsNow now)
{
  HsReport *report = arg;
  HsCore *core = report->core;
  HsTime lease = hs_lease_manager_lease_until (core->lease_manager) - now.mono;
  HsTime age = hs_lists_sync_age (core->sync, now);
  struct json_object *status = json_object_new_object ();
  uint32_t connected;
  uint32_t agents = hs_owner_count_agents (core->owner, &connected);
  char *text;

  json_object_object_add (status, "name",
                          json_object_new_string (core->entry->name));
  json_object_object_add (status, "data_centre",
                          json_object_new_string (core->settings->data_centre));
  json_object_object_add (status, "leaving",
                          json_object_new_boolean (core->leaving));
  json_object_object_add (status, "lists_revision",
                          json_object_new_int64 (hs_lists_revision (
                              hs_published_lists_get (core->lists))));
  json_object_object_add (
      status, "lists_age_ms",
      age == HS_NEVER ? NULL : json_object_new_int64 (age / HS_MSEC));
  json_object_object_add (status, "lease_ms",
                          json_object_new_int64 (MAX (0, lease) / HS_MSEC));
  json_object_object_add (
      status, "partitions_owned",
      json_object_new_int64 (hs_owner_n_partitions (core->owner)));
  json_object_object_add (status, "agents_known",
                          json_object_new_int64 (agents));
  json_object_object_add (status, "agents_connected",
                          json_object_new_int64 (connected));
  json_object_object_add (
      status, "jobs_unfinished",
      json_object_new_int64 (hs_owner_unfinished_jobs (core->owner)));
  json_object_object_add (
      status, "credits_idle",
      json_object_new_int64 (hs_owner_idle_credits (core->owner)));
  json_object_object_add (status, "entries", entries_json (core));
  text = talloc_strdup (
      ctx, json_object_to_json_string_ext (status, JSON_C_TO_STRING_PLAIN));
  json_object_put (status);
  return text;
}

void
hs_report_measure (HsReport *report,
                   const char *customer,
                   HsTime queued,
                   HsTime run,
                   HsTime whole)
{
  /* Called for a task with `queued` and `run`, for a job with `whole`. */
  if (whole > 0)
    {
      hs_histogram_record (
          hs_metrics_histogram (report->metrics, "hibiscusspoke_job_seconds",
                                "Submission to answer of a job.", "customer",
                                customer),
          whole);
      return;
    }
  hs_histogram_record (hs_metrics_histogram (report->metrics,
                                             "hibiscusspoke_queue_seconds",
                                             "Wait of a task for its start.",
                                             "customer", customer),
                       queued);
  hs_histogram_record (hs_metrics_histogram (report->metrics,
                                             "hibiscusspoke_run_seconds",
                                             "Start of a task to its result.",
                                             "customer", customer),
                       run);
}

static int
report_destructor (HsReport *report)
{
  g_array_unref (report->mirrored_counters);
  return 0;
}

static void
add_mirrored_counter (HsReport *report,
                      const char *name,
                      const char *help,
                      const char *label,
                      const char *value,
                      const uint64_t *source)
{
  MirroredCounter mirrored;

  mirrored.counter
      = hs_metrics_counter (report->metrics, name, help, label, value);
  mirrored.source = source;
  g_array_append_val (report->mirrored_counters, mirrored);
}

static void
add_rpc_counters (HsReport *report)
{
  const HsRpcStats *stats = hs_rpc_stats (report->core->rpc);
  uint32_t i;

  for (i = 0; i < HS_PROC_COUNT; i++)
    {
      const HsProc *proc = hs_proc (i);

      if (proc == NULL)
        continue;
      add_mirrored_counter (report, "hibiscusspoke_calls_sent_total",
                            "Inner calls sent, by procedure.", "procedure",
                            proc->name, &stats->sent_by_proc[i]);
      add_mirrored_counter (report, "hibiscusspoke_calls_received_total",
                            "Inner calls received, by procedure.", "procedure",
                            proc->name, &stats->received_by_proc[i]);
    }
  add_mirrored_counter (report, "hibiscusspoke_inner_bytes_total",
                        "Bytes of the inner protocol.", "direction", "sent",
                        &stats->bytes_sent);
  add_mirrored_counter (report, "hibiscusspoke_inner_bytes_total",
                        "Bytes of the inner protocol.", "direction", "received",
                        &stats->bytes_received);
  add_mirrored_counter (report, "hibiscusspoke_inner_refused_total",
                        "Inner records refused as forged or malformed.", NULL,
                        NULL, &stats->rejected_records);
}

static void
add_store_counters (HsReport *report)
{
  const HsStoreStats *stats = hs_store_stats (report->core->store);
  const char *name = "hibiscusspoke_store_calls_total";
  const char *help = "Calls to the platform's store, by kind.";

  add_mirrored_counter (report, name, help, "kind", "range", &stats->ranges);
  add_mirrored_counter (report, name, help, "kind", "txn", &stats->txns);
  add_mirrored_counter (report, name, help, "kind", "lease",
                        &stats->lease_calls);
  add_mirrored_counter (report, name, help, "kind", "watch", &stats->watches);
  add_mirrored_counter (report, name, help, "kind", "failed", &stats->failures);
}

static void
add_gauges (HsReport *report)
{
  HsCore *core = report->core;
  HsMetrics *m = report->metrics;

  hs_metrics_gauge (m, "hibiscusspoke_partitions", "Partitions owned here.",
                    NULL, NULL, read_owned_partitions, core);
  hs_metrics_gauge (m, "hibiscusspoke_jobs_unfinished",
                    "Jobs that wait or run.", NULL, NULL, read_unfinished_jobs,
                    core);
  hs_metrics_gauge (m, "hibiscusspoke_kept_bytes", "Kept of finished jobs.",
                    NULL, NULL, read_retained_bytes, core);
  hs_metrics_gauge (m, "hibiscusspoke_agents", "Agents known.", "state",
                    "known", read_known_agents, core);
  hs_metrics_gauge (m, "hibiscusspoke_agents", "Agents known.", "state",
                    "connected", read_connected_agents, core);
  hs_metrics_gauge (m, "hibiscusspoke_credits_idle",
                    "Free slots that this entry may use at once.", NULL, NULL,
                    read_idle_credits, core);
  hs_metrics_gauge (m, "hibiscusspoke_lists_revision",
                    "Revision of the lists in force.", NULL, NULL,
                    read_lists_revision, core);
}

static double
read_owned_partitions (void *arg)
{
  return hs_owner_n_partitions (((HsCore *) arg)->owner);
}

static double
read_unfinished_jobs (void *arg)
{
  return hs_owner_unfinished_jobs (((HsCore *) arg)->owner);
}

static double
read_retained_bytes (void *arg)
{
  return (double) hs_owner_retained_bytes (((HsCore *) arg)->owner);
}

static double
read_known_agents (void *arg)
{
  uint32_t connected;

  return hs_owner_count_agents (((HsCore *) arg)->owner, &connected);
}

static double
read_connected_agents (void *arg)
{
  uint32_t connected;

  hs_owner_count_agents (((HsCore *) arg)->owner, &connected);
  return connected;
}

static double
read_idle_credits (void *arg)
{
  return hs_owner_idle_credits (((HsCore *) arg)->owner);
}

static double
read_lists_revision (void *arg)
{
  return (double) hs_lists_revision (
      hs_published_lists_get (((HsCore *) arg)->lists));
}

static struct json_object *
entries_json (const HsCore *core)
{
  const HsOwnership *view = hs_lease_manager_view (core->lease_manager);
  struct json_object *list = json_object_new_array ();
  uint32_t i;

  for (i = 0; i < hs_ownership_entry_count (view); i++)
    {
      const HsEntryRecord *entry = hs_ownership_entry_at (view, i);
      struct json_object *item = json_object_new_object ();

      json_object_object_add (item, "address",
                              json_object_new_string (entry->address));
      json_object_object_add (item, "data_centre",
                              json_object_new_string (entry->data_centre));
      json_object_object_add (item, "leaving",
                              json_object_new_boolean (entry->leaving));
      json_object_array_add (list, item);
    }
  return list;
}
