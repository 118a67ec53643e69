/**
 * @file
 * The agent beside a target: takes its announcement and leave, grants its
 * slots to entries, gates each start, calls the target, remembers starts and
 * results. Several agents may live in one process.
 */
#ifndef HS_AGENT_AGENT_H
#define HS_AGENT_AGENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "agent/stats.h"
#include "config/settings.h"

typedef struct HsAgent HsAgent;

/**
 * Starts an agent on a loop; talloc_free() ends it at once.
 * @param settings of role HS_ROLE_AGENT; must outlive the agent
 */
HsAgent *hs_agent_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const HsSettings *settings,
                       GError **error);

/**
 * Begins a graceful stop: no new work; what runs goes on until its results
 * have been sent.
 */
void hs_agent_leave (HsAgent *agent);

/** True once a graceful stop is complete. */
bool hs_agent_has_left (const HsAgent *agent);

/** Ports listened on, and the random number that names this run. */
uint16_t hs_agent_rpc_port (const HsAgent *agent);
uint16_t hs_agent_target_port (const HsAgent *agent);
uint64_t hs_agent_incarnation (const HsAgent *agent);

const HsAgentStats *hs_agent_stats (const HsAgent *agent);

/** The subcommand `agent`; returns the exit status. */
int hs_agent_main (int argc, char **argv);

#endif
