/**
 * @file
 * Publishes the lists to other threads by read-copy-update (liburcu's memb
 * flavour): one thread publishes, any thread reads without a lock. Each of
 * these threads must have called rcu_register_thread().
 */
#ifndef HS_LISTS_PUBLISH_H
#define HS_LISTS_PUBLISH_H

#include <talloc.h>
#include <urcu.h>

#include "lists/lists.h"

/** Holds the lists that are currently published. */
typedef struct HsPublishedLists HsPublishedLists;

/** Creates it with empty lists. There must be no readers when it is freed. */
HsPublishedLists *hs_published_lists_new (TALLOC_CTX *ctx);

/**
 * Replaces the published lists. Waits until no reader can use the old ones any
 * more, and frees them. Only the publishing thread calls it, outside a
 * read-side critical section.
 * @param lists ownership is taken; not to be changed any more
 */
void hs_lists_publish (HsPublishedLists *published, HsLists *lists);

/** Begins a read-side critical section: keep it short, never block in it. */
void hs_lists_read_lock (HsPublishedLists *published);

/**
 * Returns the published lists. They are valid until the read-side critical
 * section ends; for the publishing thread, until it publishes the next ones.
 */
const HsLists *hs_published_lists_get (HsPublishedLists *published);

/** Ends a read-side critical section. */
void hs_lists_read_unlock (HsPublishedLists *published);

#endif
