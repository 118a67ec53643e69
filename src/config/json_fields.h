/**
 * @file
 * Reads the members of a JSON object into a struct, as a table of fields
 * describes. Unknown keys, missing keys, wrong types and values out of range
 * give errors of the form "KEY: what is wrong; remedy".
 */
#ifndef HS_CONFIG_JSON_FIELDS_H
#define HS_CONFIG_JSON_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>
#include <talloc.h>

/** JSON type of a member, and C type that stores it. */
typedef enum
{
  HS_FIELD_STRING,  /**< char *, min to max bytes long, no NUL byte. */
  HS_FIELD_STRINGS, /**< char **, NULL-terminated; min to max of them. */
  HS_FIELD_UINT32,  /**< uint32_t. */
  HS_FIELD_INT64,   /**< int64_t. */
  HS_FIELD_MSEC,    /**< Milliseconds, stored as HsTime. */
  HS_FIELD_BOOL,    /**< bool. */
  HS_FIELD_OBJECT,  /**< struct json_object *, borrowed. */
  HS_FIELD_ARRAY,   /**< struct json_object *, borrowed; an array of
                         min to max elements. */
  HS_FIELD_TEXT     /**< struct json_object *, borrowed; a string of
                         min to max bytes, NUL allowed. */
} HsFieldType;

typedef struct
{
  const char *name;
  HsFieldType type;
  bool required;
  int64_t min;
  int64_t max;
  size_t offset;
  bool (*check) (const char *text); /**< Strings: further check, or NULL. */
  const char *remedy;               /**< Ends the message if check fails. */
} HsField;

/** Where an object stands in the document, for error messages. */
typedef struct
{
  const char *prefix; /**< Path of the object, such as "entry.", or "". */
  char key[160];      /**< On an error, receives prefix and key. */
} HsFieldContext;

/**
 * Reads @p object into @p out. Absent members leave their fields unchanged.
 * Errors: HS_ERROR_INVALID; HS_ERROR_TOO_LARGE for a string or an array longer
 * than its maximum.
 * @param ctx talloc parent of the stored strings
 */
bool hs_fields_read (TALLOC_CTX *ctx,
                     struct json_object *object,
                     const HsField *fields,
                     size_t n_fields,
                     void *out,
                     HsFieldContext *context,
                     GError **error);

#endif
