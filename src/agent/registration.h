/**
 * @file
 * Registration of an agent with its registrar, which is the first entry that
 * can be reached. The agent announces its member record to the registrar
 * again after each change, and to the next entry if the registrar is lost.
 */
#ifndef HS_AGENT_REGISTRATION_H
#define HS_AGENT_REGISTRATION_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "agent/connected_entries.h"
#include "agent/stats.h"
#include "base/time.h"
#include "rpc/conn.h"

typedef struct HsRegistration HsRegistration;

/** Fills in the agent's member record, except `revision` and `home` (the
 *  registrar's incarnation). */
typedef void (*HsRegistrationFillMember) (void *arg, hsx_member *member);

/**
 * @param entries addresses to try in order, NULL-terminated; copied
 * @param fill_member called with @p arg before each announcement
 * @param stats counts the announcements; must outlive the registration
 */
HsRegistration *hs_registration_new (TALLOC_CTX *ctx,
                                     HsRpc *rpc,
                                     HsConnectedEntries *connected_entries,
                                     char *const *entries,
                                     HsRegistrationFillMember fill_member,
                                     void *arg,
                                     HsAgentStats *stats);

/** Announces the member record again, because it changed. */
void hs_registration_update (HsRegistration *registration);

/** Tries the next entry if there is no registrar and the retry is due. */
void hs_registration_tick (HsRegistration *registration, HsTime now);

/** Reports a new connection; announces if it leads to the registrar. */
void hs_registration_conn_up (HsRegistration *registration, HsConn *conn);

/** Reports a lost connection; tries the next entry if it was in use here. */
void hs_registration_conn_down (HsRegistration *registration,
                                HsConn *conn,
                                HsTime now);

/**
 * When the registrar accepted the latest record; HS_NEVER if it has not.
 */
HsTime hs_registration_accepted_at (const HsRegistration *registration);

#endif
