/**
 * @file
 * What the commands on the operators' two lists share.
 */
#ifndef HS_CLI_LIST_COMMAND_H
#define HS_CLI_LIST_COMMAND_H

#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "cli/cli.h"

/** One of the two lists. */
typedef struct
{
  const char *name; /**< "plan" */
  const char *path; /**< "v1/plans" */
  /** Checks a record and writes it in one canonical line of JSON. */
  char *(*normalize) (TALLOC_CTX *ctx,
                      const char *json,
                      const char *name,
                      GError **error);
} HsCliListType;

/** One invocation. */
typedef struct
{
  const HsCliListType *type;
  char *admin;
  char *token;
  int64_t revision; /**< Of the record to be replaced, or one of below. */
  bool dry_run;
  bool prune;
  bool json;
} HsCliListCommand;

/** No --revision was given: the present one is looked up. */
#define HS_CLI_REVISION_CURRENT (-1)

int hs_cli_list_main (const HsCliListType *type, int argc, char **argv);

/** GET of a record, or of the whole list when @p name is NULL. */
HsHttpResponse *hs_cli_list_get (TALLOC_CTX *ctx,
                                 const HsCliListCommand *command,
                                 const char *name);

/** PUT, or DELETE when @p json is NULL; complains on failure. */
int hs_cli_record_write (const HsCliListCommand *command,
                         const char *name,
                         const char *json,
                         int64_t revision);

/** The record's revision, 0 when @p record is NULL. */
int64_t hs_cli_record_revision (struct json_object *record);

/** The fields of a record alone, without its revision, as JSON. */
char *hs_cli_record_fields (TALLOC_CTX *ctx, struct json_object *record);

/** The records by name in the answer to GET of a list; NULL if it has none. */
struct json_object *hs_cli_list_records (struct json_object *root);

/** Makes the list what the file says. */
int hs_cli_list_apply (const HsCliListCommand *command, const char *path);

#endif
