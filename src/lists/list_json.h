/**
 * @file
 * The lists as operators read and write them: JSON records with revisions,
 * and the difference between the list held and one to be put in its place.
 */
#ifndef HS_LISTS_LIST_JSON_H
#define HS_LISTS_LIST_JSON_H

#include <json-c/json.h>

#include "lists/lists.h"

typedef enum
{
  HS_LIST_CHANGE_ADD,
  HS_LIST_CHANGE_EDIT,
  HS_LIST_CHANGE_REMOVE
} HsListChangeKind;

/** One edit that a whole list asks for. */
typedef struct
{
  HsListChangeKind kind;
  const char *name;
  const char *json;          /**< As it is to be stored; NULL: removed. */
  int64_t expected_revision; /**< Revision of the record held; 0: none. */
} HsListChange;

/** The revision at which a record was written; 0 if it is absent. */
int64_t hs_list_record_revision (const HsLists *lists,
                                 HsListKind kind,
                                 const char *name);

/** One record with its "revision", or NULL if it is absent. */
char *hs_list_record_json (TALLOC_CTX *ctx,
                           const HsLists *lists,
                           HsListKind kind,
                           const char *name);

/** {"revision":N,"records":{NAME:RECORD,...}} */
char *hs_list_json (TALLOC_CTX *ctx, const HsLists *lists, HsListKind kind);

/**
 * Checks a record and gives it as it is to be stored. A plan record without
 * a key keeps the key of the record held. Errors: HS_ERROR_INVALID.
 */
char *hs_list_normalise (TALLOC_CTX *ctx,
                         const HsLists *lists,
                         HsListKind kind,
                         const char *name,
                         const char *json,
                         GError **error);

/**
 * The edits that turn the list held into @p records ({NAME:RECORD}), sorted
 * by name. Errors: HS_ERROR_INVALID, naming the record.
 */
HsListChange *hs_list_diff (TALLOC_CTX *ctx,
                            const HsLists *lists,
                            HsListKind kind,
                            struct json_object *records,
                            size_t *n,
                            GError **error);

#endif
