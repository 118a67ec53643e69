/**
 * @file
 * The agent's local HTTP interface: a target announces itself and leaves, and
 * the agent's counters are read. docs/ARCHITECTURE.md describes the messages.
 */
#ifndef HS_AGENT_TARGET_API_H
#define HS_AGENT_TARGET_API_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "agent/target_msg.h"

typedef struct HsTargetApi HsTargetApi;

/** Handlers of requests; each is passed the `arg` of the API. */
typedef struct
{
  /** Handles an announcement whose signature and content are valid; returns
   *  false with @p error set to refuse it. */
  bool (*announce) (void *arg,
                    const HsTargetAnnouncement *announcement,
                    GError **error);
  /** Handles a leave whose signature is valid; returns true if no task
   *  runs, and the API then answers at once. If it returns false, the
   *  implementer of the handler must call hs_target_api_answer_leaves() when
   *  the last task has ended. */
  bool (*leave) (void *arg);
  /** Returns the text for GET /metrics, a talloc child of @p ctx. */
  char *(*metrics) (void *arg, TALLOC_CTX *ctx);
} HsTargetApiHandler;

/**
 * Listens on "IP:port". Errors: HS_ERROR_INVALID, HS_ERROR_IO.
 * @param key the cluster key; must outlive the API
 */
HsTargetApi *hs_target_api_new (TALLOC_CTX *ctx,
                                struct tevent_context *ev,
                                const char *listen,
                                const char *key,
                                const HsTargetApiHandler *handler,
                                void *arg,
                                GError **error);

/** The port that the API listens on. */
uint16_t hs_target_api_port (const HsTargetApi *api);

/** Answers the leaves that wait for running tasks to end. */
void hs_target_api_answer_leaves (HsTargetApi *api);

#endif
