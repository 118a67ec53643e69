#include "cli/records.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 10000

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404

static int run_verb (HsCliRecords *records, int argc, char **argv);
static int show (const HsCliRecords *records, const char *name);
static void print_list (const HsCliRecords *records, struct json_object *root);
static int
put_file (const HsCliRecords *records, const char *name, const char *path);
static int
write_present (const HsCliRecords *records, const char *name, const char *json);
static int present_revision (const HsCliRecords *records,
                             const char *name,
                             int64_t *revision);

int
hs_cli_records_main (const HsCliList *list, int argc, char **argv)
{
  HsCliRecords records = { .list = list, .revision = HS_CLI_REVISION_PRESENT };
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
    { "revision", 'r', 0, G_OPTION_ARG_INT64, &records.revision,
      "revision to replace, 0: must not exist", "N" },
    { "dry-run", 'n', 0, G_OPTION_ARG_NONE, &dry_run,
      "apply: print the difference only", NULL },
    { "prune", 0, 0, G_OPTION_ARG_NONE, &prune,
      "apply: delete records that the file doesn't have", NULL },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  int code;

  if (!hs_cli_options (
          &argc, &argv, options,
          "list | get NAME | put NAME FILE | delete NAME | apply FILE",
          "Shows and edits one of the two lists."))
    return HS_CLI_USAGE;
  if (argc < 2 || admin == NULL || token_file == NULL
      || records.revision < HS_CLI_REVISION_PRESENT)
    {
      hs_cli_error (list->command, "give a verb, --admin, --token-file and a "
                                   "revision from 0 on; see --help");
      return HS_CLI_USAGE;
    }
  records.admin = admin;
  records.dry_run = dry_run;
  records.prune = prune;
  records.json = json;
  records.token = hs_cli_secret (NULL, list->command, token_file);
  if (records.token == NULL)
    return HS_CLI_USAGE;
  code = run_verb (&records, argc, argv);
  talloc_free (records.token);
  return code;
}

HsHttpReply *
hs_cli_records_get (TALLOC_CTX *ctx,
                    const HsCliRecords *records,
                    const char *name)
{
  char *url = hs_cli_url (ctx, records->admin, records->list->path, name);
  HsHttpCall call = { .method = "GET",
                      .url = url,
                      .bearer = records->token,
                      .timeout_ms = CALL_TIMEOUT_MS };

  return hs_http_call (ctx, &call);
}

int
hs_cli_records_write (const HsCliRecords *records,
                      const char *name,
                      const char *json,
                      int64_t revision)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  char *url = hs_cli_url (tmp, records->admin, records->list->path, name);
  HsHttpCall call = { .method = json == NULL ? "DELETE" : "PUT",
                      .bearer = records->token,
                      .body = json,
                      .timeout_ms = CALL_TIMEOUT_MS };
  HsHttpReply *reply;
  int code = HS_CLI_OK;

  url = talloc_asprintf_append_buffer (url, "?revision=%" PRId64, revision);
  call.url = url;
  reply = hs_http_call (tmp, &call);
  if (reply->outcome != HS_HTTP_ANSWERED || reply->status / 100 != 2)
    code = hs_cli_explain (records->list->command, name, url, reply);
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

char *
hs_cli_record_fields (TALLOC_CTX *ctx,
                      const HsCliList *list,
                      struct json_object *record)
{
  struct json_object *fields = json_object_new_object ();
  char *text;

  json_object_object_foreach (record, key, value)
  {
    if (strcmp (key, "revision") == 0 || strcmp (key, list->name_key) == 0)
      continue;
    json_object_object_add (fields, key, json_object_get (value));
  }
  text = talloc_strdup (
      ctx, json_object_to_json_string_ext (fields, JSON_C_TO_STRING_PLAIN));
  json_object_put (fields);
  return text;
}

static int
run_verb (HsCliRecords *records, int argc, char **argv)
{
  const char *verb = argv[1];

  if (strcmp (verb, "list") == 0 && argc == 2)
    return show (records, NULL);
  if (strcmp (verb, "get") == 0 && argc == 3)
    return show (records, argv[2]);
  if (strcmp (verb, "put") == 0 && argc == 4)
    return put_file (records, argv[2], argv[3]);
  if (strcmp (verb, "delete") == 0 && argc == 3)
    return write_present (records, argv[2], NULL);
  if (strcmp (verb, "apply") == 0 && argc == 3)
    return hs_cli_records_apply (records, argv[2]);
  hs_cli_error (records->list->command,
                "'%s' with %d operands is not known; see --help", verb,
                argc - 2);
  return HS_CLI_USAGE;
}

static int
show (const HsCliRecords *records, const char *name)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  HsHttpReply *reply = hs_cli_records_get (tmp, records, name);
  int code = HS_CLI_OK;

  if (reply->outcome != HS_HTTP_ANSWERED || reply->status != HTTP_OK)
    code = hs_cli_explain (records->list->command, name == NULL ? "list" : name,
                           records->admin, reply);
  else if (records->json || name != NULL)
    printf ("%s\n", reply->body);
  else
    print_list (records, hs_cli_parse (tmp, reply->body));
  talloc_free (tmp);
  return code;
}

static void
print_list (const HsCliRecords *records, struct json_object *root)
{
  struct json_object *array = NULL;
  size_t i;

  if (json_object_is_type (root, json_type_object))
    json_object_object_get_ex (root, records->list->list_key, &array);
  if (!json_object_is_type (array, json_type_array))
    return;
  for (i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *record = json_object_array_get_idx (array, i);
      char *fields;

      if (!json_object_is_type (record, json_type_object))
        continue;
      fields = hs_cli_record_fields (NULL, records->list, record);
      printf ("%s %" PRId64 " %s\n",
              hs_cli_string (record, records->list->name_key, "?"),
              hs_cli_record_revision (record), fields);
      talloc_free (fields);
    }
}

static int
put_file (const HsCliRecords *records, const char *name, const char *path)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  g_autoptr (GError) error = NULL;
  HsJsonDoc *doc = hs_cli_read_json (tmp, records->list->command, path);
  char *json = NULL;
  int code = HS_CLI_USAGE;

  if (doc != NULL)
    json = records->list->normalize (
        tmp, json_object_to_json_string_ext (doc->root, JSON_C_TO_STRING_PLAIN),
        name, &error);
  if (json != NULL)
    code = write_present (records, name, json);
  else if (doc != NULL)
    hs_cli_error (records->list->command, "%s: %s", path, error->message);
  talloc_free (tmp);
  return code;
}

/* Without --revision the record is replaced as it is found now. */
static int
write_present (const HsCliRecords *records, const char *name, const char *json)
{
  int64_t revision = records->revision;
  int code;

  if (revision == HS_CLI_REVISION_PRESENT)
    {
      code = present_revision (records, name, &revision);
      if (code != HS_CLI_OK)
        return code;
    }
  return hs_cli_records_write (records, name, json, revision);
}

static int
present_revision (const HsCliRecords *records,
                  const char *name,
                  int64_t *revision)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  HsHttpReply *reply = hs_cli_records_get (tmp, records, name);
  int code = HS_CLI_OK;

  if (reply->outcome == HS_HTTP_ANSWERED && reply->status == HTTP_NOT_FOUND)
    *revision = 0;
  else if (reply->outcome == HS_HTTP_ANSWERED && reply->status == HTTP_OK)
    *revision = hs_cli_record_revision (hs_cli_parse (tmp, reply->body));
  else
    code = hs_cli_explain (records->list->command, name, records->admin, reply);
  talloc_free (tmp);
  return code;
}
