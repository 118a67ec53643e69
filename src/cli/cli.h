/**
 * @file
 * The commands of callers and operators, and what they share. Each command
 * takes its own name as the first argument and returns an HsCliExit.
 */
#ifndef HS_CLI_CLI_H
#define HS_CLI_CLI_H

#include <stdbool.h>

#include <glib.h>
#include <talloc.h>

#include "cli/http_call.h"
#include "config/json_check.h"

/** Exit codes of every command; part of the interface. */
typedef enum
{
  HS_CLI_OK = 0,
  HS_CLI_FAILED = 1,   /**< The job failed, or the request was refused. */
  HS_CLI_USAGE = 2,    /**< Wrong arguments, or input that isn't accepted. */
  HS_CLI_UNKNOWN = 3,  /**< Nothing reached, or the outcome isn't known. */
  HS_CLI_CONFLICT = 4, /**< Same id with other content; a stale revision. */
} HsCliExit;

int hs_cli_submit_main (int argc, char **argv);
int hs_cli_plan_main (int argc, char **argv);
int hs_cli_allowance_main (int argc, char **argv);
int hs_cli_status_main (int argc, char **argv);
int hs_cli_check_main (int argc, char **argv);

/** One line on standard error: "hibiscusspoke COMMAND: ...". */
void hs_cli_error (const char *command, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * Parses options; what is left in argv[1..argc-1] are operands. Complains
 * and returns false on a wrong option.
 */
bool hs_cli_parse_options (int *argc,
                           char ***argv,
                           const GOptionEntry *entries,
                           const char *operands,
                           const char *summary);

/** Reads a secret from a file, without white space at its ends; complains
 *  and returns NULL on failure or when it is empty. */
char *
hs_cli_read_secret (TALLOC_CTX *ctx, const char *command, const char *path);

/** Reads a file of JSON with comments; complains and returns NULL on
 *  failure. */
HsJsonDoc *
hs_cli_read_json (TALLOC_CTX *ctx, const char *command, const char *path);

/** The root of an answer, owned by @p ctx; NULL if it isn't JSON. */
struct json_object *hs_cli_parse_json (TALLOC_CTX *ctx, const char *text);

/** A string member, or @p absent; @p object may be NULL. */
const char *hs_cli_json_string (struct json_object *object,
                                const char *key,
                                const char *absent);

/** BASE, a slash and PATH with each segment escaped; talloc child of ctx. */
char *hs_cli_url (TALLOC_CTX *ctx,
                  const char *base,
                  const char *path,
                  const char *name);

/**
 * Reports a call that didn't succeed in one line, with the remedy.
 * @param what what was tried, as "put c1"
 * @return the exit code for it
 */
int hs_cli_report_failure (const char *command,
                           const char *what,
                           const char *url,
                           const HsHttpResponse *response);

#endif
