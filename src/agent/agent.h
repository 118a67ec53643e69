/**
 * @file
 * The agent of a target, on the same host: accepts the target's announcement
 * and leave, grants its slots to entries, admits or refuses each start, calls
 * the target, and records starts and results. One process may run several
 * agents.
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
 * Starts an agent on an event loop; talloc_free() stops it at once.
 * @param settings of role HS_ROLE_AGENT; must outlive the agent
 * @return NULL with @p error set if it cannot listen on its addresses
 */
HsAgent *hs_agent_new (TALLOC_CTX *ctx,
                       struct tevent_context *ev,
                       const HsSettings *settings,
                       GError **error);

/**
 * Begins the agent's leave: it starts no more tasks, and waits until running
 * tasks have ended and their results have been sent.
 */
void hs_agent_leave (HsAgent *agent);

/** Whether the agent's leave is complete. */
bool hs_agent_has_left (const HsAgent *agent);

/** Port for entries. */
uint16_t hs_agent_rpc_port (const HsAgent *agent);

/** Port for the target and for metrics. */
uint16_t hs_agent_target_port (const HsAgent *agent);

/** Random number that identifies this run of the agent. */
uint64_t hs_agent_incarnation (const HsAgent *agent);

const HsAgentStats *hs_agent_stats (const HsAgent *agent);

/** Runs the subcommand `agent`; returns the exit status. */
int hs_agent_main (int argc, char **argv);

#endif
