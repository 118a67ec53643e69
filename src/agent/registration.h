/**
 * @file
 * The announcement of an agent to its home entry: the first entry that can
 * be reached. It is repeated after each change and, if the home is lost,
 * made to the next entry.
 */
#ifndef HS_AGENT_REGISTRATION_H
#define HS_AGENT_REGISTRATION_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "agent/peers.h"
#include "agent/stats.h"
#include "base/time.h"
#include "rpc/conn.h"

typedef struct HsRegistration HsRegistration;

/** Fills in the agent's record, but for `revision` and `home`. */
typedef void (*HsRegistrationFillMember) (void *arg, hsx_member *member);

/** @param entries addresses to try in order, NULL-terminated; not copied */
HsRegistration *hs_registration_new (TALLOC_CTX *ctx,
                                     HsRpc *rpc,
                                     HsPeers *peers,
                                     char *const *entries,
                                     HsRegistrationFillMember fill_member,
                                     void *arg,
                                     HsAgentStats *stats);

/** Announces anew: the record changed. */
void hs_registration_update (HsRegistration *registration);

/** Tries the next entry if there is no home and it is time to. */
void hs_registration_tick (HsRegistration *registration, HsTime now);

/** A connection came up; the announcement follows if it is the home's. */
void hs_registration_conn_up (HsRegistration *registration, HsConn *conn);

/** A connection ended; the next entry is tried if it was the home's. */
void hs_registration_conn_down (HsRegistration *registration,
                                HsConn *conn,
                                HsTime now);

/** When the home accepted the newest record; HS_NEVER if it hasn't. */
HsTime hs_registration_accepted_at (const HsRegistration *registration);

#endif
