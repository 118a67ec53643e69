/**
 * @file
 * What the commands on the operators' two lists share.
 */
#ifndef HS_CLI_RECORDS_H
#define HS_CLI_RECORDS_H

#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "cli/cli.h"

/** One of the two lists. */
typedef struct
{
  const char *command;  /**< "plan" */
  const char *path;     /**< "v1/plans" */
  const char *list_key; /**< Key of the array in the answer: "plans". */
  const char *name_key; /**< Key of a record's name: "customer". */
  /** Checks a record and writes it in one canonical line of JSON. */
  char *(*normalize) (TALLOC_CTX *ctx,
                      const char *json,
                      const char *name,
                      GError **error);
} HsCliList;

/** One invocation. */
typedef struct
{
  const HsCliList *list;
  char *admin;
  char *token;
  int64_t revision; /**< Of the record to be replaced, or one of below. */
  bool dry_run;
  bool prune;
  bool json;
} HsCliRecords;

/** No --revision was given: the present one is looked up. */
#define HS_CLI_REVISION_PRESENT (-1)

int hs_cli_records_main (const HsCliList *list, int argc, char **argv);

/** GET of a record, or of the whole list when @p name is NULL. */
HsHttpReply *hs_cli_records_get (TALLOC_CTX *ctx,
                                 const HsCliRecords *records,
                                 const char *name);

/** PUT, or DELETE when @p json is NULL; complains on failure. */
int hs_cli_records_write (const HsCliRecords *records,
                          const char *name,
                          const char *json,
                          int64_t revision);

/** The record's revision, 0 when @p record is NULL. */
int64_t hs_cli_record_revision (struct json_object *record);

/** The fields of a record alone, without name and revision, as JSON. */
char *hs_cli_record_fields (TALLOC_CTX *ctx,
                            const HsCliList *list,
                            struct json_object *record);

/** Makes the list what the file says. */
int hs_cli_records_apply (const HsCliRecords *records, const char *path);

#endif
