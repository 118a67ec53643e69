#include "answer.h"

#include <string.h>

#include <glib.h>
#include <json-c/json.h>

static void check_refusal (Answer *answer, struct json_object *error);
static void check_job (Answer *answer,
                       struct json_object *root,
                       const SubmittedJob *submitted);
static void check_task (Answer *answer,
                        uint32_t index,
                        struct json_object *task,
                        const SubmittedJob *submitted);

static const char *const STATE_NAMES[] = {
  [ANSWER_COMPLETE] = "complete",
  [ANSWER_FAILED] = "failed",
  [ANSWER_REFUSED] = "refused",
  [ANSWER_MALFORMED] = "malformed",
};

static const char *const TASK_STATE_NAMES[] = {
  [TASK_MISSING] = "missing",
  [TASK_DONE] = "done",
  [TASK_FAILED] = "failed",
  [TASK_NOT_RUN] = "not_run",
  [TASK_MAY_HAVE_RUN] = "may_have_run",
};

Answer *
answer_check (TALLOC_CTX *ctx,
              const char *text,
              size_t len,
              const SubmittedJob *submitted)
{
  Answer *answer = talloc_zero (ctx, Answer);
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root = json_tokener_parse_ex (tokener, text, (int) len);
  struct json_object *error;

  answer->state = ANSWER_MALFORMED;
  answer->n_tasks = submitted->n_tasks;
  answer->tasks = talloc_zero_array (answer, TaskState, submitted->n_tasks);
  if (json_object_object_get_ex (root, "error", &error))
    check_refusal (answer, error);
  else if (json_object_is_type (root, json_type_object))
    check_job (answer, root, submitted);
  json_object_put (root);
  json_tokener_free (tokener);
  return answer;
}

const char *
answer_state_name (AnswerState state)
{
  return STATE_NAMES[state];
}

const char *
answer_task_state_name (TaskState state)
{
  return TASK_STATE_NAMES[state];
}

TaskState
answer_parse_task_state (const char *name)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (TASK_STATE_NAMES); i++)
    if (g_strcmp0 (name, TASK_STATE_NAMES[i]) == 0)
      return (TaskState) i;
  return TASK_MISSING;
}

static const char *
string_member (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return "";
  return json_object_get_string (value);
}

static void
check_refusal (Answer *answer, struct json_object *error)
{
  struct json_object *not_run;

  answer->state = ANSWER_REFUSED;
  g_strlcpy (answer->kind, string_member (error, "kind"), ANSWER_KIND_SIZE);
  answer->not_run = json_object_object_get_ex (error, "not_run", &not_run)
                    && json_object_get_boolean (not_run);
}

static void
check_job (Answer *answer,
           struct json_object *root,
           const SubmittedJob *submitted)
{
  const char *state = string_member (root, "state");
  struct json_object *tasks = NULL;
  size_t n = 0;
  bool all_done = true;
  uint32_t i;

  if (strcmp (string_member (root, "customer"), submitted->customer) != 0
      || strcmp (string_member (root, "id"), submitted->id) != 0)
    answer->crossed = true;
  if (strcmp (state, "complete") == 0)
    answer->state = ANSWER_COMPLETE;
  else if (strcmp (state, "failed") == 0)
    answer->state = ANSWER_FAILED;
  else
    return;
  if (json_object_object_get_ex (root, "tasks", &tasks)
      && json_object_is_type (tasks, json_type_array))
    n = json_object_array_length (tasks);
  answer->partial = n != submitted->n_tasks;
  for (i = 0; i < n && i < submitted->n_tasks; i++)
    {
      check_task (answer, i, json_object_array_get_idx (tasks, i), submitted);
      if (answer->tasks[i] != TASK_DONE)
        all_done = false;
      if (answer->tasks[i] == TASK_MISSING)
        answer->partial = true;
    }
  if (all_done != (answer->state == ANSWER_COMPLETE))
    answer->partial = true;
}

static void
check_task (Answer *answer,
            uint32_t index,
            struct json_object *task,
            const SubmittedJob *submitted)
{
  g_autofree char *expected = NULL;

  answer->tasks[index]
      = answer_parse_task_state (string_member (task, "state"));
  if (answer->tasks[index] != TASK_DONE)
    return;
  expected = g_strdup_printf ("nonce=%s-%u task=%s/%s/%u\n", submitted->id,
                              index, submitted->customer, submitted->id, index);
  if (strcmp (string_member (task, "result"), expected) != 0)
    answer->crossed = true;
}
