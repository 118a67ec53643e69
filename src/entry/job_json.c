#include "entry/job_json.h"

#include <string.h>

#include <json-c/json.h>

#include "base/error.h"
#include "config/entry_memory.h"
#include "config/json_check.h"
#include "config/json_cost.h"
#include "config/json_fields.h"
#include "lists/lists.h"

/** Largest run time and deadline that a task may request: 24 hours. */
#define DURATION_MAX_MS 86400000

/** The members of a job. */
typedef struct
{
  char *customer;
  char *id;
  struct json_object *tasks;
} JobFields;

/** The members of an element of "tasks". */
typedef struct
{
  struct json_object *body;
  struct json_object *needs;
  bool idempotent;
  uint32_t run_ms;
  uint32_t deadline_ms;
} TaskFields;

/** The members of "needs". */
typedef struct
{
  uint32_t memory_mb;
  uint32_t accelerators;
} NeedsFields;

static const HsField JOB_FIELDS[] = {
  { "customer", HS_FIELD_STRING, true, 1, HSX_NAME_MAX,
    offsetof (JobFields, customer), hs_name_valid,
    "use the customer's name as in the list of plans" },
  { "id", HS_FIELD_STRING, true, 1, HSX_ID_MAX, offsetof (JobFields, id),
    hs_job_id_is_valid, "use 1 to 128 visible ASCII characters without '/'" },
  { "tasks", HS_FIELD_ARRAY, true, 1, HSX_TASKS_MAX,
    offsetof (JobFields, tasks), NULL, NULL },
};

static const HsField TASK_FIELDS[] = {
  { "body", HS_FIELD_TEXT, true, 0, HSX_BODY_MAX, offsetof (TaskFields, body),
    NULL, NULL },
  { "idempotent", HS_FIELD_BOOL, false, 0, 0, offsetof (TaskFields, idempotent),
    NULL, NULL },
  { "run_ms", HS_FIELD_UINT32, false, 0, DURATION_MAX_MS,
    offsetof (TaskFields, run_ms), NULL, NULL },
  { "deadline_ms", HS_FIELD_UINT32, false, 0, DURATION_MAX_MS,
    offsetof (TaskFields, deadline_ms), NULL, NULL },
  { "needs", HS_FIELD_OBJECT, false, 0, 0, offsetof (TaskFields, needs), NULL,
    NULL },
};

static const HsField NEEDS_FIELDS[] = {
  { "memory_mb", HS_FIELD_UINT32, false, 0, UINT32_MAX,
    offsetof (NeedsFields, memory_mb), NULL, NULL },
  { "accelerators", HS_FIELD_UINT32, false, 0, UINT32_MAX,
    offsetof (NeedsFields, accelerators), NULL, NULL },
};

static bool
parse_job (hsx_forward_args *args, struct json_object *root, GError **error);
static bool parse_task (hsx_forward_args *args,
                        size_t index,
                        struct json_object *object,
                        GError **error);
static struct json_object *job_to_json (const hsx_forward_args *args,
                                        const hsx_answer *answer);
static struct json_object *
error_to_json (HsErrorKind kind, const char *message, bool not_run);
static char *
serialize_and_free (TALLOC_CTX *ctx, struct json_object *object, size_t *len);
static HsErrorKind error_kind_or_internal (unsigned int kind);

hsx_forward_args *
hs_job_parse (TALLOC_CTX *ctx, const char *text, size_t len, GError **error)
{
  hsx_forward_args *args;
  HsJsonDoc *doc;
  bool ok;

  if (hs_json_cost (text, len) > HS_ENTRY_TREE_MAX_BYTES)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_TOO_LARGE,
                   "more values than a job of %d tasks has; split it, and "
                   "leave out unknown keys",
                   HSX_TASKS_MAX);
      return NULL;
    }
  doc = hs_json_parse (ctx, text, len, HS_JSON_PLAIN, NULL, error);
  if (doc == NULL)
    return NULL;
  args = talloc_zero (ctx, hsx_forward_args);
  args->verb = HSX_SUBMIT;
  ok = parse_job (args, doc->root, error);
  talloc_free (doc);
  if (!ok)
    {
      talloc_free (args);
      return NULL;
    }
  hs_job_compute_digest (args);
  return args;
}

void
hs_job_compute_digest (hsx_forward_args *args)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = HSX_DIGEST_SIZE;
  const hsx_task *task;
  unsigned int i;

  /* Fixed-width members in a fixed order, the last one the length of the body,
   * then the body: different lists of tasks never give the same bytes. */
  for (i = 0; i < args->tasks.tasks_len; i++)
    {
      task = &args->tasks.tasks_val[i];
      const uint32_t members[] = {
        GUINT32_TO_BE (task->idempotent ? 1 : 0),
        GUINT32_TO_BE (task->run_ms),
        GUINT32_TO_BE (task->deadline_ms),
        GUINT32_TO_BE (task->needs.memory_mb),
        GUINT32_TO_BE (task->needs.accelerators),
        GUINT32_TO_BE (task->body.body_len),
      };

      g_checksum_update (sum, (const guchar *) members, sizeof members);
      g_checksum_update (sum, (const guchar *) task->body.body_val,
                         task->body.body_len);
    }
  g_checksum_get_digest (sum, (guint8 *) args->digest, &size);
  g_checksum_free (sum);
}

bool
hs_job_id_is_valid (const char *id)
{
  size_t i;

  if (strcmp (id, ".") == 0 || strcmp (id, "..") == 0)
    return false;
  for (i = 0; id[i] != '\0'; i++)
    if (i == HSX_ID_MAX || !g_ascii_isgraph (id[i]) || id[i] == '/')
      return false;
  return i > 0;
}

char *
hs_job_answer_to_json (TALLOC_CTX *ctx,
                       const hsx_forward_args *args,
                       const hsx_answer *answer,
                       size_t *len)
{
  if (answer->state == HSX_JOB_REFUSED)
    return hs_job_error_to_json (ctx, error_kind_or_internal (answer->kind),
                                 answer->reason != NULL ? answer->reason : "",
                                 answer->not_run, len);
  return serialize_and_free (ctx, job_to_json (args, answer), len);
}

unsigned int
hs_job_answer_http_status (const hsx_answer *answer)
{
  switch (answer->state)
    {
    case HSX_JOB_RUNNING:
      return 202;
    case HSX_JOB_COMPLETE:
    case HSX_JOB_FAILED:
      return 200;
    case HSX_JOB_REFUSED:
      return hs_error_http_status (error_kind_or_internal (answer->kind));
    default:
      return 500;
    }
}

char *
hs_job_error_to_json (TALLOC_CTX *ctx,
                      HsErrorKind kind,
                      const char *message,
                      bool not_run,
                      size_t *len)
{
  return serialize_and_free (ctx, error_to_json (kind, message, not_run), len);
}

static bool
parse_job (hsx_forward_args *args, struct json_object *root, GError **error)
{
  HsFieldContext place = { .prefix = "" };
  JobFields job = { NULL, NULL, NULL };
  size_t n;
  size_t i;

  if (!hs_fields_read (args, root, JOB_FIELDS, G_N_ELEMENTS (JOB_FIELDS), &job,
                       &place, error))
    return false;
  args->customer = job.customer;
  args->id = job.id;
  n = json_object_array_length (job.tasks);
  args->tasks.tasks_len = (u_int) n;
  args->tasks.tasks_val = talloc_zero_array (args, hsx_task, n);
  for (i = 0; i < n; i++)
    if (!parse_task (args, i, json_object_array_get_idx (job.tasks, i), error))
      return false;
  return true;
}

static bool
parse_needs (hsx_task *task,
             struct json_object *object,
             const char *prefix,
             GError **error)
{
  char needs_prefix[64];
  HsFieldContext place = { .prefix = needs_prefix };
  NeedsFields needs = { 0, 0 };

  if (object == NULL)
    return true;
  g_snprintf (needs_prefix, sizeof needs_prefix, "%sneeds.", prefix);
  if (!hs_fields_read (NULL, object, NEEDS_FIELDS, G_N_ELEMENTS (NEEDS_FIELDS),
                       &needs, &place, error))
    return false;
  task->needs.memory_mb = needs.memory_mb;
  task->needs.accelerators = needs.accelerators;
  return true;
}

static bool
parse_task (hsx_forward_args *args,
            size_t index,
            struct json_object *object,
            GError **error)
{
  hsx_task *task = &args->tasks.tasks_val[index];
  TaskFields read = { NULL, NULL, false, 0, 0 };
  char prefix[32];
  HsFieldContext place = { .prefix = prefix };

  g_snprintf (prefix, sizeof prefix, "tasks[%zu].", index);
  if (!hs_fields_read (args, object, TASK_FIELDS, G_N_ELEMENTS (TASK_FIELDS),
                       &read, &place, error))
    return false;
  task->body.body_len = (u_int) json_object_get_string_len (read.body);
  task->body.body_val
      = talloc_memdup (args->tasks.tasks_val,
                       json_object_get_string (read.body), task->body.body_len);
  task->idempotent = read.idempotent;
  task->run_ms = read.run_ms;
  task->deadline_ms = read.deadline_ms;
  return parse_needs (task, read.needs, prefix, error);
}

static void
add_string (struct json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

static void
add_task_result (struct json_object *object, const hsx_task_answer *answer)
{
  const char *body = answer->body.body_val;
  u_int len = answer->body.body_len;
  g_autofree char *base64 = NULL;

  json_object_object_add (object, "status",
                          json_object_new_int ((int) answer->http_status));
  if (len == 0 || g_utf8_validate_len (body, len, NULL))
    {
      json_object_object_add (
          object, "result",
          json_object_new_string_len (len > 0 ? body : "", (int) len));
      return;
    }
  base64 = g_base64_encode ((const guchar *) body, len);
  add_string (object, "result_base64", base64);
}

static struct json_object *
task_to_json (const hsx_task_answer *answer)
{
  struct json_object *object = json_object_new_object ();

  switch (answer->state)
    {
    case HSX_TASK_DONE:
      add_string (object, "state", "done");
      add_task_result (object, answer);
      break;
    case HSX_TASK_FAILED:
      add_string (object, "state", "failed");
      add_task_result (object, answer);
      break;
    case HSX_TASK_NOT_RUN:
      add_string (object, "state", "not_run");
      add_string (object, "kind",
                  hs_error_kind_name (error_kind_or_internal (answer->kind)));
      break;
    case HSX_TASK_MAY_HAVE_RUN:
    default:
      add_string (object, "state", "may_have_run");
      add_string (object, "kind",
                  hs_error_kind_name (error_kind_or_internal (answer->kind)));
      break;
    }
  return object;
}

static struct json_object *
job_to_json (const hsx_forward_args *args, const hsx_answer *answer)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *tasks;
  u_int i;

  add_string (object, "customer", args->customer);
  add_string (object, "id", args->id);
  if (answer->state == HSX_JOB_RUNNING)
    {
      add_string (object, "state", "running");
      return object;
    }
  add_string (object, "state",
              answer->state == HSX_JOB_COMPLETE ? "complete" : "failed");
  tasks = json_object_new_array_ext ((int) answer->tasks.tasks_len);
  for (i = 0; i < answer->tasks.tasks_len; i++)
    json_object_array_add (tasks, task_to_json (&answer->tasks.tasks_val[i]));
  json_object_object_add (object, "tasks", tasks);
  return object;
}

static struct json_object *
error_to_json (HsErrorKind kind, const char *message, bool not_run)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *inner = json_object_new_object ();
  /* A reason from another entry may be truncated inside a character. */
  g_autofree char *valid = g_utf8_make_valid (message, -1);

  add_string (inner, "kind", hs_error_kind_name (kind));
  add_string (inner, "message", valid);
  json_object_object_add (inner, "not_run", json_object_new_boolean (not_run));
  json_object_object_add (object, "error", inner);
  return object;
}

/** Renders @p object, sets @p len to the length in bytes and frees @p object.
 */
static char *
serialize_and_free (TALLOC_CTX *ctx, struct json_object *object, size_t *len)
{
  const char *text = json_object_to_json_string_length (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, len);
  char *copy = talloc_memdup (ctx, text, *len + 1);

  json_object_put (object);
  return copy;
}

/** Maps kinds that this version does not know to HS_ERROR_INTERNAL. */
static HsErrorKind
error_kind_or_internal (unsigned int kind)
{
  return kind <= HS_ERROR_INTERNAL ? (HsErrorKind) kind : HS_ERROR_INTERNAL;
}
