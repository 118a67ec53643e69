#include "cli/list_command.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 10000

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404

static int run_subcommand (HsCliListCommand *command, int argc, char **argv);
static int show (const HsCliListCommand *command, const char *name);
static void print_list (struct json_object *records);
static int
put_file (const HsCliListCommand *command, const char *name, const char *path);
static int write_at_revision (const HsCliListCommand *command,
                              const char *name,
                              const char *json);
static int get_current_revision (const HsCliListCommand *command,
                                 const char *name,
                                 int64_t *revision);

int
hs_cli_list_main (const HsCliListType *type, int argc, char **argv)
{
  HsCliListCommand command
      = { .type = type, .revision = HS_CLI_REVISION_CURRENT };
  g_autofree char *admin = NULL;
  g_autofree char *token_file = NULL;
  gboolean dry_run = FALSE;
  gboolean prune = FALSE;
  gboolean json = FALSE;
  const GOptionEntry options[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING, &admin, "admin address of an entry",
      "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_file,
      "file with the admin token", "FILE" },
    { "revision", 'r', 0, G_OPTION_ARG_INT64, &command.revision,
      "revision of the record to replace; 0: create", "N" },
    { "dry-run", 'n', 0, G_OPTION_ARG_NONE, &dry_run,
      "apply: print the changes and write nothing", NULL },
    { "prune", 0, 0, G_OPTION_ARG_NONE, &prune,
      "apply: delete records that are not in the file", NULL },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  int code;

  if (!hs_cli_parse_options (
          &argc, &argv, options,
          "list | get NAME | put NAME FILE | delete NAME | apply FILE",
          "Shows and edits the records of a list."))
    return HS_CLI_USAGE;
  if (argc < 2 || admin == NULL || token_file == NULL
      || command.revision < HS_CLI_REVISION_CURRENT)
    {
      hs_cli_error (type->name, "give a command, --admin, --token-file and a "
                                "revision of 0 or more; see --help");
      return HS_CLI_USAGE;
    }
  command.admin_url = admin;
  command.dry_run = dry_run;
  command.prune = prune;
  command.json = json;
  command.token = hs_cli_read_secret (NULL, type->name, token_file);
  if (command.token == NULL)
    return HS_CLI_USAGE;
  code = run_subcommand (&command, argc, argv);
  talloc_free (command.token);
  return code;
}

HsHttpResponse *
hs_cli_list_get (TALLOC_CTX *ctx,
                 const HsCliListCommand *command,
                 const char *name)
{
  char *url = hs_cli_url (ctx, command->admin_url, command->type->path, name);
  HsHttpCall call = { .method = "GET",
                      .url = url,
                      .bearer = command->token,
                      .timeout_ms = CALL_TIMEOUT_MS };

  return hs_http_call (ctx, &call);
}

int
hs_cli_record_write (const HsCliListCommand *command,
                     const char *name,
                     const char *json,
                     int64_t revision)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  char *url = hs_cli_url (tmp, command->admin_url, command->type->path, name);
  HsHttpCall call = { .method = json == NULL ? "DELETE" : "PUT",
                      .bearer = command->token,
                      .body = json,
                      .timeout_ms = CALL_TIMEOUT_MS };
  HsHttpResponse *response;
  int code = HS_CLI_OK;

  url = talloc_asprintf_append_buffer (url, "?revision=%" PRId64, revision);
  call.url = url;
  response = hs_http_call (tmp, &call);
  if (response->outcome != HS_HTTP_RESPONDED || response->status / 100 != 2)
    code = hs_cli_report_failure (command->type->name, name, url, response);
  talloc_free (tmp);
  return code;
}

int64_t
hs_cli_record_revision (struct json_object *record)
{
  struct json_object *revision;

  if (!json_object_is_type (record, json_type_object)
      || !json_object_object_get_ex (record, "revision", &revision))
    return 0;
  return json_object_get_int64 (revision);
}

struct json_object *
hs_cli_list_records (struct json_object *root)
{
  struct json_object *records;

  if (!json_object_is_type (root, json_type_object)
      || !json_object_object_get_ex (root, "records", &records)
      || !json_object_is_type (records, json_type_object))
    return NULL;
  return records;
}

char *
hs_cli_record_fields (TALLOC_CTX *ctx, struct json_object *record)
{
  struct json_object *fields;
  char *text;

  if (!json_object_is_type (record, json_type_object))
    return talloc_strdup (ctx, "{}");
  fields = json_object_new_object ();
  json_object_object_foreach (record, key, value)
  {
    if (strcmp (key, "revision") != 0)
      json_object_object_add (fields, key, json_object_get (value));
  }
  text = talloc_strdup (
      ctx, json_object_to_json_string_ext (fields, JSON_C_TO_STRING_PLAIN));
  json_object_put (fields);
  return text;
}

static int
run_subcommand (HsCliListCommand *command, int argc, char **argv)
{
  const char *subcommand = argv[1];

  if (strcmp (subcommand, "list") == 0 && argc == 2)
    return show (command, NULL);
  if (strcmp (subcommand, "get") == 0 && argc == 3)
    return show (command, argv[2]);
  if (strcmp (subcommand, "put") == 0 && argc == 4)
    return put_file (command, argv[2], argv[3]);
  if (strcmp (subcommand, "delete") == 0 && argc == 3)
    return write_at_revision (command, argv[2], NULL);
  if (strcmp (subcommand, "apply") == 0 && argc == 3)
    return hs_cli_list_apply (command, argv[2]);
  hs_cli_error (command->type->name,
                "unknown command '%s' with %d operands; see --help", subcommand,
                argc - 2);
  return HS_CLI_USAGE;
}

static int
show (const HsCliListCommand *command, const char *name)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  HsHttpResponse *response = hs_cli_list_get (tmp, command, name);
  struct json_object *list;
  int code = HS_CLI_OK;

  if (response->outcome != HS_HTTP_RESPONDED || response->status != HTTP_OK)
    code = hs_cli_report_failure (command->type->name,
                                  name == NULL ? "list" : name,
                                  command->admin_url, response);
  else if (command->json || name != NULL)
    printf ("%s\n", response->body);
  else
    {
      list = hs_cli_list_records (hs_cli_parse_json (tmp, response->body));
      if (list != NULL)
        print_list (list);
    }
  talloc_free (tmp);
  return code;
}

static void
print_list (struct json_object *records)
{
  json_object_object_foreach (records, name, record)
  {
    char *fields = hs_cli_record_fields (NULL, record);

    printf ("%s %" PRId64 " %s\n", name, hs_cli_record_revision (record),
            fields);
    talloc_free (fields);
  }
}

static int
put_file (const HsCliListCommand *command, const char *name, const char *path)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  g_autoptr (GError) error = NULL;
  HsJsonDoc *doc = hs_cli_read_json (tmp, command->type->name, path);
  char *json = NULL;
  int code = HS_CLI_USAGE;

  if (doc != NULL)
    json = command->type->normalize (
        tmp, json_object_to_json_string_ext (doc->root, JSON_C_TO_STRING_PLAIN),
        name, &error);
  if (json != NULL)
    code = write_at_revision (command, name, json);
  else if (doc != NULL)
    hs_cli_error (command->type->name, "%s: %s", path, error->message);
  talloc_free (tmp);
  return code;
}

/* Looks up the current revision unless --revision was given. */
static int
write_at_revision (const HsCliListCommand *command,
                   const char *name,
                   const char *json)
{
  int64_t revision = command->revision;
  int code;

  if (revision == HS_CLI_REVISION_CURRENT)
    {
      code = get_current_revision (command, name, &revision);
      if (code != HS_CLI_OK)
        return code;
    }
  if (json == NULL && revision == 0)
    {
      hs_cli_error (command->type->name,
                    "%s: no such record; use 'list' to see the names", name);
      return HS_CLI_FAILED;
    }
  return hs_cli_record_write (command, name, json, revision);
}

static int
get_current_revision (const HsCliListCommand *command,
                      const char *name,
                      int64_t *revision)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  HsHttpResponse *response = hs_cli_list_get (tmp, command, name);
  int code = HS_CLI_OK;

  if (response->outcome == HS_HTTP_RESPONDED
      && response->status == HTTP_NOT_FOUND)
    *revision = 0;
  else if (response->outcome == HS_HTTP_RESPONDED
           && response->status == HTTP_OK)
    *revision
        = hs_cli_record_revision (hs_cli_parse_json (tmp, response->body));
  else
    code = hs_cli_report_failure (command->type->name, name, command->admin_url,
                                  response);
  talloc_free (tmp);
  return code;
}
