/**
 * @file
 * The commands for callers and operators, and the functions that they share.
 * Each command gets its own name as argv[0] and returns an HsCliExit.
 */
#ifndef HS_CLI_CLI_H
#define HS_CLI_CLI_H

#include <stdbool.h>

#include <glib.h>
#include <talloc.h>

#include "cli/http_call.h"
#include "config/json_check.h"

/** Exit codes of all commands; documented in their manual pages. */
typedef enum
{
  HS_CLI_OK = 0,
  HS_CLI_FAILED = 1,   /**< The job failed, or the request was refused. */
  HS_CLI_USAGE = 2,    /**< Wrong arguments or invalid input. */
  HS_CLI_UNKNOWN = 3,  /**< Entries unreachable, or unknown outcome. */
  HS_CLI_CONFLICT = 4, /**< Id used for another job; stale revision. */
} HsCliExit;

int hs_cli_submit_main (int argc, char **argv);
int hs_cli_plan_main (int argc, char **argv);
int hs_cli_allowance_main (int argc, char **argv);
int hs_cli_status_main (int argc, char **argv);
int hs_cli_check_main (int argc, char **argv);

/** Prints one line to standard error: "hibiscusspoke COMMAND: ...". */
void hs_cli_error (const char *command, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * Parses and removes options; argv[1..argc-1] are then the operands.
 * @param operands as shown in the usage; NULL: none
 * @param summary first line of --help
 * @return false after printing an error if an option is wrong
 */
bool hs_cli_parse_options (int *argc,
                           char ***argv,
                           const GOptionEntry *entries,
                           const char *operands,
                           const char *summary);

/**
 * Reads a secret from a file and strips surrounding white space.
 * @return talloc child of @p ctx; NULL after printing an error if the file
 *         cannot be read or does not hold exactly one line
 */
char *
hs_cli_read_secret (TALLOC_CTX *ctx, const char *command, const char *path);

/**
 * Reads a file of JSON with comments.
 * @return talloc child of @p ctx; NULL after printing an error
 */
HsJsonDoc *
hs_cli_read_json (TALLOC_CTX *ctx, const char *command, const char *path);

/** Parses the body of a response. Returns its root, owned by @p ctx; NULL if
 *  it is not valid JSON. */
struct json_object *hs_cli_parse_json (TALLOC_CTX *ctx, const char *text);

/** A string member of @p object, which may be NULL; @p absent if there is
 *  none. */
const char *hs_cli_json_string (struct json_object *object,
                                const char *key,
                                const char *absent);

/**
 * Joins @p base and @p path by one slash.
 * @param name escaped and appended as the last segment; NULL: none
 * @return talloc child of @p ctx
 */
char *hs_cli_url (TALLOC_CTX *ctx,
                  const char *base,
                  const char *path,
                  const char *name);

/**
 * Prints one line about a call that failed, with the remedy.
 * @param what operation or record that the call was for
 * @param url address that was called
 * @return the exit code for the failure
 */
int hs_cli_report_failure (const char *command,
                           const char *what,
                           const char *url,
                           const HsHttpResponse *response);

#endif
