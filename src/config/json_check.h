/**
 * @file
 * Strict reading of JSON: what json-c lets pass is refused here. A document
 * is one value with nothing after it; no object repeats a key; keys are
 * written without escapes; comments only where they are asked for.
 */
#ifndef HS_CONFIG_JSON_CHECK_H
#define HS_CONFIG_JSON_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>
#include <talloc.h>

/** Deepest nesting of arrays and objects that is read. */
#define HS_JSON_DEPTH_MAX 16

typedef enum
{
  HS_JSON_PLAIN,        /**< RFC 8259. */
  HS_JSON_WITH_COMMENTS /**< Both kinds of C comment count as white space. */
} HsJsonDialect;

/** One key of the document, for messages. */
typedef struct
{
  const char *name; /**< Into the text; not NUL-terminated. */
  size_t len;
  uint32_t object_id;  /**< Number of the object that holds it. */
  uint32_t parent_key; /**< Index of the key whose value that object is in. */
  uint32_t line;       /**< From 1. */
} HsJsonKey;

/** A document that was read; the root is freed with it. */
typedef struct
{
  struct json_object *root;
  char *text; /**< A copy with comments blanked. */
  HsJsonKey *keys;
  size_t n_keys;
} HsJsonDoc;

/**
 * Reads one document. On an error @p line tells where it is.
 * Errors: HS_ERROR_INVALID.
 * @param line may be NULL
 * @return talloc child of @p ctx, or NULL
 */
HsJsonDoc *hs_json_parse (TALLOC_CTX *ctx,
                          const char *text,
                          size_t len,
                          HsJsonDialect dialect,
                          uint32_t *line,
                          GError **error);

/**
 * The line of a key by its path from the root, as "entry.lease_ms"; that of
 * the nearest key above it if it isn't there, else 1.
 */
uint32_t hs_json_line (const HsJsonDoc *doc, const char *path);

#endif
