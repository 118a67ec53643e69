/**
 * @file
 * Strict JSON parser: refuses malformed text that json-c accepts. A document is
 * one value with nothing after it; no object repeats a key; keys contain no
 * escapes; comments are accepted only in the dialect that has them.
 */
#ifndef HS_CONFIG_JSON_CHECK_H
#define HS_CONFIG_JSON_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>
#include <talloc.h>

/** Deepest accepted nesting of arrays and objects. */
#define HS_JSON_DEPTH_MAX 16

typedef enum
{
  HS_JSON_PLAIN,        /**< RFC 8259. */
  HS_JSON_WITH_COMMENTS /**< Both kinds of C comment count as white space. */
} HsJsonDialect;

/** One key of the document, for error messages. */
typedef struct
{
  const char *name; /**< Points into the text; not NUL-terminated. */
  size_t len;
  uint32_t object_id;  /**< Object that contains it, counted from 1. */
  uint32_t parent_key; /**< Index of the key whose value contains that
                          object; UINT32_MAX at the top level. */
  uint32_t line;       /**< From 1. */
} HsJsonKey;

/** A parsed document; freeing it releases the root. */
typedef struct
{
  struct json_object *root;
  char *text; /**< A copy with spaces in place of comments. */
  HsJsonKey *keys;
  size_t n_keys;
} HsJsonDoc;

/**
 * Parses one document.
 * Errors: HS_ERROR_INVALID.
 * @param line receives the line of an error, from 1; may be NULL
 * @return talloc child of @p ctx, or NULL
 */
HsJsonDoc *hs_json_parse (TALLOC_CTX *ctx,
                          const char *text,
                          size_t len,
                          HsJsonDialect dialect,
                          uint32_t *line,
                          GError **error);

/**
 * The line of a key, given its path from the root, such as "entry.lease_ms".
 * If it is absent, the line of the nearest key above it, else 1.
 */
uint32_t hs_json_line (const HsJsonDoc *doc, const char *path);

#endif
