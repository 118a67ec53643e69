/**
 * @file
 * A queue with wait-free producers in any threads and one event loop as its
 * consumer, built on liburcu's wfcqueue. The loop is woken once for all
 * elements that are queued before it runs.
 */
#ifndef HS_BASE_QUEUE_H
#define HS_BASE_QUEUE_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include <urcu/wfcqueue.h>

typedef struct HsQueue HsQueue;

/**
 * Handles one element in the loop's thread. Elements come in the order in
 * which they were pushed, and a NULL follows the last one of each batch.
 * hs_queue_wake() on an empty queue gives a NULL alone.
 */
typedef void (*HsQueueFunc) (void *arg, struct cds_wfcq_node *node);

/**
 * Creates a queue that the loop @p ev consumes. Elements that are still queued
 * when the queue is freed aren't freed with it. Errors: HS_ERROR_IO.
 */
HsQueue *hs_queue_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       HsQueueFunc func,
                       void *arg,
                       GError **error);

/** Queues an element, which then belongs to the loop. Thread-safe. */
void hs_queue_push (HsQueue *queue, struct cds_wfcq_node *node);

/** Wakes the loop, which ends its batch with a NULL. Thread-safe. */
void hs_queue_wake (HsQueue *queue);

#endif
