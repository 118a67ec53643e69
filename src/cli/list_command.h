/**
 * @file
 * The commands that show and edit the lists of plans and of allowances, which
 * share all but the format of a record.
 */
#ifndef HS_CLI_LIST_COMMAND_H
#define HS_CLI_LIST_COMMAND_H

#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "cli/cli.h"

/** What differs between the two lists. */
typedef struct
{
  const char *name; /**< "plan" */
  const char *path; /**< "v1/plans" */
  /** Validates a record and returns it as one line of canonical JSON, a talloc
   *  child of @p ctx; NULL on error. */
  char *(*normalize) (TALLOC_CTX *ctx,
                      const char *json,
                      const char *name,
                      GError **error);
} HsCliListType;

/** The options of one invocation. */
typedef struct
{
  const HsCliListType *type;
  char *admin_url;
  char *token;
  int64_t revision; /**< Of the record to replace, or
                         HS_CLI_REVISION_CURRENT. */
  bool dry_run;
  bool prune;
  bool json;
} HsCliListCommand;

/** Without --revision: the current revision is looked up. */
#define HS_CLI_REVISION_CURRENT (-1)

/** Runs the command on a list; returns an HsCliExit. */
int hs_cli_list_main (const HsCliListType *type, int argc, char **argv);

/** GET of a record, or of the whole list when @p name is NULL. */
HsHttpResponse *hs_cli_list_get (TALLOC_CTX *ctx,
                                 const HsCliListCommand *command,
                                 const char *name);

/**
 * PUT of a record, or DELETE when @p json is NULL. Prints an error on failure.
 * @param revision expected revision of the stored record; 0: none is stored
 * @return an HsCliExit
 */
int hs_cli_record_write (const HsCliListCommand *command,
                         const char *name,
                         const char *json,
                         int64_t revision);

/** The record's revision; 0 if @p record is NULL or has none. */
int64_t hs_cli_record_revision (struct json_object *record);

/** The fields of a record without its revision, as JSON. */
char *hs_cli_record_fields (TALLOC_CTX *ctx, struct json_object *record);

/** The records by name in the response to GET of a list; NULL if @p root is no
 *  such response. */
struct json_object *hs_cli_list_records (struct json_object *root);

/** Updates the list from a file and, with --prune, deletes the records that are
 *  not in the file; returns an HsCliExit. */
int hs_cli_list_apply (const HsCliListCommand *command, const char *path);

#endif
