#include "cli/records.h"
#include "lists/lists.h"

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error);

int
hs_cli_allowance_main (int argc, char **argv)
{
  static const HsCliList LIST = {
    .command = "allowance",
    .path = "v1/allowances",
    .list_key = "allowances",
    .name_key = "plan",
    .normalize = normalize,
  };

  return hs_cli_records_main (&LIST, argc, argv);
}

static char *
normalize (TALLOC_CTX *ctx, const char *json, const char *name, GError **error)
{
  HsAllowance record;

  if (!hs_allowance_parse (json, name, &record, error))
    return NULL;
  return hs_allowance_to_json (ctx, &record);
}
