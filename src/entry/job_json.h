/**
 * @file
 * Requests and answers of callers as JSON. Pure functions over text: no
 * clock, no network, no shared state.
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
 * Reads the body of POST /v1/jobs. Errors: HS_ERROR_INVALID,
 * HS_ERROR_TOO_LARGE; the message names the key and the remedy.
 * @return HSX_SUBMIT with its digest, all memory under the result, itself a
 *         talloc child of @p ctx; or NULL
 */
hsx_forward_args *
hs_job_parse (TALLOC_CTX *ctx, const char *text, size_t len, GError **error);

/** SHA-256 over the order and all fields of the tasks, into args->digest. */
void hs_job_compute_digest (hsx_forward_args *args);

/** True for 1 to 128 visible ASCII characters without '/'; not "."/"..". */
bool hs_job_id_is_valid (const char *id);

/**
 * Writes an answer. A result that isn't UTF-8 is given as "result_base64".
 * @param len set to the length of the text
 * @return talloc child of @p ctx
 */
char *hs_job_answer_to_json (TALLOC_CTX *ctx,
                             const hsx_forward_args *args,
                             const hsx_answer *answer,
                             size_t *len);

/** The HTTP status of an answer. */
unsigned int hs_job_answer_http_status (const hsx_answer *answer);

/** Writes {"error":{...}}; @p not_run is a promise. */
char *hs_job_error_to_json (TALLOC_CTX *ctx,
                            HsErrorKind kind,
                            const char *message,
                            bool not_run,
                            size_t *len);

#endif
