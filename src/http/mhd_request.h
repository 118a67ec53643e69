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

#include "http/body_budget.h"

/** A request body being received. */
typedef struct
{
  char *data; /**< NULL while empty; the first block while there are more. */
  size_t len;
  char **blocks; /**< The others, of a body whose memory is counted. */
  unsigned int n_blocks;
  size_t expected; /**< Content-Length; 0 without a body; for a chunked body the
                        largest accepted size. */
  HsBodyShare *share; /**< NULL: its memory isn't counted; see
                           hs_mhd_bind_body(). */
  bool dropped;       /**< For lack of memory; its request is refused. */
} HsMhdBody;

/**
 * Prepares for a body of the length in the request's headers, or for a chunked
 * one.
 * Errors: HS_ERROR_INVALID: the headers don't tell where the body ends, so that
 * the connection has to be closed; HS_ERROR_TOO_LARGE. `expected` is set in any
 * case, to more than 0 if a body may follow.
 * @param max_bytes largest accepted body
 */
bool hs_mhd_body_begin (HsMhdBody *body,
                        struct MHD_Connection *connection,
                        size_t max_bytes,
                        GError **error);

/**
 * Appends received data.
 * Errors: HS_ERROR_TOO_LARGE if the body exceeds what is expected;
 * HS_ERROR_UNAVAILABLE if it was dropped, now or before.
 * @param ctx parent of the body's data
 */
bool hs_mhd_body_add (TALLOC_CTX *ctx,
                      HsMhdBody *body,
                      const char *data,
                      size_t len,
                      GError **error);

/** Puts the blocks of a body together in `data`, when it has been received.
 *  @param ctx parent of the body's data */
void hs_mhd_body_join (TALLOC_CTX *ctx, HsMhdBody *body);

/** Drops a body for lack of memory. */
void hs_mhd_body_drop (HsMhdBody *body);

/** Sets the error of a request whose body was dropped:
 *  HS_ERROR_UNAVAILABLE. */
void hs_mhd_body_set_dropped_error (GError **error);

/** Releases the memory of a body that was received. */
void hs_mhd_body_release (HsMhdBody *body);

/** TOKEN of "Authorization: Bearer TOKEN", or NULL. */
const char *hs_mhd_bearer_token (struct MHD_Connection *connection);

/**
 * Creates a response, to be released with MHD_destroy_response().
 * @param text talloc chunk of @p len bytes; the response takes ownership
 * @param type media type, such as "application/json"
 */
struct MHD_Response *hs_mhd_response (char *text, size_t len, const char *type);

#endif
