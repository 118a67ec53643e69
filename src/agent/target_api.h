/**
 * @file
 * The agent's local HTTP: a target announces itself and leaves, and the
 * agent's counters are read. docs/ARCHITECTURE.md has the messages.
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

/** What the agent does on a request; each gets the `arg` of the API. */
typedef struct
{
  /** A signed and checked announcement; false with @p error refuses it. */
  bool (*announce) (void *arg,
                    const HsTargetAnnouncement *announcement,
                    GError **error);
  /** A signed leave; true if nothing runs, so that it is answered now.
   *  Else hs_target_api_answer_leaves() must follow. */
  bool (*leave) (void *arg);
  /** The text for GET /metrics, a talloc child of @p ctx. */
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

/** The port listened on. */
uint16_t hs_target_api_port (const HsTargetApi *api);

/** Answers the leaves that wait for the last running task. */
void hs_target_api_answer_leaves (HsTargetApi *api);

#endif
