#include "cli/records.h"
#include "lists/lists.h"

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error);

int
hs_cli_plan_main (int argc, char **argv)
{
  static const HsCliList LIST = {
    .command = "plan",
    .path = "v1/plans",
    .list_key = "plans",
    .name_key = "customer",
    .normalize = normalize,
  };

  return hs_cli_records_main (&LIST, argc, argv);
}

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error)
{
  HsPlan record;

  if (!hs_plan_parse (json, name, &record, error))
    return NULL;
  return hs_plan_to_json (ctx, &record);
}
