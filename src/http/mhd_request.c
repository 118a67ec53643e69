#include "http/mhd_request.h"

#include <string.h>

#include "base/error.h"

#define BEARER_PREFIX "Bearer "
#define INITIAL_SIZE ((size_t) 4096)

static const char *get_header (struct MHD_Connection *connection,
                               const char *name);
static void free_text (void *text);

bool
hs_mhd_body_begin (HsMhdBody *body,
                   struct MHD_Connection *connection,
                   size_t max_bytes,
                   GError **error)
{
  const char *length = get_header (connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
  bool chunked
      = get_header (connection, MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL;
  guint64 expected = chunked ? 1 : 0;
  bool is_valid = length == NULL
                  || g_ascii_string_to_unsigned (length, 10, 0, G_MAXUINT64,
                                                 &expected, NULL);

  body->expected = expected;
  if (chunked || !is_valid)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "the body has no valid Content-Length; send one");
      return false;
    }
  if (expected > max_bytes)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_TOO_LARGE,
                   "the body is over %zu bytes; split it", max_bytes);
      return false;
    }
  return true;
}

bool
hs_mhd_body_add (TALLOC_CTX *ctx, HsMhdBody *body, const char *data, size_t len)
{
  size_t total = body->len + len;
  size_t size = talloc_get_size (body->data);

  if (total > body->expected)
    return false;
  if (total > size)
    {
      size = MAX (MAX (2 * size, total), INITIAL_SIZE);
      body->data
          = talloc_realloc (ctx, body->data, char, MIN (size, body->expected));
    }
  memcpy (body->data + body->len, data, len);
  body->len = total;
  return true;
}

const char *
hs_mhd_bearer_token (struct MHD_Connection *connection)
{
  const char *value = get_header (connection, MHD_HTTP_HEADER_AUTHORIZATION);

  if (value == NULL
      || g_ascii_strncasecmp (value, BEARER_PREFIX, strlen (BEARER_PREFIX))
             != 0)
    return NULL;
  return value + strlen (BEARER_PREFIX);
}

struct MHD_Response *
hs_mhd_response (char *text, size_t len, const char *type)
{
  struct MHD_Response *response;

  talloc_steal (NULL, text);
  response = MHD_create_response_from_buffer_with_free_callback_cls (
      len, text, free_text, text);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  return response;
}

static const char *
get_header (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
}

static void
free_text (void *text)
{
  talloc_free (text);
}
