/**
 * @file
 * What the sync's reading and editing halves share. Private to this part.
 */
#ifndef HS_LISTS_SYNC_PRIVATE_H
#define HS_LISTS_SYNC_PRIVATE_H

#include "lists/sync.h"

#define HS_LIST_KINDS 2

/** Following one of the lists. */
typedef struct
{
  HsListsSync *sync;
  HsListKind kind;
  bool loaded;
  HsTime verified_at; /**< When it was last known to be current. */
  HsTime retry_delay; /**< Span until the next range after a failed one. */
  HsStoreWatch *watch;
} HsListFollower;

/** An edit under way. */
typedef struct HsListEdit HsListEdit;

struct HsListsSync
{
  struct tevent_context *ev;
  HsStore *store;
  HsPublishedLists *published;
  HsListsChangedFunc changed;
  void *arg;
  HsLists *initial_lists; /**< Until both lists were read, else NULL. */
  int64_t
      max_seen_revision; /**< Highest revision of the store that was seen. */
  HsListFollower followers[HS_LIST_KINDS];
  struct HsListCall *calls; /**< Store calls that will still come back. */
};

/**
 * A store call that outlives the sync if need be: the store answers each
 * call once, whether the sync is still there or not.
 */
typedef struct HsListCall
{
  struct HsListCall *prev;
  struct HsListCall *next;
  HsListsSync *sync; /**< NULL: freed meanwhile. */
  HsListFollower *follower;
  HsListEdit *edit;
} HsListCall;

HsListCall *hs_list_call_new (HsListsSync *sync);

/** Ends a call that came back; false if the sync is gone. */
bool hs_list_call_end (HsListCall *call);

/** A copy of the lists to change, or the draft. */
HsLists *hs_lists_sync_begin_change (HsListsSync *sync);

/** Publishes what hs_lists_sync_begin_change() gave, unless it is the draft. */
void hs_lists_sync_commit_change (HsListsSync *sync, HsLists *lists);

#endif
