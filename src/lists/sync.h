/**
 * @file
 * Replicates the lists from the store into the published lists, and edits them
 * in the store. Runs in the thread of one event loop, which must have called
 * rcu_register_thread().
 */
#ifndef HS_LISTS_SYNC_H
#define HS_LISTS_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/time.h"
#include "lists/publish.h"
#include "store/store.h"

typedef struct HsListsSync HsListsSync;

/** Called after each publication; @p lists as by hs_published_lists_get(). */
typedef void (*HsListsChangedFunc) (void *arg, const HsLists *lists);

/**
 * Reads both lists, publishes them once both were read and then watches the
 * store for changes. Nothing is published before.
 * @param store must outlive the sync; replies that come after the sync was
 * freed are ignored
 * @param changed called after each publication; NULL: none
 */
HsListsSync *hs_lists_sync_new (TALLOC_CTX *ctx,
                                struct tevent_context *ev,
                                HsStore *store,
                                HsPublishedLists *published,
                                HsListsChangedFunc changed,
                                void *arg);

/** Returns whether both lists were read. In an outage they remain in use. */
bool hs_lists_sync_loaded (const HsListsSync *sync);

/**
 * Returns the time since the lists were last verified to be current by a range
 * reply or a watch update, for the one of the two that is longer ago. HS_NEVER
 * until both were read.
 */
HsTime hs_lists_sync_age (const HsListsSync *sync, HsNow now);

/** How an edit ended. */
typedef enum
{
  HS_LIST_EDIT_APPLIED,     /**< Stored at `revision`. */
  HS_LIST_EDIT_CONFLICT,    /**< Not applied: the record was changed before. */
  HS_LIST_EDIT_NOT_APPLIED, /**< Certainly not applied. */
  HS_LIST_EDIT_UNKNOWN      /**< May have been applied; read the record. */
} HsListEditOutcome;

typedef struct
{
  HsListEditOutcome outcome;
  int64_t revision;    /**< Of the record, as written or as found. */
  const char *current; /**< The record that made a compare fail; NULL: none.
                            Valid during the callback. */
} HsListEditResult;

/** Called once when an edit ends, unless the sync is freed before. */
typedef void (*HsListEditDoneFunc) (void *arg, const HsListEditResult *result);

/**
 * Writes a record if its revision is still @p expected_revision. After a lost
 * reply the same compare-and-swap is sent again, so that the edit cannot take
 * effect twice, nor after it was reported as applied. There is one exception:
 * if the edit created the record, and the record was deleted again while a lost
 * request was still on its way, that request may create it once more, since the
 * store cannot tell the two states of absence apart.
 * @param json the record as it is to be stored
 * @param expected_revision 0: the record must be absent
 */
void hs_lists_sync_put (HsListsSync *sync,
                        HsListKind kind,
                        const char *name,
                        const char *json,
                        int64_t expected_revision,
                        HsListEditDoneFunc done,
                        void *arg);

/** Deletes a record if its revision is still @p expected_revision. */
void hs_lists_sync_delete (HsListsSync *sync,
                           HsListKind kind,
                           const char *name,
                           int64_t expected_revision,
                           HsListEditDoneFunc done,
                           void *arg);

#endif
