/**
 * @file
 * Which entries an agent keeps connections with, when there are many.
 *
 * Load pattern: a hundred entries and four hundred agents, none of which needs
 * more than a few dozen others for its work. Each connection costs a pulse
 * each way seven times a second; all with all, that takes a fifth of a core of
 * every agent. By rendezvous hashing each agent chooses for itself, every
 * entry gets about its share of the agents, and a change of one entry changes
 * only the candidates that concern it.
 */
#ifndef HS_DIRECT_RENDEZVOUS_H
#define HS_DIRECT_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/** One that may be chosen. */
typedef struct
{
  uint64_t rank;     /**< Of hs_rendezvous_rank(); the lowest are chosen. */
  bool unresponsive; /**< It didn't answer lately; another is chosen besides. */
  bool chosen;       /**< The result. */
} HsCandidate;

/** The rank of an address for one that chooses. */
uint64_t hs_rendezvous_rank (const char *chooser, const char *address);

/** Chooses: all that have fewer than @p limit sound ones before them. */
void hs_rendezvous_choose (HsCandidate *candidates, uint32_t n, uint32_t limit);

#endif
