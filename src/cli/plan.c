#include "cli/list_command.h"
#include "lists/lists.h"

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error);

int
hs_cli_plan_main (int argc, char **argv)
{
  static const HsCliListType LIST = {
    .name = "plan",
    .path = "v1/plans",
    .normalize = normalize,
  };

  return hs_cli_list_main (&LIST, argc, argv);
}

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error)
{
  HsPlan record;

  if (!hs_plan_parse (json, name, &record, error))
    return NULL;
  return hs_plan_to_json (ctx, &record);
}
