/**
 * @file
 * A blocking HTTP request of a command.
 */
#ifndef HS_CLI_HTTP_CALL_H
#define HS_CLI_HTTP_CALL_H

#include <talloc.h>

typedef struct
{
  const char *method; /**< "GET", "POST", "PUT" or "DELETE". */
  const char *url;
  const char *bearer; /**< Token of Authorization: Bearer; NULL: none. */
  const char *body;   /**< JSON; NULL: none. */
  long timeout_ms;    /**< From connecting to the end of the response. */
} HsHttpCall;

typedef enum
{
  HS_HTTP_RESPONDED,
  HS_HTTP_UNREACHABLE, /**< Certain: no request was sent. */
  HS_HTTP_UNKNOWN,     /**< No complete response: it may have taken effect. */
  HS_HTTP_BAD_URL
} HsHttpOutcome;

typedef struct
{
  HsHttpOutcome outcome;
  long status;       /**< HTTP status; 0 without a response. */
  char *body;        /**< NUL-terminated, never NULL. */
  const char *error; /**< Static text of why there is no response. */
} HsHttpResponse;

/** Sends the request and waits for the response, a talloc child of @p ctx. */
HsHttpResponse *hs_http_call (TALLOC_CTX *ctx, const HsHttpCall *call);

#endif
