/**
 * @file
 * Request bodies, bearer tokens and responses, shared by all HTTP servers.
 */
#ifndef HS_HTTP_MHD_REQUEST_H
#define HS_HTTP_MHD_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <microhttpd.h>
#include <talloc.h>

/** A request body being received. */
typedef struct
{
  char *data; /**< NULL while empty. */
  size_t len;
  size_t expected; /**< Content-Length, or 0 without one; 1 for a chunked body,
                        which is refused, so that it counts as not empty. */
} HsMhdBody;

/**
 * Prepares for a body of the length in the request's headers; chunked bodies
 * are refused.
 * Errors: HS_ERROR_INVALID, HS_ERROR_TOO_LARGE; `expected` is set in any case.
 * @param max_bytes largest accepted body
 */
bool hs_mhd_body_begin (HsMhdBody *body,
                        struct MHD_Connection *connection,
                        size_t max_bytes,
                        GError **error);

/**
 * Appends received data.
 * @param ctx parent of the body's data
 * @return false if the body exceeds its Content-Length
 */
bool hs_mhd_body_add (TALLOC_CTX *ctx,
                      HsMhdBody *body,
                      const char *data,
                      size_t len);

/** TOKEN of "Authorization: Bearer TOKEN", or NULL. */
const char *hs_mhd_bearer_token (struct MHD_Connection *connection);

/**
 * Creates a response, to be released with MHD_destroy_response().
 * @param text talloc chunk of @p len bytes; the response takes ownership
 * @param type media type, such as "application/json"
 */
struct MHD_Response *hs_mhd_response (char *text, size_t len, const char *type);

#endif
