#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"

static int exit_code_for_kind (const char *kind);
static const char *remedy_for_exit_code (int code);

void
hs_cli_error (const char *command, const char *format, ...)
{
  va_list args;
  g_autofree char *message = NULL;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "hibiscusspoke %s: %s\n", command, message);
}

bool
hs_cli_parse_options (int *argc,
                      char ***argv,
                      const GOptionEntry *entries,
                      const char *operands,
                      const char *summary)
{
  g_autoptr (GOptionContext) context = g_option_context_new (operands);
  g_autoptr (GError) error = NULL;
  const char *command = (*argv)[0];
  g_autofree char *program = g_strdup_printf ("hibiscusspoke %s", command);

  g_set_prgname (program);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_summary (context, summary);
  if (g_option_context_parse (context, argc, argv, &error))
    return true;
  hs_cli_error (command, "%s; see --help", error->message);
  return false;
}

char *
hs_cli_read_secret (TALLOC_CTX *ctx, const char *command, const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      hs_cli_error (command, "%s; name a file that can be read",
                    error->message);
      return NULL;
    }
  g_strstrip (text);
  if (*text == '\0' || strpbrk (text, "\r\n") != NULL)
    {
      hs_cli_error (command, "%s must hold the secret on a single line", path);
      return NULL;
    }
  return talloc_strdup (ctx, text);
}

HsJsonDoc *
hs_cli_read_json (TALLOC_CTX *ctx, const char *command, const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  uint32_t line = 0;
  size_t len;
  HsJsonDoc *doc;

  if (!g_file_get_contents (path, &text, &len, &error))
    {
      hs_cli_error (command, "%s; name a file that can be read",
                    error->message);
      return NULL;
    }
  doc = hs_json_parse (ctx, text, len, HS_JSON_WITH_COMMENTS, &line, &error);
  if (doc == NULL)
    hs_cli_error (command, "%s:%u: %s", path, line, error->message);
  return doc;
}

struct json_object *
hs_cli_parse_json (TALLOC_CTX *ctx, const char *text)
{
  HsJsonDoc *doc
      = hs_json_parse (ctx, text, strlen (text), HS_JSON_PLAIN, NULL, NULL);

  return doc == NULL ? NULL : doc->root;
}

const char *
hs_cli_json_string (struct json_object *object,
                    const char *key,
                    const char *fallback)
{
  struct json_object *member;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &member)
      || !json_object_is_type (member, json_type_string))
    return fallback;
  return json_object_get_string (member);
}

char *
hs_cli_url (TALLOC_CTX *ctx,
            const char *base,
            const char *path,
            const char *name)
{
  size_t len = strlen (base);
  g_autofree char *escaped = NULL;

  while (len > 0 && base[len - 1] == '/')
    len--;
  if (name == NULL)
    return talloc_asprintf (ctx, "%.*s/%s", (int) len, base, path);
  escaped = g_uri_escape_string (name, NULL, FALSE);
  return talloc_asprintf (ctx, "%.*s/%s/%s", (int) len, base, path, escaped);
}

int
hs_cli_report_failure (const char *command,
                       const char *what,
                       const char *url,
                       const HsHttpResponse *response)
{
  TALLOC_CTX *tmp;
  struct json_object *answer;
  struct json_object *inner = NULL;
  const char *kind;
  const char *message;
  int code;

  switch (response->outcome)
    {
    case HS_HTTP_BAD_URL:
      hs_cli_error (command, "%s: '%s' is not a valid URL; give http://IP:PORT",
                    what, url);
      return HS_CLI_USAGE;
    case HS_HTTP_UNREACHABLE:
      hs_cli_error (command, "%s: cannot connect to %s (%s); try another entry",
                    what, url, response->error);
      return HS_CLI_UNKNOWN;
    case HS_HTTP_UNKNOWN:
      hs_cli_error (command,
                    "%s: no complete response from %s (%s); the request may "
                    "have taken effect; check before you try again",
                    what, url, response->error);
      return HS_CLI_UNKNOWN;
    case HS_HTTP_RESPONDED:
      break;
    }
  tmp = talloc_new (NULL);
  answer = hs_cli_parse_json (tmp, response->body);
  if (json_object_is_type (answer, json_type_object))
    json_object_object_get_ex (answer, "error", &inner);
  kind = hs_cli_json_string (inner, "kind",
                             response->status == 409 ? "conflict" : "");
  code = *kind == '\0' && response->status >= 500 ? HS_CLI_UNKNOWN
                                                  : exit_code_for_kind (kind);
  /* Error messages of entries include the remedy. */
  message = hs_cli_json_string (inner, "message", NULL);
  if (message != NULL)
    hs_cli_error (command, "%s: %s (HTTP %ld)", what, message,
                  response->status);
  else
    hs_cli_error (command, "%s: refused by %s (HTTP %ld); %s", what, url,
                  response->status, remedy_for_exit_code (code));
  talloc_free (tmp);
  return code;
}

static int
exit_code_for_kind (const char *kind)
{
  static const struct
  {
    HsErrorKind kind;
    HsCliExit code;
  } CODES[] = {
    { HS_ERROR_INVALID, HS_CLI_USAGE },
    { HS_ERROR_TOO_LARGE, HS_CLI_USAGE },
    { HS_ERROR_CONFLICT, HS_CLI_CONFLICT },
    { HS_ERROR_UNAVAILABLE, HS_CLI_UNKNOWN },
    { HS_ERROR_SHUTTING_DOWN, HS_CLI_UNKNOWN },
    { HS_ERROR_UNKNOWN, HS_CLI_UNKNOWN },
    { HS_ERROR_PROTOCOL, HS_CLI_UNKNOWN },
    { HS_ERROR_IO, HS_CLI_UNKNOWN },
    { HS_ERROR_INTERNAL, HS_CLI_UNKNOWN },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (CODES); i++)
    if (strcmp (kind, hs_error_kind_name (CODES[i].kind)) == 0)
      return CODES[i].code;
  return HS_CLI_FAILED;
}

static const char *
remedy_for_exit_code (int code)
{
  switch (code)
    {
    case HS_CLI_USAGE:
      return "correct the input";
    case HS_CLI_CONFLICT:
      return "read the current state and decide again";
    case HS_CLI_UNKNOWN:
      return "try again; for a job, with the same id";
    default:
      return "check that this is the address of an entry";
    }
}
