#include "http/mhd_request.h"

#include <string.h>

#include "base/error.h"
#include "base/time.h"

#define BEARER_PREFIX "Bearer "
#define INITIAL_SIZE ((size_t) 4096)

/** Bodies whose memory is counted grow by blocks of one size above this one, so
 *  that freed memory fits the next body. */
#define BLOCK_BYTES ((size_t) 16384)

static const char *get_header (struct MHD_Connection *connection,
                               const char *name);
static unsigned int count_headers (struct MHD_Connection *connection,
                                   const char *name);
static bool is_chunked (struct MHD_Connection *connection);
static void set_too_large (GError **error, size_t max_bytes);
static bool grow (TALLOC_CTX *ctx, HsMhdBody *body, size_t bytes);
static bool add_blocks (TALLOC_CTX *ctx, HsMhdBody *body, size_t bytes);
static bool reserve (HsMhdBody *body, size_t bytes);
static void append (HsMhdBody *body, const char *data, size_t len);
static void free_text (void *text);

bool
hs_mhd_body_begin (HsMhdBody *body,
                   struct MHD_Connection *connection,
                   size_t max_bytes,
                   GError **error)
{
  const char *length = get_header (connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
  guint64 expected = 0;

  if (count_headers (connection, MHD_HTTP_HEADER_TRANSFER_ENCODING) > 0)
    {
      body->expected = max_bytes;
      /* The length isn't known; most bodies are short. */
      if (body->share != NULL)
        hs_body_share_expect (body->share, MIN (max_bytes, BLOCK_BYTES));
      if (is_chunked (connection))
        return true;
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "the body's length isn't clear; send Content-Length or "
                   "Transfer-Encoding: chunked");
      return false;
    }
  if (length != NULL
      && !g_ascii_string_to_unsigned (length, 10, 0, G_MAXUINT64, &expected,
                                      NULL))
    {
      body->expected = max_bytes;
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "Content-Length isn't a number; correct it");
      return false;
    }
  body->expected = expected;
  if (body->share != NULL)
    hs_body_share_expect (body->share, expected);
  if (expected > max_bytes)
    {
      set_too_large (error, max_bytes);
      return false;
    }
  return true;
}

bool
hs_mhd_body_add (TALLOC_CTX *ctx,
                 HsMhdBody *body,
                 const char *data,
                 size_t len,
                 GError **error)
{
  size_t total = body->len + len;

  if (!body->dropped && total > body->expected)
    {
      set_too_large (error, body->expected);
      /* What follows is discarded, so the memory isn't needed any more. */
      hs_mhd_body_release (body);
      body->expected = 0;
      return false;
    }
  if (body->dropped || !grow (ctx, body, total))
    {
      hs_mhd_body_set_dropped_error (error);
      return false;
    }
  append (body, data, len);
  return true;
}

void
hs_mhd_body_join (TALLOC_CTX *ctx, HsMhdBody *body)
{
  size_t n_copied = BLOCK_BYTES;
  unsigned int i;

  if (body->n_blocks == 0)
    return;
  body->data = talloc_realloc (ctx, body->data, char, body->len);
  for (i = 0; i < body->n_blocks; i++)
    {
      size_t n = MIN (BLOCK_BYTES, body->len - n_copied);

      memcpy (body->data + n_copied, body->blocks[i], n);
      n_copied += n;
      talloc_free (body->blocks[i]);
    }
  TALLOC_FREE (body->blocks);
  body->n_blocks = 0;
}

void
hs_mhd_body_drop (HsMhdBody *body)
{
  hs_mhd_body_release (body);
  body->dropped = true;
}

void
hs_mhd_body_set_dropped_error (GError **error)
{
  g_set_error (error, HS_ERROR, HS_ERROR_UNAVAILABLE,
               "no memory for this body now; try again later");
}

void
hs_mhd_body_release (HsMhdBody *body)
{
  TALLOC_FREE (body->data);
  TALLOC_FREE (body->blocks);
  body->n_blocks = 0;
  body->len = 0;
  if (body->share != NULL)
    hs_body_share_release (body->share);
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

typedef struct
{
  const char *name;
  unsigned int n;
} HeaderCount;

static enum MHD_Result
count_if_named (void *cls,
                enum MHD_ValueKind kind,
                const char *name,
                const char *value)
{
  HeaderCount *count = cls;

  (void) kind;
  (void) value;
  count->n += g_ascii_strcasecmp (name, count->name) == 0;
  return MHD_YES;
}

static unsigned int
count_headers (struct MHD_Connection *connection, const char *name)
{
  HeaderCount count = { name, 0 };

  MHD_get_connection_values (connection, MHD_HEADER_KIND, count_if_named,
                             &count);
  return count.n;
}

/* An intermediary may interpret a message with both headers differently
   (RFC 9112, 6.1). */
static bool
is_chunked (struct MHD_Connection *connection)
{
  return count_headers (connection, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 1
         && g_ascii_strcasecmp (
                get_header (connection, MHD_HTTP_HEADER_TRANSFER_ENCODING),
                "chunked")
                == 0
         && get_header (connection, MHD_HTTP_HEADER_CONTENT_LENGTH) == NULL;
}

static void
set_too_large (GError **error, size_t max_bytes)
{
  g_set_error (error, HS_ERROR, HS_ERROR_TOO_LARGE,
               "the body is over %zu bytes; split it", max_bytes);
}

/* Makes room for @p bytes in all; drops the body if they are refused. */
static bool
grow (TALLOC_CTX *ctx, HsMhdBody *body, size_t bytes)
{
  size_t size = talloc_get_size (body->data);
  size_t max = body->expected;

  if (body->share != NULL && bytes > BLOCK_BYTES)
    return add_blocks (ctx, body, bytes);
  if (bytes <= size)
    return true;
  if (body->share != NULL)
    max = MIN (max, BLOCK_BYTES);
  size = MIN (MAX (MAX (2 * size, bytes), INITIAL_SIZE), max);
  if (!reserve (body, size))
    return false;
  body->data = talloc_realloc (ctx, body->data, char, size);
  return true;
}

static bool
add_blocks (TALLOC_CTX *ctx, HsMhdBody *body, size_t bytes)
{
  unsigned int n = (unsigned int) ((bytes - 1) / BLOCK_BYTES);

  if (n <= body->n_blocks)
    return true;
  if (!reserve (body, (n + 1) * BLOCK_BYTES))
    return false;
  if (body->n_blocks == 0)
    body->data = talloc_realloc (ctx, body->data, char, BLOCK_BYTES);
  body->blocks = talloc_realloc (ctx, body->blocks, char *, n);
  while (body->n_blocks < n)
    body->blocks[body->n_blocks++]
        = talloc_array (body->blocks, char, BLOCK_BYTES);
  return true;
}

static bool
reserve (HsMhdBody *body, size_t bytes)
{
  if (body->share == NULL
      || hs_body_share_reserve (body->share, bytes, hs_now ().mono))
    return true;
  hs_mhd_body_drop (body);
  return false;
}

/* Copies data for which there is room. */
static void
append (HsMhdBody *body, const char *data, size_t len)
{
  while (len > 0)
    {
      size_t offset = body->len;
      size_t n = len;
      char *block = body->data;

      if (body->n_blocks > 0)
        {
          size_t i = offset / BLOCK_BYTES;

          block = i == 0 ? body->data : body->blocks[i - 1];
          offset %= BLOCK_BYTES;
          n = MIN (len, BLOCK_BYTES - offset);
        }
      memcpy (block + offset, data, n);
      body->len += n;
      data += n;
      len -= n;
    }
}

static void
free_text (void *text)
{
  talloc_free (text);
}
