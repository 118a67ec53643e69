/**
 * @file
 * A wait-free queue from any threads to one event loop, over liburcu's
 * wfcqueue. The loop is woken once for all that is queued before it runs.
 */
#ifndef HS_BASE_QUEUE_H
#define HS_BASE_QUEUE_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include <urcu/wfcqueue.h>

typedef struct HsQueue HsQueue;

/**
 * Receives one element in the loop's thread, in the order of pushing; NULL
 * after the last one of a batch, and for hs_queue_wake().
 */
typedef void (*HsQueueFunc) (void *arg, struct cds_wfcq_node *node);

/**
 * Creates a queue to the loop @p ev. Elements still queued when it is freed
 * are not touched. Errors: HS_ERROR_IO.
 */
HsQueue *hs_queue_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       HsQueueFunc func,
                       void *arg,
                       GError **error);

/** Queues an element; from any thread. The loop owns it from here on. */
void hs_queue_push (HsQueue *queue, struct cds_wfcq_node *node);

/** Runs the loop's function with NULL; from any thread. */
void hs_queue_wake (HsQueue *queue);

#endif
