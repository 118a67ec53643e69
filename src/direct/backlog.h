/**
 * @file
 * Decides to how many agents an entry reports its backlog. No sockets and no
 * clock.
 *
 * Load pattern: demand above capacity at several entries whose numbers of
 * waiting tasks differ tenfold. Freed resources are offered only to entries
 * that have reported a backlog to that agent, so the number of agents that an
 * entry asks bounds its share of them.
 */
#ifndef HS_DIRECT_BACKLOG_H
#define HS_DIRECT_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

/** Number of agents that an entry with a small backlog reports it to. Each of
 *  them may free no resources for some time, so even one waiting task asks
 *  several. */
#define HS_BACKLOG_AGENTS_MIN 16

/**
 * The number of agents that an entry reports its backlog to: one for each
 * waiting task, as each offers resources for one task at least.
 * @param tasks number of waiting tasks; 0: no agent is asked
 */
uint32_t hs_backlog_agents (uint32_t tasks);

/**
 * Whether orders to an agent should report the backlog. Once asked, an agent is
 * told of no backlog only when a quarter of those asked are no longer needed.
 * @param asked whether the last orders to it did
 * @param n_asked number of agents whose last orders did
 * @param tasks number of waiting tasks
 */
bool hs_backlog_should_report (bool asked, uint32_t n_asked, uint32_t tasks);

#endif
