/**
 * @file
 * Fuzzers of the JSON that callers, operators and targets send.
 */
#include <string.h>

#include <json-c/json.h>

#include "agent/target_msg.h"
#include "base/address.h"
#include "entry/job_json.h"
#include "fuzz.h"
#include "lists/lists.h"

/** Byte that fills outputs before a call, to detect writes by one that fails.
 */
#define FILLER 0x5a
#define REVISION_BEFORE 5
#define REVISION_AFTER 6

static bool is_untouched (const void *output, size_t size);
static char *render_job (const hsx_forward_args *args);
static void check_job (const hsx_forward_args *args);
static void check_answer (const hsx_answer *answer, const char *text);

int
hs_fuzz_job (const uint8_t *data, size_t n)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  g_autoptr (GError) error = NULL;
  hsx_forward_args *args = hs_job_parse (ctx, (const char *) data, n, &error);
  hsx_forward_args *reparsed;
  g_autofree char *text = NULL;

  HS_FUZZ_REQUIRE ((args == NULL) == (error != NULL));
  if (args == NULL)
    hs_fuzz_require_error (error);
  else
    {
      check_job (args);
      text = render_job (args);
      reparsed = hs_job_parse (ctx, text, strlen (text), NULL);
      HS_FUZZ_REQUIRE (reparsed != NULL);
      HS_FUZZ_REQUIRE (strcmp (reparsed->customer, args->customer) == 0);
      HS_FUZZ_REQUIRE (strcmp (reparsed->id, args->id) == 0);
      HS_FUZZ_REQUIRE (reparsed->tasks.tasks_len == args->tasks.tasks_len);
      HS_FUZZ_REQUIRE (
          memcmp (reparsed->digest, args->digest, sizeof args->digest) == 0);
    }
  /* A failed parse must leave no allocation behind. */
  talloc_free (args);
  if (args == NULL)
    HS_FUZZ_REQUIRE (talloc_total_blocks (ctx) == 1);
  talloc_free (ctx);
  return 0;
}

int
hs_fuzz_answer (const uint8_t *data, size_t n)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  g_autofree char *reason = g_strndup ((const char *) data, n);
  hsx_task_answer task = { 0 };
  hsx_answer answer = { 0 };
  hsx_forward_args args = { 0 };
  size_t len;

  args.customer = (char *) "c1";
  args.id = (char *) "i1";
  answer.state = n > 0 ? data[0] % (HSX_JOB_REFUSED + 1) : HSX_JOB_COMPLETE;
  answer.kind = n > 1 ? data[1] : 0;
  answer.reason = reason;
  answer.tasks.tasks_len = 1;
  answer.tasks.tasks_val = &task;
  task.state = HSX_TASK_DONE;
  task.http_status = MIN (n, 599);
  task.body.body_val = (char *) (uintptr_t) data;
  task.body.body_len = (u_int) n;
  check_answer (&answer, hs_job_answer_to_json (ctx, &args, &answer, &len));
  HS_FUZZ_REQUIRE (hs_job_answer_http_status (&answer) >= 200);
  talloc_free (ctx);
  return 0;
}

int
hs_fuzz_plan (const uint8_t *data, size_t n)
{
  g_autofree char *json = g_strndup ((const char *) data, n);
  g_autoptr (GError) error = NULL;
  HsPlan plan;
  HsPlan reparsed;
  char *text;

  memset (&plan, FILLER, sizeof plan);
  if (!hs_plan_parse (json, "c1", &plan, &error))
    {
      hs_fuzz_require_error (error);
      HS_FUZZ_REQUIRE (is_untouched (&plan, sizeof plan));
      return 0;
    }
  HS_FUZZ_REQUIRE (error == NULL && hs_name_valid (plan.plan));
  text = hs_plan_to_json (NULL, &plan);
  HS_FUZZ_REQUIRE (hs_plan_parse (text, "c1", &reparsed, NULL));
  HS_FUZZ_REQUIRE (strcmp (plan.customer, reparsed.customer) == 0
                   && strcmp (plan.plan, reparsed.plan) == 0
                   && strcmp (plan.key_hash, reparsed.key_hash) == 0);
  talloc_free (text);
  return 0;
}

int
hs_fuzz_allowance (const uint8_t *data, size_t n)
{
  g_autofree char *json = g_strndup ((const char *) data, n);
  g_autoptr (GError) error = NULL;
  HsAllowance parsed;
  HsAllowance reparsed;
  char *text;

  memset (&parsed, FILLER, sizeof parsed);
  if (!hs_allowance_parse (json, "gold", &parsed, &error))
    {
      hs_fuzz_require_error (error);
      HS_FUZZ_REQUIRE (is_untouched (&parsed, sizeof parsed));
      return 0;
    }
  HS_FUZZ_REQUIRE (error == NULL);
  HS_FUZZ_REQUIRE (parsed.tasks_per_job >= 1
                   && parsed.tasks_per_job <= HSX_TASKS_MAX);
  HS_FUZZ_REQUIRE (parsed.weight >= 1 && parsed.weight <= 1000);
  text = hs_allowance_to_json (NULL, &parsed);
  HS_FUZZ_REQUIRE (hs_allowance_parse (text, "gold", &reparsed, NULL));
  HS_FUZZ_REQUIRE (parsed.in_flight == reparsed.in_flight
                   && parsed.starts_per_s == reparsed.starts_per_s
                   && parsed.burst == reparsed.burst
                   && parsed.queued == reparsed.queued
                   && parsed.tasks_per_job == reparsed.tasks_per_job
                   && parsed.memory_mb == reparsed.memory_mb
                   && parsed.accelerators == reparsed.accelerators
                   && parsed.weight == reparsed.weight);
  talloc_free (text);
  return 0;
}

/** The first line is the name of a record, the rest its value in the store. */
int
hs_fuzz_lists (const uint8_t *data, size_t n)
{
  g_autofree char *name = g_strndup ((const char *) data, n);
  char *json = strchr (name, '\n');
  HsLists *lists = hs_lists_new (NULL);
  g_autoptr (GError) error = NULL;
  const HsPlan *plan;
  bool changed;

  if (json != NULL)
    *json++ = '\0';
  hs_lists_apply (lists, HS_LIST_PLANS, "c1", "{\"plan\":\"gold\"}",
                  REVISION_BEFORE, NULL);
  changed = hs_lists_apply (lists, HS_LIST_PLANS, name, json, REVISION_AFTER,
                            &error);
  plan = hs_lists_plan (lists, name);
  if (error != NULL)
    {
      hs_fuzz_require_error (error);
      HS_FUZZ_REQUIRE (!changed);
    }
  if (changed && json != NULL)
    {
      HS_FUZZ_REQUIRE (hs_name_valid (name));
      HS_FUZZ_REQUIRE (plan != NULL && plan->revision == REVISION_AFTER);
    }
  /* A record must never be replaced by an older revision. */
  HS_FUZZ_REQUIRE (!changed
                   || !hs_lists_apply (lists, HS_LIST_PLANS, name,
                                       "{\"plan\":\"iron\"}", REVISION_BEFORE,
                                       NULL));
  if (strcmp (name, "c1") != 0)
    HS_FUZZ_REQUIRE (hs_lists_plan (lists, "c1")->revision == REVISION_BEFORE);
  talloc_free (lists);
  return 0;
}

int
hs_fuzz_announcement (const uint8_t *data, size_t n)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  HsTargetAnnouncement parsed;
  HsTargetAnnouncement reparsed;

  memset (&parsed, FILLER, sizeof parsed);
  if (!hs_target_announcement_parse ((const char *) data, n, &parsed, &error))
    {
      hs_fuzz_require_error (error);
      HS_FUZZ_REQUIRE (is_untouched (&parsed, sizeof parsed));
      return 0;
    }
  HS_FUZZ_REQUIRE (error == NULL && parsed.slots >= 1);
  text = g_strdup_printf (
      "{\"address\":\"%s\",\"slots\":%u,\"memory_mb\":%u,"
      "\"accelerators\":%u,\"ttl_ms\":%" G_GINT64_FORMAT "}",
      parsed.address, parsed.slots, parsed.capacity.memory_mb,
      parsed.capacity.accelerators, (gint64) (parsed.ttl / HS_MSEC));
  HS_FUZZ_REQUIRE (
      hs_target_announcement_parse (text, strlen (text), &reparsed, NULL));
  HS_FUZZ_REQUIRE (
      strcmp (parsed.address, reparsed.address) == 0
      && parsed.slots == reparsed.slots && parsed.ttl == reparsed.ttl
      && parsed.capacity.memory_mb == reparsed.capacity.memory_mb
      && parsed.capacity.accelerators == reparsed.capacity.accelerators);
  return 0;
}

static bool
is_untouched (const void *output, size_t size)
{
  const uint8_t *bytes = output;
  size_t i;

  for (i = 0; i < size; i++)
    if (bytes[i] != FILLER)
      return false;
  return true;
}

/** Checks the limits that the rest of the program relies on. */
static void
check_job (const hsx_forward_args *args)
{
  u_int i;

  HS_FUZZ_REQUIRE (args->verb == HSX_SUBMIT);
  HS_FUZZ_REQUIRE (hs_name_valid (args->customer));
  HS_FUZZ_REQUIRE (hs_job_id_is_valid (args->id));
  HS_FUZZ_REQUIRE (args->tasks.tasks_len >= 1
                   && args->tasks.tasks_len <= HSX_TASKS_MAX);
  for (i = 0; i < args->tasks.tasks_len; i++)
    {
      const hsx_task *task = &args->tasks.tasks_val[i];

      HS_FUZZ_REQUIRE (task->body.body_len <= HSX_BODY_MAX);
      HS_FUZZ_REQUIRE (task->body.body_len == 0
                       || g_utf8_validate_len (task->body.body_val,
                                               task->body.body_len, NULL)
                       || memchr (task->body.body_val, 0, task->body.body_len));
    }
}

static void
add_number (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

static char *
render_job (const hsx_forward_args *args)
{
  struct json_object *job = json_object_new_object ();
  struct json_object *tasks = json_object_new_array ();
  char *text;
  u_int i;

  for (i = 0; i < args->tasks.tasks_len; i++)
    {
      const hsx_task *task = &args->tasks.tasks_val[i];
      struct json_object *object = json_object_new_object ();
      struct json_object *needs = json_object_new_object ();

      json_object_object_add (
          object, "body",
          json_object_new_string_len (
              task->body.body_len > 0 ? task->body.body_val : "",
              (int) task->body.body_len));
      json_object_object_add (object, "idempotent",
                              json_object_new_boolean (task->idempotent));
      add_number (object, "run_ms", task->run_ms);
      add_number (object, "deadline_ms", task->deadline_ms);
      add_number (needs, "memory_mb", task->needs.memory_mb);
      add_number (needs, "accelerators", task->needs.accelerators);
      json_object_object_add (object, "needs", needs);
      json_object_array_add (tasks, object);
    }
  json_object_object_add (job, "customer",
                          json_object_new_string (args->customer));
  json_object_object_add (job, "id", json_object_new_string (args->id));
  json_object_object_add (job, "tasks", tasks);
  text = g_strdup (json_object_to_json_string (job));
  json_object_put (job);
  return text;
}

/** Checks that the text is valid JSON and contains the exact result. */
static void
check_answer (const hsx_answer *answer, const char *text)
{
  struct json_object *root = json_tokener_parse (text);
  const hsx_task_answer *task = answer->tasks.tasks_val;
  struct json_object *tasks;
  struct json_object *field;

  HS_FUZZ_REQUIRE (root != NULL);
  HS_FUZZ_REQUIRE (g_utf8_validate (text, -1, NULL));
  if (answer->state == HSX_JOB_REFUSED)
    HS_FUZZ_REQUIRE (json_object_object_get_ex (root, "error", &field));
  if (json_object_object_get_ex (root, "tasks", &tasks))
    {
      struct json_object *first = json_object_array_get_idx (tasks, 0);

      if (json_object_object_get_ex (first, "result", &field))
        HS_FUZZ_REQUIRE (json_object_get_string_len (field)
                             == (int) task->body.body_len
                         && memcmp (json_object_get_string (field),
                                    task->body.body_val, task->body.body_len)
                                == 0);
      else
        {
          gsize len;
          g_autofree guchar *bytes = NULL;

          HS_FUZZ_REQUIRE (
              json_object_object_get_ex (first, "result_base64", &field));
          bytes = g_base64_decode (json_object_get_string (field), &len);
          HS_FUZZ_REQUIRE (len == task->body.body_len
                           && memcmp (bytes, task->body.body_val, len) == 0);
        }
    }
  json_object_put (root);
}
