/**
 * @file
 * The HTTP threads for callers. Each thread has its own event loop and its
 * own HTTP server on a shared port; it parses and authenticates requests,
 * passes them to the core as HsFrontCall and writes the answers.
 */
#ifndef HS_ENTRY_FRONT_H
#define HS_ENTRY_FRONT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <urcu/wfcqueue.h>

#include "base/time.h"
#include "config/settings.h"
#include "lists/publish.h"
#include "proto/hspoke.h"

typedef struct HsFront HsFront;

/**
 * A request that was read whole and authenticated. It is a talloc context
 * of its own, owned by whoever holds it, and outlives the caller's
 * connection.
 */
typedef struct
{
  struct cds_wfcq_node node; /**< For the queue that it is passed in. */
  struct HsFrontThread *thread;
  uint32_t slot;          /**< The request in the thread's table, */
  uint32_t generation;    /**< unless its slot was used again since. */
  HsNow arrived;          /**< When the request was read whole. */
  hsx_forward_args *args; /**< Talloc child of the call. */
  hsx_answer *answer;     /**< Set by the core; talloc child of the call. */
} HsFrontCall;

/** Takes a call over; runs in an HTTP thread and must not block. */
typedef void (*HsFrontSubmit) (void *arg, HsFrontCall *call);

/**
 * Listens and starts the threads. Errors: HS_ERROR_IO.
 * @param settings must outlive the front
 * @param lists where customers' keys are looked up
 */
HsFront *hs_front_new (TALLOC_CTX *ctx,
                       const HsEntrySettings *settings,
                       HsPublishedLists *lists,
                       HsFrontSubmit submit,
                       void *arg,
                       GError **error);

/** The port listened on. */
uint16_t hs_front_port (const HsFront *front);

/**
 * Passes an answered call back to its thread, which writes the answer and
 * frees the call. From any thread; not after hs_front_free().
 */
void hs_front_answer (HsFrontCall *call);

/**
 * Stops accepting connections. Requests on open ones still go to the core;
 * each connection is closed after its next answer, so that its caller finds
 * another entry.
 */
void hs_front_drain (HsFront *front);

/** True when no request is being read, run or answered. */
bool hs_front_idle (const HsFront *front);

/** Requests answered by status class: n[1] for 1xx to n[5] for 5xx. */
void hs_front_counts (const HsFront *front, uint64_t n[6]);

/**
 * Closes all connections and joins the threads. Requests not answered yet
 * are answered as unknown; their calls stay with the core, which frees them.
 */
void hs_front_free (HsFront *front);

#endif
