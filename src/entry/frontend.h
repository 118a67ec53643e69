/**
 * @file
 * The HTTP frontend, which serves callers. Each of its threads has its own
 * event loop and its own HTTP server on a shared port. A thread parses and
 * authenticates requests, passes them to the core thread as HsJobRequest and
 * sends the responses.
 */
#ifndef HS_ENTRY_FRONTEND_H
#define HS_ENTRY_FRONTEND_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <urcu/wfcqueue.h>

#include "base/time.h"
#include "config/settings.h"
#include "lists/publish.h"
#include "proto/hspoke.h"

typedef struct HsFrontend HsFrontend;

/**
 * A complete, authenticated request to submit, fetch or cancel a job. It is a
 * top-level talloc context owned by the thread that holds it, and it may
 * outlive the caller's connection.
 */
typedef struct
{
  struct cds_wfcq_node node; /**< Link in the queue between two threads. */
  struct HsFrontendThread *thread; /**< Which received it. */
  uint32_t slot;       /**< Of its HTTP request in the thread's table. */
  uint32_t generation; /**< Of the slot; another one: the slot was reused. */
  HsNow arrived;       /**< When the last byte was received. */
  size_t kept_bytes; /**< Of the thread's memory, until the thread frees it. */
  hsx_forward_args *args; /**< Talloc child of the job request. */
  hsx_answer *answer;     /**< Set by the core; talloc child as well. */
} HsJobRequest;

/**
 * Passes a job request to the core, which takes ownership. Called in an HTTP
 * thread; must not block.
 */
typedef void (*HsFrontendSubmitFunc) (void *arg, HsJobRequest *job);

/**
 * Opens the listening socket and starts the threads.
 * Errors: HS_ERROR_INVALID for the address, HS_ERROR_IO.
 * @param settings must outlive the frontend
 * @param lists used to look up customers' keys
 * @param submit receives each authenticated request
 * @param arg first argument of @p submit
 * @return freed with hs_frontend_free(); NULL on error
 */
HsFrontend *hs_frontend_new (TALLOC_CTX *ctx,
                             const HsEntrySettings *settings,
                             HsPublishedLists *lists,
                             HsFrontendSubmitFunc submit,
                             void *arg,
                             GError **error);

/** The port that the frontend listens on. */
uint16_t hs_frontend_port (const HsFrontend *frontend);

/**
 * Passes an answered job request back to its HTTP thread, which sends the
 * response and frees the job request. Can be called in any thread, but not
 * after hs_frontend_free().
 */
void hs_frontend_post_answer (HsJobRequest *job);

/**
 * Stops accepting connections. Requests on open connections still go to the
 * core; each connection is closed after its next response, so that its caller
 * connects to another entry.
 */
void hs_frontend_drain (HsFrontend *frontend);

/** True when no request is being received, processed or answered. */
bool hs_frontend_is_idle (const HsFrontend *frontend);

/** Number of responses by status class: n[1] for 1xx to n[5] for 5xx. */
void hs_frontend_response_counts (const HsFrontend *frontend, uint64_t n[6]);

/**
 * Closes all connections and joins the threads. Requests without an answer
 * get an error of kind "unknown"; their job requests stay with the core, which
 * frees them.
 */
void hs_frontend_free (HsFrontend *frontend);

#endif
