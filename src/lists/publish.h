/**
 * @file
 * The published view of the lists: one thread writes, any thread reads
 * without a lock (read-copy-update, liburcu's memb flavour). Each thread
 * that reads or publishes has called rcu_register_thread().
 */
#ifndef HS_LISTS_PUBLISH_H
#define HS_LISTS_PUBLISH_H

#include <talloc.h>
#include <urcu.h>

#include "lists/lists.h"

typedef struct HsPublishedLists HsPublishedLists;

/** A box that holds an empty view. No reader may be left when it is freed. */
HsPublishedLists *hs_published_lists_new (TALLOC_CTX *ctx);

/**
 * Replaces the view; waits until no reader can hold the old one and frees it.
 * Called by the writer only, outside of a read section.
 * @param lists taken over by the box; not to be changed any more
 */
void hs_lists_publish (HsPublishedLists *published, HsLists *lists);

/** Begins a read section of this thread. Keep it short; never block in it. */
void hs_lists_read_lock (HsPublishedLists *published);

/** The view; valid until the read section ends (the writer's: until it
 *  publishes the next one). */
const HsLists *hs_published_lists_get (HsPublishedLists *published);

void hs_lists_read_unlock (HsPublishedLists *published);

#endif
