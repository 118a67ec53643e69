/**
 * @file
 * Conversion of callers' requests and answers from and to JSON. Pure functions:
 * no clock, no network, no shared state.
 */
#ifndef HS_ENTRY_JOB_JSON_H
#define HS_ENTRY_JOB_JSON_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <talloc.h>

#include "base/error.h"
#include "proto/hspoke.h"

/**
 * Parses the body of POST /v1/jobs. Errors: HS_ERROR_INVALID,
 * HS_ERROR_TOO_LARGE; the message names the key and the remedy.
 * @param len length of @p text in bytes
 * @return arguments of HSX_SUBMIT with the digest, a talloc child of @p ctx
 * that owns all its parts; NULL on error
 */
hsx_forward_args *
hs_job_parse (TALLOC_CTX *ctx, const char *text, size_t len, GError **error);

/** Sets args->digest to the SHA-256 of all fields of the tasks in order. */
void hs_job_compute_digest (hsx_forward_args *args);

/** True for 1 to 128 visible ASCII characters without '/', except "." and
 *  "..". */
bool hs_job_id_is_valid (const char *id);

/**
 * Renders an answer. A result that is not valid UTF-8 is given in Base64 as
 * "result_base64".
 * @param len set to the length of the text in bytes
 * @return talloc child of @p ctx
 */
char *hs_job_answer_to_json (TALLOC_CTX *ctx,
                             const hsx_forward_args *args,
                             const hsx_answer *answer,
                             size_t *len);

/** The HTTP status to send with an answer. */
unsigned int hs_job_answer_http_status (const hsx_answer *answer);

/**
 * Renders {"error":{...}}.
 * @param not_run whether it is certain that no task has started
 * @param len set to the length of the text in bytes
 * @return talloc child of @p ctx
 */
char *hs_job_error_to_json (TALLOC_CTX *ctx,
                            HsErrorKind kind,
                            const char *message,
                            bool not_run,
                            size_t *len);

#endif
