/**
 * @file
 * One HTTP call of a command, done before it returns.
 */
#ifndef HS_CLI_HTTP_CALL_H
#define HS_CLI_HTTP_CALL_H

#include <talloc.h>

typedef struct
{
  const char *method; /**< "GET", "POST", "PUT" or "DELETE". */
  const char *url;
  const char *bearer; /**< Sent as Authorization: Bearer; NULL: none. */
  const char *body;   /**< JSON; NULL: none. */
  long timeout_ms;    /**< Bound on the whole call. */
} HsHttpCall;

typedef enum
{
  HS_HTTP_RESPONDED,
  HS_HTTP_UNREACHABLE, /**< Certain: no request was sent. */
  HS_HTTP_UNKNOWN,     /**< Sent, no whole answer: it may have taken effect. */
  HS_HTTP_BAD_URL
} HsHttpOutcome;

typedef struct
{
  HsHttpOutcome outcome;
  long status;       /**< HTTP status when answered, else 0. */
  char *body;        /**< NUL-terminated, never NULL. */
  const char *error; /**< What went wrong when not answered. */
} HsHttpResponse;

/** Does the call; the reply is a talloc child of @p ctx. */
HsHttpResponse *hs_http_call (TALLOC_CTX *ctx, const HsHttpCall *call);

#endif
