#include "platform_target_wire.h"

#include <inttypes.h>

#include <glib.h>

#include "platform/json.h"
#include "platform/target_wire.h"

char *
hs_standin_format_list (const HsTargetList *list)
{
  static const char *const names[] = { [HSX_END_DONE] = "done",
                                       [HSX_END_FAILED] = "failed",
                                       [HSX_END_STOPPED] = "stopped",
                                       [HSX_END_LAPSED] = "lapsed" };
  GString *text = g_string_new (NULL);
  char name[HS_TASK_NAME_SIZE];
  char *copy;
  size_t i;

  g_string_append_printf (
      text, "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"running\":[",
      list->clock_ms, list->started_ms);
  for (i = 0; i < list->n_running; i++)
    {
      hs_task_name_format (&list->running[i].key, name);
      g_string_append_printf (text, "%s[\"%s\",%u,\"\",%d]", i > 0 ? "," : "",
                              name, list->running[i].key.attempt,
                              list->running[i].percent);
    }
  g_string_append (text, "],\"finished\":[");
  for (i = 0; i < list->n_ends; i++)
    {
      hs_task_name_format (&list->ends[i].key, name);
      g_string_append_printf (text, "%s[%" PRIu64 ",\"%s\",%u,\"%s\",\"\"]",
                              i > 0 ? "," : "", list->ends[i].number, name,
                              list->ends[i].key.attempt,
                              names[list->ends[i].how]);
    }
  g_string_append (text, "]}");
  copy = talloc_strdup (NULL, text->str);
  g_string_free (text, TRUE);
  return copy;
}

char *
hs_standin_format_result (HsTargetResult result,
                          int64_t clock_ms,
                          unsigned int *status)
{
  static const char *const reasons[] = { [HS_TARGET_FENCED] = "fence",
                                         [HS_TARGET_OUTDATED] = "old",
                                         [HS_TARGET_LEASE_EXPIRED] = "late" };

  if (result == HS_TARGET_OK)
    {
      *status = 200;
      return talloc_asprintf (NULL, "{\"clock_ms\":%" PRId64 "}", clock_ms);
    }
  if (result == HS_TARGET_INVALID)
    {
      *status = 400;
      return talloc_asprintf (NULL, "{\"clock_ms\":%" PRId64 "}", clock_ms);
    }
  *status = 409;
  return talloc_asprintf (NULL, "{\"clock_ms\":%" PRId64 ",\"reason\":\"%s\"}",
                          clock_ms, reasons[result]);
}

bool
hs_standin_parse_run_key (struct json_object *root,
                          HsRunKey *key,
                          uint64_t *token)
{
  const char *name = hs_json_get_string (root, "task");
  int64_t attempt = 0;
  int64_t fence = 0;

  if (name == NULL || !hs_task_name_parse (name, key)
      || !hs_json_get_int (root, "attempt", &attempt)
      || !hs_json_get_int (root, "fencing_token", &fence))
    return false;
  key->attempt = (uint32_t) attempt;
  *token = (uint64_t) fence;
  return true;
}
