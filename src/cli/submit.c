#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "base/time.h"
#include "base/uuid7.h"
#include "cli/cli.h"
#include "entry/job_json.h"
#include "lists/lists.h"

#define COMMAND "submit"
#define DEFAULT_TIMEOUT_S 120
#define MS_PER_S 1000
#define TIMEOUT_MAX_S 86400

typedef enum
{
  ACTION_SUBMIT,
  ACTION_FETCH,
  ACTION_CANCEL
} Action;

/** The options of one invocation. */
typedef struct
{
  char **entries;
  char *customer;
  char *key_file;
  char *id;
  char *fetch;
  char *cancel;
  char *tasks_file;
  char **bodies;
  gboolean idempotent;
  gboolean json;
  int timeout_s;
} Options;

/** The request, which is the same for each entry that is tried. */
typedef struct
{
  Action action;
  const char *customer;
  const char *id;
  const char *key;
  const char *body; /**< JSON of a job to submit; else NULL. */
  long timeout_ms;
  bool json;
} Request;

static int run (TALLOC_CTX *ctx, const Options *options);
static bool check_options (const Options *options);
static const char *select_id (TALLOC_CTX *ctx, const Options *options);
static char *
build_job (TALLOC_CTX *ctx, const Options *options, const char *id);
static struct json_object *build_tasks (TALLOC_CTX *ctx,
                                        const Options *options);
static int
try_entries (TALLOC_CTX *ctx, const Request *request, char **entries);
static HsHttpResponse *
call_entry (TALLOC_CTX *ctx, const Request *request, const char *entry);
static bool is_certainly_not_run (TALLOC_CTX *ctx,
                                  const HsHttpResponse *response);
static bool is_job_answer (struct json_object *root);
static int print_answer (const Request *request,
                         const HsHttpResponse *response,
                         struct json_object *root);
static void print_task (size_t index, struct json_object *task);
static void free_options (Options *options);

int
hs_cli_submit_main (int argc, char **argv)
{
  Options options = { .timeout_s = DEFAULT_TIMEOUT_S };
  const GOptionEntry entries[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &options.entries,
      "address of an entry; may be repeated to try the next on failure",
      "URL" },
    { "customer", 'c', 0, G_OPTION_ARG_STRING, &options.customer,
      "name of the customer", "NAME" },
    { "key-file", 'k', 0, G_OPTION_ARG_FILENAME, &options.key_file,
      "file with the customer's key", "FILE" },
    { "id", 'i', 0, G_OPTION_ARG_STRING, &options.id,
      "id of the submission; by default a new UUIDv7", "ID" },
    { "tasks", 't', 0, G_OPTION_ARG_FILENAME, &options.tasks_file,
      "JSON array of tasks", "FILE" },
    { "body", 'b', 0, G_OPTION_ARG_STRING_ARRAY, &options.bodies,
      "body of a task; may be repeated", "TEXT" },
    { "idempotent", 0, 0, G_OPTION_ARG_NONE, &options.idempotent,
      "tasks of --body are idempotent", NULL },
    { "fetch", 0, 0, G_OPTION_ARG_STRING, &options.fetch,
      "wait for the answer to a submission", "ID" },
    { "cancel", 0, 0, G_OPTION_ARG_STRING, &options.cancel,
      "cancel the tasks of a submission that have not started", "ID" },
    { "timeout", 0, 0, G_OPTION_ARG_INT, &options.timeout_s,
      "time limit for each entry, in seconds", "S" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &options.json,
      "print the answer as received", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  TALLOC_CTX *tmp = talloc_new (NULL);
  int code = HS_CLI_USAGE;

  if (hs_cli_parse_options (&argc, &argv, entries, NULL,
                            "Submits a job and waits for its complete answer."))
    {
      if (argc > 1)
        hs_cli_error (COMMAND, "unexpected operand '%s'; see --help", argv[1]);
      else
        code = run (tmp, &options);
    }
  talloc_free (tmp);
  free_options (&options);
  return code;
}

static int
run (TALLOC_CTX *ctx, const Options *options)
{
  Request request = { .action = ACTION_SUBMIT,
                      .customer = options->customer,
                      .timeout_ms = (long) options->timeout_s * MS_PER_S,
                      .json = options->json };

  if (!check_options (options))
    return HS_CLI_USAGE;
  if (options->fetch != NULL)
    request.action = ACTION_FETCH;
  if (options->cancel != NULL)
    request.action = ACTION_CANCEL;
  request.key = hs_cli_read_secret (ctx, COMMAND, options->key_file);
  if (request.key == NULL)
    return HS_CLI_USAGE;
  request.id = select_id (ctx, options);
  if (request.id == NULL)
    return HS_CLI_UNKNOWN;
  if (!hs_job_id_is_valid (request.id))
    {
      hs_cli_error (COMMAND,
                    "invalid id '%s'; give 1 to 128 visible ASCII "
                    "characters without '/'",
                    request.id);
      return HS_CLI_USAGE;
    }
  if (request.action == ACTION_SUBMIT)
    {
      request.body = build_job (ctx, options, request.id);
      if (request.body == NULL)
        return HS_CLI_USAGE;
    }
  return try_entries (ctx, &request, options->entries);
}

static bool
check_options (const Options *options)
{
  const char *wrong = NULL;
  bool has_tasks = options->tasks_file != NULL || options->bodies != NULL;
  bool has_action = options->fetch != NULL || options->cancel != NULL;

  if (options->entries == NULL || options->customer == NULL
      || options->key_file == NULL)
    wrong = "give --entry, --customer and --key-file";
  else if (!hs_name_valid (options->customer))
    wrong = "invalid name of a customer; use 1 to 64 of a-z A-Z 0-9 "
            ". _ -";
  else if (options->fetch != NULL && options->cancel != NULL)
    wrong = "give one of --fetch and --cancel";
  else if (has_action && (has_tasks || options->id != NULL))
    wrong = "--fetch and --cancel take neither tasks nor --id";
  else if (!has_action && !has_tasks)
    wrong = "no tasks; give --tasks or --body";
  else if (options->tasks_file != NULL && options->bodies != NULL)
    wrong = "give one of --tasks and --body";
  else if (options->timeout_s < 1 || options->timeout_s > TIMEOUT_MAX_S)
    wrong = "--timeout must be 1 to 86400 seconds";
  if (wrong != NULL)
    hs_cli_error (COMMAND, "%s; see --help", wrong);
  return wrong == NULL;
}

static const char *
select_id (TALLOC_CTX *ctx, const Options *options)
{
  uint8_t random[HS_UUID7_RANDOM_SIZE];
  char *id;

  if (options->fetch != NULL)
    return options->fetch;
  if (options->cancel != NULL)
    return options->cancel;
  if (options->id != NULL)
    return options->id;
  if (getrandom (random, sizeof random, 0) != (ssize_t) sizeof random)
    {
      hs_cli_error (COMMAND, "cannot get random bytes for an id; give --id");
      return NULL;
    }
  id = talloc_zero_size (ctx, HS_UUID_SIZE);
  hs_uuid7_format (hs_now ().wall_ms, random, id);
  return id;
}

static char *
build_job (TALLOC_CTX *ctx, const Options *options, const char *id)
{
  struct json_object *tasks = build_tasks (ctx, options);
  struct json_object *job;
  g_autoptr (GError) error = NULL;
  char *text;

  if (tasks == NULL)
    return NULL;
  job = json_object_new_object ();
  json_object_object_add (job, "customer",
                          json_object_new_string (options->customer));
  json_object_object_add (job, "id", json_object_new_string (id));
  json_object_object_add (job, "tasks", tasks);
  text = talloc_strdup (
      ctx, json_object_to_json_string_ext (job, JSON_C_TO_STRING_PLAIN));
  json_object_put (job);
  if (hs_job_parse (ctx, text, strlen (text), &error) != NULL)
    return text;
  hs_cli_error (COMMAND, "%s", error->message);
  return NULL;
}

static struct json_object *
build_tasks (TALLOC_CTX *ctx, const Options *options)
{
  struct json_object *tasks;
  HsJsonDoc *doc;
  size_t i;

  if (options->tasks_file != NULL)
    {
      doc = hs_cli_read_json (ctx, COMMAND, options->tasks_file);
      return doc == NULL ? NULL : json_object_get (doc->root);
    }
  tasks = json_object_new_array ();
  for (i = 0; options->bodies[i] != NULL; i++)
    {
      struct json_object *task = json_object_new_object ();

      json_object_object_add (task, "body",
                              json_object_new_string (options->bodies[i]));
      if (options->idempotent)
        json_object_object_add (task, "idempotent",
                                json_object_new_boolean (1));
      json_object_array_add (tasks, task);
    }
  return tasks;
}

/*
 * Sends the request to one entry after the other until one gives a definite
 * answer. All get the same id, so that the job is submitted only once.
 */
static int
try_entries (TALLOC_CTX *ctx, const Request *request, char **entries)
{
  bool not_run = true;
  int code = HS_CLI_UNKNOWN;
  size_t i;

  for (i = 0; entries[i] != NULL; i++)
    {
      HsHttpResponse *response = call_entry (ctx, request, entries[i]);
      struct json_object *root = NULL;

      if (response->outcome == HS_HTTP_RESPONDED)
        root = hs_cli_parse_json (response, response->body);
      if (is_job_answer (root))
        return print_answer (request, response, root);
      not_run = not_run && is_certainly_not_run (ctx, response);
      code = hs_cli_report_failure (COMMAND, request->id, entries[i], response);
      if (code != HS_CLI_UNKNOWN)
        return code;
    }
  if (request->action == ACTION_SUBMIT)
    hs_cli_error (COMMAND, "job %s %s; submit it again with --id %s",
                  request->id, not_run ? "was not run" : "may have run",
                  request->id);
  return code;
}

static HsHttpResponse *
call_entry (TALLOC_CTX *ctx, const Request *request, const char *entry)
{
  static const char *const METHODS[] = {
    [ACTION_SUBMIT] = "POST",
    [ACTION_FETCH] = "GET",
    [ACTION_CANCEL] = "DELETE",
  };
  /* Valid names of customers need no escaping. */
  char *path = talloc_asprintf (ctx, "v1/jobs/%s", request->customer);
  char *url = hs_cli_url (ctx, entry, "v1/jobs", NULL);
  HsHttpCall call = { .method = METHODS[request->action],
                      .bearer = request->key,
                      .body = request->body,
                      .timeout_ms = request->timeout_ms };

  if (request->action != ACTION_SUBMIT)
    url = hs_cli_url (ctx, entry, path, request->id);
  if (request->action == ACTION_FETCH)
    url = talloc_strdup_append_buffer (url, "?wait=1");
  call.url = url;
  return hs_http_call (ctx, &call);
}

static bool
is_certainly_not_run (TALLOC_CTX *ctx, const HsHttpResponse *response)
{
  struct json_object *root;
  struct json_object *error;
  struct json_object *not_run;

  if (response->outcome != HS_HTTP_RESPONDED)
    return response->outcome == HS_HTTP_UNREACHABLE;
  root = hs_cli_parse_json (ctx, response->body);
  return json_object_is_type (root, json_type_object)
         && json_object_object_get_ex (root, "error", &error)
         && json_object_is_type (error, json_type_object)
         && json_object_object_get_ex (error, "not_run", &not_run)
         && json_object_get_boolean (not_run);
}

static bool
is_job_answer (struct json_object *root)
{
  return *hs_cli_json_string (root, "state", "") != '\0';
}

static int
print_answer (const Request *request,
              const HsHttpResponse *response,
              struct json_object *root)
{
  const char *state = hs_cli_json_string (root, "state", "");
  struct json_object *tasks;
  size_t i;

  if (request->json)
    printf ("%s\n", response->body);
  else
    {
      printf ("%s %s\n", hs_cli_json_string (root, "id", request->id), state);
      if (json_object_object_get_ex (root, "tasks", &tasks)
          && json_object_is_type (tasks, json_type_array))
        for (i = 0; i < json_object_array_length (tasks); i++)
          print_task (i, json_object_array_get_idx (tasks, i));
    }
  if (request->action == ACTION_CANCEL || strcmp (state, "complete") == 0)
    return HS_CLI_OK;
  return strcmp (state, "failed") == 0 ? HS_CLI_FAILED : HS_CLI_UNKNOWN;
}

static void
print_task (size_t index, struct json_object *task)
{
  const char *base64 = hs_cli_json_string (task, "result_base64", NULL);

  printf ("%zu %s %s\n", index, hs_cli_json_string (task, "state", "?"),
          base64 != NULL
              ? base64
              : hs_cli_json_string (task, "result",
                                    hs_cli_json_string (task, "kind", "")));
}

static void
free_options (Options *options)
{
  g_strfreev (options->entries);
  g_free (options->customer);
  g_free (options->key_file);
  g_free (options->id);
  g_free (options->fetch);
  g_free (options->cancel);
  g_free (options->tasks_file);
  g_strfreev (options->bodies);
}
