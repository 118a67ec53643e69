#include "cli/list_command.h"
#include "lists/lists.h"

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error);

int
hs_cli_allowance_main (int argc, char **argv)
{
  static const HsCliListType LIST = {
    .name = "allowance",
    .path = "v1/allowances",
    .normalize = normalize,
  };

  return hs_cli_list_main (&LIST, argc, argv);
}

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error)
{
  HsAllowance record;

  if (!hs_allowance_parse (json, name, &record, error))
    return NULL;
  return hs_allowance_to_json (ctx, &record);
}
