/**
 * @file
 * The announcement of an agent to its home entry: the first entry that can
 * be reached. It is repeated after each change and, if the home is lost,
 * made to the next entry.
 */
#ifndef HS_AGENT_HOME_H
#define HS_AGENT_HOME_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "agent/peers.h"
#include "agent/stats.h"
#include "base/time.h"
#include "rpc/conn.h"

typedef struct HsHome HsHome;

/** Fills in the agent's record, but for `revision` and `home`. */
typedef void (*HsHomeMember) (void *arg, hsx_member *member);

/** @param entries addresses to try in order, NULL-terminated; not copied */
HsHome *hs_home_new (TALLOC_CTX *ctx,
                     HsRpc *rpc,
                     HsPeers *peers,
                     char *const *entries,
                     HsHomeMember member,
                     void *arg,
                     HsAgentStats *stats);

/** Announces anew: the record changed. */
void hs_home_changed (HsHome *home);

/** Tries the next entry if there is no home and it is time to. */
void hs_home_tick (HsHome *home, HsTime now);

/** A connection came up; the announcement follows if it is the home's. */
void hs_home_up (HsHome *home, HsConn *conn);

/** A connection ended; the next entry is tried if it was the home's. */
void hs_home_down (HsHome *home, HsConn *conn, HsTime now);

/** When the home accepted the newest record; HS_NEVER if it hasn't. */
HsTime hs_home_current_since (const HsHome *home);

#endif
