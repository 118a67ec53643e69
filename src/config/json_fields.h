/**
 * @file
 * Reads the members of a JSON object into a struct by a table of fields.
 * Unknown keys, missing keys, wrong types and values out of range are
 * errors of the form "KEY: what is wrong; remedy".
 */
#ifndef HS_CONFIG_JSON_FIELDS_H
#define HS_CONFIG_JSON_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>
#include <talloc.h>

/** How a member is read and what it is stored as. */
typedef enum
{
  HS_FIELD_STRING,  /**< char *, min to max bytes long, no NUL byte. */
  HS_FIELD_STRINGS, /**< char **, NULL-terminated; min to max of them. */
  HS_FIELD_UINT32,  /**< uint32_t. */
  HS_FIELD_INT64,   /**< int64_t. */
  HS_FIELD_MSEC,    /**< Milliseconds, stored as HsTime. */
  HS_FIELD_BOOL,    /**< bool. */
  HS_FIELD_OBJECT,  /**< struct json_object *, borrowed. */
  HS_FIELD_ARRAY,   /**< The same, an array of min to max elements. */
  HS_FIELD_TEXT     /**< struct json_object *, a string of min to max bytes. */
} HsFieldType;

typedef struct
{
  const char *name;
  HsFieldType type;
  bool required;
  int64_t min;
  int64_t max;
  size_t offset;
  bool (*check) (const char *text); /**< Strings: further test, or NULL. */
  const char *remedy;               /**< Follows "; " where check fails. */
} HsField;

/** What an error message needs besides the field. */
typedef struct
{
  const char *prefix; /**< Put before the key, as "entry."; or "". */
  char key[160];      /**< Set on an error: prefix and key. */
} HsFieldContext;

/**
 * Reads @p object into @p out. Fields that are absent are left as they are.
 * Errors: HS_ERROR_INVALID; HS_ERROR_TOO_LARGE for a string or an array over
 * its bound.
 * @param ctx parent of the strings stored
 */
bool hs_fields_read (TALLOC_CTX *ctx,
                     struct json_object *object,
                     const HsField *fields,
                     size_t n_fields,
                     void *out,
                     HsFieldContext *context,
                     GError **error);

#endif
