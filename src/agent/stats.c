#include "agent/stats.h"

#include <inttypes.h>

#include <glib.h>

static const char *const REFUSAL_LABELS[HS_REFUSAL_COUNT] = {
  [HSX_REFUSAL_NONE] = "none",           [HSX_REFUSAL_PERMIT] = "permit",
  [HSX_REFUSAL_EPOCH] = "epoch",         [HSX_REFUSAL_CREDIT] = "credit",
  [HSX_REFUSAL_DUPLICATE] = "duplicate", [HSX_REFUSAL_LEAVING] = "leaving",
  [HSX_REFUSAL_TARGET] = "target",       [HSX_REFUSAL_NEEDS] = "needs",
  [HSX_REFUSAL_FENCED] = "fenced",
};

static const char *const CALL_END_LABELS[HS_TARGET_CALL_END_COUNT] = {
  [HS_TARGET_CALL_ANSWERED] = "answered",
  [HS_TARGET_CALL_UNSENT] = "unsent",
  [HS_TARGET_CALL_TIMEOUT] = "timeout",
  [HS_TARGET_CALL_WRONG_TASK] = "foreign",
  [HS_TARGET_CALL_BROKEN] = "broken",
};

static char *
append_value (char *text, const char *type, const char *name, uint64_t value);
static char *append_labelled_value (char *text,
                                    const char *name,
                                    const char *label,
                                    uint64_t value);

char *
hs_agent_stats_text (TALLOC_CTX *ctx,
                     const HsAgentStats *stats,
                     const HsAgentGauges *gauges)
{
  char *text = talloc_strdup (ctx, "");
  int i;

  text = append_value (text, "counter", "starts_total", stats->starts);
  text = append_value (text, "counter", "results_total", stats->results_sent);
  text = append_value (text, "counter", "results_unsent_total",
                       stats->results_unsent);
  text = append_value (text, "counter", "grants_total", stats->grants);
  text = append_value (text, "counter", "announcements_total",
                       stats->announce_calls);
  text = append_value (text, "gauge", "slots", gauges->slots);
  text = append_value (text, "gauge", "slots_busy", gauges->slots_busy);
  text = append_value (text, "gauge", "entries", gauges->entries);
  text = append_value (text, "gauge", "records", gauges->records);
  text = append_value (text, "gauge", "result_bytes", gauges->body_bytes);
  text = talloc_strdup_append (
      text, "# TYPE hibiscusspoke_agent_refusals_total counter\n");
  for (i = HSX_REFUSAL_PERMIT; i < HS_REFUSAL_COUNT; i++)
    text = append_labelled_value (text, "refusals_total", REFUSAL_LABELS[i],
                                  stats->refusals[i]);
  text = talloc_strdup_append (
      text, "# TYPE hibiscusspoke_agent_target_calls_total counter\n");
  for (i = HS_TARGET_CALL_ANSWERED; i < HS_TARGET_CALL_END_COUNT; i++)
    text = append_labelled_value (text, "target_calls_total",
                                  CALL_END_LABELS[i], stats->call_ends[i]);
  return text;
}

static char *
append_value (char *text, const char *type, const char *name, uint64_t value)
{
  return talloc_asprintf_append (text,
                                 "# TYPE hibiscusspoke_agent_%s %s\n"
                                 "hibiscusspoke_agent_%s %" PRIu64 "\n",
                                 name, type, name, value);
}

static char *
append_labelled_value (char *text,
                       const char *name,
                       const char *label,
                       uint64_t value)
{
  return talloc_asprintf_append (
      text, "hibiscusspoke_agent_%s{kind=\"%s\"} %" PRIu64 "\n", name, label,
      value);
}
