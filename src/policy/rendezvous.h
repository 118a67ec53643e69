/**
 * @file
 * Selects by rendezvous hashing the entries that an agent connects to when
 * there are many.
 *
 * Load pattern: a hundred entries and four hundred agents, none of which needs
 * more than a few dozen others for its work. Each connection costs a heartbeat
 * in each direction seven times a second; with 64 entries a full mesh took a
 * fifth of every agent's share of a processor. With rendezvous hashing each
 * agent selects on its own, every entry gets about an equal share of the
 * agents, and adding or removing one entry changes only the selections that
 * include it.
 */
#ifndef HS_POLICY_RENDEZVOUS_H
#define HS_POLICY_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/** An entry that may be selected. */
typedef struct
{
  uint64_t hash;     /**< By hs_rendezvous_hash(); the lowest are chosen. */
  bool unresponsive; /**< Didn't answer lately; a substitute is chosen as
                          well. */
  bool chosen;       /**< The result. */
} HsCandidate;

/** The rank of an entry's address for one agent. @param chooser the agent */
uint64_t hs_rendezvous_hash (const char *chooser, const char *address);

/** Sets `chosen` for each candidate with fewer than @p limit responsive ones
 *  of lower rank. */
void hs_rendezvous_choose (HsCandidate *candidates, uint32_t n, uint32_t limit);

#endif
