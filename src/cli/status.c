#include <inttypes.h>
#include <stdio.h>

#include "cli/cli.h"

#define CALL_TIMEOUT_MS 5000
#define HTTP_OK 200

static int show_entry (const char *admin, const char *token, bool json);
static void print_line (const char *admin, struct json_object *status);
static void
print_number (struct json_object *status, const char *key, const char *label);

int
hs_cli_status_main (int argc, char **argv)
{
  g_auto (GStrv) admins = NULL;
  g_autofree char *token_file = NULL;
  gboolean json = FALSE;
  const GOptionEntry options[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &admins,
      "admin address of an entry; may be repeated", "URL" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_file,
      "file with the admin token", "FILE" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &json,
      "print JSON, one line for each entry", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  char *token;
  int code = HS_CLI_OK;
  size_t i;

  if (!hs_cli_parse_options (&argc, &argv, options, NULL,
                             "Shows the status of each entry."))
    return HS_CLI_USAGE;
  if (argc != 1 || admins == NULL || token_file == NULL)
    {
      hs_cli_error ("status", "give --admin and --token-file and no operand; "
                              "see --help");
      return HS_CLI_USAGE;
    }
  token = hs_cli_read_secret (NULL, "status", token_file);
  if (token == NULL)
    return HS_CLI_USAGE;
  for (i = 0; admins[i] != NULL; i++)
    {
      int one = show_entry (admins[i], token, json);

      if (one != HS_CLI_OK)
        code = one;
    }
  talloc_free (token);
  return code;
}

static int
show_entry (const char *admin, const char *token, bool json)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  HsHttpCall call = { .method = "GET",
                      .url = hs_cli_url (tmp, admin, "v1/status", NULL),
                      .bearer = token,
                      .timeout_ms = CALL_TIMEOUT_MS };
  HsHttpResponse *response = hs_http_call (tmp, &call);
  struct json_object *status;
  int code = HS_CLI_OK;

  if (response->outcome != HS_HTTP_RESPONDED || response->status != HTTP_OK)
    {
      code = hs_cli_report_failure ("status", "get", admin, response);
      goto out;
    }
  status = hs_cli_parse_json (tmp, response->body);
  if (!json_object_is_type (status, json_type_object))
    {
      hs_cli_error ("status",
                    "no status in the response of %s; check that it is an "
                    "admin address",
                    admin);
      code = HS_CLI_UNKNOWN;
    }
  else if (json)
    printf ("%s\n",
            json_object_to_json_string_ext (status, JSON_C_TO_STRING_PLAIN));
  else
    print_line (admin, status);
out:
  talloc_free (tmp);
  return code;
}

static void
print_line (const char *admin, struct json_object *status)
{
  printf ("%s", hs_cli_json_string (status, "name", admin));
  print_number (status, "lists_revision", "revision");
  print_number (status, "lists_age_ms", "age_ms");
  print_number (status, "partitions_owned", "partitions");
  print_number (status, "agents_connected", "agents");
  printf ("\n");
}

static void
print_number (struct json_object *status, const char *key, const char *label)
{
  struct json_object *member;

  if (json_object_object_get_ex (status, key, &member) && member != NULL)
    printf (" %s=%" PRId64, label, json_object_get_int64 (member));
  else
    printf (" %s=?", label);
}
