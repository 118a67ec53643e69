/**
 * @file
 * Keeps the published lists in step with the store, and edits them there.
 * Belongs to one event loop's thread, which has called
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

/** Told after each publication; @p lists as by hs_published_lists_get(). */
typedef void (*HsListsChangedFunc) (void *arg, const HsLists *lists);

/**
 * Reads both lists, publishes them once both are there and follows the
 * store from then on. Nothing is published before.
 * @param store must outlive the sync; answers that come after it was freed
 *        are ignored
 */
HsListsSync *hs_lists_sync_new (TALLOC_CTX *ctx,
                                struct tevent_context *ev,
                                HsStore *store,
                                HsPublishedLists *published,
                                HsListsChangedFunc changed,
                                void *arg);

/** True once both lists were read. They stay in force in an outage. */
bool hs_lists_sync_loaded (const HsListsSync *sync);

/**
 * Span since the lists were last known to be current: since an answer or a
 * message of the store that proves it, for the list that is further behind.
 * HS_NEVER before both were read.
 */
HsTime hs_lists_sync_age (const HsListsSync *sync, HsNow now);

/** How an edit ended. */
typedef enum
{
  HS_LIST_EDIT_APPLIED,     /**< In the store at `revision`. */
  HS_LIST_EDIT_CONFLICT,    /**< Not applied: another edit came first. */
  HS_LIST_EDIT_NOT_APPLIED, /**< Certain: the store was never reached. */
  HS_LIST_EDIT_UNKNOWN      /**< May have been applied; read it back. */
} HsListEditOutcome;

typedef struct
{
  HsListEditOutcome outcome;
  int64_t revision;    /**< Of the record: as applied, or as present. */
  const char *current; /**< Conflict: the present record as JSON; NULL: none.
                            Valid during the callback. */
} HsListEditResult;

typedef void (*HsListEditDoneFunc) (void *arg, const HsListEditResult *result);

/**
 * Writes a record if its revision is still @p expected (0: absent). A lost
 * answer is settled by trying the same compare-and-swap again, so that the
 * edit can't take effect twice, nor after its outcome was told as applied.
 * (A creation could, if its record was deleted again while a lost try still
 * hung in the network: the store can't tell both states of absence apart.)
 * @param json the record as it is to be stored
 */
void hs_lists_sync_put (HsListsSync *sync,
                        HsListKind kind,
                        const char *name,
                        const char *json,
                        int64_t expected_revision,
                        HsListEditDoneFunc done,
                        void *arg);

/** Deletes a record if its revision is still @p expected. */
void hs_lists_sync_delete (HsListsSync *sync,
                           HsListKind kind,
                           const char *name,
                           int64_t expected_revision,
                           HsListEditDoneFunc done,
                           void *arg);

#endif
