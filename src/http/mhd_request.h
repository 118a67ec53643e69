/**
 * @file
 * Parts of a request and a response that all HTTP servers here need.
 */
#ifndef HS_HTTP_MHD_REQUEST_H
#define HS_HTTP_MHD_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <microhttpd.h>
#include <talloc.h>

/** A body being received. */
typedef struct
{
  char *data; /**< NULL while empty. */
  size_t len;
  size_t expected; /**< As announced; above 0 if any body is to come. */
} HsMhdBody;

/**
 * Reads how long the body will be; chunked ones are refused.
 * Errors: HS_ERROR_INVALID, HS_ERROR_TOO_LARGE; `expected` is set in any case.
 * @param most bound in bytes
 */
bool hs_mhd_body_begin (HsMhdBody *body,
                        struct MHD_Connection *connection,
                        size_t max_bytes,
                        GError **error);

/** Appends a part; false if it is more than announced. */
bool hs_mhd_body_add (TALLOC_CTX *ctx,
                      HsMhdBody *body,
                      const char *data,
                      size_t len);

/** KEY of "Authorization: Bearer KEY", or NULL. */
const char *hs_mhd_bearer_token (struct MHD_Connection *connection);

/**
 * A response without a copy of its text.
 * @param text a talloc chunk of @p len bytes, taken over
 * @param type as "application/json"
 */
struct MHD_Response *hs_mhd_response (char *text, size_t len, const char *type);

#endif
