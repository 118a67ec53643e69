#include "agent/stats.h"

#include <inttypes.h>

#include <glib.h>

static const char *const REFUSALS[HS_REFUSAL_COUNT] = {
  [HSX_REFUSAL_NONE] = "none",           [HSX_REFUSAL_PERMIT] = "permit",
  [HSX_REFUSAL_EPOCH] = "epoch",         [HSX_REFUSAL_CREDIT] = "credit",
  [HSX_REFUSAL_DUPLICATE] = "duplicate", [HSX_REFUSAL_LEAVING] = "leaving",
  [HSX_REFUSAL_TARGET] = "target",       [HSX_REFUSAL_NEEDS] = "needs",
  [HSX_REFUSAL_FENCED] = "fenced",
};

static const char *const ENDS[HS_TARGET_END_COUNT] = {
  [HS_TARGET_ANSWERED] = "answered", [HS_TARGET_UNSENT] = "unsent",
  [HS_TARGET_TIMEOUT] = "timeout",   [HS_TARGET_FOREIGN] = "foreign",
  [HS_TARGET_BROKEN] = "broken",
};

static char *
put (char *text, const char *type, const char *name, uint64_t value);
static char *
put_label (char *text, const char *name, const char *label, uint64_t value);

char *
hs_agent_stats_text (TALLOC_CTX *ctx,
                     const HsAgentStats *stats,
                     const HsAgentGauges *gauges)
{
  char *text = talloc_strdup (ctx, "");
  int i;

  text = put (text, "counter", "starts_total", stats->starts);
  text = put (text, "counter", "results_total", stats->results);
  text = put (text, "counter", "results_unsent_total", stats->unsent);
  text = put (text, "counter", "grants_total", stats->grants);
  text = put (text, "counter", "announcements_total", stats->announced);
  text = put (text, "gauge", "slots", gauges->slots);
  text = put (text, "gauge", "slots_busy", gauges->busy);
  text = put (text, "gauge", "entries", gauges->entries);
  text = put (text, "gauge", "records", gauges->records);
  text = put (text, "gauge", "result_bytes", gauges->body_bytes);
  text = talloc_strdup_append (
      text, "# TYPE hibiscusspoke_agent_refusals_total counter\n");
  for (i = HSX_REFUSAL_PERMIT; i < HS_REFUSAL_COUNT; i++)
    text = put_label (text, "refusals_total", REFUSALS[i], stats->refusals[i]);
  text = talloc_strdup_append (
      text, "# TYPE hibiscusspoke_agent_target_calls_total counter\n");
  for (i = HS_TARGET_ANSWERED; i < HS_TARGET_END_COUNT; i++)
    text = put_label (text, "target_calls_total", ENDS[i], stats->ends[i]);
  return text;
}

static char *
put (char *text, const char *type, const char *name, uint64_t value)
{
  return talloc_asprintf_append (text,
                                 "# TYPE hibiscusspoke_agent_%s %s\n"
                                 "hibiscusspoke_agent_%s %" PRIu64 "\n",
                                 name, type, name, value);
}

static char *
put_label (char *text, const char *name, const char *label, uint64_t value)
{
  return talloc_asprintf_append (
      text, "hibiscusspoke_agent_%s{kind=\"%s\"} %" PRIu64 "\n", name, label,
      value);
}
