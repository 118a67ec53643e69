#include <stdio.h>

#include "cli/cli.h"
#include "config/settings.h"

static int check (const char *path, bool json);
static void print_json (const char *path, const GError *error);

int
hs_cli_check_main (int argc, char **argv)
{
  gboolean json = FALSE;
  const GOptionEntry options[] = {
    { "json", 'j', 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  int code = HS_CLI_OK;
  int i;

  if (!hs_cli_parse_options (
          &argc, &argv, options, "FILE...",
          "Checks settings files without starting anything."))
    return HS_CLI_USAGE;
  if (argc < 2)
    {
      hs_cli_error ("check", "no file given; name the settings files to check");
      return HS_CLI_USAGE;
    }
  for (i = 1; i < argc; i++)
    if (check (argv[i], json) != HS_CLI_OK)
      code = HS_CLI_USAGE;
  return code;
}

static int
check (const char *path, bool json)
{
  g_autoptr (GError) error = NULL;
  HsSettings *settings = hs_settings_load (NULL, path, &error);

  talloc_free (settings);
  if (json)
    print_json (path, error);
  else if (error == NULL)
    printf ("%s: valid\n", path);
  else
    hs_cli_error ("check", "%s", error->message);
  return error == NULL ? HS_CLI_OK : HS_CLI_USAGE;
}

static void
print_json (const char *path, const GError *error)
{
  struct json_object *line = json_object_new_object ();

  json_object_object_add (line, "file", json_object_new_string (path));
  json_object_object_add (line, "valid",
                          json_object_new_boolean (error == NULL));
  if (error != NULL)
    json_object_object_add (line, "error",
                            json_object_new_string (error->message));
  printf ("%s\n",
          json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
}
