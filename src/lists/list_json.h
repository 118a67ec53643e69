/**
 * @file
 * The lists as operators read and write them: JSON records with revisions, and
 * the changes that turn the current list into a given one.
 */
#ifndef HS_LISTS_LIST_JSON_H
#define HS_LISTS_LIST_JSON_H

#include <json-c/json.h>

#include "lists/lists.h"

/** Kinds of change of a record. */
typedef enum
{
  HS_LIST_CHANGE_ADD,
  HS_LIST_CHANGE_EDIT,
  HS_LIST_CHANGE_REMOVE
} HsListChangeKind;

/** A change of one record. Its strings are owned by the array it is in. */
typedef struct
{
  HsListChangeKind kind;
  const char *name;
  const char *json;          /**< As it is to be stored; NULL: remove it. */
  int64_t expected_revision; /**< Revision of the current record; 0: none. */
} HsListChange;

/** Returns the revision at which a record was written; 0 if it is absent. */
int64_t hs_list_record_revision (const HsLists *lists,
                                 HsListKind kind,
                                 const char *name);

/** Returns a record with its "revision", or NULL if it is absent. */
char *hs_list_record_json (TALLOC_CTX *ctx,
                           const HsLists *lists,
                           HsListKind kind,
                           const char *name);

/** Returns a list as {"revision":N,"records":{NAME:RECORD,...}}. */
char *hs_list_json (TALLOC_CTX *ctx, const HsLists *lists, HsListKind kind);

/**
 * Validates a record and returns it as it is to be stored. A plan record
 * without a key keeps the key of the current record. Errors: HS_ERROR_INVALID.
 */
char *hs_list_normalise (TALLOC_CTX *ctx,
                         const HsLists *lists,
                         HsListKind kind,
                         const char *name,
                         const char *json,
                         GError **error);

/**
 * Returns the changes that turn the current list into @p records
 * ({NAME:RECORD}), sorted by name and owned by @p ctx. Errors:
 * HS_ERROR_INVALID, with the name of the record.
 * @param n set to the number of changes
 */
HsListChange *hs_list_diff (TALLOC_CTX *ctx,
                            const HsLists *lists,
                            HsListKind kind,
                            struct json_object *records,
                            size_t *n,
                            GError **error);

#endif
