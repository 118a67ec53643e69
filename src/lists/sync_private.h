/**
 * @file
 * State shared by sync.c, which follows the lists, and edit.c, which edits
 * them.
 */
#ifndef HS_LISTS_SYNC_PRIVATE_H
#define HS_LISTS_SYNC_PRIVATE_H

#include "lists/sync.h"

#define HS_LIST_KINDS 2

/** Reads one of the lists and watches it. */
typedef struct
{
  HsListsSync *sync;
  HsListKind kind;
  bool loaded;
  HsTime verified_at; /**< When it was last verified to be current. */
  HsTime retry_delay; /**< Until the next range after a failed one. */
  HsStoreWatch *watch;
} HsListFollower;

/** An edit in progress. */
typedef struct HsListEdit HsListEdit;

struct HsListsSync
{
  struct tevent_context *ev;
  HsStore *store;
  HsPublishedLists *published;
  HsListsChangedFunc changed;
  void *arg;
  HsLists *initial_lists;    /**< Until both lists were read; then NULL. */
  int64_t max_seen_revision; /**< Highest store revision in a reply so far. */
  HsListFollower followers[HS_LIST_KINDS];
  struct HsListCall *calls; /**< Store calls without a reply. */
};

/**
 * A store call. It may outlive the sync, since the store calls back once for
 * each call even if the sync was freed in between.
 */
typedef struct HsListCall
{
  struct HsListCall *prev;
  struct HsListCall *next;
  HsListsSync *sync; /**< NULL: it was freed. */
  HsListFollower *follower;
  HsListEdit *edit;
} HsListCall;

/** Creates a call, owned by the store. */
HsListCall *hs_list_call_new (HsListsSync *sync);

/** Frees a call that got its reply; returns false if the sync was freed. */
bool hs_list_call_end (HsListCall *call);

/** Returns a copy of the published lists to change, or the initial lists. */
HsLists *hs_lists_sync_begin_change (HsListsSync *sync);

/** Publishes the result of hs_lists_sync_begin_change(), except the initial
 *  lists. */
void hs_lists_sync_commit_change (HsListsSync *sync, HsLists *lists);

#endif
